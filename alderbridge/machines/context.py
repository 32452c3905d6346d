"""What the parts of a machine shard share: the view that it serves, its lookups of jobs, and its outbox."""

from __future__ import annotations

from collections.abc import Callable

from alderbridge.machines.machine import Machine
from alderbridge.protocol.messages import Message
from alderbridge.protocol.wire import JobSpec
from alderbridge.reconciliation import ReconciliationProgress

Send = Callable[[str, Message], int]


class JobLookups:
    """What a machine shard asks about jobs, by job id."""

    __slots__ = ("cancelled", "job_owner", "spec_of")

    def __init__(
        self,
        spec_of: Callable[[str], JobSpec | None],
        job_owner: Callable[[str], str],
        cancelled: Callable[[str], bool],
    ) -> None:
        """All are answered from what this process has read so far."""
        self.spec_of = spec_of  # None: unknown, or ended for good
        self.job_owner = job_owner  # label of the controller; "": no member
        self.cancelled = cancelled  # whether the store says so


class Outbox:
    """How a machine shard sends messages to members; both ways must arrive."""

    __slots__ = ("processed_seq_of", "send", "send_deferred")

    def __init__(self, send: Send, send_deferred: Send, processed_seq_of: Callable[[str], int]) -> None:
        """By label of the member; the result of both ways is the number of the message, or 0."""
        self.send = send
        self.send_deferred = send_deferred  # with the next message to that member, or in the next round
        self.processed_seq_of = processed_seq_of  # number of that member's last message that was handled here


class MachineTable:
    """The machines of a shard by name, and what is known of others."""

    __slots__ = ("machines", "pending_drains", "terminated")

    def __init__(self) -> None:
        """No machines yet."""
        self.machines: dict[str, Machine] = {}
        self.terminated: set[str] = set()  # confirmed gone; late heartbeats mean nothing
        self.pending_drains: set[str] = set()  # wanted back, also those that have yet to report


class ShardView:
    """The view that the shard serves, how far it is reconciled, and since when heartbeats are answered."""

    def __init__(self) -> None:
        """No view yet."""
        self.fencing_token = 0
        self.members: list[str] = []
        self.settled_at: float | None = None  # since when all members act under this view
        self.reconciliation = ReconciliationProgress(0.0)
        self.answering_since: float | None = None  # since when heartbeats could be answered; None: not now

    def enter(self, fencing_token: int, members: list[str], now: float) -> None:
        """A new view, which has not settled yet."""
        self.fencing_token, self.members, self.settled_at = fencing_token, members, None
        self.reconciliation = ReconciliationProgress(now)

    def set_answering(self, now: float, acts: bool) -> None:
        """Whether this process answers heartbeats now."""
        if not acts:
            self.answering_since = None
        elif self.answering_since is None:
            self.answering_since = now

    def silence_s(self, machine: Machine, now: float) -> float:
        """How long the machine has been silent while this process listened: other silence says nothing of it.

        After 80 s without the store the leader returned the whole fleet as lost, a second before it reported again.
        """
        return now - max(machine.last_heartbeat_at, now if self.answering_since is None else self.answering_since)
