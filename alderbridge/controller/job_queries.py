"""Queries between controllers for the status or the cancellation of a job."""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Awaitable, Callable
from typing import NamedTuple, Protocol

import curio

from alderbridge import constants
from alderbridge.controller.core import ControllerCore
from alderbridge.controller.responses import Response
from alderbridge.protocol import messages, wire

now = time.monotonic

STATUS = "status"  # kinds of queries, as sent on the wire
CANCEL = "withdraw"


class PendingQuery(NamedTuple):
    """A query whose reply a task is waiting for."""

    answered: curio.Event
    replies: list[messages.JobQueryReply]


class PendingPoll(NamedTuple):
    """A status query that no task waits for; ``on_done`` gets the response, or None without a valid reply."""

    job: str
    on_done: Callable[[Response | None], Awaitable[None]]


class JobQueries:
    """Sends queries to the owners of jobs and matches the replies."""

    def __init__(self, core: ControllerCore, dispatch_effects: Callable[[], Awaitable[None]]) -> None:
        """``core``: queues the queries; ``dispatch_effects``: sends what is queued at once."""
        self.core = core
        self.dispatch_effects = dispatch_effects
        self.pending_queries: dict[int, PendingQuery] = {}
        self.pending_polls: dict[int, PendingPoll] = {}
        self.poll_deadlines: deque[tuple[float, int]] = deque()
        # Starts at the time of day, so that ids are not reused by the next incarnation of this controller: a late reply
        # to the previous one must not be matched to a query about another job.
        self.query_count = time.time_ns()

    async def query(self, label: str, kind: str, job: str) -> Response | None:
        """Query another controller; None without a reply in time, or if the reply is not a 200 for this job."""
        self.query_count += 1
        query_id, pending = self.query_count, PendingQuery(curio.Event(), [])
        self.pending_queries[query_id] = pending
        self.core.messenger.send_unreliable(label, messages.JobQuery(query_id, kind, job))
        await self.dispatch_effects()
        timeout_s = constants.QUERY_TIMEOUT_S if kind == STATUS else constants.SUBMIT_TIMEOUT_S
        try:
            await curio.timeout_after(timeout_s, pending.answered.wait)
        except curio.TaskTimeout:
            return None
        finally:
            del self.pending_queries[query_id]
        return _response_on(job, pending.replies[0])

    def poll(self, label: str, job: str, on_done: Callable[[Response | None], Awaitable[None]]) -> None:
        """Query another controller for the job's status without a waiting task."""
        self.query_count += 1
        self.pending_polls[self.query_count] = PendingPoll(job, on_done)
        self.poll_deadlines.append((now() + constants.QUERY_TIMEOUT_S, self.query_count))
        self.core.messenger.send_unreliable(label, messages.JobQuery(self.query_count, STATUS, job))

    async def on_poll_reply(self, query_id: int, reply: messages.JobQueryReply | None) -> None:
        """Complete a poll with the owner's reply, or with None if there was none in time."""
        poll = self.pending_polls.pop(query_id, None)
        if poll is not None:
            await poll.on_done(None if reply is None else _response_on(poll.job, reply))

    async def expire_polls(self) -> None:
        """Complete the polls whose deadline has passed without a reply."""
        deadlines = self.poll_deadlines
        while deadlines and (deadlines[0][1] not in self.pending_polls or deadlines[0][0] <= now()):
            await self.on_poll_reply(deadlines.popleft()[1], None)


def _response_on(job: str, reply: messages.JobQueryReply) -> Response | None:
    """The reply as a response for the user; None unless it is a 200 for this job."""
    if reply.status != 200 or job.encode() not in reply.body:
        return None
    return Response(reply.status, reply.body, [])


class LocalCancellation(Protocol):
    """Cancels a job of this controller's shard."""

    async def cancel_here(self, job: str) -> Response:
        """Cancel the job and wait until its end is stored."""


class JobQueryResponder:
    """Replies to the queries of other controllers."""

    def __init__(
        self, core: ControllerCore, cancellations: LocalCancellation, dispatch_effects: Callable[[], Awaitable[None]]
    ) -> None:
        """``cancellations``: cancels jobs of this controller's shard."""
        self.core = core
        self.cancellations = cancellations
        self.dispatch_effects = dispatch_effects

    def answer_status(self, label: str, query: messages.JobQuery) -> None:
        """Reply with the status from memory, without waiting; 503 if memory does not have it."""
        state = self.core.local_jobs.local_job_state(query.job, now())
        status, body = (503, b"") if state is None else (200, wire.job_status_body(query.job, *state))
        self.core.messenger.send_unreliable(label, messages.JobQueryReply(query.query_id, status, body))

    async def answer_cancellation(self, label: str, query: messages.JobQuery) -> None:
        """Cancel the job and reply once its end is stored."""
        status, body, _ = await self.cancellations.cancel_here(query.job)
        self.core.messenger.send_unreliable(label, messages.JobQueryReply(query.query_id, status, body))
        await self.dispatch_effects()
