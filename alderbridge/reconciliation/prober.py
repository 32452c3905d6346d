"""Schedules probes that ask machines to acknowledge a new fencing token."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable
from random import Random

from alderbridge import constants


class HeartbeatProber:
    """Probes each machine immediately in a given order, and retries with full jitter up to ``MAX_PROBE_ATTEMPTS``
    times.

    A machine that answers no probe hangs, is unreachable or dead. It is reconciled by its next heartbeat, the expiry
    of its lease, or its termination.
    """

    def __init__(self, rng: Random) -> None:
        """``rng``: for the jitter of the backoff."""
        self.rng = rng
        self.queue: list[tuple[float, int, str]] = []  # heap of (due time, order, machine)
        self.tries: dict[str, int] = {}  # machine -> number of probes

    def enter_view(self, machines: Iterable[str], now: float) -> None:
        """Start a new view: replace the queue by these machines, in this order, due immediately."""
        self.queue = [(now, number, name) for number, name in enumerate(machines)]
        self.tries = {}

    def next_machine(self, now: float, needs_no_probe: Callable[[str], bool]) -> str | None:
        """Remove and return a due machine, skipping those that need no probe; ``on_probe_failed`` queues it again."""
        while self.queue and self.queue[0][0] <= now:
            name = heapq.heappop(self.queue)[-1]
            if not needs_no_probe(name):
                self.tries[name] = self.tries.get(name, 0) + 1
                return name
        return None

    def due(self, now: float) -> bool:
        """Whether any machine is due to be probed."""
        return bool(self.queue) and self.queue[0][0] <= now

    def on_probe_failed(self, name: str, now: float) -> None:
        """A probe failed: queue the machine again after a backoff, unless its tries are used up."""
        tries = self.tries.get(name, 0)
        if 0 < tries < constants.MAX_PROBE_ATTEMPTS:
            pause_s = self.rng.uniform(
                0.0, min(constants.PROBE_BACKOFF_MAX_S, constants.PROBE_BACKOFF_BASE_S * 2**tries)
            )
            heapq.heappush(self.queue, (now + pause_s, len(self.queue), name))
