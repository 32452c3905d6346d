"""View changes: rebuilds the controller's state for a new view, and proposes the next view."""

from __future__ import annotations

import logging

from alderbridge import constants
from alderbridge.controller.dependency_tracker import DependencyTracker
from alderbridge.controller.effects import Effects, JobEndStored
from alderbridge.controller.machine_records import MachineRecordTracker
from alderbridge.controller.messenger import Messenger
from alderbridge.controller.preemption_round import PreemptionRound
from alderbridge.controller.queue_inbox import QueueInbox
from alderbridge.controller.queue_round import QueueRound
from alderbridge.controller.record_writer import RecordWriter
from alderbridge.controller.state import ControllerState
from alderbridge.jobs.job import Job
from alderbridge.jobs.record import JobState, Record
from alderbridge.jobs.shard import JobShard
from alderbridge.leader.leader import Leader
from alderbridge.machines.shard import MachineShard
from alderbridge.membership.membership import MemberStatus
from alderbridge.membership.records import View
from alderbridge.protocol.keys import MEMBERS, VIEW
from alderbridge.state.replica import Replica

log = logging.getLogger("core")


class ViewEntry:
    """Makes all components that depend on the view enter a new one, in order."""

    def __init__(
        self,
        state: ControllerState,
        effects: Effects,
        messenger: Messenger,
        replica: Replica,
        job_shard: JobShard,
        machine_shard: MachineShard,
        machine_records: MachineRecordTracker,
        dependencies: DependencyTracker,
        leader: Leader,
        preemption: PreemptionRound,
        queue_inbox: QueueInbox,
        queue_round: QueueRound,
        record_writer: RecordWriter,
    ) -> None:
        """The components whose state depends on the view."""
        self.state = state
        self.membership = state.membership
        self.effects = effects
        self.messenger = messenger
        self.replica = replica
        self.job_shard = job_shard
        self.machine_shard = machine_shard
        self.machine_records = machine_records
        self.dependencies = dependencies
        self.leader = leader
        self.preemption = preemption
        self.queue_inbox = queue_inbox
        self.queue_round = queue_round
        self.record_writer = record_writer
        self.write_rate_limit = record_writer.write_rate_limit
        self.entered_lease_id = 0  # the store lease under which the shards were last built
        self.entered_at = state.now  # when this controller applied the view, monotonic seconds

    def enter_view(self, now: float, wall: float) -> None:
        """Rebuild job shard, machine shard and channels for the view that was just applied."""
        view, fencing_token = self.membership.view, self.membership.fencing_token
        members = sorted(view.members)
        log.info("view fencing_token=%d leader=%s members=%s", fencing_token, view.leader, members)
        self.entered_at = now
        is_member = self.membership.status(now) is not MemberStatus.OUTSIDE
        self.messenger.enter_view(fencing_token, self.membership.store_lease.lease_id if is_member else 0, now)
        self.queue_round.publisher.enter_view()
        self.queue_inbox.clear()
        continued = is_member and self.state.loaded and self.entered_lease_id == self.membership.store_lease.lease_id
        previous_jobs = self.job_shard.jobs if continued else {}
        self.entered_lease_id = self.membership.store_lease.lease_id if is_member else 0
        self.state.is_member = is_member
        jobs = self._owned_jobs(previous_jobs, now, wall) if is_member else {}
        recorded = (
            {name: self.replica.machine_record(name) for name in self.replica.machine_revisions} if is_member else {}
        )
        self.job_shard.enter_view(fencing_token, jobs, recorded)
        owned_records = {
            name: record for name, record in recorded.items() if self.membership.machine_owner(name) == self.state.me
        }
        self.machine_shard.enter_view(
            fencing_token,
            members if is_member else [],
            owned_records,
            now,
            continued,
            continued and self.membership.all_support(constants.VERSION_WITH_CARRY_OVER),
        )
        self.leader.enter_view(members, now)
        self.write_rate_limit.enter_view(len(members), now)
        self.replica.ledger.enter_view()
        self.preemption.planner.enter_view(members)
        self.machine_records.enter_view()
        self.messenger.pump()

    def _owned_jobs(self, previous_jobs: dict[str, Job], now: float, wall: float) -> dict[str, Job]:
        """The jobs that this member owns under the view; ``previous_jobs`` carry over their state from the last one."""
        jobs: dict[str, Job] = {}
        for name, (record, revision) in self.replica.active_jobs.items():
            if self.membership.job_owner(record.accepted_by) != self.state.me:
                continue
            job = previous_jobs.get(name)
            if job is None:
                job = self._inherit(name, record, revision, now, wall)
            elif record.state is not JobState.ACTIVE and job.stored_state is JobState.ACTIVE:
                # A write of its final state committed without an answer, and others may have reported it. If the job
                # counted as active until the view has settled, that state would be overwritten with an active record.
                job.apply_stored_end(record.state)
                job.stored_state = record.state
                job.mark_dirty(now)
                self.effects.notifications.append(JobEndStored(name))
            job.revision = max(job.revision, revision)
            jobs[name] = job
        return jobs

    def _inherit(self, name: str, record: Record, revision: int, now: float, wall: float) -> Job:
        """Construct a job that an earlier owner, or an earlier incarnation of this controller, has accepted.

        Every write is conditional on the view. A dependency that is unfinished here was unfinished when the view
        changed, so no task of a job that waits for it has ever been started.
        """
        is_waiting = self.dependencies.graph.waiting(name)
        job = Job(record, revision, now, max(0.0, wall - record.submitted_at), never_started=is_waiting)
        job.inherited = True
        self.dependencies.apply(job)
        if log.isEnabledFor(logging.DEBUG):
            unfinished = self.dependencies.graph.unfinished(name)
            log.debug(
                "job=%s state=inherited done=%d tasks=%d start_limit=%d inherited_tasks=%d unfinished_dependencies=%d "
                "first=%s",
                name,
                job.done.count,
                job.spec.tasks,
                job.start_limit,
                len(job.inherited_tasks),
                len(unfinished),
                unfinished[0] if unfinished else "",
            )
        return job

    def lease_acquired(self, lease_id: int, sent_at: float, now: float) -> None:
        """Record the acquired store lease, which is valid from ``sent_at``, and enter the view if it has this lease.

        That view may have been applied before the store answered, when this process was not yet a member of it, so its
        shards are empty. Acting with an empty job shard would stop all tasks of its jobs.
        """
        self.state.now = now
        self.membership.store_lease.record_renewal(lease_id, sent_at, now)
        if not self.state.is_member and self.membership.status(now) is not MemberStatus.OUTSIDE:
            self.enter_view(now, now + self.state.wall_offset_s)

    def refresh_settlement(self, now: float) -> None:
        """Settle the view once no member can act under an earlier one.

        That is when every member has entered it, or when the store lease's time to live has passed since it began: a
        member acts only if it has synced with the store within that time.
        """
        fencing_token = self.membership.fencing_token
        others = [label for label in self.membership.view.members if label != self.state.me]
        all_entered = all(self.messenger.channels[label].peer_fencing_token >= fencing_token for label in others)
        if all_entered or now > self.entered_at + self.membership.store_lease.ttl_s + constants.LEASE_EXPIRY_MARGIN_S:
            self.machine_shard.leases.settle(now)
            if not self.job_shard.settled:
                self.job_shard.settle()

    def next_view(self, now: float) -> tuple[View, dict[str, int], list[str]] | None:
        """The next view to propose, with the revisions to compare and the member keys to delete; None: no change."""
        change = self.membership.next_view(now, self.record_writer.max_changes - 1) if self.state.loaded else None
        if change is None:
            return None
        view, revisions = (
            self.membership.mark_quorum_overlap(change[0], self.job_shard.settled and self.state.is_member),
            change[1],
        )
        drops = [MEMBERS + label for label, revision in revisions.items() if revision and label not in view.members]
        return (
            view,
            {
                VIEW: self.membership.fencing_token,
                **{MEMBERS + label: revision for label, revision in revisions.items()},
            },
            drops,
        )
