"""Spot Base Hard: when to rent, what to rent, when to give back.

Follows "Managing Peak Loads by Leasing Cloud Infrastructure Services from a
Spot Market" (Mattess, Vecchiola, Buyya), section 3, and uses its words:

* Maximum Queue Time: requested time times the Target Ratio, with a floor (3.1).
* Expected Run Time: requested time times the Workload Multiplier (3.1).
* Breach: a task assigned later than its Maximum Queue Time allows. The
  heuristic (3.2) walks the queue, soonest deadline first, over the times at
  which slots are expected to become free; machines that have been requested
  but have not come up count as free already.
* Hard check (3.3): at a regular interval, tasks about to breach ask for
  machines whatever the heuristic said.
* Spot (3.4): spot machines are rented while their price is below the bid.

Pure: the leader calls it with what it knows, time included.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence

from alderbridge import constants
from alderbridge.scheduling.demand import Demand, MachineKind, MachineResource, may_use
from alderbridge.scheduling.market import Market, cheapest
from alderbridge.scheduling.resources import fits
from alderbridge.scheduling.walk import Walk


class _RentalSearch:
    """Finds the machines to be rented; the walk counts each as free already."""

    def __init__(self, walk: Walk, market: Market, now: float, count: Mapping[MachineKind, int]) -> None:
        """``count``: machines that are there already."""
        self.walk, self.market = walk, market
        self.rentable = market.kinds(now)
        self.count = dict(count)
        self.kinds: list[MachineKind] = []
        self.known: dict[str, list[tuple[float, MachineKind]]] = {}  # job -> its options
        self.hopeless: dict[str, bool] = {}  # job -> whether it has none

    def options(self, demand: Demand) -> list[tuple[float, MachineKind]]:
        """What the demand may be rented, and its price; found once."""
        job = demand.spec.id
        if job not in self.known:
            self.known[job] = self.market.options(demand, self.rentable)
        return self.known[job]

    def is_hopeless(self, demand: Demand) -> bool:
        """Whether nothing can be rented for the demand. Asked of each one: the prices of its options are not needed."""
        job = demand.spec.id
        if job not in self.hopeless:
            self.hopeless[job] = not any(self.market.serves(kind, demand) for kind in self.rentable)
        return self.hopeless[job]

    def breach(self) -> Demand | None:
        """The first demand that would be late and that something may be rented for."""
        return self.walk.breach(self.is_hopeless)

    def add(self, demand: Demand, number: int) -> None:
        """So many more machines for the demand."""
        for _ in range(number):
            kind = cheapest(self.options(demand), self.count)
            assert kind is not None, "a breach has options"
            self.kinds.append(kind)
            self.count[kind] = self.count.get(kind, 0) + 1
            self.walk.add(MachineResource(kind, self.market.room(kind)))

    def drop(self, number: int) -> None:
        """Take the machines that were added last out again."""
        first = len(self.kinds) - number
        for kind in self.kinds[first:]:
            self.count[kind] -= 1
            self.walk.remove(MachineResource(kind, self.market.room(kind)))
        del self.kinds[first:]

    def double(self, demand: Demand, below_cap: int) -> tuple[int, int] | None:
        """Add machines until the demand is served: (too few, enough); None: the cap comes first."""
        low, high = 0, 1
        self.add(demand, 1)
        after = self.breach()
        while after is demand and len(self.kinds) < below_cap:
            more = min(high, below_cap - len(self.kinds))
            low, high = high, high + more
            self.add(demand, more)
            after = self.breach()
        return None if after is demand else (low, high)

    def halve(self, demand: Demand, low: int, high: int) -> None:
        """Keep no more than the demand needs of the ``high`` machines that were added; ``low`` are too few."""
        have = high
        while high - low > 1:
            middle = (low + high) // 2
            if middle < have:
                self.drop(have - middle)
            else:
                self.add(demand, middle - have)
            have = middle
            if self.breach() is demand:
                low = middle
            else:
                high = middle
        if have != high:
            self.add(demand, high - have)


def machines_to_rent(
    walk: Walk, market: Market, now: float, below_cap: int, count: Mapping[MachineKind, int]
) -> list[MachineKind]:
    """Base (3.2): while a breach is predicted, one more machine, counted as free.

    Machines that one demand lacks are found by doubling and halving, not one walk each.
    """
    search = _RentalSearch(walk, market, now, count)
    if not search.rentable:
        return search.kinds
    breach = search.breach()
    while breach is not None and len(search.kinds) < below_cap:
        bounds = search.double(breach, below_cap)
        if bounds is None:
            break
        search.halve(breach, *bounds)
        breach = search.breach()
    return search.kinds


def hard_check(
    queue: Iterable[Demand], market: Market, now: float, booting: Sequence[MachineResource], below_cap: int
) -> list[MachineKind]:
    """Hard (3.3): tasks within boot time and margin of a breach ask for machines.

    The paper's machine holds one task, ours several: tasks ask for the machines
    that hold them, less those that are booting and not overdue.
    """
    kinds: list[MachineKind] = []
    rentable = market.kinds(now)
    coming = list(booting)
    for demand in queue:
        kind = cheapest(market.options(demand, rentable), {})
        if kind is None or demand.due_in_s > market.types[kind.type].boot_s + constants.HARD_MARGIN_S:
            continue
        left = demand.count
        unused = []
        for resource in coming:
            slots = fits(demand.spec, resource.free) if may_use(demand, resource.kind) else 0
            if left > 0 and slots:
                left -= slots
            else:
                unused.append(resource)
        coming = unused
        if left > 0:
            kinds += [kind] * math.ceil(left / max(1, fits(demand.spec, market.room(kind))))
        if len(kinds) >= below_cap:
            return kinds[:below_cap]
    return kinds


def keep_idle(walk: Walk, resource: MachineResource) -> bool:
    """3.2: an idle rented machine stays if removing it predicts a breach; else it has left the walk.

    A breach of a demand that has no use for the machine is there with and without it. Counted, it kept every idle
    machine for ever, and with them the room for the one that was needed (a cloud that lets eight be rented, all of
    them idle and of the wrong type).
    """

    def no_use(demand: Demand) -> bool:
        """Whether the machine is of no use to the demand."""
        return not (may_use(demand, resource.kind) and fits(demand.spec, resource.free))

    walk.remove(resource)
    if walk.breach(no_use) is None:
        return False
    walk.add(resource)
    return True


def block_ends(age_s: float, within_s: float) -> bool:
    """Whether the paid block ends within that time; idle machines wait out their block."""
    return constants.PAID_BLOCK_S - age_s % constants.PAID_BLOCK_S <= within_s
