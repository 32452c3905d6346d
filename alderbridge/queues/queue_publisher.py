"""What a home tells each member in a round, in the form that the member reads. Pure.

States, for one view:

* WHOLE_QUEUES: a member, or one that is about to be, runs an older version: each round the whole queue, as ever.
* CHANGES: all have written the newer generation: what has changed, in numbered messages. Never back in the same view,
  so that a whole queue from one that tells changes can only be a late frame.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from enum import Enum
from typing import NamedTuple, Protocol

from alderbridge import constants
from alderbridge.protocol.messages import KeepAlive, Message, PeerStatus, QueueSnapshot
from alderbridge.queues.delta_tracker import DeltaTracker, QueueState


class QueueFormat(Enum):
    """In which form members are told."""

    WHOLE_QUEUES = "whole queues"
    CHANGES = "changes"


class Link(Protocol):
    """What is asked of a channel to another member."""

    received: int
    peer_fencing_token: int

    def backlog(self) -> int:
        """How many messages have no acknowledgement yet."""


class OutgoingMessage(NamedTuple):
    """A message for one member."""

    label: str
    message: Message
    numbered: bool  # it must arrive, in order


class PublishRound(NamedTuple):
    """What one round is about."""

    now: float
    fencing_token: int
    leader: str
    links: Mapping[str, Link]  # the channels to the other members of the view
    snapshot: QueueState
    status: PeerStatus


class QueuePublisher:
    """Rounds of one home."""

    def __init__(self, me: str) -> None:
        """``me``: the label of this home."""
        self.me = me
        self.delta_tracker = DeltaTracker()
        self.enter()

    def enter(self) -> None:
        """A new view."""
        self.form = QueueFormat.WHOLE_QUEUES
        self.delta_tracker.clear()
        self.last: dict[str, tuple[Message, float, int]] = {}  # member -> queue or status, when, what it acknowledged

    def publish(self, one: PublishRound, all_read_changes: bool) -> Iterator[OutgoingMessage]:
        """All messages of a round; ``all_read_changes``: whoever takes part, or is about to, has written so."""
        if all_read_changes:
            self.form = QueueFormat.CHANGES
        if self.form is QueueFormat.CHANGES:
            yield from self._changes(one)
            yield from self._to_each(one, one.status)
        else:
            self.delta_tracker.again.clear()  # the next queue says it all
            queue = QueueSnapshot(*one.snapshot, one.status.suspected, one.status.failed, one.status.changes)
            yield OutgoingMessage(self.me, queue, False)
            yield from self._to_each(one, queue)

    def _changes(self, one: PublishRound) -> Iterator[OutgoingMessage]:
        """Members one after the other, as equal messages in a row are encoded once."""
        delta_tracker = self.delta_tracker
        delta_tracker.update(one.snapshot.rows, one.now)
        ready = [
            label
            for label, link in one.links.items()
            if link.peer_fencing_token >= one.fencing_token and link.backlog() < constants.QUEUE_BACKLOG
        ]
        for label in (self.me, *ready):
            numbered = label != self.me
            if label == one.leader and (sums := delta_tracker.usage_for_leader(one.snapshot)) is not None:
                yield OutgoingMessage(label, sums, numbered)
            if (changes := delta_tracker.delta_for(label, label == one.leader)) is not None:
                yield OutgoingMessage(label, changes, numbered)
                self._acknowledged(label, one)

    def _acknowledged(self, label: str, one: PublishRound) -> None:
        """The message that has just gone there carries the acknowledgement that the status would."""
        if label in self.last:
            message, at, _ = self.last[label]
            self.last[label] = (message, at, one.links[label].received)

    def _to_each(self, one: PublishRound, message: QueueSnapshot | PeerStatus) -> Iterator[OutgoingMessage]:
        """To whom it is news; the same is told again only now and then, or with an acknowledgement to pass on."""
        for label, link in one.links.items():
            last, at, received = self.last.get(label, (KeepAlive(), float("-inf"), 0))
            if (
                last != message
                or received != link.received
                or one.now - at >= constants.MESH_PROBE_S
                or (isinstance(message, QueueSnapshot) and message.rows)
            ):
                self.last[label] = (message, one.now, link.received)
                yield OutgoingMessage(label, message, False)
