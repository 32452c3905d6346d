"""Response types of the HTTP handlers, and responses that several handlers share."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import NamedTuple, TypeAlias

from alderbridge import constants
from alderbridge.protocol import wire
from alderbridge.transport.http_server import RawResponse

Responder: TypeAlias = Callable[[RawResponse], None]
"""Sends the response to a request whose handler returned None."""

Handled: TypeAlias = RawResponse | Awaitable[RawResponse] | None
"""What a handler returns: a response, an awaitable of one, or None if it calls its ``Responder`` later."""

RETRY_LATER = [("Retry-After", str(constants.RETRY_AFTER_S))]
STORE_UNREACHABLE = "the state service is out of reach"
STORE_BUSY = "the state service cannot store more submissions now"
STORE_SLOW = "the state service is slow"
UNREADABLE = "the job's record can't be read here"
NO_SUCH_JOB = "no such job"


class Response(NamedTuple):
    """A response in the form that the transport expects."""

    status: int
    body: bytes
    headers: list[tuple[str, str]]


def ok(body: bytes) -> Response:
    """200 with this body."""
    return Response(200, body, [])


def error(status: int, text: str) -> Response:
    """An error with this text and no extra headers."""
    return Response(status, wire.error_body(text), [])


def unavailable(text: str) -> Response:
    """503 with ``Retry-After``: the same request may succeed later, here or at another controller."""
    return Response(503, wire.error_body(text), RETRY_LATER)


def method_not_allowed(allowed: str) -> Response:
    """405 with the method that the path allows."""
    return Response(405, wire.error_body("wrong method"), [("Allow", allowed)])
