"""Limits on the preemptions that a team may cause.

Usage is stored in the same transaction as the claims, so that a crash of the leader does not reset it.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from typing import NamedTuple

from alderbridge.claims.records import PreemptionUsage, budget_key
from alderbridge.preemption.model import PreemptionDemand


class PreemptionLimit(NamedTuple):
    """Limits on the preemptions that one priority class or one lending rule may cause."""

    max_per_minute: int  # preemptions per minute
    max_concurrent: int  # victims that are stopping at one time
    max_share_of_running: float = 1.0  # of all running tasks, stopping at one time; rounded down, but at least one task


class PreemptionBudget:
    """The preemptions that remain allowed during one planning round."""

    def __init__(
        self,
        used: PreemptionUsage,
        wall: float,
        stopping: Mapping[str, int],
        running: int,
        limit: Callable[[PreemptionDemand], PreemptionLimit],
    ) -> None:
        """Start from the stored usage ``used``, at ``wall`` (Unix time in s).

        ``stopping``: victims of stored claims that are not gone yet, by budget. ``running``: all running tasks.
        """
        self.used, self.wall_time, self.running, self.limit = used, wall, running, limit
        self.stopping = Counter(stopping)
        self.selected: Counter[str] = Counter()  # budget -> victims selected in this round

    def remaining(self, demand: PreemptionDemand) -> int:
        """Return how many more tasks may be preempted for the demand."""
        name, limit = budget_key(demand.spec.team, demand.reason), self.limit(demand)
        at_once = min(limit.max_concurrent, max(1, int(limit.max_share_of_running * self.running)))
        remaining_in_minute = limit.max_per_minute - self.used.in_last_minute(name, self.wall_time)
        return max(0, min(remaining_in_minute, at_once - self.stopping[name]) - self.selected[name])

    def use(self, demand: PreemptionDemand, count: int) -> None:
        """Charge ``count`` victims selected for the demand to its budget."""
        self.selected[budget_key(demand.spec.team, demand.reason)] += count
