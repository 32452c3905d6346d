"""Remaining queue time of waiting jobs, by their objectives and by the jobs that depend on them. No I/O."""

from __future__ import annotations

from collections.abc import Sequence

from alderbridge.controller.state import ControllerState
from alderbridge.jobs.dependencies import Graph
from alderbridge.jobs.job import Job
from alderbridge.protocol import wire
from alderbridge.scheduling import queue_times
from alderbridge.settings import Objective, Tuning


class QueueTimes:
    """Queue times of jobs; owns the dependency graph, through which jobs inherit deadlines and ranks."""

    def __init__(self, state: ControllerState, tuning: Tuning, objectives: Sequence[Objective]) -> None:
        """``objectives``: the service-level objectives of the settings."""
        self.state = state
        self.tuning = tuning
        self.objectives = objectives
        deadline_multiples = [objective.times or 1.0 for objective in objectives if objective.kind == "deadline"]
        self.graph = Graph(self.run_time, deadline_multiples)

    def due_in(self, job: Job, now: float, guaranteed: bool) -> tuple[float, bool]:
        """Seconds until the job is due, and whether it is late, as ``queue_times.due_in`` defines them."""
        dependents_due = self.graph.dependents_due(job.spec.id)
        basis = (job.waiting_since, dependents_due, guaranteed)  # all may change while the job waits for capacity
        if job.queue_times is None or job.queue_times[0] != basis:
            job.queue_times = (
                basis,
                queue_times.queue_times(
                    job.spec,
                    self.tuning,
                    self.objectives,
                    guaranteed,
                    job.waiting_since - job.submitted_at,
                    [due_at - self.state.wall_offset_s - job.waiting_since for due_at in dependents_due],
                ),
            )
            # All objectives were missed before its calendar opened: the default maximum queue time applies, as renting
            # machines could not help.
            if job.opened_at and job.queue_times[1][-1][1] < 0:
                floor = queue_times.max_queue_time(job.spec, self.tuning)
                job.queue_times = basis, [(floor, floor)]
        return queue_times.due_in(now - job.waiting_since, job.queue_times[1])

    def rank(self, spec: wire.JobSpec) -> int:
        """The highest priority of the jobs that depend on it, if higher than its own; else -1."""
        dependents_rank = self.graph.dependents_rank(spec.id)
        return dependents_rank if dependents_rank >= 0 and dependents_rank > spec.rank else -1

    def run_time(self, spec: wire.JobSpec) -> float:
        """Expected run time in seconds of one of the job's tasks."""
        return queue_times.expected_run_time(spec, self.tuning)
