"""The logic of one controller, without I/O: constructs the components, connects them, and handles events.

The time is an argument of each method, so that simulations can run several controllers against a simulated store,
simulated workers and an unreliable network. ``process`` sends what is queued in ``effects``, commits the transactions
of ``record_writer.next_batch`` and ``view_entry.next_view``, and carries out the decisions of ``leader.decide``.
"""

from __future__ import annotations

from random import Random

from alderbridge import constants
from alderbridge.configuration import ConfigurationRevision, OperatorConfiguration
from alderbridge.controller.batch_results import BatchResults
from alderbridge.controller.calendar_control import CalendarControl
from alderbridge.controller.dependency_tracker import DependencyTracker
from alderbridge.controller.effects import Effects
from alderbridge.controller.job_directory import JobDirectory
from alderbridge.controller.leader_messages import LeaderMessages
from alderbridge.controller.local_jobs import LocalJobs
from alderbridge.controller.machine_records import MachineRecordTracker
from alderbridge.controller.machine_types import MachineTypeRegistry
from alderbridge.controller.message_handlers import MessageHandlers
from alderbridge.controller.messenger import Messenger
from alderbridge.controller.placement_round import PlacementRound
from alderbridge.controller.preemption_round import PreemptionRound
from alderbridge.controller.queue_inbox import QueueInbox
from alderbridge.controller.queue_round import QueueRound
from alderbridge.controller.queue_times import QueueTimes
from alderbridge.controller.record_writer import RecordWriter
from alderbridge.controller.state import ControllerState
from alderbridge.controller.store_follower import StoreFollower
from alderbridge.controller.submissions import Submissions
from alderbridge.controller.view_entry import ViewEntry
from alderbridge.jobs.shard import JobShard
from alderbridge.leader.leader import Leader, LeaderSettings
from alderbridge.machines.context import JobLookups, Outbox
from alderbridge.machines.machine import Machine
from alderbridge.machines.shard import MachineShard
from alderbridge.membership.membership import Membership, MemberStatus
from alderbridge.protocol import messages, wire
from alderbridge.queues import OfferBook
from alderbridge.settings import PlatformSettings, Tuning
from alderbridge.state.replica import Replica
from alderbridge.state.write_rate_limit import WriteRateLimit


class ControllerCore:
    """Entry point for frames, heartbeats and periodic rounds, which it delegates to the component concerned."""

    def __init__(
        self,
        platform: PlatformSettings,
        tuning: Tuning,
        now: float,
        rng: Random | None = None,
        own: dict[str, ConfigurationRevision] | None = None,
    ) -> None:
        """``own``: configuration from this process's operator files, by kind; ``now``: monotonic time in seconds."""
        self.me = platform.label
        self.shared = platform.settings
        peers = [peer.label for peer in platform.peers]
        self.membership = self._construct_membership()
        self.effects = Effects()
        self.state = ControllerState(self.me, self.membership, now)
        self.messenger = Messenger(self.state, self.effects, peers)
        self.queue_times = QueueTimes(self.state, tuning, self.shared.objectives)
        declared = OperatorConfiguration(own, self.membership.store_lease.ttl_s, [self.me, *peers])
        self.replica = Replica(self.membership, self.queue_times.graph, declared)
        self._construct_shards(rng or Random(platform.label))
        self.leader = Leader(
            LeaderSettings(
                self.shared.teams,
                self.shared.zones,
                tuning,
                self.shared.cloud.list_lag_s,
                self.shared.workers.lease_s,
            ),
            self.replica,
            lambda row, spec: self.preemption.tasks_served_by_lending(row, spec),
        )
        self._construct_jobs()
        self._construct_records(1 + len(peers))
        self._construct_rounds()
        self._construct_followers()
        self.messenger.handlers = self._construct_handlers().by_type()

    def _construct_membership(self) -> Membership:
        """The time to live of the store lease follows from the worker lease and the time limit of a cancellation.

        Both leases have to expire, one after the other, within the time limit ``cancel_s``.
        """
        lease_s = self.shared.workers.lease_s
        max_ttl_s = self.shared.workers.cancel_s - lease_s - constants.CANCEL_MARGIN_S
        ttl_s = min(max(constants.STORE_LEASE_TTL_S, constants.COMBINED_LEASE_S - lease_s), max_ttl_s)
        return Membership(self.me, ttl_s, min(constants.STORE_LEASE_TTL_S, max_ttl_s))

    def _construct_shards(self, rng: Random) -> None:
        value_bytes = int(self.shared.state.effective.value_kb * 1024)
        self.job_shard = JobShard(
            self.shared.teams,
            self.messenger.send,
            value_bytes,
            machine_owner=self.membership.machine_owner,
            send_deferred=self.messenger.send_deferred,
        )
        self.directory = JobDirectory(self.membership, self.replica, self.job_shard)
        self.machine_shard = MachineShard(
            self.shared.workers.lease_s,
            JobLookups(self.directory.spec_of, self.directory.job_owner, self.directory.is_aborted),
            Outbox(self.messenger.send, self.messenger.send_deferred, self.messenger.processed_seq_of),
            lambda name: self.machine_records.cancel_drop(name),
            rng,
        )
        self.machine_records = MachineRecordTracker(self.replica, self.machine_shard)

    def _construct_jobs(self) -> None:
        self.calendars = CalendarControl(
            self.state,
            self.replica.declared,
            self.job_shard,
            self.machine_shard,
            self.queue_times.rank,
            self.shared.skew_ms,
        )
        self.dependencies = DependencyTracker(self.state, self.replica, self.job_shard)
        self.submissions = Submissions(
            self.state, self.replica, self.job_shard, self.dependencies, self.effects.notifications.append
        )
        self.local_jobs = LocalJobs(self.state, self.replica, self.job_shard, self.directory, self.dependencies)

    def _construct_records(self, controllers: int) -> None:
        """The write rate of the store is divided by ``controllers`` until a view gives the number of members."""
        limits = self.shared.state.effective
        self.write_rate_limit = WriteRateLimit(
            limits.write_rps * constants.RATE_LIMIT_SHARE, controllers, self.state.now
        )
        self.record_writer = RecordWriter(
            self.state,
            self.replica,
            self.job_shard,
            self.machine_shard,
            self.machine_records,
            self.submissions,
            self.dependencies,
            self.write_rate_limit,
            limits.txn_ops,
        )
        self.batch_results = BatchResults(
            self.state,
            self.effects,
            self.messenger,
            self.replica,
            self.job_shard,
            self.machine_records,
            self.submissions,
            self.dependencies,
            self.record_writer,
        )

    def _construct_rounds(self) -> None:
        self.preemption = PreemptionRound(
            self.state, self.messenger, self.leader, self.machine_shard, self.record_writer, self.shared.teams
        )
        offer_book = OfferBook(self.directory.spec_of, self.preemption.may_preempt)
        self.placement_round = PlacementRound(
            self.state,
            self.messenger,
            self.machine_shard,
            self.replica.ledger,
            self.directory,
            self.preemption,
            offer_book.offers,
        )
        self.queue_inbox = QueueInbox(self.state, self.leader, self.write_rate_limit, offer_book)
        self.queue_round = QueueRound(
            self.state,
            self.messenger,
            self.replica,
            self.job_shard,
            self.queue_times,
            self.calendars,
            self.write_rate_limit,
            self.shared.teams,
        )
        self.leader_messages = LeaderMessages(
            self.state, self.messenger, self.leader, self.machine_shard, self.queue_times.run_time
        )

    def _construct_followers(self) -> None:
        self.view_entry = ViewEntry(
            self.state,
            self.effects,
            self.messenger,
            self.replica,
            self.job_shard,
            self.machine_shard,
            self.machine_records,
            self.dependencies,
            self.leader,
            self.preemption,
            self.queue_inbox,
            self.queue_round,
            self.record_writer,
        )
        self.machine_types = MachineTypeRegistry(
            self.state, self.replica, self.leader, self.job_shard, self.machine_shard
        )
        self.store_follower = StoreFollower(
            self.state,
            self.replica,
            self.machine_shard,
            self.machine_types,
            self.directory,
            self.dependencies,
            self.submissions,
            self.calendars,
            self.view_entry,
        )

    def _construct_handlers(self) -> MessageHandlers:
        return MessageHandlers(
            self.state,
            self.effects,
            self.messenger,
            self.job_shard,
            self.machine_shard,
            self.machine_records,
            self.leader,
            self.preemption,
            self.queue_inbox,
            self.queue_round,
        )

    def may_act(self) -> bool:
        """Whether this process is a member whose store lease, view and replica are valid now."""
        return self.state.may_act()

    def on_frame(self, frame: messages.Frame, now: float) -> None:
        """Handle a frame from a peer."""
        self.state.now = now
        channel, membership = self.messenger.channels.get(frame.sender), self.membership
        if channel is None:
            return
        body = None
        if frame.fencing_token != membership.fencing_token or membership.failure_detector.accepts(frame.sender):
            if membership.status(now) is MemberStatus.OUTSIDE:
                # Its lease is lost: acknowledgements would be taken for those of the expired incarnation.
                self.state.is_member = False
            if self.state.is_member or isinstance(frame.body, messages.JobQuery | messages.JobQueryReply):
                body = channel.receive(frame, now)
            else:
                # Messages are addressed to an earlier incarnation of this controller, which acknowledgements do not
                # distinguish from this one. If they were accepted, the empty job shard here would make the peers'
                # machines stop that incarnation's tasks and acknowledge results that are not stored
                # (docs/incidents/former-life.md).
                channel.observe_view(frame)
            if frame.fencing_token == membership.fencing_token:
                self.observe_frame(frame, channel.newest_acked_sent_at, now)
        if body is not None:
            self.messenger.dispatch(frame.sender, body)
            self.messenger.pump()

    def observe_frame(self, frame: messages.Frame, newest_acked_sent_at: float, now: float) -> None:
        """Update the failure detector from a frame with the current fencing token; its sender may have restarted."""
        failure_detector = self.membership.failure_detector
        failure_detector.excluded.discard(frame.sender)
        if frame.sender_lease_id and frame.sender_lease_id == self.membership.view.members.get(frame.sender):
            failure_detector.record_frame(frame.sender, newest_acked_sent_at, now)
            if isinstance(frame.body, messages.QueueSnapshot | messages.PeerStatus):
                failure_detector.record_peer_report(frame.sender, frame.body.suspected, frame.body.failed)

    def on_heartbeat(self, heartbeat: wire.Heartbeat, now: float) -> Machine | None:
        """Apply a heartbeat of a machine of this shard; returns None if it must not be answered with 200."""
        self.state.now = now
        machine = self.machine_shard.heartbeats.on_heartbeat(heartbeat, now)
        self.messenger.pump()
        if machine is not None and machine.acknowledged:
            self.placement_round.execute_claim(machine)
            self.placement_round.place(machine, now)
        return machine

    def on_probe_answered(self, heartbeat: wire.Heartbeat, now: float) -> None:
        """Apply the answer of a machine of this shard to an empty ``/commands`` request under this view."""
        self.state.now = now
        if self.may_act():
            self.machine_shard.heartbeats.on_probe_answer(heartbeat, now)
            self.messenger.pump()

    def round(self, now: float) -> None:
        """Periodic work, once every ``constants.ROUND_INTERVAL_S``."""
        self.state.now = now
        self.machine_shard.view.set_answering(now, self.may_act())
        self.calendars.refresh()
        for label in list(self.messenger.deferred):
            self.messenger.flush_deferred(label)
        if self.membership.status(now) is MemberStatus.OUTSIDE:
            for label in self.messenger.channels:
                self.messenger.send_unreliable(label, messages.KeepAlive())
            return
        self.membership.failure_detector.refresh(now)
        self.view_entry.refresh_settlement(now)
        self.refresh_machines(now)
        self.write_rate_limit.refresh(now)
        self.queue_round.publish(now, self.queue_round.snapshot(now))
        self.messenger.maintain_channels(now)
        self.leader_messages.report_machines(now)
        if self.membership.is_leader(now):
            self.leader_messages.send_quota_updates(now)
            self.preemption.plan(now)
        self.messenger.pump()

    def refresh_machines(self, now: float) -> None:
        """Expire workers' leases, and invalidate what was derived from free capacity and offers."""
        self.machine_shard.leases.no_newer_view_until = self.membership.synced_at
        if self.may_act():
            self.machine_shard.leases.check(now)
        self.placement_round.busy_machines = None
        self.queue_inbox.offer_book.add_pending_rows()

    def on_terminated(self, names: list[str], now: float) -> None:
        """The cloud has confirmed that these machines are terminated: notify all members."""
        self.state.now = now
        self.leader.on_terminated(names)
        for label in self.membership.view.members:
            self.messenger.send(label, messages.MachinesTerminated(names))
        self.messenger.pump()

    def drain_machines(self, names: list[str], now: float) -> None:
        """Ask the owners of these machines to place no more tasks on them."""
        self.state.now = now
        by_owner: dict[str, list[str]] = {}
        for name in names:
            by_owner.setdefault(self.membership.machine_owner(name), []).append(name)
        for label, owned in by_owner.items():
            self.messenger.send(label, messages.DrainMachines(owned))
        self.messenger.pump()
