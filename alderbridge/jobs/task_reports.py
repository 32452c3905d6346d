"""Machine task reports: compares the recorded with the observed state of each task and carries out the action."""

from __future__ import annotations

import logging
from collections.abc import Callable

from alderbridge.jobs.inherited_tasks import InheritedTasks
from alderbridge.jobs.job import Job
from alderbridge.jobs.record import JobState
from alderbridge.jobs.task_states import LIVE_TASK_STATES, TaskRun, TaskState
from alderbridge.protocol.messages import (
    AcknowledgeFinished,
    MachineTaskReport,
    Message,
    StopTask,
    TaskStatusReport,
)
from alderbridge.reconciliation import Action, ObservedState, RecordedState, reconcile

log = logging.getLogger("jobs")

# Indexed by action: whether a finished task is acknowledged, whether a live one is stopped.
_ACKNOWLEDGES = tuple(
    action in (Action.ACKNOWLEDGE, Action.REQUEUE_AND_ACKNOWLEDGE, Action.FAIL_AND_ACKNOWLEDGE) for action in Action
)
_STOPS = tuple(action in (Action.STOP, Action.ADOPT_AND_STOP, Action.PROGRESS_AND_STOP) for action in Action)


class TaskReportHandler:
    """Reconciles the jobs of a shard with the tasks that are, and are not, on a machine."""

    def __init__(
        self,
        jobs: dict[str, Job],
        jobs_by_machine: dict[str, set[str]],
        inherited: InheritedTasks,
        send: Callable[[str, Message], int],
    ) -> None:
        """``jobs`` and ``jobs_by_machine``: the dicts of the shard."""
        self.jobs = jobs
        self.jobs_by_machine = jobs_by_machine
        self.inherited = inherited
        self.send = send

    def on_task_report(self, label: str, report: MachineTaskReport, now: float) -> None:
        """Apply a report of the machine owner ``label`` on all tasks of a machine; others are proven absent."""
        present = self._apply_statuses(label, report, now)
        if report.pending:
            self._apply_pending_grants(label, report, present, now)
        self._requeue_absent_tasks(report, present)
        self.inherited.on_machine_reconciled(report.machine)

    def _apply_statuses(self, label: str, report: MachineTaskReport, now: float) -> set[tuple[str, int]]:
        """Apply the status of each task; returns the (job, index) of the tasks that are present."""
        present = set()
        jobs, machine = self.jobs, report.machine
        for task in report.tasks:
            name, index = task.job, task.index
            present.add((name, index))
            state = LIVE_TASK_STATES.get(task.status)
            if state is not None:
                job = jobs.get(name)
                if job is not None:
                    run = job.runs.get(index)
                    if (
                        run is not None
                        and run.attempt == task.attempt
                        and run.machine == machine
                        and job.state is JobState.ACTIVE
                    ):
                        job.progress(index, state)  # shortcut for the most frequent case: HERE and LIVE
                        continue
            self._reconcile(label, report, task, self._observed_state(task), now)
        return present

    def _apply_pending_grants(
        self, label: str, report: MachineTaskReport, present: set[tuple[str, int]], now: float
    ) -> None:
        """Apply grants to the machine that no heartbeat has shown yet, and add them to ``present``."""
        for name, index, attempt in report.pending:
            present.add((name, index))
            job = self.jobs.get(name)
            if job is not None and index not in job.runs:  # granted under an earlier view; the machine kept its owner
                task = TaskStatusReport(name, index, attempt, "granted", None)
                self._reconcile(label, report, task, ObservedState.PENDING, now)

    def _requeue_absent_tasks(self, report: MachineTaskReport, present: set[tuple[str, int]]) -> None:
        """Requeue tasks that are not on the machine, unless their grant is newer than the report."""
        jobs, machine = self.jobs, report.machine
        machine_jobs = self.jobs_by_machine.get(machine)
        if machine_jobs is None:
            return
        for name in list(machine_jobs):
            job = jobs.get(name)
            indexes = job.tasks_by_machine.get(machine) if job is not None else None
            if job is None or indexes is None:
                machine_jobs.discard(name)
                continue
            for index in [*indexes]:
                if (name, index) not in present and job.runs[index].seq <= report.processed_seq:
                    log.debug("task=%s/%d state=waiting cause=not on its machine machine=%s", name, index, machine)
                    job.requeue(index)
        if not machine_jobs:
            del self.jobs_by_machine[machine]

    def _observed_state(self, task: TaskStatusReport) -> ObservedState:
        if task.status != "ended":
            return ObservedState.LIVE
        job = self.jobs.get(task.job)
        if task.cause == "done" and (job is None or not job.spec.service):
            return ObservedState.DONE
        return ObservedState.ERROR if task.cause == "error" else ObservedState.STOPPED

    @staticmethod
    def recorded_state(job: Job | None, index: int, machine: str, attempt: int) -> RecordedState:
        """Recorded state of a task, with respect to one attempt on one machine."""
        if job is None:
            return RecordedState.UNKNOWN_JOB
        run = job.runs.get(index)
        if run is not None:
            if run.machine != machine:
                return RecordedState.ELSEWHERE
            if run.attempt != attempt:
                return RecordedState.OTHER_ATTEMPT
            return RecordedState.HERE if job.state is JobState.ACTIVE else RecordedState.JOB_ENDED_HERE
        if index in job.done:
            return RecordedState.RESULT_UNSTORED if job.has_unstored_results() else RecordedState.RESULT_STORED
        if job.state is not JobState.ACTIVE:
            return RecordedState.JOB_ENDED
        return RecordedState.POSSIBLY_HERE if index in job.inherited_tasks else RecordedState.WAITING

    def _reconcile(
        self, label: str, report: MachineTaskReport, task: TaskStatusReport, observed: ObservedState, now: float
    ) -> None:
        """Carry out the action of the reconciliation table for the task on that machine."""
        job = self.jobs.get(task.job)
        action = reconcile(self.recorded_state(job, task.index, report.machine, task.attempt), observed)
        if job is not None:
            self._update_job(job, action, report, task, now)
        if _ACKNOWLEDGES[action]:
            self.send(label, AcknowledgeFinished(report.machine, task.job, task.index, task.attempt))
        elif _STOPS[action]:
            self.send(label, StopTask(report.machine, task.job, task.index, task.attempt, 0.0))

    def _update_job(
        self, job: Job, action: Action, report: MachineTaskReport, task: TaskStatusReport, now: float
    ) -> None:
        """Apply the action to the state of the task."""
        index = task.index
        if action is Action.PROGRESS or action is Action.PROGRESS_AND_STOP:
            job.progress(index, LIVE_TASK_STATES.get(task.status, TaskState.RUNNING))
        elif action is Action.ADOPT or action is Action.ADOPT_AND_STOP:
            log.debug(
                "task=%s/%d state=adopted machine=%s zone=%s attempt=%d status=%s recorded=%s",
                task.job,
                index,
                report.machine,
                report.zone,
                task.attempt,
                task.status,
                job.state_of(index).value,
            )
            job.adopt(index, self._observed_run(report, task, now))
            self.jobs_by_machine.setdefault(report.machine, set()).add(task.job)
        elif action is Action.FINISH:
            # Acknowledged only once the result is stored.
            job.finish_task(index, now)
            job.unacknowledged_results[(report.machine, index, task.attempt)] = None
        elif action is Action.FAIL_AND_ACKNOWLEDGE:
            job.fail_task(index, now)
        elif action is Action.REQUEUE_AND_ACKNOWLEDGE:
            job.requeue(index)

    @staticmethod
    def _observed_run(report: MachineTaskReport, task: TaskStatusReport, now: float) -> TaskRun:
        if task.status == "granted":
            state = TaskState.GRANTED
        else:
            state = LIVE_TASK_STATES.get(task.status, TaskState.RUNNING)
        return TaskRun(report.machine, report.zone, task.attempt, 0, state, now)
