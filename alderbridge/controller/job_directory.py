"""What this controller knows of any job: its own, and those that the store's replica shows. Pure."""

from __future__ import annotations

from alderbridge.jobs.record import JobState
from alderbridge.jobs.shard import JobShard
from alderbridge.membership.membership import Membership
from alderbridge.protocol import wire
from alderbridge.state.replica import Replica


class JobDirectory:
    """Looks jobs up in the job shard, then in the replica."""

    def __init__(self, membership: Membership, replica: Replica, job_shard: JobShard) -> None:
        """``membership`` tells which member owns the jobs that a label has accepted."""
        self.me = membership.me
        self.membership = membership
        self.replica = replica
        self.job_shard = job_shard

    def spec_of(self, job: str) -> wire.JobSpec | None:
        """The job's spec; None where it is not known, or over."""
        known = self.job_shard.jobs.get(job)
        if known is not None:
            return known.spec
        stored = self.replica.active.get(job)
        return stored[0].spec if stored is not None else None

    def cancelled(self, job: str) -> bool:
        """Whether the store says that it is aborted, as far as it has been read here: never taken back."""
        return self.replica.ended.get(job) is JobState.ABORTED

    def job_owner(self, job: str) -> str:
        """The label of the member that owns the job; empty where no active job is known."""
        if job in self.job_shard.jobs:
            return self.me
        label = self.replica.accepted_by(job)
        return self.membership.job_owner(label) if label else ""

    def knows_job(self, job: str) -> bool:
        """Whether the job is known here, active or ended."""
        replica = self.replica
        return (
            job in replica.ended
            or job in replica.active
            or job in self.job_shard.jobs
            or job in replica.unreadable_jobs
        )
