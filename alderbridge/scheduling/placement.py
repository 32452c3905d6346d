"""Which waiting tasks are placed on a machine with free capacity.

Jobs that can still meet a deadline come first, then higher priority, then earlier deadline; the time to fetch a missing
image counts as a later deadline. Only machines of an allowed type, zone and kind (spot or on-demand) are used.

Offers are sorted as they arrive, not for each heartbeat: ``fill`` reads them in order and stops when the machine is
full. Offers whose image must be fetched are deferred in a heap until their adjusted key is due, so no second sort is
needed.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable, Iterable, Mapping

import msgspec

from alderbridge.protocol.wire import JobSpec, MachineType
from alderbridge.scheduling.offers import Offer, OfferEntry, Offers
from alderbridge.scheduling.resources import Resources, remaining_after, tasks_that_fit

# How many of an offer's tasks are left to other machines.
CapacityElsewhere = Callable[[Offer], int]
# Whether the machine's remaining capacity is reserved for an offer whose tasks do not fit into it yet. Without this,
# smaller tasks would take each slot as it becomes free, and large tasks would starve: 8-CPU tasks waited for as long as
# there were smaller ones.
ReservesCapacity = Callable[[Offer], bool]
# Whether tasks of a job may use capacity that is reserved for others. True for jobs that may preempt: otherwise the
# capacity would stay idle while other tasks are preempted for them.
MayUseReserved = Callable[[JobSpec], bool]
# Everything in a job's description that decides on which machines its tasks may run.
_Requirements = tuple[float, float, float, bool, str | None, tuple[str, ...]]


class Candidate(msgspec.Struct, frozen=True):
    """A machine on which tasks may be placed."""

    name: str
    type: str
    zone: str
    spot: bool
    free: Resources
    images: Mapping[str, float] | frozenset[str]


class PlacementRequest(msgspec.Struct, frozen=True):
    """Tasks of one job to request from its shard for one machine."""

    owner: str = msgspec.field(name="home")
    job: str
    machine: str
    zone: str
    count: int


def allowed(spec: JobSpec, machine_type: str, zone: str, spot: bool) -> bool:
    """Whether the constraints of ``spec`` allow such a machine; free capacity is not checked."""
    return (
        (spec.types is None or machine_type in spec.types)
        and (spec.zone is None or spec.zone == zone)
        and (spec.spot or not spot)
    )


class BusyMachines:
    """The machines of a machine shard that run tasks and have free capacity, as of one placement round."""

    def __init__(self, machines: Iterable[Candidate]) -> None:
        """``machines``: only machines that run tasks."""
        self.machines = list(machines)
        self.capacities: dict[_Requirements, int] = {}

    def capacity_for(self, spec: JobSpec) -> int:
        """How many tasks of ``spec`` fit on these machines; cached for jobs with the same requirements."""
        requirements = (spec.cpus, spec.memory_gb, spec.gpus, spec.spot, spec.zone, tuple(spec.types or ()))
        if requirements not in self.capacities:
            self.capacities[requirements] = sum(
                tasks_that_fit(spec, machine.free)
                for machine in self.machines
                if allowed(spec, machine.type, machine.zone, machine.spot)
            )
        return self.capacities[requirements]


def runnable(spec: JobSpec, types: Iterable[MachineType]) -> bool:
    """Whether a task of ``spec`` fits on an empty machine of any allowed type."""
    for machine_type in types:
        zones = machine_type.zones or [""]
        if any(allowed(spec, machine_type.name, zone, False) for zone in zones):
            if tasks_that_fit(spec, (machine_type.cpus, machine_type.memory_gb, machine_type.gpus)):
                return True
    return False


def fill_claimed(machine: Candidate, offers: Offers, job: str, count: int) -> list[PlacementRequest]:
    """Request up to ``count`` tasks of the job that holds a claim on the machine, and deduct them from its offers."""
    result, free = [], machine.free
    for *_, offer in offers.in_order():
        if offer.row.job != job or offer.remaining <= 0 or offer.row.zone not in (None, machine.zone):
            continue
        number = min(tasks_that_fit(offer.spec, free), offer.remaining, count)
        if number > 0 and allowed(offer.spec, machine.type, machine.zone, machine.spot):
            offer.remaining -= number
            free, count = remaining_after(free, offer.spec, number), count - number
            result.append(PlacementRequest(offer.label, job, machine.name, machine.zone, number))
    return result


def _reserve_nothing(offer: Offer) -> bool:
    return False


def _may_not_use_reserved(spec: JobSpec) -> bool:
    return False


def fill(
    machine: Candidate,
    offers: Offers,
    fetch_s: Callable[[JobSpec], float],
    capacity_elsewhere: CapacityElsewhere,
    reserve: ReservesCapacity = _reserve_nothing,
    now: float = math.inf,
    may_use_reserved: MayUseReserved = _may_not_use_reserved,
) -> list[PlacementRequest]:
    """Request the tasks that fit on one machine, and deduct them from the offers.

    ``fetch_s``: how long the machine would take to fetch a job's image; 0 if it has the image.
    """
    requests: list[PlacementRequest] = []
    free, min_cpus = machine.free, offers.min_cpus - 1e-9
    if free[0] < min_cpus:
        return requests
    deferred: list[OfferEntry] = []  # heap of offers whose image must be fetched, by deadline plus fetch time
    for entry in offers.in_order():
        if free[0] < min_cpus:
            return requests
        while deferred and deferred[0][:3] <= entry[:3]:
            free = _request(machine, heapq.heappop(deferred)[-1], free, capacity_elsewhere, requests)
        offer = entry[-1]
        spec = offer.spec
        if offer.remaining <= 0:
            continue
        if spec.cpus > free[0] + 1e-9 or spec.memory_gb > free[1] + 1e-9 or spec.gpus > free[2] + 1e-9:
            if now >= offer.reserve_from and reserve(offer):
                _request_from_reserved(machine, offers, free, capacity_elsewhere, may_use_reserved, requests)
                return requests
            continue
        zone = offer.row.zone
        if not allowed(spec, machine.type, machine.zone, machine.spot) or (zone is not None and zone != machine.zone):
            continue
        fetch_time_s = fetch_s(spec)
        if fetch_time_s > 0:
            heapq.heappush(deferred, (*entry[:2], entry[2] + fetch_time_s, *entry[3:]))
        else:
            free = _request(machine, offer, free, capacity_elsewhere, requests)
    _request_deferred(machine, deferred, free, capacity_elsewhere, requests)
    return requests


def _request(
    machine: Candidate,
    offer: Offer,
    free: Resources,
    capacity_elsewhere: CapacityElsewhere,
    requests: list[PlacementRequest],
) -> Resources:
    """Request as many tasks of the offer as fit; returns the remaining free capacity."""
    count = min(tasks_that_fit(offer.spec, free), offer.remaining - capacity_elsewhere(offer))
    if count <= 0:
        return free
    offer.remaining -= count
    requests.append(PlacementRequest(offer.label, offer.row.job, machine.name, machine.zone, count))
    return remaining_after(free, offer.spec, count)


def _request_from_reserved(
    machine: Candidate,
    offers: Offers,
    free: Resources,
    capacity_elsewhere: CapacityElsewhere,
    may_use_reserved: MayUseReserved,
    requests: list[PlacementRequest],
) -> None:
    """Request only tasks that may use reserved capacity, in placement order and without regard to their images."""
    for *_, offer in offers.in_order():
        zone = offer.row.zone
        if (
            offer.remaining > 0
            and may_use_reserved(offer.spec)
            and allowed(offer.spec, machine.type, machine.zone, machine.spot)
            and zone in (None, machine.zone)
        ):
            free = _request(machine, offer, free, capacity_elsewhere, requests)


def _request_deferred(
    machine: Candidate,
    deferred: list[OfferEntry],
    free: Resources,
    capacity_elsewhere: CapacityElsewhere,
    requests: list[PlacementRequest],
) -> None:
    """Request the deferred tasks that fit, in the order of their adjusted keys."""
    while deferred:
        free = _request(machine, heapq.heappop(deferred)[-1], free, capacity_elsewhere, requests)
