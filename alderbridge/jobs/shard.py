"""The shard of jobs that one controller owns.

Nothing here does I/O: messages leave through ``send``, records are collected by ``RecordWrites.due``.
"""

from __future__ import annotations

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

Send = Callable[[str, Message], int]  # (member's label, message) -> number of the message in its channel


def _no_owner(machine: str) -> str:
    return ""


class JobShard:
    """The jobs that this controller owns, and what works on them; composed here.

    ``jobs``, ``jobs_by_machine`` and ``tally`` are shared with the collaborators, so they stay the same objects.
    """

    def __init__(
        self,
        teams: Iterable[Team],
        send: Send,
        value_bytes: int,
        machine_owner: Callable[[str], str] = _no_owner,
        send_deferred: Send | None = None,
    ) -> None:
        """``send_deferred``: for messages that may wait for others to the same member; None: as ``send``.

        ``value_bytes``: the store's limit for one record.
        """
        self.value_bytes = value_bytes
        self.jobs: dict[str, Job] = {}
        self.jobs_by_machine: dict[str, set[str]] = {}  # machine -> jobs that have, or had, a run there
        self.tally = UsageTally()
        self.jobs_added = 0  # over all views
        self.settled = False  # every member acts under this view, or not at all
        self.job_calendars = JobCalendars(self.jobs, send, machine_owner)
        self.usage = QuotaUsage(teams, self.jobs, self.tally, self.job_calendars)
        self.queue = JobQueue(self.jobs, self.usage, self.job_calendars)
        self.grants = TaskGranter(self.jobs, self.jobs_by_machine, self.usage, self.job_calendars, send)
        self.inherited = InheritedTasks(self.jobs)
        self.task_reports = TaskReportHandler(self.jobs, self.jobs_by_machine, self.inherited, send)
        self.record_writes = RecordWrites(self.tally, send, send_deferred or send, machine_owner, self.may_end)

    def enter(self, fencing_token: int, jobs: dict[str, Job], machines: Mapping[str, MachineRecord]) -> None:
        """A new view: ``jobs`` is all that this shard owns, ``machines`` all recorded ones.

        Runs are kept; what their machine's owner may have lost is reconciled when the machine acknowledges the new
        fencing token.
        """
        self.settled = False
        self._replace_jobs(jobs)
        self.grants.enter(fencing_token)
        self.inherited.enter(fencing_token, machines)
        self.usage.reset_allocations()
        self.job_calendars.reset()
        self._requeue_unrecorded(machines)
        self.inherited.release()

    def _replace_jobs(self, jobs: dict[str, Job]) -> None:
        for job in self.jobs.values():
            job.tally = None
        self.jobs.clear()
        self.jobs_by_machine.clear()
        self.tally.clear()
        self.usage.recount()
        for job in jobs.values():
            self.add(job)

    def _requeue_unrecorded(self, machines: Mapping[str, MachineRecord]) -> None:
        """Requeue the runs whose machine is not recorded any more.

        Its record goes only after its lease expired or its termination was confirmed. What its owner said of that may
        have been lost with the older view, and nobody would repeat it (docs/incidents/zone-lost-proof.md).
        """
        for job in self.jobs.values():
            for index, run in list(job.runs.items()):
                run.seq = 0
                if run.machine not in machines:
                    job.requeue(index)

    def settle(self) -> None:
        """Each member acts under this view or not at all: no earlier owner answers for a job of this shard any more.

        Nor will any under a later view that leaves the job here: otherwise each of several views in a short time
        would hold back anew what users had cancelled.
        """
        self.settled = True
        for job in self.jobs.values():
            job.inherited = False

    def may_end(self, job: Job) -> bool:
        """An inherited job ends in the store only once no earlier owner may answer for it; see ``settle``."""
        return self.settled or not job.inherited

    def add(self, job: Job) -> None:
        """This shard owns the job from here on."""
        self.jobs[job.spec.id] = job
        self.jobs_added += 1
        job.tally, job.arrival_number = self.tally, self.jobs_added
        self.tally.lagging[job.spec.id] = job  # until the next look at the records that are due
        self.tally.add(job.spec, job.on_machines)
        for machine in job.tasks_by_machine:
            self.jobs_by_machine.setdefault(machine, set()).add(job.spec.id)

    def remove(self, job: Job) -> None:
        """Nothing of the job is left to do."""
        del self.jobs[job.spec.id]
        self.tally.lagging.pop(job.spec.id, None)
        self.tally.add(job.spec, -job.on_machines)
        job.tally = None
