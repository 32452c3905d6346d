"""The pure edges of the network: frames in pieces, connections that are overdue."""

import curio
import msgspec
import pytest

from alderbridge import constants as c
from alderbridge import mesh as m
from alderbridge import net


def frames(count):
    return [m.Frame("v", "host-1", 7, seq, 0, m.Drain([f"n-{seq}"] * seq)) for seq in range(1, count + 1)]


def wired(frame):
    data = msgspec.msgpack.encode(frame)
    return len(data).to_bytes(4, "big") + data


@pytest.mark.parametrize("piece", (1, 3, 17, 1000))
def test_frames_are_found_however_the_bytes_arrive(piece):
    sent = frames(6)
    data = b"".join(map(wired, sent))
    buffer, got = bytearray(), []
    for at in range(0, len(data), piece):
        buffer += data[at:at + piece]
        got += m.split_frames(buffer)
    assert got == sent and not buffer


def test_a_frame_beyond_any_real_one_is_an_error():
    with pytest.raises(msgspec.DecodeError):
        list(m.split_frames(bytearray((c.MAX_FRAME + 1).to_bytes(4, "big"))))


def test_an_overdue_connection_is_ended_and_others_go_on(monkeypatch):
    monkeypatch.setattr(c, "SWEEP_S", 0.0)
    clock = [100.0]
    monkeypatch.setattr(net, "now", lambda: clock[0])

    async def answer(_method, _target, _body):
        return 200, b"{}", []

    async def play():
        server = net.Server(answer, 10)
        listener = curio.tcp_server_socket("127.0.0.1", 0)
        ends = []
        for _ in range(2):
            there = await curio.open_connection(*listener.getsockname())
            ends.append(((await listener.accept())[0], there))
        tasks = [await curio.spawn(server._client, here, None) for here, _ in ends]
        await curio.sleep(0)
        await ends[0][1].sendall(b"GET / HT")  # and no more
        clock[0] += c.IDLE_S + 1.0
        await ends[1][1].sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        assert b"200" in await ends[1][1].recv(1000)
        sweep = await curio.spawn(server.sweep)
        await tasks[0].wait()
        assert tasks[0].exception is not None and not tasks[1].terminated
        await sweep.cancel()
        await tasks[1].cancel()
        for here, there in ends:
            await here.close()
            await there.close()
        await listener.close()

    curio.run(curio.timeout_after, 20.0, play)


def test_a_connect_that_hangs_is_no_answer(monkeypatch):
    """It used to escape as another error, and the records of that transaction were forgotten."""
    monkeypatch.setattr(c, "CONNECT_S", 0.01)

    async def hang(*_address):
        await curio.sleep(60.0)

    monkeypatch.setattr(curio, "open_connection", hang)
    with pytest.raises(net.Unanswered):
        curio.run(net.Client("127.0.0.1", 1).request, "GET", "/kv")


def test_a_body_for_several_peers_is_encoded_once_into_the_same_bytes():
    encode = m.Encoder()
    body = m.Drain(["n-1", "n-2"])
    for frame in (m.Frame("v", "host-1", 7, 0, 3, body), m.Frame("v", "host-1", 7, 9, 4, body), *frames(3)):
        assert encode(frame) == wired(frame)


def test_what_a_full_socket_does_not_take_is_written_later_in_order():
    """Written past a task's wake-up, nothing may be lost or swapped when the socket is full."""
    sent = [m.Frame("v", "host-0", 7, seq, 0, m.Drain(["n" * 100_000])) for seq in range(1, 60)]

    async def play():
        got = []

        async def deliver(frames):
            got.extend(frame.seq for frame in frames)

        listener = curio.tcp_server_socket("127.0.0.1", 0)
        port = listener.getsockname()[1]
        there = m.Mesh("127.0.0.1:1", {}, deliver)
        here = m.Mesh("127.0.0.1:1", {"peer": f"127.0.0.1:{port}"}, deliver)
        sender = await curio.spawn(here.send_to, "peer")
        client, _ = await listener.accept()
        while "peer" not in here.open:
            await curio.sleep(0.01)
        for frame in sent:
            here.put("peer", frame)
            await here.flush()
        reader = await curio.spawn(there._incoming, client, None)
        for _ in range(500):
            if len(got) == len(sent):
                break
            await curio.sleep(0.01)
        await sender.cancel()
        await reader.cancel()
        await client.close()
        await listener.close()
        return got

    assert curio.run(play) == [frame.seq for frame in sent]
