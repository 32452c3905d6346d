"""What the store keeps of claims: one record a machine, one of budgets, one a job that was stopped."""

from __future__ import annotations

import msgspec

from alderbridge import constants

Task = tuple[str, int, int]  # job, index, attempt


class PreemptionClaim(msgspec.Struct, frozen=True):
    """Whose the room of one machine is, and which tasks stop for it; key ``ab/c/MACHINE``.

    Proof of nothing: what runs is known from reports alone.
    """

    reason: str  # "urgent", "guarantee" or "serving"
    job: str  # for whom the room is
    count: int  # tasks of it that the room is for; 0: its victims stop as part of a gang
    victims: list[Task]
    wind_down_s: float  # for the victims' last save, in s
    until: float  # time of day; from then on the room is free for all
    team: str  # whose budget was spent
    at: float  # time of day when it was planned


class JobPreemptions(msgspec.Struct, frozen=True):
    """How often claims have stopped tasks of a job; key ``ab/s/JOB``. Goes when the job is over."""

    tasks: dict[int, int]  # index -> times
    first: float  # time of day of the first stop


class PreemptionsSpent(msgspec.Struct, frozen=True):
    """Stops of the last minute by budget, as (start of its step in s of the day's time, stops); key ``ab/b``."""

    stops: dict[str, list[tuple[int, int]]] = {}

    def within(self, budget: str, wall: float) -> int:
        """Return the stops in the minute before ``wall``: never fewer than there were, up to a step's more."""
        least = wall - constants.PREEMPTION_MINUTE_S - constants.PREEMPTION_STEP_S
        return sum(count for at, count in self.stops.get(budget, ()) if at > least)

    def spend(self, budget: str, count: int, wall: float) -> PreemptionsSpent:
        """Return the record with ``count`` more stops, and without what is over."""
        least = wall - constants.PREEMPTION_MINUTE_S - constants.PREEMPTION_STEP_S
        step = int(wall // constants.PREEMPTION_STEP_S * constants.PREEMPTION_STEP_S)
        stops = {
            name: recent for name, entries in self.stops.items() if (recent := [e for e in entries if e[0] > least])
        }
        entries = dict(stops.get(budget, ()))
        entries[step] = entries.get(step, 0) + count
        stops[budget] = sorted(entries.items())
        return PreemptionsSpent(stops)


def budget_key(team: str, reason: str) -> str:
    """Return the budget that a stop for a team and a reason is taken from."""
    return f"{team}/{reason}"


ClaimGroup = dict[str, PreemptionClaim]  # machine -> claim; stored in one transaction
