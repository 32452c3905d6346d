"""The leader's planning round of preemption claims, and the policies that may preempt. No I/O."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, Any

from alderbridge import constants
from alderbridge.controller.messenger import Messenger
from alderbridge.controller.record_writer import RecordWriter
from alderbridge.controller.state import ControllerState
from alderbridge.leader.leader import Leader
from alderbridge.machines.shard import MachineShard
from alderbridge.preemption import GuaranteeUsage
from alderbridge.preemption.planner import PreemptionPlanner, PreemptionPolicy
from alderbridge.priorities import PriorityPolicy
from alderbridge.protocol import messages, wire
from alderbridge.settings import Team

if TYPE_CHECKING:
    from alderbridge.lending import CapacityLender


class PreemptionRound:
    """Keeps the policies in force and, on the leader, plans preemption claims with them."""

    def __init__(
        self,
        state: ControllerState,
        messenger: Messenger,
        leader: Leader,
        machine_shard: MachineShard,
        record_writer: RecordWriter,
        teams: Sequence[Team],
    ) -> None:
        """``machine_shard``: the machine types; ``record_writer``: the maximum number of changes in a transaction."""
        self.state = state
        self.membership = state.membership
        self.messenger = messenger
        self.leader = leader
        self.declared = leader.replica.declared
        self.machine_shard = machine_shard
        self.record_writer = record_writer
        self.teams = teams
        self.planner = PreemptionPlanner(leader, leader.replica.ledger)
        self.priority_configurations: Callable[[float], list[Any]] = lambda now: self.declared.in_force(
            "priorities", now
        )
        self.lending_configurations: Callable[[float], list[Any]] = lambda now: self.declared.in_force("lending", now)
        self.priority_policy = PriorityPolicy([])
        self.priorities_refreshed_at = float("-inf")
        self.lender: CapacityLender | None = None
        self.reserved_gpus: dict[
            str, float
        ] = {}  # machine -> GPUs that lending leaves free, from the leader's last message
        self.reserved_gpus_until = float("-inf")
        self.reservation_sent_at = float("-inf")  # when the leader last sent a reservation

    def on_gpu_reservation(self, reservation: messages.GpuReservation) -> None:
        """Record the GPUs that lending must leave free, as sent by the leader; expires after a TTL."""
        self.reserved_gpus = reservation.gpus
        self.reserved_gpus_until = self.state.now + constants.GPU_RESERVATION_TTL_S

    def tasks_served_by_lending(self, row: messages.QueueRow, spec: wire.JobSpec) -> int:
        """The number of a job's waiting tasks that lending frees capacity for: no machine is rented for these."""
        return self.lender.unrented_tasks(row, spec) if self.lender is not None else 0

    def may_preempt(self, spec: wire.JobSpec) -> bool:
        """Whether the priorities in force let this job preempt; they are refreshed once a round."""
        if self.state.now - self.priorities_refreshed_at >= constants.ROUND_INTERVAL_S:
            self._refresh_priorities()
        return bool(self.priority_policy.configurations) and self.priority_policy.may_preempt(spec)

    def _refresh_priorities(self) -> None:
        """Load the priorities in force; none while a member runs a version without support for claims."""
        self.priorities_refreshed_at = self.state.now
        claims_supported = self.membership.all_support(constants.VERSION_WITH_CONFIGURATION)
        configurations = self.priority_configurations(self.state.now) if claims_supported else []
        if configurations != self.priority_policy.configurations:
            self.priority_policy = PriorityPolicy(configurations)

    def policies(self) -> list[PreemptionPolicy]:
        """The policies that may preempt now; none while a member runs a version without support for claims."""
        self._refresh_priorities()
        result: list[PreemptionPolicy] = [self.priority_policy] if self.priority_policy.configurations else []
        lending_configurations = (
            self.lending_configurations(self.state.now)
            if self.membership.all_support(constants.VERSION_WITH_CONFIGURATION)
            else []
        )
        if not lending_configurations:
            self.lender = None
        elif self.lender is None or self.lender.configurations != lending_configurations:
            from alderbridge.lending import CapacityLender  # imported only if lending is declared: shortens start-up

            self.lender = CapacityLender(
                lending_configurations, self.teams, self.machine_shard.capacity.types, self.lender
            )
        if self.lender is not None:
            self.lender.types = self.machine_shard.capacity.types
            result.append(self.lender)
        return result

    def plan(self, now: float) -> None:
        """The leader's round: drop finished claims, collect the demands for capacity and choose victims."""

        def teams() -> GuaranteeUsage:
            used: dict[str, tuple[float, float]] = {}
            for queue in self.leader.queues.values():
                for team, (cpus, gpus) in queue.used.items():
                    team_used = used.get(team, (0.0, 0.0))
                    used[team] = (team_used[0] + cpus, team_used[1] + gpus)
            return GuaranteeUsage(self.teams, used)

        policies = self.policies()
        if self.planner.plan(now, now + self.state.wall_offset_s, policies, teams, self.record_writer.max_changes):
            for label in self.membership.view.members:
                self.messenger.send_unreliable(label, messages.ListMachineTasks())
        if (
            self.lender is not None
            and now - self.reservation_sent_at >= constants.LEADER_ROUND_INTERVAL_S
            and self.leader.ready(now)
        ):
            self.reservation_sent_at = now
            gpus = self.lender.gpus_to_reserve(self.planner, now)
            if gpus or self.reserved_gpus:
                for label in self.membership.view.members:
                    self.messenger.send_unreliable(label, messages.GpuReservation(gpus))
