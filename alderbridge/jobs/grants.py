"""Task grants: the answer to a machine shard that asks for tasks of one job."""

from __future__ import annotations

import logging
from collections.abc import Callable

from alderbridge.jobs.job import Job
from alderbridge.jobs.job_calendars import JobCalendars
from alderbridge.jobs.quota_usage import QuotaUsage
from alderbridge.jobs.task_states import TaskRun, TaskState
from alderbridge.protocol.messages import Message, TaskGrant, TaskRequest

log = logging.getLogger("jobs")

FENCING_TOKEN_SHIFT = 24  # an attempt's number has the fencing token above these bits, a counter in them


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
        """``send`` takes a member's label and a message, and returns the message's number in its channel."""
        self.jobs = jobs
        self.jobs_by_machine = jobs_by_machine
        self.usage = usage
        self.job_calendars = job_calendars
        self.send = send
        self.fencing_token = 0
        self.attempts = 0  # under this fencing token

    def enter(self, fencing_token: int) -> None:
        """A new view: attempts are numbered above those of all views before."""
        self.fencing_token = fencing_token
        self.attempts = 0

    def on_task_request(self, label: str, request: TaskRequest, now: float, entitled: bool) -> None:
        """Answer with a grant, which is empty if nothing may start; ``entitled``: this controller may act."""
        job = self.jobs.get(request.job)
        tasks: list[tuple[int, int]] = []
        gate = self.job_calendars.gate  # the offer was made some moments ago: the calendar may have closed since
        is_closed = job is not None and gate is not None and not gate.may_start(job.spec)
        if job is None or not entitled or job.is_blocked or is_closed:
            self.send(label, TaskGrant(request.request_id, request.job, request.machine, tasks))
            return
        runs = []
        count = min(request.count, job.room_in(request.zone), self.quota_room(job))
        while len(tasks) < count:
            index = job.next_task(now)
            if index is None:
                break
            attempt = self._next_attempt(job)
            run = TaskRun(request.machine, request.zone, attempt, 0, TaskState.GRANTED, now)
            job.grant(index, run)
            self.jobs_by_machine.setdefault(run.machine, set()).add(job.spec.id)
            runs.append(run)
            log.debug("task=%s/%d state=granted machine=%s", job.spec.id, index, request.machine)
            tasks.append((index, attempt))
        seq = self.send(label, TaskGrant(request.request_id, request.job, request.machine, tasks))
        if runs:
            job.last_grant_at, job.boosted_grants_left = now, max(0, job.boosted_grants_left - len(runs))
        for run in runs:
            run.seq = seq

    def _next_attempt(self, job: Job) -> int:
        """A number never used before; tasks of a gang find each other by a common one."""
        if job.spec.gang and job.runs:
            return next(iter(job.runs.values())).attempt
        self.attempts += 1
        return (self.fencing_token << FENCING_TOKEN_SHIFT) + self.attempts

    def quota_room(self, job: Job) -> int:
        """How many more tasks of the job its team's quota allows here."""
        if not self.usage.limited(job.spec.team):
            return job.spec.tasks
        return self.usage.room(job.spec.team, self.usage.tally.teams.get(job.spec.team, (0.0, 0.0)), job.spec)
