"""A fleet of 24 machines with mostly one-zone arrays, whose heartbeats are held back by network partitions."""

from __future__ import annotations

import math

import msgspec

from alderbridge.controller.core import ControllerCore
from alderbridge.protocol import wire
from simulation.deployment import LEASE_S, ZONES
from simulation.errors import InvariantViolation
from simulation.world import World

MACHINES = 24
JOBS = 40
SUBMITTED_WITHIN_S = 150.0
FAULTS_FROM_S, FAULTS_UNTIL_S, LONGEST_FAULT_S = 30.0, 150.0, 40.0
LEADER_DOWNTIME_S = 7.0


class OneZoneWorld(World):
    """Machines die and are partitioned in groups, and leaders restart, while most jobs must keep to one zone.

    Partitions hold heartbeats back and deliver them at their end, in order, even if the worker's lease has expired.
    """

    def __init__(self, seed: int, nodes: int = 3, **options) -> None:
        super().__init__(seed, jobs=0, random_faults=False, nodes=nodes, machines=MACHINES, **options)
        rng = self.rng
        for number in range(JOBS):
            make = self.make_one_zone_job if rng.random() < 0.8 else self.make_job
            self.after(rng.uniform(1.0, SUBMITTED_WITHIN_S), self.submit, make(number))
        for _ in range(rng.randint(1, 3)):
            self.after(rng.uniform(FAULTS_FROM_S, FAULTS_UNTIL_S), self.crash_leader)
        for _ in range(rng.randint(1, 2)):
            self.after(rng.uniform(FAULTS_FROM_S, FAULTS_UNTIL_S), self.kill_machines)
        for _ in range(rng.randint(2, 4)):
            self.after(rng.uniform(FAULTS_FROM_S, FAULTS_UNTIL_S), self.partition_machines)
        for kind in rng.sample(
            ["late_reports", "heartbeats_kept", "hang", "inbound_blocked", "outbound_blocked", "held_up"], 2
        ):
            self.after(
                rng.uniform(FAULTS_FROM_S, FAULTS_UNTIL_S),
                self.inject_concurrent,
                kind,
                rng.uniform(5.0, LONGEST_FAULT_S),
            )
        self.has_concurrent_faults = True  # jobs that wait beside free capacity are checked for
        self.faults_end_at = FAULTS_UNTIL_S + LONGEST_FAULT_S

    def check_bookkeeping(self, core: ControllerCore) -> None:
        """Also checks that no report has placed runs of a one-zone job in two zones."""
        super().check_bookkeeping(core)
        for name, job in core.job_shard.jobs.items():
            if job.zone_conflict_logged:
                raise InvariantViolation(f"zone_conflict: {name} at {self.t:.2f}")

    def make_one_zone_job(self, number: int) -> wire.JobSpec:
        """An array whose tasks must keep to one zone, and may run on any machine of it."""
        return msgspec.structs.replace(
            self.make_job(number),
            kind="sweep",
            team="free",
            tasks=self.rng.randint(10, 40),
            cpus=self.rng.choice([1.0, 2.0]),
            estimate_s=self.rng.uniform(8.0, 50.0),
            types=None,
            zone=None,
            one_zone=True,
            spread=False,
            spot=True,
        )

    def crash_leader(self) -> None:
        """The leader ends and is back within its store lease."""
        leader = next(
            (sim for sim in self.controllers.values() if sim.core and sim.core.membership.is_leader(self.t)), None
        )
        if leader is not None:
            self.crash_and_restart(leader, LEADER_DOWNTIME_S)

    def kill_machines(self) -> None:
        """Several machines die with all that is on them."""
        workers = self.live_workers()
        for worker in self.rng.sample(workers, min(len(workers), self.rng.randint(3, 6))):
            worker.crash()

    def partition_machines(self) -> None:
        """Machines, mostly those of one zone, are cut off for a lease or more; what they send arrives at the end."""
        workers = self.live_workers()
        length = LEASE_S + self.rng.uniform(0.0, 10.0)
        if self.rng.random() < 0.7:
            zone = self.rng.choice(ZONES)
            workers = [worker for worker in workers if worker.kind.zone == zone]
        for worker in self.rng.sample(workers, math.ceil(len(workers) * self.rng.uniform(0.5, 1.0))):
            worker.cut_until = worker.heartbeat_held_until = self.t + length
