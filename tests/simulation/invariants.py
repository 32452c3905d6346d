"""The rules of the protocol and what users may expect, checked after each step."""

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
from simulation.errors import Broken

if TYPE_CHECKING:
    from simulation.controller import SimController
    from simulation.worker import SimTask, SimWorker

KNOWN_S, BEGIN_S = 75.0, 240.0  # a job is forgotten after so long without an answer; the largest ones begin within
ROOM_S = 90.0  # no job waits so long, once the faults are over, beside room that fits


class Invariants:
    """What must hold whatever goes wrong; a part of ``World``."""

    def halted(self, part: str, task: SimTask, worker: SimWorker) -> None:
        """A task that its user still wants is told to stop."""

    def saved(self, part: str, left_s: float) -> None:
        """It saves, with so much left to run."""

    def run_time(self, part: str) -> float:
        spec = self.specs[wire.split_task_id(part)[0]]
        if spec.job_class == "long":
            return self.rng.uniform(20.0, 110.0)
        return math.inf if spec.service else spec.estimate_s * self.rng.uniform(0.5, 1.5)

    def followed(self, sim: SimController, rows: list) -> None:
        """A node has read these rows or changes; for worlds with more rules than this one."""

    def ordered(self, part: str) -> None:
        """A worker carries the order to run it out; for worlds with more rules than this one."""

    def entered(self, part: str, worker: SimWorker) -> None:
        job = wire.split_task_id(part)[0]
        spec = self.specs[job]
        if part in self.on:
            raise Broken(f"ran_twice: {part} on {self.on[part]} and {worker.name} at {self.t:.2f}")
        zones = [
            self.machines[name].kind.zone
            for p, name in self.on.items()
            if wire.split_task_id(p)[0] == job and self.machines.get(name)
        ]
        zones.append(worker.kind.zone)
        if not self.may_use(spec, worker.kind, zones):
            raise Broken(f"wrong_place: {part} on {worker.name}")
        for need in spec.needs or ():
            if any(f"{need}/{index}" not in self.completed for index in range(self.specs[need].tasks)):
                raise Broken(f"too_early: {part} before {need}")
        self.on[part] = worker.name
        self.starts += 1
        self.waits.pop(job, None)
        if self.t > self.cancelled_at.get(job, math.inf):
            self.starts_after.append((part, self.t - self.cancelled_at[job]))
        self.began.setdefault(job, self.t)
        for team in deployment.TEAMS:
            used = sum(
                self.specs[wire.split_task_id(p)[0]].cpus
                for p in self.on
                if self.specs[wire.split_task_id(p)[0]].team == team.name
            )
            if team.cpus_max and used > team.cpus_max + 1e-9:
                raise Broken(f"quota: {team.name} uses {used}")
        if self.t > self.cancelled_at.get(job, math.inf) + CANCEL_S:
            raise Broken(f"ran_cancelled: {part}")

    @staticmethod
    def may_use(spec: wire.JobSpec, kind, zones: list[str]) -> bool:
        """``zones``: of the job's tasks, with this one's."""
        return (
            (not spec.types or kind.type in spec.types)
            and spec.zone in (None, kind.zone)
            and (spec.spot or not kind.spot)
            and not (spec.one_zone and len(set(zones)) > 1)
            and not (spec.spread and zones.count(kind.zone) > math.ceil(spec.tasks / 2))
        )

    def look_for_room(self) -> None:
        """Who waits beside room that fits, by what is on the machines: ``ROOM_S`` at most, faults over."""
        if self.t < self.calm_at:
            return
        there: dict[str, SimWorker] = {}
        used: dict[str, float] = {}
        free: list[tuple[SimWorker, float, float]] = []
        zones: dict[str, list[str]] = {}
        for worker in self.machines.values():
            if worker is None or not worker.alive:
                continue
            kind = TYPES[worker.kind.type]
            cpus, memory = kind.cpus, kind.memory_gb
            for part, task in worker.tasks.items():
                job = wire.split_task_id(part)[0]
                spec = self.specs[job]
                there[part] = worker
                if task.status != "ended":
                    cpus, memory = cpus - spec.cpus, memory - spec.memory_gb
                    used[spec.team] = used.get(spec.team, 0.0) + spec.cpus
                    zones.setdefault(job, []).append(worker.kind.zone)
            if (
                worker.recall_at is None
                and not worker.faulty
                and self.t
                >= max(worker.hangs_until, worker.cut_until, worker.deaf_until, worker.mute_until, worker.held_up_until)
            ):
                free.append((worker, cpus, memory))
        limits = {team.name: team.cpus_max or math.inf for team in deployment.TEAMS}
        for job in sorted(self.accepted):
            spec = self.specs[job]
            over = job in self.said or job in self.cancelled_at or spec.needs
            if over or all(f"{job}/{i}" in self.completed or f"{job}/{i}" in there for i in range(spec.tasks)):
                self.waits.pop(job, None)
                continue
            under = used.get(spec.team, 0.0) + spec.cpus <= limits[spec.team] + 1e-9
            if not under or not any(
                cpus >= spec.cpus
                and memory >= spec.memory_gb
                and self.may_use(spec, worker.kind, [*zones.get(job, ()), worker.kind.zone])
                for worker, cpus, memory in free
            ):
                self.waits.pop(job, None)
                continue
            waited = self.t - self.waits.setdefault(job, self.t)
            self.longest_wait = max(self.longest_wait, waited)
            if waited > ROOM_S:
                raise Broken(f"waited: {job} beside room since {self.waits[job]:.1f}")

    def not_forgotten(self) -> None:
        """While it lasts, faults over: somebody is told something of each job."""
        for job in self.accepted:
            since = max(self.answered_at.get(job, self.accepted_at.get(job, self.t)), self.calm_at)
            if job not in self.said and self.t - since > KNOWN_S:
                raise Broken(f"unanswered: {job} since {since:.1f}")

    def judged(self) -> None:
        """On until whatever is judged by time has been: what waits, and the largest, which have to begin in time."""
        self.run(max(self.t, self.calm_at + ROOM_S + 10.0))
        while late := self.largest_not_begun():
            self.run(min(self.first_asked[job] for job in late) + BEGIN_S + 0.5)
            if self.late_largest():
                raise Broken(f"late: {self.late_largest()} not begun within {BEGIN_S:.0f} s")
        if self.late_largest():
            raise Broken(f"late: {self.late_largest()} not begun within {BEGIN_S:.0f} s")
        self.remembered()

    def left(self, part: str, machine: str) -> None:
        if self.on.get(part) == machine:
            del self.on[part]

    def watch(self) -> None:
        for worker in self.machines.values():
            if worker is not None:
                worker.tick()
                if worker.recall_at is not None and self.t >= worker.recall_at:
                    self.remove([worker.name])
        for part, machine in self.on.items():
            if self.t > self.cancelled_at.get(wire.split_task_id(part)[0], math.inf) + CANCEL_S:
                raise Broken(f"ran_cancelled: {part} on {machine}")
        for sim in self.nodes.values():
            if sim.core is not None:
                self.books(sim.core)
                self.served(sim.core)
        if self.has_concurrent_faults and self.t >= self.looked_at + 1.0:
            self.looked_at = self.t
            self.look_for_room()
            self.not_forgotten()
        self.after(0.25, self.watch)

    def served(self, core: ControllerCore) -> None:
        """Who acts serves all jobs that the store says are its own: nobody else will."""
        if not core.may_act():
            return
        for name, (record, _) in core.replica.active.items():
            if (
                record.state is JobState.ACTIVE
                and name not in core.job_shard.jobs
                and name not in core.submissions.pending
                and core.membership.job_owner(record.accepted_by) == core.me
            ):
                raise Broken(f"unserved: {name} by {core.me}, its home, at {self.t:.2f}")

    def remembered(self) -> None:
        """At the end, ``KNOWN_S`` after the last fault: each accepted job has ended, or questions are answered."""
        for job in sorted(self.accepted):
            since = self.answered_at.get(job, self.first_asked.get(job, 0.0))
            if job not in self.said and self.t - since > KNOWN_S:
                raise Broken(f"unanswered: {job} since {since:.1f}")

    def late_largest(self) -> list[str]:
        """Of each class the largest tenth by CPUs: those that had not begun within the time that users allow."""
        return [
            job
            for job in self.largest()
            if min(self.began.get(job, math.inf), self.t) > self.first_asked[job] + BEGIN_S
        ]

    def largest_not_begun(self) -> list[str]:
        return [job for job in self.largest() if job not in self.began]

    def largest(self) -> list[str]:
        classes: dict[str, list[wire.JobSpec]] = {}
        for job in self.accepted:
            if job not in self.cancelled_at and not self.specs[job].needs:
                classes.setdefault(self.specs[job].job_class, []).append(self.specs[job])
        result = []
        for specs in classes.values():
            specs.sort(key=lambda spec: (-spec.tasks * spec.cpus, spec.id))
            result += [spec.id for spec in specs[: math.ceil(len(specs) / 10)]]
        return result

    @staticmethod
    def books(core: ControllerCore) -> None:
        """What is kept with each change, in place of counting anew for each event, is what a count would give."""
        home, part = core.job_shard, core.machine_shard
        kept, there = dict(home.tally.teams), home.jobs_by_machine
        used = home.usage.used()
        for team in {*kept, *used}:
            if any(abs(a - b) > 1e-6 for a, b in zip(kept.get(team, (0, 0)), used.get(team, (0, 0)), strict=True)):
                raise Broken(f"books: {team} uses {used.get(team)}, kept was {kept.get(team)}")
        for name, job in home.jobs.items():
            counted = job.done.count + len(job.runs) + len(job.unknown) + job.waiting
            if job.state is JobState.ACTIVE and counted != job.spec.tasks:
                raise Broken(f"books: {name} accounts for {counted} of {job.spec.tasks} tasks")
            if any(name not in there.get(machine, ()) for machine in job.tasks_by_machine):
                raise Broken(f"books: {name} has a task where the index does not know")
            lags = job.dirty_since is not None or (job.has_full_record and job.stored_state is not JobState.ACTIVE)
            if lags and home.tally.lagging.get(name) is not job:
                raise Broken(f"books: {name} has a record to be written, and the index does not know")
        view = core.membership.view.members
        for machine, owner in core.membership.machine_owners.items():
            if owner != (rendezvous_owner(machine, sorted(view)) if view else ""):
                raise Broken(f"books: {machine} belongs to {owner} no more")
        for machine in part.machines.values():
            heard = (
                machine.last_heartbeat_at
                if machine.acknowledged
                else max(machine.last_heartbeat_at, machine.lease.exclusive_since or math.inf)
            )
            if machine.lease.exclusive_since is not None and machine.state is not MachineState.EXPIRED:
                if heard < part.leases.oldest_start:
                    raise Broken(f"books: {machine.name} was silent since {heard}, no look is due")
        for machine in part.machines.values():
            kept, machine.free = machine.free, None
            free = part.capacity.free(machine)
            known, machine.free = machine.free is not None, kept  # a job that is over is counted no longer
            if kept is not None and known and any(abs(a - b) > 1e-6 for a, b in zip(kept, free, strict=True)):
                raise Broken(f"books: {machine.name} has {free} free, kept was {kept}")

    def view_began(self) -> None:
        """Copies of old reports reach all controllers just as it begins there, or a moment after."""
        leader = msgspec.json.decode(self.store.data[VIEW][0], type=View).leader
        if leader != (self.leaders[-1] if self.leaders else ""):
            self.leaders.append(leader)
        kept, self.kept = self.kept, []
        for raw in kept:
            late = self.rng.choice([0.005, 0.3, 2.0, 8.0]) * self.rng.random()
            for sim in self.nodes.values():
                self.after(late + 0.01 * self.rng.random(), sim.heartbeat, raw, lambda status, body: None)

    def task_done(self, part: str) -> None:
        job = wire.split_task_id(part)[0]
        if (
            self.t < self.at_end_until
            and self.rng.random() < self.at_end_share
            and job in self.accepted
            and job not in self.said
            and job not in self.cancelled_at
            and all(f"{job}/{i}" in self.completed for i in range(self.specs[job].tasks))
        ):
            self.after(self.rng.choice([0.0, 0.5, 4.0]) * self.rng.random(), self.withdraw, job)
