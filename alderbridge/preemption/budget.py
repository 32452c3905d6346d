"""How many preemptions a team may cause: counted in the store with the claims, so that no crash gives any back."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from typing import NamedTuple

from alderbridge.claims.records import PreemptionsSpent, budget_key
from alderbridge.preemption.model import PreemptionDemand


class PreemptionLimit(NamedTuple):
    """What one priority class, or one lending rule, may cause."""

    a_minute: int  # preemptions in a minute
    at_once: int  # victims at one time that are not yet known to be gone
    share: float = 1.0  # of the tasks that run, preempted at one time; one in any case


class PreemptionBudget:
    """What may still be preempted now, while victims are chosen."""

    def __init__(
        self,
        spent: PreemptionsSpent,
        wall: float,
        stopping: Mapping[str, int],
        running: int,
        limit: Callable[[PreemptionDemand], PreemptionLimit],
    ) -> None:
        """Take over what was spent until ``wall``, the time of day in s.

        ``stopping``: victims of claims that are not gone yet, by budget. ``running``: tasks that run in all.
        """
        self.spent, self.wall, self.running, self.limit = spent, wall, running, limit
        self.stopping = Counter(stopping)
        self.now: Counter[str] = Counter()  # chosen in this round

    def left(self, demand: PreemptionDemand) -> int:
        """Return how many more tasks may be preempted for the demand."""
        name, limit = budget_key(demand.spec.team, demand.reason), self.limit(demand)
        at_once = min(limit.at_once, max(1, int(limit.share * self.running)))
        left_in_minute = limit.a_minute - self.spent.within(name, self.wall)
        return max(0, min(left_in_minute, at_once - self.stopping[name]) - self.now[name])

    def spend(self, demand: PreemptionDemand, count: int) -> None:
        """Count that many more victims chosen for the demand."""
        self.now[budget_key(demand.spec.team, demand.reason)] += count
