"""HTTP/1.1 server by h11 on the poll: limits, timeouts, and a fast path for heads that h11 has parsed before."""

from __future__ import annotations

import functools
import logging
import socket
import time
from collections.abc import Awaitable, Callable
from enum import Enum

import curio
import h11

from alderbridge import constants
from alderbridge.transport.known_head import KnownHead, known_head_of
from alderbridge.transport.selector import IN, OUT, Listener, Poll, listening

log = logging.getLogger("http")
now = time.monotonic

Answer = tuple[int, bytes, list[tuple[str, str]]]  # status, body, headers beside the usual ones
Handler = Callable[[str, str, bytes, Callable[[Answer], None]], Answer | Awaitable[Answer] | None]

_END = h11.EndOfMessage()
_READ_BYTES = 16 * 1024  # at most in one read
_MAX_HEAD_BYTES = 16 * 1024
_BACKLOG = 512  # connections that the system keeps until they are accepted


def _response(status: int, length: int, extra: tuple[tuple[str, str], ...]) -> h11.Response:
    return h11.Response(
        status_code=status, headers=[("Content-Type", "application/json"), ("Content-Length", str(length)), *extra]
    )


@functools.lru_cache(maxsize=256)
def _response_head(status: int, extra: tuple[tuple[str, str], ...]) -> tuple[bytes, bytes]:
    """What h11 writes before and after the length of the body, on a connection that stays open."""
    http = h11.Connection(h11.SERVER)
    http.receive_data(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
    http.next_event()
    before, after = http.send(_response(status, 0, extra)).split(b"Content-Length: 0")
    return before + b"Content-Length: ", after


class ConnectionState(Enum):
    """What a connection of a client waits for."""

    READING = "reading"  # for a request, or the rest of one
    HANDLING = "handling"  # for the handler of the request
    WRITING = "writing"  # for the client to take the rest of the response
    CLOSED = "closed"


class Connection:
    """One client's connection, and until when it may stay in its state.

    A request whose head is known is split off the bytes; all others go through h11, which alone decides what a
    request is. Nothing here waits.
    """

    __slots__ = (
        "server",
        "sock",
        "fd",
        "state",
        "deadline",
        "known_head",
        "data",
        "head_received",
        "uses_h11",
        "h11_input",
        "http",
        "request",
        "body_parts",
        "body_size",
        "unsent",
        "closes_after_response",
        "watched_events",
    )

    def __init__(self, server: Server, sock: socket.socket) -> None:
        """A client has connected; ``sock`` does not block."""
        self.server, self.sock, self.fd = server, sock, sock.fileno()
        self.state = ConnectionState.READING
        self.set_deadline(constants.IDLE_S)
        self.known_head: KnownHead | None = None  # the head of its last request
        self.data = b""  # what has arrived of a request and was not given to h11
        self.head_received = False  # the head of that request is there, but not all of its body
        self.http: h11.Connection | None = None
        self.uses_h11 = False  # for this request, and whatever arrives before its response
        self.h11_input: bytes | None = b""  # what h11 was given, until it has parsed the head; None: not known
        self.request: tuple[str, str] | None = None  # method and target, once h11 has parsed them
        self.body_parts: list[bytes] = []
        self.body_size = 0
        self.unsent = b""  # of the response
        self.closes_after_response = False
        self.watched_events = IN  # events that epoll reports
        server.poll.watch(self, self.fd)

    def set_deadline(self, seconds: float) -> None:
        """The connection is closed if it stays in its state for longer than that."""
        self.deadline = now() + seconds

    def ready(self, event: int) -> None:
        """Go on with the request or the response."""
        if self.state is ConnectionState.READING:
            if event:
                try:
                    data = self.sock.recv(_READ_BYTES)
                except BlockingIOError:
                    return
                except OSError:
                    self.close()
                    return
                self.receive(data)
            elif self.uses_h11:
                self.read_h11_events()
            elif self.data:
                self.split_request()
        elif self.state is ConnectionState.WRITING:
            self.write()
        elif self.state is ConnectionState.HANDLING:
            self.watch_for(0)  # a hang-up, or the next request, can wait until this one has its response

    def watch_for(self, events: int) -> None:
        """Have epoll report these events, and no others; 0: not even errors."""
        if events != self.watched_events:
            poll = self.server.poll
            if not events:
                poll.unwatch(self.fd)
            elif self.watched_events:
                poll.change(self.fd, events)
            else:
                poll.watch(self, self.fd, events)
            self.watched_events = events

    # -- requests

    def receive(self, data: bytes) -> None:
        """Bytes from the client; b"": it sends no more."""
        if self.uses_h11:
            if self.request is None and self.h11_input is not None:
                self.h11_input += data
            self.http.receive_data(data)
            self.read_h11_events()
        elif data:
            self.data = self.data + data if self.data else data
            self.split_request()
        elif self.data:
            self.parse_with_h11()
            if self.state is ConnectionState.READING:
                self.receive(b"")
        else:
            self.close()

    def split_request(self) -> None:
        """Handle the request at the front of ``data`` if its head is known; else give all to h11."""
        data = self.data
        for known in (self.known_head, self.server.known_post_head, self.server.known_get_head):
            begin, end = known.find(data) if known is not None else (0, 0)
            if begin:
                self.known_head = known
                break
        if not begin:
            self.parse_with_h11()
        elif end <= len(data):
            self.data = data[end:]
            method, target = known.meaning
            if known.method:
                target = data[len(known.method) : data.find(b" ", len(known.method))].decode()
            self.handle(method, target, data[begin:end])
        elif self.head_received:
            self.parse_with_h11()  # in many pieces, which h11 puts together only once
        else:
            self.head_received = True
            self.set_deadline(constants.REQUEST_S)

    def parse_with_h11(self) -> None:
        """Give what has arrived of a request to h11, and from now on its rest."""
        if self.http is None:
            self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=_MAX_HEAD_BYTES)
        self.uses_h11, self.h11_input, self.data = True, self.data, b""
        self.http.receive_data(self.h11_input)
        self.read_h11_events()

    def read_h11_events(self) -> None:
        """Go on with the request as far as h11 has it."""
        try:
            self.process_h11_events()
        except h11.RemoteProtocolError as error:
            if self.http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
                self.refuse(error.error_status_hint, b'{"error":"malformed"}')
                return
            self.close()
        except OSError:
            self.close()

    def process_h11_events(self) -> None:
        """Collect the request; raises what h11 and the socket raise."""
        http = self.http
        while (event := http.next_event()) is not h11.NEED_DATA:
            if self.request is None and not isinstance(event, h11.Request):
                self.close()
                return
            if isinstance(event, h11.EndOfMessage):
                self.handle(*self.request, b"".join(self.body_parts))
                return
            if isinstance(event, h11.Request):
                self.begin_request(event)
            elif isinstance(event, h11.Data):
                self.body_size += len(event.data)
                if self.body_size > constants.MAX_BODY:
                    self.refuse(413, b'{"error":"body too large"}')
                    return
                self.body_parts.append(bytes(event.data))
            else:
                raise h11.RemoteProtocolError("request cut short")
        if http.they_are_waiting_for_100_continue:
            self.send_continue()

    def begin_request(self, request: h11.Request) -> None:
        """h11 has parsed a head."""
        self.remember_head(request)
        self.request = request.method.decode(), request.target.decode("latin-1")
        self.body_parts, self.body_size = [], 0
        if not self.head_received:
            self.set_deadline(constants.REQUEST_S)

    def send_continue(self) -> None:
        """The client waits for permission to send the body."""
        data = self.http.send(h11.InformationalResponse(status_code=100, headers=[]))
        if self.sock.send(data) < len(data):
            self.close()  # it takes less than a line

    def remember_head(self, request: h11.Request) -> None:
        """Remember a head that h11 has parsed, for this connection and for the others."""
        known = known_head_of(self.h11_input, request) if self.h11_input else None
        self.h11_input = None
        if known is not None:
            self.known_head = known
            if known.method:
                self.server.known_get_head = known
            else:
                self.server.known_post_head = known

    def handle(self, method: str, target: str, body: bytes) -> None:
        """Call the handler; what it returns says how the response comes."""
        self.state = ConnectionState.HANDLING
        self.deadline = float("inf")  # the handler bounds whatever it waits for
        try:
            answer = self.server.handler(method, target, body, self.respond)
        except Exception:
            answer = self.internal_error(method, target)
        if isinstance(answer, tuple):
            self.respond(answer)
        elif answer is not None:
            self.server.poll.spawn(self.finish, answer, method, target)

    async def finish(self, pending: Awaitable[Answer], method: str, target: str) -> None:
        """Respond with what the handler has yet to finish."""
        try:
            answer = await pending
        except Exception:
            answer = self.internal_error(method, target)
        except BaseException:
            self.close()  # the task is cancelled: there will be no response
            raise
        self.respond(answer)

    def internal_error(self, method: str, target: str) -> Answer:
        """The answer to a request whose handler has raised an exception."""
        log.exception("request state=failed method=%s target=%s", method, target)
        return 500, b'{"error":"internal"}', []

    # -- responses

    def refuse(self, status: int, body: bytes) -> None:
        """Respond to a bad request, and close the connection."""
        self.state, self.closes_after_response = ConnectionState.HANDLING, True
        self.respond((status, body, [("Connection", "close")]))

    def respond(self, answer: Answer) -> None:
        """Respond to the request that is being handled; without effect where the connection has ended."""
        if self.state is not ConnectionState.HANDLING:
            return
        status, body, extra = answer
        if self.uses_h11:
            send = self.http.send
            try:
                data = send(_response(status, len(body), tuple(extra))) + send(h11.Data(data=body)) + send(_END)
            except h11.ProtocolError:
                self.close()
                return
        else:
            before, after = _response_head(status, tuple(extra))
            data = b"%b%d%b%b" % (before, len(body), after, body)
        self.state, self.unsent = ConnectionState.WRITING, data
        self.set_deadline(constants.REQUEST_S)
        self.write()

    def write(self) -> None:
        """Send what the socket takes of the response."""
        try:
            sent = self.sock.send(self.unsent)
        except BlockingIOError:
            sent = 0
        except OSError:
            self.close()
            return
        if sent < len(self.unsent):
            self.unsent = self.unsent[sent:]
            self.watch_for(OUT)
        else:
            self.response_sent()

    def response_sent(self) -> None:
        """Go on to the next request, or close the connection."""
        self.unsent = b""
        if self.uses_h11:
            http = self.http
            if self.closes_after_response or http.our_state is not h11.DONE or http.their_state is not h11.DONE:
                self.close()
                return
            http.start_next_cycle()
            self.request, self.uses_h11 = None, bool(http.trailing_data[0])
        self.state, self.head_received = ConnectionState.READING, False
        self.set_deadline(constants.IDLE_S)
        self.watch_for(IN)
        if self.uses_h11 or self.data:
            self.server.poll.call_again(self)

    def close(self) -> None:
        """End the connection, with or without a response."""
        if self.state is not ConnectionState.CLOSED:
            self.state = ConnectionState.CLOSED
            self.watch_for(0)
            self.sock.close()
            self.server.open.discard(self)


class Server:
    """Serves requests one after the other on each connection, within limits of time, size and number.

    A handler returns its answer, or an awaitable of it, which gets a task of its own, or None: then it calls its last
    argument with the answer.
    """

    def __init__(self, handler: Handler, max_connections: int, poll: Poll) -> None:
        """``max_connections``: more are closed at once."""
        self.handler, self.max_connections, self.poll = handler, max_connections, poll
        self.open: set[Connection] = set()
        # Heads of the last requests that h11 has parsed: most others are like them.
        self.known_post_head: KnownHead | None = None
        self.known_get_head: KnownHead | None = None

    async def serve(self, host: str, port: int) -> None:
        """Accept connections until this is cancelled."""
        listener = Listener(self.poll, listening(host, port, _BACKLOG), self.accepted)
        try:
            await self.close_overdue(listener)
        finally:
            listener.close()

    async def close_overdue(self, listener: Listener) -> None:
        """Close overdue connections. One check a second costs less than a timer around each step of each request."""
        while True:
            await curio.sleep(constants.OVERDUE_CHECK_S)
            listener.resume()
            for connection in [one for one in self.open if now() > one.deadline]:
                connection.close()

    def accepted(self, client: socket.socket) -> None:
        """A new connection, which is closed at once if there are too many."""
        if len(self.open) >= self.max_connections:
            return client.close()
        try:
            client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.open.add(Connection(self, client))
        except OSError:
            client.close()
