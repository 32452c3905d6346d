"""Connections between controllers: framed messages over TCP, one connection each way."""

from __future__ import annotations

import logging
import socket
import struct
import time
from collections import deque
from collections.abc import Callable, Iterator

import curio
import msgspec

from alderbridge import constants
from alderbridge.protocol.messages import Frame, Message
from alderbridge.settings import address
from alderbridge.transport.selector import Listener, Poll, listening
from alderbridge.transport.sockets import connect

log = logging.getLogger("mesh")
now = time.monotonic

_HEAD = struct.Struct(">I")  # a frame's length goes before it
_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Frame).decode


class _Envelope(msgspec.Struct, array_like=True, frozen=True):
    """A frame whose body is encoded already; the same bytes."""

    version: str
    sender: str
    fencing_token: int
    seq: int
    ack: int
    body: msgspec.Raw
    sender_lease_id: int = 0


class Encoder:
    """Frames as they go over the wire. What goes to several peers, one after the other, is encoded once."""

    def __init__(self) -> None:
        self.body: Message | None = None
        self.raw = msgspec.Raw(b"")

    def __call__(self, frame: Frame) -> bytes:
        if frame.body is not self.body:
            self.body, self.raw = frame.body, msgspec.Raw(_encode(frame.body))
        data = _encode(
            _Envelope(
                frame.version, frame.sender, frame.fencing_token, frame.seq, frame.ack, self.raw, frame.sender_lease_id
            )
        )
        return _HEAD.pack(len(data)) + data


def split_frames(buffer: bytearray) -> Iterator[Frame]:
    """The whole frames at the front of ``buffer``, which keeps the rest."""
    at, length = 0, len(buffer)
    try:
        with memoryview(buffer) as view:
            while length - at >= _HEAD.size:
                (size,) = _HEAD.unpack_from(view, at)
                if size > constants.MAX_FRAME:
                    raise msgspec.DecodeError(f"frame of {size} bytes")
                if length - at - _HEAD.size < size:
                    return
                at += _HEAD.size + size
                yield _decode(view[at - size : at])
    finally:
        del buffer[:at]


class Mesh:
    """One outgoing connection to each peer, and whatever comes in."""

    def __init__(self, listen: str, peers: dict[str, str], deliver: Callable[[list[Frame]], None], poll: Poll) -> None:
        self.set_answering, self.poll = address(listen), poll
        self.peers = {label: address(addr) for label, addr in peers.items()}
        self.deliver = deliver
        self.queues: dict[str, deque[bytes]] = {label: deque() for label in peers}
        self.wake = {label: curio.Event() for label in peers}
        self.encode = Encoder()
        self.open: dict[str, curio.io.Socket] = {}  # the sockets of connected peers
        self.writing: set[str] = set()  # peers whose rest is being written by ``send_to``
        self.connected: set[str] = set()
        self.renewing: set[str] = set()
        self.complained: set[str] = set()
        self.incoming: set[Incoming] = set()

    def put(self, label: str, frame: Frame) -> None:
        """Queue a frame; dropped while the peer is out of reach."""
        queue = self.queues[label]
        if label not in self.connected or len(queue) > constants.MESH_BACKLOG:
            return
        queue.append(self.encode(frame))

    def renew(self, label: str) -> None:
        """Close the connection to a peer, which ``send_to`` opens anew."""
        if label in self.connected:
            self.renewing.add(label)

    async def flush(self) -> None:
        """Write what is queued, at once where the socket takes it: no task has to be woken for that."""
        for label, queue in self.queues.items():
            if queue and label in self.open and label not in self.writing:
                data = b"".join(queue)
                queue.clear()
                try:
                    sent = self.open[label]._socket_send(data)  # curio's bound method of the plain socket
                except BlockingIOError:
                    sent = 0
                except OSError:
                    self.renew(label)
                    sent = len(data)  # lost with its connection; what must arrive is sent again
                if sent < len(data):
                    queue.appendleft(data[sent:])
            if queue or label in self.renewing:
                await self.wake[label].set()

    async def serve(self) -> None:
        listener = Listener(self.poll, listening(*self.set_answering, 64), lambda client: Incoming(self, client))
        try:
            while True:  # end silent connections; cheaper than a timer for each read
                await curio.sleep(constants.OVERDUE_CHECK_S)
                listener.resume()
                for one in [one for one in self.incoming if now() - one.received_at > constants.MESH_SILENCE_S * 2]:
                    one.close()
        finally:
            listener.close()

    def malformed(self, error: Exception) -> None:
        """A peer of another version: said once, then its connection is dropped."""
        if str(error) not in self.complained and len(self.complained) < 100:
            self.complained.add(str(error))
            log.error("mesh state=message_dropped cause=%s", error)

    async def send_to(self, label: str) -> None:
        """Keep one connection to a peer and write what is queued."""
        while True:
            sock = None
            try:
                sock = await curio.timeout_after(constants.CONNECT_S, connect, *self.peers[label])
                self.queues[label].clear()
                self.renewing.discard(label)
                self.connected.add(label)
                self.open[label] = sock
                log.info("mesh peer=%s state=connected", label)
                while True:
                    await self.wake[label].wait()
                    self.wake[label].clear()
                    if label in self.renewing:
                        log.info("mesh peer=%s state=renewed cause=no acknowledgement", label)
                        break
                    queue = self.queues[label]
                    if not queue:
                        continue
                    data = b"".join(queue)
                    queue.clear()
                    self.writing.add(label)
                    try:
                        await curio.timeout_after(constants.MESH_SILENCE_S, sock.sendall, data)
                    finally:
                        self.writing.discard(label)
            except (OSError, curio.TaskTimeout) as error:
                log.debug("mesh peer=%s state=lost cause=%r", label, error)
            finally:
                self.connected.discard(label)
                self.open.pop(label, None)
                if sock is not None:
                    await sock.close()
            await curio.sleep(constants.MESH_RETRY_S)


_space = memoryview(bytearray(262144))  # all read into it: making room for each read costs more than the read


class Incoming:
    """A peer's connection to this controller."""

    __slots__ = ("mesh", "sock", "fd", "buffer", "received_at")

    def __init__(self, mesh: Mesh, sock: socket.socket) -> None:
        self.mesh, self.sock, self.fd = mesh, sock, sock.fileno()
        self.buffer = bytearray()
        self.received_at = now()
        mesh.incoming.add(self)
        mesh.poll.watch(self, self.fd)

    def ready(self, _event: int) -> None:
        if self not in self.mesh.incoming:
            return
        try:
            size = self.sock.recv_into(_space)
            if not size:
                return self.close()
            self.received_at = now()
            self.buffer += _space[:size]
            frames = list(split_frames(self.buffer))
            if frames:
                self.mesh.deliver(frames)
        except BlockingIOError:
            pass
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            self.mesh.malformed(error)
            self.close()
        except OSError:
            self.close()

    def close(self) -> None:
        if self in self.mesh.incoming:
            self.mesh.incoming.discard(self)
            self.mesh.poll.unwatch(self.fd)
            self.sock.close()
