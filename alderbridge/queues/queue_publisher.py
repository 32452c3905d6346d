"""The messages that a job shard sends to each member in a round, in a format that every member can read.

States, for one view::

    SNAPSHOTS ---> DELTAS

* SNAPSHOTS: a current or joining member runs an older version; the full queue is sent in each round.
* DELTAS: all members have published a protocol version with deltas; changes are sent in numbered messages. The state
  does not return to SNAPSHOTS within a view, so receivers drop a full queue from a sender of deltas as a late frame.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from enum import Enum
from typing import NamedTuple, Protocol

from alderbridge import constants
from alderbridge.protocol.messages import KeepAlive, Message, PeerStatus, QueueSnapshot
from alderbridge.queues.delta_tracker import DeltaTracker, QueueState


class QueueFormat(Enum):
    """The format in which members are sent the queue."""

    SNAPSHOTS = "whole queues"
    DELTAS = "changes"


class Link(Protocol):
    """What the publisher reads of a channel to another member."""

    last_received_sequence: int
    peer_fencing_token: int

    def backlog(self) -> int:
        """Return the number of messages not acknowledged yet."""


class OutgoingMessage(NamedTuple):
    """A message for one member."""

    label: str
    message: Message
    numbered: bool  # delivered reliably and in order


class LastSent(NamedTuple):
    """The queue or status last sent to a member."""

    message: Message
    sent_at: float
    acknowledged: int  # number of the member's last message acknowledged with it


_NEVER_SENT = LastSent(KeepAlive(), float("-inf"), 0)


class PublishRound(NamedTuple):
    """The input of one round."""

    now: float
    fencing_token: int
    leader: str
    links: Mapping[str, Link]  # channels to the other members of the view, by label
    queue: QueueState
    status: PeerStatus


class QueuePublisher:
    """Publishes the queue of one job shard, round by round."""

    def __init__(self, own_label: str) -> None:
        """``own_label``: the label of this controller."""
        self.own_label = own_label
        self.delta_tracker = DeltaTracker()
        self.enter_view()

    def enter_view(self) -> None:
        """Begin a new view: every member is sent the full state again."""
        self.format = QueueFormat.SNAPSHOTS
        self.delta_tracker.clear()
        self.last_sent: dict[str, LastSent] = {}  # by member

    def publish(self, round_: PublishRound, all_read_deltas: bool) -> Iterator[OutgoingMessage]:
        """Yield all messages of a round; ``all_read_deltas``: all current and joining members can read deltas."""
        if all_read_deltas:
            self.format = QueueFormat.DELTAS
        if self.format is QueueFormat.DELTAS:
            yield from self._deltas(round_)
            yield from self._broadcast(round_, round_.status)
        else:
            self.delta_tracker.to_resend.clear()  # the full queue contains these rows
            status = round_.status
            queue = QueueSnapshot(*round_.queue, status.suspected, status.failed, status.changes)
            yield OutgoingMessage(self.own_label, queue, False)
            yield from self._broadcast(round_, queue)

    def _deltas(self, round_: PublishRound) -> Iterator[OutgoingMessage]:
        """Yield deltas member by member; equal messages in succession are encoded only once."""
        delta_tracker = self.delta_tracker
        delta_tracker.update(round_.queue.rows, round_.now)
        ready = [
            label
            for label, link in round_.links.items()
            if link.peer_fencing_token >= round_.fencing_token and link.backlog() < constants.MAX_QUEUE_BACKLOG_MESSAGES
        ]
        for label in (self.own_label, *ready):
            numbered = label != self.own_label
            if label == round_.leader and (usage := delta_tracker.usage_for_leader(round_.queue)) is not None:
                yield OutgoingMessage(label, usage, numbered)
            if (delta := delta_tracker.delta_for(label, label == round_.leader)) is not None:
                yield OutgoingMessage(label, delta, numbered)
                self._record_acknowledgement(label, round_)

    def _record_acknowledgement(self, label: str, round_: PublishRound) -> None:
        """Record that the delta just sent carries the acknowledgement, so that no status is sent only for that."""
        if label in self.last_sent:
            message, sent_at, _ = self.last_sent[label]
            self.last_sent[label] = LastSent(message, sent_at, round_.links[label].last_received_sequence)

    def _broadcast(self, round_: PublishRound, message: QueueSnapshot | PeerStatus) -> Iterator[OutgoingMessage]:
        """Yield the message for each member; an unchanged one only to acknowledge, or every
        ``MESH_KEEP_ALIVE_INTERVAL_S``.
        """
        for label, link in round_.links.items():
            last, sent_at, acknowledged = self.last_sent.get(label, _NEVER_SENT)
            if (
                last != message
                or acknowledged != link.last_received_sequence
                or round_.now - sent_at >= constants.MESH_KEEP_ALIVE_INTERVAL_S
                or (isinstance(message, QueueSnapshot) and message.rows)
            ):
                self.last_sent[label] = LastSent(message, round_.now, link.last_received_sequence)
                yield OutgoingMessage(label, message, False)
