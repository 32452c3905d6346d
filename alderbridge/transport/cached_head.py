"""Cache entries for heads of HTTP messages that h11 has parsed: most messages repeat a recent head."""

from __future__ import annotations

import re
from typing import NamedTuple

import h11

from alderbridge import constants

_TARGET = re.compile(rb"[!-~]+")  # the characters that h11 accepts in a request target
_LENGTH = re.compile(rb"\r\ncontent-length:[ \t]*([0-9]+)[ \t]*(?=\r\n)", re.IGNORECASE)


class CachedHead(NamedTuple):
    """A head that h11 has accepted, without its Content-Length value and, for GET, without its target.

    A head that differs from it only in these need not be parsed.
    """

    before: bytes
    after: bytes | None  # None: the head has no Content-Length and is all in ``before``
    parsed: tuple[str, str] | int  # (method, target) of a request, status of a response
    method: bytes = b""  # b"GET ": the target may differ

    def body_bounds(self, data: bytes) -> tuple[int, int]:
        """Start and end of the body in ``data``; (0, 0) if the head is different or incomplete."""
        position = 0
        if self.method:
            position = data.find(b" ", len(self.method), constants.MAX_CACHED_HEAD_BYTES)
            if (
                position < 0
                or not data.startswith(self.method)
                or not _TARGET.fullmatch(data, len(self.method), position)
            ):
                return 0, 0
        if not data.startswith(self.before, position):
            return 0, 0
        position += len(self.before)
        if self.after is None:
            return position, position
        end = data.find(b"\r", position, position + 6)
        digits = data[position:end]
        if end < 0 or not digits.isdigit() or not data.startswith(self.after, end):
            return 0, 0
        length, position = int(digits), end + len(self.after)
        return (position, position + length) if length <= constants.MAX_BODY_BYTES else (0, 0)


def cacheable_head(data: bytes, event: h11.Request | h11.Response) -> CachedHead | None:
    """The cache entry for the head at the front of ``data``, parsed by h11 into ``event``; None: not cacheable."""
    head = data[: data.find(b"\r\n\r\n") + 4]
    if not _is_plain(head, event):
        return None
    states_length = any(name == b"content-length" for name, _ in event.headers)
    length = _LENGTH.search(head) if states_length else None
    before, after = (head[: length.start(1)], head[length.end(1) :]) if length else (head, None)
    if isinstance(event, h11.Response):
        return CachedHead(before, after, event.status_code) if length and event.status_code not in (204, 304) else None
    if event.method not in (b"GET", b"POST") or (length is None and states_length):
        return None
    parsed = event.method.decode(), event.target.decode("latin-1")
    if event.method == b"GET":
        return CachedHead(before[4 + len(event.target) :], after, parsed, b"GET ")
    return CachedHead(before, after, parsed)


def _is_plain(head: bytes, event: h11.Request | h11.Response) -> bool:
    """Whether only Content-Length affects the framing of the message, and nothing the connection's persistence."""
    names = [name for name, _ in event.headers]
    line = b"HTTP/1.1 " if isinstance(event, h11.Response) else b"%b %b HTTP/1.1\r\n" % (event.method, event.target)
    return (
        4 <= len(head) <= constants.MAX_CACHED_HEAD_BYTES
        and head.startswith(line)
        and event.http_version == b"1.1"
        and names.count(b"content-length") <= 1
        and not any(name in names for name in (b"connection", b"transfer-encoding", b"expect", b"upgrade"))
        and head.count(b"\n") == head.count(b"\r\n")
        and b"\r\n " not in head
        and b"\r\n\t" not in head
    )
