"""The leader's round of preemption claims, and the policies that may ask for others' room. Pure."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, Any

from alderbridge import constants
from alderbridge.controller.messenger import Messenger
from alderbridge.controller.record_writer import RecordWriter
from alderbridge.controller.state import ControllerState
from alderbridge.leader.leader import Leader
from alderbridge.machines.shard import MachineShard
from alderbridge.preemption import Teams
from alderbridge.preemption.planner import PreemptionPlanner, PreemptionPolicy
from alderbridge.priorities import PriorityPolicy
from alderbridge.protocol import messages, wire
from alderbridge.settings import Team

if TYPE_CHECKING:
    from alderbridge.lending import CapacityLender


class PreemptionRound:
    """Holds the policies in force; on the leader, plans claims by them."""

    def __init__(
        self,
        state: ControllerState,
        messenger: Messenger,
        leader: Leader,
        machine_shard: MachineShard,
        record_writer: RecordWriter,
        teams: Sequence[Team],
    ) -> None:
        """``machine_shard`` knows the machine types, ``record_writer`` how many changes a transaction takes."""
        self.state = state
        self.membership = state.membership
        self.messenger = messenger
        self.leader = leader
        self.declared = leader.replica.declared
        self.machine_shard = machine_shard
        self.record_writer = record_writer
        self.teams = teams
        self.planner = PreemptionPlanner(leader, leader.replica.ledger)
        self.priorities: Callable[[float], list[Any]] = lambda now: self.declared.in_force("priorities", now)
        self.lendings: Callable[[float], list[Any]] = lambda now: self.declared.in_force("lending", now)
        self.rules = PriorityPolicy([])
        self.rules_refreshed_at = float("-inf")
        self.lender: CapacityLender | None = None
        self.reserved_gpus: dict[str, float] = {}  # machine -> GPUs that lending leaves free, as the leader told last
        self.reserved_gpus_until = float("-inf")
        self.gpus_reserved_at = float("-inf")  # when the leader last sent a reservation

    def reserve_gpus(self, reservation: messages.GpuReservation) -> None:
        """The leader says which GPUs lending leaves free; it holds for a while."""
        self.reserved_gpus = reservation.gpus
        self.reserved_gpus_until = self.state.now + constants.GPU_RESERVATION_TTL_S

    def tasks_served_by_lending(self, row: messages.QueueRow, spec: wire.JobSpec) -> int:
        """How many of a job's waiting tasks lending makes room for: no machine is rented for these."""
        return self.lender.serves_soon(row, spec) if self.lender is not None else 0

    def may_preempt(self, spec: wire.JobSpec) -> bool:
        """Whether such a job may ask for others' room by the priorities in force; looked up once a round."""
        if self.state.now - self.rules_refreshed_at >= constants.ROUND_S:
            self._refresh_rules()
        return bool(self.rules.configurations) and self.rules.may_preempt(spec)

    def _refresh_rules(self) -> None:
        """Take the priorities in force; none while a member runs a version that knows no claims."""
        self.rules_refreshed_at = self.state.now
        knows_claims = self.membership.all_support(constants.VERSION_WITH_CONFIGURATION)
        configurations = self.priorities(self.state.now) if knows_claims else []
        if configurations != self.rules.configurations:
            self.rules = PriorityPolicy(configurations)

    def policies(self) -> list[PreemptionPolicy]:
        """Who may ask for others' room now; none while a member runs a version that knows no claims."""
        self._refresh_rules()
        result: list[PreemptionPolicy] = [self.rules] if self.rules.configurations else []
        lendings = (
            self.lendings(self.state.now) if self.membership.all_support(constants.VERSION_WITH_CONFIGURATION) else []
        )
        if not lendings:
            self.lender = None
        elif self.lender is None or self.lender.configurations != lendings:
            from alderbridge.lending import CapacityLender  # only here: start-up is charged

            self.lender = CapacityLender(lendings, self.teams, self.machine_shard.capacity.types, self.lender)
        if self.lender is not None:
            self.lender.types = self.machine_shard.capacity.types
            result.append(self.lender)
        return result

    def plan(self, now: float) -> None:
        """The leader's round: which claims are over, who needs room, and which tasks are to stop for it."""

        def teams() -> Teams:
            used: dict[str, tuple[float, float]] = {}
            for queue in self.leader.queues.values():
                for team, (cpus, gpus) in queue.used.items():
                    have = used.get(team, (0.0, 0.0))
                    used[team] = (have[0] + cpus, have[1] + gpus)
            return Teams(self.teams, used)

        sources = self.policies()
        if self.planner.plan(now, now + self.state.wall_offset_s, sources, teams, self.record_writer.max_changes):
            for label in self.membership.view.members:
                self.messenger.send_unreliable(label, messages.ListMachineTasks())
        if (
            self.lender is not None
            and now - self.gpus_reserved_at >= constants.LEADER_ROUND_S
            and self.leader.ready(now)
        ):
            self.gpus_reserved_at = now
            gpus = self.lender.gpus_to_reserve(self.planner, now)
            if gpus or self.reserved_gpus:
                for label in self.membership.view.members:
                    self.messenger.send_unreliable(label, messages.GpuReservation(gpus))
