"""Applies the calendars in force to the jobs of one shard: which are closed, and which tasks stop at closing."""

from __future__ import annotations

import logging
from collections.abc import Callable

from alderbridge.calendars.gate import CalendarGate
from alderbridge.jobs.job import Job
from alderbridge.jobs.record import JobState
from alderbridge.protocol.messages import Message, StopTask

log = logging.getLogger("jobs")


class JobCalendars:
    """Applies the calendars in force to the jobs of a shard."""

    def __init__(
        self, jobs: dict[str, Job], send: Callable[[str, Message], int], machine_owner: Callable[[str], str]
    ) -> None:
        """``send`` takes a member's label and a message; ``machine_owner`` gives the label of a machine's owner."""
        self.jobs = jobs
        self.send = send
        self.machine_owner = machine_owner
        # Replaced with each change of the calendars in force; None: no calendar is declared.
        self.gate: CalendarGate | None = None
        self.closed: set[str] = (
            set()
        )  # closed jobs that are not warming up: they have no queue rows and no quota demand
        # (job, index, attempt) of tasks that were sent a stop at closing and are still on their machine
        self.stopping_tasks: set[tuple[str, int, int]] = set()

    def reset(self) -> None:
        """Start a new view: machine owners do not keep stop orders across views, so these are sent again."""
        self.stopping_tasks = set()

    def refresh(self, now: float) -> None:
        """Update which jobs are closed; a job that opens gets the time from which its waiting counts."""
        if self.gate is not None:
            self.closed = self.gate.update_turns(self.jobs.values(), now)

    def stop_tasks(self) -> None:
        """Stop tasks of classes that end at closing: they save a checkpoint and wait for the next opening."""
        gate = self.gate
        if gate is None:
            self.stopping_tasks = set()
            return
        stopping = set()
        for job in self.jobs.values():
            if not job.runs or job.state is not JobState.ACTIVE or not gate.to_stop(job.spec):
                continue
            newly_stopped = 0
            for index, run in job.runs.items():
                key = (job.spec.id, index, run.attempt)
                stopping.add(key)
                if key not in self.stopping_tasks:
                    newly_stopped += 1
                    self.send(self.machine_owner(run.machine), StopTask(run.machine, *key, job.spec.save_s))
            if newly_stopped:
                log.info("job=%s state=stopping cause=closing tasks=%d", job.spec.id, newly_stopped)
        self.stopping_tasks = stopping
