"""HTTP client and server, framing, mesh connections and the selector: malformed, split and overdue input."""

import itertools
import random
import socket

import curio
import msgspec
import pytest

from alderbridge import constants
from alderbridge.protocol import messages
from alderbridge.transport import errors, http_client, http_response, http_server, mesh
from alderbridge.transport.selector import OUT, EpollSelector

GET = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
with socket.create_server(("127.0.0.1", 0)) as free_port_socket:
    PORT = free_port_socket.getsockname()[1]


async def do_nothing():
    pass


def frames(count):
    return [
        messages.Frame("v", "host-1", 7, seq, 0, messages.DrainMachines([f"n-{seq}"] * seq))
        for seq in range(1, count + 1)
    ]


def encoded_with_length(frame):
    data = msgspec.msgpack.encode(frame)
    return len(data).to_bytes(4, "big") + data


@pytest.mark.parametrize("piece", (1, 3, 17, 1000))
def test_frames_are_split_correctly_for_any_chunk_size(piece):
    sent = frames(6)
    data = b"".join(map(encoded_with_length, sent))
    buffer, received = bytearray(), []
    for begin in range(0, len(data), piece):
        buffer += data[begin : begin + piece]
        received += mesh.split_frames(buffer)
    assert received == sent and not buffer


def test_a_frame_above_the_size_limit_is_rejected():
    with pytest.raises(msgspec.DecodeError):
        list(mesh.split_frames(bytearray((constants.MAX_FRAME_BYTES + 1).to_bytes(4, "big"))))


def test_an_overdue_connection_is_closed_and_others_stay_open(monkeypatch):
    monkeypatch.setattr(constants, "OVERDUE_CHECK_INTERVAL_S", 0.0)
    clock = [100.0]
    monkeypatch.setattr(http_server, "now", lambda: clock[0])

    poll = EpollSelector()
    server = http_server.Server(lambda *_request: (200, b"{}", []), 2, poll)

    async def run():
        serving = [await curio.spawn(poll.serve, do_nothing), await curio.spawn(server.serve, "127.0.0.1", PORT)]
        await curio.sleep(0)
        clients = [await curio.open_connection("127.0.0.1", PORT) for _ in range(3)]
        assert await clients[2].recv(1000) == b""  # one above max_connections
        await clients[0].sendall(b"GET / HT")  # the rest of the request is never sent
        await clients[1].sendall(GET)
        assert b"200" in await clients[1].recv(1000)
        clock[0] += constants.KEEP_ALIVE_TIMEOUT_S - 1.0
        await clients[1].sendall(GET)
        assert b"200" in await clients[1].recv(1000)
        clock[0] += 2.0
        assert await clients[0].recv(1000) == b""
        await clients[1].sendall(GET)
        assert b"200" in await clients[1].recv(1000)
        for item in (*serving, *clients):
            await (item.cancel() if isinstance(item, curio.Task) else item.close())
        for connection in list(server.connections):
            connection.close()

    curio.run(curio.timeout_after, 20.0, run, selector=poll)


class FakeClientSocket:
    """A client socket in memory; ``accepts()`` is how many bytes a send may take, 0: it would block."""

    def __init__(self, pieces, accepts):
        self.pieces, self.accepts, self.sent_bytes, self.closed = pieces, accepts, b"", False

    def fileno(self):
        return -1

    def recv(self, _max_bytes):
        return self.pieces.pop(0)

    def send(self, data):
        if self.accepts() == 0:
            raise BlockingIOError
        size = min(len(data), self.accepts())
        self.sent_bytes += data[:size]
        return size

    def close(self):
        self.closed = True


class FakePoll:
    """Stands in for ``EpollSelector``: records the watched events and the scheduled calls."""

    def __init__(self):
        self.events, self.scheduled, self.spawned = 0, [], []

    def watch(self, _watched, _fd, events=1):
        self.events = events

    def change(self, _fd, events):
        self.events = events

    def unwatch(self, _fd):
        self.events = 0

    def schedule_ready(self, watched):
        self.scheduled.append(watched)

    def spawn(self, *call):
        self.spawned.append(call)


def run_server(pieces, accepts, deferred, use_cache):
    """Requests that a server handles for these bytes, the bytes of its responses, and whether it closes."""
    poll, handled, replies = FakePoll(), [], []

    def handler(method, target, body, reply):
        handled.append((method, target, body))
        answer = 200 if len(body) % 2 else 503, body[:300] * 3, [("Retry-After", "2")] if len(body) % 3 else []
        if not deferred:
            return answer
        replies.append((reply, answer))
        return None

    server = http_server.Server(handler, 1, poll)
    sock = FakeClientSocket([*pieces, b""], accepts)
    connection = http_server.Connection(server, sock)
    for _ in range(100_000):
        if not use_cache:
            server.cached_post_head = server.cached_get_head = connection.cached_head = None
        if replies:
            connection.ready(1)  # input during handling: it is read after the response
            reply, answer = replies.pop()
            reply(answer)
        elif poll.scheduled:
            poll.scheduled.pop().ready(0)
        elif poll.events and not sock.closed and (sock.pieces or poll.events == OUT):
            connection.ready(poll.events)
        else:
            break
    assert not sock.pieces or sock.closed
    return handled, sock.sent_bytes, sock.closed


def requests(rng):
    heads = [
        b"POST /agent/beat HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n",
        b"POST /v1/jobs HTTP/1.1\r\ncontent-length:%d\r\nHost: x\r\n\r\n",
        b"POST /agent/beat HTTP/1.1\r\nHost: x\r\nContent-Length: 0%d \r\n\r\n",
    ]
    unusual_heads = [
        b"POST / HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: %d\r\n\r\n",
        b"POST / HTTP/1.0\r\nHost: x\r\nContent-Length: %d\r\n\r\n",
        b"POST / HTTP/1.1\nHost: x\nContent-Length: %d\n\n",
        b"POST / HTTP/1.1\r\nHost: x\r\nX: a\r\n b\r\nContent-Length: %d\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\nContent-Length: 7\r\n\r\n",
        b"HEAD / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: -%d\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: x\r\nUpgrade: y\r\nContent-Length: %d\r\n\r\n",
        b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n",
    ]
    for _ in range(rng.randint(1, 12)):
        size = rng.choice((0, 1, 9, 10, 11, 200, 1000, rng.randint(0, 3000)))
        body = bytes(rng.choices(b"ab\r\n", k=size))
        if rng.random() < 0.05:
            yield b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\n\r\n"
        elif rng.random() < 0.2:
            target = rng.choice((b"", b"v1/jobs/wk-1", b"v1/jobs/wk-2", b"a\x7f"))
            yield b"GET /%b HTTP/1.1\r\nHost: %b\r\n\r\n" % (target, rng.choice((b"x", b"y")))
        elif rng.random() < 0.02:
            yield heads[0] % (constants.MAX_BODY_BYTES + rng.choice((0, 1))) + b"x" * (constants.MAX_BODY_BYTES + 1)
        else:
            yield (rng.choice(unusual_heads) if rng.random() < 0.06 else rng.choice(heads)) % size + body


@pytest.mark.parametrize("seed", range(120))
def test_a_request_with_a_cached_head_is_handled_as_by_h11(seed):
    """The fast path and h11 agree for any split of the bytes, any mix of requests, and a client that reads slowly."""
    rng = random.Random(seed)
    parts = list(requests(rng))
    if rng.random() < 0.3:
        parts[-1] = parts[-1][: rng.randint(0, len(parts[-1]))]
    if rng.random() < 0.7:  # split near the boundaries, or anywhere
        whole, near = b"".join(parts), rng.random() < 0.5
        ends = [end + rng.randint(-5, 5) for end in itertools.accumulate(map(len, parts))] if near else []
        ends = [0, *sorted(min(max(end, 0), len(whole)) for end in ends), len(whole)]
        parts = [whole[begin:end] for begin, end in itertools.pairwise(ends)]
    pieces, largest = [], rng.choice((3, 50, 1000, 65536) if sum(map(len, parts)) < 50_000 else (1000, 65536))
    for data in parts:
        while data:
            size = rng.randint(1, largest)
            pieces, data = [*pieces, data[:size]], data[size:]
    deferred, max_sent = rng.random() < 0.5, rng.choice((50, 2000, 10**6))
    send_sizes = [random.Random(seed), random.Random(seed)]
    results = [
        run_server(pieces, lambda cached=cached: send_sizes[cached].randint(0, max_sent), deferred, cached)
        for cached in (0, 1)
    ]
    assert results[0] == results[1]


@pytest.mark.parametrize("seed", range(40))
def test_a_response_with_a_cached_head_is_read_as_by_h11(seed, monkeypatch):
    """The fast path and h11 agree for responses that are split, truncated or followed by data, and on reuse."""
    rng = random.Random(seed)
    heads = [
        b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n",
        b"HTTP/1.1 409 X\r\na: b\r\ncontent-length:%d\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n",
        b"HTTP/1.0 200 OK\r\nx: %d\r\n\r\n",
        b"HTTP/1.1 204 N\r\nContent-Length: %d\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 1%d\r\n\r\n",
    ]
    answers = []
    for _ in range(12):
        size = rng.choice((0, 1, 9, 10, 3000, 70_000))
        data = (rng.choice(heads[:2]) if rng.random() < 0.8 else rng.choice(heads)) % size + b"z" * size
        if rng.random() < 0.1:
            data = data[: rng.randrange(len(data))] if rng.random() < 0.5 else data + b"HTTP"
        pieces, largest = [], rng.choice((1, 30, 100_000)) if size < 100 else 50_000
        while data:
            pieces.append(data[: (cut := rng.randint(1, largest))])
            data = data[cut:]
        answers.append(pieces)

    class FakeSocket:
        async def sendall(self, data):
            self.sent = data

        async def close(self):
            pass

    async def read(sock, _max_bytes):
        return sock.pieces.pop(0) if sock.pieces else b""

    async def connect(*_address):
        return FakeSocket()

    monkeypatch.setattr(http_client, "read", read)
    monkeypatch.setattr(http_client, "connect", connect)

    async def run(use_cache):
        results = []
        for pieces in answers:
            if not use_cache:
                http_response._cached_heads.clear()
            sock, body = FakeSocket(), b"q" * rng.choice((0, 3))
            sock.pieces, client = list(pieces), http_client.Client("h", 1)
            client.idle.append(sock)
            try:
                answer = await client.request("POST", "/holds/107/extend", body)
            except errors.UnansweredError:
                answer = None
            head = b"POST /holds/107/extend HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
            assert sock.sent == head % len(body) + body
            results.append((answer, client.idle == [sock]))
        return results

    assert curio.run(run, False) == curio.run(run, True)


def test_a_connect_timeout_is_reported_as_unanswered(monkeypatch):
    """Guards against a connect timeout that escapes as another error: the caller would drop its records."""
    monkeypatch.setattr(constants, "CONNECT_TIMEOUT_S", 0.01)

    async def hang(*_address):
        await curio.sleep(60.0)

    monkeypatch.setattr(http_client, "connect", hang)
    with pytest.raises(errors.UnansweredError):
        curio.run(http_client.Client("127.0.0.1", 1).request, "GET", "/kv")


def test_a_body_sent_to_several_peers_encodes_to_the_same_bytes_as_a_frame():
    encode = mesh.Encoder()
    body = messages.DrainMachines(["n-1", "n-2"])
    for frame in (
        messages.Frame("v", "host-1", 7, 0, 3, body),
        messages.Frame("v", "host-1", 7, 9, 4, body),
        *frames(3),
    ):
        assert encode(frame) == encoded_with_length(frame)


def test_bytes_that_a_full_socket_does_not_accept_are_written_later_in_order():
    """Guards against lost or reordered frames when ``flush`` fills the socket and the task writes the rest."""
    sent = [messages.Frame("v", "host-0", 7, seq, 0, messages.DrainMachines(["n" * 100_000])) for seq in range(1, 60)]

    poll = EpollSelector()

    async def run():
        received = []

        def deliver(frames):
            received.extend(frame.seq for frame in frames)

        listener = curio.tcp_server_socket("127.0.0.1", 0)
        port = listener.getsockname()[1]
        receiver = mesh.Mesh("127.0.0.1:1", {}, deliver, poll)
        sender = mesh.Mesh("127.0.0.1:1", {"peer": f"127.0.0.1:{port}"}, deliver, poll)
        send_task = await curio.spawn(sender.send_to, "peer")
        client, _ = await listener.accept()
        while "peer" not in sender.sockets:
            await curio.sleep(0.01)
        for frame in sent:
            sender.put("peer", frame)
            await sender.flush()
        incoming = mesh.IncomingConnection(receiver, client._socket)
        serving = await curio.spawn(poll.serve, do_nothing)
        for _ in range(500):
            if len(received) == len(sent):
                break
            await curio.sleep(0.01)
        await send_task.cancel()
        await serving.cancel()
        incoming.close()
        await listener.close()
        return received

    assert curio.run(run, selector=poll) == [frame.seq for frame in sent]


def test_connections_that_are_ready_together_are_handled_in_one_batch():
    """An exception affects only its connection; kernel timers and ``wake_at`` fire without events."""
    poll, events, batches = EpollSelector(0.02), [], []

    class WatchedSocket:
        def __init__(self, name):
            self.name = name
            self.sock, self.peer = socket.socketpair()
            poll.watch(self, self.sock.fileno())

        def ready(self, _event):
            events.append((self.name, self.sock.recv(100)))
            if self.name == 2:
                raise ValueError

        def close(self):
            poll.unwatch(self.sock.fileno())
            events.append((self.name, None))

    async def spawned():
        events.append("spawned")

    async def after_batch():
        batches.append((http_server.now(), list(events)))

    async def run():
        serving = await curio.spawn(poll.serve, after_batch)
        await curio.sleep(0)
        connections = [WatchedSocket(number) for number in range(4)]
        for connection in connections:
            connection.peer.send(b"x")
        poll.spawn(spawned)
        while not batches or events[-1] != "spawned":
            await curio.sleep(0.01)
        assert set(batches[0][1]) == {(0, b"x"), (1, b"x"), (2, b"x"), (2, None), (3, b"x")}
        poll.wake_at = due = http_server.now() + 0.03
        count = len(batches)
        while len(batches) == count:
            await curio.sleep(0.01)
        assert count == 1 and batches[count][0] >= due
        await serving.cancel()
        for connection in connections:
            connection.sock.close()
            connection.peer.close()

    curio.run(curio.timeout_after, 20.0, run, selector=poll)


def test_the_rest_of_a_head_that_h11_began_is_not_cached():
    """Guards against caching the rest of a head as a whole one, which would match any request that starts like it."""
    pieces = [GET + b"GET /a HTTP/1.1\r\nHost: x\r\n", b"\r\n", b"GET /b HTTP/1.1\r\nHost: y\r\n\r\n", GET]
    results = [run_server(pieces, lambda: 10**6, False, use_cache) for use_cache in (0, 1)]
    assert results[0] == results[1] and len(results[0][0]) == 4
