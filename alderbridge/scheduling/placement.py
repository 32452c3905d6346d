"""Which waiting tasks go to a machine of this part that has room.

What can still be in time first, then higher priority, then soonest deadline; an
image that must be fetched counts as a later deadline. The machine must be of an
allowed type, zone and kind.

What the homes offer is put in order when they tell of it, not for each report:
``fill`` reads it from the front and stops when the machine is full.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable, Iterable, Mapping

import msgspec

from alderbridge.protocol.wire import JobSpec, MachineType
from alderbridge.scheduling.offers import Entry, Offer, Offers, order
from alderbridge.scheduling.resources import Resources, fits, minus

__all__ = [
    "BusyMachines",
    "Candidate",
    "Entry",
    "Offer",
    "Offers",
    "PlacementRequest",
    "Resources",
    "allowed",
    "fill",
    "fill_claimed",
    "fits",
    "minus",
    "order",
    "runnable",
]


class Candidate(msgspec.Struct, frozen=True):
    """A machine that may be given tasks."""

    name: str
    type: str
    zone: str
    spot: bool
    free: Resources
    images: Mapping[str, float] | frozenset[str]


class PlacementRequest(msgspec.Struct, frozen=True):
    """Tasks of one job to ask its home for, for one machine."""

    owner: str = msgspec.field(name="home")
    job: str
    machine: str
    zone: str
    count: int


def allowed(spec: JobSpec, machine_type: str, zone: str, spot: bool) -> bool:
    return (
        (spec.types is None or machine_type in spec.types)
        and (spec.zone is None or spec.zone == zone)
        and (spec.spot or not spot)
    )


class BusyMachines:
    """The machines of a part that run something and have room; made anew each round."""

    def __init__(self, machines: Iterable[Candidate]) -> None:
        self.machines = list(machines)
        self.rooms: dict[tuple, int] = {}

    def capacity_for(self, spec: JobSpec) -> int:
        """How many tasks of ``spec`` fit them; alike jobs share the answer."""
        shape = (spec.cpus, spec.memory_gb, spec.gpus, spec.spot, spec.zone, tuple(spec.types or ()))
        if shape not in self.rooms:
            self.rooms[shape] = sum(
                fits(spec, machine.free)
                for machine in self.machines
                if allowed(spec, machine.type, machine.zone, machine.spot)
            )
        return self.rooms[shape]


def runnable(spec: JobSpec, types: Iterable[MachineType]) -> bool:
    """Whether a task of ``spec`` fits any allowed machine type when empty."""
    for kind in types:
        zones = kind.zones or [""]
        if any(allowed(spec, kind.name, zone, False) for zone in zones):
            if fits(spec, (kind.cpus, kind.memory_gb, kind.gpus)):
                return True
    return False


def fill_claimed(machine: Candidate, offers: Offers, job: str, count: int) -> list[PlacementRequest]:
    """What to ask for of the one job that the machine's room is kept for, at most ``count``; off ``left``."""
    result, room = [], machine.free
    for *_, offer in offers.in_order():
        if offer.row.job != job or offer.left <= 0 or offer.row.zone not in (None, machine.zone):
            continue
        number = min(fits(offer.spec, room), offer.left, count)
        if number > 0 and allowed(offer.spec, machine.type, machine.zone, machine.spot):
            offer.left -= number
            room, count = minus(room, offer.spec, number), count - number
            result.append(PlacementRequest(offer.label, job, machine.name, machine.zone, number))
    return result


def fill(
    machine: Candidate,
    offers: Offers,
    fetch_s: Callable[[JobSpec], float],
    room_elsewhere: Callable[[Offer], int],
    keep: Callable[[Offer], bool] = lambda offer: False,
    now: float = math.inf,
) -> list[PlacementRequest]:
    """What to ask for, for one machine; takes it off ``left``.

    ``keep``: whether the room that is left stays free for an offer whose tasks it does not hold yet. Smaller
    tasks took each slot as it came free, and 8-CPU tasks waited for as long as there were any.
    ``room_elsewhere``: how many of an offer's tasks are left to other machines. An offer whose
    image must be fetched waits in a heap until its later deadline has its turn, so that the
    front of the list is enough.
    """
    result: list[PlacementRequest] = []
    room, least = machine.free, offers.least_cpus - 1e-9
    if room[0] < least:
        return result
    later: list[Entry] = []  # by the deadline less the fetch

    def ask(offer: Offer) -> None:
        nonlocal room
        count = min(fits(offer.spec, room), offer.left - room_elsewhere(offer))
        if count > 0:
            offer.left -= count
            room = minus(room, offer.spec, count)
            result.append(PlacementRequest(offer.label, offer.row.job, machine.name, machine.zone, count))

    for entry in offers.in_order():
        if room[0] < least:
            return result
        while later and later[0][:3] <= entry[:3]:
            ask(heapq.heappop(later)[-1])
        offer = entry[-1]
        spec = offer.spec
        if offer.left <= 0:
            continue
        if spec.cpus > room[0] + 1e-9 or spec.memory_gb > room[1] + 1e-9 or spec.gpus > room[2] + 1e-9:
            if now >= offer.patient_until and keep(offer):
                return result
            continue
        if not allowed(spec, machine.type, machine.zone, machine.spot):
            continue
        if offer.row.zone is not None and offer.row.zone != machine.zone:
            continue
        fetch = fetch_s(spec)
        if fetch > 0:
            late, rank, due, *rest = entry
            heapq.heappush(later, (late, rank, due + fetch, *rest))
        else:
            ask(offer)
    while later:
        ask(heapq.heappop(later)[-1])
    return result
