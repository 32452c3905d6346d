"""A job at its shard: its tasks and their states, when it may start, and what the store knows of it."""

from __future__ import annotations

import heapq
import logging
import math

import msgspec

from alderbridge import constants
from alderbridge.jobs.index_ranges import IndexRanges
from alderbridge.jobs.record import JobState, Record
from alderbridge.jobs.task_states import TaskRun, TaskState
from alderbridge.jobs.usage_tally import UsageTally

log = logging.getLogger("jobs")


class Job:
    def __init__(self, record: Record, revision: int, now: float, age_s: float, fresh: bool = False) -> None:
        """``fresh``: accepted here just now, so nothing below the mark was started yet."""
        assert record.spec is not None
        self.spec = record.spec
        self.accepted_by = record.accepted_by
        self.at = record.at
        self.submitted = now - age_s
        self.waiting_since = self.submitted  # from here its times count: what it needs was done, or it was submitted
        self.ready_since = self.submitted  # as ``arrived``, but for the hours that it waited for
        self.opens_at = 0.0  # time of day until which its hours are closed; 0: open
        self.opened_at = 0.0  # time of day of the opening from which its times count; 0: none
        self.is_blocked = bool(
            record.spec.needs or record.dependency_digest
        )  # until ``release``: what it needs is not all done
        self.dependency_digest = record.dependency_digest
        self.ready_at = record.ready_at
        self.state = record.state
        self.stored_state = record.state
        self.revision = revision
        self.start_limit = record.start_limit  # as the store has it
        self.wanted_start_limit = record.start_limit
        self.done = IndexRanges(record.done)
        self.unknown = set() if fresh else {i for i in range(record.start_limit) if i not in self.done}
        self.next_index = 0 if fresh else record.start_limit  # from here on, nothing was ever granted
        self.requeued: list[int] = []  # heap of tasks below ``next`` that wait
        self.runs: dict[int, TaskRun] = {}
        self.tasks_by_machine: dict[str, set[int]] = {}  # machine -> tasks whose run is there
        self.tally: UsageTally | None = None  # of its home; None: no home serves it yet
        self.queue_times: tuple[tuple, list[tuple[float, float]]] | None = None  # what they follow from, and they
        self.arrival_number = 0  # in the order in which they came to their home
        self.errors = 0
        self.paused_until = 0.0
        self.last_grant_at = now  # when a task of it was granted last, or this home took it over
        self.boosted_grants_left = 0  # tasks that it may still be granted out of turn
        self.dirty_since: float | None = None  # since when the record lags behind
        self.ended_at = now
        self.end_awaited = False  # a user waits to hear of its end
        self.unacknowledged_results: dict[tuple[str, int, int], None] = {}  # told once the record is written
        self.has_full_record = True  # the stored record still holds the spec
        self.last_write = now
        self.inherited = False  # another member may have been its home, and no view has settled since
        self.has_started = bool(record.done)  # a task of it was seen to run; said once in the log
        if record.state is JobState.ACTIVE and self.done.count >= self.spec.tasks:
            # Its home was gone between the last result and the end, which an inherited job's home holds back until
            # the view has settled. Nothing is left to run, so no report would ever end it (incidents/former-life.md).
            self.complete(now, "its record has all tasks")

    # -- questions ---------------------------------------------------------

    @property
    def waiting(self) -> int:
        if self.state is not JobState.ACTIVE:
            return 0
        return self.spec.tasks - self.next_index + len(self.requeued)

    @property
    def on_machines(self) -> int:
        return len(self.runs) + len(self.unknown)

    @property
    def running(self) -> int:
        return sum(run.state is TaskState.RUNNING for run in self.runs.values())

    @property
    def is_complete(self) -> bool:
        return self.stored_state is not JobState.ACTIVE and not self.has_full_record and not self.unacknowledged_results

    def state_of(self, index: int) -> TaskState:
        if index in self.done:
            return TaskState.DONE
        if index in self.runs:
            return self.runs[index].state
        return TaskState.UNKNOWN if index in self.unknown else TaskState.WAITING

    def allowed_zone(self) -> tuple[bool, str | None]:
        """Whether anything may be granted, and the only zone where."""
        if not self.spec.one_zone or self.spec.zone is not None:
            return True, self.spec.zone
        if self.unknown:
            return False, None
        zones = {run.zone for run in self.runs.values()}
        return True, next(iter(zones), None)

    def room_in(self, zone: str) -> int:
        """How many more tasks may be in that zone now."""
        fits, only = self.allowed_zone()
        if not fits or (only is not None and only != zone):
            return 0
        if not self.spec.spread:
            return self.spec.tasks
        here = sum(run.zone == zone for run in self.runs.values()) + len(self.unknown)
        return max(0, math.ceil(self.spec.tasks / 2) - here)

    # -- changes of state, one method each ---------------------------------

    def grant(self, index: int, run: TaskRun) -> None:
        self.runs[index] = run
        self.tasks_by_machine.setdefault(run.machine, set()).add(index)
        self._count(1)

    def adopt(self, index: int, run: TaskRun) -> None:
        """A report shows a task that was not known to be on a machine."""
        self._known(index)
        self.next_index = max(self.next_index, index + 1)
        self._no_longer_waiting(index)
        self.grant(index, run)
        if not self.has_started and run.state is TaskState.RUNNING:
            self.record_first_start("a task of it runs already")

    def progress(self, index: int, state: TaskState) -> None:
        self.runs[index].state = state
        if not self.has_started and state is TaskState.RUNNING:
            self.record_first_start("its first task runs")

    def record_first_start(self, cause: str) -> None:
        """What is measured, of large jobs above all: how long users waited for anything of it."""
        self.has_started = True
        log.info("job=%s state=started cause=%s", self.spec.id, cause)

    def requeue(self, index: int) -> None:
        """Proof that the task is on no machine: it waits again."""
        self._remove_from_machine(index)
        if self.state is JobState.ACTIVE and index not in self.done:
            heapq.heappush(self.requeued, index)

    def finish_task(self, index: int, now: float) -> None:
        self._remove_from_machine(index)
        if self.state is not JobState.ACTIVE:
            return
        self._no_longer_waiting(index)
        if not self.has_started:
            self.record_first_start("its first task ended before it was seen to run")
        self.done.add(index)
        self.errors = 0
        self.mark_dirty(now)
        if self.done.count >= self.spec.tasks:
            self.complete(now, "last task")

    def complete(self, now: float, cause: str) -> None:
        """All tasks are done."""
        self.state = JobState.DONE
        self.ended_at = now
        self.mark_dirty(now)
        log.info("job=%s state=done cause=%s", self.spec.id, cause)

    def _count(self, change: int) -> None:
        if self.tally is not None:
            self.tally.add(self.spec, change)

    def _known(self, index: int) -> None:
        if index in self.unknown:
            self.unknown.remove(index)
            self._count(-1)

    def _remove_from_machine(self, index: int) -> None:
        self._known(index)
        run = self.runs.pop(index, None)
        if run is not None:
            self._count(-1)
            there = self.tasks_by_machine[run.machine]
            there.discard(index)
            if not there:
                del self.tasks_by_machine[run.machine]

    def _no_longer_waiting(self, index: int) -> None:
        if index in self.requeued:
            self.requeued.remove(index)
            heapq.heapify(self.requeued)

    def fail_task(self, index: int, now: float) -> None:
        """The task ended with an error: it waits, and the job pauses a little longer each time."""
        self.requeue(index)
        pause = min(
            constants.ERROR_PAUSE_MAX_S, constants.ERROR_PAUSE_S * 2 ** min(10, self.errors // max(1, self.spec.tasks))
        )
        self.errors += 1
        self.paused_until = max(self.paused_until, now + pause) if self.errors > constants.QUARANTINE_ERRORS else 0.0

    def abort(self, now: float, cause: str = "withdrawn") -> None:
        if self.state is JobState.ACTIVE:
            self.state = JobState.ABORTED
            self.requeued.clear()
            self.mark_dirty(now)
            log.info("job=%s state=aborted cause=%s", self.spec.id, cause)

    def block(self) -> None:
        """A job that it needs is not done: nothing of it was ever started, and nothing may be."""
        self.is_blocked = True

    def unblock(self, since: float, ready_at: float) -> None:
        """All that it needs is done in the store, ``since`` then its times count."""
        if self.is_blocked:
            log.info(
                "job=%s state=ready cause=all it needs is done, %.1f s after its submission",
                self.spec.id,
                since - self.submitted,
            )
        self.is_blocked = False
        self.waiting_since = self.ready_since = max(self.submitted, since)
        self.ready_at, self.opened_at = ready_at, 0.0

    def close(self, opens_at: float) -> None:
        """Its hours are closed until that time of day: nothing of it is started."""
        self.opens_at = opens_at

    def reopen(self) -> None:
        self.opens_at = 0.0

    def start_turn(self, opened_at: float, since: float) -> None:
        """Its times count from its turn ``since``, at or after the opening at that time of day."""
        self.opened_at, self.waiting_since = opened_at, since

    def apply_stored_end(self, state: JobState) -> None:
        """The store holds this end already."""
        self.state = state
        self.requeued.clear()

    def mark_dirty(self, now: float) -> None:
        if self.dirty_since is None:
            self.dirty_since = now
        if self.tally is not None:
            self.tally.changed = True
            self.tally.lagging[self.spec.id] = self

    def raise_start_limit(self, count: int, now: float) -> None:
        """Ask the store for a limit that lets ``count`` more tasks start, and some beyond."""
        limit = min(self.spec.tasks, self.next_index + count + constants.START_LIMIT_AHEAD)
        if limit > self.wanted_start_limit:
            self.wanted_start_limit = limit
            self.mark_dirty(now)

    def has_unstored_results(self) -> bool:
        """Whether a result may be counted here and not in the store; while a write is under way nothing is dirty."""
        return self.dirty_since is not None or bool(self.unacknowledged_results) or self.state is not self.stored_state

    def next_task(self, now: float) -> int | None:
        """The next task to grant: lowest first, never beyond the stored mark."""
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

    # -- the record --------------------------------------------------------

    def to_record(self, value_bytes: int, may_end: bool = True) -> Record:
        state = self.state if may_end else self.stored_state
        done_at = round(self.at + self.ended_at - self.submitted, 3) if state is JobState.DONE else 0.0
        if state is self.state and self.state is not JobState.ACTIVE and not self.runs and not self.unknown:
            return Record(self.state, done_at=done_at)
        spec, dependency_digest = self.spec, self.dependency_digest
        if not self.is_blocked and (spec.needs or dependency_digest):
            spec, dependency_digest = msgspec.structs.replace(spec, needs=None), ""  # all done, for ever
        bare = Record(
            state,
            self.accepted_by,
            self.at,
            self.wanted_start_limit,
            [],
            spec,
            dependency_digest,
            self.ready_at,
            done_at,
        )
        room = value_bytes - len(msgspec.json.encode(bare)) - 16
        return msgspec.structs.replace(bare, done=self.done.largest_within(room))
