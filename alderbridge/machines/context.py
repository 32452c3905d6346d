"""State shared by the components of a machine shard: machine table, current view, job lookups and outbox."""

from __future__ import annotations

from collections.abc import Callable

from alderbridge.machines.machine import Machine
from alderbridge.protocol.messages import Message
from alderbridge.protocol.wire import JobSpec
from alderbridge.reconciliation import ReconciliationProgress

Send = Callable[[str, Message], int]


class JobLookups:
    """Job lookups of a machine shard, by job id."""

    __slots__ = ("is_aborted", "job_owner", "spec_of")

    def __init__(
        self,
        spec_of: Callable[[str], JobSpec | None],
        job_owner: Callable[[str], str],
        cancelled: Callable[[str], bool],
    ) -> None:
        """All lookups use the job records that this process has read so far."""
        self.spec_of = spec_of  # None: not read yet, or the job has ended
        self.job_owner = job_owner  # label of the owning controller; "" if no member owns the job
        self.is_aborted = cancelled  # whether the store records the job as cancelled


class Outbox:
    """Sends a machine shard's messages to members; both send functions must deliver reliably."""

    __slots__ = ("processed_seq_of", "send", "send_deferred")

    def __init__(self, send: Send, send_deferred: Send, processed_seq_of: Callable[[str], int]) -> None:
        """All take the member's label; both send functions return the message's sequence number, or 0."""
        self.send = send
        self.send_deferred = send_deferred  # sends with the next message to that member, or in the next round
        self.processed_seq_of = processed_seq_of  # sequence number of the member's last message processed here


class MachineTable:
    """The machines of a shard by name, and the names of terminated and draining machines."""

    __slots__ = ("machines", "pending_drains", "terminated")

    def __init__(self) -> None:
        """Create an empty table."""
        self.machines: dict[str, Machine] = {}
        self.terminated: set[str] = set()  # termination confirmed by the cloud; late heartbeats are ignored
        self.pending_drains: set[str] = set()  # to be drained, including machines without a heartbeat yet


class ShardView:
    """The current view, its reconciliation progress, and since when this process answers heartbeats."""

    def __init__(self) -> None:
        """Create the state before the first view."""
        self.fencing_token = 0
        self.members: list[str] = []
        self.settled_at: float | None = None  # since when all members act under this view; None: not yet
        self.reconciliation = ReconciliationProgress(0.0)
        self.answering_since: float | None = None  # None: heartbeats are not answered at present

    def enter_view(self, fencing_token: int, members: list[str], now: float) -> None:
        """Start a new view, which has not settled yet."""
        self.fencing_token, self.members, self.settled_at = fencing_token, members, None
        self.reconciliation = ReconciliationProgress(now)

    def set_answering(self, now: float, is_answering: bool) -> None:
        """Record whether this process answers heartbeats at present."""
        if not is_answering:
            self.answering_since = None
        elif self.answering_since is None:
            self.answering_since = now

    def silence_s(self, machine: Machine, now: float) -> float:
        """How long the machine has sent no heartbeat while this process answered heartbeats, in s.

        Time without answering does not count: after an outage of the controller or the store, live machines would
        otherwise be terminated as lost. After 80 s without the store the leader returned the whole fleet, a second
        before it reported again.
        """
        return now - max(machine.last_heartbeat_at, now if self.answering_since is None else self.answering_since)
