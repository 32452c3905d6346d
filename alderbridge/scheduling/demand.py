"""What waits and what it may run on, as the renting policy sees them."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple

from alderbridge.protocol.wire import JobSpec
from alderbridge.scheduling.placement import allowed
from alderbridge.scheduling.resources import Resources


class MachineKind(NamedTuple):
    """What can be rented: a type in a zone, spot or ordinary."""

    type: str
    zone: str
    spot: bool


@dataclass
class MachineResource:
    """A machine as the paper's heuristic sees it: what is free now, what comes free when."""

    kind: MachineKind
    free: Resources
    ends: Sequence[tuple[float, float, float, float]] = ()  # in s, cpus, memory, gpus


@dataclass(frozen=True)
class Demand:
    """The waiting tasks of one job."""

    spec: JobSpec
    count: int
    due_in_s: float  # until its Maximum Queue Time is breached
    run_s: float  # Expected Run Time
    zone: str | None = None


def may_use(demand: Demand, kind: MachineKind) -> bool:
    """Whether its tasks may run on such a machine, room apart."""
    return allowed(demand.spec, kind.type, kind.zone, kind.spot) and demand.zone in (None, kind.zone)
