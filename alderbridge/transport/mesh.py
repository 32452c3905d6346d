"""Connections between controllers: frames over TCP, with one connection in each direction."""

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
from alderbridge.transport.selector import EpollSelector, Listener, open_listening_socket
from alderbridge.transport.sockets import connect

log = logging.getLogger("mesh")
now = time.monotonic

_BACKLOG = 64  # of listen(): connections that are not accepted yet
_MAX_LOGGED_ERRORS = 100


class Mesh:
    """One outgoing connection to each peer, and the incoming connections of the peers."""

    def __init__(
        self, listen: str, peers: dict[str, str], deliver: Callable[[list[Frame]], None], poll: EpollSelector
    ) -> None:
        """``listen`` and ``peers`` (by label) are HOST:PORT; ``deliver`` is called with received frames of any peer."""
        self.listen_address, self.poll = address(listen), poll
        self.peers = {label: address(addr) for label, addr in peers.items()}
        self.deliver = deliver
        self.queues: dict[str, deque[bytes]] = {label: deque() for label in peers}
        self.wake_events = {label: curio.Event() for label in peers}
        self.encode = Encoder()
        self.sockets: dict[str, curio.io.Socket] = {}  # of connected peers
        self.writing: set[str] = set()  # peers whose queue is being written by ``send_to``
        self.connected: set[str] = set()
        self.renewing: set[str] = set()
        self.logged_errors: set[str] = set()
        self.incoming: set[IncomingConnection] = set()

    def put(self, label: str, frame: Frame) -> None:
        """Queue a frame; it is dropped if the peer is not connected or its queue is full."""
        queue = self.queues[label]
        if label not in self.connected or len(queue) > constants.MAX_MESH_QUEUE_FRAMES:
            return
        queue.append(self.encode(frame))

    def renew(self, label: str) -> None:
        """Have ``send_to`` replace the connection to a peer."""
        if label in self.connected:
            self.renewing.add(label)

    async def flush(self) -> None:
        """Write the queued frames directly; wake the task of ``send_to`` only for what is left, or to renew."""
        for label, queue in self.queues.items():
            if queue and label in self.sockets and label not in self.writing:
                data = b"".join(queue)
                queue.clear()
                try:
                    sent = self.sockets[label]._socket_send(data)  # send of the plain socket
                except BlockingIOError:
                    sent = 0
                except OSError:
                    self.renew(label)
                    sent = len(data)  # lost with the connection; the channel resends messages that must arrive
                if sent < len(data):
                    queue.appendleft(data[sent:])
            if queue or label in self.renewing:
                await self.wake_events[label].set()

    async def serve(self) -> None:
        """Accept the connections of peers until this is cancelled."""
        listener = Listener(
            self.poll,
            open_listening_socket(*self.listen_address, _BACKLOG),
            lambda client: IncomingConnection(self, client),
        )
        try:
            while True:  # a periodic check is cheaper than a timer for each read
                await curio.sleep(constants.OVERDUE_CHECK_INTERVAL_S)
                listener.resume()
                silence_s = constants.MESH_SILENCE_TIMEOUT_S * 2
                for connection in [each for each in self.incoming if now() - each.received_at > silence_s]:
                    connection.close()
        finally:
            listener.close()

    def log_malformed(self, error: Exception) -> None:
        """Log a decoding error, which a peer of another version may cause repeatedly: each text only once."""
        if str(error) not in self.logged_errors and len(self.logged_errors) < _MAX_LOGGED_ERRORS:
            self.logged_errors.add(str(error))
            log.error("mesh state=message_dropped cause=%s", error)

    async def send_to(self, label: str) -> None:
        """Keep a connection to a peer open, and write what ``flush`` leaves in its queue."""
        while True:
            sock = None
            try:
                sock = await curio.timeout_after(constants.CONNECT_TIMEOUT_S, connect, *self.peers[label])
                self.queues[label].clear()
                self.renewing.discard(label)
                self.connected.add(label)
                self.sockets[label] = sock
                log.info("mesh peer=%s state=connected", label)
                await self._write_queue(label, sock)
            except (OSError, curio.TaskTimeout) as error:
                log.debug("mesh peer=%s state=lost cause=%r", label, error)
            finally:
                self.connected.discard(label)
                self.sockets.pop(label, None)
                if sock is not None:
                    await sock.close()
            await curio.sleep(constants.MESH_RECONNECT_DELAY_S)

    async def _write_queue(self, label: str, sock: curio.io.Socket) -> None:
        """Write the queue whenever woken, until the connection is to be renewed."""
        while True:
            await self.wake_events[label].wait()
            self.wake_events[label].clear()
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
                await curio.timeout_after(constants.MESH_SILENCE_TIMEOUT_S, sock.sendall, data)
            finally:
                self.writing.discard(label)


# Shared by all connections: allocating a buffer for each read would cost more than the read.
_read_buffer = memoryview(bytearray(256 * 1024))


class IncomingConnection:
    """A peer's connection to this controller, whose frames it delivers."""

    __slots__ = ("mesh", "sock", "fd", "buffer", "received_at")

    def __init__(self, mesh: Mesh, sock: socket.socket) -> None:
        """Start reading from a peer; ``sock`` is non-blocking."""
        self.mesh, self.sock, self.fd = mesh, sock, sock.fileno()
        self.buffer = bytearray()
        self.received_at = now()
        mesh.incoming.add(self)
        mesh.poll.watch(self, self.fd)

    def ready(self, _event: int) -> None:
        """Read from the socket, and deliver the complete frames."""
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
        """Close the connection; the peer opens another one."""
        if self in self.mesh.incoming:
            self.mesh.incoming.discard(self)
            self.mesh.poll.unwatch(self.fd)
            self.sock.close()
