"""The users' API: status, submission and cancellation of jobs.

Nothing told to one user may be taken back for another, at whichever controller they ask: an accepted job is never
called unknown, and an end is followed by nothing older. ``docs/design-meetings.md`` lists how that could come about.
"""

from __future__ import annotations

import functools
import logging
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import curio

from alderbridge import constants
from alderbridge.controller import admission, job_queries, responses
from alderbridge.controller.admission import Admission
from alderbridge.controller.core import ControllerCore
from alderbridge.controller.job_queries import JobQueries
from alderbridge.controller.job_records import JobRecordReader, StoreUnreachableError, UnreadableJobError
from alderbridge.controller.responses import Handled, Responder, Response
from alderbridge.controller.unanswered_jobs import UnansweredJobs
from alderbridge.controller.waiters import Waiters
from alderbridge.jobs.record import JobState
from alderbridge.protocol import wire

log = logging.getLogger("controller")
now = time.monotonic

TOO_LONG = "the job's description is too long"


@dataclass(frozen=True)
class UsersApi:
    """The handlers of the paths below ``/v1/jobs``."""

    status: StatusHandler
    submissions: SubmissionHandler
    cancellations: CancellationHandler


class StatusHandler:
    """Tells the status of a job: from memory, else from its owner, else from the store."""

    def __init__(
        self,
        core: ControllerCore,
        records: JobRecordReader,
        queries: JobQueries,
        unanswered: UnansweredJobs,
    ) -> None:
        """``records``, ``queries``: asked where ``core`` does not know a job; ``unanswered``: told of each outcome."""
        self.core = core
        self.records = records
        self.queries = queries
        self.unanswered = unanswered

    def poll_status(self, job: str, reply: Responder) -> Handled:
        """``status`` without a task where memory has the answer, here or at the job's owner."""
        known = self._status_in_memory(job)
        if known is not None:
            return known
        owner = self._other_owner(job)
        if not owner:
            return self.status_from_store(job)
        self.queries.poll(owner, job, functools.partial(self._finish_poll, job, reply))
        return None

    async def status(self, job: str) -> Response:
        """The job's status for a user; 404 only where the store has no such job, 503 where nobody can tell."""
        known = self._status_in_memory(job)
        if known is not None:
            return known
        owner = self._other_owner(job)
        response = await self.queries.query(owner, job_queries.STATUS, job) if owner else None
        return self.finalize_status(job, response) if response is not None else await self.status_from_store(job)

    async def status_from_store(self, job: str) -> Response:
        """The status according to the job's record."""
        return self.finalize_status(job, await self._read_status(job))

    def finalize_status(self, job: str, response: Response) -> Response:
        """What a user is told of a job, after its owner or the store has answered.

        That may have taken seconds. If the job's end has arrived here meanwhile, the same user may have been told so
        already: an end is followed by nothing older.
        """
        ended = self.core.replica.ended.get(job)
        if ended is not None:
            response = responses.ok(wire.job_status_body(job, ended.value, 0, 0))
        if response.status == 503:
            self.unanswered.record_no_answer(job)
        else:
            self.unanswered.record_answer(job)
        return response

    def _status_in_memory(self, job: str) -> Response | None:
        if not wire.JOB_ID.match(job):
            return responses.error(404, responses.NO_SUCH_JOB)
        state = self.core.local_jobs.local_job_state(job, now())
        if state is None:
            return None
        return self.finalize_status(job, responses.ok(wire.job_status_body(job, *state)))

    def _other_owner(self, job: str) -> str:
        """The job's owner, empty where that is not known, or is this controller."""
        owner = self.core.directory.job_owner(job)
        return owner if owner != self.core.me else ""

    async def _finish_poll(self, job: str, reply: Responder, response: Response | None) -> None:
        if response is not None:
            reply(self.finalize_status(job, response))
        else:
            await curio.spawn(self._reply_from_store, job, reply, daemon=True)

    async def _reply_from_store(self, job: str, reply: Responder) -> None:
        try:
            reply(await self.status_from_store(job))
        except Exception:
            log.exception("status job=%s state=failed", job)
            reply(responses.error(500, "internal"))

    async def _read_status(self, job: str) -> Response:
        try:
            stored = await self.records.read(job)
        except UnreadableJobError:
            return responses.unavailable(responses.UNREADABLE)
        except StoreUnreachableError:
            return responses.unavailable(responses.STORE_UNREACHABLE)
        if stored is None:
            if self.core.directory.knows_job(job):  # read before it was stored, and its user may have been told since
                return responses.unavailable("stored a moment ago")
            return responses.error(404, responses.NO_SUCH_JOB)
        record = stored.record
        if record.state is not JobState.ACTIVE:
            return responses.ok(wire.job_status_body(job, record.state.value, 0, 0))
        has_dependencies = record.spec is not None and (record.spec.needs or record.dependency_digest)
        if has_dependencies and not self.core.local_jobs.is_certainly_pending(job, now()):
            # A job before it may be aborted, and with it this one, and others may have told so.
            return responses.unavailable("not known here yet")
        return responses.ok(wire.job_status_body(job, "pending", sum(end - begin for begin, end in record.done), 0))


class SubmissionHandler:
    """Accepts jobs: 201 once the store has one; a repeated submission gets the job's status."""

    def __init__(
        self,
        core: ControllerCore,
        records: JobRecordReader,
        status: StatusHandler,
        waiters: Waiters,
        dispatch_effects: Callable[[], Awaitable[None]],
    ) -> None:
        """``status``: answers for jobs that exist; ``waiters``: wake a request once its record is stored."""
        self.core = core
        self.records = records
        self.status = status
        self.waiters = waiters
        self.dispatch_effects = dispatch_effects

    async def submit(self, body: bytes) -> Response:
        """Validate the submission, decide on it, store its job, and answer."""
        try:
            spec = wire.parse_job(body)
        except wire.MalformedBodyError as error:
            return await self._refuse_malformed(body, str(error))
        decision = admission.decide(self.core, spec, now(), self.records.store_backoff.is_active())
        if decision.admission is Admission.ALREADY_KNOWN:
            return await self.answer_resubmission(spec.id)
        if decision.admission is Admission.UNAVAILABLE:
            return responses.unavailable(decision.reason)
        if decision.admission is Admission.REJECTED:
            return await self.refuse_unless_accepted(spec.id, decision.reason)
        refusal = await self._check_dependencies(spec) if spec.needs else None
        if refusal is not None:
            return refusal
        return await self._store(spec)

    async def refuse_unless_accepted(self, job: str, reason: str, status: int = 422) -> Response:
        """Refuse a job, but never one that is known: the store is asked before."""
        known = await self.status.status(job)
        return responses.error(status, reason) if known.status == 404 else known

    async def answer_resubmission(self, job: str) -> Response:
        """The response to a repeated submission of a job that was stored: its status, and never 404."""
        known = await self.status.status(job)
        if known.status == 404:
            return Response(503, known.body, responses.RETRY_LATER)
        return known

    async def _refuse_malformed(self, body: bytes, reason: str) -> Response:
        """Whatever has become of the body of a retry: an accepted job is never refused, here or elsewhere."""
        job = wire.job_id_in(body)
        return await self.refuse_unless_accepted(job, reason, 400) if job else responses.error(400, reason)

    async def _check_dependencies(self, spec: wire.JobSpec) -> Response | None:
        """The response where what the job depends on is not all accepted, or that can't be told."""
        if not self.core.membership.all_support(constants.VERSION_WITH_DEPENDENCIES):
            return responses.unavailable("a controller still runs a version that knows of no dependencies")
        for dependency in spec.needs or ():
            if dependency == spec.id:
                return await self.refuse_unless_accepted(spec.id, f"waits_on: {dependency} is this job")
            if self.core.directory.knows_job(dependency):
                continue
            # Another controller may have accepted it a moment ago: only the store can tell.
            try:
                stored = await self.records.read(dependency)
            except UnreadableJobError:
                return responses.unavailable(f"waits_on: {dependency}: {responses.UNREADABLE}")
            except StoreUnreachableError:
                return responses.unavailable(responses.STORE_UNREACHABLE)
            if stored is None:
                return await self.refuse_unless_accepted(spec.id, f"waits_on: {dependency} was never accepted")
            self.core.store_follower.observe_end(dependency, stored.record, stored.revision)
        return None

    async def _store(self, spec: wire.JobSpec) -> Response:
        """Have the job stored, and answer for what has become of that."""
        submission = self.core.submissions.submit(spec, now(), time.time())
        if submission is None:
            return await self.refuse_unless_accepted(spec.id, TOO_LONG, 400)
        await self.dispatch_effects()
        if not submission.outcome and not await self.waiters.wait_for(submission, constants.SUBMIT_WAIT_S):
            return responses.unavailable(responses.STORE_SLOW)
        if submission.outcome == "refused":
            return responses.unavailable(responses.STORE_UNREACHABLE)
        if submission.outcome == "too long":
            return await self.refuse_unless_accepted(spec.id, TOO_LONG, 400)
        if submission.outcome == "accepted":
            ended = self.core.replica.ended.get(spec.id)
            return Response(201, wire.accepted_body(spec.id, "pending" if ended is None else ended.value), [])
        return await self.answer_resubmission(spec.id)


class CancellationHandler:
    """Cancels jobs: 200 once the store has the job's end, whichever that is."""

    def __init__(
        self,
        core: ControllerCore,
        queries: JobQueries,
        status: StatusHandler,
        waiters: Waiters,
        dispatch_effects: Callable[[], Awaitable[None]],
    ) -> None:
        """``queries``: cancel at the owner; ``waiters``: wake a request once the end is stored."""
        self.core = core
        self.queries = queries
        self.status = status
        self.waiters = waiters
        self.dispatch_effects = dispatch_effects

    async def cancel(self, job: str) -> Response:
        """Cancel the job, here or at its owner."""
        if not wire.JOB_ID.match(job):
            return responses.error(404, responses.NO_SUCH_JOB)
        owner = self.core.directory.job_owner(job)
        if owner == self.core.me or job in self.core.replica.ended:
            return await self.cancel_here(job)
        if owner:
            response = await self.queries.query(owner, job_queries.CANCEL, job)
            return response or responses.unavailable("the job's controller is out of reach")
        stored = await self.status.status_from_store(job)
        return stored if stored.status != 200 else responses.unavailable("not known here yet")

    async def cancel_here(self, job: str) -> Response:
        """Cancel a job of this controller's shard, and wait until the store has its end."""
        state = self.core.local_jobs.cancel(job, now())
        if state is None:
            return responses.unavailable("not entitled")
        if not state:
            await self.dispatch_effects()
            if not await self.waiters.wait_for(job, constants.SUBMIT_WAIT_S):
                return responses.unavailable(responses.STORE_SLOW)
            state = self.core.replica.ended[job].value
        return responses.ok(wire.accepted_body(job, state))
