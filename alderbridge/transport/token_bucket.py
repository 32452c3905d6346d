"""Token bucket rate limiter. Times are arguments, in seconds of a monotonic clock."""

from __future__ import annotations


class TokenBucket:
    """``rate`` tokens a second, up to ``burst`` at once; a burst below 1 counts as 1, or nothing would ever pass."""

    def __init__(self, rate: float, burst: float, now: float) -> None:
        """The bucket is full at ``now``."""
        self.rate, self.burst = rate, max(1.0, burst)
        self.tokens, self.refilled_at = self.burst, now

    def _refill(self, now: float) -> None:
        self.tokens = min(self.burst, self.tokens + (now - self.refilled_at) * self.rate)
        self.refilled_at = now

    def available(self, now: float) -> float:
        """Number of tokens; negative after ``consume`` took more than there were."""
        self._refill(now)
        return self.tokens

    def set_rate(self, rate: float, burst: float, now: float) -> None:
        """Set another rate and burst, effective at ``now``."""
        self._refill(now)
        self.rate, self.burst = rate, max(1.0, burst)

    def try_take(self, now: float, amount: float = 1.0) -> bool:
        """Take tokens if that many are available; return whether they were."""
        self._refill(now)
        if self.tokens < amount:
            return False
        self.tokens -= amount
        return True

    def consume(self, now: float, amount: float = 1.0) -> None:
        """Take tokens even if there are not enough, for calls that cannot wait."""
        self._refill(now)
        self.tokens -= amount
