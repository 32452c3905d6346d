"""Client side of one HTTP exchange, without I/O: encodes the request and parses the response incrementally."""

from __future__ import annotations

import functools
import re
from collections import deque

import h11

from alderbridge.transport.cached_head import CachedHead, cacheable_head

_END = h11.EndOfMessage()
_DIGITS = re.compile("[0-9]+")
_cached_heads: deque[CachedHead] = deque(maxlen=8)  # from the latest responses that h11 parsed


@functools.lru_cache(maxsize=64)
def _request_head(host: str, method: str, target_template: str) -> tuple[bytes, bytes]:
    """What h11 writes before and after the length of the body; in ``target_template`` each number is replaced by 0."""
    before, after = _build_request(h11.Connection(h11.CLIENT), host, method, target_template, b"").split(
        b"Content-Length: 0", 1
    )
    return before + b"Content-Length: ", after


def _build_request(http: h11.Connection, host: str, method: str, target: str, body: bytes) -> bytes:
    """The bytes of a request, encoded by h11."""
    headers = [("Host", host), ("Content-Length", str(len(body)))]
    data = http.send(h11.Request(method=method, target=target, headers=headers))
    return data + (http.send(h11.Data(data=body)) if body else b"") + http.send(_END)


class ResponseReader:
    """The bytes of a request, and the response assembled from the received pieces."""

    def __init__(self, host: str, method: str, target: str, body: bytes) -> None:
        """Encode the request into ``request``, which the caller sends."""
        self._request_parts = host, method, target, body
        target_template = _DIGITS.sub("0", target)
        before, after = _request_head(host, method, target_template)
        self.request = b"%b%d%b%b" % (
            before.replace(target_template.encode(), target.encode(), 1),
            len(body),
            after,
            body,
        )
        self.data = b""  # received bytes, until h11 has parsed the head
        self.http: h11.Connection | None = None
        self.status = 0
        self.body_parts: list[bytes] = []

    def feed(self, data: bytes) -> tuple[int, bytes, bool] | None:
        """Status, body, and whether the connection can be reused; None: the response is not complete yet.

        ``data`` is b"" if the peer has closed the connection. Raises ``h11.ProtocolError`` or ``EOFError`` if the
        received bytes are not a response.
        """
        if not self.status:
            self.data = self.data + data if self.data else data
        if self.http is None:
            cached = next((head for head in _cached_heads if self.data.startswith(head.before)), None)
            begin, end = cached.body_bounds(self.data) if cached is not None else (0, 0)
            if begin and end == len(self.data):
                return cached.parsed, self.data[begin:], True
            if begin and end > len(self.data) and data:
                return None
            # The head is not cached: h11 parses it.
            self.http = h11.Connection(h11.CLIENT)
            _build_request(self.http, *self._request_parts)
            if self.data:
                self.http.receive_data(self.data)
            if data:
                return self._read_events()
        self.http.receive_data(data)
        return self._read_events()

    def _read_events(self) -> tuple[int, bytes, bool] | None:
        while True:
            event = self.http.next_event()
            if event is h11.NEED_DATA:
                return None
            if isinstance(event, h11.Response):
                self.status, cached = event.status_code, cacheable_head(self.data, event)
                if cached is not None and cached not in _cached_heads:
                    _cached_heads.append(cached)
            elif isinstance(event, h11.Data):
                self.body_parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                http = self.http
                is_done = http.our_state is h11.DONE and http.their_state is h11.DONE
                return self.status, b"".join(self.body_parts), is_done and http.trailing_data == (b"", False)
            elif isinstance(event, h11.ConnectionClosed):
                raise EOFError("closed")
