"""A job at the shard that owns it: its tasks, its end, and its stored record."""

from __future__ import annotations

import heapq
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
RECORD_MARGIN_BYTES = 16  # of a record, for the key and brackets of its done tasks


class Job(JobTasks, JobTiming):
    """A job with its tasks (``JobTasks``, which shows their transitions) and its timing (``JobTiming``).

    These are base classes rather than parts of it so that the loops over queue rows and reports read plain attributes.
    The job itself is ACTIVE, until ``finish_task`` of its last task makes it DONE or ``abort`` makes it ABORTED.
    """

    def __init__(self, record: Record, revision: int, now: float, age_s: float, never_started: bool = False) -> None:
        """``never_started``: accepted just now, or blocked, so no task below the start limit was started yet.

        ``age_s``: seconds since its submission.
        """
        JobTasks.__init__(self, record, never_started)
        JobTiming.__init__(self, record, now - age_s)
        self.arrival_number = 0  # in the order in which jobs came to their shard
        self.inherited = False  # another member may have owned it, and no view has settled since
        self._init_grants(now)
        self._init_record(record, revision, now)
        self._complete_if_all_done(now)

    def _init_grants(self, now: float) -> None:
        """What holds grants back or speeds them up."""
        self.errors = 0  # of its tasks since one was done
        self.paused_until = 0.0
        self.last_grant_at = now  # when a task was granted last, or this controller took the job over
        self.boosted_grants_left = 0  # tasks that may still be granted with a priority boost

    def _init_record(self, record: Record, revision: int, now: float) -> None:
        """The record in the store, and how far it lags behind."""
        self.accepted_by = record.accepted_by
        self.dependency_digest = record.dependency_digest
        self.stored_state = record.state
        self.revision = revision
        self.start_limit = record.start_limit  # as the store has it
        self.requested_start_limit = record.start_limit
        self.has_full_record = True  # the stored record still holds the spec
        self.last_write = now
        self.dirty_since: float | None = None  # since when the record lags behind
        self.ended_at = now
        self.end_awaited = False  # a user waits to hear of its end
        # (machine, index, attempt) of finished tasks that are acknowledged once the record is written; in order.
        self.unacknowledged_results: dict[tuple[str, int, int], None] = {}

    def _complete_if_all_done(self, now: float) -> None:
        """End an active job that has no task left: no report would ever do so.

        Its earlier owner was gone between the last result and the end (docs/incidents/former-life.md).
        """
        if self.state is JobState.ACTIVE and self.done.count >= self.spec.tasks:
            self.complete(now, "its record has all tasks")

    @property
    def is_complete(self) -> bool:
        """Whether nothing is left to do: its end is stored and every result acknowledged."""
        return self.stored_state is not JobState.ACTIVE and not self.has_full_record and not self.unacknowledged_results

    # -- tasks ---------------------------------------------------------------

    def next_task(self, now: float) -> int | None:
        """The next task to grant: lowest first, never beyond the stored start limit; None if there is none."""
        if self.state is not JobState.ACTIVE or now < self.paused_until:
            return None
        while self.requeued:
            index = heapq.heappop(self.requeued)
            if index not in self.done and index not in self.runs:
                return index
        while self.next_index < min(self.start_limit, self.spec.tasks):
            self.next_index += 1
            if self.state_of(self.next_index - 1) is TaskState.WAITING:
                return self.next_index - 1
        return None

    def finish_task(self, index: int, now: float) -> None:
        """The task is done; with the last one the job is."""
        self._remove_from_machine(index)
        if self.state is not JobState.ACTIVE:
            return
        self._remove_from_requeued(index)
        if not self.has_started:
            self._record_first_start("its first task ended before it was seen to run")
        self.done.add(index)
        self.errors = 0
        self.mark_dirty(now)
        if self.done.count >= self.spec.tasks:
            self.complete(now, "last task")

    def fail_task(self, index: int, now: float) -> None:
        """The task ended with an error: it waits, and the job pauses a little longer each time."""
        self.requeue(index)
        doublings = min(MAX_BACKOFF_DOUBLINGS, self.errors // max(1, self.spec.tasks))
        pause = min(constants.ERROR_PAUSE_MAX_S, constants.ERROR_PAUSE_S * 2**doublings)
        self.errors += 1
        self.paused_until = max(self.paused_until, now + pause) if self.errors > constants.QUARANTINE_ERRORS else 0.0

    # -- end of the job --------------------------------------------------------

    def complete(self, now: float, cause: str) -> None:
        """All tasks are done."""
        self.state = JobState.DONE
        self.ended_at = now
        self.mark_dirty(now)
        log.info("job=%s state=done cause=%s", self.spec.id, cause)

    def abort(self, now: float, cause: str = "withdrawn") -> None:
        """Cancelled by a user, or a job that it depends on is aborted; no effect on a job that has ended."""
        if self.state is JobState.ACTIVE:
            self.state = JobState.ABORTED
            self.requeued.clear()
            self.mark_dirty(now)
            log.info("job=%s state=aborted cause=%s", self.spec.id, cause)

    def apply_stored_end(self, state: JobState) -> None:
        """The store holds this end already."""
        self.state = state
        self.requeued.clear()

    # -- the record --------------------------------------------------------

    def mark_dirty(self, now: float) -> None:
        """The record lags behind; the shard writes it when it is due."""
        if self.dirty_since is None:
            self.dirty_since = now
        if self.tally is not None:
            self.tally.changed = True
            self.tally.lagging[self.spec.id] = self

    def raise_start_limit(self, count: int, now: float) -> None:
        """Ask the store for a limit that lets ``count`` more tasks start, and some beyond."""
        limit = min(self.spec.tasks, self.next_index + count + constants.START_LIMIT_AHEAD)
        if limit > self.requested_start_limit:
            self.requested_start_limit = limit
            self.mark_dirty(now)

    def has_unstored_results(self) -> bool:
        """Whether a result may be counted here and not in the store.

        While a transaction is under way the record is not dirty, but its results are not acknowledged yet.
        """
        return self.dirty_since is not None or bool(self.unacknowledged_results) or self.state is not self.stored_state

    def to_record(self, value_bytes: int, may_end: bool = True) -> Record:
        """The record to store, of at most ``value_bytes``; ``may_end``: an end may be stored by now."""
        state = self.state if may_end else self.stored_state
        done_at = round(self.at + self.ended_at - self.submitted, 3) if state is JobState.DONE else NOT_ENDED
        if state is self.state and self.state is not JobState.ACTIVE and not self.runs and not self.unknown:
            return Record(self.state, done_at=done_at)
        spec, dependency_digest = self._stored_spec()
        without_tasks = Record(
            state=state,
            accepted_by=self.accepted_by,
            at=self.at,
            start_limit=self.requested_start_limit,
            done=[],
            spec=spec,
            dependency_digest=dependency_digest,
            ready_at=self.ready_at,
            done_at=done_at,
        )
        room = value_bytes - len(msgspec.json.encode(without_tasks)) - RECORD_MARGIN_BYTES
        return msgspec.structs.replace(without_tasks, done=self.done.largest_within(room))

    def _stored_spec(self) -> tuple[JobSpec, str]:
        """Spec and digest of dependencies for the record: without dependencies once all are done, for ever."""
        if self.is_blocked or not (self.spec.needs or self.dependency_digest):
            return self.spec, self.dependency_digest
        return msgspec.structs.replace(self.spec, needs=None), ""
