"""Look-up of jobs: those of this controller's shard and those in the replica. No I/O."""

from __future__ import annotations

from alderbridge.jobs.record import JobState
from alderbridge.jobs.shard import JobShard
from alderbridge.membership.membership import Membership
from alderbridge.protocol import wire
from alderbridge.state.replica import Replica


class JobDirectory:
    """Looks up jobs in the job shard, then in the replica."""

    def __init__(self, membership: Membership, replica: Replica, job_shard: JobShard) -> None:
        """``membership``: maps the label that accepted a job to the job's owner."""
        self.me = membership.me
        self.membership = membership
        self.replica = replica
        self.job_shard = job_shard

    def spec_of(self, job: str) -> wire.JobSpec | None:
        """The job's spec; None if the job is unknown here or has ended."""
        local_job = self.job_shard.jobs.get(job)
        if local_job is not None:
            return local_job.spec
        stored = self.replica.active_jobs.get(job)
        return stored[0].spec if stored is not None else None

    def is_aborted(self, job: str) -> bool:
        """Whether the replica has the job as aborted, which is final."""
        return self.replica.ended.get(job) is JobState.ABORTED

    def job_owner(self, job: str) -> str:
        """The label of the member that owns the job; empty if no active job with this id is known here."""
        if job in self.job_shard.jobs:
            return self.me
        label = self.replica.accepted_by(job)
        return self.membership.job_owner(label) if label else ""

    def knows_job(self, job: str) -> bool:
        """Whether the job is in the job shard or the replica: active, ended or with an unreadable record."""
        replica = self.replica
        return (
            job in replica.ended
            or job in replica.active_jobs
            or job in self.job_shard.jobs
            or job in replica.unreadable_jobs
        )
