"""What waits in all job shards, as the renting policy sees it. Pure."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from alderbridge.leader.reachable_order import ReachableOrder
from alderbridge.protocol.messages import QueueRow
from alderbridge.protocol.wire import JobSpec
from alderbridge.queues import ShardQueue
from alderbridge.reconciliation import ScaleInGuard
from alderbridge.scheduling.demand import Demand
from alderbridge.settings import Team
from alderbridge.state.replica import Replica

# How many waiting tasks of a job capacity lending serves, or has yet to look at: no machine is rented for them.
TasksServedByLending = Callable[[QueueRow, JobSpec], int]


def no_lending(row: QueueRow, spec: JobSpec) -> int:
    """``TasksServedByLending`` where nothing is lent."""
    return 0


class DemandCollector:
    """Gathers from the job shards' queues what machines may be rented for."""

    def __init__(
        self, teams: list[Team], replica: Replica, guard: ScaleInGuard, tasks_served_by_lending: TasksServedByLending
    ) -> None:
        """``guard`` tells whether inherited tasks count as waiting ones."""
        self.limits = {team.name: team.cpus_max for team in teams if team.cpus_max > 0}
        self.replica = replica
        self.guard = guard
        self.tasks_served_by_lending = tasks_served_by_lending

    def collect(self, queues: Mapping[str, ShardQueue], order: ReachableOrder, now: float) -> list[Demand]:
        """What waits, soonest deadline first.

        Of a team's limit, what its quota is divided for: in another order a machine was rented for one job and the
        quota kept for another that could not use it, and where all were late neither ever began.
        """
        waiting, kinds = [], order.kinds_in_reach(now)
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
        """A team's tasks beyond its limit cannot run at once: they ask for nothing."""
        left = self._left_below_limits(demands, queues)
        result = []
        for demand in demands:
            team = demand.spec.team
            count = demand.count
            if team in left:
                count = min(count, max(0, int(left[team] / demand.spec.cpus + 1e-9)))
                left[team] -= count * demand.spec.cpus
            if count:
                result.append(Demand(demand.spec, count, demand.due_in_s, demand.run_s, demand.zone))
        return result

    def _left_below_limits(self, demands: Iterable[Demand], queues: Iterable[ShardQueue]) -> dict[str, float]:
        """CPUs of each limited team that no running task takes."""
        left = dict(self.limits)
        for queue in queues:
            for team, (cpus, _) in queue.demand.items():
                if team in left:
                    left[team] -= cpus
        # A team's demand counts what waits as well: give that back.
        for demand in demands:
            if demand.spec.team in left:
                left[demand.spec.team] += demand.count * demand.spec.cpus
        return left
