"""Urgent work that nothing else serves in time: the only reason to preempt other work for it."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Container, Iterable, Mapping, Sequence
from dataclasses import replace
from typing import Protocol

from alderbridge.preemption.model import PreemptionDemand
from alderbridge.protocol.messages import QueueRow
from alderbridge.protocol.wire import JobSpec
from alderbridge.scheduling.demand import Demand, MachineResource, may_use
from alderbridge.scheduling.offers import order
from alderbridge.scheduling.resources import fits, minus
from alderbridge.scheduling.walk import Walk

_ROUNDING = 1e-9  # CPUs; free room may fall short of a task by so much


class UrgentClasses(Protocol):
    """Which work may preempt; ``reason`` is that of its claims."""

    reason: str

    def may_preempt(self, spec: JobSpec) -> bool:
        """Whether work like this may ask for others' room at all."""


def unserved_demands(
    classes: UrgentClasses,
    demands: Iterable[Demand],
    rows: Mapping[str, QueueRow],
    resources: Iterable[MachineResource],
    promised: Counter[str],
    stopped: Container[str],
) -> list[PreemptionDemand]:
    """Return tasks of classes that may preempt, left by free room, by room that comes free and by machines that boot.

    ``demands``: all that waits, within the teams' limits. ``resources``: without machines that have a claim, whose
    room is spoken for; ``promised``: tasks of a job that claims make room for. ``stopped``: jobs that claims have
    stopped: what was preempted does not preempt. The walk is in the order of placement, which gives the room.
    """
    queue = [demand for demand in demands if demand.spec.id in rows]
    queue.sort(key=lambda demand: order(rows[demand.spec.id], demand.spec, demand.due_in_s, classes.may_preempt))
    mine = [
        number
        for number, demand in enumerate(queue)
        if classes.may_preempt(demand.spec) and demand.spec.id not in stopped
    ]
    if not mine:
        return []
    waiting = [
        Demand(one.spec, max(0, one.count - promised[one.spec.id]), one.due_in_s, one.run_s, one.zone)
        for one in queue[: mine[-1] + 1]
    ]
    offered = [max(0, rows[one.spec.id].offer - promised[one.spec.id]) for one in waiting]
    left, placed = place_on_free_room(waiting, offered, resources)
    lacking = Walk(left, [less(one, count) for one, count in zip(waiting, placed, strict=True)]).lacking()
    result = []
    for number in mine:
        demand, row = waiting[number], rows[waiting[number].spec.id]
        count = min(lacking[number], offered[number] - placed[number])
        if count > 0:
            result.append(
                PreemptionDemand(demand.spec, count, demand.due_in_s, classes.reason, demand.zone, row.guaranteed)
            )
    return result


def less(demand: Demand, count: int) -> Demand:
    """The demand without ``count`` of its tasks."""
    return replace(demand, count=demand.count - count) if count else demand


def place_on_free_room(
    queue: Sequence[Demand], offered: Sequence[int], resources: Iterable[MachineResource]
) -> tuple[list[MachineResource], list[int]]:
    """Fill the room that is free now as placement does: on each machine all that fits, in the order of the queue.

    The walk cuts each machine into slots of the size of the first task that it may run. Where that task is larger than
    what is free, the walk sees no room at all, and others' work was stopped beside room that would have done
    (docs/incidents/claims-beside-free-room.md).

    ``offered``: how many tasks of each demand may start now. Returns the machines with what is then left of them, and
    how many tasks of each demand they were given.
    """
    placed = [0] * len(queue)
    least_cpus = min((demand.spec.cpus for demand in queue), default=math.inf) - _ROUNDING
    left = []
    for resource in resources:
        free, ends = resource.free, list(resource.ends)
        for number, demand in enumerate(queue):
            if free[0] < least_cpus:
                break
            most = min(demand.count, offered[number]) - placed[number]
            if most <= 0 or not may_use(demand, resource.kind):
                continue
            count = min(fits(demand.spec, free), most)
            if count > 0:
                placed[number] += count
                before, free = free, minus(free, demand.spec, count)
                ends.append((demand.run_s, before[0] - free[0], before[1] - free[1], before[2] - free[2]))
        left.append(MachineResource(resource.kind, free, ends))
    return left, placed
