"""The leader's state of machines, queues and quotas, and its decisions.

Input from the members and the cloud is passed to ``RentedMachines`` (what is rented), ``DemandCollector`` (waiting
tasks), ``Autoscaler`` (what to rent and return) and ``QuotaAllocator`` (each team's quota). This module performs no
I/O; the controller carries out the decisions.
"""

from __future__ import annotations

from collections.abc import Container
from typing import NamedTuple

from alderbridge import constants
from alderbridge.leader.demand import DemandCollector, TasksServedByLending, no_lending
from alderbridge.leader.fleet_monitor import FleetMonitor, SummaryRows
from alderbridge.leader.placement_order import PlacementOrder
from alderbridge.leader.quota import QuotaAllocator
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
    """The settings that the leader uses."""

    teams: list[Team]
    zones: list[str]
    tuning: Tuning
    list_lag_s: float  # maximum lag of the cloud's listing behind its responses
    worker_lease_s: float


class Leader:
    """Exists in every controller; its decisions are used only while the controller leads the view."""

    def __init__(
        self,
        settings: LeaderSettings,
        replica: Replica,
        tasks_served_by_lending: TasksServedByLending = no_lending,
    ) -> None:
        """``tasks_served_by_lending``: how many of a job's waiting tasks get no rented machine."""
        self.settings = settings
        self.teams = [team for team in settings.teams if team.cpus_max > 0 or team.gpus_max > 0]
        self.replica = replica
        self.market = Market({}, settings.zones, settings.tuning.bid_share)
        self.rented_machines = RentedMachines()
        self.scale_in_guard = ScaleInGuard(settings.worker_lease_s)
        self.fleet_monitor = FleetMonitor(self.scale_in_guard)
        self.placement_order = PlacementOrder(self.market, self.rented_machines)
        self.demand_collector = DemandCollector(self.teams, replica, self.scale_in_guard, tasks_served_by_lending)
        self.autoscaler = Autoscaler(
            settings.tuning, settings.list_lag_s, self.market, self.rented_machines, self.fleet_monitor
        )
        self.quota_allocator = QuotaAllocator(self.teams, replica.spec)
        self.enter_view([], 0.0)

    def enter_view(self, members: list[str], now: float) -> None:
        """Start a new view, in which all members publish their state again."""
        self.members = members
        self.entered_at = now
        self.queues = ShardQueues()
        self.machine_summaries: dict[str, tuple[MachineSummaries, float]] = {}
        self.quota_allocator.enter_view(members)
        self.autoscaler.enter_view(now)
        self.rented_machines.enter_view()

    def on_queue(self, label: str, queue: QueueSnapshot, now: float) -> None:
        """Apply the whole queue of a job shard, from a member that sends no deltas."""
        if label in self.members and self.queues.get_or_create(label).apply_snapshot(queue, now):
            self.queues.promote_if_complete(label)
            self.quota_allocator.changed_teams.update(self.quota_allocator.teams)

    def on_queue_changes(self, label: str, changes: QueueDelta, now: float) -> None:
        """Apply changed rows of a job shard's queue."""
        if label in self.members:
            self.queues.get_or_create(label).apply_row_delta(changes, now)
            self.queues.promote_if_complete(label)
            self.quota_allocator.on_rows_changed([*(row.job for row in changes.rows), *changes.removed_jobs])

    def on_team_changes(self, label: str, changes: TeamUsageDelta) -> None:
        """Apply changed usage of teams at a job shard."""
        if label in self.members:
            self.queues.get_or_create(label).apply_usage_delta(changes)
            self.queues.promote_if_complete(label)
            self.quota_allocator.on_usage_changed(changes.teams)

    def on_machine_summaries(self, label: str, summaries: MachineSummaries, now: float) -> None:
        """Replace the summaries of all machines of a machine shard."""
        if label not in self.members:
            return
        self.machine_summaries[label] = (summaries, now)
        for row in summaries.rows:
            self.rented_machines.on_summary(row, now)

    def on_scaled_out(self, kind: MachineKind, names: list[str], now: float) -> None:
        """The cloud has granted these machines."""
        self.rented_machines.on_scaled_out(kind, names, now)

    def on_refused(self, kind: MachineKind, now: float) -> None:
        """The cloud has no capacity of this kind: it is not requested again for ``NO_CAPACITY_BACKOFF_S``."""
        self.market.refused_until[kind] = now + constants.NO_CAPACITY_BACKOFF_S

    def on_listing(self, hosts: list[ListedMachine], now: float) -> None:
        """Apply the cloud's listing of all rented machines."""
        self.rented_machines.on_listing(hosts, now)

    def on_types(self, types: dict[str, MachineType]) -> None:
        """Replace the cloud's machine types and their current prices."""
        self.market.types = types

    def on_terminated(self, names: list[str]) -> None:
        """The cloud has confirmed the termination of these machines."""
        self.rented_machines.on_terminated(names)

    def ready(self, now: float) -> bool:
        """Whether the state is complete enough for decisions under this view.

        Every member has reported, machine types are loaded, and the cloud's listing has arrived or is overdue.
        """
        return (
            bool(self.market.types)
            and all(m in self.queues and m in self.machine_summaries for m in self.members)
            and (self.rented_machines.listed or now - self.entered_at > 2 * self.settings.list_lag_s)
        )

    def demands(self, now: float) -> list[Demand]:
        """The waiting tasks within their teams' limits, earliest deadline first."""
        return self.demand_collector.collect(self.queues, self.placement_order, now)

    def outlook(self, now: float, without: Container[str]) -> list[MachineResource]:
        """Current and future free capacity, with booting machines at their expected time; leaves out ``without``."""
        return self.autoscaler.outlook(self._summary_rows(), without, now)

    def decide(self, now: float) -> ScalingDecision:
        """What to rent and to return; nothing before ``ready``."""
        if not self.ready(now):
            return ScalingDecision()
        rows = self._summary_rows()
        self.fleet_monitor.refresh(rows, self.queues, now)
        return self.autoscaler.decide(rows, self.demands(now), now)

    def quota_updates(self, now: float) -> dict[str, dict[str, QuotaAmounts]]:
        """Changed quotas by job shard and team."""
        return self.quota_allocator.updates(now, self.queues, self.placement_order)

    def _summary_rows(self) -> SummaryRows:
        return {
            row.machine: (row, received_at)
            for summaries, received_at in self.machine_summaries.values()
            for row in summaries.rows
        }
