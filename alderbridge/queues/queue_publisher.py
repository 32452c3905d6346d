"""What a job shard sends to each member in a round, in the form that the member reads. Pure.

States, for one view::

    WHOLE_QUEUES ---> CHANGES

* WHOLE_QUEUES: a member, or one that is about to be, runs an older version: each round the whole queue.
* CHANGES: all have written the newer protocol version: what has changed, in numbered messages. Never back in the same
  view, so that a whole queue from one that sends deltas can only be a late frame.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from enum import Enum
from typing import NamedTuple, Protocol

from alderbridge import constants
from alderbridge.protocol.messages import KeepAlive, Message, PeerStatus, QueueSnapshot
from alderbridge.queues.delta_tracker import DeltaTracker, QueueState


class QueueFormat(Enum):
    """In which form members are sent the queue."""

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


class LastSent(NamedTuple):
    """The queue or status that a member was last sent."""

    message: Message
    at: float
    acknowledged: int  # the last number of the member's that went with it


_NEVER_SENT = LastSent(KeepAlive(), float("-inf"), 0)


class PublishRound(NamedTuple):
    """What one round is made from."""

    now: float
    fencing_token: int
    leader: str
    links: Mapping[str, Link]  # the channels to the other members of the view
    queue: QueueState
    status: PeerStatus


class QueuePublisher:
    """Rounds of one job shard."""

    def __init__(self, me: str) -> None:
        """``me``: the label of this controller."""
        self.me = me
        self.delta_tracker = DeltaTracker()
        self.enter()

    def enter(self) -> None:
        """A new view."""
        self.form = QueueFormat.WHOLE_QUEUES
        self.delta_tracker.clear()
        self.last_sent: dict[str, LastSent] = {}  # member -> queue or status

    def publish(self, round_: PublishRound, all_read_changes: bool) -> Iterator[OutgoingMessage]:
        """All messages of a round; ``all_read_changes``: whoever takes part, or is about to, has written so."""
        if all_read_changes:
            self.form = QueueFormat.CHANGES
        if self.form is QueueFormat.CHANGES:
            yield from self._changes(round_)
            yield from self._to_each(round_, round_.status)
        else:
            self.delta_tracker.to_resend.clear()  # the next queue says it all
            status = round_.status
            queue = QueueSnapshot(*round_.queue, status.suspected, status.failed, status.changes)
            yield OutgoingMessage(self.me, queue, False)
            yield from self._to_each(round_, queue)

    def _changes(self, round_: PublishRound) -> Iterator[OutgoingMessage]:
        """Members one after the other, as equal messages in a row are encoded once."""
        delta_tracker = self.delta_tracker
        delta_tracker.update(round_.queue.rows, round_.now)
        ready = [
            label
            for label, link in round_.links.items()
            if link.peer_fencing_token >= round_.fencing_token and link.backlog() < constants.QUEUE_BACKLOG
        ]
        for label in (self.me, *ready):
            numbered = label != self.me
            if label == round_.leader and (usage := delta_tracker.usage_for_leader(round_.queue)) is not None:
                yield OutgoingMessage(label, usage, numbered)
            if (changes := delta_tracker.delta_for(label, label == round_.leader)) is not None:
                yield OutgoingMessage(label, changes, numbered)
                self._note_acknowledgement(label, round_)

    def _note_acknowledgement(self, label: str, round_: PublishRound) -> None:
        """The message that has just gone there carries the acknowledgement that the status would."""
        if label in self.last_sent:
            message, at, _ = self.last_sent[label]
            self.last_sent[label] = LastSent(message, at, round_.links[label].received)

    def _to_each(self, round_: PublishRound, message: QueueSnapshot | PeerStatus) -> Iterator[OutgoingMessage]:
        """To whom it is news; the same is sent again only now and then, or with an acknowledgement to pass on."""
        for label, link in round_.links.items():
            last, at, received = self.last_sent.get(label, _NEVER_SENT)
            if (
                last != message
                or received != link.received
                or round_.now - at >= constants.MESH_PROBE_S
                or (isinstance(message, QueueSnapshot) and message.rows)
            ):
                self.last_sent[label] = LastSent(message, round_.now, link.received)
                yield OutgoingMessage(label, message, False)
