"""Limits a member's rate of changes to the store: its equal share, plus what other members leave unused.

Borrowing helps when most users are connected to one controller. A member can use its own full share again at once. If
all members together exceed the store's limit briefly, the store refuses some requests, which are then retried.
"""

from __future__ import annotations

import math

from alderbridge import constants
from alderbridge.state.write_classes import AssuredRates
from alderbridge.transport.token_bucket import TokenBucket


class WriteRateLimit:
    """The token bucket for this member's changes, and the rates that the other members reported."""

    def __init__(self, rate: float, members: int, now: float) -> None:
        """``rate``: the store's limit in changes/s, shared by ``members`` members."""
        self.rate = rate
        self.share = rate / members
        self.budget = TokenBucket(self.share, self.share, now)
        self.assured = AssuredRates(self.share, now)
        self.users_waited = False  # users had to wait for the budget since the last report
        self.changes_made, self.counted_at = 0, now  # changes since the last report, and its time
        self.reported_rate = 0  # changes/s
        self.peers: dict[str, tuple[int, float]] = {}  # member -> reported changes/s, time

    def enter_view(self, members: int, now: float) -> None:
        """Apply a view with that many members. Only members write, so controllers outside the view get no share."""
        self.share = self.rate / max(1, members)
        self._change_rate(self.share, now)
        self.peers.clear()

    def consume(self, changes: int, now: float) -> None:
        """Account for changes that have been sent."""
        self.budget.consume(now, changes)
        self.changes_made += changes

    def record_peer_rate(self, label: str, changes: int, now: float) -> None:
        """Record the recent changes/s of another member; negative: it may use all of its share."""
        self.peers[label] = (changes, now)

    def refresh(self, now: float) -> None:
        """Update the rate reported to the other members, and the rate that this member may use."""
        # If users wait, update at once: from this round on, the member reports that it needs its share, and may borrow.
        if now - self.counted_at >= constants.LEADER_ROUND_INTERVAL_S or (
            self.users_waited and self.reported_rate < self.share
        ):
            changes_made = math.ceil(self.changes_made / max(constants.ROUND_INTERVAL_S, now - self.counted_at))
            self.reported_rate = max(changes_made, math.ceil(self.share)) if self.users_waited else changes_made
            self.changes_made, self.counted_at, self.users_waited = 0, now, False
        if self.reported_rate < self.share:
            self._change_rate(self.share, now)
            return
        unused_rate, borrowers = 0.0, 1
        for changes, reported_at in self.peers.values():
            if changes >= 0 and now - reported_at < constants.UNUSED_RATE_TTL_S:
                unused_rate += max(0.0, self.share - changes)
                borrowers += changes >= self.share
        self._change_rate(self.share + unused_rate / borrowers, now)

    def _change_rate(self, rate: float, now: float) -> None:
        self.budget.set_rate(rate, self.share, now)
        self.assured.set_rate(rate, now)
