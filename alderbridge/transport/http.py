"""HTTP/1.1 by h11 on curio: server, client, limits, timeouts and rate budgets."""

from __future__ import annotations

import errno
import functools
import logging
import re
import socket
import time
from collections import deque
from collections.abc import Awaitable, Callable
from enum import Enum
from typing import NamedTuple

import curio
import h11
from curio import socket as curio_socket
from curio.traps import _read_wait

from alderbridge import constants
from alderbridge.transport.selector import IN, OUT, Listener, Poll, listening

log = logging.getLogger("http")
now = time.monotonic

Answer = tuple[int, bytes, list[tuple[str, str]]]
Handler = Callable[[str, str, bytes, Callable[[Answer], None]], Answer | Awaitable[Answer] | None]


class UnansweredError(Exception):
    """No response: the request may have been carried out, or may yet be."""


async def read(sock: curio.io.Socket, most: int) -> bytes:
    """Wait, then read: for where nothing can have come yet, which spares the call that says so."""
    await _read_wait(sock._fileno)
    return await sock.recv(most)


async def connect(host: str, port: int) -> curio.io.Socket:
    """A TCP connection. The platform gives numbers, which need no thread to look them up."""
    sock = curio_socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        await sock.connect((host, port))
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except BaseException:
        await sock.close()
        raise
    return sock


class TokenBucket:
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

    def change(self, rate: float, burst: float, now: float) -> None:
        """From now on so much a second, and so much at once."""
        self._fill(now)
        self.rate, self.burst = rate, max(1.0, burst)

    def try_take(self, now: float, amount: float = 1.0) -> bool:
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
_NUMBER = re.compile("[0-9]+")
_TARGET = re.compile(rb"[!-~]+")  # what h11 takes for one
_LENGTH = re.compile(rb"\r\ncontent-length:[ \t]*([0-9]+)[ \t]*(?=\r\n)", re.IGNORECASE)


def _response(status: int, length: int, extra: tuple[tuple[str, str], ...]) -> h11.Response:
    return h11.Response(
        status_code=status, headers=[("Content-Type", "application/json"), ("Content-Length", str(length)), *extra]
    )


@functools.lru_cache(maxsize=256)
def _head(status: int, extra: tuple[tuple[str, str], ...]) -> tuple[bytes, bytes]:
    """What h11 writes before and after the length, on a connection that stays."""
    http = h11.Connection(h11.SERVER)
    http.receive_data(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
    http.next_event()
    before, after = http.send(_response(status, 0, extra)).split(b"Content-Length: 0")
    return before + b"Content-Length: ", after


class Plain(NamedTuple):
    """A head as h11 once took it, without its length and, for GET, its target; what differs in these alone is good."""

    before: bytes
    after: bytes | None  # None: it states no length, and is ``before`` alone
    meaning: tuple[str, str] | int  # method and target, or status
    method: bytes = b""  # where the target may be another: before that

    def find(self, data: bytes) -> tuple[int, int]:
        """Where the body begins, and where it ends. (0, 0) where the head is another, or not all there."""
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


def learn(data: bytes, event: h11.Request | h11.Response) -> Plain | None:
    """``data``: what h11 made ``event`` of, and more. None for whatever needs h11 each time."""
    end = data.find(b"\r\n\r\n") + 4
    head = data[:end]
    names = [name for name, _ in event.headers]
    line = b"HTTP/1.1 " if isinstance(event, h11.Response) else b"%b %b HTTP/1.1\r\n" % (event.method, event.target)
    if (
        end < 4
        or end > constants.CACHED_HEAD_BYTES
        or not head.startswith(line)
        or event.http_version != b"1.1"
        or names.count(b"content-length") > 1
        or any(name in names for name in (b"connection", b"transfer-encoding", b"expect", b"upgrade"))
        or head.count(b"\n") != head.count(b"\r\n")
        or b"\r\n " in head
        or b"\r\n\t" in head
    ):
        return None
    length = _LENGTH.search(head) if b"content-length" in names else None
    around = (head[: length.start(1)], head[length.end(1) :]) if length else (head, None)
    if isinstance(event, h11.Response):
        return Plain(*around, event.status_code) if length and event.status_code not in (204, 304) else None
    if event.method not in (b"GET", b"POST") or (length is None and b"content-length" in names):
        return None
    meaning = event.method.decode(), event.target.decode("latin-1")
    if event.method == b"GET":
        return Plain(around[0][4 + len(event.target) :], around[1], meaning, b"GET ")
    return Plain(*around, meaning)


class State(Enum):
    READING = "reading"  # a request is to come, or its rest
    HANDLING = "handling"  # the handler has it
    WRITING = "writing"  # the client has yet to take the rest of the answer
    CLOSED = "closed"


class Connection:
    """One client's connection, and until when it may stay as it is.

    A request whose head h11 has parsed before is cut out of the bytes; all others go through h11, which alone
    decides what is a request. Nothing here waits.
    """

    __slots__ = (
        "server",
        "sock",
        "fd",
        "state",
        "deadline",
        "plain",
        "data",
        "begun",
        "through",
        "raw",
        "http",
        "request",
        "parts",
        "size",
        "out",
        "closing",
        "heard",
    )

    def __init__(self, server: Server, sock: socket.socket) -> None:
        self.server, self.sock, self.fd = server, sock, sock.fileno()
        self.state = State.READING
        self.allow(constants.IDLE_S)
        self.plain: Plain | None = None  # the head of its last request
        self.data = b""  # what has come of a request, and h11 has not been given
        self.begun = False  # the head of that request is known, its body has yet to come
        self.http: h11.Connection | None = None
        self.through = False  # the request goes through h11, as all that comes before its answer
        self.raw: bytes | None = b""  # what h11 has been given, until it tells of the head; None: not known
        self.request: tuple[str, str] | None = None  # method and target, once h11 has told
        self.parts: list[bytes] = []
        self.size = 0
        self.out = b""  # of the answer, what the client has yet to take
        self.closing = False  # after the answer
        self.heard = IN  # events that epoll tells of
        server.poll.watch(self, self.fd)

    def allow(self, seconds: float) -> None:
        self.deadline = now() + seconds

    def ready(self, event: int) -> None:
        if self.state is State.READING:
            if event:
                try:
                    data = self.sock.recv(16384)
                except BlockingIOError:
                    return
                except OSError:
                    return self.close()
                self.try_take(data)
            elif self.through:
                self.events()
            elif self.data:
                self.cut()
        elif self.state is State.WRITING:
            self.write()
        elif self.state is State.HANDLING:
            self.hear(0)  # for a hang-up, or more requests, there is time when this one has its answer

    def hear(self, events: int) -> None:
        """Not even errors where ``events`` is 0."""
        if events != self.heard:
            poll = self.server.poll
            if not events:
                poll.unwatch(self.fd)
            elif self.heard:
                poll.change(self.fd, events)
            else:
                poll.watch(self, self.fd, events)
            self.heard = events

    # -- requests

    def try_take(self, data: bytes) -> None:
        """What the client has sent; nothing: no more will come."""
        if self.through:
            if self.request is None and self.raw is not None:
                self.raw += data
            self.http.receive_data(data)
            self.events()
        elif data:
            self.data = self.data + data if self.data else data
            self.cut()
        elif self.data:
            self.parse()
            if self.state is State.READING:
                self.try_take(b"")
        else:
            self.close()

    def cut(self) -> None:
        """The request at the front of ``data``, or to h11 with it."""
        data = self.data
        for plain in (self.plain, self.server.report, self.server.question):
            begin, end = plain.find(data) if plain is not None else (0, 0)
            if begin:
                self.plain = plain
                break
        if not begin:
            self.parse()
        elif end <= len(data):
            self.data = data[end:]
            method, target = plain.meaning
            if plain.method:
                target = data[len(plain.method) : data.find(b" ", len(plain.method))].decode()
            self.handle(method, target, data[begin:end])
        elif self.begun:
            self.parse()  # in many pieces, which are to be put together once
        else:
            self.begun = True
            self.allow(constants.REQUEST_S)

    def parse(self) -> None:
        if self.http is None:
            self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=16 * 1024)
        self.through, self.raw, self.data = True, self.data, b""
        self.http.receive_data(self.raw)
        self.events()

    def events(self) -> None:
        http = self.http
        try:
            while True:
                event = http.next_event()
                if event is h11.NEED_DATA:
                    if http.they_are_waiting_for_100_continue:
                        more = http.send(h11.InformationalResponse(status_code=100, headers=[]))
                        if self.sock.send(more) < len(more):
                            self.close()  # it takes less than a line
                    return
                if self.request is None:
                    if not isinstance(event, h11.Request):
                        return self.close()
                    self.learn(event)
                    self.request = event.method.decode(), event.target.decode("latin-1")
                    self.parts, self.size = [], 0
                    if not self.begun:
                        self.allow(constants.REQUEST_S)
                elif isinstance(event, h11.Data):
                    self.size += len(event.data)
                    if self.size > constants.MAX_BODY:
                        return self.refuse(413, b'{"error":"body too large"}')
                    self.parts.append(bytes(event.data))
                elif isinstance(event, h11.EndOfMessage):
                    return self.handle(*self.request, b"".join(self.parts))
                else:
                    raise h11.RemoteProtocolError("request cut short")
        except h11.RemoteProtocolError as error:
            if http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
                return self.refuse(error.error_status_hint, b'{"error":"malformed"}')
            self.close()
        except OSError:
            self.close()

    def learn(self, request: h11.Request) -> None:
        plain = learn(self.raw, request) if self.raw else None
        self.raw = None
        if plain is not None:
            self.plain = plain
            if plain.method:
                self.server.question = plain
            else:
                self.server.report = plain

    def handle(self, method: str, target: str, body: bytes) -> None:
        self.state = State.HANDLING
        self.deadline = float("inf")  # what the handler waits for is bounded there
        try:
            answer = self.server.handler(method, target, body, self.respond)
        except Exception:
            answer = self.failed(method, target)
        if isinstance(answer, tuple):
            self.respond(answer)
        elif answer is not None:
            self.server.poll.begin(self.finish, answer, method, target)

    async def finish(self, answer: Awaitable[Answer], method: str, target: str) -> None:
        try:
            done = await answer
        except Exception:
            done = self.failed(method, target)
        except BaseException:
            self.close()  # the task is ended: nobody would answer
            raise
        self.respond(done)

    def failed(self, method: str, target: str) -> Answer:
        log.exception("request state=failed method=%s target=%s", method, target)
        return 500, b'{"error":"internal"}', []

    # -- answers

    def refuse(self, status: int, body: bytes) -> None:
        self.state, self.closing = State.HANDLING, True
        self.respond((status, body, [("Connection", "close")]))

    def respond(self, answer: Answer) -> None:
        """To the request that is handled; to none where the connection has ended."""
        if self.state is not State.HANDLING:
            return
        status, body, extra = answer
        if self.through:
            send = self.http.send
            try:
                data = send(_response(status, len(body), tuple(extra))) + send(h11.Data(data=body)) + send(_END)
            except h11.ProtocolError:
                return self.close()
        else:
            before, after = _head(status, tuple(extra))
            data = b"%b%d%b%b" % (before, len(body), after, body)
        self.state, self.out = State.WRITING, data
        self.allow(constants.REQUEST_S)
        self.write()

    def write(self) -> None:
        try:
            sent = self.sock.send(self.out)
        except BlockingIOError:
            sent = 0
        except OSError:
            return self.close()
        if sent < len(self.out):
            self.out = self.out[sent:]
            self.hear(OUT)
        else:
            self.answered()

    def answered(self) -> None:
        self.out = b""
        if self.through:
            http = self.http
            if self.closing or http.our_state is not h11.DONE or http.their_state is not h11.DONE:
                return self.close()
            http.start_next_cycle()
            self.request, self.through = None, bool(http.trailing_data[0])
        self.state, self.begun = State.READING, False
        self.allow(constants.IDLE_S)
        self.hear(IN)
        if self.through or self.data:
            self.server.poll.again(self)

    def close(self) -> None:
        if self.state is not State.CLOSED:
            self.state = State.CLOSED
            self.hear(0)
            self.sock.close()
            self.server.open.discard(self)


class Server:
    """Serves requests one after the other on each connection, all of it bounded.

    A handler answers at once, or returns what is awaited in a task of its own, or None: then it answers through
    its last argument.
    """

    def __init__(self, handler: Handler, max_connections: int, poll: Poll) -> None:
        self.handler, self.max_connections, self.poll = handler, max_connections, poll
        self.open: set[Connection] = set()
        self.report: Plain | None = None  # heads of the last requests that h11 has parsed, by POST and by GET:
        self.question: Plain | None = None  # most others are like them

    async def serve(self, host: str, port: int) -> None:
        listener = Listener(self.poll, listening(host, port, 512), self.accepted)
        try:
            await self.sweep(listener)
        finally:
            listener.close()

    async def sweep(self, listener: Listener) -> None:
        """End what is overdue. One look a second costs less than a timer around each step of each request."""
        while True:
            await curio.sleep(constants.OVERDUE_CHECK_S)
            listener.resume()
            for connection in [one for one in self.open if now() > one.deadline]:
                connection.close()

    def accepted(self, client: socket.socket) -> None:
        if len(self.open) >= self.max_connections:
            return client.close()
        try:
            client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.open.add(Connection(self, client))
        except OSError:
            client.close()


@functools.lru_cache(maxsize=64)
def _ask(host: str, method: str, shape: str) -> tuple[bytes, bytes]:
    """What h11 writes before and after the length; ``shape`` is the target with its numbers as 0."""
    before, after = _request(h11.Connection(h11.CLIENT), host, method, shape, b"").split(b"Content-Length: 0", 1)
    return before + b"Content-Length: ", after


def _request(http: h11.Connection, host: str, method: str, target: str, body: bytes) -> bytes:
    headers = [("Host", host), ("Content-Length", str(len(body)))]
    data = http.send(h11.Request(method=method, target=target, headers=headers))
    return data + (http.send(h11.Data(data=body)) if body else b"") + http.send(_END)


class Client:
    """Keep-alive connections to one address."""

    def __init__(self, host: str, port: int, keep: int = 6) -> None:
        self.host, self.port, self.keep = host, port, keep
        self.idle: list[curio.io.Socket] = []

    async def request(self, method: str, target: str, body: bytes = b"", timeout_s: float = 2.0) -> tuple[int, bytes]:
        """Status and body; ``UnansweredError`` where there is none in time."""
        try:
            return await curio.timeout_after(timeout_s, self._request, method, target, body)
        except (OSError, h11.ProtocolError, curio.TaskTimeout, EOFError) as error:
            raise UnansweredError(f"{method} {target}: {error!r}") from None

    async def _request(self, method: str, target: str, body: bytes) -> tuple[int, bytes]:
        while self.idle:
            sock = self.idle.pop()
            try:
                return await self._exchange(sock, method, target, body)
            except (OSError, h11.ProtocolError, EOFError):
                if method != "GET":  # it may have been carried out: the caller decides
                    raise
        try:
            sock = await curio.timeout_after(constants.CONNECT_S, connect, self.host, self.port)
        except curio.TaskTimeout:
            # Left to escape into the outer timeout it would be an error of its own, met by nobody.
            raise TimeoutError("connect") from None
        return await self._exchange(sock, method, target, body)

    async def _exchange(self, sock: curio.io.Socket, method: str, target: str, body: bytes) -> tuple[int, bytes]:
        try:
            reading = Reading(self.host, method, target, body)
            await sock.sendall(reading.request)
            while (answer := reading.feed(await read(sock, 65536))) is None:
                pass
            if answer[2] and len(self.idle) < self.keep:
                self.idle.append(sock)
                sock = None
            return answer[:2]
        finally:
            if sock is not None:
                await sock.close()


class Exchange:
    """One request on a connection of its own, which nothing waits for: ``done`` is called with the answer, or None."""

    def __init__(
        self, poll: Poll, host: str, port: int, reading: Reading, done: Callable[[tuple[int, bytes] | None], None]
    ) -> None:
        self.poll, self.reading, self.done = poll, reading, done
        self.rest = reading.request
        self.began_at = now()
        self.ended = self.connected = False
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setblocking(False)
        if self.sock.connect_ex((host, port)) in (0, errno.EINPROGRESS):
            poll.watch(self, self.sock.fileno(), OUT)
        else:
            poll.again(self)

    def ready(self, event: int) -> None:
        if self.ended:
            return
        try:
            if not event:
                return self.end(None)
            if self.rest:
                self.rest = self.rest[self.sock.send(self.rest) :]
                self.connected = True
                if not self.rest:
                    self.poll.change(self.sock.fileno(), IN)
                return
            answer = self.reading.feed(self.sock.recv(65536))
            if answer is not None:
                self.end(answer[:2])
        except BlockingIOError:
            pass
        except (OSError, h11.ProtocolError, EOFError):
            self.end(None)

    def overdue(self, now: float, limit_s: float) -> bool:
        return now - self.began_at > (limit_s if self.connected else min(limit_s, constants.CONNECT_S))

    def close(self) -> None:
        self.end(None)

    def end(self, answer: tuple[int, bytes] | None) -> None:
        if not self.ended:
            self.ended = True
            self.poll.unwatch(self.sock.fileno())
            self.sock.close()
            self.done(answer)


class Reading:
    """A request, and its answer put together from what comes."""

    def __init__(self, host: str, method: str, target: str, body: bytes) -> None:
        self.asked = host, method, target, body
        shape = _NUMBER.sub("0", target)
        before, after = _ask(host, method, shape)
        self.request = b"%b%d%b%b" % (before.replace(shape.encode(), target.encode(), 1), len(body), after, body)
        self.data = b""  # what has come; once h11 has it, up to the end of the head
        self.http: h11.Connection | None = None
        self.status = 0
        self.parts: list[bytes] = []

    def feed(self, data: bytes) -> tuple[int, bytes, bool] | None:
        """Status, body, and whether the connection may stay, once all is there. ``data``: b"" where no more will come.

        ``h11.ProtocolError`` and ``EOFError`` where it is no answer.
        """
        if not self.status:
            self.data = self.data + data if self.data else data
        if self.http is None:
            plain = next((one for one in _answers if self.data.startswith(one.before)), None)
            begin, end = plain.find(self.data) if plain is not None else (0, 0)
            if begin and end == len(self.data):
                return plain.meaning, self.data[begin:], True
            if begin and end > len(self.data) and data:
                return None
            # Like no answer before.
            self.http = h11.Connection(h11.CLIENT)
            _request(self.http, *self.asked)
            if self.data:
                self.http.receive_data(self.data)
            if data:
                return self.events()
        self.http.receive_data(data)
        return self.events()

    def events(self) -> tuple[int, bytes, bool] | None:
        while True:
            event = self.http.next_event()
            if event is h11.NEED_DATA:
                return None
            if isinstance(event, h11.Response):
                self.status, plain = event.status_code, learn(self.data, event)
                if plain is not None and plain not in _answers:
                    _answers.append(plain)
            elif isinstance(event, h11.Data):
                self.parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                http = self.http
                whole = http.our_state is h11.DONE and http.their_state is h11.DONE
                return self.status, b"".join(self.parts), whole and http.trailing_data == (b"", False)
            elif isinstance(event, h11.ConnectionClosed):
                raise EOFError("closed")


_answers: deque[Plain] = deque(maxlen=8)  # heads of answers, the last ones learnt
