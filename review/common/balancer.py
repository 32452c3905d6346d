"""Stand-in of the load balancer: health checks as the protocol page has them, and a healthy node for a request."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from typing import Any

from net import request

now = time.monotonic


class Balancer:
    """Probes the nodes about once a second, and sends each request to a healthy one."""

    def __init__(self, addresses: dict[str, str]) -> None:
        """``addresses``: by label."""
        self.addresses = addresses
        self.healthy = dict.fromkeys(addresses, False)
        self.never_healthy = set(addresses)
        self.probes: dict[str, deque[bool]] = {label: deque(maxlen=6) for label in addresses}
        self.removed_at: dict[str, list[float]] = {label: [] for label in addresses}
        self.chosen = 0

    async def run(self) -> None:
        """Probe all nodes until cancelled."""
        while True:
            began_at = now()
            await asyncio.gather(*(self._probe(label) for label in self.addresses))
            await asyncio.sleep(max(0.0, began_at + 1.0 - now()))

    async def _probe(self, label: str) -> None:
        status, _ = await request(self.addresses[label], "GET", "/healthz", None, 1.0)
        probes = self.probes[label]
        probes.append(status == 200)
        last = list(probes)
        if self.healthy[label]:
            if last[-2:] == [False, False] or last.count(False) >= 3:
                self.healthy[label] = False
                self.removed_at[label].append(now())
        elif label in self.never_healthy:
            self.healthy[label] = status == 200
        else:
            removals = [at for at in self.removed_at[label] if at > now() - 120.0]
            pause_s = min(60.0, 3.0 * 2 ** max(0, len(removals) - 1))
            since = self.removed_at[label][-1] if self.removed_at[label] else 0.0
            if last[-2:] == [True, True] and now() - since >= pause_s:
                self.healthy[label] = True
                probes.clear()
        if self.healthy[label]:
            self.never_healthy.discard(label)

    async def send(
        self, method: str, path: str, body: Any = None, timeout: float = 2.0
    ) -> tuple[str, int, dict[str, Any]]:
        """Send a request through a new connection; label, status and body, or ("", 0, {}) if no node is healthy."""
        labels = [label for label, healthy in self.healthy.items() if healthy]
        if not labels:
            return "", 0, {}
        self.chosen += 1
        label = labels[self.chosen % len(labels)]
        return label, *await request(self.addresses[label], method, path, body, timeout)
