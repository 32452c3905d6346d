"""Submissions that are not stored yet. No I/O."""

from __future__ import annotations

import hashlib
import logging
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from alderbridge import constants
from alderbridge.controller.dependency_tracker import DependencyTracker
from alderbridge.controller.state import ControllerState
from alderbridge.jobs.job import Job
from alderbridge.jobs.record import JobState, Record
from alderbridge.jobs.shard import JobShard
from alderbridge.protocol import wire
from alderbridge.protocol.keys import dependency_list_keys
from alderbridge.state.replica import Replica

log = logging.getLogger("core")


def split_dependencies(record: Record, max_bytes: int) -> tuple[Record, dict[str, list[str]]]:
    """Move the dependencies out of the record into lists of at most ``max_bytes`` each, by key."""
    assert record.spec is not None and record.spec.dependencies is not None
    needs = sorted(record.spec.dependencies)
    names_per_list = max(1, (max_bytes - 2) // (max(map(len, needs)) + 3))
    count = -(-len(needs) // names_per_list)
    digest = f"{hashlib.blake2b(' '.join(needs).encode(), digest_size=8).hexdigest()}/{count}"
    lists = [needs[start : start + names_per_list] for start in range(0, len(needs), names_per_list)]
    spec = msgspec.structs.replace(record.spec, dependencies=None)
    return (
        msgspec.structs.replace(record, spec=spec, dependency_digest=digest),
        dict(zip(dependency_list_keys(spec.id, digest), lists, strict=True)),
    )


@dataclass(eq=False)
class Submission:
    """A submitted job whose record is not stored yet."""

    job: Job
    outcome: str = ""  # "accepted", "known", "refused" or "too long"; empty while undecided
    # Dependencies that do not fit into the record, by key: stored before the record.
    dependency_lists: dict[str, list[str]] = field(default_factory=dict)


class Submissions:
    """The undecided submissions, by job id."""

    def __init__(
        self,
        state: ControllerState,
        replica: Replica,
        job_shard: JobShard,
        dependencies: DependencyTracker,
        on_decided: Callable[[Submission], None],
    ) -> None:
        """``on_decided`` is called with each submission once its outcome is set."""
        self.state = state
        self.replica = replica
        self.job_shard = job_shard
        self.dependencies = dependencies
        self.on_decided = on_decided
        self.pending: dict[str, Submission] = {}
        self.has_new_submissions = False  # a submission has been added since the last write batch was built

    def submit(self, spec: wire.JobSpec, now: float, wall: float) -> Submission | None:
        """Queue a job for the store; None if its record is too long even with its dependencies in separate lists."""
        self.state.now, self.state.wall_offset_s = now, wall - now
        if spec.id in self.pending:
            return self.pending[spec.id]
        ended = self.replica.ended
        needs = [need for need in dict.fromkeys(spec.dependencies or ()) if ended.get(need) is not JobState.DONE]
        spec = msgspec.structs.replace(spec, dependencies=needs or None)
        record = Record(
            JobState.ACTIVE, self.state.me, wall, min(spec.tasks, constants.START_LIMIT_HEADROOM_TASKS), [], spec
        )
        lists: dict[str, list[str]] = {}
        max_record_bytes = self.job_shard.value_bytes - 64
        if needs and len(msgspec.json.encode(record)) > max_record_bytes:
            record, lists = split_dependencies(record, max_record_bytes)
        if len(msgspec.json.encode(record)) > max_record_bytes:
            return None
        submission = Submission(Job(record, 0, now, 0.0, never_started=True), dependency_lists=lists)
        self.pending[spec.id] = submission
        self.has_new_submissions = True
        return submission

    def refuse_all(self) -> None:
        """Refuse all pending submissions while the store is unavailable, so that users get a response and can retry."""
        for submission in list(self.pending.values()):
            self.decide(submission, "refused")

    def expire(self, now: float) -> None:
        """Refuse submissions older than ``SUBMISSION_TTL_S``: their users retry at other controllers.

        Stored here as well, a record would conflict with the retry's, which costs both controllers a transaction.
        """
        for submission in list(self.pending.values()):
            if now - submission.job.submitted_at > constants.SUBMISSION_TTL_S:
                self.decide(submission, "refused")

    def decide(self, submission: Submission, outcome: str) -> None:
        """Set the outcome, one of the values of ``Submission.outcome``."""
        spec = submission.job.spec
        log.info(
            "job=%s state=%s class=%s team=%s tasks=%d cpus=%g",
            spec.id,
            outcome,
            spec.job_class,
            spec.team,
            spec.tasks,
            spec.cpus,
        )
        submission.outcome = outcome
        self.pending.pop(submission.job.spec.id, None)
        self.adopt_late_record(spec.id)
        self.on_decided(submission)

    def drop_stored_lists(self, submission: Submission) -> None:
        """Skip the lists that an earlier attempt has stored: the value of a list key never changes."""
        for key in [key for key in submission.dependency_lists if key in self.replica.dependency_lists]:
            del submission.dependency_lists[key]

    def adopt_late_record(self, name: str) -> None:
        """Add a job that this controller owns and whose record was stored after its submission had been decided.

        The transaction got no response and was applied late: after the submission was refused, or while a retry found
        its record. Without this, an accepted job would not run until the next view. No task of it can have been
        granted, as it was in no job shard.
        """
        record, revision = self.replica.active_jobs.get(name, (None, 0))
        if (
            record is None
            or not self.state.is_member
            or revision <= self.state.membership.fencing_token
            or name in self.job_shard.jobs
            or name in self.pending
            or record.state is not JobState.ACTIVE
            or self.state.membership.job_owner(record.accepted_by) != self.state.me
        ):
            return
        job = Job(
            record, revision, self.state.now, max(0.0, self.state.wall() - record.submitted_at), never_started=True
        )
        self.job_shard.add(job)
        self.dependencies.apply(job)
        log.info("job=%s state=adopted cause=stored after its submission was given up", name)
