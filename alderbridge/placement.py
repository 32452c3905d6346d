"""Which waiting tasks go to which machine of this part.

Soonest deadline first. A machine must be of an allowed type, zone and kind and
have room. Among those, one that has the image goes first, then a spot machine
for jobs that may use spot (ordinary ones are kept for jobs that may not), then
the one that is filled best.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
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
    images: Mapping[str, float] | frozenset[str]


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


class Busy:
    """The machines of a part that run something and have room; made anew each round."""

    def __init__(self, machines: Iterable[Candidate]) -> None:
        self.machines = list(machines)
        self.rooms: dict[tuple, int] = {}

    def room(self, spec: JobSpec) -> int:
        """How many tasks of ``spec`` fit them; alike jobs share the answer."""
        shape = (spec.cpus, spec.memory_gb, spec.gpus, spec.spot, spec.zone, tuple(spec.types or ()))
        if shape not in self.rooms:
            self.rooms[shape] = sum(fits(spec, machine.free) for machine in self.machines
                                    if allowed(spec, machine.type, machine.zone, machine.spot))
        return self.rooms[shape]


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
    the highest. A job that others need has the priority of the highest of them.
    Where there is room for all, this is the paper's order.
    """
    rank = len(PRIORITIES) if row.guaranteed else max(row.rank, spec.rank)
    return row.late, -rank, due_in_s


def plan(candidates: Iterable[Candidate], queue: Iterable[tuple[str, QueueRow, JobSpec]]) -> list[Wanted]:
    """What to ask for; ``queue`` is sorted, soonest deadline first."""
    room = {m.name: m.free for m in candidates}
    machines = {m.name: m for m in candidates}
    result: list[Wanted] = []
    for home, row, spec in queue:
        offer = row.offer
        if offer <= 0:
            continue
        if not room:
            break
        options = []
        for name, free in room.items():
            machine = machines[name]
            if not allowed(spec, machine.type, machine.zone, machine.spot):
                continue
            if row.zone is not None and machine.zone != row.zone:
                continue
            count = fits(spec, free)
            if count:
                options.append((spec.image not in machine.images, spec.spot and not machine.spot,
                                abs(count - offer), name, count))
        zone = row.zone
        for _, _, _, name, count in sorted(options):
            if spec.one_zone and zone is not None and machines[name].zone != zone:
                continue
            zone = machines[name].zone
            count = min(count, offer)
            result.append(Wanted(home, row.job, name, zone, count))
            room[name] = minus(room[name], spec, count)
            offer -= count
            if offer <= 0:
                break
    return result
