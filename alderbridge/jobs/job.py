"""A job in the shard that owns it: its tasks, its end, and its stored record."""

from __future__ import annotations

import logging

import msgspec

from alderbridge import constants
from alderbridge.jobs.job_tasks import JobTasks
from alderbridge.jobs.job_timing import JobTiming
from alderbridge.jobs.record import NOT_ENDED, JobState, Record
from alderbridge.jobs.task_states import TaskState
from alderbridge.protocol.wire import JobSpec

log = logging.getLogger("jobs")

MAX_BACKOFF_DOUBLINGS = 10
RECORD_MARGIN_BYTES = 16  # space in a record for the key and brackets of the ranges of done tasks


class Job(JobTasks, JobTiming):
    """A job with its tasks (``JobTasks``, which documents their transitions) and its timing (``JobTiming``).

    Both are base classes rather than members, so that the loops over all jobs and reports read plain attributes.
    A job is ACTIVE until ``finish_task`` of its last task makes it DONE or ``abort`` makes it ABORTED.
    """

    def __init__(self, record: Record, revision: int, now: float, age_s: float, never_started: bool = False) -> None:
        """``never_started``: the job was just accepted or is blocked, so none of its tasks has been started.

        ``age_s``: seconds since the submission.
        """
        JobTasks.__init__(self, record, never_started)
        JobTiming.__init__(self, record, now - age_s)
        self.arrival_number = 0  # increases in the order in which jobs were added to the shard
        self.inherited = False  # an earlier owner may still act for it; cleared when the view settles
        self._init_grants(now)
        self._init_record(record, revision, now)
        self._complete_if_all_done(now)

    def _init_grants(self, now: float) -> None:
        """State that delays or boosts grants."""
        self.errors = 0  # failed task attempts since a task was last done
        self.paused_until = 0.0
        self.last_grant_at = now  # time of the last grant; initially, when this controller became the owner
        self.boosted_grants_left = 0  # remaining tasks that may be granted with a priority boost

    def _init_record(self, record: Record, revision: int, now: float) -> None:
        """The stored record, and what has changed since it was written."""
        self.accepted_by = record.accepted_by
        self.dependency_digest = record.dependency_digest
        self.stored_state = record.state
        self.revision = revision
        self.start_limit = record.start_limit  # as stored
        self.requested_start_limit = record.start_limit
        self.has_full_record = True  # the stored record still holds the spec
        self.last_written_at = now
        self.dirty_since: float | None = None  # since when the stored record has been out of date; None: it is current
        self.ended_at = now
        self.end_awaited = False  # a client waits for the end of the job
        # (machine, index, attempt) of finished tasks to acknowledge once the record is written; a dict keeps the order.
        self.unacknowledged_results: dict[tuple[str, int, int], None] = {}

    def _complete_if_all_done(self, now: float) -> None:
        """End an active job whose record has all tasks as done: no further report would end it.

        An earlier owner may have failed after it stored the last result and before it stored the end of the job.
        """
        if self.state is JobState.ACTIVE and self.done.count >= self.spec.tasks:
            self.complete(now, "its record has all tasks")

    @property
    def is_complete(self) -> bool:
        """Whether the end is stored without the spec, and every result is acknowledged."""
        return self.stored_state is not JobState.ACTIVE and not self.has_full_record and not self.unacknowledged_results

    def next_task(self, now: float) -> int | None:
        """Take the next task to grant, requeued ones first, up to the stored start limit; None if there is none."""
        if self.state is not JobState.ACTIVE or now < self.paused_until:
            return None
        while self.requeued:
            index = self.requeued.pop_smallest()
            if index not in self.done and index not in self.runs:
                return index
        while self.next_index < min(self.start_limit, self.spec.tasks):
            self.next_index += 1
            if self.state_of(self.next_index - 1) is TaskState.WAITING:
                return self.next_index - 1
        return None

    def finish_task(self, index: int, now: float) -> None:
        """The task is done; the last one completes the job."""
        self._remove_from_machine(index)
        if self.state is not JobState.ACTIVE:
            return
        self.requeued.discard(index)
        if not self.has_started:
            self._record_first_start("its first task ended before it was seen to run")
        self.done.add(index)
        self.errors = 0
        self.mark_dirty(now)
        if self.done.count >= self.spec.tasks:
            self.complete(now, "last task")

    def fail_task(self, index: int, now: float) -> None:
        """The task ended with an error: requeue it and, after repeated errors, pause the job with backoff."""
        self.requeue(index)
        doublings = min(MAX_BACKOFF_DOUBLINGS, self.errors // max(1, self.spec.tasks))
        pause = min(constants.ERROR_BACKOFF_MAX_S, constants.ERROR_BACKOFF_S * 2**doublings)
        self.errors += 1
        self.paused_until = (
            max(self.paused_until, now + pause) if self.errors > constants.QUARANTINE_ERROR_COUNT else 0.0
        )

    def complete(self, now: float, cause: str) -> None:
        """All tasks are done."""
        self.state = JobState.DONE
        self.ended_at = now
        self.mark_dirty(now)
        log.info("job=%s state=done cause=%s", self.spec.id, cause)

    def abort(self, now: float, cause: str = "withdrawn") -> None:
        """Abort a job that a user cancelled or whose dependency is aborted; no effect on a job that has ended."""
        if self.state is JobState.ACTIVE:
            self.state = JobState.ABORTED
            self.requeued.clear()
            self.mark_dirty(now)
            log.info("job=%s state=aborted cause=%s", self.spec.id, cause)

    def apply_stored_end(self, state: JobState) -> None:
        """Adopt an end that is stored already."""
        self.state = state
        self.requeued.clear()

    def mark_dirty(self, now: float) -> None:
        """The stored record is out of date; the shard writes it when it is due."""
        if self.dirty_since is None:
            self.dirty_since = now
        if self.tally is not None:
            self.tally.changed = True
            self.tally.lagging[self.spec.id] = self

    def raise_start_limit(self, count: int, now: float) -> None:
        """Request a stored start limit that allows ``count`` more tasks and ``START_LIMIT_HEADROOM_TASKS`` beyond.

        It stays within what machines have shown to take: tasks below the start limit wait for the recovery barrier
        after a failover, also those that never started. So a large array's limit is raised in steps, each time when
        less than half a step is left.
        """
        step = max(constants.START_LIMIT_STEP_TASKS, len(self.runs))
        if count > step:
            if self.requested_start_limit - self.next_index > step // 2:
                return
            count = step
        limit = min(self.spec.tasks, self.next_index + count + constants.START_LIMIT_HEADROOM_TASKS)
        if limit > self.requested_start_limit:
            self.requested_start_limit = limit
            self.mark_dirty(now)

    def has_unstored_results(self) -> bool:
        """Whether a result may be counted in memory and not be stored.

        While a transaction is in flight the record is not dirty, but its results are not acknowledged yet.
        """
        return self.dirty_since is not None or bool(self.unacknowledged_results) or self.state is not self.stored_state

    def to_record(self, value_bytes: int, may_end: bool = True) -> Record:
        """The record to store, of at most ``value_bytes``; ``may_end``: the end of the job may be stored."""
        state = self.state if may_end else self.stored_state
        done_at = (
            round(self.submitted_time_of_day + self.ended_at - self.submitted_at, 3)
            if state is JobState.DONE
            else NOT_ENDED
        )
        if state is self.state and self.state is not JobState.ACTIVE and not self.runs and not self.inherited_tasks:
            return Record(self.state, done_at=done_at)
        spec, dependency_digest = self._stored_spec()
        without_tasks = Record(
            state=state,
            accepted_by=self.accepted_by,
            submitted_at=self.submitted_time_of_day,
            start_limit=self.requested_start_limit,
            done=[],
            spec=spec,
            dependency_digest=dependency_digest,
            ready_at=self.ready_at,
            done_at=done_at,
        )
        free_bytes = value_bytes - len(msgspec.json.encode(without_tasks)) - RECORD_MARGIN_BYTES
        return msgspec.structs.replace(without_tasks, done=self.done.largest_within(free_bytes))

    def _stored_spec(self) -> tuple[JobSpec, str]:
        """Spec and dependency digest for the record; the dependencies are dropped for good once all are done."""
        if self.is_blocked or not (self.spec.dependencies or self.dependency_digest):
            return self.spec, self.dependency_digest
        return msgspec.structs.replace(self.spec, dependencies=None), ""
