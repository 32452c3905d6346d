"""Connections between controllers: framed messages over TCP, one connection each way."""

from __future__ import annotations

import logging
import socket
import time
from collections import deque
from collections.abc import Callable

import curio
import msgspec

from alderbridge import constants
from alderbridge.protocol.messages import Frame
from alderbridge.settings import address
from alderbridge.transport.framing import Encoder, split_frames
from alderbridge.transport.selector import Listener, Poll, listening
from alderbridge.transport.sockets import connect

log = logging.getLogger("mesh")
now = time.monotonic

_BACKLOG = 64  # connections that the system keeps until they are accepted
_MAX_LOGGED_ERRORS = 100


class Mesh:
    """One outgoing connection to each peer, and the connections of the peers to this controller."""

    def __init__(self, listen: str, peers: dict[str, str], deliver: Callable[[list[Frame]], None], poll: Poll) -> None:
        """``listen`` and ``peers`` (by label) are HOST:PORT; ``deliver`` gets the frames of all peers."""
        self.listen_address, self.poll = address(listen), poll
        self.peers = {label: address(addr) for label, addr in peers.items()}
        self.deliver = deliver
        self.queues: dict[str, deque[bytes]] = {label: deque() for label in peers}
        self.wake = {label: curio.Event() for label in peers}
        self.encode = Encoder()
        self.open: dict[str, curio.io.Socket] = {}  # the sockets of connected peers
        self.writing: set[str] = set()  # peers whose queue is being written by ``send_to``
        self.connected: set[str] = set()
        self.renewing: set[str] = set()
        self.logged_errors: set[str] = set()
        self.incoming: set[IncomingConnection] = set()

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
                    sent = len(data)  # lost with its connection; the channel sends again what must arrive
                if sent < len(data):
                    queue.appendleft(data[sent:])
            if queue or label in self.renewing:
                await self.wake[label].set()

    async def serve(self) -> None:
        """Accept the connections of peers until this is cancelled."""
        listener = Listener(
            self.poll, listening(*self.listen_address, _BACKLOG), lambda client: IncomingConnection(self, client)
        )
        try:
            while True:  # close silent connections; cheaper than a timer for each read
                await curio.sleep(constants.OVERDUE_CHECK_S)
                listener.resume()
                silence_s = constants.MESH_SILENCE_S * 2
                for connection in [one for one in self.incoming if now() - one.received_at > silence_s]:
                    connection.close()
        finally:
            listener.close()

    def log_malformed(self, error: Exception) -> None:
        """Log what is wrong with a peer's bytes, most likely another version's: each error only once."""
        if str(error) not in self.logged_errors and len(self.logged_errors) < _MAX_LOGGED_ERRORS:
            self.logged_errors.add(str(error))
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
                await self._write_queue(label, sock)
            except (OSError, curio.TaskTimeout) as error:
                log.debug("mesh peer=%s state=lost cause=%r", label, error)
            finally:
                self.connected.discard(label)
                self.open.pop(label, None)
                if sock is not None:
                    await sock.close()
            await curio.sleep(constants.MESH_RETRY_S)

    async def _write_queue(self, label: str, sock: curio.io.Socket) -> None:
        """Write what ``flush`` leaves, until the connection is to be renewed."""
        while True:
            await self.wake[label].wait()
            self.wake[label].clear()
            if label in self.renewing:
                log.info("mesh peer=%s state=renewed cause=no acknowledgement", label)
                return
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


# All connections read into it: allocating a buffer for each read would cost more than the read.
_read_buffer = memoryview(bytearray(256 * 1024))


class IncomingConnection:
    """A peer's connection to this controller: delivers its frames."""

    __slots__ = ("mesh", "sock", "fd", "buffer", "received_at")

    def __init__(self, mesh: Mesh, sock: socket.socket) -> None:
        """A peer has connected; ``sock`` does not block."""
        self.mesh, self.sock, self.fd = mesh, sock, sock.fileno()
        self.buffer = bytearray()
        self.received_at = now()
        mesh.incoming.add(self)
        mesh.poll.watch(self, self.fd)

    def ready(self, _event: int) -> None:
        """Read what has arrived, and deliver the frames that are complete."""
        if self not in self.mesh.incoming:
            return
        try:
            size = self.sock.recv_into(_read_buffer)
            if not size:
                self.close()
                return
            self.received_at = now()
            self.buffer += _read_buffer[:size]
            frames = list(split_frames(self.buffer))
            if frames:
                self.mesh.deliver(frames)
        except BlockingIOError:
            pass
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            self.mesh.log_malformed(error)
            self.close()
        except OSError:
            self.close()

    def close(self) -> None:
        """End the connection; the peer opens another one."""
        if self in self.mesh.incoming:
            self.mesh.incoming.discard(self)
            self.mesh.poll.unwatch(self.fd)
            self.sock.close()
