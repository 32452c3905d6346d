"""Usage of each team on one job shard, and the jobs whose records lag, kept with each change of a task's state."""

from __future__ import annotations

from typing import TYPE_CHECKING

from alderbridge.protocol.wire import JobSpec

if TYPE_CHECKING:
    from alderbridge.jobs.job import Job


class UsageTally:
    """CPUs and GPUs that each team's tasks on machines take, for the jobs of one shard.

    ``JobShard.used`` counts anew each second, so that sums of floats stay exact to far below a task.
    """

    def __init__(self) -> None:
        """No job is counted yet."""
        self.teams: dict[str, tuple[float, float]] = {}
        self.changed = False  # a job has changed since the last look at the records that are due
        self.lagging: dict[str, Job] = {}  # jobs whose records may have to be written

    def clear(self) -> None:
        """Forget all jobs."""
        self.teams = {}
        self.changed = False
        self.lagging.clear()

    def add(self, spec: JobSpec, tasks: int) -> None:
        """Count ``tasks`` more tasks of that job (fewer if negative)."""
        self.changed = True
        cpus, gpus = self.teams.get(spec.team, (0.0, 0.0))
        self.teams[spec.team] = (cpus + tasks * spec.cpus, gpus + tasks * spec.gpus)
