"""Converts the send time of a message from its sender's clock to the local clock.

A message carries its send time on the sender's monotonic clock, whose zero is unknown here. The message with the
shortest delay gives the best estimate of the offset; as clocks drift, the bound on it widens with time. Without the
conversion, times in a delayed row would be wrong by the delay until the row is sent again.
"""

from __future__ import annotations

import math

from alderbridge import constants


class SenderClock:
    """The clock offset of one sender under one view."""

    def __init__(self) -> None:
        """Start without an estimate."""
        self.offset = math.inf  # local minus sender clock, plus the shortest delay of a message, in s
        self.updated_at = 0.0

    def to_local_time(self, sent_at: float, now: float) -> float:
        """Return the local time at which a message that arrives now was sent; never later than ``now``."""
        max_offset = self.offset + 2 * constants.MAX_CLOCK_DRIFT * (now - self.updated_at)
        self.offset, self.updated_at = min(now - sent_at, max_offset), now
        return sent_at + self.offset
