"""What the outcomes of tasks say of their machine: which images it has cached, and whether it is to be quarantined."""

from __future__ import annotations

import logging

from alderbridge import constants
from alderbridge.machines.capacity import MachineCapacity
from alderbridge.machines.context import JobLookups
from alderbridge.machines.machine import Machine

log = logging.getLogger("machines")


class TaskOutcomes:
    """Keeps a machine's image cache and its errors in a row up to date."""

    def __init__(self, jobs: JobLookups, capacity: MachineCapacity) -> None:
        """``capacity``: knows the types, and so the size of a machine's image cache."""
        self.jobs = jobs
        self.capacity = capacity

    def record(self, machine: Machine, job: str, status: str, cause: str | None, now: float) -> None:
        """A task of the job has this status now; from when it runs, the machine has its image."""
        spec = self.jobs.spec_of(job)
        if spec is not None and (status in ("running", "saving") or cause == "done"):
            images = machine.images
            images[spec.image] = spec.image_gb
            images.move_to_end(spec.image)
            kind = self.capacity.types.get(machine.type)
            while kind and kind.cache_gb and len(images) > 1 and sum(images.values()) > kind.cache_gb:
                images.popitem(last=False)  # the least recently used
        if cause == "done":
            machine.health.error_jobs.clear()
        elif cause == "error":
            self._record_error(machine, job, now)

    @staticmethod
    def _record_error(machine: Machine, job: str, now: float) -> None:
        """Errors in a row of several jobs are the machine's fault: it is quarantined."""
        health = machine.health
        health.error_jobs.append(job)
        if len(health.error_jobs) >= constants.QUARANTINE_ERRORS and len(set(health.error_jobs)) > 1:
            health.quarantined_until = now + constants.QUARANTINE_S
            health.error_jobs.clear()
            log.info("machine=%s state=quarantined cause=errors in a row", machine.name)
