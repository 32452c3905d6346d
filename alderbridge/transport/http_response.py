"""The client's end of one request: its bytes, and the response read from whatever pieces arrive."""

from __future__ import annotations

import functools
import re
from collections import deque

import h11

from alderbridge.transport.known_head import KnownHead, known_head_of

_END = h11.EndOfMessage()
_NUMBER = re.compile("[0-9]+")
_known_heads: deque[KnownHead] = deque(maxlen=8)  # of the last responses that h11 has parsed


@functools.lru_cache(maxsize=64)
def _request_head(host: str, method: str, shape: str) -> tuple[bytes, bytes]:
    """What h11 writes before and after the length of the body; ``shape`` is the target with its numbers as 0."""
    before, after = _build_request(h11.Connection(h11.CLIENT), host, method, shape, b"").split(b"Content-Length: 0", 1)
    return before + b"Content-Length: ", after


def _build_request(http: h11.Connection, host: str, method: str, target: str, body: bytes) -> bytes:
    """The bytes of a request as h11 writes them."""
    headers = [("Host", host), ("Content-Length", str(len(body)))]
    data = http.send(h11.Request(method=method, target=target, headers=headers))
    return data + (http.send(h11.Data(data=body)) if body else b"") + http.send(_END)


class ResponseReader:
    """The bytes of a request, and its response put together from the pieces that arrive."""

    def __init__(self, host: str, method: str, target: str, body: bytes) -> None:
        """The request that is to be sent is then in ``request``."""
        self._request_parts = host, method, target, body
        shape = _NUMBER.sub("0", target)
        before, after = _request_head(host, method, shape)
        self.request = b"%b%d%b%b" % (before.replace(shape.encode(), target.encode(), 1), len(body), after, body)
        self.data = b""  # what has arrived; once h11 has the head, no more is added
        self.http: h11.Connection | None = None
        self.status = 0
        self.body_parts: list[bytes] = []

    def feed(self, data: bytes) -> tuple[int, bytes, bool] | None:
        """Status, body, and whether the connection may be used again; None: the response is not complete yet.

        ``data`` is b"" where the connection has ended. Raises ``h11.ProtocolError`` or ``EOFError`` where what has
        arrived is no response.
        """
        if not self.status:
            self.data = self.data + data if self.data else data
        if self.http is None:
            known = next((head for head in _known_heads if self.data.startswith(head.before)), None)
            begin, end = known.find(self.data) if known is not None else (0, 0)
            if begin and end == len(self.data):
                return known.meaning, self.data[begin:], True
            if begin and end > len(self.data) and data:
                return None
            # A head that is not known.
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
                self.status, known = event.status_code, known_head_of(self.data, event)
                if known is not None and known not in _known_heads:
                    _known_heads.append(known)
            elif isinstance(event, h11.Data):
                self.body_parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                http = self.http
                is_done = http.our_state is h11.DONE and http.their_state is h11.DONE
                return self.status, b"".join(self.body_parts), is_done and http.trailing_data == (b"", False)
            elif isinstance(event, h11.ConnectionClosed):
                raise EOFError("closed")
