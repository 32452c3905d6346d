"""Waiting replicas, within their team's guarantee, that no free or soon free capacity can hold."""

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
from alderbridge.scheduling.resources import Resources, tasks_that_fit

REASON = "serving"


class ServingJob(NamedTuple):
    """A service that lent GPUs are reclaimed for."""

    spec: JobSpec
    placed: int  # replicas granted to machines, running or starting there
    waiting: int = 0
    offer: int = 0  # of the waiting replicas, those that the job shard would grant now
    due_in_s: float = math.inf
    zone: str | None = None  # the only zone that it may use now; None: any
    guaranteed: bool = False  # within its team's guarantee, as the protocol counts it
    order: tuple[Any, ...] = ()  # sort key of placement


class FreeCapacity:
    """The free capacity of one machine, reduced as replicas are assigned to it."""

    __slots__ = ("kind", "free", "ends")

    def __init__(
        self, kind: MachineKind, free: Resources, ends: Iterable[tuple[float, float, float, float]] = ()
    ) -> None:
        """``ends``: running tasks, as (seconds until the expected end, cpus, memory in GB, GPUs)."""
        self.kind, self.free, self.ends = kind, free, ends

    def free_within(self, horizon_s: float) -> Resources:
        """Return the free capacity, including that of tasks that end within the time."""
        ending = [end for end in self.ends if end[0] <= horizon_s]
        cpus, memory, gpus = (self.free[i] + sum(end[i + 1] for end in ending) for i in range(3))
        return cpus, memory, gpus

    def subtract(self, spec: JobSpec, count: int) -> None:
        """Subtract the resources of ``count`` tasks of the job."""
        cpus, memory, gpus = self.free
        self.free = (cpus - count * spec.cpus, memory - count * spec.memory_gb, gpus - count * spec.gpus)


def gpus_in_use(services: Iterable[ServingJob]) -> Counter[str]:
    """Return the GPUs of each team's placed replicas."""
    result: Counter[str] = Counter()
    for service in services:
        result[service.spec.team] += service.placed * service.spec.gpus  # type: ignore[assignment]
    return result


class ServingDemands:
    """Finds the replicas that need reclaimed GPUs, and the jobs for which the choice of victims is restricted."""

    def __init__(self, rules: LendingRules, fleet: ServingFleet) -> None:
        """``fleet``: as the machine shards last reported it."""
        self.rules, self.fleet = rules, fleet
        self.zones_unknown: set[str] = set()  # spread jobs, not all of whose placed replicas are in the last reports
        self.at_team_limit: set[str] = set()  # jobs for which only their own team's tasks may be preempted

    def find(
        self,
        services: Iterable[ServingJob],
        resources: Iterable[MachineResource],
        used: Mapping[str, tuple[float, float]],
        claimed_tasks: Mapping[str, int],
    ) -> list[PreemptionDemand]:
        """Return the replicas that need preemption to start in time, in placement order.

        ``resources``: machines without a claim; booting ones as capacity that is free later. ``used``: cpus and GPUs
        of each team's tasks. ``claimed_tasks``: job -> tasks that existing claims make capacity for.
        """
        services = sorted(services, key=lambda service: service.order)
        remaining = {team: self.rules.guarantee(team) - gpus for team, gpus in gpus_in_use(services).items()}
        machines = [FreeCapacity(one.kind, one.free, one.ends) for one in resources]
        self.at_team_limit, self.zones_unknown = set(), set()
        result = []
        for service in services:
            spec, team = service.spec, service.spec.team
            count = min(service.waiting, max(0, math.floor(remaining[team] / spec.gpus + 1e-9)))
            remaining[team] -= count * spec.gpus
            claimed = min(count, claimed_tasks.get(spec.id, 0))
            unserved = self._unserved(service, count - claimed, claimed, machines, used)
            if unserved > 0:
                result.append(
                    PreemptionDemand(spec, unserved, service.due_in_s, REASON, service.zone, service.guaranteed)
                )
        return result

    def _unserved(
        self,
        service: ServingJob,
        count: int,
        claimed: int,
        machines: list[FreeCapacity],
        used: Mapping[str, tuple[float, float]],
    ) -> int:
        """How many of ``count`` replicas do not fit; ``claimed``: further replicas that claims make capacity for."""
        if count <= 0:
            return 0
        headroom = self.rules.headroom(service.spec, used) - claimed
        if headroom <= 0:
            # Preempting other teams' tasks would free capacity that this team may not use.
            self.at_team_limit.add(service.spec.id)
            return count
        free = 0
        if service.spec.spread and sum(self.fleet.zones_of(service.spec).values()) < service.placed:
            self.zones_unknown.add(service.spec.id)  # selection counts free capacity after the shards have reported
        else:
            free = self.assign_to_free(machines, service, int(min(count, headroom)))
        return int(min(count - free, headroom - free, service.offer - claimed - free))

    def assign_to_free(self, machines: list[FreeCapacity], service: ServingJob, limit: int) -> int:
        """Assign up to ``limit`` replicas to machines with free capacity, and return how many were assigned.

        Capacity counts if it becomes free before the replicas' deadline, or before reclaimed GPUs would be free.
        """
        spec, assigned = service.spec, 0
        horizon_s = max(service.due_in_s, spec.save_s + constants.LENDING_DELAY_S)
        by_zone = self.fleet.zones_of(spec)
        for machine in machines:
            kind = machine.kind
            if assigned >= limit:
                break
            if not allowed(spec, kind.type, kind.zone, kind.spot) or service.zone not in (None, kind.zone):
                continue
            count = min(
                tasks_that_fit(spec, machine.free_within(horizon_s)),
                limit - assigned,
                self.fleet.remaining_in_zone(spec, by_zone, kind.zone),
            )
            if count > 0:
                machine.subtract(spec, count)
                by_zone[kind.zone] += count
                assigned += count
        return assigned
