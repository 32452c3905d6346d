"""What the members tell the leader of their machines, and what it tells them of quotas. Pure."""

from __future__ import annotations

from collections.abc import Callable

from alderbridge import constants
from alderbridge.controller.messenger import Messenger
from alderbridge.controller.state import ControllerState
from alderbridge.leader.leader import Leader
from alderbridge.machines.shard import MachineShard
from alderbridge.protocol import messages, wire


class LeaderMessages:
    """Regular messages to and from the leader, beside the queues."""

    def __init__(
        self,
        state: ControllerState,
        messenger: Messenger,
        leader: Leader,
        machine_shard: MachineShard,
        run_time: Callable[[wire.JobSpec], float],
    ) -> None:
        """``run_time``: expected seconds of a task of a job."""
        self.state = state
        self.membership = state.membership
        self.messenger = messenger
        self.leader = leader
        self.ledger = leader.replica.ledger
        self.machine_shard = machine_shard
        self.run_time = run_time
        self._reported_at = 0.0  # when the leader was last told of this member's machines

    def report_machines(self, now: float) -> None:
        """Tell the leader of this member's machines, once a second."""
        if now - self._reported_at < constants.LEADER_ROUND_S:
            return
        self._reported_at = now
        leader = self.membership.view.leader
        self.machine_shard.check_silence(now)
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
        """Send new quota allocations, in the form that all members read."""
        by_changes = self.membership.all_support(constants.VERSION_WITH_QUEUE_DELTAS)
        for label, teams in self.leader.quota_updates(now).items():
            if by_changes:
                self.messenger.send(label, messages.QuotaDelta(teams))
            else:
                self.messenger.send(label, messages.QuotaAllocation(dict(self.leader.quota_allocator.given[label])))
