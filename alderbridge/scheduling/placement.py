"""Which waiting tasks go to a machine of this machine shard that has room.

What can still be in time first, then higher priority, then soonest deadline; an image that must be fetched counts as a
later deadline. The machine must be of an allowed type, zone and kind.

What the job shards offer is sorted when it arrives, not for each heartbeat: ``fill`` reads it from the front and stops
when the machine is full. An offer whose image must be fetched waits in a heap until its later deadline comes, so that
the front of the list is enough.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable, Iterable, Mapping

import msgspec

from alderbridge.protocol.wire import JobSpec, MachineType
from alderbridge.scheduling.offers import Entry, Offer, Offers
from alderbridge.scheduling.resources import Resources, fits, minus

# How many of an offer's tasks are left to other machines.
RoomElsewhere = Callable[[Offer], int]
# Whether the room that is left stays free for an offer whose tasks it does not hold yet. Smaller tasks took each slot
# as it came free, and 8-CPU tasks waited for as long as there were any.
KeepsRoom = Callable[[Offer], bool]
# Whether tasks of a job may use room that is kept for others: work for which others' work may be stopped. Kept from it,
# the room stayed idle while others' tasks were stopped for it.
MayUseKept = Callable[[JobSpec], bool]
_Shape = tuple[float, float, float, bool, str | None, tuple[str, ...]]  # what decides where a task may run


class Candidate(msgspec.Struct, frozen=True):
    """A machine that may be given tasks."""

    name: str
    type: str
    zone: str
    spot: bool
    free: Resources
    images: Mapping[str, float] | frozenset[str]


class PlacementRequest(msgspec.Struct, frozen=True):
    """Tasks of one job to ask its shard for, for one machine."""

    owner: str = msgspec.field(name="home")
    job: str
    machine: str
    zone: str
    count: int


def allowed(spec: JobSpec, machine_type: str, zone: str, spot: bool) -> bool:
    """Whether tasks of ``spec`` may run on such a machine, room apart."""
    return (
        (spec.types is None or machine_type in spec.types)
        and (spec.zone is None or spec.zone == zone)
        and (spec.spot or not spot)
    )


class BusyMachines:
    """The machines of a machine shard that run something and have room; made anew each round."""

    def __init__(self, machines: Iterable[Candidate]) -> None:
        """``machines``: those that run something."""
        self.machines = list(machines)
        self.capacities: dict[_Shape, int] = {}

    def capacity_for(self, spec: JobSpec) -> int:
        """How many tasks of ``spec`` fit them; alike jobs share the answer."""
        shape = (spec.cpus, spec.memory_gb, spec.gpus, spec.spot, spec.zone, tuple(spec.types or ()))
        if shape not in self.capacities:
            self.capacities[shape] = sum(
                fits(spec, machine.free)
                for machine in self.machines
                if allowed(spec, machine.type, machine.zone, machine.spot)
            )
        return self.capacities[shape]


def runnable(spec: JobSpec, types: Iterable[MachineType]) -> bool:
    """Whether a task of ``spec`` fits any allowed machine type when empty."""
    for kind in types:
        zones = kind.zones or [""]
        if any(allowed(spec, kind.name, zone, False) for zone in zones):
            if fits(spec, (kind.cpus, kind.memory_gb, kind.gpus)):
                return True
    return False


def fill_claimed(machine: Candidate, offers: Offers, job: str, count: int) -> list[PlacementRequest]:
    """What to ask for of the one job that has a claim to the machine's room, at most ``count``; off ``left``."""
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


def _keep_nothing(offer: Offer) -> bool:
    return False


def _may_not_use_kept(spec: JobSpec) -> bool:
    return False


def fill(
    machine: Candidate,
    offers: Offers,
    fetch_s: Callable[[JobSpec], float],
    room_elsewhere: RoomElsewhere,
    keep: KeepsRoom = _keep_nothing,
    now: float = math.inf,
    may_use_kept: MayUseKept = _may_not_use_kept,
) -> list[PlacementRequest]:
    """What to ask for, for one machine; takes it off ``left``. ``fetch_s``: of an image, zero where it is there."""
    requests: list[PlacementRequest] = []
    room, least = machine.free, offers.least_cpus - 1e-9
    if room[0] < least:
        return requests
    later: list[Entry] = []  # a heap: their image must be fetched, so their deadline counts as later
    for entry in offers.in_order():
        if room[0] < least:
            return requests
        while later and later[0][:3] <= entry[:3]:
            room = _request(machine, heapq.heappop(later)[-1], room, room_elsewhere, requests)
        offer = entry[-1]
        spec = offer.spec
        if offer.left <= 0:
            continue
        if spec.cpus > room[0] + 1e-9 or spec.memory_gb > room[1] + 1e-9 or spec.gpus > room[2] + 1e-9:
            if now >= offer.patient_until and keep(offer):
                _request_kept(machine, offers, room, room_elsewhere, may_use_kept, requests)
                return requests
            continue
        zone = offer.row.zone
        if not allowed(spec, machine.type, machine.zone, machine.spot) or (zone is not None and zone != machine.zone):
            continue
        fetch = fetch_s(spec)
        if fetch > 0:
            heapq.heappush(later, (*entry[:2], entry[2] + fetch, *entry[3:]))
        else:
            room = _request(machine, offer, room, room_elsewhere, requests)
    _request_rest(machine, later, room, room_elsewhere, requests)
    return requests


def _request(
    machine: Candidate, offer: Offer, room: Resources, room_elsewhere: RoomElsewhere, requests: list[PlacementRequest]
) -> Resources:
    """Ask for as many tasks of the offer as the room holds; returns the room that is left."""
    count = min(fits(offer.spec, room), offer.left - room_elsewhere(offer))
    if count <= 0:
        return room
    offer.left -= count
    requests.append(PlacementRequest(offer.label, offer.row.job, machine.name, machine.zone, count))
    return minus(room, offer.spec, count)


def _request_kept(
    machine: Candidate,
    offers: Offers,
    room: Resources,
    room_elsewhere: RoomElsewhere,
    may_use_kept: MayUseKept,
    requests: list[PlacementRequest],
) -> None:
    """Ask for those tasks that may use the room though it is kept, whatever their images."""
    for *_, offer in offers.in_order():
        zone = offer.row.zone
        if (
            offer.left > 0
            and may_use_kept(offer.spec)
            and allowed(offer.spec, machine.type, machine.zone, machine.spot)
            and zone in (None, machine.zone)
        ):
            room = _request(machine, offer, room, room_elsewhere, requests)


def _request_rest(
    machine: Candidate,
    later: list[Entry],
    room: Resources,
    room_elsewhere: RoomElsewhere,
    requests: list[PlacementRequest],
) -> None:
    """Ask for all of the heap that the room holds."""
    while later:
        room = _request(machine, heapq.heappop(later)[-1], room, room_elsewhere, requests)
