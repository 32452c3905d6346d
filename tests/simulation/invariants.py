"""The invariants of the protocol and the guarantees to users, checked after each step."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec

from alderbridge.controller.core import ControllerCore
from alderbridge.jobs.record import JobState
from alderbridge.machines.machine import MachineState
from alderbridge.membership.records import View
from alderbridge.membership.rendezvous import rendezvous_owner
from alderbridge.protocol import wire
from alderbridge.protocol.keys import VIEW
from simulation import deployment
from simulation.deployment import CANCEL_S, TYPES
from simulation.errors import InvariantViolation

if TYPE_CHECKING:
    from simulation.controller import SimController
    from simulation.worker import SimTask, SimWorker

MAX_STATUS_AGE_S = 75.0  # maximum time without a status for a job
LARGEST_START_LIMIT_S = 240.0  # maximum time until the largest jobs start
MAX_PLACEABLE_WAIT_S = 90.0  # maximum wait while free capacity suits the job, after the faults have ended


class Invariants:
    """What must hold under any fault; a mixin of ``World``."""

    def on_task_halted(self, task_id: str, task: SimTask, worker: SimWorker) -> None:
        """Hook for subclasses: a worker halts a task whose job is not cancelled."""

    def on_checkpoint_started(self, task_id: str, remaining_s: float) -> None:
        """Hook for subclasses: a worker starts to save a checkpoint, with ``remaining_s`` left to run."""

    def draw_run_time(self, task_id: str) -> float:
        spec = self.specs[wire.split_task_id(task_id)[0]]
        if spec.job_class == "long":
            return self.rng.uniform(20.0, 110.0)
        return math.inf if spec.service else spec.estimate_s * self.rng.uniform(0.5, 1.5)

    def on_store_read(self, sim: SimController, rows: list) -> None:
        """Hook for subclasses: a controller has read these rows and events."""

    def on_run_order(self, task_id: str) -> None:
        """Hook for subclasses: a worker accepts the order to run the task."""

    def on_task_started(self, task_id: str, worker: SimWorker) -> None:
        job = wire.split_task_id(task_id)[0]
        spec = self.specs[job]
        if task_id in self.running_on:
            raise InvariantViolation(
                f"ran_twice: {task_id} on {self.running_on[task_id]} and {worker.name} at {self.t:.2f}"
            )
        zones = [
            self.machines[name].kind.zone
            for other, name in self.running_on.items()
            if wire.split_task_id(other)[0] == job and self.machines.get(name)
        ]
        zones.append(worker.kind.zone)
        if not self.may_place(spec, worker.kind, zones):
            raise InvariantViolation(f"wrong_place: {task_id} on {worker.name}")
        for need in spec.dependencies or ():
            if any(f"{need}/{index}" not in self.completed for index in range(self.specs[need].tasks)):
                raise InvariantViolation(f"too_early: {task_id} before {need}")
        self.running_on[task_id] = worker.name
        self.task_starts += 1
        self.placeable_since.pop(job, None)
        if self.t > self.cancelled_at.get(job, math.inf):
            self.starts_after_cancellation.append((task_id, self.t - self.cancelled_at[job]))
        self.first_started_at.setdefault(job, self.t)
        for team in deployment.TEAMS:
            used = sum(
                self.specs[wire.split_task_id(other)[0]].cpus
                for other in self.running_on
                if self.specs[wire.split_task_id(other)[0]].team == team.name
            )
            if team.cpus_max and used > team.cpus_max + 1e-9:
                raise InvariantViolation(f"quota: {team.name} uses {used}")
        if self.t > self.cancelled_at.get(job, math.inf) + CANCEL_S:
            raise InvariantViolation(f"ran_cancelled: {task_id}")

    @staticmethod
    def may_place(spec: wire.JobSpec, kind, zones: list[str]) -> bool:
        """Whether a task may run on such a machine; ``zones``: of the job's running tasks, including this one."""
        return (
            (not spec.types or kind.type in spec.types)
            and spec.zone in (None, kind.zone)
            and (spec.spot or not kind.spot)
            and not (spec.one_zone and len(set(zones)) > 1)
            and not (spec.spread and zones.count(kind.zone) > math.ceil(spec.tasks / 2))
        )

    def check_placeable_jobs(self) -> None:
        """After the faults, checks that no job waits over ``MAX_PLACEABLE_WAIT_S`` while free capacity suits it."""
        if self.t < self.faults_end_at:
            return
        reported: dict[str, SimWorker] = {}
        used: dict[str, float] = {}
        free: list[tuple[SimWorker, float, float]] = []
        zones: dict[str, list[str]] = {}
        for worker in self.machines.values():
            if worker is None or not worker.alive:
                continue
            kind = TYPES[worker.kind.type]
            cpus, memory = kind.cpus, kind.memory_gb
            for task_id, task in worker.tasks.items():
                job = wire.split_task_id(task_id)[0]
                spec = self.specs[job]
                reported[task_id] = worker
                if task.status != "ended":
                    cpus, memory = cpus - spec.cpus, memory - spec.memory_gb
                    used[spec.team] = used.get(spec.team, 0.0) + spec.cpus
                    zones.setdefault(job, []).append(worker.kind.zone)
            if (
                worker.preempted_at is None
                and not worker.fails_tasks
                and self.t
                >= max(
                    worker.hangs_until,
                    worker.cut_until,
                    worker.inbound_blocked_until,
                    worker.outbound_blocked_until,
                    worker.responses_delayed_until,
                )
            ):
                free.append((worker, cpus, memory))
        limits = {team.name: team.cpus_max or math.inf for team in deployment.TEAMS}
        for job in sorted(self.accepted):
            spec = self.specs[job]
            is_exempt = job in self.reported_ends or job in self.cancelled_at or spec.dependencies
            if is_exempt or all(f"{job}/{i}" in self.completed or f"{job}/{i}" in reported for i in range(spec.tasks)):
                self.placeable_since.pop(job, None)
                continue
            is_within_limit = used.get(spec.team, 0.0) + spec.cpus <= limits[spec.team] + 1e-9
            if not is_within_limit or not any(
                cpus >= spec.cpus
                and memory >= spec.memory_gb
                and self.may_place(spec, worker.kind, [*zones.get(job, ()), worker.kind.zone])
                for worker, cpus, memory in free
            ):
                self.placeable_since.pop(job, None)
                continue
            waited = self.t - self.placeable_since.setdefault(job, self.t)
            self.longest_placeable_wait_s = max(self.longest_placeable_wait_s, waited)
            if waited > MAX_PLACEABLE_WAIT_S:
                raise InvariantViolation(
                    f"waited: {job} although free capacity suits it since {self.placeable_since[job]:.1f}"
                )

    def check_jobs_answered(self) -> None:
        """Checks that each open job got a status within ``MAX_STATUS_AGE_S``, counted from the end of the faults."""
        for job in sorted(self.accepted):
            since = max(self.last_status_at.get(job, self.accepted_at.get(job, self.t)), self.faults_end_at)
            if job not in self.reported_ends and self.t - since > MAX_STATUS_AGE_S:
                raise InvariantViolation(f"unanswered: {job} since {since:.1f}")

    def run_to_time_limits(self) -> None:
        """Runs on until all time limits have been checked: waiting jobs, and the start of the largest jobs."""
        self.run(max(self.t, self.faults_end_at + MAX_PLACEABLE_WAIT_S + 10.0))
        while late := self.largest_not_started():
            self.run(min(self.first_submitted_at[job] for job in late) + LARGEST_START_LIMIT_S + 0.5)
            if self.largest_started_late():
                raise InvariantViolation(
                    f"late: {self.largest_started_late()} not begun within {LARGEST_START_LIMIT_S:.0f} s"
                )
        if self.largest_started_late():
            raise InvariantViolation(
                f"late: {self.largest_started_late()} not begun within {LARGEST_START_LIMIT_S:.0f} s"
            )
        self.check_final_status_age()

    def on_task_stopped(self, task_id: str, machine: str) -> None:
        if self.running_on.get(task_id) == machine:
            del self.running_on[task_id]

    def check_invariants(self) -> None:
        for worker in self.machines.values():
            if worker is not None:
                worker.tick()
                if worker.preempted_at is not None and self.t >= worker.preempted_at:
                    self.terminate([worker.name])
        for task_id, machine in self.running_on.items():
            if self.t > self.cancelled_at.get(wire.split_task_id(task_id)[0], math.inf) + CANCEL_S:
                raise InvariantViolation(f"ran_cancelled: {task_id} on {machine}")
        for sim in self.controllers.values():
            if sim.core is not None:
                self.check_bookkeeping(sim.core)
                self.check_owned_jobs_served(sim.core)
        if self.has_concurrent_faults and self.t >= self.liveness_checked_at + 1.0:
            self.liveness_checked_at = self.t
            self.check_placeable_jobs()
            self.check_jobs_answered()
        self.after(0.25, self.check_invariants)

    def check_owned_jobs_served(self, core: ControllerCore) -> None:
        """Checks that a controller that may act serves all active jobs that it owns by the store."""
        if not core.may_act():
            return
        for name, (record, _) in core.replica.active_jobs.items():
            if (
                record.state is JobState.ACTIVE
                and name not in core.job_shard.jobs
                and name not in core.submissions.pending
                and core.membership.job_owner(record.accepted_by) == core.me
            ):
                raise InvariantViolation(f"unserved: {name} by {core.me}, its owner, at {self.t:.2f}")

    def check_final_status_age(self) -> None:
        """Checks at the end of a run that each open job got a status within ``MAX_STATUS_AGE_S``."""
        for job in sorted(self.accepted):
            since = self.last_status_at.get(job, self.first_submitted_at.get(job, 0.0))
            if job not in self.reported_ends and self.t - since > MAX_STATUS_AGE_S:
                raise InvariantViolation(f"unanswered: {job} since {since:.1f}")

    def largest_started_late(self) -> list[str]:
        """The largest tenth of the jobs of each class, by CPUs, that did not start within ``LARGEST_START_LIMIT_S``."""
        return [
            job
            for job in self.largest_jobs()
            if min(self.first_started_at.get(job, math.inf), self.t)
            > self.first_submitted_at[job] + LARGEST_START_LIMIT_S
        ]

    def largest_not_started(self) -> list[str]:
        return [job for job in self.largest_jobs() if job not in self.first_started_at]

    def largest_jobs(self) -> list[str]:
        classes: dict[str, list[wire.JobSpec]] = {}
        for job in sorted(self.accepted):
            if job not in self.cancelled_at and not self.specs[job].dependencies:
                classes.setdefault(self.specs[job].job_class, []).append(self.specs[job])
        result = []
        for specs in classes.values():
            specs.sort(key=lambda spec: (-spec.tasks * spec.cpus, spec.id))
            result += [spec.id for spec in specs[: math.ceil(len(specs) / 10)]]
        return result

    @staticmethod
    def check_bookkeeping(core: ControllerCore) -> None:
        """Checks that incrementally updated counts and indexes match a full recount."""
        job_shard, machine_shard = core.job_shard, core.machine_shard
        cached, jobs_by_machine = dict(job_shard.tally.teams), job_shard.jobs_by_machine
        used = job_shard.usage.used()
        for team in {*cached, *used}:
            if any(abs(a - b) > 1e-6 for a, b in zip(cached.get(team, (0, 0)), used.get(team, (0, 0)), strict=True)):
                raise InvariantViolation(f"books: {team} uses {used.get(team)}, cached was {cached.get(team)}")
        for name, job in job_shard.jobs.items():
            counted = job.done.count + len(job.runs) + len(job.inherited_tasks) + job.waiting
            if job.state is JobState.ACTIVE and counted != job.spec.tasks:
                raise InvariantViolation(f"books: {name} accounts for {counted} of {job.spec.tasks} tasks")
            if any(name not in jobs_by_machine.get(machine, ()) for machine in job.tasks_by_machine):
                raise InvariantViolation(f"books: {name} has a task on a machine that is not in the index")
            is_lagging = job.dirty_since is not None or (
                job.has_full_record and job.stored_state is not JobState.ACTIVE
            )
            if is_lagging and job_shard.tally.lagging.get(name) is not job:
                raise InvariantViolation(f"books: {name} has a record to write that is not in the index")
        view = core.membership.view.members
        for machine, owner in core.membership.machine_owners.items():
            if owner != (rendezvous_owner(machine, sorted(view)) if view else ""):
                raise InvariantViolation(f"books: {machine} does not belong to {owner}")
        for machine in machine_shard.machines.values():
            last_contact_at = (
                machine.last_heartbeat_at
                if machine.acknowledged
                else max(machine.last_heartbeat_at, machine.lease.exclusive_since or math.inf)
            )
            if machine.lease.exclusive_since is not None and machine.state is not MachineState.EXPIRED:
                if last_contact_at < machine_shard.leases.oldest_lease_start:
                    raise InvariantViolation(
                        f"books: {machine.name} was silent since {last_contact_at}, no expiry check is due"
                    )
        for machine in machine_shard.machines.values():
            cached, machine.free = machine.free, None
            free = machine_shard.capacity.free_resources(machine)
            # The recount is not cached where a job of the machine is unknown: then nothing is compared.
            is_known, machine.free = machine.free is not None, cached
            if cached is not None and is_known and any(abs(a - b) > 1e-6 for a, b in zip(cached, free, strict=True)):
                raise InvariantViolation(f"books: {machine.name} has {free} free, cached was {cached}")

    def on_view_change(self) -> None:
        """Records the leader, and resends kept heartbeats to all controllers as the new view takes effect."""
        leader = msgspec.json.decode(self.store.data[VIEW][0], type=View).leader
        if leader != (self.leaders[-1] if self.leaders else ""):
            self.leaders.append(leader)
        kept, self.kept_heartbeats = self.kept_heartbeats, []
        for heartbeat in kept:
            delay = self.rng.choice([0.005, 0.3, 2.0, 8.0]) * self.rng.random()
            for sim in self.controllers.values():
                self.after(delay + 0.01 * self.rng.random(), sim.heartbeat, heartbeat, lambda status, body: None)

    def on_task_done(self, task_id: str) -> None:
        job = wire.split_task_id(task_id)[0]
        if (
            self.t < self.cancel_at_end_until
            and self.rng.random() < self.cancel_at_end_share
            and job in self.accepted
            and job not in self.reported_ends
            and job not in self.cancelled_at
            and all(f"{job}/{i}" in self.completed for i in range(self.specs[job].tasks))
        ):
            self.after(self.rng.choice([0.0, 0.5, 4.0]) * self.rng.random(), self.cancel, job)
