"""Applies the state of dependencies to this member's jobs: blocked, ready, or aborted in a cascade. No I/O."""

from __future__ import annotations

from alderbridge import constants
from alderbridge.controller.state import ControllerState
from alderbridge.jobs.job import Job
from alderbridge.jobs.record import JobState
from alderbridge.jobs.shard import JobShard
from alderbridge.protocol.keys import dependency_list_keys
from alderbridge.state.replica import Replica


class DependencyTracker:
    """Applies changes of the dependency graph to the job shard."""

    def __init__(self, state: ControllerState, replica: Replica, job_shard: JobShard) -> None:
        """The graph and the replica contain the jobs of all members, the shard only this member's."""
        self.state = state
        self.graph = replica.graph
        self.replica = replica
        self.job_shard = job_shard
        self.cascade_aborted_at: dict[str, float] = {}  # job -> when an aborted dependency was first seen here

    def apply(self, job: Job) -> None:
        """Block the job, unblock it and set the start of its queue time, or abort it."""
        name = job.spec.id
        if self.graph.waiting(name):
            job.block()
            if name in self.graph.cascade_aborted:
                job.abort(self.state.now, "a job before it is aborted")
            return
        ready_at = max(job.ready_at, self.graph.ready_at(name))
        job.unblock(
            min(self.state.now, ready_at - self.state.wall_offset_s) if ready_at else job.submitted_at, ready_at
        )

    def apply_graph_changes(self) -> None:
        """Update the jobs that the last changes of the graph made ready or aborted in a cascade."""
        graph = self.graph
        ready, graph.newly_ready = graph.newly_ready, []
        cascade_aborted, graph.newly_cascade_aborted = graph.newly_cascade_aborted, []
        for name in cascade_aborted:
            self.cascade_aborted_at[name] = self.state.now
        for name in ready + cascade_aborted:
            job = self.job_shard.jobs.get(name)
            if job is not None:
                self.apply(job)
        if len(self.cascade_aborted_at) > 2 * len(graph.cascade_aborted):
            self.cascade_aborted_at = {
                name: seen_at for name, seen_at in self.cascade_aborted_at.items() if name in graph.cascade_aborted
            }

    def dependencies_of(self, job: Job) -> list[str]:
        """The jobs that this job depends on, from its record and its dependency lists."""
        result = list(job.spec.dependencies or ())
        for key in dependency_list_keys(job.spec.id, job.dependency_digest):
            result += self.replica.dependency_lists.get(key, ())
        return result

    def is_cascade_aborted(self, job: str) -> bool:
        """Whether the job or one of its direct or indirect dependencies is aborted."""
        return self.replica.ended.get(job) is JobState.ABORTED or job in self.graph.cascade_aborted

    def is_cascade_abort_settled(self, job: str) -> bool:
        """Whether every member that may act has received the abort of the dependency, too.

        Members may act only while their view and records are at most one store lease TTL old. Reported before that time
        has passed, the abort could be contradicted by a job owner that has not received it.
        """
        seen_at = self.cascade_aborted_at.get(job)
        return (
            seen_at is not None
            and self.state.now - seen_at > self.state.membership.store_lease.ttl_s + constants.LEASE_EXPIRY_MARGIN_S
        )
