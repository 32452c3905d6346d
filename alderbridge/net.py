"""HTTP/1.1 by h11 on curio: server, client, limits, timeouts and rate budgets."""

from __future__ import annotations

import functools
import logging
import time
from collections.abc import Awaitable, Callable

import curio
import h11
from curio import socket
from curio.traps import _read_wait

from . import constants as c

log = logging.getLogger("net")
now = time.monotonic

Answer = tuple[int, bytes, list[tuple[str, str]]]
Handler = Callable[[str, str, bytes], Awaitable[Answer]]


class Unanswered(Exception):
    """No response: the request may have been carried out, or may yet be."""


async def read(sock: curio.io.Socket, most: int) -> bytes:
    """Wait, then read: for where nothing can have come yet, which spares the call that says so."""
    await _read_wait(sock._fileno)
    return await sock.recv(most)


async def connect(host: str, port: int) -> curio.io.Socket:
    """A TCP connection. The platform gives numbers, which need no thread to look them up."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        await sock.connect((host, port))
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except BaseException:
        await sock.close()
        raise
    return sock


class Budget:
    """Token bucket; time is an argument."""

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self.rate, self.burst = rate, max(1.0, burst)
        self.level, self.at = self.burst, now

    def _fill(self, now: float) -> None:
        self.level = min(self.burst, self.level + (now - self.at) * self.rate)
        self.at = now

    def available(self, now: float) -> float:
        self._fill(now)
        return self.level

    def take(self, now: float, amount: float = 1.0) -> bool:
        self._fill(now)
        if self.level < amount:
            return False
        self.level -= amount
        return True

    def spend(self, now: float, amount: float = 1.0) -> None:
        """Take even what is not there: for calls that cannot wait."""
        self._fill(now)
        self.level -= amount


_END = h11.EndOfMessage()


@functools.lru_cache(maxsize=4096)
def _head(status: int, length: int, extra: tuple[tuple[str, str], ...]) -> h11.Response:
    """Heads are checked and put in form once for each that differs; h11's events never change."""
    return h11.Response(status_code=status, headers=[("Content-Type", "application/json"),
                                                     ("Content-Length", str(length)), *extra])


class Connection:
    """One client's connection, and until when it may stay as it is."""

    def __init__(self, client: curio.io.Socket, task: curio.Task) -> None:
        self.client, self.task = client, task
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=16 * 1024)
        self.deadline = float("inf")

    def allow(self, seconds: float) -> None:
        self.deadline = now() + seconds

    async def event(self, fresh: bool = False) -> object:
        """``fresh``: a request is to come, and nothing of it has been asked for yet."""
        if fresh and not self.http.trailing_data[0]:
            self.http.receive_data(await read(self.client, 65536))
        while True:
            event = self.http.next_event()
            if event is not h11.NEED_DATA:
                return event
            if self.http.they_are_waiting_for_100_continue:
                await self.client.sendall(self.http.send(h11.InformationalResponse(status_code=100, headers=[])))
            self.http.receive_data(await read(self.client, 65536))

    async def body(self) -> bytes | None:
        """None where it is larger than allowed."""
        parts, size = [], 0
        while True:
            event = await self.event()
            if isinstance(event, h11.Data):
                size += len(event.data)
                if size > c.MAX_BODY:
                    return None
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            else:
                raise h11.RemoteProtocolError("request cut short")

    async def respond(self, answer: Answer, close: bool) -> None:
        status, body, extra = answer
        send = self.http.send
        data = send(_head(status, len(body), (*extra, ("Connection", "close")) if close else tuple(extra)))
        data += send(h11.Data(data=body)) + send(_END)
        self.allow(c.REQUEST_S)
        await self.client.sendall(data)


class Server:
    """Serves requests one after the other on each connection, all of it bounded."""

    def __init__(self, handler: Handler, max_connections: int) -> None:
        self.handler = handler
        self.max_connections = max_connections
        self.open: set[Connection] = set()

    async def serve(self, host: str, port: int) -> None:
        await curio.spawn(self.sweep, daemon=True)
        await curio.tcp_server(host, port, self._client, backlog=512, reuse_address=True)

    async def sweep(self) -> None:
        """End what is overdue. One look a second costs less than a timer around each step of each request."""
        while True:
            await curio.sleep(c.SWEEP_S)
            for connection in [one for one in self.open if now() > one.deadline]:
                await connection.task.cancel(blocking=False)

    async def _client(self, client: curio.io.Socket, _addr: object) -> None:
        if len(self.open) >= self.max_connections:
            return
        connection = Connection(client, await curio.current_task())
        self.open.add(connection)
        try:
            client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await self._serve(connection)
        except (OSError, h11.ProtocolError):
            pass
        finally:
            self.open.discard(connection)

    async def _serve(self, connection: Connection) -> None:
        http = connection.http
        while True:
            try:
                connection.allow(c.IDLE_S)
                request = await connection.event(fresh=True)
                if not isinstance(request, h11.Request):
                    return
                connection.allow(c.REQUEST_S)
                body = await connection.body()
            except h11.RemoteProtocolError as error:
                if http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
                    await connection.respond((error.error_status_hint, b'{"error":"malformed"}', []), True)
                return
            if body is None:
                await connection.respond((413, b'{"error":"body too large"}', []), True)
                return
            connection.deadline = float("inf")  # what the handler waits for is bounded there
            try:
                answer = await self.handler(request.method.decode(), request.target.decode("latin-1"), body)
            except Exception:
                log.exception("request failed method=%s target=%s", request.method, request.target)
                answer = (500, b'{"error":"internal"}', [])
            await connection.respond(answer, False)
            if http.our_state is not h11.DONE or http.their_state is not h11.DONE:
                return
            http.start_next_cycle()


class Client:
    """Keep-alive connections to one address."""

    def __init__(self, host: str, port: int, keep: int = 6) -> None:
        self.host, self.port, self.keep = host, port, keep
        self.idle: list[tuple[curio.io.Socket, h11.Connection]] = []

    async def request(self, method: str, target: str, body: bytes = b"", timeout_s: float = 2.0) -> tuple[int, bytes]:
        """Status and body; ``Unanswered`` where there is none in time."""
        try:
            return await curio.timeout_after(timeout_s, self._request, method, target, body)
        except (OSError, h11.ProtocolError, curio.TaskTimeout, EOFError) as error:
            raise Unanswered(f"{method} {target}: {error!r}") from None

    async def _request(self, method: str, target: str, body: bytes) -> tuple[int, bytes]:
        while self.idle:
            sock, conn = self.idle.pop()
            try:
                return await self._exchange(sock, conn, method, target, body)
            except (OSError, h11.ProtocolError, EOFError):
                if method != "GET":  # it may have been carried out: the caller decides
                    raise
        try:
            sock = await curio.timeout_after(c.CONNECT_S, connect, self.host, self.port)
        except curio.TaskTimeout:
            # Left to escape into the outer timeout it would be an error of its own, met by nobody.
            raise TimeoutError("connect") from None
        return await self._exchange(sock, h11.Connection(h11.CLIENT), method, target, body)

    async def _exchange(self, sock: curio.io.Socket, conn: h11.Connection,
                        method: str, target: str, body: bytes) -> tuple[int, bytes]:
        try:
            headers = [("Host", self.host), ("Content-Length", str(len(body)))]
            data = conn.send(h11.Request(method=method, target=target, headers=headers))
            data += (conn.send(h11.Data(data=body)) if body else b"") + conn.send(h11.EndOfMessage())
            await sock.sendall(data)
            status, parts = 0, []
            while True:
                event = conn.next_event()
                if event is h11.NEED_DATA:
                    conn.receive_data(await read(sock, 262144))
                elif isinstance(event, h11.Response):
                    status = event.status_code
                elif isinstance(event, h11.Data):
                    parts.append(bytes(event.data))
                elif isinstance(event, h11.EndOfMessage):
                    break
                elif isinstance(event, h11.ConnectionClosed):
                    raise EOFError("closed")
            if conn.our_state is h11.DONE and conn.their_state is h11.DONE and len(self.idle) < self.keep:
                conn.start_next_cycle()
                self.idle.append((sock, conn))
                sock = None
            return status, b"".join(parts)
        finally:
            if sock is not None:
                await sock.close()
