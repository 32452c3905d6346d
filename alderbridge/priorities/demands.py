"""Finds the urgent tasks that cannot start in time without preemption."""

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
from alderbridge.scheduling.offers import placement_key
from alderbridge.scheduling.resources import remaining_after, tasks_that_fit
from alderbridge.scheduling.walk import Walk

_ROUNDING_CPUS = 1e-9  # tolerance when free CPUs are compared with a task's


class UrgentClasses(Protocol):
    """Decides which work may preempt other work; ``reason`` is stored in its claims."""

    reason: str

    def may_preempt(self, spec: JobSpec) -> bool:
        """Whether such a job may preempt others at all."""


def unserved_demands(
    classes: UrgentClasses,
    demands: Iterable[Demand],
    rows: Mapping[str, QueueRow],
    resources: Iterable[MachineResource],
    claimed_tasks: Counter[str],
    preempted_jobs: Container[str],
) -> list[PreemptionDemand]:
    """Return tasks of jobs that may preempt and that neither free nor soon-to-be-free nor booting capacity can serve.

    ``demands``: all waiting tasks within the teams' limits. ``resources``: machines without a claim, because claimed
    capacity is reserved. ``claimed_tasks``: tasks by job that claims free capacity for. ``preempted_jobs``: jobs with
    preempted tasks, which must not preempt others. Jobs are considered in the order of placement, which assigns the
    capacity.
    """
    queue = [demand for demand in demands if demand.spec.id in rows]
    queue.sort(
        key=lambda demand: placement_key(rows[demand.spec.id], demand.spec, demand.due_in_s, classes.may_preempt)
    )
    preempting = [
        position
        for position, demand in enumerate(queue)
        if classes.may_preempt(demand.spec) and demand.spec.id not in preempted_jobs
    ]
    if not preempting:
        return []
    waiting = [
        Demand(
            demand.spec,
            max(0, demand.count - claimed_tasks[demand.spec.id]),
            demand.due_in_s,
            demand.run_s,
            demand.zone,
        )
        for demand in queue[: preempting[-1] + 1]
    ]
    offered = [max(0, rows[demand.spec.id].offer - claimed_tasks[demand.spec.id]) for demand in waiting]
    remaining, placed = place_on_free_capacity(waiting, offered, resources)
    shortfall = Walk(
        remaining, [reduce_count(demand, count) for demand, count in zip(waiting, placed, strict=True)]
    ).shortfalls()
    result = []
    for position in preempting:
        demand, row = waiting[position], rows[waiting[position].spec.id]
        count = min(shortfall[position], offered[position] - placed[position])
        if count > 0:
            result.append(
                PreemptionDemand(demand.spec, count, demand.due_in_s, classes.reason, demand.zone, row.guaranteed)
            )
    return result


def reduce_count(demand: Demand, count: int) -> Demand:
    """Return the demand without ``count`` of its tasks."""
    return replace(demand, count=demand.count - count) if count else demand


def place_on_free_capacity(
    queue: Sequence[Demand], offered: Sequence[int], resources: Iterable[MachineResource]
) -> tuple[list[MachineResource], list[int]]:
    """Assign the free capacity as placement does: on each machine all tasks that fit, in the order of the queue.

    ``Walk`` divides each machine into slots of the size of the first task that it may run. If that task is larger than
    the free capacity, ``Walk`` finds no slot, and smaller urgent tasks would cause needless preemptions.

    ``offered``: how many tasks of each demand may start now. Returns the machines with their remaining capacity, and
    how many tasks of each demand were placed.
    """
    placed = [0] * len(queue)
    min_cpus = min((demand.spec.cpus for demand in queue), default=math.inf) - _ROUNDING_CPUS
    remaining = []
    for resource in resources:
        free, ends = resource.free, list(resource.ends)
        for position, demand in enumerate(queue):
            if free[0] < min_cpus:
                break
            max_count = min(demand.count, offered[position]) - placed[position]
            if max_count <= 0 or not may_use(demand, resource.kind):
                continue
            count = min(tasks_that_fit(demand.spec, free), max_count)
            if count > 0:
                placed[position] += count
                before, free = free, remaining_after(free, demand.spec, count)
                ends.append((demand.run_s, before[0] - free[0], before[1] - free[1], before[2] - free[2]))
        remaining.append(MachineResource(resource.kind, free, ends))
    return remaining, placed
