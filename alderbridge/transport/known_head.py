"""Heads of HTTP messages that h11 has parsed before: most messages are like one of the last, and need no parsing."""

from __future__ import annotations

import re
from typing import NamedTuple

import h11

from alderbridge import constants

_TARGET = re.compile(rb"[!-~]+")  # what h11 accepts as one
_LENGTH = re.compile(rb"\r\ncontent-length:[ \t]*([0-9]+)[ \t]*(?=\r\n)", re.IGNORECASE)


class KnownHead(NamedTuple):
    """A head that h11 has accepted, without its length and, for GET, its target.

    One that differs from it in these alone needs no parsing.
    """

    before: bytes
    after: bytes | None  # None: it states no length, and is ``before`` alone
    meaning: tuple[str, str] | int  # method and target, or status
    method: bytes = b""  # b"GET ": the target may be another one

    def find(self, data: bytes) -> tuple[int, int]:
        """Begin and end of the body in ``data``; (0, 0) where the head is another one, or incomplete."""
        at = 0
        if self.method:
            at = data.find(b" ", len(self.method), constants.CACHED_HEAD_BYTES)
            if at < 0 or not data.startswith(self.method) or not _TARGET.fullmatch(data, len(self.method), at):
                return 0, 0
        if not data.startswith(self.before, at):
            return 0, 0
        at += len(self.before)
        if self.after is None:
            return at, at
        end = data.find(b"\r", at, at + 6)
        digits = data[at:end]
        if end < 0 or not digits.isdigit() or not data.startswith(self.after, end):
            return 0, 0
        length, at = int(digits), end + len(self.after)
        return (at, at + length) if length <= constants.MAX_BODY else (0, 0)


def known_head_of(data: bytes, event: h11.Request | h11.Response) -> KnownHead | None:
    """The head that h11 parsed into ``event``, which is at the front of ``data``. None: such heads always need h11."""
    head = data[: data.find(b"\r\n\r\n") + 4]
    if not _is_plain(head, event):
        return None
    states_length = any(name == b"content-length" for name, _ in event.headers)
    length = _LENGTH.search(head) if states_length else None
    before, after = (head[: length.start(1)], head[length.end(1) :]) if length else (head, None)
    if isinstance(event, h11.Response):
        return KnownHead(before, after, event.status_code) if length and event.status_code not in (204, 304) else None
    if event.method not in (b"GET", b"POST") or (length is None and states_length):
        return None
    meaning = event.method.decode(), event.target.decode("latin-1")
    if event.method == b"GET":
        return KnownHead(before[4 + len(event.target) :], after, meaning, b"GET ")
    return KnownHead(before, after, meaning)


def _is_plain(head: bytes, event: h11.Request | h11.Response) -> bool:
    """Whether nothing in a head but its length says how its message is framed, or what becomes of the connection."""
    names = [name for name, _ in event.headers]
    line = b"HTTP/1.1 " if isinstance(event, h11.Response) else b"%b %b HTTP/1.1\r\n" % (event.method, event.target)
    return (
        4 <= len(head) <= constants.CACHED_HEAD_BYTES
        and head.startswith(line)
        and event.http_version == b"1.1"
        and names.count(b"content-length") <= 1
        and not any(name in names for name in (b"connection", b"transfer-encoding", b"expect", b"upgrade"))
        and head.count(b"\n") == head.count(b"\r\n")
        and b"\r\n " not in head
        and b"\r\n\t" not in head
    )
