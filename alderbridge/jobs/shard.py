"""The shard of jobs that one controller owns.

It does no I/O: messages are passed to ``send``, and ``RecordWrites.due`` yields the records to write.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable, Mapping

from alderbridge.jobs.grants import TaskGranter
from alderbridge.jobs.inherited_tasks import InheritedTasks
from alderbridge.jobs.job import Job
from alderbridge.jobs.job_calendars import JobCalendars
from alderbridge.jobs.job_queue import JobQueue
from alderbridge.jobs.quota_usage import QuotaUsage
from alderbridge.jobs.record_writes import RecordWrites
from alderbridge.jobs.task_reports import TaskReportHandler
from alderbridge.jobs.usage_tally import UsageTally
from alderbridge.protocol.messages import Message
from alderbridge.protocol.wire import MachineRecord
from alderbridge.settings import Team

log = logging.getLogger("jobs")

Send = Callable[[str, Message], int]  # (member's label, message) -> sequence of the message in its channel


def _no_owner(machine: str) -> str:
    return ""


class JobShard:
    """The jobs that this controller owns, and the components that operate on them.

    ``jobs``, ``jobs_by_machine`` and ``tally`` are shared with the components: update them in place, never rebind them.
    """

    def __init__(
        self,
        teams: Iterable[Team],
        send: Send,
        value_bytes: int,
        machine_owner: Callable[[str], str] = _no_owner,
        send_deferred: Send | None = None,
    ) -> None:
        """``send_deferred``: for messages that may wait to be batched with others to the same member; default ``send``.

        ``value_bytes``: maximum size of a stored record.
        """
        self.value_bytes = value_bytes
        self.jobs: dict[str, Job] = {}
        self.jobs_by_machine: dict[str, set[str]] = {}  # machine -> jobs that have, or had, a run on it
        self.tally = UsageTally()
        self.jobs_added = 0  # never reset
        self.settled = False  # whether every member acts under this view or not at all
        self.job_calendars = JobCalendars(self.jobs, send, machine_owner)
        self.usage = QuotaUsage(teams, self.jobs, self.tally, self.job_calendars)
        self.queue = JobQueue(self.jobs, self.usage, self.job_calendars)
        self.grants = TaskGranter(self.jobs, self.jobs_by_machine, self.usage, self.job_calendars, send)
        self.inherited = InheritedTasks(self.jobs)
        self.task_reports = TaskReportHandler(self.jobs, self.jobs_by_machine, self.inherited, send)
        self.record_writes = RecordWrites(self.tally, send, send_deferred or send, machine_owner, self.may_end)

    def enter_view(self, fencing_token: int, jobs: dict[str, Job], machines: Mapping[str, MachineRecord]) -> None:
        """Start a new view: ``jobs`` are all jobs of this shard, ``machines`` all machines that the store has.

        Runs are kept. Changes that their machine's owner may have lost are reconciled when the machine acknowledges
        the new fencing token.
        """
        self.settled = False
        self._replace_jobs(jobs)
        self.grants.enter_view(fencing_token)
        self.inherited.enter_view(fencing_token, machines)
        self.usage.reset_allocations()
        self.job_calendars.reset()
        self._requeue_unrecorded(machines)
        self._log_view(fencing_token, machines)
        self.inherited.release()

    def _log_view(self, fencing_token: int, machines: Mapping[str, MachineRecord]) -> None:
        """Log the size of the shard: what memory and time after a change of view follow."""
        log.info(
            "job_shard state=entered fencing_token=%d jobs=%d running=%d inherited_tasks=%d waiting=%d machines=%d",
            fencing_token,
            len(self.jobs),
            sum(len(job.runs) for job in self.jobs.values()),
            sum(len(job.inherited_tasks) for job in self.jobs.values()),
            sum(job.waiting for job in self.jobs.values()),
            len(machines),
        )

    def _replace_jobs(self, jobs: dict[str, Job]) -> None:
        for job in self.jobs.values():
            job.tally = None
        self.jobs.clear()
        self.jobs_by_machine.clear()
        self.tally.clear()
        self.usage.invalidate_count()
        for job in jobs.values():
            self.add(job)

    def _requeue_unrecorded(self, machines: Mapping[str, MachineRecord]) -> None:
        """Requeue the runs whose machine is no longer in the store.

        A machine's record is deleted only after its worker's lease expired or its termination was confirmed. The
        owner's report of that may have been lost with the earlier view and would not be repeated.
        """
        for job in self.jobs.values():
            for index, run in list(job.runs.items()):
                run.seq = 0
                if run.machine not in machines:
                    job.requeue(index)

    def settle(self) -> None:
        """Each member acts under this view or not at all: no earlier owner responds for a job of this shard any more.

        The jobs stay not inherited under later views in which this shard keeps them. Otherwise each of several views
        in a short time would delay the end of cancelled jobs again.
        """
        self.settled = True
        for job in self.jobs.values():
            job.inherited = False

    def may_end(self, job: Job) -> bool:
        """Whether the end of the job may be stored: not while an earlier owner may still respond for it."""
        return self.settled or not job.inherited

    def add(self, job: Job) -> None:
        """Add a job that this shard owns from now on."""
        self.jobs[job.spec.id] = job
        self.jobs_added += 1
        job.tally, job.arrival_number = self.tally, self.jobs_added
        self.tally.lagging[job.spec.id] = job  # until the next ``RecordWrites.due``
        self.tally.add(job.spec, job.on_machines)
        for machine in job.tasks_by_machine:
            self.jobs_by_machine.setdefault(machine, set()).add(job.spec.id)

    def remove(self, job: Job) -> None:
        """Remove a job that is complete."""
        del self.jobs[job.spec.id]
        self.tally.lagging.pop(job.spec.id, None)
        self.tally.add(job.spec, -job.on_machines)
        job.tally = None
