"""GPUs reserved for each team's replicas, and the free GPUs on machines that make up the reserve."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from typing import NamedTuple


class GpuReserve:
    """Peak GPU use of each team's replicas within the retention time (``retention_s`` of the configuration).

    Peak GPUs stay reserved, so that a load that rises and falls repeatedly within that time is served by one reclaim.
    Held in memory only: a new leader starts from the current use, which costs at most one more reclaim.
    """

    def __init__(self) -> None:
        """Start without any recorded use."""
        self.peaks: dict[str, deque[tuple[float, float]]] = {}  # team -> (time, GPUs), decreasing in GPUs

    def record_use(self, used: Mapping[str, float], now: float) -> None:
        """Record the GPUs of each team's replicas, including replicas that wait within its guarantee."""
        for team in used.keys() | self.peaks.keys():
            peaks, gpus = self.peaks.setdefault(team, deque()), used.get(team, 0.0)
            while peaks and peaks[-1][1] <= gpus:
                peaks.pop()
            peaks.append((now, gpus))

    def gpus_to_reserve(
        self, team: str, declared: float, guarantee: float, used: float, retention_s: float, now: float
    ) -> float:
        """Return how many GPUs to reserve for a team's replicas beyond those in use, within its guarantee.

        ``declared``: GPUs that the configuration reserves for the team.
        """
        peaks = self.peaks.get(team, deque())
        while peaks and now - peaks[0][0] > retention_s:
            peaks.popleft()
        peak = peaks[0][1] if peaks else 0.0
        return max(0.0, min(max(peak, used + declared), guarantee) - used)


class FreeGpus(NamedTuple):
    """A machine with free GPUs."""

    machine: str
    gpus: float
    cached: bool  # has the image of a service
    serves: bool  # runs replicas


def allocate_reserve(gpus: float, machines: Iterable[FreeGpus]) -> dict[str, float]:
    """Return the free GPUs to reserve on each machine; nothing is preempted to fill a reserve.

    Machines with a cached service image come first, then those without replicas, then those with the most free GPUs.
    """
    result: dict[str, float] = {}
    for machine in sorted(machines, key=lambda free: (not free.cached, free.serves, -free.gpus, free.machine)):
        if gpus <= 1e-9:
            break
        reserved = min(machine.gpus, gpus)
        if reserved > 0:
            result[machine.machine] = reserved
            gpus -= reserved
    return result
