"""Task grants: responses to machine shards that request tasks of a job."""

from __future__ import annotations

import logging
from collections.abc import Callable

from alderbridge.jobs.job import Job
from alderbridge.jobs.job_calendars import JobCalendars
from alderbridge.jobs.quota_usage import QuotaUsage
from alderbridge.jobs.task_states import TaskRun, TaskState
from alderbridge.protocol.messages import Message, TaskGrant, TaskRequest

log = logging.getLogger("jobs")

ATTEMPT_COUNTER_BITS = 24  # low bits of an attempt number; the fencing token is in the bits above


class TaskGranter:
    """Grants waiting tasks of a shard's jobs, within the limits of the job, its calendar and its team's quota."""

    def __init__(
        self,
        jobs: dict[str, Job],
        jobs_by_machine: dict[str, set[str]],
        usage: QuotaUsage,
        job_calendars: JobCalendars,
        send: Callable[[str, Message], int],
    ) -> None:
        """``send`` takes a member's label and a message, and returns the message's sequence in its channel."""
        self.jobs = jobs
        self.jobs_by_machine = jobs_by_machine
        self.usage = usage
        self.job_calendars = job_calendars
        self.send = send
        self.fencing_token = 0
        self.attempts = 0  # attempt numbers issued under this fencing token

    def enter_view(self, fencing_token: int) -> None:
        """Start a new view: its attempt numbers are higher than those of all earlier views."""
        self.fencing_token = fencing_token
        self.attempts = 0

    def on_task_request(self, label: str, request: TaskRequest, now: float, may_act: bool) -> None:
        """Respond with a grant, empty if no task may start; ``may_act``: this controller may act under the view."""
        job = self.jobs.get(request.job)
        tasks: list[tuple[int, int]] = []
        refusal = self._refusal_cause(job, may_act)
        if job is None or refusal:
            log.debug("job=%s state=not_granted machine=%s cause=%s", request.job, request.machine, refusal)
            self.send(label, TaskGrant(request.request_id, request.job, request.machine, tasks))
            return
        runs = []
        zone_tasks, quota_tasks = job.remaining_in_zone(request.zone), self.remaining_quota_tasks(job)
        count = min(request.count, zone_tasks, quota_tasks)
        if log.isEnabledFor(logging.DEBUG):
            self._log_limits(request, job, zone_tasks, quota_tasks)
        while len(tasks) < count:
            index = job.next_task(now)
            if index is None:
                break
            attempt = self._next_attempt(job)
            run = TaskRun(request.machine, request.zone, attempt, 0, TaskState.GRANTED, now)
            job.grant(index, run)
            self.jobs_by_machine.setdefault(run.machine, set()).add(job.spec.id)
            runs.append(run)
            log.debug("task=%s/%d state=granted machine=%s attempt=%d", job.spec.id, index, request.machine, attempt)
            tasks.append((index, attempt))
        seq = self.send(label, TaskGrant(request.request_id, request.job, request.machine, tasks))
        if runs:
            job.last_grant_at, job.boosted_grants_left = now, max(0, job.boosted_grants_left - len(runs))
        for run in runs:
            run.seq = seq

    def _refusal_cause(self, job: Job | None, may_act: bool) -> str:
        """Why no task of the job may start at present, whatever the machine; empty if tasks may start."""
        if job is None:
            return "not owned here"
        if not may_act:
            return "may not act"
        if job.is_blocked:
            return "blocked"
        gate = self.job_calendars.gate  # the calendar may have closed since the queue row offered the tasks
        return "calendar closed" if gate is not None and not gate.may_start(job.spec) else ""

    def _log_limits(self, request: TaskRequest, job: Job, zone_tasks: int, quota_tasks: int) -> None:
        """Log what a grant rests on, also if it is empty: runs by zone, and tasks that zone and quota allow."""
        log.debug(
            "job=%s state=requested machine=%s zone=%s fencing_token=%d requested=%d zone_tasks=%d quota_tasks=%d "
            "waiting=%d inherited=%d runs=%s",
            request.job,
            request.machine,
            request.zone,
            self.fencing_token,
            request.count,
            zone_tasks,
            quota_tasks,
            job.waiting,
            len(job.inherited_tasks),
            job.runs_by_zone(),
        )

    def _next_attempt(self, job: Job) -> int:
        """A new attempt number; concurrent tasks of a gang share one number, by which they find each other."""
        if job.spec.gang and job.runs:
            return next(iter(job.runs.values())).attempt
        self.attempts += 1
        return (self.fencing_token << ATTEMPT_COUNTER_BITS) + self.attempts

    def remaining_quota_tasks(self, job: Job) -> int:
        """How many more tasks of the job the team's quota on this shard allows."""
        if not self.usage.limited(job.spec.team):
            return job.spec.tasks
        return self.usage.remaining_tasks(
            job.spec.team, self.usage.tally.teams.get(job.spec.team, (0.0, 0.0)), job.spec
        )
