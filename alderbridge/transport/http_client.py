"""HTTP/1.1 clients on h11: ``Client`` for coroutines that await the response, ``Exchange`` with a callback."""

from __future__ import annotations

import errno
import socket
import time
from collections.abc import Callable

import curio
import h11

from alderbridge import constants
from alderbridge.transport.errors import UnansweredError
from alderbridge.transport.http_response import ResponseReader
from alderbridge.transport.selector import IN, OUT, EpollSelector
from alderbridge.transport.sockets import connect, read

now = time.monotonic

_READ_BYTES = 65536  # limit of one read


class Client:
    """Keep-alive connections to one address; at most ``keep`` idle ones stay open."""

    def __init__(self, host: str, port: int, keep: int = 6) -> None:
        """Open no connection until the first request."""
        self.host, self.port, self.keep = host, port, keep
        self.idle: list[curio.io.Socket] = []

    async def request(self, method: str, target: str, body: bytes = b"", timeout_s: float = 2.0) -> tuple[int, bytes]:
        """Status and body. Raises ``UnansweredError`` if there is no valid response within ``timeout_s``."""
        try:
            return await curio.timeout_after(timeout_s, self._request, method, target, body)
        except (OSError, h11.ProtocolError, curio.TaskTimeout, EOFError) as error:
            raise UnansweredError(f"{method} {target}: {error!r}") from error

    async def _request(self, method: str, target: str, body: bytes) -> tuple[int, bytes]:
        while self.idle:
            sock = self.idle.pop()
            try:
                return await self._exchange(sock, method, target, body)
            except (OSError, h11.ProtocolError, EOFError):
                if method != "GET":  # it may have been carried out: the caller decides whether to retry
                    raise
        try:
            sock = await curio.timeout_after(constants.CONNECT_TIMEOUT_S, connect, self.host, self.port)
        except curio.TaskTimeout:
            # The enclosing timeout_after would turn an inner TaskTimeout into an UncaughtTimeoutError.
            raise TimeoutError("connect") from None
        return await self._exchange(sock, method, target, body)

    async def _exchange(self, sock: curio.io.Socket, method: str, target: str, body: bytes) -> tuple[int, bytes]:
        try:
            reader = ResponseReader(self.host, method, target, body)
            await sock.sendall(reader.request)
            while (response := reader.feed(await read(sock, _READ_BYTES))) is None:
                pass
            if response[2] and len(self.idle) < self.keep:
                self.idle.append(sock)
                sock = None
            return response[:2]
        finally:
            if sock is not None:
                await sock.close()


class Exchange:
    """One request on its own connection, without a task: ``on_done`` is called with the response or None."""

    def __init__(
        self,
        poll: EpollSelector,
        host: str,
        port: int,
        reader: ResponseReader,
        on_done: Callable[[tuple[int, bytes] | None], None],
    ) -> None:
        """Start to connect. Raises ``OSError``."""
        self.poll, self.reader, self.on_done = poll, reader, on_done
        self.unsent = reader.request
        self.started_at = now()
        self.ended = self.connected = False
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setblocking(False)
        if self.sock.connect_ex((host, port)) in (0, errno.EINPROGRESS):
            poll.watch(self, self.sock.fileno(), OUT)
        else:
            poll.schedule_ready(self)

    def ready(self, event: int) -> None:
        """Send or receive as much as the socket allows; ``event`` 0: the connect failed at once."""
        if self.ended:
            return
        try:
            if not event:
                self._end(None)
                return
            if self.unsent:
                self.unsent = self.unsent[self.sock.send(self.unsent) :]
                self.connected = True
                if not self.unsent:
                    self.poll.change(self.sock.fileno(), IN)
                return
            response = self.reader.feed(self.sock.recv(_READ_BYTES))
            if response is not None:
                self._end(response[:2])
        except BlockingIOError:
            pass
        except (OSError, h11.ProtocolError, EOFError):
            self._end(None)

    def overdue(self, now: float, limit_s: float) -> bool:
        """Whether the response took longer than ``limit_s``, or the connect longer than ``CONNECT_TIMEOUT_S``."""
        return now - self.started_at > (limit_s if self.connected else min(limit_s, constants.CONNECT_TIMEOUT_S))

    def close(self) -> None:
        """Abandon the request; ``on_done`` is called with None."""
        self._end(None)

    def _end(self, response: tuple[int, bytes] | None) -> None:
        if not self.ended:
            self.ended = True
            self.poll.unwatch(self.sock.fileno())
            self.sock.close()
            self.on_done(response)
