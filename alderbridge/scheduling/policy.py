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

import heapq
import math
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from alderbridge import constants
from alderbridge.protocol.wire import JobSpec, MachineType
from alderbridge.scheduling.placement import allowed
from alderbridge.scheduling.resources import Resources, fits
from alderbridge.settings import Objective, Tuning


class MachineKind(NamedTuple):
    """What can be rented: a type in a zone, spot or ordinary."""

    type: str
    zone: str
    spot: bool


@dataclass
class MachineResource:
    """A machine as the heuristic sees it: what is free now, what comes free when."""

    kind: MachineKind
    free: Resources
    ends: Sequence[tuple[float, float, float, float]] = ()  # in s, cpus, memory, gpus


@dataclass(frozen=True)
class Demand:
    """The waiting tasks of one job."""

    spec: JobSpec
    count: int
    due_in_s: float  # until its Maximum Queue Time is breached
    run_s: float  # Expected Run Time
    zone: str | None = None


def expected_run_time(spec: JobSpec, tuning: Tuning) -> float:
    if spec.service or spec.gang:
        return constants.SERVICE_RUN_S  # its tasks need their slots side by side, not one after the other
    return (spec.estimate_s or constants.UNKNOWN_RUN_S) * tuning.workload_multiplier


def max_queue_time(spec: JobSpec, tuning: Tuning) -> float:
    """3.1, Equation 1, with the floor."""
    requested = spec.estimate_s or constants.UNKNOWN_RUN_S
    return max(tuning.queue_time_floor_s, requested * tuning.target_ratio)


def queue_times(
    spec: JobSpec,
    tuning: Tuning,
    objectives: Iterable[Objective],
    guaranteed: bool,
    waited_s: float = 0.0,
    needed_s: Iterable[float] = (),
) -> list[tuple[float, float]]:
    """The Maximum Queue Times that the operators' objectives set, shortest first.

    Where they promise a start in seconds, the paper's floor of minutes cannot
    serve: an objective on waiting is a Maximum Queue Time itself, one on
    finishing or a deadline leaves what remains beside the Expected Run Time.
    With each goes the time after which it is out of reach even with luck.

    A job's times count from when all that it needs was done, ``waited_s`` after its
    submission, from which its deadline counts. ``needed_s``: by when it has to end for
    the deadlines of the jobs that need it.
    """
    run = expected_run_time(spec, tuning)
    times = []
    for objective in objectives:
        ours = objective.job_class == spec.job_class
        start = objective.kind == "wait" and ours or objective.kind == "guarantee" and guaranteed
        deadline = objective.kind == "deadline"
        within = (spec.due_s or 0.0) * (objective.times or 1.0) if deadline else objective.within_s
        if not within:
            continue
        if start:
            times.append((within * constants.WAIT_SHARE, within))
        elif objective.kind in ("finished", "deadline") and ours:
            least, gone = within * constants.LEAST_SHARE, waited_s if deadline else 0.0
            times.append(
                (
                    max(least, within - run * constants.RUN_SAFETY) - gone,
                    max(least, within - run * constants.RUN_OPTIMISM) - gone,
                )
            )
    times += [(by - run * constants.RUN_SAFETY, by - run * constants.RUN_OPTIMISM) for by in needed_s]
    floor = max_queue_time(spec, tuning)
    return sorted(times) or [(floor, floor)]


def due_in(age_s: float, times: Sequence[tuple[float, float]]) -> tuple[float, bool]:
    """Time until the next Maximum Queue Time that can still be kept; whether all are missed.

    Work that has missed them all cannot be late a second time: it queues behind
    work that can still be in time, with the last of its times over again.
    """
    for limit, hopeless in times:
        if age_s <= hopeless:
            return limit - age_s, False
    return max(0.0, times[-1][0]), True


def may_use(demand: Demand, kind: MachineKind) -> bool:
    return allowed(demand.spec, kind.type, kind.zone, kind.spot) and demand.zone in (None, kind.zone)


class _Slots:
    """Slots of one size on machines of one kind: a heap of (time they come free, how many)."""

    def __init__(self, kind: MachineKind, size: JobSpec) -> None:
        self.kind, self.size = kind, size
        # Room for one more task as a share of each amount; what it does not take has no share.
        self.per_cpu = 1.0 / size.cpus
        self.per_gb = 1.0 / size.memory_gb if size.memory_gb > 0 else 0.0
        self.per_gpu = 1.0 / size.gpus if size.gpus > 0 else 0.0
        self.counts: dict[float, int] = {}
        self.heap: list[tuple[float, int]] = []
        self.total = 0

    def add(self, resource: MachineResource, sign: int = 1) -> None:
        """Some thousand slots a round: ``placement.fits`` for this one size, without calls."""
        cpus, memory, gpus = resource.free
        per_cpu, per_gb, per_gpu, counts = self.per_cpu, self.per_gb, self.per_gpu, self.counts
        before = 0
        for end, more_cpus, more_memory, more_gpus in ((0.0, 0.0, 0.0, 0.0), *sorted(resource.ends)):
            cpus, memory, gpus = cpus + more_cpus, memory + more_memory, gpus + more_gpus
            room = cpus * per_cpu
            if per_gb and memory * per_gb < room:
                room = memory * per_gb
            if per_gpu and gpus * per_gpu < room:
                room = gpus * per_gpu
            count = int(room + 1e-9) if room > 0 else 0
            if count > before:
                counts[end] = counts.get(end, 0) + sign * (count - before)
                before = count

    def start(self) -> None:
        self.heap = [(time, count) for time, count in self.counts.items() if count > 0]
        heapq.heapify(self.heap)
        self.total = sum(count for _, count in self.heap)

    def per_task(self, spec: JobSpec) -> tuple[int, int]:
        """(slots a task takes, tasks a slot holds); one of them is 1."""
        ratios = [spec.cpus / self.size.cpus]
        for each, size in ((spec.memory_gb, self.size.memory_gb), (spec.gpus, self.size.gpus)):
            if each > 0:
                ratios.append(each / size if size > 0 else math.inf)
        ratio = max(ratios)
        if math.isinf(ratio):
            return 0, 0
        return max(1, math.ceil(ratio - 1e-9)), max(1, math.floor(1 / ratio + 1e-9))

    def take(self, slots: int, most: int) -> tuple[float, int]:
        """The soonest ``slots`` slots, and as many more such sets as come free at that time.

        Returns when the last slot of each set comes free, and the number of sets.
        """
        at, count = heapq.heappop(self.heap)
        if count >= slots:
            sets = min(most, count // slots)
            if count > sets * slots:
                heapq.heappush(self.heap, (at, count - sets * slots))
            return at, sets
        while count < slots:
            at, more = heapq.heappop(self.heap)
            count += more
        if count > slots:
            heapq.heappush(self.heap, (at, count - slots))
        return at, 1


class Walk:
    """The paper's array of free times, built once a round; machines may join and leave it.

    Slots are sized to the head task; on a machine that the head may not use or
    does not fit, to the soonest task that does. Slots that come free at one time
    are counted, not listed: the answer is that of a walk over single slots.
    """

    def __init__(self, resources: Iterable[MachineResource], queue: Sequence[Demand]) -> None:
        self.queue = queue
        self.usable: list[list[tuple[_Slots, int, int]] | None] = [None] * len(queue)  # see ``_usable``
        self.pools: dict[tuple[MachineKind, str], _Slots] = {}
        self.heads: dict[tuple[MachineKind, Resources], Demand | None] = {}
        for resource in resources:
            self.add(resource)

    def add(self, resource: MachineResource, sign: int = 1) -> None:
        cpus = memory = gpus = 0.0
        for _, more_cpus, more_memory, more_gpus in resource.ends:
            cpus, memory, gpus = cpus + more_cpus, memory + more_memory, gpus + more_gpus
        free = resource.free
        total = (free[0] + cpus, free[1] + memory, free[2] + gpus)
        known = (resource.kind, total)
        if known not in self.heads:
            self.heads[known] = next(
                (demand for demand in self.queue if may_use(demand, resource.kind) and fits(demand.spec, total)), None
            )
        head = self.heads[known]
        if head is not None:
            key = (resource.kind, head.spec.id)
            if key not in self.pools:
                self.pools[key] = _Slots(resource.kind, head.spec)
                self.usable = [None] * len(self.queue)
            self.pools[key].add(resource, sign)

    def remove(self, resource: MachineResource) -> None:
        self.add(resource, -1)

    def breach(self, hopeless: Callable[[Demand], bool] = lambda demand: False) -> Demand | None:
        """The first demand, soonest deadline first, that would be assigned too late.

        A ``hopeless`` one, for which nothing can be rented, is passed over: it takes no slots.
        """
        pools = list(self.pools.values())
        for pool in pools:
            pool.start()
        for number, demand in enumerate(self.queue):
            before = [(list(pool.heap), pool.total) for pool in pools] if hopeless(demand) else None
            if not self._left(demand, self._usable(number, demand)):
                continue
            if before is None:
                return demand
            for pool, (heap, total) in zip(pools, before, strict=True):
                pool.heap, pool.total = heap, total
        return None

    def lacking(self) -> list[int]:
        """For each demand, in the order of the queue, the tasks that no slot serves in time."""
        for pool in self.pools.values():
            pool.start()
        return [self._left(demand, self._usable(number, demand)) for number, demand in enumerate(self.queue)]

    def _usable(self, number: int, demand: Demand) -> list[tuple[_Slots, int, int]]:
        """The pools that the demand may use, slots a task takes there and tasks a slot holds; found once."""
        known = self.usable[number]
        if known is None:
            known = self.usable[number] = []
            for pool in self.pools.values():
                if may_use(demand, pool.kind):
                    slots, tasks = pool.per_task(demand.spec)
                    if slots:
                        known.append((pool, slots, tasks))
        return known

    @staticmethod
    def _left(demand: Demand, usable: Iterable[tuple[_Slots, int, int]]) -> int:
        """Put the tasks onto the earliest slots; how many are left where the next one comes too late."""
        usable = [entry for entry in usable if entry[0].heap and entry[0].total >= entry[1]]
        due, left = max(0.0, demand.due_in_s), demand.count
        while left > 0:
            pool, slots, tasks, soonest = None, 0, 0, math.inf
            for entry in usable:
                free_at = entry[0].heap[0][0]
                if free_at < soonest:
                    (pool, slots, tasks), soonest = entry, free_at
            if pool is None or soonest > due:
                return left
            at, sets = pool.take(slots, -(-left // tasks))
            if at > due:
                return left
            heapq.heappush(pool.heap, (at + demand.run_s, sets * slots))
            left -= sets * tasks
        return 0


@dataclass
class Market:
    """What may be rented now."""

    types: dict[str, MachineType]
    zones: Sequence[str]
    bid_share: float
    refused_until: dict[MachineKind, float] = field(default_factory=dict)

    def price(self, kind: MachineKind) -> float:
        machine = self.types[kind.type]
        return machine.spot_price if kind.spot and machine.spot_price is not None else machine.price

    def kinds(self, now: float) -> list[MachineKind]:
        """All kinds not lately refused; spot only below the bid."""
        result = []
        for machine in self.types.values():
            for zone in machine.zones or self.zones:
                for spot in (True, False):
                    if spot and (machine.spot_price is None or machine.spot_price > machine.price * self.bid_share):
                        continue
                    kind = MachineKind(machine.name, zone, spot)
                    if self.refused_until.get(kind, 0.0) <= now:
                        result.append(kind)
        return result

    def room(self, kind: MachineKind) -> Resources:
        machine = self.types[kind.type]
        return (machine.cpus, machine.memory_gb, machine.gpus)

    def options(self, demand: Demand, now: float) -> list[tuple[float, MachineKind]]:
        """What a demand may be rented, and its price per slot that is of use; the cheapest first."""
        result = []
        for kind in self.kinds(now):
            slots = fits(demand.spec, self.room(kind))
            if slots and may_use(demand, kind):
                result.append((self.price(kind) / min(slots, demand.count), kind))
        return sorted(result)

    def best(self, demand: Demand, now: float, count: dict[MachineKind, int] | None = None) -> MachineKind | None:
        return cheapest(self.options(demand, now), count or {})


def cheapest(options: Sequence[tuple[float, MachineKind]], count: dict[MachineKind, int]) -> MachineKind | None:
    """The cheapest per slot; among equals, where fewest machines are."""
    equals = [kind for price, kind in options if price == options[0][0]]
    return min(equals, key=lambda kind: (count.get(kind, 0), kind)) if equals else None


def machines_to_rent(
    walk: Walk, market: Market, now: float, below_cap: int, count: dict[MachineKind, int]
) -> list[MachineKind]:
    """Base (3.2): while a breach is predicted, one more machine, counted as free.

    Machines that one demand lacks are found by doubling and halving, not one walk each.
    """
    wanted: list[MachineKind] = []
    count = dict(count)
    known: dict[str, list[tuple[float, MachineKind]]] = {}

    def options(demand: Demand) -> list[tuple[float, MachineKind]]:
        job = demand.spec.id
        if job not in known:
            known[job] = market.options(demand, now)
        return known[job]

    def hopeless(demand: Demand) -> bool:
        return not options(demand)

    def add(demand: Demand, number: int) -> None:
        for _ in range(number):
            kind = cheapest(options(demand), count)
            wanted.append(kind)
            count[kind] = count.get(kind, 0) + 1
            walk.add(MachineResource(kind, market.room(kind)))

    def drop(number: int) -> None:
        for kind in wanted[len(wanted) - number :]:
            count[kind] -= 1
            walk.remove(MachineResource(kind, market.room(kind)))
        del wanted[len(wanted) - number :]

    if not market.kinds(now):
        return wanted
    breach = walk.breach(hopeless)
    while breach is not None and len(wanted) < below_cap:
        # Doubling: until this demand is served. Halving: no more than it needs.
        low, high = 0, 1
        add(breach, 1)
        after = walk.breach(hopeless)
        while after is breach and len(wanted) < below_cap:
            more = min(high, below_cap - len(wanted))
            low, high = high, high + more
            add(breach, more)
            after = walk.breach(hopeless)
        if after is breach:
            break
        have = high
        while high - low > 1:
            middle = (low + high) // 2
            if middle < have:
                drop(have - middle)
            else:
                add(breach, middle - have)
            have = middle
            if walk.breach(hopeless) is breach:
                low = middle
            else:
                high = middle
        if have != high:
            add(breach, high - have)
        breach = walk.breach(hopeless)
    return wanted


def hard_check(
    queue: Iterable[Demand], market: Market, now: float, booting: Sequence[MachineResource], below_cap: int
) -> list[MachineKind]:
    """Hard (3.3): tasks within boot time and margin of a breach ask for machines.

    The paper's machine holds one task, ours several: tasks ask for the machines
    that hold them, less those that are booting and not overdue.
    """
    wanted: list[MachineKind] = []
    coming = list(booting)
    for demand in queue:
        kind = market.best(demand, now)
        if kind is None or demand.due_in_s > market.types[kind.type].boot_s + constants.HARD_MARGIN_S:
            continue
        left = demand.count
        kept = []
        for resource in coming:
            slots = fits(demand.spec, resource.free) if may_use(demand, resource.kind) else 0
            if left > 0 and slots:
                left -= slots
            else:
                kept.append(resource)
        coming = kept
        if left > 0:
            wanted += [kind] * math.ceil(left / max(1, fits(demand.spec, market.room(kind))))
        if len(wanted) >= below_cap:
            return wanted[:below_cap]
    return wanted


def keep_idle(walk: Walk, resource: MachineResource) -> bool:
    """3.2: an idle rented machine stays if removing it predicts a breach; else it has left the walk.

    A breach of a demand that has no use for the machine is there with and without it. Counted, it kept every idle
    machine for ever, and with them the room for the one that was needed (a cloud that lets eight be rented, all of
    them idle and of the wrong type).
    """

    def no_use(demand: Demand) -> bool:
        return not (may_use(demand, resource.kind) and fits(demand.spec, resource.free))

    walk.remove(resource)
    if walk.breach(no_use) is None:
        return False
    walk.add(resource)
    return True


def block_ends(age_s: float, within_s: float) -> bool:
    """Whether the paid block ends within that time; idle machines wait out their block."""
    return constants.PAID_BLOCK_S - age_s % constants.PAID_BLOCK_S <= within_s


class QuotaDemand(NamedTuple):
    """What a job's waiting tasks at a home would take of their team's limit."""

    owner: str
    amount: float
    each: float = 0.0  # of one task: less than that is of no use
    kept: bool = False  # less than that is kept for it all the same, until it holds a task


def divide_quota(
    limit: float, used: dict[str, float], held: dict[str, float], given: dict[str, float], needs: Sequence[QuotaDemand]
) -> dict[str, float]:
    """Shares of a team's limit; their sum with what is still held never exceeds it.

    ``held`` is what each home reported under its last allotment ``given``; it
    counts until a smaller allotment is confirmed. What is not used goes to the
    waiting tasks in their order (``needs``), wherever their home is, and what
    then remains evenly to all, so that new work can start at once.

    What holds none of a job's tasks goes on to the next: kept at a home that could not use it, it let other homes'
    smaller tasks wait beside free machines for as long as the first waited.
    """
    homes = sorted(held)
    left = max(0.0, limit - sum(used.values()))
    target = dict(used)
    for owner, amount, each, kept in needs:
        if amount > left:
            whole = math.floor(left / each + 1e-9) * each if each > 0 else left
            amount = left if kept and not whole else whole
        target[owner] += amount
        left -= amount
    for owner in homes:
        target[owner] += left / len(homes)
    free = limit - sum(max(held[owner], given.get(owner, 0.0)) for owner in homes)
    result = dict(given)
    for owner in homes:
        have = max(held[owner], given.get(owner, 0.0))
        if target[owner] < given.get(owner, 0.0) - 1e-9:
            result[owner] = target[owner]
        elif target[owner] > have + 1e-9 and free > 1e-9:
            more = min(target[owner] - have, free)
            result[owner] = have + more
            free -= more
    return result
