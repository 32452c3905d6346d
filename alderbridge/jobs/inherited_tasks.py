"""Tasks that a job inherited from an earlier view, and the recovery barrier that they wait behind."""

from __future__ import annotations

import logging
from collections.abc import Mapping

from alderbridge.jobs.job import Job
from alderbridge.protocol.wire import MachineRecord
from alderbridge.reconciliation import Barrier

log = logging.getLogger("jobs")


class InheritedTasks:
    """Keeps inherited tasks from starting again while a machine that is not reconciled may still run them."""

    def __init__(self, jobs: dict[str, Job]) -> None:
        """``jobs``: of the shard, kept by it."""
        self.jobs = jobs
        self.barrier = Barrier({})  # machines that inherited tasks may still be on
        self.fencing_token = 0

    def enter(self, fencing_token: int, machines: Mapping[str, MachineRecord]) -> None:
        """A new view, under which no recorded machine is reconciled yet."""
        self.fencing_token = fencing_token
        self.barrier = Barrier(machines)

    def on_machine_reconciled(self, machine: str) -> None:
        """All that is on the machine is known."""
        if self.barrier.remove(machine):
            if not self.barrier:
                log.info("barrier state=lifted fencing_token=%d", self.fencing_token)
            self.release()

    def release(self) -> None:
        """Requeue the inherited tasks of jobs that no machine behind the barrier may hold."""
        for job in self.jobs.values():
            if job.unknown and not self.barrier.may_hold(job.spec):
                for index in list(job.unknown):
                    job.requeue(index)
