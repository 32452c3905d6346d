"""HTTP/1.1 by h11 on curio: server, client, limits, timeouts and rate budgets."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable

import curio
import h11
from curio import socket

from . import constants as c

log = logging.getLogger("net")

Answer = tuple[int, bytes, list[tuple[str, str]]]
Handler = Callable[[str, str, bytes], Awaitable[Answer]]


class Unanswered(Exception):
    """No response: the request may have been carried out, or may yet be."""


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


class Server:
    """Serves requests one after the other on each connection, all of it bounded."""

    def __init__(self, handler: Handler, max_connections: int) -> None:
        self.handler = handler
        self.max_connections = max_connections
        self.open = 0

    async def serve(self, host: str, port: int) -> None:
        await curio.tcp_server(host, port, self._client, backlog=512, reuse_address=True)

    async def _client(self, client: curio.io.Socket, _addr: object) -> None:
        if self.open >= self.max_connections:
            return
        self.open += 1
        try:
            client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await self._connection(client)
        except (OSError, h11.ProtocolError, curio.TaskTimeout):
            pass
        finally:
            self.open -= 1

    async def _connection(self, client: curio.io.Socket) -> None:
        conn = h11.Connection(h11.SERVER, max_incomplete_event_size=16 * 1024)
        while True:
            try:
                request = await curio.timeout_after(c.IDLE_S, self._event, conn, client)
                if not isinstance(request, h11.Request):
                    return
                body = await curio.timeout_after(c.REQUEST_S, self._body, conn, client)
            except h11.RemoteProtocolError as error:
                if conn.our_state in (h11.IDLE, h11.SEND_RESPONSE):
                    await self._respond(conn, client, (error.error_status_hint, b'{"error":"malformed"}', []), True)
                return
            if body is None:
                await self._respond(conn, client, (413, b'{"error":"body too large"}', []), True)
                return
            try:
                answer = await self.handler(request.method.decode(), request.target.decode("latin-1"), body)
            except Exception:
                log.exception("request failed method=%s target=%s", request.method, request.target)
                answer = (500, b'{"error":"internal"}', [])
            await self._respond(conn, client, answer, False)
            if conn.our_state is not h11.DONE or conn.their_state is not h11.DONE:
                return
            conn.start_next_cycle()

    @staticmethod
    async def _event(conn: h11.Connection, client: curio.io.Socket) -> object:
        while True:
            event = conn.next_event()
            if event is not h11.NEED_DATA:
                return event
            if conn.they_are_waiting_for_100_continue:
                await client.sendall(conn.send(h11.InformationalResponse(status_code=100, headers=[])))
            conn.receive_data(await client.recv(65536))

    async def _body(self, conn: h11.Connection, client: curio.io.Socket) -> bytes | None:
        parts, size = [], 0
        while True:
            event = await self._event(conn, client)
            if isinstance(event, h11.Data):
                size += len(event.data)
                if size > c.MAX_BODY:
                    return None
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            else:
                raise h11.RemoteProtocolError("request cut short")

    @staticmethod
    async def _respond(conn: h11.Connection, client: curio.io.Socket, answer: Answer, close: bool) -> None:
        status, body, extra = answer
        headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body))), *extra]
        if close:
            headers.append(("Connection", "close"))
        data = conn.send(h11.Response(status_code=status, headers=headers))
        data += conn.send(h11.Data(data=body)) + conn.send(h11.EndOfMessage())
        await curio.timeout_after(c.REQUEST_S, client.sendall, data)


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
        sock = await curio.timeout_after(c.CONNECT_S, curio.open_connection, self.host, self.port)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
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
                    conn.receive_data(await sock.recv(262144))
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
