"""Status of jobs from memory, and cancellation of this shard's jobs. No I/O."""

from __future__ import annotations

from alderbridge.controller.dependency_tracker import DependencyTracker
from alderbridge.controller.job_directory import JobDirectory
from alderbridge.controller.state import ControllerState
from alderbridge.jobs.record import JobState
from alderbridge.jobs.shard import JobShard
from alderbridge.state.replica import Replica


class LocalJobs:
    """Returns only states that no other member can contradict: stored ones, or those of a job that this member owns."""

    def __init__(
        self,
        state: ControllerState,
        replica: Replica,
        job_shard: JobShard,
        directory: JobDirectory,
        dependencies: DependencyTracker,
    ) -> None:
        """Jobs that are not in ``job_shard`` are looked up in ``replica``."""
        self.state = state
        self.replica = replica
        self.job_shard = job_shard
        self.directory = directory
        self.dependencies = dependencies
        self.graph = replica.graph

    def local_job_state(self, job: str, now: float) -> tuple[str, int, int] | None:
        """State, finished and running tasks of a job; None unless its end is stored or this member owns it."""
        self.state.now = now
        ended = self.replica.ended.get(job)
        if ended is not None:
            return ended.value, 0, 0
        if job in self.graph.cascade_aborted:
            return (JobState.ABORTED.value, 0, 0) if self.dependencies.is_cascade_abort_settled(job) else None
        local_job = self.job_shard.jobs.get(job)
        if local_job is None or not self.state.may_act():
            return None
        if local_job.stored_state is not JobState.ACTIVE:
            return local_job.stored_state.value, local_job.done.count, 0
        if local_job.state is not JobState.ACTIVE:
            # The write of its end may have been applied without a response to this member, and other members may have
            # reported the end.
            return None
        running = local_job.running
        return "running" if running else "pending", local_job.done.count, running

    def is_certainly_pending(self, job: str, now: float) -> bool:
        """Whether a job whose record was active when just read from the store may be reported as pending."""
        self.state.now = now
        spec = self.directory.spec_of(job)
        return spec is not None and job not in self.graph.cascade_aborted and self.state.may_act()

    def cancel(self, job: str, now: float) -> str | None:
        """Cancel a job: its stored state, "" while its end is being written, None if this member may not act on it."""
        self.state.now = now
        if job in self.replica.ended:
            return self.replica.ended[job].value
        local_job = self.job_shard.jobs.get(job)
        if local_job is None or not self.state.may_act():
            return None
        if local_job.stored_state is JobState.ACTIVE:
            local_job.abort(now)
            local_job.end_awaited = True
            return ""
        state: JobState = local_job.stored_state
        return state.value
