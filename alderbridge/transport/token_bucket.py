"""Token bucket: a rate limit with a burst. Time is an argument, in s of a steady clock."""

from __future__ import annotations


class TokenBucket:
    """``rate`` tokens a second, and up to ``burst`` at once; below 1 at once it would never let anything pass."""

    def __init__(self, rate: float, burst: float, now: float) -> None:
        """Full at ``now``."""
        self.rate, self.burst = rate, max(1.0, burst)
        self.level, self.at = self.burst, now

    def _fill(self, now: float) -> None:
        self.level = min(self.burst, self.level + (now - self.at) * self.rate)
        self.at = now

    def available(self, now: float) -> float:
        """How many tokens there are; below 0 where more were spent."""
        self._fill(now)
        return self.level

    def change(self, rate: float, burst: float, now: float) -> None:
        """Another rate and burst from now on."""
        self._fill(now)
        self.rate, self.burst = rate, max(1.0, burst)

    def try_take(self, now: float, amount: float = 1.0) -> bool:
        """Take tokens if that many are there; whether they were."""
        self._fill(now)
        if self.level < amount:
            return False
        self.level -= amount
        return True

    def spend(self, now: float, amount: float = 1.0) -> None:
        """Take tokens even if they are not there: for calls that cannot wait."""
        self._fill(now)
        self.level -= amount
