"""Collects the waiting tasks of all job shards as demands for the renting policy."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from alderbridge.leader.placement_order import PlacementOrder
from alderbridge.protocol.messages import QueueRow
from alderbridge.protocol.wire import JobSpec
from alderbridge.queues import ShardQueue
from alderbridge.reconciliation import ScaleInGuard
from alderbridge.scheduling.demand import Demand
from alderbridge.settings import Team
from alderbridge.state.replica import Replica

# How many of a job's waiting tasks get no rented machine, because capacity lending serves them or has yet to plan them.
TasksServedByLending = Callable[[QueueRow, JobSpec], int]


def no_lending(row: QueueRow, spec: JobSpec) -> int:
    """``TasksServedByLending`` when lending is not configured."""
    return 0


class DemandCollector:
    """Collects the demands for which machines may be rented from the job shards' queues."""

    def __init__(
        self, teams: list[Team], replica: Replica, guard: ScaleInGuard, tasks_served_by_lending: TasksServedByLending
    ) -> None:
        """``guard``: whether inherited tasks count as waiting."""
        self.limits = {team.name: team.cpus_max for team in teams if team.cpus_max > 0}
        self.replica = replica
        self.guard = guard
        self.tasks_served_by_lending = tasks_served_by_lending

    def collect(self, queues: Mapping[str, ShardQueue], order: PlacementOrder, now: float) -> list[Demand]:
        """All demands within the teams' limits, earliest deadline first.

        Limits are applied in the order in which ``QuotaAllocator`` divides them. In another order, a machine could be
        rented for one job while the quota is reserved for another that cannot use it, and neither would start.
        """
        waiting, kinds = [], order.obtainable_kinds(now)
        for queue in queues.values():
            for row in queue.aged_rows(now):
                spec = self.replica.spec(row.job)
                if spec is not None:
                    demand = Demand(spec, self._waiting_tasks(row, spec), row.due_in_s, row.run_s, row.zone)
                    waiting.append((order.key(kinds, row, spec), demand))
        waiting.sort(key=lambda entry: entry[0])
        result = self._within_limits([demand for _, demand in waiting], queues.values())
        result.sort(key=lambda demand: demand.due_in_s)
        return result

    def _waiting_tasks(self, row: QueueRow, spec: JobSpec) -> int:
        count = max(0, row.waiting - self.tasks_served_by_lending(row, spec))
        return count + (row.inherited if self.guard.counts_inherited else 0)

    def _within_limits(self, demands: list[Demand], queues: Iterable[ShardQueue]) -> list[Demand]:
        """The demands without the tasks that would exceed their team's limit; ``demands`` are in placement order."""
        remaining = self._remaining_below_limits(demands, queues)
        result = []
        for demand in demands:
            team = demand.spec.team
            count = demand.count
            if team in remaining:
                count = min(count, max(0, int(remaining[team] / demand.spec.cpus + 1e-9)))
                remaining[team] -= count * demand.spec.cpus
            if count:
                result.append(Demand(demand.spec, count, demand.due_in_s, demand.run_s, demand.zone))
        return result

    def _remaining_below_limits(self, demands: Iterable[Demand], queues: Iterable[ShardQueue]) -> dict[str, float]:
        """CPUs of each limited team that its running tasks do not use."""
        remaining = dict(self.limits)
        for queue in queues:
            for team, (cpus, _) in queue.demand.items():
                if team in remaining:
                    remaining[team] -= cpus
        # A queue's demand includes waiting tasks, which do not use CPUs yet.
        for demand in demands:
            if demand.spec.team in remaining:
                remaining[demand.spec.team] += demand.count * demand.spec.cpus
        return remaining
