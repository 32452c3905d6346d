"""Stored records of preemption: claims by machine, usage of the budgets, and preemptions by job."""

from __future__ import annotations

import msgspec

from alderbridge import constants

Task = tuple[str, int, int]  # job, index, attempt


class PreemptionClaim(msgspec.Struct, frozen=True):
    """Reserves a machine's capacity for one job and lists the tasks to preempt for it; key ``ab/c/MACHINE``.

    It does not prove that the victims have stopped: only the machine's reports do.
    """

    reason: str  # "urgent", "guarantee" or "serving"
    job: str  # that the capacity is reserved for
    count: int  # tasks of the job that fit the freed capacity; 0: only stops part of a gang
    victims: list[Task]
    wind_down_s: float  # time for the victims' final checkpoint
    expires_at: float = msgspec.field(name="until")  # Unix time in s when the reservation expires
    team: str  # whose budget was charged
    planned_at: float = msgspec.field(name="at")  # Unix time in s when it was planned


class JobPreemptions(msgspec.Struct, frozen=True):
    """How often tasks of a job were preempted; key ``ab/s/JOB``. Deleted when the job has ended."""

    preemptions_by_index: dict[int, int] = msgspec.field(name="tasks")  # task index -> preemptions
    first_preempted_at: float = msgspec.field(name="first")  # Unix time in s of the first preemption


class PreemptionUsage(msgspec.Struct, frozen=True):
    """Preemptions of the last minute, by budget, as (Unix time in s when the time step began, count); key ``ab/b``."""

    preemptions: dict[str, list[tuple[int, int]]] = msgspec.field(name="stops", default_factory=dict)

    def in_last_minute(self, budget: str, wall: float) -> int:
        """Return the preemptions in the minute before ``wall``: never too few, but some may be up to one step older."""
        cutoff = wall - constants.PREEMPTION_WINDOW_S - constants.PREEMPTION_BUCKET_S
        return sum(count for step_start, count in self.preemptions.get(budget, ()) if step_start > cutoff)

    def add(self, budget: str, count: int, wall: float) -> PreemptionUsage:
        """Return a record with ``count`` more preemptions at ``wall``, without steps older than the last minute."""
        cutoff = wall - constants.PREEMPTION_WINDOW_S - constants.PREEMPTION_BUCKET_S
        step = int(wall // constants.PREEMPTION_BUCKET_S * constants.PREEMPTION_BUCKET_S)
        stops = {
            name: recent
            for name, entries in self.preemptions.items()
            if (recent := [e for e in entries if e[0] > cutoff])
        }
        entries = dict(stops.get(budget, ()))
        entries[step] = entries.get(step, 0) + count
        stops[budget] = sorted(entries.items())
        return PreemptionUsage(stops)


def budget_key(team: str, reason: str) -> str:
    """Return the name of the budget that preemptions for this team and reason are charged to."""
    return f"{team}/{reason}"


ClaimGroup = dict[str, PreemptionClaim]  # machine -> claim; stored in one transaction or not at all
