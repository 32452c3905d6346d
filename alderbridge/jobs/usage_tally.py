"""Usage of each team on one job shard and the jobs with outdated records, updated with each change of a task."""

from __future__ import annotations

from typing import TYPE_CHECKING

from alderbridge.protocol.wire import JobSpec

if TYPE_CHECKING:
    from alderbridge.jobs.job import Job


class UsageTally:
    """CPUs and GPUs that each team's tasks on machines use, for the jobs of one shard.

    ``QuotaUsage.used`` recounts once per leader round, so that floating-point errors do not accumulate.
    """

    def __init__(self) -> None:
        """Start with no jobs."""
        self.teams: dict[str, tuple[float, float]] = {}
        self.changed = False  # whether a job has changed since the last ``RecordWrites.due``
        self.lagging: dict[str, Job] = {}  # jobs whose stored records may be out of date

    def clear(self) -> None:
        """Remove all jobs."""
        self.teams = {}
        self.changed = False
        self.lagging.clear()

    def add(self, spec: JobSpec, tasks: int) -> None:
        """Add ``tasks`` tasks of that job; a negative number removes tasks."""
        self.changed = True
        cpus, gpus = self.teams.get(spec.team, (0.0, 0.0))
        self.teams[spec.team] = (cpus + tasks * spec.cpus, gpus + tasks * spec.gpus)
