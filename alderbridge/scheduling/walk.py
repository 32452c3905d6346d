"""The paper's walk over the queue: which waiting tasks would start too late on the machines that there are. Pure.

See ``policy`` for the paper and its words. Some thousand slots a round: hot code.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable, Iterable, Sequence

from alderbridge.protocol.wire import JobSpec
from alderbridge.scheduling.demand import Demand, MachineKind, MachineResource, may_use
from alderbridge.scheduling.resources import Resources, fits


class SlotPool:
    """Slots of one size on machines of one kind: a heap of (time they come free, how many)."""

    def __init__(self, kind: MachineKind, size: JobSpec) -> None:
        """``size``: the job whose task fills one slot."""
        self.kind, self.size = kind, size
        # Room for one more task as a share of each amount; what it does not take has no share.
        self.per_cpu = 1.0 / size.cpus
        self.per_gb = 1.0 / size.memory_gb if size.memory_gb > 0 else 0.0
        self.per_gpu = 1.0 / size.gpus if size.gpus > 0 else 0.0
        self.counts: dict[float, int] = {}
        self.heap: list[tuple[float, int]] = []
        self.total = 0

    def add(self, resource: MachineResource, sign: int = 1) -> None:
        """Some thousand slots a round: ``fits`` for this one size, without calls."""
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
        """Begin a walk: all slots are there again."""
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
        """``queue``: soonest deadline first."""
        self.queue = queue
        self.usable: list[list[tuple[SlotPool, int, int]] | None] = [None] * len(queue)  # see ``_usable``
        self.pools: dict[tuple[MachineKind, str], SlotPool] = {}
        self.heads: dict[tuple[MachineKind, Resources], Demand | None] = {}
        for resource in resources:
            self.add(resource)

    def add(self, resource: MachineResource, sign: int = 1) -> None:
        """A machine joins; with ``sign`` -1 it leaves."""
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
                self.pools[key] = SlotPool(resource.kind, head.spec)
                self.usable = [None] * len(self.queue)
            self.pools[key].add(resource, sign)

    def remove(self, resource: MachineResource) -> None:
        """A machine leaves that has joined with the same room."""
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

    def _usable(self, number: int, demand: Demand) -> list[tuple[SlotPool, int, int]]:
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
    def _left(demand: Demand, usable: Iterable[tuple[SlotPool, int, int]]) -> int:
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
