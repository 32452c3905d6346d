"""Receives the queues that members publish. No I/O."""

from __future__ import annotations

from alderbridge.controller.state import ControllerState
from alderbridge.leader.leader import Leader
from alderbridge.protocol import messages
from alderbridge.queues import OfferBook, SenderClock
from alderbridge.state.write_rate_limit import WriteRateLimit


class QueueInbox:
    """Applies received queues to the offer book and, on the leader, to the leader's state."""

    def __init__(
        self, state: ControllerState, leader: Leader, write_rate_limit: WriteRateLimit, offer_book: OfferBook
    ) -> None:
        """Start without any queue."""
        self.state = state
        self.me = state.me
        self.membership = state.membership
        self.leader = leader
        self.write_rate_limit = write_rate_limit
        self.offer_book = offer_book
        self.sender_clocks: dict[str, SenderClock] = {}

    def clear(self) -> None:
        """Drop all queues on a new view: every member publishes its whole queue again."""
        self.offer_book.clear()
        self.sender_clocks.clear()

    def on_queue_snapshot(self, label: str, queue: messages.QueueSnapshot) -> None:
        """Apply the whole queue of a job shard that sends no deltas."""
        self.offer_book.apply_snapshot(label, queue, self.state.now)
        self.leader.on_queue(label, queue, self.state.now)
        if label != self.me:
            self.write_rate_limit.record_peer_rate(label, queue.changes, self.state.now)

    def on_queue_delta(self, label: str, changes: messages.QueueDelta) -> None:
        """Apply the changed rows of a job shard's queue."""
        sent_at = self.sender_clocks.setdefault(label, SenderClock()).to_local_time(changes.created_at, self.state.now)
        self.offer_book.apply_delta(label, changes, sent_at)
        if self.membership.view.leader == self.me:
            self.leader.on_queue_changes(label, changes, sent_at)
