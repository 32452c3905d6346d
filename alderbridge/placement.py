"""Which waiting tasks go to which machine of this part.

A machine is filled when it reports, since only then it can be given orders:
with whatever is next in line, may run there and fits.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from .mesh import QueueRow
from .wire import PRIORITIES, JobSpec, MachineType

Room = tuple[float, float, float]  # cpus, memory, gpus


@dataclass(frozen=True)
class Candidate:
    """A machine that may be given tasks."""

    name: str
    type: str
    zone: str
    spot: bool
    free: Room
    ends: Sequence[tuple[float, float, float, float]] = ()  # of what runs: remaining s, cpus, memory, gpus


@dataclass(frozen=True)
class Wanted:
    """Tasks of one job to ask its home for, for one machine."""

    home: str
    job: str
    machine: str
    zone: str
    count: int


def allowed(spec: JobSpec, machine_type: str, zone: str, spot: bool) -> bool:
    return ((spec.types is None or machine_type in spec.types) and (spec.zone is None or spec.zone == zone)
            and (spec.spot or not spot))


def fits(spec: JobSpec, room: Room) -> int:
    """How many tasks of ``spec`` the room holds."""
    counts = [math.floor(room[0] / spec.cpus + 1e-9)]
    if spec.memory_gb > 0:
        counts.append(math.floor(room[1] / spec.memory_gb + 1e-9))
    if spec.gpus > 0:
        counts.append(math.floor(room[2] / spec.gpus + 1e-9))
    return max(0, min(counts))


def minus(room: Room, spec: JobSpec, count: int) -> Room:
    return (room[0] - spec.cpus * count, room[1] - spec.memory_gb * count, room[2] - spec.gpus * count)


def runnable(spec: JobSpec, types: Iterable[MachineType]) -> bool:
    """Whether a task of ``spec`` fits any allowed machine type when empty."""
    for kind in types:
        zones = kind.zones or [""]
        if any(allowed(spec, kind.name, zone, False) for zone in zones):
            if fits(spec, (kind.cpus, kind.memory_gb, kind.gpus)):
                return True
    return False


def order(row: QueueRow, spec: JobSpec, due_in_s: float) -> tuple[bool, int, float]:
    """Whose turn it is: what can still be in time, higher priority, soonest deadline.

    Work within its team's guarantee need not wait for other teams: it ranks with
    the highest. Where there is room for all, this is the paper's order.
    """
    rank = len(PRIORITIES) if row.guaranteed else spec.rank
    return row.late, -rank, due_in_s


def frees_up(spec: JobSpec, machine: Candidate) -> float | None:
    """Until a task of ``spec`` is expected to fit the machine; None if it never does."""
    room = machine.free
    for end, cpus, memory, gpus in sorted(machine.ends):
        room = (room[0] + cpus, room[1] + memory, room[2] + gpus)
        if fits(spec, room):
            return end
    return None


def plan(machine: Candidate, queue: Iterable[tuple[str, QueueRow, JobSpec]],
         kept_elsewhere: Mapping[tuple[str, str], int], parts: int = 1) -> tuple[list[Wanted], tuple[str, str] | None]:
    """What to ask homes for, in the queue's order, and for which job room is kept.

    The first job that would fit but for what runs there now has room kept for
    it: without that, small tasks would take each gap and a large one would never
    start. Until then, only work that is expected to end in time goes there.
    ``kept_elsewhere`` tells how many other machines of this part keep room for a
    job; all parts together keep room on half as many machines as it has tasks.
    """
    room = machine.free
    kept: tuple[str, str] | None = None
    until = math.inf
    result: list[Wanted] = []
    for home, row, spec in queue:
        if row.offer <= 0 or not allowed(spec, machine.type, machine.zone, machine.spot):
            continue
        if row.zone is not None and machine.zone != row.zone:
            continue
        count = min(fits(spec, room), row.offer)
        if count:
            if row.run_s <= until:
                result.append(Wanted(home, row.job, machine.name, machine.zone, count))
                room = minus(room, spec, count)
        elif kept is None and not result and kept_elsewhere.get((home, row.job), 0) < row.offer / parts / 2:
            free_in = frees_up(spec, machine)
            if free_in is not None:
                kept, until = (home, row.job), free_in
    return result, kept
