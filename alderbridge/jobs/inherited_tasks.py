"""Tasks inherited from an earlier view, and the recovery barrier that delays their requeueing."""

from __future__ import annotations

import logging
from collections.abc import Mapping

from alderbridge.jobs.job import Job
from alderbridge.protocol.wire import MachineRecord
from alderbridge.reconciliation import Barrier

log = logging.getLogger("jobs")


class InheritedTasks:
    """Prevents inherited tasks from starting again while a machine that is not reconciled may still run them."""

    def __init__(self, jobs: dict[str, Job]) -> None:
        """``jobs``: the dict of the shard, which updates it."""
        self.jobs = jobs
        self.barrier = Barrier({})  # machines that may still run inherited tasks
        self.fencing_token = 0

    def enter_view(self, fencing_token: int, machines: Mapping[str, MachineRecord]) -> None:
        """Start a new view, under which no recorded machine is reconciled yet."""
        self.fencing_token = fencing_token
        self.barrier = Barrier(machines)

    def on_machine_reconciled(self, machine: str) -> None:
        """The owner of the machine has reported all tasks on it, or proved that there are none."""
        if self.barrier.remove(machine):
            if not self.barrier:
                log.info("barrier state=lifted fencing_token=%d", self.fencing_token)
            self.release()

    def release(self) -> None:
        """Requeue the inherited tasks that no machine of the barrier may still run."""
        job_count, task_count = 0, 0
        for job in self.jobs.values():
            if job.inherited_tasks and not self.barrier.may_run_tasks_of(job.spec):
                job_count += 1
                task_count += len(job.inherited_tasks)
                job.requeue_inherited()
        if job_count:
            log.info(
                "barrier state=released fencing_token=%d jobs=%d tasks=%d machines=%d",
                self.fencing_token,
                job_count,
                task_count,
                len(self.barrier),
            )
