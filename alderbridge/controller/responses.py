"""Responses of the HTTP handlers, and those that several of them give."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import NamedTuple, TypeAlias

from alderbridge import constants
from alderbridge.protocol import wire
from alderbridge.transport.http_server import Answer

Responder: TypeAlias = Callable[[Answer], None]
"""Sends the response to a request whose handler has returned without one."""

Handled: TypeAlias = Answer | Awaitable[Answer] | None
"""What a handler returns: a response, what is awaited for it, or nothing: then it calls its ``Responder``."""

RETRY_LATER = [("Retry-After", str(constants.RETRY_AFTER_S))]
STORE_UNREACHABLE = "the state service is out of reach"
STORE_BUSY = "more is submitted than the state service takes"
STORE_SLOW = "the state service is slow"
UNREADABLE = "the job's record can't be read here"
NO_SUCH_JOB = "no such job"


class Response(NamedTuple):
    """A response as the transport takes it."""

    status: int
    body: bytes
    headers: list[tuple[str, str]]


def ok(body: bytes) -> Response:
    """200 with this body."""
    return Response(200, body, [])


def error(status: int, text: str) -> Response:
    """An error with its text, and without a header."""
    return Response(status, wire.error_body(text), [])


def unavailable(text: str) -> Response:
    """503: the same request may succeed here or at another controller a little later."""
    return Response(503, wire.error_body(text), RETRY_LATER)


def method_not_allowed(allowed: str) -> Response:
    """405, with the method that the path is for."""
    return Response(405, wire.error_body("wrong method"), [("Allow", allowed)])
