"""Reports to job owners: all that is on one machine of their tasks, and so what is not."""

from __future__ import annotations

from collections.abc import Iterable

from alderbridge.machines.context import JobLookups, Outbox, ShardView
from alderbridge.machines.machine import JobTaskReports, Machine, TaskKey
from alderbridge.protocol.messages import MachineTaskReport


class OwnerReports:
    """Tells each job owner what is on a machine, once per change."""

    def __init__(self, jobs: JobLookups, outbox: Outbox, view: ShardView) -> None:
        """``view``: whose members are the job owners."""
        self.jobs = jobs
        self.outbox = outbox
        self.view = view

    def send(self, machine: Machine, urgent: bool = True) -> None:
        """To every member, what of its tasks is on the machine: no report would prove nothing.

        One that was told just that, and has granted nothing since, gets none. ``urgent``: at once, not deferred.
        """
        if not machine.is_proven:
            return
        by_owner: dict[str, JobTaskReports] = {label: ([], []) for label in self.view.members}
        job_owner = self.jobs.job_owner
        by_job: dict[str, JobTaskReports | None] = {}  # None: no member owns the job
        for (job, _), task in machine.tasks.items():
            lists = by_job[job] if job in by_job else by_job.setdefault(job, by_owner.get(job_owner(job)))
            if lists is not None:
                lists[0].append(task.report)
        for (job, index), attempt in _ordered_tasks(machine):
            lists = by_job[job] if job in by_job else by_job.setdefault(job, by_owner.get(job_owner(job)))
            if lists is not None:
                lists[1].append((job, index, attempt))
        history, outbox = machine.reports, self.outbox
        send = outbox.send if urgent else outbox.send_deferred
        for label, lists in by_owner.items():
            if label in history.due or history.last.get(label) != lists:
                history.last[label] = lists
                processed_seq = outbox.processed_seq_of(label)
                send(label, MachineTaskReport(machine.name, machine.zone, processed_seq, *lists))
        history.due.clear()


def _ordered_tasks(machine: Machine) -> Iterable[tuple[TaskKey, int]]:
    """Granted or ordered, and not yet seen in a heartbeat: neither proof of being there nor of not being there."""
    yield from machine.prior.ordered.items()
    for key, pending in machine.orders.pending.items():
        yield key, pending.attempt
