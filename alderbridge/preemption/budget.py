"""How many stops a team may cause: spent in the store with the claims, never twice and never gained by a crash."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, NamedTuple

from alderbridge.preemption.records import PreemptionsSpent, budget_key

if TYPE_CHECKING:
    from alderbridge.preemption.victim_selection import PreemptionDemand


class PreemptionLimit(NamedTuple):
    """What one class, or one lending rule, may cause."""

    a_minute: int  # stops in a minute
    at_once: int  # victims at one time that are not yet known to be gone
    share: float = 1.0  # of the tasks that run, stopped at one time; one in any case


class PreemptionBudget:
    """What may still be stopped now, while victims are chosen."""

    def __init__(
        self,
        spent: PreemptionsSpent,
        wall: float,
        stopping: Mapping[str, int],
        running: int,
        limit: Callable[[PreemptionDemand], PreemptionLimit],
    ) -> None:
        """``stopping``: victims of claims that are not gone yet, by budget; ``running``: tasks that run in all."""
        self.spent, self.wall, self.running, self.limit = spent, wall, running, limit
        self.stopping = Counter(stopping)
        self.now: Counter[str] = Counter()  # chosen in this round

    def left(self, need: PreemptionDemand) -> int:
        name, limit = budget_key(need.spec.team, need.reason), self.limit(need)
        at_once = min(limit.at_once, max(1, int(limit.share * self.running)))
        return max(
            0, min(limit.a_minute - self.spent.within(name, self.wall), at_once - self.stopping[name]) - self.now[name]
        )

    def spend(self, need: PreemptionDemand, count: int) -> None:
        self.now[budget_key(need.spec.team, need.reason)] += count
