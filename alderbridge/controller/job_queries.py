"""Queries between controllers about a job: its status, and its cancellation."""

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

STATUS = "status"  # kinds of queries, as they go over the wire
CANCEL = "withdraw"


class PendingQuery(NamedTuple):
    """A query for whose reply a task waits."""

    answered: curio.Event
    replies: list[messages.JobQueryReply]


class PendingPoll(NamedTuple):
    """A status query for whose reply no task waits; ``on_done`` gets the status, or None without a valid one."""

    job: str
    on_done: Callable[[Response | None], Awaitable[None]]


class JobQueries:
    """Sends queries to the owners of jobs and matches the replies."""

    def __init__(self, core: ControllerCore, dispatch_effects: Callable[[], Awaitable[None]]) -> None:
        """``core``: sends the queries; ``dispatch_effects``: has them leave at once."""
        self.core = core
        self.dispatch_effects = dispatch_effects
        self.pending_queries: dict[int, PendingQuery] = {}
        self.pending_polls: dict[int, PendingPoll] = {}
        self.poll_deadlines: deque[tuple[float, int]] = deque()
        # The numbers go on from the time of day: a reply to a query of an earlier life of this label may still be on
        # its way, and was once taken for the reply to a query with the same number about another job.
        self.query_count = time.time_ns()

    async def query(self, label: str, kind: str, job: str) -> Response | None:
        """Ask another controller, and wait for its reply; None: there was none in time, or not a 200 on this job."""
        self.query_count += 1
        number, pending = self.query_count, PendingQuery(curio.Event(), [])
        self.pending_queries[number] = pending
        self.core.messenger.send_unreliable(label, messages.JobQuery(number, kind, job))
        await self.dispatch_effects()
        timeout_s = constants.QUERY_TIMEOUT_S if kind == STATUS else constants.SUBMIT_WAIT_S
        try:
            await curio.timeout_after(timeout_s, pending.answered.wait)
        except curio.TaskTimeout:
            return None
        finally:
            del self.pending_queries[number]
        return _response_on(job, pending.replies[0])

    def poll(self, label: str, job: str, on_done: Callable[[Response | None], Awaitable[None]]) -> None:
        """Ask another controller for the job's status, without a task that waits for it."""
        self.query_count += 1
        self.pending_polls[self.query_count] = PendingPoll(job, on_done)
        self.poll_deadlines.append((now() + constants.QUERY_TIMEOUT_S, self.query_count))
        self.core.messenger.send_unreliable(label, messages.JobQuery(self.query_count, STATUS, job))

    async def on_poll_reply(self, number: int, reply: messages.JobQueryReply | None) -> None:
        """The owner of the job has answered a poll, or not in time (None)."""
        poll = self.pending_polls.pop(number, None)
        if poll is not None:
            await poll.on_done(None if reply is None else _response_on(poll.job, reply))

    async def expire_polls(self) -> None:
        """Give up the polls that were not answered in time."""
        deadlines = self.poll_deadlines
        while deadlines and (deadlines[0][1] not in self.pending_polls or deadlines[0][0] <= now()):
            await self.on_poll_reply(deadlines.popleft()[1], None)


def _response_on(job: str, reply: messages.JobQueryReply) -> Response | None:
    """The reply for the user; None unless it is a 200, and on this job."""
    if reply.status != 200 or job.encode() not in reply.body:
        return None
    return Response(reply.status, reply.body, [])


class LocalCancellation(Protocol):
    """Cancels a job of this controller's shard."""

    async def cancel_here(self, job: str) -> Response:
        """Cancel it, and wait until the store has its end."""


class JobQueryResponder:
    """Answers the queries of other controllers."""

    def __init__(
        self, core: ControllerCore, cancellations: LocalCancellation, dispatch_effects: Callable[[], Awaitable[None]]
    ) -> None:
        """``cancellations``: carry out what owners are asked to cancel."""
        self.core = core
        self.cancellations = cancellations
        self.dispatch_effects = dispatch_effects

    def answer_status(self, label: str, query: messages.JobQuery) -> None:
        """From memory, so nothing has to wait for it; 503 where it is not known there."""
        state = self.core.local_jobs.local_job_state(query.job, now())
        status, body = (503, b"") if state is None else (200, wire.job_status_body(query.job, *state))
        self.core.messenger.send_unreliable(label, messages.JobQueryReply(query.query_id, status, body))

    async def answer_cancellation(self, label: str, query: messages.JobQuery) -> None:
        """Cancel the job, and answer once that is stored."""
        status, body, _ = await self.cancellations.cancel_here(query.job)
        self.core.messenger.send_unreliable(label, messages.JobQueryReply(query.query_id, status, body))
        await self.dispatch_effects()
