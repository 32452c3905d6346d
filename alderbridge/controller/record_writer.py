"""Selects which due records go into the next transaction."""

from __future__ import annotations

import logging
from typing import NamedTuple

import msgspec

from alderbridge import constants
from alderbridge.controller.dependency_tracker import DependencyTracker
from alderbridge.controller.machine_records import MachineRecordTracker
from alderbridge.controller.state import ControllerState
from alderbridge.controller.submissions import Submission, Submissions
from alderbridge.controller.write_batch import WriteBatch
from alderbridge.jobs.job import Job
from alderbridge.jobs.record import JobState, Record
from alderbridge.jobs.shard import JobShard
from alderbridge.machines.shard import MachineShard
from alderbridge.protocol.keys import JOBS, MACHINES, VIEW
from alderbridge.state.replica import Replica
from alderbridge.state.write_classes import ASSURED_SHARES, WriteClass
from alderbridge.state.write_rate_limit import WriteRateLimit

log = logging.getLogger("core")

MIN_NON_URGENT_RANK = 2.0  # due writes with a lower rank are final states, for which users wait
BACKLOG_LOG_INTERVAL_S = 10.0  # minimum time between log lines about a write backlog
MIN_QUEUED_SUBMISSIONS = 4  # accepted into the queue even if the write budget is lower
RECORD_OVERHEAD_BYTES = 100  # estimated size of a record in the transaction's body, without its value


class BatchLimits(NamedTuple):
    """How many changes the next transaction may make."""

    max_changes: int  # in total
    max_non_urgent: int  # excluding final states and submissions, for which users wait


def job_id_of(entry: Job | Submission) -> str:
    """The id of the job that a due record belongs to."""
    return entry.job.spec.id if isinstance(entry, Submission) else entry.spec.id


class RecordWriter:
    """Builds the transactions, one at a time, within the write rate limit.

    Preemption claims are written first, then configuration if no user waits, each in a separate transaction. Other
    transactions hold the assured number of changes of each class (``state/write_classes.py``), and then, in this order:
    new machine records, deletions of machine records in up to half of the remaining capacity, final states and
    submissions, progress of running jobs, the other deletions of machine records, and deletions of dependency lists.
    """

    def __init__(
        self,
        state: ControllerState,
        replica: Replica,
        job_shard: JobShard,
        machine_shard: MachineShard,
        machine_records: MachineRecordTracker,
        submissions: Submissions,
        dependencies: DependencyTracker,
        write_rate_limit: WriteRateLimit,
        max_changes: int,
    ) -> None:
        """``max_changes``: limit of one transaction, from the settings."""
        self.state = state
        self.membership = state.membership
        self.replica = replica
        self.ledger = replica.ledger
        self.declared = replica.declared
        self.job_shard = job_shard
        self.machine_shard = machine_shard
        self.machine_records = machine_records
        self.submissions = submissions
        self.dependencies = dependencies
        self.write_rate_limit = write_rate_limit
        self.max_changes = max_changes  # reduced when the store refuses a transaction as too large
        self.claims_deferred = False  # the last claims transaction failed: the next one writes other records
        self.backlog_logged_at = float("-inf")
        self.lists_to_drop: list[str] = []  # keys of dependency lists that are no longer needed

    def nothing_to_write(self) -> bool:
        """Whether nothing became due since ``next_batch`` last found nothing that it could write."""
        return not (
            self.submissions.has_new_submissions
            or self.job_shard.tally.changed
            or self.machine_shard.records.to_write
            or self.machine_shard.records.due_drops(self.state.now)
            or self.machine_records.to_drop
            or self.lists_to_drop
            or not self.ledger.nothing_to_send
        )

    def next_write_delay_s(self, now: float) -> float:
        """Seconds until the next call of ``next_batch`` is needed if nothing else becomes due."""
        budget = self.write_rate_limit.budget
        available = budget.available(now)
        with_overdraft = available + constants.WRITE_OVERDRAFT_SHARE * budget.burst
        pause = min(constants.ROUND_INTERVAL_S, self.job_shard.record_writes.due_at - now)
        if with_overdraft < 1:
            pause = min(constants.ROUND_INTERVAL_S, (1 - with_overdraft) / budget.rate)
        elif available < 1:
            pause = min(pause, (1 - available) / budget.rate)
        return max(constants.WRITE_BATCH_DELAY_S, pause)

    def can_accept_submission(self, now: float) -> bool:
        """Whether one more submission could be stored within ``SUBMIT_TIMEOUT_S``.

        If not, it is refused at once, because another controller may have write capacity.
        """
        rate_limit = self.write_rate_limit
        assured = ASSURED_SHARES[WriteClass.SUBMISSION] * rate_limit.budget.rate
        overdraft = constants.WRITE_OVERDRAFT_SHARE * rate_limit.budget.burst
        storable = overdraft + assured * constants.SUBMIT_TIMEOUT_S
        return len(self.submissions.pending) < max(storable, MIN_QUEUED_SUBMISSIONS)

    def next_batch(self, now: float) -> WriteBatch | None:
        """Build a transaction of due records, most urgent first, within the write budget; None if there is none."""
        self.state.now = now
        if not self.state.may_act():
            return None
        limits = self._batch_limits(now)
        self.submissions.has_new_submissions = False
        if limits.max_changes < 1:
            return None
        batch = WriteBatch(self.membership.fencing_token, {VIEW: self.membership.fencing_token})
        if not self._fill(batch, limits):
            return None
        self.write_rate_limit.consume(batch.changes, now)
        self._spend_assured(batch, now)
        return batch

    def _spend_assured(self, batch: WriteBatch, now: float) -> None:
        """Charge the batch's changes to the assured rates of their classes."""
        assured = self.write_rate_limit.assured
        is_urgent = [
            record.state is not JobState.ACTIVE or record.start_limit > job.start_limit for job, record, _ in batch.jobs
        ]
        assured.consume(WriteClass.MACHINE_RECORD, now, len(batch.machines))
        assured.consume(WriteClass.MACHINE_DROP, now, len(batch.dropped_machines))
        assured.consume(WriteClass.JOB_END, now, sum(is_urgent))
        assured.consume(WriteClass.PROGRESS, now, len(is_urgent) - sum(is_urgent))
        assured.consume(WriteClass.SUBMISSION, now, len(batch.submissions) + len(batch.lists))

    def _fill(self, batch: WriteBatch, limits: BatchLimits) -> bool:
        """Add due records to the batch; returns False if there are none."""
        if self._add_claims(batch, limits):
            return True
        now = self.state.now
        self.machine_records.collect_drops(now)
        due = sorted(self.job_shard.record_writes.due(now), key=lambda entry: entry[0])
        urgent = self._urgent_entries([job for rank, job in due if rank < MIN_NON_URGENT_RANK], limits)
        if not urgent and self._add_configuration(batch, limits):
            return True
        self._add_records(batch, limits, urgent, [job for rank, job in due if rank >= MIN_NON_URGENT_RANK])
        return batch.changes > 0

    def _batch_limits(self, now: float) -> BatchLimits:
        """Limits from the write budget, which submissions and final states may overdraw because users wait for them.

        The store allows bursts of one second of its rate; non-urgent writes wait until the overdraft is repaid.
        """
        budget = self.write_rate_limit.budget
        available = budget.available(now)
        max_changes = min(self.max_changes, int(available + constants.WRITE_OVERDRAFT_SHARE * budget.burst))
        return BatchLimits(max_changes, min(max_changes, int(max(0.0, available))))

    def _add_claims(self, batch: WriteBatch, limits: BatchLimits) -> bool:
        """Add preemption claims if any are due; returns True if the batch is complete.

        Unconfirmed claims fail with a conflict until the replica shows them. After a failure other records are written
        once, so that claims cannot block the leader's other writes while its watch is stalled.
        """
        deferred, self.claims_deferred = self.claims_deferred, False
        if deferred or self.ledger.nothing_to_send or not self.membership.is_leader(self.state.now):
            return False
        batch.claims = self.ledger.next_transaction(self.state.wall(), limits.max_changes, self.job_shard.value_bytes)
        if batch.claims is None:
            return False
        batch.conditions |= batch.claims.conditions
        batch.puts, batch.drops = batch.claims.puts, batch.claims.drops
        return True

    def _urgent_entries(self, ends: list[Job], limits: BatchLimits) -> list[Job | Submission]:
        """Jobs with a final state to write, and submissions.

        If they exceed the limit, they are sorted by waiting time. A fixed priority of final states would starve
        submissions when small jobs end as fast as they are accepted.
        """
        pending = self.submissions.pending
        if len(ends) + len(pending) <= limits.max_changes:
            return [*ends, *pending.values()]
        self.write_rate_limit.users_waited = True
        now = self.state.now
        self.submissions.expire(now)
        by_waiting_since: list[tuple[float, Job | Submission]] = [
            (job.dirty_since if job.dirty_since is not None else now, job) for job in ends
        ]
        by_waiting_since += [(submission.job.submitted_at, submission) for submission in pending.values()]
        return [entry for _, entry in sorted(by_waiting_since, key=lambda entry: entry[0])]

    def _add_configuration(self, batch: WriteBatch, limits: BatchLimits) -> bool:
        """Add a due change of operator configuration; returns True if the batch is complete."""
        if not limits.max_non_urgent:
            return False
        proposal = self.declared.due(
            self.membership, self.state.now, self.state.wall(), limits.max_non_urgent, self.job_shard.value_bytes
        )
        if proposal is None:
            return False
        batch.proposal, batch.puts, batch.drops = proposal, proposal.puts, proposal.drops
        batch.conditions |= proposal.conditions
        return True

    def _add_records(
        self, batch: WriteBatch, limits: BatchLimits, urgent: list[Job | Submission], progress: list[Job]
    ) -> None:
        """Add machine and job records and deletions: assured changes of each class first, then the rest in order."""
        self._log_backlog(limits, urgent, progress)
        self._add_assured(batch, limits, urgent, progress)
        others = batch.changes - len(batch.machines)
        self._add_machine_records(batch, min(limits.max_non_urgent, limits.max_changes - others))
        still_urgent = sum(JOBS + job_id_of(entry) not in batch.conditions for entry in urgent)
        self._reserve_machine_drops(batch, limits, still_urgent)
        for index, entry in enumerate([*urgent, *progress]):
            if batch.changes >= (limits.max_changes if index < len(urgent) else limits.max_non_urgent):
                break
            if not self._add_entry(batch, limits, entry):
                break
        self._add_machine_drops(batch, limits)
        self._add_list_drops(batch, limits)

    def _log_backlog(self, limits: BatchLimits, urgent: list[Job | Submission], progress: list[Job]) -> None:
        """Log the backlog of each class, rate-limited, while more is due than may be written."""
        now, machines, drops = self.state.now, self.machine_shard.records.to_write, self.machine_records.to_drop
        if (
            now < self.backlog_logged_at + BACKLOG_LOG_INTERVAL_S
            or len(machines) + len(drops) + len(urgent) <= limits.max_changes
        ):
            return
        self.backlog_logged_at = now
        submissions = sum(isinstance(entry, Submission) for entry in urgent)
        log.info(
            "records state=short rate=%.1f machines=%d drops=%d ends=%d submissions=%d progress=%d",
            self.write_rate_limit.budget.rate,
            len(machines),
            len(drops),
            len(urgent) - submissions,
            submissions,
            len(progress),
        )

    def _add_assured(
        self, batch: WriteBatch, limits: BatchLimits, urgent: list[Job | Submission], progress: list[Job]
    ) -> None:
        """Add the assured changes of each class, which a flood in another class must not delay."""
        assured = self.write_rate_limit.assured
        now = self.state.now
        records = assured.available(WriteClass.MACHINE_RECORD, bool(self.machine_shard.records.to_write), now)
        drops = assured.available(WriteClass.MACHINE_DROP, bool(self.machine_records.to_drop), now)
        self._add_machine_records(batch, min(records, limits.max_changes))
        batch.dropped_machines = self.machine_records.to_drop[: min(drops, limits.max_changes - batch.changes)]
        waiting: tuple[tuple[WriteClass, list[Job | Submission]], ...] = (
            (WriteClass.JOB_END, [entry for entry in urgent if isinstance(entry, Job)]),
            (WriteClass.SUBMISSION, [entry for entry in urgent if isinstance(entry, Submission)]),
            (WriteClass.PROGRESS, list(progress)),
        )
        for write_class, entries in waiting:
            for entry in entries[: assured.available(write_class, bool(entries), now)]:
                if batch.changes >= limits.max_changes or not self._add_entry(batch, limits, entry):
                    break

    def _add_entry(self, batch: WriteBatch, limits: BatchLimits, entry: Job | Submission) -> bool:
        """Add a job or submission unless the batch has it already; returns False if the batch is full."""
        if JOBS + job_id_of(entry) in batch.conditions:
            return True
        if isinstance(entry, Submission):
            return self._add_submission(batch, limits, entry)
        return self._add_job(batch, entry)

    def _add_machine_records(self, batch: WriteBatch, limit: int) -> None:
        """Add new records of machines that this member owns, until the batch has ``limit`` of them."""
        to_drop = self.machine_records.to_drop
        for name in self.machine_shard.records.to_write:
            if len(batch.machines) >= limit:
                break
            if name in to_drop or MACHINES + name in batch.puts:
                continue
            batch.machines.append(name)
            batch.conditions[MACHINES + name] = 0
            batch.puts[MACHINES + name] = self.machine_shard.machines[name].record

    def _reserve_machine_drops(self, batch: WriteBatch, limits: BatchLimits, urgent: int) -> None:
        """Reserve half of the non-urgent changes for deletions of machine records, beside the ``urgent`` entries.

        They precede progress records, which may use the whole budget while the fleet is busy: each record that remains
        of a terminated machine delays the inherited tasks of every later view.
        """
        reserved = min(
            (limits.max_non_urgent - len(batch.machines) + 1) // 2, limits.max_changes - len(batch.puts) - urgent
        )
        if reserved > len(batch.dropped_machines):
            batch.dropped_machines = self.machine_records.to_drop[:reserved]

    def _add_submission(self, batch: WriteBatch, limits: BatchLimits, submission: Submission) -> bool:
        """Add a submission's dependency lists, or its record once they are stored; False: the batch is full."""
        job = submission.job
        self._add_lists(batch, limits, submission)
        if submission.dependency_lists:
            return True  # the record is written in a later batch, after the lists
        if any(
            self.dependencies.is_cascade_aborted(dependency) for dependency in self.dependencies.dependencies_of(job)
        ):
            job.abort(self.state.now, "it needs an aborted job")
        record = self._put_record(batch, job)
        if record is None:
            return False
        batch.submissions.append((submission, record))
        return True

    def _add_lists(self, batch: WriteBatch, limits: BatchLimits, submission: Submission) -> None:
        """Add as many of the submission's dependency lists as the batch can hold."""
        self.submissions.drop_stored_lists(submission)
        for key, names in submission.dependency_lists.items():
            if batch.changes >= limits.max_changes or batch.size > constants.MAX_BODY_BYTES // 2:
                break
            batch.lists.append((submission, key))
            batch.puts[key] = names
            # A late commit must not restore a list that was deleted after the job's end.
            batch.conditions[JOBS + submission.job.spec.id] = 0
            batch.size += self.job_shard.value_bytes

    def _add_job(self, batch: WriteBatch, job: Job) -> bool:
        """Add the final state or progress of a job; returns False if the batch is full."""
        record = self._put_record(batch, job)
        if record is None:
            return False
        job.dirty_since = None
        batch.jobs.append((job, record, list(job.unacknowledged_results)))
        return True

    def _put_record(self, batch: WriteBatch, job: Job) -> Record | None:
        """Add the job's record to the batch and return it; None if it exceeds the remaining size."""
        record = job.to_record(self.job_shard.value_bytes, self.job_shard.may_end(job))
        batch.size += len(msgspec.json.encode(record)) + RECORD_OVERHEAD_BYTES
        if batch.size > constants.MAX_BODY_BYTES * 3 // 4 and batch.puts:
            return None
        batch.conditions[JOBS + job.spec.id] = job.revision
        batch.puts[JOBS + job.spec.id] = record
        return record

    def _add_machine_drops(self, batch: WriteBatch, limits: BatchLimits) -> None:
        """Add the reserved deletions of machine records, and as many more as the limit allows."""
        count = len(batch.dropped_machines) + max(0, limits.max_non_urgent - batch.changes)
        batch.dropped_machines = self.machine_records.to_drop[:count]
        batch.drops = [MACHINES + name for name in batch.dropped_machines]
        self.machine_records.drops_in_flight.update(batch.dropped_machines)
        # A late commit must not delete a record that was written again since.
        batch.conditions |= {
            MACHINES + name: self.replica.machine_revisions.get(name, 0) for name in batch.dropped_machines
        }

    def _add_list_drops(self, batch: WriteBatch, limits: BatchLimits) -> None:
        """Add deletions of unused dependency lists, without conditions: repeated or late deletions are harmless."""
        count = limits.max_non_urgent - batch.changes
        if count > 0:
            batch.dropped_lists = self.lists_to_drop[:count]
            batch.drops += batch.dropped_lists
            del self.lists_to_drop[:count]
