"""Preemption claims on a shard's machines: the tasks that might be stopped, and the stops of a claim's victims."""

from __future__ import annotations

from collections.abc import Callable, Container, Iterable

from alderbridge.machines.capacity import MachineCapacity
from alderbridge.machines.context import JobLookups
from alderbridge.machines.machine import Machine, MachineState
from alderbridge.protocol.messages import MachineTasks
from alderbridge.protocol.wire import JobSpec


class MachineClaims:
    """Carries out claims on machines, and lists to the leader what claims may stop."""

    def __init__(self, machines: dict[str, Machine], jobs: JobLookups, capacity: MachineCapacity) -> None:
        """For all machines of a shard."""
        self.machines = machines
        self.jobs = jobs
        self.capacity = capacity

    @staticmethod
    def execute(machine: Machine, victims: Iterable[tuple[str, int, int]], wind_down_s: float) -> None:
        """Stop the victims (job, index, attempt) that the newest heartbeat shows; others are passed over."""
        for job, index, attempt in victims:
            key = (job, index)
            task = machine.tasks.get(key)
            if (
                task is not None
                and task.attempt == attempt
                and task.status not in ("saving", "ended")
                and key not in machine.orders.stops
            ):
                machine.orders.stops[key] = machine.orders.claim_stops[key] = (attempt, wind_down_s)

    @staticmethod
    def drop(machine: Machine) -> None:
        """The claim is gone: its stops are not repeated."""
        for key, stop in machine.orders.claim_stops.items():
            if machine.orders.stops.get(key) == stop:
                del machine.orders.stops[key]
        machine.orders.claim_stops.clear()

    def machine_tasks(
        self, now: float, claimed: Container[str], may_stop: Callable[[JobSpec], bool] | None
    ) -> list[MachineTasks]:
        """Machines that are up: all tasks of claimed ones; of others those that may stop, or no row without that."""
        rows = []
        for machine in self.machines.values():
            if machine.state is not MachineState.UP or not machine.acknowledged or not machine.recorded:
                continue
            is_claimed = machine.name in claimed
            if not is_claimed and (may_stop is None or now < machine.health.quarantined_until):
                continue
            tasks = self._stoppable_tasks(machine, now, None if is_claimed else may_stop)
            images = set() if may_stop is None else self._images(machine)
            rows.append(MachineTasks(machine.name, self.capacity.free(machine), tasks, sorted(images)))
        return rows

    def _stoppable_tasks(
        self, machine: Machine, now: float, may_stop: Callable[[JobSpec], bool] | None
    ) -> list[tuple[str, int, int, float, bool]]:
        """Rows of ``MachineTasks``; ``may_stop`` None: of all tasks that have not ended."""
        rows = []
        for (job, index), task in machine.tasks.items():
            spec = self.jobs.spec_of(job) if task.status != "ended" else None
            if spec is None:
                continue
            if may_stop is None or task.status in ("fetching", "running") and may_stop(spec):
                ran_s = now - task.since if task.status == "running" else 0.0
                is_all_it_ran = ran_s == 0.0 or task.since > machine.prior.observed_since
                rows.append((job, index, task.attempt, ran_s, is_all_it_ran))
        return rows

    def _images(self, machine: Machine) -> set[str]:
        """Of a machine with GPUs the images that are cached, or being fetched."""
        kind = self.capacity.types.get(machine.type)
        if kind is None or kind.gpus <= 0:
            return set()
        images = set(machine.images)
        for job, _ in (*machine.tasks, *machine.orders.pending):
            spec = self.jobs.spec_of(job)
            if spec is not None:
                images.add(spec.image)
        return images
