"""Handles the store's answers to transactions of records."""

from __future__ import annotations

import logging

import msgspec

from alderbridge import constants
from alderbridge.controller.dependency_tracker import DependencyTracker
from alderbridge.controller.effects import Effects, JobEndStored
from alderbridge.controller.machine_records import MachineRecordTracker
from alderbridge.controller.messenger import Messenger
from alderbridge.controller.record_writer import RecordWriter
from alderbridge.controller.state import ControllerState
from alderbridge.controller.submissions import Submission, Submissions
from alderbridge.controller.write_batch import WriteBatch
from alderbridge.jobs.job import Job
from alderbridge.jobs.record import JobState, Record
from alderbridge.jobs.shard import JobShard
from alderbridge.protocol import wire
from alderbridge.protocol.keys import JOBS, MACHINES, dependency_list_keys
from alderbridge.state.replica import Replica, decode_or_none

log = logging.getLogger("core")

_record = msgspec.json.Decoder(Record)


class BatchResults:
    """Updates the owners of records after a commit, and schedules the records of a failed one to be written again."""

    def __init__(
        self,
        state: ControllerState,
        effects: Effects,
        messenger: Messenger,
        replica: Replica,
        job_shard: JobShard,
        machine_records: MachineRecordTracker,
        submissions: Submissions,
        dependencies: DependencyTracker,
        record_writer: RecordWriter,
    ) -> None:
        """``record_writer`` builds the transactions."""
        self.state = state
        self.effects = effects
        self.messenger = messenger
        self.replica = replica
        self.declared = replica.declared
        self.job_shard = job_shard
        self.machine_records = machine_records
        self.submissions = submissions
        self.dependencies = dependencies
        self.record_writer = record_writer

    def on_failed(self, batch: WriteBatch, now: float) -> None:
        """The transaction was refused, in conflict or not answered: all its records are due again."""
        for job, _, _ in batch.jobs:
            job.mark_dirty(now)
        self.record_writer.lists_to_drop += batch.dropped_lists
        batch.dropped_lists = []  # not added twice: called again if reading a conflict's key fails
        if batch.proposal is not None:
            self.declared.failed(batch.proposal, now)
        if batch.claims is not None:
            self.replica.ledger.mark_unconfirmed(batch.claims)
            self.record_writer.claims_deferred = True

    def on_too_large(self, batch: WriteBatch, now: float) -> None:
        """The store refused the transaction as too large: reduce the limit that the settings gave."""
        self.on_failed(batch, now)
        if batch.changes > 1:
            self.record_writer.max_changes = max(1, batch.changes // 2)
            return
        self.reduce_value_limit(max((len(msgspec.json.encode(value)) for value in batch.puts.values()), default=0))
        for submission in [entry for entry, _ in batch.submissions] + [entry for entry, _ in batch.lists]:
            if self.submissions.pending.get(submission.job.spec.id) is submission:
                self.submissions.decide(submission, "too long")

    def reduce_value_limit(self, size: int) -> None:
        """The store refused a value of ``size`` bytes: use a lower limit from here on."""
        self.job_shard.value_bytes = min(self.job_shard.value_bytes, max(constants.MIN_VALUE_BYTES, size * 3 // 4))
        log.error(
            "store state=limits_reduced cause=400 values=%d bytes changes=%d",
            self.job_shard.value_bytes,
            self.record_writer.max_changes,
        )

    def on_written(self, batch: WriteBatch, revision: int, now: float) -> None:
        """The transaction was committed at ``revision``."""
        self.state.now = now
        current = batch.fencing_token == self.state.membership.fencing_token
        if batch.proposal is not None:
            self.declared.done(batch.proposal, revision, now)
        if batch.claims is not None:
            self.replica.ledger.mark_committed(batch.claims, revision)
        self._machines_written(batch, revision, current)
        for job, record, cleared in batch.jobs:
            if self.job_shard.jobs.get(job.spec.id) is job:
                self.job_shard.record_writes.on_written(job, record, revision, cleared, now)
            self._job_stored(job, record, revision)
        for submission, key in batch.lists:
            self.replica.dependency_lists[key] = submission.dependency_lists.pop(key, [])
        for submission, record in batch.submissions:
            self._submission_stored(submission, record, revision, current)
        self.dependencies.apply_graph_changes()
        self.messenger.pump()

    def _machines_written(self, batch: WriteBatch, revision: int, current: bool) -> None:
        """``current``: the batch was written under the current view."""
        for name in batch.dropped_machines:
            if not self.machine_records.has_newer_record(name, batch):
                self.machine_records.on_dropped(name)
        for name in batch.machines if current else ():
            self.machine_records.on_recorded(name, revision)

    def _job_stored(self, job: Job, record: Record, revision: int) -> None:
        self.replica.observe_job(job.spec.id, record, revision)
        if record.state is not JobState.ACTIVE:
            self.effects.notifications.append(JobEndStored(job.spec.id))
        if job.dependency_digest and not record.dependency_digest:  # the stored record no longer refers to the lists
            self.record_writer.lists_to_drop += dependency_list_keys(job.spec.id, job.dependency_digest)
            job.dependency_digest = ""
        if job.is_complete and self.job_shard.jobs.get(job.spec.id) is job:
            self.job_shard.remove(job)

    def _submission_stored(self, submission: Submission, record: Record, revision: int, current: bool) -> None:
        job = submission.job
        job.revision = revision
        self.replica.observe_job(job.spec.id, record, revision)
        if current and record.state is JobState.ACTIVE:  # otherwise the newer view has assigned it to its owner
            self.job_shard.add(job)
            self.dependencies.apply(job)
        self.submissions.decide(submission, "accepted")

    def resolve_conflict(self, batch: WriteBatch, key: str, row: wire.KeyValue | None, now: float) -> None:
        """Handle a conflict: ``row`` is what the store holds under a key whose condition failed."""
        self.state.now = now
        current = batch.fencing_token == self.state.membership.fencing_token
        if batch.proposal is not None:
            return  # the configuration head has changed: the replica will show it
        if key.startswith(MACHINES):
            self._resolve_machine(batch, key[len(MACHINES) :], row, current)
            return
        if row is None or batch.claims is not None:
            return  # claims in conflict are abandoned: the replica will show those stored
        name, record = key[len(JOBS) :], decode_or_none(_record, key, row.data)
        for submission, _ in batch.submissions + batch.lists:
            if submission.job.spec.id != name or submission.outcome:
                continue
            if record is None:  # a retry would fail every transaction that contains it
                self.replica.unreadable_jobs.add(name)
                self.submissions.decide(submission, "known")
            else:
                self._resolve_submission(submission, record, row.revision, current)
        if record is None:
            return
        for job, _, _ in batch.jobs:
            if job.spec.id == name and self.job_shard.jobs.get(name) is job:
                self._resolve_job(job, record, row.revision)
        self.dependencies.apply_graph_changes()
        self.messenger.pump()

    def _resolve_machine(self, batch: WriteBatch, name: str, row: wire.KeyValue | None, current: bool) -> None:
        """An earlier, unanswered write of this member has committed."""
        if name in batch.dropped_machines and row is None:
            if not self.machine_records.has_newer_record(name, batch):
                self.machine_records.on_dropped(name)
        elif not current:
            pass  # the row that was read may be outdated; the replica will show the current one
        elif name in batch.dropped_machines and row is not None:
            self.replica.machine_revisions[name] = row.revision
        elif row is not None:
            self.machine_records.on_recorded(name, row.revision)

    def _resolve_submission(self, submission: Submission, record: Record, revision: int, current: bool) -> None:
        job = submission.job
        name = job.spec.id
        if record.state is JobState.ACTIVE and not self.replica.has_dependency_lists(name, record):
            # Another member has accepted the job. The watch will deliver its lists, and then its record.
            self.submissions.decide(submission, "known")
            return
        self.replica.observe_job(name, record, revision)
        accepted_here = (
            record.accepted_by == self.state.me
            and record.submitted_at == job.submitted_time_of_day
            and record.state is JobState.ACTIVE
        )
        if accepted_here and current and name not in self.job_shard.jobs and job.state is JobState.ACTIVE:
            job.revision = revision  # an earlier, unanswered write of this member has committed
            self.job_shard.add(job)
            self.dependencies.apply(job)
        self.submissions.decide(submission, "known")

    def _resolve_job(self, job: Job, record: Record, revision: int) -> None:
        """Apply an earlier, unanswered write of this member: only the owner writes the record under this view."""
        job.revision = revision
        if record.state is not JobState.ACTIVE:
            job.apply_stored_end(record.state)
            self.job_shard.record_writes.on_written(job, record, revision, [], self.state.now)
            job.mark_dirty(self.state.now)
        self._job_stored(job, record, revision)
