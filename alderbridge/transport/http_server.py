"""HTTP/1.1 server on h11 and ``EpollSelector``: limits, timeouts, and a fast path for heads that h11 has parsed
before.
"""

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
from alderbridge.transport.cached_head import CachedHead, cacheable_head
from alderbridge.transport.selector import IN, OUT, EpollSelector, Listener, open_listening_socket

log = logging.getLogger("http")
now = time.monotonic

RawResponse = tuple[int, bytes, list[tuple[str, str]]]  # status, body, additional headers
Handler = Callable[[str, str, bytes, Callable[[RawResponse], None]], RawResponse | Awaitable[RawResponse] | None]

_END = h11.EndOfMessage()
_READ_BYTES = 16 * 1024  # limit of one read
_MAX_HEAD_BYTES = 16 * 1024
_BACKLOG = 512  # of listen(): connections that are not accepted yet


def _response(status: int, length: int, extra: tuple[tuple[str, str], ...]) -> h11.Response:
    return h11.Response(
        status_code=status, headers=[("Content-Type", "application/json"), ("Content-Length", str(length)), *extra]
    )


@functools.lru_cache(maxsize=256)
def _response_head(status: int, extra: tuple[tuple[str, str], ...]) -> tuple[bytes, bytes]:
    """What h11 writes before and after the length of the body, on a keep-alive connection."""
    http = h11.Connection(h11.SERVER)
    http.receive_data(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
    http.next_event()
    before, after = http.send(_response(status, 0, extra)).split(b"Content-Length: 0")
    return before + b"Content-Length: ", after


class ConnectionState(Enum):
    """What a client connection waits for."""

    READING = "reading"  # for a request or the rest of one
    HANDLING = "handling"  # for the handler of the request
    WRITING = "writing"  # for the client to take the rest of the response
    CLOSED = "closed"


class Connection:
    """One client connection, and the deadline of its current state.

    A request whose head is cached is split off the received bytes directly. h11 parses all others, and alone decides
    what is a valid request. No method blocks.
    """

    __slots__ = (
        "server",
        "sock",
        "fd",
        "state",
        "deadline",
        "cached_head",
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
        """Start reading from a client; ``sock`` is non-blocking."""
        self.server, self.sock, self.fd = server, sock, sock.fileno()
        self.state = ConnectionState.READING
        self.set_deadline(constants.KEEP_ALIVE_TIMEOUT_S)
        self.cached_head: CachedHead | None = None  # head of its last cacheable request
        self.data = b""  # received bytes that h11 was not given
        self.head_received = False  # the current request has its head, but not its whole body
        self.http: h11.Connection | None = None
        self.uses_h11 = False  # for this request and all that arrives before its response
        self.h11_input: bytes | None = b""  # given to h11 until it parsed the head; None: not tracked
        self.request: tuple[str, str] | None = None  # method and target, parsed by h11
        self.body_parts: list[bytes] = []
        self.body_size = 0
        self.unsent = b""  # rest of the response
        self.closes_after_response = False
        self.watched_events = IN  # events that epoll reports; 0: not registered
        server.poll.watch(self, self.fd)

    def set_deadline(self, seconds: float) -> None:
        """The connection is closed if its state does not change within this time."""
        self.deadline = now() + seconds

    def ready(self, event: int) -> None:
        """Continue with the request or the response."""
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
            self.watch_for(0)  # a hang-up or the next request is handled after this response

    def watch_for(self, events: int) -> None:
        """Have epoll report only these events; 0: none, not even errors."""
        if events != self.watched_events:
            poll = self.server.poll
            if not events:
                poll.unwatch(self.fd)
            elif self.watched_events:
                poll.change(self.fd, events)
            else:
                poll.watch(self, self.fd, events)
            self.watched_events = events

    def receive(self, data: bytes) -> None:
        """Process bytes from the client; b"": it has closed its side."""
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
        """Handle the request at the front of ``data`` if its head is cached; else pass all to h11."""
        data = self.data
        for cached in (self.cached_head, self.server.cached_post_head, self.server.cached_get_head):
            begin, end = cached.body_bounds(data) if cached is not None else (0, 0)
            if begin:
                self.cached_head = cached
                break
        if not begin:
            self.parse_with_h11()
        elif end <= len(data):
            self.data = data[end:]
            method, target = cached.parsed
            if cached.method:
                target = data[len(cached.method) : data.find(b" ", len(cached.method))].decode()
            self.handle(method, target, data[begin:end])
        elif self.head_received:
            self.parse_with_h11()  # h11 joins a body of many pieces once, not at each read
        else:
            self.head_received = True
            self.set_deadline(constants.REQUEST_TIMEOUT_S)

    def parse_with_h11(self) -> None:
        """Pass the received part of a request to h11, which also gets the rest."""
        if self.http is None:
            self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=_MAX_HEAD_BYTES)
        self.uses_h11, self.h11_input, self.data = True, self.data, b""
        self.http.receive_data(self.h11_input)
        self.read_h11_events()

    def read_h11_events(self) -> None:
        """Process the events that h11 has; refuse a malformed request."""
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
        """Assemble the request from h11's events. Raises errors of h11 and of the socket."""
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
                if self.body_size > constants.MAX_BODY_BYTES:
                    self.refuse(413, b'{"error":"body too large"}')
                    return
                self.body_parts.append(bytes(event.data))
            else:
                raise h11.RemoteProtocolError("request cut short")
        if http.they_are_waiting_for_100_continue:
            self.send_continue()

    def begin_request(self, request: h11.Request) -> None:
        """Start a request whose head h11 has parsed."""
        self.cache_head(request)
        self.request = request.method.decode(), request.target.decode("latin-1")
        self.body_parts, self.body_size = [], 0
        if not self.head_received:
            self.set_deadline(constants.REQUEST_TIMEOUT_S)

    def send_continue(self) -> None:
        """Send "100 Continue": the client waits for it before it sends the body."""
        data = self.http.send(h11.InformationalResponse(status_code=100, headers=[]))
        if self.sock.send(data) < len(data):
            self.close()  # the send buffer has no space for one line

    def cache_head(self, request: h11.Request) -> None:
        """Cache a head that h11 has parsed, for this connection and for the others."""
        cached = cacheable_head(self.h11_input, request) if self.h11_input else None
        self.h11_input = None
        if cached is not None:
            self.cached_head = cached
            if cached.method:
                self.server.cached_get_head = cached
            else:
                self.server.cached_post_head = cached

    def handle(self, method: str, target: str, body: bytes) -> None:
        """Call the handler, which returns its answer, an awaitable of it, or None; see ``Server``."""
        self.state = ConnectionState.HANDLING
        self.deadline = float("inf")  # the handler has its own timeouts
        try:
            answer = self.server.handler(method, target, body, self.respond)
        except Exception:
            answer = self.internal_error(method, target)
        if isinstance(answer, tuple):
            self.respond(answer)
        elif answer is not None:
            self.server.poll.spawn(self.respond_when_done, answer, method, target)

    async def respond_when_done(self, pending: Awaitable[RawResponse], method: str, target: str) -> None:
        """Await the handler's answer and send the response."""
        try:
            answer = await pending
        except Exception:
            answer = self.internal_error(method, target)
        except BaseException:
            self.close()  # the task is cancelled, so no response can be sent
            raise
        self.respond(answer)

    def internal_error(self, method: str, target: str) -> RawResponse:
        """Log the exception of a handler; return the answer to its request."""
        log.exception("request state=failed method=%s target=%s", method, target)
        return 500, b'{"error":"internal"}', []

    def refuse(self, status: int, body: bytes) -> None:
        """Respond to an invalid request, and close the connection."""
        self.state, self.closes_after_response = ConnectionState.HANDLING, True
        self.respond((status, body, [("Connection", "close")]))

    def respond(self, answer: RawResponse) -> None:
        """Respond to the request that is being handled; does nothing if the connection is closed."""
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
        self.set_deadline(constants.REQUEST_TIMEOUT_S)
        self.write()

    def write(self) -> None:
        """Send as much of the response as the socket accepts."""
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
        """Wait for the next request, or close the connection."""
        self.unsent = b""
        if self.uses_h11:
            http = self.http
            if self.closes_after_response or http.our_state is not h11.DONE or http.their_state is not h11.DONE:
                self.close()
                return
            http.start_next_cycle()
            self.request, self.uses_h11 = None, bool(http.trailing_data[0])
        self.state, self.head_received = ConnectionState.READING, False
        self.set_deadline(constants.KEEP_ALIVE_TIMEOUT_S)
        self.watch_for(IN)
        if self.uses_h11 or self.data:
            self.server.poll.schedule_ready(self)

    def close(self) -> None:
        """Close the connection, whether or not the response was sent."""
        if self.state is not ConnectionState.CLOSED:
            self.state = ConnectionState.CLOSED
            self.watch_for(0)
            self.sock.close()
            self.server.connections.discard(self)


class Server:
    """Serves the requests of each connection in order, with limits on time, size and number of connections.

    A handler returns its answer, or an awaitable of it, which is run in a new task, or None: it then calls its last
    argument with the answer later.
    """

    def __init__(self, handler: Handler, max_connections: int, poll: EpollSelector) -> None:
        """``max_connections``: connections beyond this limit are closed at once."""
        self.handler, self.max_connections, self.poll = handler, max_connections, poll
        self.connections: set[Connection] = set()
        # Heads of the latest cacheable requests that h11 parsed; most requests have the same.
        self.cached_post_head: CachedHead | None = None
        self.cached_get_head: CachedHead | None = None

    async def serve(self, host: str, port: int) -> None:
        """Accept connections until this is cancelled."""
        listener = Listener(self.poll, open_listening_socket(host, port, _BACKLOG), self.on_accept)
        try:
            await self.close_overdue(listener)
        finally:
            listener.close()

    async def close_overdue(self, listener: Listener) -> None:
        """Close overdue connections. A periodic check costs less than a timer around each step of each request."""
        while True:
            await curio.sleep(constants.OVERDUE_CHECK_INTERVAL_S)
            listener.resume()
            for connection in [each for each in self.connections if now() > each.deadline]:
                connection.close()

    def on_accept(self, client: socket.socket) -> None:
        """Serve a new connection, or close it if there are too many."""
        if len(self.connections) >= self.max_connections:
            return client.close()
        try:
            client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.connections.add(Connection(self, client))
        except OSError:
            client.close()
