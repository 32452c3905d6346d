"""The tasks of one job: where they run, which are done, which wait."""

from __future__ import annotations

import heapq
import logging
import math

from alderbridge.jobs.index_ranges import IndexRanges
from alderbridge.jobs.record import JobState, Record
from alderbridge.jobs.task_states import TaskRun, TaskState
from alderbridge.jobs.usage_tally import UsageTally

log = logging.getLogger("jobs")


class JobTasks:
    """The state of each task of a job.

    A task of an active job is in exactly one state, and each transition is one method::

        WAITING --grant--> GRANTED --progress--> FETCHING --progress--> RUNNING <--progress--> SAVING
           ^                   |                     |                     |                     |
           +----- requeue -----+---------------------+---------------------+---------------------+
        UNKNOWN --adopt--> the state that the report shows
        UNKNOWN --requeue--> WAITING
        any state --finish_task--> DONE

    * WAITING: on no machine; it may be granted. A report that shows it on one adopts it as well.
    * GRANTED, FETCHING, RUNNING, SAVING: on the machine of its ``TaskRun``.
    * UNKNOWN: inherited, below the stored start limit; it may be on any recorded machine until each has acknowledged
      the fencing token or its lease has expired.
    * DONE: completed; final.
    """

    def __init__(self, record: Record, never_started: bool) -> None:
        """``never_started``: no task was ever granted, though the record's start limit allows it."""
        assert record.spec is not None
        self.spec = record.spec
        self.state = record.state
        self.done = IndexRanges(record.done)
        self.unknown = set() if never_started else {i for i in range(record.start_limit) if i not in self.done}
        self.next_index = 0 if never_started else record.start_limit  # from here on, no task was ever granted
        self.requeued: list[int] = []  # heap of waiting tasks below ``next_index``
        self.runs: dict[int, TaskRun] = {}
        self.tasks_by_machine: dict[str, set[int]] = {}  # machine -> tasks whose run is on it
        self.tally: UsageTally | None = None  # of the shard that owns the job; None: none does yet
        self.has_started = bool(record.done)  # a task was seen to run; logged once

    # -- questions ---------------------------------------------------------

    @property
    def waiting(self) -> int:
        """Number of waiting tasks; 0 once the job has ended."""
        if self.state is not JobState.ACTIVE:
            return 0
        return self.spec.tasks - self.next_index + len(self.requeued)

    @property
    def on_machines(self) -> int:
        """Number of tasks that are, or may be, on a machine."""
        return len(self.runs) + len(self.unknown)

    @property
    def running(self) -> int:
        """Number of tasks that a report has shown to run."""
        return sum(run.state is TaskState.RUNNING for run in self.runs.values())

    def state_of(self, index: int) -> TaskState:
        """The state of one task."""
        if index in self.done:
            return TaskState.DONE
        if index in self.runs:
            return self.runs[index].state
        return TaskState.UNKNOWN if index in self.unknown else TaskState.WAITING

    def allowed_zone(self) -> tuple[bool, str | None]:
        """Whether any task may be granted, and the only zone where."""
        if not self.spec.one_zone or self.spec.zone is not None:
            return True, self.spec.zone
        if self.unknown:
            return False, None
        zones = {run.zone for run in self.runs.values()}
        return True, next(iter(zones), None)

    def room_in(self, zone: str) -> int:
        """How many more tasks may be in that zone now."""
        may_grant, only_zone = self.allowed_zone()
        if not may_grant or (only_zone is not None and only_zone != zone):
            return 0
        if not self.spec.spread:
            return self.spec.tasks
        in_zone = sum(run.zone == zone for run in self.runs.values()) + len(self.unknown)
        return max(0, math.ceil(self.spec.tasks / 2) - in_zone)

    # -- transitions of a task -----------------------------------------------

    def grant(self, index: int, run: TaskRun) -> None:
        """The task is on its machine, or granted to it."""
        self.runs[index] = run
        self.tasks_by_machine.setdefault(run.machine, set()).add(index)
        self._count(1)

    def adopt(self, index: int, run: TaskRun) -> None:
        """A report shows a task that was not known to be on a machine."""
        self._remove_from_unknown(index)
        self.next_index = max(self.next_index, index + 1)
        self._remove_from_requeued(index)
        self.grant(index, run)
        if not self.has_started and run.state is TaskState.RUNNING:
            self._record_first_start("a task of it runs already")

    def progress(self, index: int, state: TaskState) -> None:
        """A report shows the task's run in that state."""
        self.runs[index].state = state
        if not self.has_started and state is TaskState.RUNNING:
            self._record_first_start("its first task runs")

    def requeue(self, index: int) -> None:
        """Proof that the task is on no machine: it waits again."""
        self._remove_from_machine(index)
        if self.state is JobState.ACTIVE and index not in self.done:
            heapq.heappush(self.requeued, index)

    # -- bookkeeping ---------------------------------------------------------

    def _record_first_start(self, cause: str) -> None:
        """For measurements: how long users waited for the first task, of large jobs above all."""
        self.has_started = True
        log.info("job=%s state=started cause=%s", self.spec.id, cause)

    def _count(self, change: int) -> None:
        if self.tally is not None:
            self.tally.add(self.spec, change)

    def _remove_from_unknown(self, index: int) -> None:
        if index in self.unknown:
            self.unknown.remove(index)
            self._count(-1)

    def _remove_from_machine(self, index: int) -> None:
        self._remove_from_unknown(index)
        run = self.runs.pop(index, None)
        if run is not None:
            self._count(-1)
            machine_tasks = self.tasks_by_machine[run.machine]
            machine_tasks.discard(index)
            if not machine_tasks:
                del self.tasks_by_machine[run.machine]

    def _remove_from_requeued(self, index: int) -> None:
        if index in self.requeued:
            self.requeued.remove(index)
            heapq.heapify(self.requeued)
