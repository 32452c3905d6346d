"""The tasks of one job: which wait, where the others run, and which are done."""

from __future__ import annotations

import logging
import math
from collections import Counter

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
        UNKNOWN --adopt--> the reported state
        UNKNOWN --requeue--> WAITING
        any state --finish_task--> DONE

    * WAITING: on no machine; it may be granted. ``adopt`` also applies if a report shows it on a machine.
    * GRANTED, FETCHING, RUNNING, SAVING: on the machine of its ``TaskRun``.
    * UNKNOWN: inherited, below the stored start limit; it may be on any recorded machine that its job may use, until
      each of these is reconciled or its lease has expired.
    * DONE: final.
    """

    def __init__(self, record: Record, never_started: bool) -> None:
        """``never_started``: no task was ever granted, although the record's start limit allows it."""
        assert record.spec is not None
        self.spec = record.spec
        self.state = record.state
        self.done = IndexRanges(record.done)
        self.inherited_tasks = self.done.missing_below(0 if never_started else record.start_limit)
        self.next_index = 0 if never_started else record.start_limit  # no task from this index on was ever granted
        self.requeued = IndexRanges()  # the waiting tasks below ``next_index``
        self.runs: dict[int, TaskRun] = {}
        self.tasks_by_machine: dict[str, set[int]] = {}  # machine -> indexes of the tasks whose run is on it
        self.tally: UsageTally | None = None  # of the owning shard; None: the job is in no shard
        self.has_started = bool(record.done)  # whether any task was observed running or done; logged once
        self.zone_conflict_logged = False  # whether runs of a one-zone job were reported in two zones; logged once

    @property
    def waiting(self) -> int:
        """Number of waiting tasks; 0 once the job has ended."""
        if self.state is not JobState.ACTIVE:
            return 0
        return self.spec.tasks - self.next_index + self.requeued.count

    @property
    def on_machines(self) -> int:
        """Number of tasks that are, or may be, on a machine."""
        return len(self.runs) + self.inherited_tasks.count

    @property
    def running(self) -> int:
        """Number of tasks reported as running."""
        return sum(run.state is TaskState.RUNNING for run in self.runs.values())

    def state_of(self, index: int) -> TaskState:
        """State of one task."""
        if index in self.done:
            return TaskState.DONE
        if index in self.runs:
            return self.runs[index].state
        return TaskState.UNKNOWN if index in self.inherited_tasks else TaskState.WAITING

    def allowed_zone(self) -> tuple[bool, str | None]:
        """Whether any task may be granted, and the zone that grants are restricted to, if any.

        While reports place runs of a one-zone job in several zones, none may: one of them is outdated, and a report of
        its machine's owner will show so.
        """
        if not self.spec.one_zone or self.spec.zone is not None:
            return True, self.spec.zone
        if self.inherited_tasks:
            return False, None
        zones = {run.zone for run in self.runs.values()}
        return len(zones) <= 1, next(iter(zones)) if len(zones) == 1 else None

    def runs_by_zone(self) -> dict[str, int]:
        """Number of runs in each zone that has any, in the order of the zones' names."""
        return dict(sorted(Counter(run.zone for run in self.runs.values()).items()))

    def remaining_in_zone(self, zone: str) -> int:
        """How many more tasks the placement rules of the job allow in the zone now."""
        may_grant, only_zone = self.allowed_zone()
        if not may_grant or (only_zone is not None and only_zone != zone):
            return 0
        if not self.spec.spread:
            return self.spec.tasks
        in_zone = sum(run.zone == zone for run in self.runs.values()) + len(self.inherited_tasks)
        return max(0, math.ceil(self.spec.tasks / 2) - in_zone)

    def grant(self, index: int, run: TaskRun) -> None:
        """Record the run of a task that was granted to a machine, or was found on it."""
        self.runs[index] = run
        self.tasks_by_machine.setdefault(run.machine, set()).add(index)
        self._add_to_tally(1)

    def adopt(self, index: int, run: TaskRun) -> None:
        """A report shows a task that was waiting, or inherited, on a machine."""
        self._remove_from_unknown(index)
        self.next_index = max(self.next_index, index + 1)
        self.requeued.discard(index)
        self.grant(index, run)
        if not self.has_started and run.state is TaskState.RUNNING:
            self._record_first_start("a task of it runs already")
        # Until a conflict all runs share a zone, so any other run will do for the comparison.
        if self.spec.one_zone and not self.zone_conflict_logged and next(iter(self.runs.values())).zone != run.zone:
            self._log_zone_conflict(index, run)

    def progress(self, index: int, state: TaskState) -> None:
        """Set the reported state of the task's run."""
        self.runs[index].state = state
        if not self.has_started and state is TaskState.RUNNING:
            self._record_first_start("its first task runs")

    def requeue(self, index: int) -> None:
        """Return the task to WAITING; the caller has proof that it is on no machine."""
        self._remove_from_machine(index)
        if self.state is JobState.ACTIVE and index not in self.done:
            self.requeued.add(index)

    def requeue_inherited(self) -> None:
        """Return all inherited tasks to WAITING; the caller has proof that they are on no machine."""
        self._add_to_tally(-len(self.inherited_tasks))
        if self.state is JobState.ACTIVE:
            self.requeued.add_all(self.inherited_tasks)
        self.inherited_tasks.clear()

    def _record_first_start(self, cause: str) -> None:
        """Log the first start, from which the time that users waited for it is computed."""
        self.has_started = True
        log.info("job=%s state=started cause=%s", self.spec.id, cause)

    def _log_zone_conflict(self, index: int, run: TaskRun) -> None:
        """Warn that reports place runs of this one-zone job in more than one zone."""
        self.zone_conflict_logged = True
        log.warning(
            "job=%s state=zone_conflict zones=%s task=%d machine=%s zone=%s attempt=%d",
            self.spec.id,
            self.runs_by_zone(),
            index,
            run.machine,
            run.zone,
            run.attempt,
        )

    def _add_to_tally(self, change: int) -> None:
        if self.tally is not None:
            self.tally.add(self.spec, change)

    def _remove_from_unknown(self, index: int) -> None:
        if index in self.inherited_tasks:
            self.inherited_tasks.remove(index)
            self._add_to_tally(-1)

    def _remove_from_machine(self, index: int) -> None:
        self._remove_from_unknown(index)
        run = self.runs.pop(index, None)
        if run is not None:
            self._add_to_tally(-1)
            machine_tasks = self.tasks_by_machine[run.machine]
            machine_tasks.discard(index)
            if not machine_tasks:
                del self.tasks_by_machine[run.machine]
