"""The users' API: status, submission and cancellation of jobs.

Responses are monotonic across all controllers: once a user got a response that a job is accepted, no response says that
it does not exist, and once a final state was returned, no response shows an earlier one.
``docs/design-meetings.md`` lists the races that could violate this.
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
    """Returns the status of a job from memory, else from its owner, else from the store."""

    def __init__(
        self,
        core: ControllerCore,
        records: JobRecordReader,
        queries: JobQueries,
        unanswered: UnansweredJobs,
    ) -> None:
        """``records``, ``queries``: used if memory has no answer; ``unanswered``: records whether users got one."""
        self.core = core
        self.records = records
        self.queries = queries
        self.unanswered = unanswered

    def poll_status(self, job: str, reply: Responder) -> Handled:
        """Like ``status``, but spawns a task only if the store must be read."""
        cached = self._status_in_memory(job)
        if cached is not None:
            return cached
        owner = self._other_owner(job)
        if not owner:
            return self.status_from_store(job)
        self.queries.poll(owner, job, functools.partial(self._finish_poll, job, reply))
        return None

    async def status(self, job: str) -> Response:
        """The job's status for a user; 404 only if the store has no such job, 503 if that cannot be determined."""
        cached = self._status_in_memory(job)
        if cached is not None:
            return cached
        owner = self._other_owner(job)
        response = await self.queries.query(owner, job_queries.STATUS, job) if owner else None
        return self.finalize_status(job, response) if response is not None else await self.status_from_store(job)

    async def status_from_store(self, job: str) -> Response:
        """The status according to the job's stored record."""
        return self.finalize_status(job, await self._read_status(job))

    def finalize_status(self, job: str, response: Response) -> Response:
        """Replace a response by the job's final state if the replica has it, and record whether there was an answer.

        The owner or the store may have taken seconds to respond. If the replica has received the job's end meanwhile, a
        user may already have received it, so an earlier state must not be returned.
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
        """The label of the job's owner; empty if it is unknown or is this controller."""
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
            if self.core.directory.knows_job(job):  # stored after the read; its user may have got 201 since
                return responses.unavailable("the job was stored during the request")
            return responses.error(404, responses.NO_SUCH_JOB)
        record = stored.record
        if record.state is not JobState.ACTIVE:
            return responses.ok(wire.job_status_body(job, record.state.value, 0, 0))
        has_dependencies = record.spec is not None and (record.spec.dependencies or record.dependency_digest)
        if has_dependencies and not self.core.local_jobs.is_certainly_pending(job, now()):
            # A dependency may be aborted, which aborts this job, and another controller may have reported that.
            return responses.unavailable("the state of the job's dependencies cannot be determined here yet")
        return responses.ok(wire.job_status_body(job, "pending", record.done_count, 0))


class SubmissionHandler:
    """Accepts jobs: 201 once the job is stored; a repeated submission gets the job's status."""

    def __init__(
        self,
        core: ControllerCore,
        records: JobRecordReader,
        status: StatusHandler,
        waiters: Waiters,
        dispatch_effects: Callable[[], Awaitable[None]],
    ) -> None:
        """``status``: responds for jobs that exist; ``waiters``: wake a request once its submission is decided."""
        self.core = core
        self.records = records
        self.status = status
        self.waiters = waiters
        self.dispatch_effects = dispatch_effects

    async def submit(self, body: bytes) -> Response:
        """Validate the submission, check its admission, store the job and respond."""
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
        refusal = await self._check_dependencies(spec) if spec.dependencies else None
        if refusal is not None:
            return refusal
        return await self._store(spec)

    async def refuse_unless_accepted(self, job: str, reason: str, status: int = 422) -> Response:
        """Refuse a job only if its status is 404; otherwise return the status, so that no accepted job is refused."""
        current = await self.status.status(job)
        return responses.error(status, reason) if current.status == 404 else current

    async def answer_resubmission(self, job: str) -> Response:
        """The response to a repeated submission of a recorded job: its status, with 503 in place of 404."""
        current = await self.status.status(job)
        if current.status == 404:
            return Response(503, current.body, responses.RETRY_LATER)
        return current

    async def _refuse_malformed(self, body: bytes, reason: str) -> Response:
        """Refuse a malformed body; if it names a job that was accepted, return that job's status instead."""
        job = wire.job_id_in(body)
        return await self.refuse_unless_accepted(job, reason, 400) if job else responses.error(400, reason)

    async def _check_dependencies(self, spec: wire.JobSpec) -> Response | None:
        """The error response if a dependency was not accepted or cannot be checked; None if all were accepted."""
        if not self.core.membership.all_support(constants.VERSION_WITH_DEPENDENCIES):
            return responses.unavailable("a controller still runs a version without support for dependencies")
        for dependency in spec.dependencies or ():
            if dependency == spec.id:
                return await self.refuse_unless_accepted(spec.id, f"waits_on: {dependency} is this job")
            if self.core.directory.knows_job(dependency):
                continue
            # Another controller may just have accepted it, so the store must be read.
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
        """Store the job and return the response for the outcome."""
        submission = self.core.submissions.submit(spec, now(), time.time())
        if submission is None:
            return await self.refuse_unless_accepted(spec.id, TOO_LONG, 400)
        await self.dispatch_effects()
        if not submission.outcome and not await self.waiters.wait_for(submission, constants.SUBMIT_TIMEOUT_S):
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
    """Cancels jobs: 200 with the final state (aborted or done) once that is stored."""

    def __init__(
        self,
        core: ControllerCore,
        queries: JobQueries,
        status: StatusHandler,
        waiters: Waiters,
        dispatch_effects: Callable[[], Awaitable[None]],
    ) -> None:
        """``queries``: send cancellations to owners; ``waiters``: wake a request once the job's end is stored."""
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
            return response or responses.unavailable(
                "the controller that owns the job did not confirm the cancellation"
            )
        stored = await self.status.status_from_store(job)
        return stored if stored.status != 200 else responses.unavailable("the owner of the job is not known here yet")

    async def cancel_here(self, job: str) -> Response:
        """Cancel a job of this controller's shard and wait until its end is stored."""
        state = self.core.local_jobs.cancel(job, now())
        if state is None:
            return responses.unavailable("this controller cannot act on the job now")
        if not state:
            await self.dispatch_effects()
            if not await self.waiters.wait_for(job, constants.SUBMIT_TIMEOUT_S):
                return responses.unavailable(responses.STORE_SLOW)
            state = self.core.replica.ended[job].value
        return responses.ok(wire.accepted_body(job, state))
