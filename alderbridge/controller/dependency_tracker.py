"""What the dependencies of this member's jobs mean for them: blocked, ready, or aborted in a cascade. Pure."""

from __future__ import annotations

from alderbridge import constants
from alderbridge.controller.state import ControllerState
from alderbridge.jobs.job import Job
from alderbridge.jobs.record import JobState
from alderbridge.jobs.shard import JobShard
from alderbridge.protocol.keys import list_keys
from alderbridge.state.replica import Replica


class DependencyTracker:
    """Applies the facts of the dependency graph to the job shard."""

    def __init__(self, state: ControllerState, replica: Replica, job_shard: JobShard) -> None:
        """The graph and the replica hold all jobs, the shard this member's."""
        self.state = state
        self.graph = replica.graph
        self.replica = replica
        self.job_shard = job_shard
        self.cascade_aborted_at: dict[str, float] = {}  # job -> since when a job before it is known here to be aborted

    def apply(self, job: Job) -> None:
        """Block the job, unblock it with the time from which its queue time counts, or abort it."""
        name = job.spec.id
        if self.graph.waiting(name):
            job.block()
            if name in self.graph.cascade_aborted:
                job.abort(self.state.now, "a job before it is aborted")
            return
        ready_at = max(job.ready_at, self.graph.ready_at(name))
        job.unblock(min(self.state.now, ready_at - self.state.wall_offset_s) if ready_at else job.submitted, ready_at)

    def process_events(self) -> None:
        """Facts of the store have arrived: apply them to the jobs that are ready now, or aborted in a cascade."""
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
                name: at for name, at in self.cascade_aborted_at.items() if name in graph.cascade_aborted
            }

    def needs_of(self, job: Job) -> list[str]:
        """The jobs that it depends on, from its record and the lists beside it."""
        result = list(job.spec.needs or ())
        for key in list_keys(job.spec.id, job.dependency_digest):
            result += self.replica.lists.get(key, ())
        return result

    def is_cascade_aborted(self, job: str) -> bool:
        """Whether the job is aborted, or a job before it is."""
        return self.replica.ended.get(job) is JobState.ABORTED or job in self.graph.cascade_aborted

    def cascade_abort_is_settled(self, job: str) -> bool:
        """Whether every member that still acts knows, too, that a job before this one is aborted.

        Members act only on a view and records that are fresh to within the ttl. Given any sooner,
        the answer could be taken back by an owner that has yet to hear of it.
        """
        at = self.cascade_aborted_at.get(job)
        return (
            at is not None and self.state.now - at > self.state.membership.store_lease.ttl_s + constants.PROOF_MARGIN_S
        )
