"""What the dependencies of this member's jobs mean for them: blocked, ready, or aborted in a cascade. Pure."""

from __future__ import annotations

from alderbridge import constants
from alderbridge.controller.state import ControllerState
from alderbridge.jobs.dependencies import Graph
from alderbridge.jobs.shard import Job, JobShard, JobState
from alderbridge.state.replica import Replica, list_keys


class DependencyTracker:
    """Applies the facts of the dependency graph to the job shard."""

    def __init__(self, state: ControllerState, graph: Graph, replica: Replica, job_shard: JobShard) -> None:
        """The graph and the replica hold all jobs, the shard this member's."""
        self.state = state
        self.graph = graph
        self.replica = replica
        self.job_shard = job_shard
        self.doomed_at: dict[str, float] = {}  # job -> since when a job before it is known here to be aborted

    def apply(self, job: Job) -> None:
        """Whether the job waits, from when its times count, or whether it is doomed."""
        name = job.spec.id
        if self.graph.waiting(name):
            job.block()
            if name in self.graph.doomed:
                job.abort(self.state.now, "a job before it is aborted")
            return
        ready_at = max(job.ready_at, self.graph.ready_at(name))
        job.unblock(min(self.state.now, ready_at - self.state.wall_offset_s) if ready_at else job.submitted, ready_at)

    def process_events(self) -> None:
        """Facts of the store have arrived: who is ready now, who is doomed."""
        graph = self.graph
        ready, graph.fresh_ready = graph.fresh_ready, []
        doomed, graph.fresh_doomed = graph.fresh_doomed, []
        for name in doomed:
            self.doomed_at[name] = self.state.now
        for name in ready + doomed:
            job = self.job_shard.jobs.get(name)
            if job is not None:
                self.apply(job)
        if len(self.doomed_at) > 2 * len(graph.doomed):
            self.doomed_at = {name: at for name, at in self.doomed_at.items() if name in graph.doomed}

    def needs_of(self, job: Job) -> list[str]:
        result = list(job.spec.needs or ())
        for key in list_keys(job.spec.id, job.dependency_digest):
            result += self.replica.lists.get(key, ())
        return result

    def is_cascade_aborted(self, job: str) -> bool:
        return self.replica.ended.get(job) is JobState.ABORTED or job in self.graph.doomed

    def cascade_abort_is_settled(self, job: str) -> bool:
        """Whether every member that still acts knows, too, that a job before this one is aborted.

        Members act only on a view and records that are fresh to within the ttl. Told any sooner,
        the answer could be taken back by a home that has yet to hear of it.
        """
        at = self.doomed_at.get(job)
        return (
            at is not None and self.state.now - at > self.state.membership.store_lease.ttl_s + constants.PROOF_MARGIN_S
        )
