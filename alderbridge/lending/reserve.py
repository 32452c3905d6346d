"""What is not lent again yet: a reserve for each team, and the free GPUs that make it up. Pure."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from typing import NamedTuple


class GpuReserve:
    """The most that each team's replicas used within the last ``keep_s``.

    A load that swings within that time finds its GPUs free, however often it swings: one reclaim, not one a swing.
    In the leader's memory: a new one begins with what is used then, which costs at most one reclaim more.
    """

    def __init__(self) -> None:
        """Begin without any use."""
        self.peaks: dict[str, deque[tuple[float, float]]] = {}  # team -> (time, GPUs), falling

    def record_use(self, used: Mapping[str, float], now: float) -> None:
        """Record the GPUs of each team's replicas, those that wait within its guarantee included."""
        for team in used.keys() | self.peaks.keys():
            peaks, gpus = self.peaks.setdefault(team, deque()), used.get(team, 0.0)
            while peaks and peaks[-1][1] <= gpus:
                peaks.pop()
            peaks.append((now, gpus))

    def gpus(self, team: str, declared: float, guarantee: float, used: float, keep_s: float, now: float) -> float:
        """Return how many more than it uses are to be free for a team's replicas, within its guarantee."""
        peaks = self.peaks.get(team, deque())
        while peaks and now - peaks[0][0] > keep_s:
            peaks.popleft()
        peak = peaks[0][1] if peaks else 0.0
        return max(0.0, min(max(peak, used + declared), guarantee) - used)


class FreeGpus(NamedTuple):
    """A machine with free GPUs."""

    machine: str
    gpus: float
    cached: bool  # weights of replicas
    serves: bool  # replicas run there


def allocate_reserve(gpus: float, machines: Iterable[FreeGpus]) -> dict[str, float]:
    """Return the free GPUs that lending work leaves alone, by machine.

    First where weights are cached, then on whole machines, then where most are free. What is not free is not
    reserved: nothing is stopped for a reserve.
    """
    held: dict[str, float] = {}
    for one in sorted(machines, key=lambda one: (not one.cached, one.serves, -one.gpus, one.machine)):
        if gpus <= 1e-9:
            break
        reserved = min(one.gpus, gpus)
        if reserved > 0:
            held[one.machine] = reserved
            gpus -= reserved
    return held
