"""Waiting tasks and the machines they may run on, as the renting policy models them."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple

from alderbridge.protocol.wire import JobSpec
from alderbridge.scheduling.placement import allowed
from alderbridge.scheduling.resources import Resources


class MachineKind(NamedTuple):
    """What can be rented: a machine type in a zone, as a spot or an on-demand machine."""

    type: str
    zone: str
    spot: bool


@dataclass
class MachineResource:
    """A machine's free capacity, and when its running tasks are expected to release more."""

    kind: MachineKind
    free: Resources
    ends: Sequence[tuple[float, float, float, float]] = ()  # seconds from now; released CPUs, memory in GB, GPUs


@dataclass(frozen=True)
class Demand:
    """The waiting tasks of one job."""

    spec: JobSpec
    count: int
    due_in_s: float  # seconds until the job's Maximum Queue Time is breached
    run_s: float  # Expected Run Time of one task
    zone: str | None = None  # the only zone its tasks may use; None: any


def may_use(demand: Demand, kind: MachineKind) -> bool:
    """Whether the demand's constraints allow this kind of machine; free capacity is not checked."""
    return allowed(demand.spec, kind.type, kind.zone, kind.spot) and demand.zone in (None, kind.zone)
