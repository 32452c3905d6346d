"""Preemption claims on a shard's machines: lists the tasks that may be preempted and stops the victims of a claim."""

from __future__ import annotations

from collections.abc import Callable, Container, Iterable

from alderbridge.machines.capacity import MachineCapacity
from alderbridge.machines.context import JobLookups
from alderbridge.machines.machine import Machine, MachineState
from alderbridge.protocol.messages import MachineTasks
from alderbridge.protocol.wire import JobSpec


class MachineClaims:
    """Executes claims on machines and lists, for the leader, the tasks that claims may preempt."""

    def __init__(self, machines: dict[str, Machine], jobs: JobLookups, capacity: MachineCapacity) -> None:
        """``machines`` is the shard's own table."""
        self.machines = machines
        self.jobs = jobs
        self.capacity = capacity

    @staticmethod
    def execute(machine: Machine, victims: Iterable[tuple[str, int, int]], wind_down_s: float) -> None:
        """Request stops of the victims (job, index, attempt) that the latest heartbeat shows; others are skipped."""
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
        """Cancel the claim's stop orders that have not taken effect yet."""
        for key, stop in machine.orders.claim_stops.items():
            if machine.orders.stops.get(key) == stop:
                del machine.orders.stops[key]
        machine.orders.claim_stops.clear()

    def machine_tasks(
        self, now: float, claimed: Container[str], may_stop: Callable[[JobSpec], bool] | None
    ) -> list[MachineTasks]:
        """All tasks of claimed machines; of other machines the tasks for which ``may_stop`` holds.

        Lists only machines that are up, acknowledged and recorded, and no unclaimed machine that is quarantined.
        Without ``may_stop``, lists only claimed machines and no images.
        """
        rows = []
        for machine in self.machines.values():
            if machine.state is not MachineState.UP or not machine.acknowledged or not machine.recorded:
                continue
            is_claimed = machine.name in claimed
            if not is_claimed and (may_stop is None or now < machine.health.quarantined_until):
                continue
            tasks = self._stoppable_tasks(machine, now, None if is_claimed else may_stop)
            images = set() if may_stop is None else self._images(machine)
            rows.append(MachineTasks(machine.name, self.capacity.free_resources(machine), tasks, sorted(images)))
        return rows

    def _stoppable_tasks(
        self, machine: Machine, now: float, may_stop: Callable[[JobSpec], bool] | None
    ) -> list[tuple[str, int, int, float, bool]]:
        """Task rows of ``MachineTasks``; without ``may_stop``, of all tasks that have not ended."""
        rows = []
        for (job, index), task in machine.tasks.items():
            spec = self.jobs.spec_of(job) if task.status != "ended" else None
            if spec is None:
                continue
            if may_stop is None or task.status in ("fetching", "running") and may_stop(spec):
                ran_s = now - task.since if task.status == "running" else 0.0
                is_full_run_time = ran_s == 0.0 or task.since > machine.prior_view.observed_since
                rows.append((job, index, task.attempt, ran_s, is_full_run_time))
        return rows

    def _images(self, machine: Machine) -> set[str]:
        """The images that a machine with GPUs has cached or needs for its tasks; empty for a machine without GPUs."""
        kind = self.capacity.types.get(machine.type)
        if kind is None or kind.gpus <= 0:
            return set()
        images = set(machine.images)
        for job, _ in (*machine.tasks, *machine.orders.pending):
            spec = self.jobs.spec_of(job)
            if spec is not None:
                images.add(spec.image)
        return images
