"""Reports to job owners of all their tasks on a machine: a task that is not listed is known to be absent."""

from __future__ import annotations

from collections.abc import Iterable

from alderbridge.machines.context import JobLookups, Outbox, ShardView
from alderbridge.machines.machine import JobTaskReports, Machine, TaskKey
from alderbridge.protocol.messages import MachineTaskReport


class OwnerReports:
    """Sends each job owner a report on a machine, once per change."""

    def __init__(self, jobs: JobLookups, outbox: Outbox, view: ShardView) -> None:
        """``view``: its members are the job owners."""
        self.jobs = jobs
        self.outbox = outbox
        self.view = view

    def send(self, machine: Machine, urgent: bool = True) -> None:
        """Send every member a report of its tasks on the machine, also if there are none.

        Members that were last sent the same report and have granted no task since are skipped. ``urgent``: send at
        once instead of deferring to the next message. Nothing is sent until the machine's tasks are fully known.
        """
        if not machine.has_complete_tasks:
            return
        by_owner: dict[str, JobTaskReports] = {label: ([], []) for label in self.view.members}
        job_owner = self.jobs.job_owner
        by_job: dict[str, JobTaskReports | None] = {}  # None: no member owns the job
        for (job, _), task in machine.tasks.items():
            lists = by_job[job] if job in by_job else by_job.setdefault(job, by_owner.get(job_owner(job)))
            if lists is not None:
                lists[0].append(task.report)
        for (job, index), attempt in _unconfirmed_tasks(machine):
            lists = by_job[job] if job in by_job else by_job.setdefault(job, by_owner.get(job_owner(job)))
            if lists is not None:
                lists[1].append((job, index, attempt))
        history, outbox = machine.reports, self.outbox
        send = outbox.send if urgent else outbox.send_deferred
        for label, lists in by_owner.items():
            if label in history.owners_due or history.last_sent.get(label) != lists:
                history.last_sent[label] = lists
                processed_seq = outbox.processed_seq_of(label)
                send(label, MachineTaskReport(machine.name, machine.zone, processed_seq, *lists))
        history.owners_due.clear()


def _unconfirmed_tasks(machine: Machine) -> Iterable[tuple[TaskKey, int]]:
    """Tasks granted or ordered but not yet in a heartbeat: they may or may not be on the machine."""
    yield from machine.prior_view.unconfirmed.items()
    for key, pending in machine.orders.pending.items():
        yield key, pending.attempt
