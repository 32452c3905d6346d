"""What the parts of a machine shard share: the view that it serves, its lookups of jobs, and its outbox."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from alderbridge.machines.machine import Machine
from alderbridge.protocol.messages import Message
from alderbridge.protocol.wire import JobSpec
from alderbridge.reconciliation import ReconciliationProgress

Send = Callable[[str, Message], int]


@dataclass(slots=True)
class JobLookups:
    """What a machine shard asks about jobs, by job id."""

    spec_of: Callable[[str], JobSpec | None]  # None: unknown, or ended for good
    job_owner: Callable[[str], str]  # label of the controller; "": no member
    cancelled: Callable[[str], bool]  # whether the store says so, as far as this process has read


@dataclass(slots=True)
class Outbox:
    """How a machine shard sends messages to members; both ways must arrive."""

    send: Send
    send_deferred: Send  # with the next message to that member, or in the next round
    processed_seq_of: Callable[[str], int]  # number of the last message of that member that was handled here


class ShardView:
    """The view that the shard serves, how far it is reconciled, and since when heartbeats are answered."""

    def __init__(self) -> None:
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
