"""Urgent work that nothing else serves in time: the only reason to preempt other work for it."""

from __future__ import annotations

from collections import Counter
from collections.abc import Container, Iterable, Mapping
from typing import Protocol

from alderbridge.preemption.model import PreemptionDemand
from alderbridge.protocol.messages import QueueRow
from alderbridge.protocol.wire import JobSpec
from alderbridge.scheduling.demand import Demand, MachineResource
from alderbridge.scheduling.offers import order
from alderbridge.scheduling.walk import Walk


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
    queue.sort(key=lambda demand: order(rows[demand.spec.id], demand.spec, demand.due_in_s))
    mine = [
        number
        for number, demand in enumerate(queue)
        if classes.may_preempt(demand.spec) and demand.spec.id not in stopped
    ]
    if not mine:
        return []
    queue = [
        Demand(one.spec, max(0, one.count - promised[one.spec.id]), one.due_in_s, one.run_s, one.zone)
        for one in queue[: mine[-1] + 1]
    ]
    lacking = Walk(resources, queue).lacking()
    result = []
    for number in mine:
        demand, row = queue[number], rows[queue[number].spec.id]
        count = min(lacking[number], row.offer - promised[row.job])
        if count > 0:
            result.append(
                PreemptionDemand(demand.spec, count, demand.due_in_s, classes.reason, demand.zone, row.guaranteed)
            )
    return result
