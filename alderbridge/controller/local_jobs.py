"""Answers to users about a job from memory, and cancellation. Pure."""

from __future__ import annotations

from alderbridge.controller.dependency_tracker import DependencyTracker
from alderbridge.controller.job_directory import JobDirectory
from alderbridge.controller.state import ControllerState
from alderbridge.jobs.record import JobState
from alderbridge.jobs.shard import JobShard
from alderbridge.state.replica import Replica


class LocalJobs:
    """Answers that no member can contradict: a state given here is in the store, or changes only onwards."""

    def __init__(
        self,
        state: ControllerState,
        replica: Replica,
        job_shard: JobShard,
        directory: JobDirectory,
        dependencies: DependencyTracker,
    ) -> None:
        """All but the job shard's jobs is looked up in the replica."""
        self.state = state
        self.replica = replica
        self.job_shard = job_shard
        self.directory = directory
        self.dependencies = dependencies
        self.graph = replica.graph

    def local_job_state(self, job: str, now: float) -> tuple[str, int, int] | None:
        """State, finished and running tasks from memory: of an end that the store holds, or of this shard's own job."""
        self.state.now = now
        ended = self.replica.ended.get(job)
        if ended is not None:
            return ended.value, 0, 0
        if job in self.graph.cascade_aborted:
            return (JobState.ABORTED.value, 0, 0) if self.dependencies.cascade_abort_is_settled(job) else None
        mine = self.job_shard.jobs.get(job)
        if mine is None or not self.state.may_act():
            return None
        if mine.stored_state is not JobState.ACTIVE:
            return mine.stored_state.value, mine.done.count, 0
        if mine.state is not JobState.ACTIVE:
            # Its end may be in the store without an answer to this member, and others may have told the user.
            return None
        running = mine.running
        return "running" if running else "pending", mine.done.count, running

    def is_certainly_pending(self, job: str, now: float) -> bool:
        """Whether a job whose record was active in the store when it was read a moment ago may be called pending."""
        self.state.now = now
        spec = self.directory.spec_of(job)
        return spec is not None and job not in self.graph.cascade_aborted and self.state.may_act()

    def cancel(self, job: str, now: float) -> str | None:
        """The job's stored state, "" while its end is being written, None where this member does not own it."""
        self.state.now = now
        if job in self.replica.ended:
            return self.replica.ended[job].value
        mine = self.job_shard.jobs.get(job)
        if mine is None or not self.state.may_act():
            return None
        if mine.stored_state is JobState.ACTIVE:
            mine.abort(now)
            mine.end_awaited = True
            return ""
        state: JobState = mine.stored_state
        return state.value
