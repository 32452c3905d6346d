"""Spot Base Hard: when to rent machines, which kind, and when to return them.

Follows section 3 of "Managing Peak Loads by Leasing Cloud Infrastructure Services from a Spot Market" (Mattess,
Vecchiola, Buyya) and uses its terms; numbers in brackets are its sections:

* Maximum Queue Time: requested time times the Target Ratio, with a floor (3.1).
* Expected Run Time: requested time times the Workload Multiplier (3.1).
* Breach: a task is assigned later than its Maximum Queue Time allows. The heuristic (3.2) walks the queue, earliest
  deadline first, over the times at which slots are expected to become free; machines that were requested but have not
  started yet count as free already.
* Hard check (3.3): at regular intervals, tasks about to breach request machines regardless of the heuristic.
* Spot (3.4): spot machines are rented while their price is below the bid.

This module performs no I/O and reads no clock: the leader passes in its state and the time.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence

from alderbridge import constants
from alderbridge.scheduling.demand import Demand, MachineKind, MachineResource, may_use
from alderbridge.scheduling.market import Market, cheapest
from alderbridge.scheduling.resources import tasks_that_fit
from alderbridge.scheduling.walk import Walk


class _RentalSearch:
    """Searches for the machines to rent; each machine added is a free resource of the walk."""

    def __init__(self, walk: Walk, market: Market, now: float, machine_counts: Mapping[MachineKind, int]) -> None:
        """``machine_counts``: existing machines of each kind."""
        self.walk, self.market = walk, market
        self.rentable = market.rentable_kinds(now)
        self.machine_counts = dict(machine_counts)
        self.kinds: list[MachineKind] = []
        self.options_by_job: dict[str, list[tuple[float, MachineKind]]] = {}
        self.unservable_by_job: dict[str, bool] = {}

    def options(self, demand: Demand) -> list[tuple[float, MachineKind]]:
        """The kinds that can be rented for the demand, with their prices; cached."""
        job = demand.spec.id
        if job not in self.options_by_job:
            self.options_by_job[job] = self.market.options(demand, self.rentable)
        return self.options_by_job[job]

    def is_unservable(self, demand: Demand) -> bool:
        """Whether no rentable kind can serve the demand; cached, and cheaper than ``options`` as it needs no prices."""
        job = demand.spec.id
        if job not in self.unservable_by_job:
            self.unservable_by_job[job] = not any(self.market.can_serve(kind, demand) for kind in self.rentable)
        return self.unservable_by_job[job]

    def first_breach(self) -> Demand | None:
        """The first demand that would be late and for which a machine can be rented."""
        return self.walk.first_breach(self.is_unservable)

    def add(self, demand: Demand, number: int) -> None:
        """Add ``number`` machines for the demand."""
        for _ in range(number):
            kind = cheapest(self.options(demand), self.machine_counts)
            assert kind is not None, "a breach has options"
            self.kinds.append(kind)
            self.machine_counts[kind] = self.machine_counts.get(kind, 0) + 1
            self.walk.add(MachineResource(kind, self.market.capacity(kind)))

    def remove_last(self, number: int) -> None:
        """Remove the ``number`` machines that were added last."""
        first = len(self.kinds) - number
        for kind in self.kinds[first:]:
            self.machine_counts[kind] -= 1
            self.walk.remove(MachineResource(kind, self.market.capacity(kind)))
        del self.kinds[first:]

    def add_until_served(self, demand: Demand, max_new_machines: int) -> tuple[int, int] | None:
        """Add machines, doubling their number, until the demand is served.

        Returns a number that is too small and one that suffices; None if ``max_new_machines`` is reached first.
        """
        low, high = 0, 1
        self.add(demand, 1)
        breach = self.first_breach()
        while breach is demand and len(self.kinds) < max_new_machines:
            more = min(high, max_new_machines - len(self.kinds))
            low, high = high, high + more
            self.add(demand, more)
            breach = self.first_breach()
        return None if breach is demand else (low, high)

    def bisect(self, demand: Demand, low: int, high: int) -> None:
        """Reduce the ``high`` machines added for the demand to the minimum it needs; ``low`` is too few."""
        current = high
        while high - low > 1:
            middle = (low + high) // 2
            if middle < current:
                self.remove_last(current - middle)
            else:
                self.add(demand, middle - current)
            current = middle
            if self.first_breach() is demand:
                low = middle
            else:
                high = middle
        if current != high:
            self.add(demand, high - current)


def machines_to_rent(
    walk: Walk, market: Market, now: float, max_new_machines: int, machine_counts: Mapping[MachineKind, int]
) -> list[MachineKind]:
    """Base (3.2): while a breach is predicted, rent one more machine, which counts as free.

    The number of machines for each demand is found by doubling and bisection instead of one walk per machine.
    """
    search = _RentalSearch(walk, market, now, machine_counts)
    if not search.rentable:
        return search.kinds
    breach = search.first_breach()
    while breach is not None and len(search.kinds) < max_new_machines:
        bounds = search.add_until_served(breach, max_new_machines)
        if bounds is None:
            break
        search.bisect(breach, *bounds)
        breach = search.first_breach()
    return search.kinds


def hard_check(
    queue: Iterable[Demand], market: Market, now: float, booting: Sequence[MachineResource], max_new_machines: int
) -> list[MachineKind]:
    """Hard (3.3): tasks due within boot time plus margin request machines.

    In the paper a machine runs one task, here it runs several: tasks request as many machines as hold them, less the
    machines that are booting and not overdue.
    """
    kinds: list[MachineKind] = []
    rentable = market.rentable_kinds(now)
    available = list(booting)
    for demand in queue:
        kind = cheapest(market.options(demand, rentable), {})
        if kind is None or demand.due_in_s > market.types[kind.type].boot_s + constants.HARD_MARGIN_S:
            continue
        remaining = demand.count
        unused = []
        for resource in available:
            slots = tasks_that_fit(demand.spec, resource.free) if may_use(demand, resource.kind) else 0
            if remaining > 0 and slots:
                remaining -= slots
            else:
                unused.append(resource)
        available = unused
        if remaining > 0:
            kinds += [kind] * math.ceil(remaining / max(1, tasks_that_fit(demand.spec, market.capacity(kind))))
        if len(kinds) >= max_new_machines:
            return kinds[:max_new_machines]
    return kinds


def must_keep_idle(walk: Walk, resource: MachineResource) -> bool:
    """Whether an idle rented machine stays because removing it predicts a breach (3.2).

    If it need not stay, it has been removed from the walk. Demands that cannot use the machine are ignored: they breach
    with or without it, and would keep unsuitable idle machines while the machine limit prevents renting a suitable one.
    A cloud that rents out eight was used up by eight idle machines of the wrong type.
    """

    def cannot_use(demand: Demand) -> bool:
        """Whether the demand's tasks cannot run on the machine."""
        return not (may_use(demand, resource.kind) and tasks_that_fit(demand.spec, resource.free))

    walk.remove(resource)
    if walk.first_breach(cannot_use) is None:
        return False
    walk.add(resource)
    return True


def paid_block_ends_within(age_s: float, within_s: float) -> bool:
    """Whether the machine's paid block ends within ``within_s``; idle machines are returned only then."""
    return constants.PAID_BLOCK_S - age_s % constants.PAID_BLOCK_S <= within_s
