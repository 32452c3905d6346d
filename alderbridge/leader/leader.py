"""The leader: what it knows of machines, queues and quotas, and what it decides. Pure.

It takes in what the members and the cloud tell and hands it to its parts: ``RentedMachines`` (what is rented),
``DemandCollector`` (what waits), ``Autoscaler`` (what to rent and return) and ``QuotaAllocator`` (each team's quota).
The controller carries the decisions out.
"""

from __future__ import annotations

from collections.abc import Container
from typing import NamedTuple

from alderbridge import constants
from alderbridge.leader.demand import DemandCollector, TasksServedByLending, no_lending
from alderbridge.leader.fleet_monitor import FleetMonitor, SummaryRows
from alderbridge.leader.quota import QuotaAllocator
from alderbridge.leader.reachable_order import ReachableOrder
from alderbridge.leader.rented_machines import RentedMachines
from alderbridge.leader.scaling import Autoscaler, ScalingDecision
from alderbridge.protocol.messages import MachineSummaries, QueueDelta, QueueSnapshot, TeamUsageDelta
from alderbridge.protocol.wire import ListedMachine, MachineType
from alderbridge.queues import ShardQueues
from alderbridge.reconciliation import ScaleInGuard
from alderbridge.scheduling.demand import Demand, MachineKind, MachineResource
from alderbridge.scheduling.market import Market
from alderbridge.scheduling.resources import QuotaAmounts
from alderbridge.settings import Team, Tuning
from alderbridge.state.replica import Replica


class LeaderSettings(NamedTuple):
    """What the settings say to a leader."""

    teams: list[Team]
    zones: list[str]
    tuning: Tuning
    list_lag_s: float  # how far the cloud's listing may be behind its answers
    worker_lease_s: float


class Leader:
    """One for the life of a controller; it counts only while the controller is the leader of the view."""

    def __init__(
        self,
        settings: LeaderSettings,
        replica: Replica,
        tasks_served_by_lending: TasksServedByLending = no_lending,
    ) -> None:
        """``tasks_served_by_lending``: waiting tasks of a job that no machine is rented for."""
        self.settings = settings
        self.teams = [team for team in settings.teams if team.cpus_max > 0 or team.gpus_max > 0]
        self.replica = replica
        self.market = Market({}, settings.zones, settings.tuning.bid_share)
        self.rented_machines = RentedMachines()
        self.scale_in_guard = ScaleInGuard(settings.worker_lease_s)
        self.fleet_monitor = FleetMonitor(self.scale_in_guard)
        self.order = ReachableOrder(self.market, self.rented_machines)
        self.demand_collector = DemandCollector(self.teams, replica, self.scale_in_guard, tasks_served_by_lending)
        self.autoscaler = Autoscaler(
            settings.tuning, settings.list_lag_s, self.market, self.rented_machines, self.fleet_monitor
        )
        self.quota_allocator = QuotaAllocator(self.teams, replica.spec)
        self.enter([], 0.0)

    def enter(self, members: list[str], now: float) -> None:
        """A new view: the members tell anew what they have."""
        self.members = members
        self.entered_at = now
        self.queues = ShardQueues()
        self.machine_summaries: dict[str, tuple[MachineSummaries, float]] = {}
        self.quota_allocator.enter(members)
        self.autoscaler.enter(now)
        self.rented_machines.enter()

    # -- what the members tell -------------------------------------------------

    def on_queue(self, label: str, queue: QueueSnapshot, now: float) -> None:
        """The whole queue of a job shard whose member sends no deltas."""
        if label in self.members and self.queues.of(label).apply_snapshot(queue, now):
            self.queues.promote(label)
            self.quota_allocator.changed.update(self.quota_allocator.teams)

    def on_queue_changes(self, label: str, changes: QueueDelta, now: float) -> None:
        """Rows of a job shard's queue that differ."""
        if label in self.members:
            self.queues.of(label).apply_row_delta(changes, now)
            self.queues.promote(label)
            self.quota_allocator.rows_changed([*(row.job for row in changes.rows), *changes.gone])

    def on_team_changes(self, label: str, changes: TeamUsageDelta) -> None:
        """Usage of a job shard's teams that differs."""
        if label in self.members:
            self.queues.of(label).apply_usage_delta(changes)
            self.queues.promote(label)
            self.quota_allocator.sums_changed(changes.teams)

    def on_machine_summaries(self, label: str, summaries: MachineSummaries, now: float) -> None:
        """All machines of a machine shard."""
        if label not in self.members:
            return
        self.machine_summaries[label] = (summaries, now)
        for row in summaries.rows:
            self.rented_machines.on_summary(row, now)

    # -- what the cloud tells ----------------------------------------------------

    def on_scaled_out(self, kind: MachineKind, names: list[str], now: float) -> None:
        """The cloud has rented out these machines."""
        self.rented_machines.on_scaled_out(kind, names, now)

    def on_refused(self, kind: MachineKind, now: float) -> None:
        """The cloud has none of this kind left: it is not asked for more for a while."""
        self.market.refused_until[kind] = now + constants.REFUSED_PAUSE_S

    def on_listing(self, hosts: list[ListedMachine], now: float) -> None:
        """The cloud lists all that is rented."""
        self.rented_machines.on_listing(hosts, now)

    def on_types(self, types: dict[str, MachineType]) -> None:
        """What the cloud rents, with its prices now."""
        self.market.types = types

    def on_terminated(self, names: list[str]) -> None:
        """The cloud has confirmed the end of these machines."""
        self.rented_machines.on_terminated(names)

    # -- decisions -------------------------------------------------------------

    def ready(self, now: float) -> bool:
        """Every member has reported under this view, and the cloud has been asked."""
        return (
            bool(self.market.types)
            and all(m in self.queues and m in self.machine_summaries for m in self.members)
            and (self.rented_machines.listed or now - self.entered_at > 2 * self.settings.list_lag_s)
        )

    def demands(self, now: float) -> list[Demand]:
        """What waits, soonest deadline first; of a team no more than its limit allows."""
        return self.demand_collector.collect(self.queues, self.order, now)

    def outlook(self, now: float, without: Container[str]) -> list[MachineResource]:
        """Room now, room that comes free, and machines that boot, at the time they come up; but for ``without``."""
        return self.autoscaler.outlook(self._summary_rows(), without, now)

    def decide(self, now: float) -> ScalingDecision:
        """What to rent and to return; nothing before all have reported."""
        if not self.ready(now):
            return ScalingDecision()
        rows = self._summary_rows()
        self.fleet_monitor.refresh(rows, self.queues, now)
        return self.autoscaler.decide(rows, self.demands(now), now)

    def quota_updates(self, now: float) -> dict[str, dict[str, QuotaAmounts]]:
        """New quotas by job shard, of the teams for which they differ."""
        return self.quota_allocator.updates(now, self.queues, self.order)

    def _summary_rows(self) -> SummaryRows:
        return {row.machine: (row, at) for summaries, at in self.machine_summaries.values() for row in summaries.rows}
