"""How many changes of the store a member may make: its own share, and what the others leave of theirs. Pure.

Users may all be at one controller, whose equal share is a fifth of what the store takes: a stream of small jobs waited
there for half a minute, while four fifths lay unused. Who lends has its own share at once; should all be more than the
store takes for a moment, it says so, and the same goes a little later.
"""

from __future__ import annotations

import math

from alderbridge import constants
from alderbridge.transport.http import TokenBucket


class WriteRateLimit:
    """This member's budget of changes, and what the members told of theirs."""

    def __init__(self, rate: float, members: int, now: float) -> None:
        """``rate``: changes a second that the store takes; ``members`` share it."""
        self.rate = rate
        self.share = rate / members
        self.budget = TokenBucket(self.share, self.share, now)
        self.is_short = False  # what users wait for was more than the budget allowed, since this was last told
        self.changes_made, self.counted_at, self.reported_rate = (
            0,
            now,
            0,
        )  # changes since then, and how many were told then
        self.peers: dict[str, tuple[int, float]] = {}  # member -> changes that it told, and when

    def enter(self, members: int, now: float) -> None:
        """A new view. Only members write.

        Divided by all controllers of the settings, four fifths of the store's changes lay unused while the one that
        was left made the users of a stream of small jobs wait for half a minute.
        """
        self.share = self.rate / max(1, members)
        self.budget.change(self.share, self.share, now)
        self.peers.clear()

    def spend(self, changes: int, now: float) -> None:
        """That many changes are on their way."""
        self.budget.spend(now, changes)
        self.changes_made += changes

    def record_peer_rate(self, label: str, changes: int, now: float) -> None:
        """How many changes another member made lately; below 0: it may make all of its share."""
        self.peers[label] = (changes, now)

    def refresh(self, now: float) -> None:
        """What this member makes of its share, and what it may make of the others'."""
        # At once when users wait: who takes what is lent says so, and lends nothing itself, from the same round on.
        if now - self.counted_at >= constants.LEADER_ROUND_S or (self.is_short and self.reported_rate < self.share):
            changes_made = math.ceil(self.changes_made / max(constants.ROUND_S, now - self.counted_at))
            self.reported_rate = max(changes_made, math.ceil(self.share)) if self.is_short else changes_made
            self.changes_made, self.counted_at, self.is_short = 0, now, False
        if self.reported_rate < self.share:
            self.budget.change(self.share, self.share, now)
            return
        lent, takers = 0.0, 1
        for changes, at in self.peers.values():
            if changes >= 0 and now - at < constants.LENT_RATE_TTL_S:
                lent += max(0.0, self.share - changes)
                takers += changes >= self.share
        self.budget.change(self.share + lent / takers, self.share, now)
