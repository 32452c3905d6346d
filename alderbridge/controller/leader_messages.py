"""Machine summaries from members to the leader, and quota allocations from the leader to members. No I/O."""

from __future__ import annotations

from collections.abc import Callable

from alderbridge import constants
from alderbridge.controller.messenger import Messenger
from alderbridge.controller.state import ControllerState
from alderbridge.leader.leader import Leader
from alderbridge.machines.shard import MachineShard
from alderbridge.protocol import messages, wire


class LeaderMessages:
    """Periodic messages to and from the leader, other than queues."""

    def __init__(
        self,
        state: ControllerState,
        messenger: Messenger,
        leader: Leader,
        machine_shard: MachineShard,
        run_time: Callable[[wire.JobSpec], float],
    ) -> None:
        """``run_time``: expected run time of a job's task, in seconds."""
        self.state = state
        self.membership = state.membership
        self.messenger = messenger
        self.leader = leader
        self.ledger = leader.replica.ledger
        self.machine_shard = machine_shard
        self.run_time = run_time
        self._last_report_at = 0.0  # when the machine summaries were last sent

    def report_machines(self, now: float) -> None:
        """Send summaries of this member's machines to the leader, every ``LEADER_ROUND_INTERVAL_S``."""
        if now - self._last_report_at < constants.LEADER_ROUND_INTERVAL_S:
            return
        self._last_report_at = now
        leader = self.membership.view.leader
        self.machine_shard.update_reconciliation(now)
        self.messenger.send_unreliable(
            leader, messages.MachineSummaries(self.machine_shard.capacity.summaries(now, self.run_time))
        )
        if self.ledger.entries and self.membership.all_support(constants.VERSION_WITH_CONFIGURATION):
            self.messenger.send_unreliable(
                leader,
                messages.MachineTaskList(
                    self.machine_shard.claims.machine_tasks(now, self.ledger.entries, None), False
                ),
            )

    def send_quota_updates(self, now: float) -> None:
        """Send changed quota allocations, as deltas if all members support them."""
        deltas_supported = self.membership.all_support(constants.VERSION_WITH_QUEUE_DELTAS)
        for label, teams in self.leader.quota_updates(now).items():
            if deltas_supported:
                self.messenger.send(label, messages.QuotaDelta(teams))
            else:
                self.messenger.send(
                    label, messages.QuotaAllocation(dict(self.leader.quota_allocator.allocations[label]))
                )
