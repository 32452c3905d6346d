"""What of the due records goes into the next transaction. Pure."""

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

URGENT_BELOW = 2.0  # ranks of due writes below this are ends, for which users wait
SHORTAGE_LOG_S = 10.0  # s; between two lines about changes that wait for the write budget
LEAST_SUBMISSIONS_QUEUED = 4  # submissions; a controller takes so many however low its write budget is
RECORD_OVERHEAD = 100  # bytes of a transaction's body for each record, beside its value


class WriteRoom(NamedTuple):
    """How many changes the next transaction may make."""

    most: int  # with what users wait for
    plain: int  # without


def entry_id(entry: Job | Submission) -> str:
    """The id of the job that a due record is of."""
    return entry.job.spec.id if isinstance(entry, Submission) else entry.spec.id


class RecordWriter:
    """Builds the transactions, one at a time, within the write rate limit.

    Preemption claims go first, then configuration if no user waits, each in a transaction of its own. Others hold what
    is assured to each class (``state/write_classes.py``), and then, in this order: new records of machines, drops of
    machine records for up to half of the room, ends and submissions, progress of running jobs, the rest of the drops,
    and drops of dependency lists.
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
        """``max_changes``: of one transaction, as the settings say."""
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
        self.max_changes = max_changes  # less once the store has refused that many
        self.claims_deferred = False  # the last transaction of claims failed: what else is due goes first, once
        self.shortage_logged_at = float("-inf")
        self.lists_to_drop: list[str] = []  # keys of lists whose jobs are over

    # -- when to write ---------------------------------------------------------

    def nothing_to_write(self) -> bool:
        """Whether nothing has come since the last look that found nothing, or nothing affordable, to write."""
        return not (
            self.submissions.has_new
            or self.job_shard.tally.changed
            or self.machine_shard.records.to_write
            or self.machine_shard.records.due_drops(self.state.now)
            or self.machine_records.to_drop
            or self.lists_to_drop
            or not self.ledger.idle
        )

    def next_write_in(self, now: float) -> float:
        """How long a look for what to write can wait, in seconds, if nothing comes."""
        budget = self.write_rate_limit.budget
        available = budget.available(now)
        ahead = available + constants.WRITE_AHEAD_SHARE * budget.burst
        pause = min(constants.ROUND_S, self.job_shard.record_writes.due_at - now)
        if ahead < 1:
            pause = min(constants.ROUND_S, (1 - ahead) / budget.rate)
        elif available < 1:
            pause = min(pause, (1 - available) / budget.rate)
        return max(constants.WRITER_PAUSE_S, pause)

    def can_take_submission(self, now: float) -> bool:
        """Whether one more submission could be stored before its user's time is up.

        Beyond that a user is better told so at once: another controller may have room.
        """
        rate_limit = self.write_rate_limit
        assured = ASSURED_SHARES[WriteClass.SUBMISSION] * rate_limit.budget.rate
        ahead = constants.WRITE_AHEAD_SHARE * rate_limit.budget.burst
        storable = ahead + assured * constants.SUBMIT_WAIT_S
        return len(self.submissions.pending) < max(storable, LEAST_SUBMISSIONS_QUEUED)

    # -- one transaction -------------------------------------------------------

    def next_batch(self, now: float) -> WriteBatch | None:
        """One transaction of what is due, most urgent first, within the write budget."""
        self.state.now = now
        if not self.state.may_act():
            return None
        room = self._room(now)
        self.submissions.has_new = False
        if room.most < 1:
            return None
        batch = WriteBatch(self.membership.fencing_token, {VIEW: self.membership.fencing_token})
        if not self._fill(batch, room):
            return None
        self.write_rate_limit.spend(batch.changes, now)
        self._spend_assured(batch, now)
        return batch

    def _spend_assured(self, batch: WriteBatch, now: float) -> None:
        """Account for the classes of the batch's changes."""
        assured = self.write_rate_limit.assured
        is_urgent = [
            record.state is not JobState.ACTIVE or record.start_limit > job.start_limit for job, record, _ in batch.jobs
        ]
        assured.spend(WriteClass.MACHINE_RECORD, now, len(batch.machines))
        assured.spend(WriteClass.MACHINE_DROP, now, len(batch.dropped_machines))
        assured.spend(WriteClass.JOB_END, now, sum(is_urgent))
        assured.spend(WriteClass.PROGRESS, now, len(is_urgent) - sum(is_urgent))
        assured.spend(WriteClass.SUBMISSION, now, len(batch.submissions) + len(batch.lists))

    def _fill(self, batch: WriteBatch, room: WriteRoom) -> bool:
        """Put into the batch what is due; False: nothing is."""
        if self._add_claims(batch, room):
            return True
        now = self.state.now
        self.machine_records.collect_drops(now)
        due = sorted(self.job_shard.record_writes.due(now), key=lambda entry: entry[0])
        urgent = self._urgent_entries([job for rank, job in due if rank < URGENT_BELOW], room)
        if not urgent and self._add_configuration(batch, room):
            return True
        self._add_records(batch, room, urgent, [job for rank, job in due if rank >= URGENT_BELOW])
        return batch.changes > 0

    def _room(self, now: float) -> WriteRoom:
        """Users wait for submissions and ends: these may run ahead of an equal share of the changes.

        The store allows bursts of a second's worth, and what is not urgent pays it back.
        """
        budget = self.write_rate_limit.budget
        available = budget.available(now)
        most = min(self.max_changes, int(available + constants.WRITE_AHEAD_SHARE * budget.burst))
        return WriteRoom(most, min(most, int(max(0.0, available))))

    def _add_claims(self, batch: WriteBatch, room: WriteRoom) -> bool:
        """Preemption claims, if any are due; True: the batch is whole.

        Claims in doubt meet a conflict until the replica shows them. Tried again and again before all else, they kept
        the leader's ends, progress and submissions waiting for as long as its watch hung.
        """
        waits, self.claims_deferred = self.claims_deferred, False
        if waits or self.ledger.idle or not self.membership.is_leader(self.state.now):
            return False
        batch.claims = self.ledger.due(self.state.wall(), room.most, self.job_shard.value_bytes)
        if batch.claims is None:
            return False
        batch.conditions |= batch.claims.conditions
        batch.puts, batch.drops = batch.claims.puts, batch.claims.drops
        return True

    def _urgent_entries(self, ends: list[Job], room: WriteRoom) -> list[Job | Submission]:
        """Jobs with an end to write, and submissions.

        If there is no room for all, who has waited longest goes first. Ends before all submissions had users wait for
        as long as ends alone took all the changes; and small jobs end as fast as they are taken.
        """
        pending = self.submissions.pending
        if len(ends) + len(pending) <= room.most:
            return [*ends, *pending.values()]
        self.write_rate_limit.is_short = True
        now = self.state.now
        self.submissions.expire(now)
        waited: list[tuple[float, Job | Submission]] = [
            (job.dirty_since if job.dirty_since is not None else now, job) for job in ends
        ]
        waited += [(submission.job.submitted, submission) for submission in pending.values()]
        return [entry for _, entry in sorted(waited, key=lambda entry: entry[0])]

    def _add_configuration(self, batch: WriteBatch, room: WriteRoom) -> bool:
        """What operators declare, if it is due; True: the batch is whole."""
        if not room.plain:
            return False
        proposal = self.declared.due(
            self.membership, self.state.now, self.state.wall(), room.plain, self.job_shard.value_bytes
        )
        if proposal is None:
            return False
        batch.proposal, batch.puts, batch.drops = proposal, proposal.puts, proposal.drops
        batch.conditions |= proposal.conditions
        return True

    def _add_records(
        self, batch: WriteBatch, room: WriteRoom, urgent: list[Job | Submission], progress: list[Job]
    ) -> None:
        """Records of machines and jobs, and drops: first what is assured to each class, then the rest in order."""
        self._log_shortage(room, urgent, progress)
        self._add_assured(batch, room, urgent, progress)
        others = batch.changes - len(batch.machines)
        self._add_machine_records(batch, min(room.plain, room.most - others))
        still_urgent = sum(JOBS + entry_id(entry) not in batch.conditions for entry in urgent)
        self._reserve_machine_drops(batch, room, still_urgent)
        for number, entry in enumerate([*urgent, *progress]):
            if batch.changes >= (room.most if number < len(urgent) else room.plain):
                break
            if not self._add_entry(batch, room, entry):
                break
        self._add_machine_drops(batch, room)
        self._add_list_drops(batch, room)

    def _log_shortage(self, room: WriteRoom, urgent: list[Job | Submission], progress: list[Job]) -> None:
        """Now and then, while more waits than may be written: how much of each class."""
        now, machines, drops = self.state.now, self.machine_shard.records.to_write, self.machine_records.to_drop
        if now < self.shortage_logged_at + SHORTAGE_LOG_S or len(machines) + len(drops) + len(urgent) <= room.most:
            return
        self.shortage_logged_at = now
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
        self, batch: WriteBatch, room: WriteRoom, urgent: list[Job | Submission], progress: list[Job]
    ) -> None:
        """What no other class may keep waiting, whichever of them floods."""
        assured = self.write_rate_limit.assured
        now = self.state.now
        records = assured.available(WriteClass.MACHINE_RECORD, bool(self.machine_shard.records.to_write), now)
        drops = assured.available(WriteClass.MACHINE_DROP, bool(self.machine_records.to_drop), now)
        self._add_machine_records(batch, min(records, room.most))
        batch.dropped_machines = self.machine_records.to_drop[: min(drops, room.most - batch.changes)]
        waiting: tuple[tuple[WriteClass, list[Job | Submission]], ...] = (
            (WriteClass.JOB_END, [entry for entry in urgent if isinstance(entry, Job)]),
            (WriteClass.SUBMISSION, [entry for entry in urgent if isinstance(entry, Submission)]),
            (WriteClass.PROGRESS, list(progress)),
        )
        for write_class, entries in waiting:
            for entry in entries[: assured.available(write_class, bool(entries), now)]:
                if batch.changes >= room.most or not self._add_entry(batch, room, entry):
                    break

    def _add_entry(self, batch: WriteBatch, room: WriteRoom, entry: Job | Submission) -> bool:
        """A job or a submission, unless the batch has it already; False: the batch is full."""
        if JOBS + entry_id(entry) in batch.conditions:
            return True
        if isinstance(entry, Submission):
            return self._add_submission(batch, room, entry)
        return self._add_job(batch, entry)

    def _add_machine_records(self, batch: WriteBatch, most: int) -> None:
        """New records of machines that report here, until the batch has ``most`` of them."""
        to_drop = self.machine_records.to_drop
        for name in self.machine_shard.records.to_write:
            if len(batch.machines) >= most:
                break
            if name in to_drop or MACHINES + name in batch.puts:
                continue
            batch.machines.append(name)
            batch.conditions[MACHINES + name] = 0
            batch.puts[MACHINES + name] = self.machine_shard.machines[name].record

    def _reserve_machine_drops(self, batch: WriteBatch, room: WriteRoom, urgent: int) -> None:
        """Half of the room for drops of machine records, beside the ``urgent`` entries.

        Before the progress of running jobs, which alone may take all of the budget for as long as the fleet is busy:
        each record left behind by a machine that is gone holds up the inherited tasks of every later view.
        """
        left = min((room.plain - len(batch.machines) + 1) // 2, room.most - len(batch.puts) - urgent)
        if left > len(batch.dropped_machines):
            batch.dropped_machines = self.machine_records.to_drop[:left]

    def _add_submission(self, batch: WriteBatch, room: WriteRoom, submission: Submission) -> bool:
        """The lists beside a submission, or its record once they are stored; False: the batch is full."""
        job = submission.job
        self._add_lists(batch, room, submission)
        if submission.lists:
            return True  # its record follows when they are stored
        if any(self.dependencies.is_cascade_aborted(need) for need in self.dependencies.needs_of(job)):
            job.abort(self.state.now, "it needs an aborted job")
        record = self._put_record(batch, job)
        if record is None:
            return False
        batch.submissions.append((submission, record))
        return True

    def _add_lists(self, batch: WriteBatch, room: WriteRoom, submission: Submission) -> None:
        """As many of the lists beside a submission as there is room for."""
        self.submissions.drop_known_lists(submission)
        for key, names in submission.lists.items():
            if batch.changes >= room.most or batch.size > constants.MAX_BODY // 2:
                break
            batch.lists.append((submission, key))
            batch.puts[key] = names
            # Carried out late, it must not come back when the job is over and its lists are dropped.
            batch.conditions[JOBS + submission.job.spec.id] = 0
            batch.size += self.job_shard.value_bytes

    def _add_job(self, batch: WriteBatch, job: Job) -> bool:
        """The end or progress of a job; False: the batch is full."""
        record = self._put_record(batch, job)
        if record is None:
            return False
        job.dirty_since = None
        batch.jobs.append((job, record, list(job.unacknowledged_results)))
        return True

    def _put_record(self, batch: WriteBatch, job: Job) -> Record | None:
        """The job's record as it was put into the batch; None: it is too long for what is left."""
        record = job.to_record(self.job_shard.value_bytes, self.job_shard.may_end(job))
        batch.size += len(msgspec.json.encode(record)) + RECORD_OVERHEAD
        if batch.size > constants.MAX_BODY * 3 // 4 and batch.puts:
            return None
        batch.conditions[JOBS + job.spec.id] = job.revision
        batch.puts[JOBS + job.spec.id] = record
        return record

    def _add_machine_drops(self, batch: WriteBatch, room: WriteRoom) -> None:
        """The drops that were reserved, and as many more as there is room for."""
        count = len(batch.dropped_machines) + max(0, room.plain - batch.changes)
        batch.dropped_machines = self.machine_records.to_drop[:count]
        batch.drops = [MACHINES + name for name in batch.dropped_machines]
        self.machine_records.drops_in_flight.update(batch.dropped_machines)
        # Carried out late, a drop must not hit a record that has been written again since.
        batch.conditions |= {MACHINES + name: self.replica.machines.get(name, 0) for name in batch.dropped_machines}

    def _add_list_drops(self, batch: WriteBatch, room: WriteRoom) -> None:
        """Drops of lists that nobody reads any more: twice, or late, they take nothing away."""
        count = room.plain - batch.changes
        if count > 0:
            batch.dropped_lists = self.lists_to_drop[:count]
            batch.drops += batch.dropped_lists
            del self.lists_to_drop[:count]
