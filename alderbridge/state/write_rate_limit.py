"""How many changes of the store a member may make: its own share, and what the others do not use of theirs.

All users may be at one controller, whose equal share would be a fifth of what the store takes. A member that lends its
share has it back at once; if all members together exceed the store's limit for a moment, the store refuses some
requests, and they are retried.
"""

from __future__ import annotations

import math

from alderbridge import constants
from alderbridge.state.write_classes import AssuredRates
from alderbridge.transport.token_bucket import TokenBucket


class WriteRateLimit:
    """This member's token bucket of changes, and the rates that the others reported."""

    def __init__(self, rate: float, members: int, now: float) -> None:
        """``rate``: changes a second that the store takes; ``members`` share it."""
        self.rate = rate
        self.share = rate / members
        self.budget = TokenBucket(self.share, self.share, now)
        self.assured = AssuredRates(self.share, now)
        self.is_short = False  # since the last report, users had to wait because the budget was used up
        self.changes_made, self.counted_at = 0, now  # changes since the last report, and when that was
        self.reported_rate = 0  # changes/s; as last reported
        self.peers: dict[str, tuple[int, float]] = {}  # member -> changes/s that it reported, and when

    def enter(self, members: int, now: float) -> None:
        """A new view, of that many members. Only members write: controllers outside the view get no share."""
        self.share = self.rate / max(1, members)
        self._change_rate(self.share, now)
        self.peers.clear()

    def spend(self, changes: int, now: float) -> None:
        """Account for changes that have been sent."""
        self.budget.spend(now, changes)
        self.changes_made += changes

    def record_peer_rate(self, label: str, changes: int, now: float) -> None:
        """How many changes a second another member made lately; below 0: it may make all of its share."""
        self.peers[label] = (changes, now)

    def refresh(self, now: float) -> None:
        """Update the rate that is reported to the others, and the rate that this member may use."""
        # At once when users wait: a member that borrows reports so, and lends nothing itself, from the same round on.
        if now - self.counted_at >= constants.LEADER_ROUND_S or (self.is_short and self.reported_rate < self.share):
            changes_made = math.ceil(self.changes_made / max(constants.ROUND_S, now - self.counted_at))
            self.reported_rate = max(changes_made, math.ceil(self.share)) if self.is_short else changes_made
            self.changes_made, self.counted_at, self.is_short = 0, now, False
        if self.reported_rate < self.share:
            self._change_rate(self.share, now)
            return
        unused, borrowers = 0.0, 1
        for changes, at in self.peers.values():
            if changes >= 0 and now - at < constants.LENT_RATE_TTL_S:
                unused += max(0.0, self.share - changes)
                borrowers += changes >= self.share
        self._change_rate(self.share + unused / borrowers, now)

    def _change_rate(self, rate: float, now: float) -> None:
        self.budget.change(rate, self.share, now)
        self.assured.change(rate, now)
