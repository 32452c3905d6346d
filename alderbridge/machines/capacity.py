"""Free capacity of a shard's machines, for placement and for the leader."""

from __future__ import annotations

import math
from collections.abc import Callable

from alderbridge.machines.context import JobLookups, ShardView
from alderbridge.machines.machine import Machine, MachineState, TaskLoad
from alderbridge.protocol.messages import MachineSummary
from alderbridge.protocol.wire import JobSpec, MachineType
from alderbridge.scheduling import placement
from alderbridge.scheduling.placement import Candidate
from alderbridge.scheduling.resources import Resources, remaining_after

QUARANTINED = "aside"  # state of a quarantined machine in ``MachineSummary``

JobLoad = tuple[float, float, float, float]  # per task: expected run time in s, cpus, memory in GB, gpus


class MachineCapacity:
    """Free capacity and task loads, cached per machine until its tasks or orders change."""

    def __init__(self, machines: dict[str, Machine], jobs: JobLookups, view: ShardView) -> None:
        """``machines`` is the shard's own table; the machine types are set later."""
        self.machines = machines
        self.jobs = jobs
        self.view = view
        self._types: dict[str, MachineType] = {}

    @property
    def types(self) -> dict[str, MachineType]:
        """The machine types by name; empty until the cloud's types have been read."""
        return self._types

    @types.setter
    def types(self, types: dict[str, MachineType]) -> None:
        """Replace the machine types and invalidate the cached capacity of all machines."""
        self._types = types
        for machine in self.machines.values():
            machine.invalidate_cached_load()

    def free_resources(self, machine: Machine) -> Resources:
        """Free cpus, memory in GB and gpus, after running tasks, granted tasks and reservations for task requests."""
        if machine.free is not None:
            return machine.free
        kind = self._types.get(machine.type)
        if kind is None:
            return (0.0, 0.0, 0.0)
        counts: dict[str, int] = {}
        for (job, _), task in machine.tasks.items():
            if task.status != "ended":
                counts[job] = counts[job] + 1 if job in counts else 1
        for job, _ in machine.orders.pending:
            counts[job] = counts.get(job, 0) + 1
        for job, count in machine.reserved.values():
            counts[job] = counts.get(job, 0) + count
        free, complete, spec_of = (kind.cpus, kind.memory_gb, kind.gpus), True, self.jobs.spec_of
        for job, count in counts.items():
            spec = spec_of(job)
            if spec is not None:
                free = remaining_after(free, spec, count)
            else:
                complete = False  # the job has ended, or its record has not been read yet: not cached
        if complete:
            machine.free = free
        return free

    def candidate(self, machine: Machine, now: float) -> Candidate | None:
        """The machine as a placement candidate; None if no task may be placed on it."""
        if machine.state is not MachineState.UP or not machine.recorded or now < machine.health.quarantined_until:
            return None
        return Candidate(
            machine.name, machine.type, machine.zone, machine.spot, self.free_resources(machine), machine.images
        )

    def busy_machines(self, now: float) -> placement.BusyMachines:
        """Candidates that are not idle and have free cpus."""
        candidates = [self.candidate(machine, now) for machine in self.machines.values() if not machine.idle]
        return placement.BusyMachines(
            candidate for candidate in candidates if candidate is not None and candidate.free[0] > 0
        )

    def fetch_s(self, machine: Machine, spec: JobSpec) -> float:
        """Expected time to fetch the job's image, in s; 0 if it is cached or the fetch rate is unknown."""
        kind = self._types.get(machine.type)
        if kind is None or spec.image in machine.images or kind.fetch_gb_per_s <= 0:
            return 0.0
        return spec.image_gb / kind.fetch_gb_per_s

    def summaries(self, now: float, run_time: Callable[[JobSpec], float]) -> list[MachineSummary]:
        """One summary per machine; ``run_time`` returns the expected run time of a job's task, in s."""
        rows, ceil, no_resources = [], math.ceil, (0.0, 0.0, 0.0)
        loads: dict[str, JobLoad | None] = {}
        for machine in self.machines.values():
            freed_after: dict[int, Resources] = {}  # seconds from now, rounded up -> resources freed then
            task_loads = (
                machine.task_loads if machine.task_loads is not None else self._task_loads(machine, loads, run_time)
            )
            for started_at, run_s, cpus, memory, gpus in task_loads:
                remaining_s = run_s if started_at is None else run_s - (now - started_at)
                end_s = ceil(remaining_s) if remaining_s > 0.0 else 0
                freed = freed_after.get(end_s, no_resources)
                freed_after[end_s] = (freed[0] + cpus, freed[1] + memory, freed[2] + gpus)
            idle_s = 0.0 if machine.idle_since is None else now - machine.idle_since
            state = machine.state.value
            if now < machine.health.quarantined_until and machine.state is MachineState.UP:
                state = QUARANTINED
            rows.append(
                MachineSummary(
                    machine.name,
                    machine.type,
                    machine.zone,
                    machine.spot,
                    state,
                    idle_s,
                    self.free_resources(machine),
                    [(float(end_s), *freed) for end_s, freed in freed_after.items()],
                    self.view.silence_s(machine, now),
                )
            )
        return rows

    def _task_loads(
        self, machine: Machine, loads: dict[str, JobLoad | None], run_time: Callable[[JobSpec], float]
    ) -> list[TaskLoad]:
        """Loads of the machine's live and granted tasks; ``loads`` caches the load per job for this round."""
        tasks = [
            (job, task.since if task.status == "running" else None)
            for (job, _), task in machine.tasks.items()
            if task.status != "ended"
        ]
        tasks += [(job, None) for job, _ in machine.orders.pending]
        task_loads = []
        for job, started_at in tasks:
            if job not in loads:
                spec = self.jobs.spec_of(job)
                loads[job] = None if spec is None else (run_time(spec), spec.cpus, spec.memory_gb, spec.gpus)
            load = loads[job]
            if load is not None:
                task_loads.append((started_at, *load))
        if len(task_loads) == len(tasks):  # otherwise a job has ended or its record has not been read yet: not cached
            machine.task_loads = task_loads
        return task_loads
