"""Which machines are asked for their acknowledgement of a new fencing token, and when again."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable
from random import Random

from alderbridge import constants


class HeartbeatProber:
    """Each machine is probed at once, the likeliest to answer first, then again with full jitter, a few times.

    One that does not answer hangs, is cut off or dead: its next heartbeat, its lease or its return decides.
    """

    def __init__(self, rng: Random) -> None:
        """``rng``: for the backoff."""
        self.rng = rng
        self.queue: list[tuple[float, int, str]] = []  # heap of: when, order, machine
        self.tries: dict[str, int] = {}  # machine -> probes so far

    def enter(self, machines: Iterable[str], now: float) -> None:
        """A new view: probe these, in this order; what was queued under an older view is void."""
        self.queue = [(now, number, name) for number, name in enumerate(machines)]
        self.tries = {}

    def next(self, now: float, settled: Callable[[str], bool]) -> str | None:
        """A machine that is due and not ``settled``; it is taken off until ``unanswered`` puts it back."""
        while self.queue and self.queue[0][0] <= now:
            name = heapq.heappop(self.queue)[-1]
            if not settled(name):
                self.tries[name] = self.tries.get(name, 0) + 1
                return name
        return None

    def due(self, now: float) -> bool:
        """Whether a machine is to be probed now."""
        return bool(self.queue) and self.queue[0][0] <= now

    def unanswered(self, name: str, now: float) -> None:
        """A probe failed: the machine is queued again after a pause, unless it had its last try."""
        tries = self.tries.get(name, 0)
        if 0 < tries < constants.PROBE_TRIES:
            pause_s = self.rng.uniform(0.0, min(constants.PROBE_BACKOFF_MAX_S, constants.PROBE_BACKOFF_S * 2**tries))
            heapq.heappush(self.queue, (now + pause_s, len(self.queue), name))
