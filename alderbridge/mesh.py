"""What controllers say to each other: tagged tuples, framed, over TCP.

A ``Channel`` is the pure part: ordered delivery under one mandate, resent
until acknowledged, forgotten at a change of view. ``Mesh`` moves the bytes.
"""

from __future__ import annotations

import logging
import socket
import struct
import time
from collections import deque
from collections.abc import Callable, Iterator

import curio
import msgspec

from . import __version__, constants
from .config import address
from .net import connect
from .poll import Listener, Poll, listening

log = logging.getLogger("mesh")
now = time.monotonic


class Message(msgspec.Struct, array_like=True, tag=True, frozen=True):
    """Base of all messages; each names its tag, which goes over the wire."""


class KeepAlive(Message, tag="Pulse"):
    """Nothing to say: carries the acknowledgement."""


class QueueRow(msgspec.Struct, array_like=True, frozen=True):
    """One waiting job at its home."""

    job: str
    waiting: int  # tasks that wait
    offer: int  # of these, tasks that may be granted now
    due_in_s: float  # until Maximum Queue Time is breached
    run_s: float  # Expected Run Time
    zone: str | None  # the only zone it may use now, if any
    waited_s: float
    late: bool  # has missed every Maximum Queue Time
    guaranteed: bool  # lies within its team's guarantee
    rank: int = -1  # priority of the jobs that need it, where higher than its own
    inherited: int = 0  # tasks behind the barrier: they may be on a machine that has not been heard
    priority_boost: int = 0  # 1: it goes first among its priority, 2: before all that is not guaranteed


class QueueSnapshot(Message, tag="Queue"):
    """A home's waiting jobs and what its teams hold; sent every round."""

    rows: list[QueueRow]
    used: dict[str, tuple[float, float]]
    reserved: dict[str, tuple[float, float]]  # the larger of what is used and what is allowed
    demand: dict[str, tuple[float, float]]
    allocations_received: int  # allotments received under this mandate
    suspected: list[str] = []  # members that the sender does not hear
    failed: list[str] = []  # of these, those that it hears no more under this mandate, whatever comes
    changes: int = -1  # of the store, that it made in a second lately; -1: it may make all of its share


class QueueDelta(Message, tag="QueueChanges"):
    """Rows of a home's queue that are news, in order after the ones before. Only among members of generation 6."""

    at: float  # when this was made, s of the sender's steady clock; the times of the rows are as they stood then
    rows: list[QueueRow]
    gone: list[str]  # jobs that have no row any more
    whole: bool  # all rows: what was told before is void


class TeamUsage(msgspec.Struct, array_like=True, frozen=True):
    """One team's sums at one home; each is cpus, gpus."""

    used: tuple[float, float]
    reserved: tuple[float, float]  # the larger of what is used and what is allowed
    demand: tuple[float, float]


class TeamUsageDelta(Message, tag="TeamChanges"):
    """A home's sums that differ from what the leader was told. Only among members of generation 6."""

    teams: dict[str, TeamUsage]  # nothing but zeros: the team has none any more
    allocations_received: int  # allowances received under this mandate, on which these sums rest
    whole: bool  # all teams: what was told before is void


class PeerStatus(Message, tag="Status"):
    """What each member needs to know of another in each round. Only among members of generation 6."""

    suspected: list[str]  # members that the sender does not hear
    failed: list[str]  # of these, those that it hears no more under this mandate, whatever comes
    changes: int  # of the store, that it made in a second lately


class QuotaDelta(Message, tag="AllotChanges"):
    """Allowances of one home that differ from the ones before. Only among members of generation 6."""

    teams: dict[str, tuple[float, float]]


class MachineSummary(msgspec.Struct, array_like=True, frozen=True):
    """One machine as its part sees it."""

    machine: str
    type: str
    zone: str
    spot: bool
    state: str
    idle_s: float
    free: tuple[float, float, float]  # cpus, memory, gpus
    ends: list[tuple[float, float, float, float]]  # remaining s, cpus, memory, gpus
    silent_s: float


class MachineSummaries(Message, tag="Room"):
    """A part's machines, for the leader."""

    rows: list[MachineSummary]


class TaskRequest(Message, tag="Take"):
    """A part with room asks a job's home for tasks."""

    request_id: int
    job: str
    machine: str
    zone: str
    count: int


class TaskGrant(Message, tag="Grant"):
    """The home's answer: tasks (index, attempt) for that machine; may be none."""

    request_id: int
    job: str
    machine: str
    tasks: list[tuple[int, int]]


class TaskStatusReport(msgspec.Struct, array_like=True, frozen=True):
    job: str
    index: int
    attempt: int
    status: str
    cause: str | None


class MachineTaskReport(Message, tag="Seen"):
    """All that is known of one home's tasks on one machine; a proof of absence.

    ``upto`` is the last message of the home that the part had handled.
    """

    machine: str
    zone: str
    processed_seq: int
    tasks: list[TaskStatusReport]
    pending: list[tuple[str, int, int]]  # granted, and not yet seen in a report


class AcknowledgeFinished(Message, tag="Clear"):
    machine: str
    job: str
    index: int
    attempt: int


class StopTask(Message, tag="Halt"):
    machine: str
    job: str
    index: int
    attempt: int
    wind_down_s: float


class QuotaAllocation(Message, tag="Allot"):
    """The leader's allowance for one home: team -> cpus, gpus."""

    teams: dict[str, tuple[float, float]]


class DrainMachines(Message, tag="Drain"):
    """The leader wants these machines back; nothing may be placed on them again."""

    machines: list[str]


class MachinesTerminated(Message, tag="Gone"):
    """The cloud has confirmed that these machines and all on them are gone."""

    machines: list[str]


class ListMachineTasks(Message, tag="Show"):
    """The leader may have to stop tasks: parts tell it of theirs, once. Only among members of generation 4."""


class MachineTasks(msgspec.Struct, array_like=True, frozen=True):
    """Tasks on one machine that might be stopped, or are victims of its claim."""

    machine: str
    free: tuple[float, float, float]  # cpus, memory, gpus
    tasks: list[tuple[str, int, int, float, bool]]  # job, index, attempt, s it ran, whether that is all it ran
    images: list[str] = []  # of a machine with GPUs: cached, or being fetched


class MachineTaskList(Message, tag="Tasks"):
    """A machine shard's tasks, for the leader: on machines with a claim, or on all that are up if it asked so."""

    rows: list[MachineTasks]
    whole: bool


class GpuReservation(Message, tag="Keep"):
    """GPUs that lending work leaves free, by machine, for a few seconds. Only among members of generation 4."""

    gpus: dict[str, float]


class JobQuery(Message, tag="Ask"):
    """A user's question, passed to the job's home."""

    query_id: int
    kind: str  # "status" or "withdraw"
    job: str


class JobQueryReply(Message, tag="Reply"):
    query_id: int
    status: int
    body: bytes


Body = (
    KeepAlive
    | QueueSnapshot
    | QueueDelta
    | TeamUsageDelta
    | PeerStatus
    | QuotaDelta
    | MachineSummaries
    | TaskRequest
    | TaskGrant
    | MachineTaskReport
    | AcknowledgeFinished
    | StopTask
    | QuotaAllocation
    | DrainMachines
    | MachinesTerminated
    | ListMachineTasks
    | MachineTaskList
    | GpuReservation
    | JobQuery
    | JobQueryReply
)


class Frame(msgspec.Struct, array_like=True, frozen=True):
    version: str
    sender: str
    fencing_token: int
    seq: int  # 0: not resent when lost
    ack: int
    body: Body
    sender_lease_id: int = 0  # under which the sender takes part in the mandate's view; 0: it does not, or is older


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


class Channel:
    """Ordered messages to and from one member under one mandate."""

    def __init__(self, me: str) -> None:
        self.me = me
        self.peer_fencing_token = 0
        self.reset(0, 0.0)

    def reset(self, fencing_token: int, now: float, lease_id: int = 0) -> None:
        self.fencing_token, self.lease_id = fencing_token, lease_id
        self.next_seq = 1
        self.received = 0
        self.unacked: deque[tuple[int, Message, float]] = deque()  # number, body, when it was first sent
        self.acked_at = float("-inf")  # when the newest acknowledged message was first sent
        self.progress_at = now
        self.posted_at = now
        self.alive_at = now  # the last acknowledgement, or when the oldest message without one was sent

    def post(self, body: Message, now: float) -> Frame:
        """A message that must arrive."""
        if not self.unacked:
            self.progress_at = self.alive_at = now
        self.posted_at = now
        self.unacked.append((self.next_seq, body, now))
        self.next_seq += 1
        return self._frame(self.next_seq - 1, body)

    def post_unreliable(self, body: Message) -> Frame:
        """A message that may be lost."""
        return self._frame(0, body)

    def _frame(self, seq: int, body: Message) -> Frame:
        return Frame(__version__, self.me, self.fencing_token, seq, self.received, body, self.lease_id)

    def observe_view(self, frame: Frame) -> None:
        """That the peer knows a view, and nothing else: neither taken nor acknowledged."""
        self.peer_fencing_token = max(self.peer_fencing_token, frame.fencing_token)

    def receive(self, frame: Frame, now: float) -> Message | None:
        """The body, if it is new and in order under this mandate."""
        self.observe_view(frame)
        if frame.fencing_token != self.fencing_token:
            return None
        while self.unacked and self.unacked[0][0] <= frame.ack:
            self.acked_at = self.unacked.popleft()[2]
            self.progress_at = self.alive_at = now
        if frame.seq == 0:
            return frame.body
        if frame.seq != self.received + 1:
            return None
        self.received = frame.seq
        return frame.body

    def resend(self, now: float) -> list[Frame]:
        if not self.unacked or now - self.progress_at < constants.MESH_RESEND_S:
            return []
        self.progress_at = now
        return [self._frame(seq, body) for seq, body, _ in self.unacked]

    def backlog(self) -> int:
        """How many messages have no acknowledgement yet."""
        return len(self.unacked)

    def is_quiet(self, now: float) -> bool:
        """Nothing sent lately whose acknowledgement would show that the connection is whole."""
        return now - self.posted_at >= constants.MESH_PROBE_S

    def is_stalled(self, now: float) -> bool:
        """Sent again and again, and never acknowledged: after a cut, the other end may have closed unheard."""
        if not self.unacked or now - self.alive_at < constants.MESH_STALL_S:
            return False
        self.alive_at = now  # the next connection has its time, too
        return True


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
            log.error("message dropped with its connection: %s", error)

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

    __slots__ = ("mesh", "sock", "fd", "buffer", "heard_at")

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
