"""Which machines are asked for their acknowledgement of a new mandate, and when again."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable
from random import Random

from alderbridge import constants


class HeartbeatProber:
    """Each machine is asked at once, the likeliest to answer first, then again with full jitter, a few times.

    Who does not answer hangs, is cut off or dead: its next report, its lease or its return decides.
    """

    def __init__(self, rng: Random) -> None:
        self.rng = rng
        self.queue: list[tuple[float, int, str]] = []  # when, order, machine
        self.tries: dict[str, int] = {}

    def enter(self, machines: Iterable[str], now: float) -> None:
        """A new view: ask these, in this order; what an older view was still to ask is void."""
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
        return bool(self.queue) and self.queue[0][0] <= now

    def unanswered(self, name: str, now: float) -> None:
        tries = self.tries.get(name, 0)
        if 0 < tries < constants.PROBE_TRIES:
            pause = self.rng.uniform(0.0, min(constants.PROBE_BACKOFF_MAX_S, constants.PROBE_BACKOFF_S * 2**tries))
            heapq.heappush(self.queue, (now + pause, len(self.queue), name))
