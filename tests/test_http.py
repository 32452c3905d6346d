"""The pure edges of the network: frames in pieces, connections that are overdue."""

import itertools
import random
import socket

import curio
import msgspec
import pytest

from alderbridge import constants
from alderbridge.protocol import messages
from alderbridge.transport import errors, http_client, http_response, http_server, mesh
from alderbridge.transport.selector import OUT, Poll

GET = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
with socket.create_server(("127.0.0.1", 0)) as free:
    PORT = free.getsockname()[1]


async def nothing():
    pass


def frames(count):
    return [
        messages.Frame("v", "host-1", 7, seq, 0, messages.DrainMachines([f"n-{seq}"] * seq))
        for seq in range(1, count + 1)
    ]


def wired(frame):
    data = msgspec.msgpack.encode(frame)
    return len(data).to_bytes(4, "big") + data


@pytest.mark.parametrize("piece", (1, 3, 17, 1000))
def test_frames_are_found_however_the_bytes_arrive(piece):
    sent = frames(6)
    data = b"".join(map(wired, sent))
    buffer, got = bytearray(), []
    for at in range(0, len(data), piece):
        buffer += data[at : at + piece]
        got += mesh.split_frames(buffer)
    assert got == sent and not buffer


def test_a_frame_beyond_any_real_one_is_an_error():
    with pytest.raises(msgspec.DecodeError):
        list(mesh.split_frames(bytearray((constants.MAX_FRAME + 1).to_bytes(4, "big"))))


def test_an_overdue_connection_is_ended_and_others_go_on(monkeypatch):
    monkeypatch.setattr(constants, "OVERDUE_CHECK_S", 0.0)
    clock = [100.0]
    monkeypatch.setattr(http_server, "now", lambda: clock[0])

    poll = Poll()
    server = http_server.Server(lambda *_request: (200, b"{}", []), 2, poll)

    async def play():
        serving = [await curio.spawn(poll.serve, nothing), await curio.spawn(server.serve, "127.0.0.1", PORT)]
        await curio.sleep(0)
        ends = [await curio.open_connection("127.0.0.1", PORT) for _ in range(3)]
        assert await ends[2].recv(1000) == b""  # one more than there may be
        await ends[0].sendall(b"GET / HT")  # and no more
        await ends[1].sendall(GET)
        assert b"200" in await ends[1].recv(1000)
        clock[0] += constants.IDLE_S - 1.0
        await ends[1].sendall(GET)
        assert b"200" in await ends[1].recv(1000)
        clock[0] += 2.0
        assert await ends[0].recv(1000) == b""
        await ends[1].sendall(GET)
        assert b"200" in await ends[1].recv(1000)
        for one in (*serving, *ends):
            await (one.cancel() if isinstance(one, curio.Task) else one.close())
        for one in list(server.open):
            one.close()

    curio.run(curio.timeout_after, 20.0, play, selector=poll)


class Sock:
    """A client in memory; takes at most some bytes at once."""

    def __init__(self, pieces, most):
        self.pieces, self.most, self.got, self.closed = pieces, most, b"", False

    def fileno(self):
        return -1

    def recv(self, _most):
        return self.pieces.pop(0)

    def send(self, data):
        if self.most() == 0:
            raise BlockingIOError
        size = min(len(data), self.most())
        self.got += data[:size]
        return size

    def close(self):
        self.closed = True


class Ready:
    """Tells a connection that it can go on for as long as it wants to."""

    def __init__(self):
        self.events, self.due, self.begun = 0, [], []

    def watch(self, _one, _fd, events=1):
        self.events = events

    def change(self, _fd, events):
        self.events = events

    def unwatch(self, _fd):
        self.events = 0

    def call_again(self, one):
        self.due.append(one)

    def spawn(self, *call):
        self.begun.append(call)


def talk(pieces, most, late, known):
    """What a server does with these bytes: the requests it handles, its answers, and if it goes on."""
    poll, handled, replies = Ready(), [], []

    def handler(method, target, body, reply):
        handled.append((method, target, body))
        answer = 200 if len(body) % 2 else 503, body[:300] * 3, [("Retry-After", "2")] if len(body) % 3 else []
        if not late:
            return answer
        replies.append((reply, answer))
        return None

    server = http_server.Server(handler, 1, poll)
    sock = Sock([*pieces, b""], most)
    connection = http_server.Connection(server, sock)
    for _ in range(100_000):
        if not known:
            server.known_post_head = server.known_get_head = connection.known_head = None
        if replies:
            connection.ready(1)  # more comes meanwhile: it has to wait
            reply, answer = replies.pop()
            reply(answer)
        elif poll.due:
            poll.due.pop().ready(0)
        elif poll.events and not sock.closed and (sock.pieces or poll.events == OUT):
            connection.ready(poll.events)
        else:
            break
    assert not sock.pieces or sock.closed
    return handled, sock.got, sock.closed


def requests(rng):
    heads = [
        b"POST /agent/beat HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n",
        b"POST /v1/jobs HTTP/1.1\r\ncontent-length:%d\r\nHost: x\r\n\r\n",
        b"POST /agent/beat HTTP/1.1\r\nHost: x\r\nContent-Length: 0%d \r\n\r\n",
    ]
    odd = [
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
            yield heads[0] % (constants.MAX_BODY + rng.choice((0, 1))) + b"x" * (constants.MAX_BODY + 1)
        else:
            yield (rng.choice(odd) if rng.random() < 0.06 else rng.choice(heads)) % size + body


@pytest.mark.parametrize("seed", range(120))
def test_a_request_whose_head_is_known_fares_as_through_h11(seed):
    """However the bytes are split, whatever comes between, and with a client that is slow to take its answers."""
    rng = random.Random(seed)
    parts = list(requests(rng))
    if rng.random() < 0.3:
        parts[-1] = parts[-1][: rng.randint(0, len(parts[-1]))]
    if rng.random() < 0.7:  # split near where they meet, or anywhere
        whole, near = b"".join(parts), rng.random() < 0.5
        ends = [end + rng.randint(-5, 5) for end in itertools.accumulate(map(len, parts))] if near else []
        ends = [0, *sorted(min(max(end, 0), len(whole)) for end in ends), len(whole)]
        parts = [whole[begin:end] for begin, end in itertools.pairwise(ends)]
    pieces, largest = [], rng.choice((3, 50, 1000, 65536) if sum(map(len, parts)) < 50_000 else (1000, 65536))
    for data in parts:
        while data:
            size = rng.randint(1, largest)
            pieces, data = [*pieces, data[:size]], data[size:]
    late, most = rng.random() < 0.5, rng.choice((50, 2000, 10**6))
    slow = [random.Random(seed), random.Random(seed)]
    results = [talk(pieces, lambda known=known: slow[known].randint(0, most), late, known) for known in (0, 1)]
    assert results[0] == results[1]


@pytest.mark.parametrize("seed", range(40))
def test_an_answer_whose_head_is_known_is_read_as_through_h11(seed, monkeypatch):
    """However it is split, cut short or followed by more; and the connection stays or goes as it would."""
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

    class There:
        async def sendall(self, data):
            self.sent = data

        async def close(self):
            pass

    async def read(there, _most):
        return there.pieces.pop(0) if there.pieces else b""

    async def connect(*_address):
        return There()

    monkeypatch.setattr(http_client, "read", read)
    monkeypatch.setattr(http_client, "connect", connect)

    async def play(known):
        results = []
        for pieces in answers:
            if not known:
                http_response._known_heads.clear()
            there, body = There(), b"q" * rng.choice((0, 3))
            there.pieces, client = list(pieces), http_client.Client("h", 1)
            client.idle.append(there)
            try:
                answer = await client.request("POST", "/holds/107/extend", body)
            except errors.UnansweredError:
                answer = None
            head = b"POST /holds/107/extend HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
            assert there.sent == head % len(body) + body
            results.append((answer, client.idle == [there]))
        return results

    assert curio.run(play, False) == curio.run(play, True)


def test_a_connect_that_hangs_is_no_answer(monkeypatch):
    """It used to escape as another error, and the records of that transaction were forgotten."""
    monkeypatch.setattr(constants, "CONNECT_S", 0.01)

    async def hang(*_address):
        await curio.sleep(60.0)

    monkeypatch.setattr(http_client, "connect", hang)
    with pytest.raises(errors.UnansweredError):
        curio.run(http_client.Client("127.0.0.1", 1).request, "GET", "/kv")


def test_a_body_for_several_peers_is_encoded_once_into_the_same_bytes():
    encode = mesh.Encoder()
    body = messages.DrainMachines(["n-1", "n-2"])
    for frame in (
        messages.Frame("v", "host-1", 7, 0, 3, body),
        messages.Frame("v", "host-1", 7, 9, 4, body),
        *frames(3),
    ):
        assert encode(frame) == wired(frame)


def test_what_a_full_socket_does_not_take_is_written_later_in_order():
    """Written past a task's wake-up, nothing may be lost or swapped when the socket is full."""
    sent = [messages.Frame("v", "host-0", 7, seq, 0, messages.DrainMachines(["n" * 100_000])) for seq in range(1, 60)]

    poll = Poll()

    async def play():
        got = []

        def deliver(frames):
            got.extend(frame.seq for frame in frames)

        listener = curio.tcp_server_socket("127.0.0.1", 0)
        port = listener.getsockname()[1]
        there = mesh.Mesh("127.0.0.1:1", {}, deliver, poll)
        here = mesh.Mesh("127.0.0.1:1", {"peer": f"127.0.0.1:{port}"}, deliver, poll)
        sender = await curio.spawn(here.send_to, "peer")
        client, _ = await listener.accept()
        while "peer" not in here.open:
            await curio.sleep(0.01)
        for frame in sent:
            here.put("peer", frame)
            await here.flush()
        reader = mesh.IncomingConnection(there, client._socket)
        serving = await curio.spawn(poll.serve, nothing)
        for _ in range(500):
            if len(got) == len(sent):
                break
            await curio.sleep(0.01)
        await sender.cancel()
        await serving.cancel()
        reader.close()
        await listener.close()
        return got

    assert curio.run(play, selector=poll) == [frame.seq for frame in sent]


def test_what_is_ready_together_is_handled_before_one_that_comes_after():
    """A fault of one connection is its own; a timer of the kernel's and the alarm go off while nothing comes."""
    poll, seen, after = Poll(0.02), [], []

    class One:
        def __init__(self, name):
            self.name = name
            self.sock, self.there = socket.socketpair()
            poll.watch(self, self.sock.fileno())

        def ready(self, _event):
            seen.append((self.name, self.sock.recv(100)))
            if self.name == 2:
                raise ValueError

        def close(self):
            poll.unwatch(self.sock.fileno())
            seen.append((self.name, None))

    async def later():
        seen.append("later")

    async def note():
        after.append((http_server.now(), list(seen)))

    async def play():
        serving = await curio.spawn(poll.serve, note)
        await curio.sleep(0)
        ones = [One(number) for number in range(4)]
        for one in ones:
            one.there.send(b"x")
        poll.spawn(later)
        while not after or seen[-1] != "later":
            await curio.sleep(0.01)
        assert set(after[0][1]) == {(0, b"x"), (1, b"x"), (2, b"x"), (2, None), (3, b"x")}
        poll.wake_at = due = http_server.now() + 0.03
        count = len(after)
        while len(after) == count:
            await curio.sleep(0.01)
        assert count == 1 and after[count][0] >= due
        await serving.cancel()
        for one in ones:
            one.sock.close()
            one.there.close()

    curio.run(curio.timeout_after, 20.0, play, selector=poll)


def test_what_h11_had_the_beginning_of_is_not_taken_for_a_head():
    """A rest of a head, remembered as a whole one, would match whatever begins like it."""
    pieces = [GET + b"GET /a HTTP/1.1\r\nHost: x\r\n", b"\r\n", b"GET /b HTTP/1.1\r\nHost: y\r\n\r\n", GET]
    results = [talk(pieces, lambda: 10**6, False, known) for known in (0, 1)]
    assert results[0] == results[1] and len(results[0][0]) == 4
