"""The paper's walk over the queue: which waiting tasks would start too late on the existing machines.

``policy`` cites the paper and explains its terms. The loops here visit thousands of slots in each round of the leader,
so they avoid function calls and per-slot objects.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable, Iterable, Sequence

from alderbridge.protocol.wire import JobSpec
from alderbridge.scheduling.demand import Demand, MachineKind, MachineResource, may_use
from alderbridge.scheduling.resources import Resources, tasks_that_fit


class SlotPool:
    """Slots of one size on machines of one kind, counted by the time at which they become free."""

    def __init__(self, kind: MachineKind, size: JobSpec) -> None:
        """``size``: the job of which one task fills one slot."""
        self.kind, self.size = kind, size
        # Slots per unit of each resource; 0 for memory or GPUs that the task does not use.
        self.slots_per_cpu = 1.0 / size.cpus
        self.slots_per_gb = 1.0 / size.memory_gb if size.memory_gb > 0 else 0.0
        self.slots_per_gpu = 1.0 / size.gpus if size.gpus > 0 else 0.0
        self.counts: dict[float, int] = {}  # seconds from now -> slots that become free then
        self.heap: list[tuple[float, int]] = []  # (seconds from now, slots) during a walk
        self.total = 0

    def add(self, resource: MachineResource, sign: int = 1) -> None:
        """Add a machine's slots, or remove them with ``sign`` -1.

        Counts as ``fits`` does, but inlined: it runs for each task of each machine.
        """
        cpus, memory_gb, gpus = resource.free
        slots_per_cpu, slots_per_gb, slots_per_gpu, counts = (
            self.slots_per_cpu,
            self.slots_per_gb,
            self.slots_per_gpu,
            self.counts,
        )
        previous_count = 0
        for free_at_s, released_cpus, released_memory_gb, released_gpus in (
            (0.0, 0.0, 0.0, 0.0),
            *sorted(resource.ends),
        ):
            cpus, memory_gb, gpus = cpus + released_cpus, memory_gb + released_memory_gb, gpus + released_gpus
            slots = cpus * slots_per_cpu
            if slots_per_gb and memory_gb * slots_per_gb < slots:
                slots = memory_gb * slots_per_gb
            if slots_per_gpu and gpus * slots_per_gpu < slots:
                slots = gpus * slots_per_gpu
            count = int(slots + 1e-9) if slots > 0 else 0
            if count > previous_count:
                counts[free_at_s] = counts.get(free_at_s, 0) + sign * (count - previous_count)
                previous_count = count

    def reset(self) -> None:
        """Begin a new walk: all slots are unassigned."""
        self.heap = [(free_at_s, count) for free_at_s, count in self.counts.items() if count > 0]
        heapq.heapify(self.heap)
        self.total = sum(count for _, count in self.heap)

    def slots_and_tasks(self, spec: JobSpec) -> tuple[int, int]:
        """(slots per task, tasks per slot), one of which is 1; (0, 0) if the slots lack a resource the task needs."""
        ratios = [spec.cpus / self.size.cpus]
        for amount, slot_amount in ((spec.memory_gb, self.size.memory_gb), (spec.gpus, self.size.gpus)):
            if amount > 0:
                ratios.append(amount / slot_amount if slot_amount > 0 else math.inf)
        ratio = max(ratios)
        if math.isinf(ratio):
            return 0, 0
        return max(1, math.ceil(ratio - 1e-9)), max(1, math.floor(1 / ratio + 1e-9))

    def take(self, slots: int, max_sets: int) -> tuple[float, int]:
        """Take the earliest ``slots`` slots, and up to ``max_sets`` such sets if they become free at the same time.

        Returns when the last slot of each set becomes free, and the number of sets.
        """
        free_at_s, count = heapq.heappop(self.heap)
        if count >= slots:
            sets = min(max_sets, count // slots)
            if count > sets * slots:
                heapq.heappush(self.heap, (free_at_s, count - sets * slots))
            return free_at_s, sets
        while count < slots:
            free_at_s, more = heapq.heappop(self.heap)
            count += more
        if count > slots:
            heapq.heappush(self.heap, (free_at_s, count - slots))
        return free_at_s, 1


class Walk:
    """Assigns the queue to slots in order of the times at which they become free; machines may be added and removed.

    A machine's slots have the size of the first task in the queue that may use the machine and fits on it. Slots that
    become free at the same time are counted, not listed; the result equals that of a walk over single slots.
    """

    def __init__(self, resources: Iterable[MachineResource], queue: Sequence[Demand]) -> None:
        """``queue``: earliest deadline first."""
        self.queue = queue
        # For each demand, what ``_usable_pools`` returns; None: not computed.
        self.usable_pools: list[list[tuple[SlotPool, int, int]] | None] = [None] * len(queue)
        self.pools: dict[tuple[MachineKind, str], SlotPool] = {}  # by machine kind and the job that sets the slot size
        # Demand that sets the slot size, by machine kind and total resources; None: no demand can use the machine.
        self.sizing_demands: dict[tuple[MachineKind, Resources], Demand | None] = {}
        for resource in resources:
            self.add(resource)

    def add(self, resource: MachineResource, sign: int = 1) -> None:
        """Add a machine, or remove it with ``sign`` -1."""
        cpus = memory_gb = gpus = 0.0
        for _, released_cpus, released_memory_gb, released_gpus in resource.ends:
            cpus, memory_gb, gpus = cpus + released_cpus, memory_gb + released_memory_gb, gpus + released_gpus
        free = resource.free
        total = (free[0] + cpus, free[1] + memory_gb, free[2] + gpus)
        machine = (resource.kind, total)
        if machine not in self.sizing_demands:
            self.sizing_demands[machine] = next(
                (
                    demand
                    for demand in self.queue
                    if may_use(demand, resource.kind) and tasks_that_fit(demand.spec, total)
                ),
                None,
            )
        sizing_demand = self.sizing_demands[machine]
        if sizing_demand is not None:
            key = (resource.kind, sizing_demand.spec.id)
            if key not in self.pools:
                self.pools[key] = SlotPool(resource.kind, sizing_demand.spec)
                self.usable_pools = [None] * len(self.queue)
            self.pools[key].add(resource, sign)

    def remove(self, resource: MachineResource) -> None:
        """Remove a machine that was added with the same free capacity and ends."""
        self.add(resource, -1)

    def first_breach(self, ignored: Callable[[Demand], bool] = lambda demand: False) -> Demand | None:
        """The first demand in the queue of which a task would be assigned too late.

        An ``ignored`` demand that would breach is skipped and takes no slots.
        """
        pools = list(self.pools.values())
        for pool in pools:
            pool.reset()
        for number, demand in enumerate(self.queue):
            before = [(list(pool.heap), pool.total) for pool in pools] if ignored(demand) else None
            if not self._assign(demand, self._usable_pools(number, demand)):
                continue
            if before is None:
                return demand
            for pool, (heap, total) in zip(pools, before, strict=True):
                pool.heap, pool.total = heap, total
        return None

    def shortfalls(self) -> list[int]:
        """For each demand, in queue order, the number of tasks that get no slot in time."""
        for pool in self.pools.values():
            pool.reset()
        return [self._assign(demand, self._usable_pools(number, demand)) for number, demand in enumerate(self.queue)]

    def _usable_pools(self, number: int, demand: Demand) -> list[tuple[SlotPool, int, int]]:
        """The pools that the demand may use, each with slots per task and tasks per slot; cached by queue index."""
        usable = self.usable_pools[number]
        if usable is None:
            usable = self.usable_pools[number] = []
            for pool in self.pools.values():
                if may_use(demand, pool.kind):
                    slots, tasks = pool.slots_and_tasks(demand.spec)
                    if slots:
                        usable.append((pool, slots, tasks))
        return usable

    @staticmethod
    def _assign(demand: Demand, usable: Iterable[tuple[SlotPool, int, int]]) -> int:
        """Assign the tasks to the earliest slots; returns how many remain when the next slot would be too late."""
        usable = [entry for entry in usable if entry[0].heap and entry[0].total >= entry[1]]
        due_s, remaining = max(0.0, demand.due_in_s), demand.count
        while remaining > 0:
            pool, slots, tasks, earliest_s = None, 0, 0, math.inf
            for entry in usable:
                free_at_s = entry[0].heap[0][0]
                if free_at_s < earliest_s:
                    (pool, slots, tasks), earliest_s = entry, free_at_s
            if pool is None or earliest_s > due_s:
                return remaining
            start_s, sets = pool.take(slots, -(-remaining // tasks))
            if start_s > due_s:
                return remaining
            heapq.heappush(pool.heap, (start_s + demand.run_s, sets * slots))
            remaining -= sets * tasks
        return 0
