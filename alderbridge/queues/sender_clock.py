"""When a message was made, on the clock of the process that receives it. Pure.

A message says when it was made on its sender's steady clock, whose zero is unknown here. The one that was on its way
for the shortest time shows the offset best; clocks drift apart, so what it showed is trusted less as time passes.
Without this the times in a row that was held up for seconds would be wrong by them until it is sent again.
"""

from __future__ import annotations

import math

from alderbridge import constants


class SenderClock:
    """The clock of one sender under one view."""

    def __init__(self) -> None:
        """Nothing is known of it."""
        self.offset = math.inf  # of this process's clock to the sender's, and the shortest way of a message
        self.seen_at = 0.0

    def local_time(self, made_at: float, now: float) -> float:
        """The time here at which a message that arrives now was made; never later than now."""
        trusted = self.offset + 2 * constants.CLOCK_DRIFT * (now - self.seen_at)
        self.offset, self.seen_at = min(now - made_at, trusted), now
        return made_at + self.offset
