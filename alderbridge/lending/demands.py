"""Replicas within their team's guarantee that neither free room nor room that comes free in time serves."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

from alderbridge import constants
from alderbridge.lending.fleet import ServingFleet
from alderbridge.lending.rules import LendingRules
from alderbridge.preemption import PreemptionDemand
from alderbridge.protocol.wire import JobSpec
from alderbridge.scheduling.demand import MachineKind, MachineResource
from alderbridge.scheduling.placement import allowed
from alderbridge.scheduling.resources import Resources, fits

REASON = "serving"


class ServingJob(NamedTuple):
    """A job of a class that serves."""

    spec: JobSpec
    on: int  # replicas on machines, or on their way there
    waiting: int = 0
    offer: int = 0  # of these, what its job shard would grant now
    due_in_s: float = math.inf
    zone: str | None = None  # the only zone that it may use now
    guaranteed: bool = False  # lies within its team's guarantee, as the protocol counts
    order: tuple[Any, ...] = ()  # as placement has it


class FreeRoom:
    """What is free on one machine, while replicas are counted into it."""

    __slots__ = ("kind", "free", "ends")

    def __init__(
        self, kind: MachineKind, free: Resources, ends: Iterable[tuple[float, float, float, float]] = ()
    ) -> None:
        """``ends``: tasks that end, as (in s, cpus, memory in GB, GPUs)."""
        self.kind, self.free, self.ends = kind, free, ends

    def within(self, horizon_s: float) -> Resources:
        """Return what is free, with what comes free in that time."""
        coming = [end for end in self.ends if end[0] <= horizon_s]
        cpus, memory, gpus = (self.free[i] + sum(end[i + 1] for end in coming) for i in range(3))
        return cpus, memory, gpus

    def take(self, spec: JobSpec, count: int) -> None:
        """Count that many tasks of the job into it."""
        cpus, memory, gpus = self.free
        self.free = (cpus - count * spec.cpus, memory - count * spec.memory_gb, gpus - count * spec.gpus)


def gpus_in_use(services: Iterable[ServingJob]) -> Counter[str]:
    """Return the GPUs of each team's replicas."""
    result: Counter[str] = Counter()
    for one in services:
        result[one.spec.team] += one.on * one.spec.gpus  # type: ignore[assignment]
    return result


class ServingDemands:
    """Counts what replicas need, and remembers which jobs the choice of victims must treat with care."""

    def __init__(self, rules: LendingRules, fleet: ServingFleet) -> None:
        """``fleet``: as the shards reported last."""
        self.rules, self.fleet = rules, fleet
        self.unsure: set[str] = set()  # jobs of whose replicas it is not known in which zones they are
        self.own_only: set[str] = set()  # jobs whose team is at its limit: only its own tasks make room there

    def find(
        self,
        services: Iterable[ServingJob],
        resources: Iterable[MachineResource],
        used: Mapping[str, tuple[float, float]],
        promised: Mapping[str, int],
    ) -> list[PreemptionDemand]:
        """Return replicas that nothing else serves in time, in the order of placement.

        ``resources``: machines without a claim, booting ones as room that comes. ``used``: what each team's tasks
        take, cpus and GPUs. ``promised``: tasks of a job that claims make room for.
        """
        services = sorted(services, key=lambda one: one.order)
        within = {team: self.rules.guarantee(team) - gpus for team, gpus in gpus_in_use(services).items()}
        rooms = [FreeRoom(one.kind, one.free, one.ends) for one in resources]
        self.own_only, self.unsure = set(), set()
        result = []
        for one in services:
            spec, team = one.spec, one.spec.team
            count = min(one.waiting, max(0, math.floor(within[team] / spec.gpus + 1e-9)))
            within[team] -= count * spec.gpus
            coming = min(count, promised.get(spec.id, 0))
            unserved = self._unserved(one, count - coming, coming, rooms, used)
            if unserved > 0:
                result.append(PreemptionDemand(spec, unserved, one.due_in_s, REASON, one.zone, one.guaranteed))
        return result

    def _unserved(
        self,
        one: ServingJob,
        count: int,
        coming: int,
        rooms: list[FreeRoom],
        used: Mapping[str, tuple[float, float]],
    ) -> int:
        """How many of ``count`` replicas have no room; ``coming``: others, that claims make room for."""
        if count <= 0:
            return 0
        headroom = self.rules.headroom(one.spec, used) - coming
        if headroom <= 0:
            # Preempting others' tasks would make room that its team may not use.
            self.own_only.add(one.spec.id)
            return count
        free = 0
        if one.spec.spread and sum(self.fleet.zones_of(one.spec).values()) < one.on:
            self.unsure.add(one.spec.id)  # the shards are asked; free room counts when they have reported
        else:
            free = self.count_into(rooms, one, int(min(count, headroom)))
        return int(min(count - free, headroom - free, one.offer - coming - free))

    def count_into(self, rooms: list[FreeRoom], one: ServingJob, most: int) -> int:
        """Return how many of the replicas go where room is, or comes while lending would take; takes that room."""
        spec, found = one.spec, 0
        horizon_s = max(one.due_in_s, spec.save_s + constants.LEND_S)
        by_zone = self.fleet.zones_of(spec)
        for room in rooms:
            kind = room.kind
            if found >= most:
                break
            if not allowed(spec, kind.type, kind.zone, kind.spot) or one.zone not in (None, kind.zone):
                continue
            count = min(fits(spec, room.within(horizon_s)), most - found, self.fleet.quota(spec, by_zone, kind.zone))
            if count > 0:
                room.take(spec, count)
                by_zone[kind.zone] += count
                found += count
        return found
