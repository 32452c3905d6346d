"""Jobs on their way into the store. Pure."""

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
from alderbridge.protocol.keys import list_keys
from alderbridge.state.replica import Replica

log = logging.getLogger("core")


def split_dependencies(record: Record, room: int) -> tuple[Record, dict[str, list[str]]]:
    """The record without its dependencies, and these as lists that take ``room`` bytes each, by key."""
    assert record.spec is not None and record.spec.needs is not None
    needs = sorted(record.spec.needs)
    names_per_list = max(1, (room - 2) // (max(map(len, needs)) + 3))
    count = -(-len(needs) // names_per_list)
    digest = f"{hashlib.blake2b(' '.join(needs).encode(), digest_size=8).hexdigest()}/{count}"
    parts = [needs[at : at + names_per_list] for at in range(0, len(needs), names_per_list)]
    spec = msgspec.structs.replace(record.spec, needs=None)
    return (
        msgspec.structs.replace(record, spec=spec, dependency_digest=digest),
        dict(zip(list_keys(spec.id, digest), parts, strict=True)),
    )


@dataclass(eq=False)
class Submission:
    """A job on its way into the store."""

    job: Job
    outcome: str = ""  # "accepted", "known", "refused" or "too long"; empty: not decided
    lists: dict[str, list[str]] = field(default_factory=dict)  # what has no room in its record, to be stored before it


class Submissions:
    """The submissions that are not decided, by job."""

    def __init__(
        self,
        state: ControllerState,
        replica: Replica,
        job_shard: JobShard,
        dependencies: DependencyTracker,
        on_decided: Callable[[Submission], None],
    ) -> None:
        """``on_decided`` is called with each submission whose outcome is known."""
        self.state = state
        self.replica = replica
        self.job_shard = job_shard
        self.dependencies = dependencies
        self.on_decided = on_decided
        self.pending: dict[str, Submission] = {}
        self.has_new = False  # one has come since the last look for what to write

    def submit(self, spec: wire.JobSpec, now: float, wall: float) -> Submission | None:
        """Queue a job for the store; None where its record would not fit, whatever is put beside it."""
        self.state.now, self.state.wall_offset_s = now, wall - now
        if spec.id in self.pending:
            return self.pending[spec.id]
        ended = self.replica.ended
        needs = [need for need in dict.fromkeys(spec.needs or ()) if ended.get(need) is not JobState.DONE]
        spec = msgspec.structs.replace(spec, needs=needs or None)
        record = Record(JobState.ACTIVE, self.state.me, wall, min(spec.tasks, constants.START_LIMIT_AHEAD), [], spec)
        lists: dict[str, list[str]] = {}
        room = self.job_shard.value_bytes - 64
        if needs and len(msgspec.json.encode(record)) > room:
            record, lists = split_dependencies(record, room)
        if len(msgspec.json.encode(record)) > room:
            return None
        submission = Submission(Job(record, 0, now, 0.0, never_started=True), lists=lists)
        self.pending[spec.id] = submission
        self.has_new = True
        return submission

    def refuse_all(self) -> None:
        """The store carries nothing out: users are answered at once, and ask again later."""
        for submission in list(self.pending.values()):
            self.decide(submission, "refused")

    def expire(self, now: float) -> None:
        """Refuse what has waited for so long that its user tries elsewhere.

        Stored here later, it would be met there as a conflict, which costs both controllers their transactions.
        """
        for submission in list(self.pending.values()):
            if now - submission.job.submitted > constants.SUBMISSION_TTL_S:
                self.decide(submission, "refused")

    def decide(self, submission: Submission, outcome: str) -> None:
        """Set the outcome, as ``Submission.outcome`` has it."""
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

    def drop_known_lists(self, submission: Submission) -> None:
        """An earlier try, here or elsewhere, may have stored some: what is under a key never changes."""
        for key in [key for key in submission.lists if key in self.replica.lists]:
            del submission.lists[key]

    def adopt_late_record(self, name: str) -> None:
        """A job that this process stored under this view and does not serve: its submission was given up meanwhile.

        Its transaction had no answer and was carried out late, after a refusal had ended the submission, or another
        try of the user's met its record. It was called accepted then, and nothing ran until the next view.
        Nothing of it was granted, as it was in no job shard.
        """
        record, revision = self.replica.active.get(name, (None, 0))
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
        job = Job(record, revision, self.state.now, max(0.0, self.state.wall() - record.at), never_started=True)
        self.job_shard.add(job)
        self.dependencies.apply(job)
        log.info("job=%s state=adopted cause=stored after its submission was given up", name)
