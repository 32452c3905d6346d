"""What is free on a shard's machines, for placement and for the leader."""

from __future__ import annotations

import math
from collections.abc import Callable

from alderbridge.machines.context import JobLookups, ShardView
from alderbridge.machines.machine import Machine, MachineState, TaskLoad
from alderbridge.protocol.messages import MachineSummary
from alderbridge.protocol.wire import JobSpec, MachineType
from alderbridge.scheduling import placement
from alderbridge.scheduling.placement import Candidate
from alderbridge.scheduling.resources import Resources, minus

QUARANTINED = "aside"  # the state of a quarantined machine in ``MachineSummary``

JobLoad = tuple[float, float, float, float]  # Expected Run Time in s, cpus, memory, gpus of one task


class MachineCapacity:
    """Free room of machines, cached in each until something changes there."""

    def __init__(self, machines: dict[str, Machine], jobs: JobLookups, view: ShardView) -> None:
        """For all machines of a shard; their types are not known yet."""
        self.machines = machines
        self.jobs = jobs
        self.view = view
        self._types: dict[str, MachineType] = {}

    @property
    def types(self) -> dict[str, MachineType]:
        """The machine types, by name; empty until the cloud's have been read."""
        return self._types

    @types.setter
    def types(self, types: dict[str, MachineType]) -> None:
        """New types: what is free on each machine is counted anew."""
        self._types = types
        for machine in self.machines.values():
            machine.changed()

    # -- for placement -----------------------------------------------------

    def free(self, machine: Machine) -> Resources:
        """What its tasks, those on their way and requested ones leave free: cpus, memory, gpus."""
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
        room, known, spec_of = (kind.cpus, kind.memory_gb, kind.gpus), True, self.jobs.spec_of
        for job, count in counts.items():
            spec = spec_of(job)
            if spec is not None:
                room = minus(room, spec, count)
            else:
                known = False  # over for good, or yet to arrive here: counted anew next time
        if known:
            machine.free = room
        return room

    def candidate(self, machine: Machine, now: float) -> Candidate | None:
        """The machine for placement, if tasks may be placed there."""
        if machine.state is not MachineState.UP or not machine.recorded or now < machine.health.quarantined_until:
            return None
        return Candidate(machine.name, machine.type, machine.zone, machine.spot, self.free(machine), machine.images)

    def busy(self, now: float) -> placement.BusyMachines:
        """Machines that run something and may have room left."""
        found = [self.candidate(machine, now) for machine in self.machines.values() if not machine.idle]
        return placement.BusyMachines(
            candidate for candidate in found if candidate is not None and candidate.free[0] > 0
        )

    def fetch_s(self, machine: Machine, spec: JobSpec) -> float:
        """How long the machine would fetch the job's image, in s; 0 if it has it."""
        kind = self._types.get(machine.type)
        if kind is None or spec.image in machine.images or kind.fetch_gb_per_s <= 0:
            return 0.0
        return spec.image_gb / kind.fetch_gb_per_s

    # -- for the leader ----------------------------------------------------

    def summaries(self, now: float, run_time: Callable[[JobSpec], float]) -> list[MachineSummary]:
        """A row for each machine; ``run_time``: the Expected Run Time of a job's task, in s."""
        rows, ceil, nothing = [], math.ceil, (0.0, 0.0, 0.0)
        loads: dict[str, JobLoad | None] = {}
        for machine in self.machines.values():
            ends: dict[int, Resources] = {}  # whole seconds: what ends together is one entry
            busy = machine.busy if machine.busy is not None else self._task_loads(machine, loads, run_time)
            for since, run_s, cpus, memory, gpus in busy:
                left = run_s if since is None else run_s - (now - since)
                end = ceil(left) if left > 0.0 else 0
                freed = ends.get(end, nothing)
                ends[end] = (freed[0] + cpus, freed[1] + memory, freed[2] + gpus)
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
                    self.free(machine),
                    [(float(end), *freed) for end, freed in ends.items()],
                    self.view.silence_s(machine, now),
                )
            )
        return rows

    def _task_loads(
        self, machine: Machine, loads: dict[str, JobLoad | None], run_time: Callable[[JobSpec], float]
    ) -> list[TaskLoad]:
        """The load of each task on it, or on its way there. ``loads``: of the jobs found so far in this round."""
        tasks = [
            (job, task.since if task.status == "running" else None)
            for (job, _), task in machine.tasks.items()
            if task.status != "ended"
        ]
        tasks += [(job, None) for job, _ in machine.orders.pending]
        found = []
        for job, since in tasks:
            if job not in loads:
                spec = self.jobs.spec_of(job)
                loads[job] = None if spec is None else (run_time(spec), spec.cpus, spec.memory_gb, spec.gpus)
            load = loads[job]
            if load is not None:
                found.append((since, *load))
        if len(found) == len(tasks):  # else one is over for good, or yet to arrive here
            machine.busy = found
        return found
