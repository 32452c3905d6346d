"""Derives a machine's image cache and its quarantine for task errors from the status of its tasks."""

from __future__ import annotations

import logging

from alderbridge import constants
from alderbridge.machines.capacity import MachineCapacity
from alderbridge.machines.context import JobLookups
from alderbridge.machines.machine import Machine

log = logging.getLogger("machines")


class TaskOutcomes:
    """Updates a machine's image cache and consecutive errors."""

    def __init__(self, jobs: JobLookups, capacity: MachineCapacity) -> None:
        """``capacity``: provides the machine types, which define the size of the image cache."""
        self.jobs = jobs
        self.capacity = capacity

    def record(self, machine: Machine, job: str, status: str, cause: str | None, now: float) -> None:
        """Record a task's new status; a machine has the image of a task that has started to run."""
        spec = self.jobs.spec_of(job)
        if spec is not None and (status in ("running", "saving") or cause == "done"):
            images = machine.images
            images[spec.image] = spec.image_gb
            images.move_to_end(spec.image)
            kind = self.capacity.types.get(machine.type)
            while kind and kind.cache_gb and len(images) > 1 and sum(images.values()) > kind.cache_gb:
                images.popitem(last=False)  # least recently used
        if cause == "done":
            machine.health.consecutive_error_jobs.clear()
        elif cause == "error":
            self._record_error(machine, job, now)

    @staticmethod
    def _record_error(machine: Machine, job: str, now: float) -> None:
        """Quarantine the machine after consecutive errors of more than one job: the machine is the likely cause."""
        health = machine.health
        health.consecutive_error_jobs.append(job)
        if (
            len(health.consecutive_error_jobs) >= constants.QUARANTINE_ERROR_COUNT
            and len(set(health.consecutive_error_jobs)) > 1
        ):
            health.quarantined_until = now + constants.QUARANTINE_DURATION_S
            health.consecutive_error_jobs.clear()
            log.info("machine=%s state=quarantined cause=errors in a row", machine.name)
