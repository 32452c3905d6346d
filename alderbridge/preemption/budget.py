"""How many stops a team may cause: spent in the store with the claims, never twice and never gained by a crash."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, NamedTuple

from alderbridge.preemption.records import Spent, budget_of

if TYPE_CHECKING:
    from alderbridge.preemption.choosing import Need


class Limit(NamedTuple):
    """What one class, or one lending rule, may cause."""

    a_minute: int  # stops in a minute
    at_once: int  # victims at one time that are not yet known to be gone
    share: float = 1.0  # of the tasks that run, stopped at one time; one in any case


class Budget:
    """What may still be stopped now, while victims are chosen."""

    def __init__(
        self, spent: Spent, wall: float, stopping: Mapping[str, int], running: int, limit: Callable[[Need], Limit]
    ) -> None:
        """``stopping``: victims of claims that are not gone yet, by budget; ``running``: tasks that run in all."""
        self.spent, self.wall, self.running, self.limit = spent, wall, running, limit
        self.stopping = Counter(stopping)
        self.now: Counter[str] = Counter()  # chosen in this round

    def left(self, need: Need) -> int:
        name, limit = budget_of(need.spec.team, need.reason), self.limit(need)
        at_once = min(limit.at_once, max(1, int(limit.share * self.running)))
        return max(
            0, min(limit.a_minute - self.spent.within(name, self.wall), at_once - self.stopping[name]) - self.now[name]
        )

    def spend(self, need: Need, count: int) -> None:
        self.now[budget_of(need.spec.team, need.reason)] += count
