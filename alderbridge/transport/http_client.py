"""HTTP/1.1 client by h11: on curio for whoever awaits the response, and on the poll for whoever does not."""

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
from alderbridge.transport.selector import IN, OUT, Poll
from alderbridge.transport.sockets import connect, read

now = time.monotonic

_READ_BYTES = 65536  # at most in one read


class Client:
    """Keep-alive connections to one address, at most ``keep`` of them idle."""

    def __init__(self, host: str, port: int, keep: int = 6) -> None:
        """Connects when there is a request."""
        self.host, self.port, self.keep = host, port, keep
        self.idle: list[curio.io.Socket] = []

    async def request(self, method: str, target: str, body: bytes = b"", timeout_s: float = 2.0) -> tuple[int, bytes]:
        """Status and body. Raises ``UnansweredError`` where there is no response within ``timeout_s``."""
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
                if method != "GET":  # it may have been carried out: the caller decides on a retry
                    raise
        try:
            sock = await curio.timeout_after(constants.CONNECT_S, connect, self.host, self.port)
        except curio.TaskTimeout:
            # As it is, the timeout around this one would take it for a fault of the program.
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
    """One request on a connection of its own, without a task: ``done`` is called with the response, or None."""

    def __init__(
        self, poll: Poll, host: str, port: int, reader: ResponseReader, done: Callable[[tuple[int, bytes] | None], None]
    ) -> None:
        """Begins to connect; raises ``OSError``."""
        self.poll, self.reader, self.done = poll, reader, done
        self.unsent = reader.request
        self.began_at = now()
        self.ended = self.connected = False
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setblocking(False)
        if self.sock.connect_ex((host, port)) in (0, errno.EINPROGRESS):
            poll.watch(self, self.sock.fileno(), OUT)
        else:
            poll.call_again(self)

    def ready(self, event: int) -> None:
        """Send or receive what the socket allows; 0: it could not be connected."""
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
        """Whether the response, or the connection before it, has taken too long."""
        return now - self.began_at > (limit_s if self.connected else min(limit_s, constants.CONNECT_S))

    def close(self) -> None:
        """Give the request up: there is no response."""
        self._end(None)

    def _end(self, response: tuple[int, bytes] | None) -> None:
        if not self.ended:
            self.ended = True
            self.poll.unwatch(self.sock.fileno())
            self.sock.close()
            self.done(response)
