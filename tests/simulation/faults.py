"""The faults that the simulation injects, one at a time and several together."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec

from alderbridge import constants
from alderbridge.membership.records import View
from alderbridge.protocol.keys import VIEW
from simulation.deployment import CANCEL_S, LEASE_S, ZONES
from simulation.users import REPLACED_LEADERS, REPLACED_LEADERS_S, STREAM_INTERVAL_S

if TYPE_CHECKING:
    from simulation.controller import SimController
    from simulation.worker import SimWorker

SINGLE_FAULTS = [
    "crash",
    "crash",
    "crash_all",
    "flap",
    "cut",
    "cut_store",
    "cut_workers",
    "cut_mesh",
    "outage",
    "die",
    "hang",
    "cut_machine",
    "faulty",
    "recall",
    "inbound_blocked",
    "late_reports",
    "late_writes",
    "cut_from_store_and_peers",
    "refused",
    "held_up",
]
# Overlapping faults include at least one of CONCURRENT_FAULTS; see ``schedule_concurrent_faults``.
CONCURRENT_FAULTS = [
    "inbound_blocked",
    "late_reports",
    "late_writes",
    "cut_from_store_and_peers",
    "refused",
    "held_up",
    "slow_store",
    "outbound_blocked",
    "concurrent_reads",
    "lost_responses",
    "heartbeats_kept",
    "cancel_now",
    "cancel_at_end",
    "odd_requests",
    "quick_boots",
    "zone_away",
    "limits",
    "job_stream",
    "ten_leaders",
]
SECONDARY_FAULTS = ["crash", "crash_all", "staggered_restart", "flap", "end_leaders", "hang", "cut_machine"]
MACHINE_FAULTS = ("inbound_blocked", "held_up", "hang", "cut_machine", "outbound_blocked")


class Faults:
    """Draws and injects faults; a mixin of ``World``."""

    def inject_fault(self) -> None:
        sim = self.controllers[self.rng.choice(self.labels)]
        self.inject(self.rng.choice(SINGLE_FAULTS), sim, self.rng.uniform(2.0, 40.0))

    def inject(self, kind: str, sim: SimController, length: float) -> None:
        """Injects one fault: of the controller ``sim``, of one random machine, or of the whole deployment."""
        rng = self.rng
        workers = [worker for worker in self.machines.values() if worker is not None]
        if kind.startswith("crash"):
            for victim in self.controllers.values() if kind == "crash_all" else [sim]:
                self.crash_and_restart(victim)
        elif kind == "flap":
            self.flap()
        elif kind == "staggered_restart":
            for victim in self.controllers.values():
                self.crash_and_restart(victim, rng.uniform(0.1, 1.0) if victim is sim else rng.uniform(0.1, 35.0))
        elif kind == "end_leaders":
            self.crash_leaders(rng.randint(1, 4), rng.uniform(0.2, 6.0))
        elif kind == "outage":
            self.store.outage(min(length, 25.0))
        elif kind == "late_reports":
            self.duplicate_share, self.duplicates_until = rng.uniform(0.1, 0.9), self.t + length
        elif kind == "late_writes":
            self.store.delayed_write_share, self.store.delayed_writes_until = rng.uniform(0.1, 0.6), self.t + length
        elif kind == "slow_store":
            self.store.latency_factor, self.store.slow_until = rng.choice([25.0, 100.0, 400.0]), self.t + length
        elif kind == "lost_responses":
            self.store.lost_response_share, self.store.lost_responses_until = rng.uniform(0.2, 0.9), self.t + length
        elif kind == "heartbeats_kept":
            self.heartbeat_copy_share, self.heartbeat_copies_until = rng.uniform(0.1, 0.6), self.t + length
            self.after(rng.uniform(0.3, 1.0) * length, self.crash_leaders, rng.randint(1, 3), rng.uniform(1.0, 8.0))
        elif kind == "concurrent_reads":
            self.concurrent_reads_until = self.t + length
        elif kind == "quick_boots":
            self.quick_boots_until = self.t + length
            if rng.random() < 0.5:
                self.after(rng.uniform(1.0, length), self.crash_leaders, 1, 1.0)
        elif kind == "cancel_now":
            self.cancel_running_jobs(rng.randint(4, 12), rng.choice([0.0, rng.uniform(2.0, 60.0)]))
        elif kind == "cancel_at_end":
            self.cancel_at_end_share, self.cancel_at_end_until = rng.uniform(0.3, 0.9), self.t + length
        elif kind == "odd_requests":
            for _ in range(int(length)):
                self.after(rng.uniform(0.0, length), self.send_unusual_request)
        elif kind == "limits":
            self.exceed_team_quota(length)
        elif kind == "job_stream":
            for index in range(int(length / STREAM_INTERVAL_S)):
                self.after(index * STREAM_INTERVAL_S, self.submit_stream_job)
        elif kind == "ten_leaders":
            for index in range(REPLACED_LEADERS):
                self.after((index + 0.5 * rng.random()) * REPLACED_LEADERS_S / REPLACED_LEADERS, self.replace_leader)
        elif kind == "zone_away":
            self.partition_zone(rng.choice(ZONES), sim, length)
        elif kind == "cut_from_store_and_peers":  # workers and users still reach it
            sim.cut_store_until = sim.cut_mesh_until = self.t + max(10.0, length)
            if rng.random() < 0.5:
                sim.mesh_delayed_until = self.t + constants.MESH_STALL_TIMEOUT_S
        elif kind == "refused":
            if rng.random() < 0.5:  # writes are applied without a response before the refusals begin
                self.store.delayed_write_share, self.store.delayed_writes_until = 0.8, self.t + 3.0
            self.after(rng.uniform(0.0, 3.0), self.refuse_store_calls, sim, length)
        elif kind.startswith("cut") and kind != "cut_machine":
            if kind in ("cut", "cut_store"):
                sim.cut_store_until = self.t + length
            if kind in ("cut", "cut_mesh"):
                sim.cut_mesh_until = self.t + length
            if kind in ("cut", "cut_workers"):
                sim.cut_workers_until = self.t + length
        elif workers:
            worker = rng.choice(workers)
            if kind == "die":
                worker.crash()
            elif kind == "hang":
                worker.hangs_until = self.t + length
            elif kind == "cut_machine":
                worker.cut_until = self.t + length
            elif kind == "inbound_blocked":
                worker.inbound_blocked_until = self.t + length
            elif kind == "held_up":
                worker.responses_delayed_until = self.t + length
            elif kind == "outbound_blocked":
                worker.outbound_blocked_until = self.t + length
            elif kind == "faulty":
                worker.fails_tasks = not worker.fails_tasks
            else:
                worker.preempted_at = self.t + rng.uniform(2.0, 15.0)

    def refuse_store_calls(self, sim: SimController, for_s: float) -> None:
        """The store refuses one controller; meanwhile it may be down for all, also beyond ``cancel_s``."""
        rng = self.rng
        sim.refused_until, sim.follow_hangs = self.t + for_s, True
        if rng.random() < 0.6:
            self.after(
                rng.uniform(0.0, min(for_s, 20.0)),
                self.store.outage,
                CANCEL_S + rng.uniform(1.0, 10.0) if rng.random() < 0.5 else rng.uniform(2.0, 25.0),
            )

    def schedule_concurrent_faults(self, starts_at: float) -> None:
        """Schedules two or three overlapping faults, and cancellations shortly before and during them."""
        rng = self.rng
        kinds = [rng.choice(CONCURRENT_FAULTS)]
        kinds += rng.sample(
            [kind for kind in CONCURRENT_FAULTS + SECONDARY_FAULTS if kind not in kinds], rng.choice([1, 1, 2])
        )
        for kind in kinds:
            begins_at = starts_at + rng.uniform(0.0, 8.0)
            length = rng.uniform(10.0, 45.0)
            if kind in ("inbound_blocked", "outbound_blocked"):
                length = rng.choice([rng.uniform(5.0, 40.0), rng.uniform(20.0, 200.0)])
            elif kind == "ten_leaders":
                length = REPLACED_LEADERS_S
            elif kind == "cancel_now":
                length = 60.0
            elif kind == "zone_away":
                length += LEASE_S
            elif kind == "job_stream":
                length = min(length, 25.0)
            elif kind == "limits":
                length += 20.0
            self.after(begins_at, self.inject_concurrent, kind, length)
            self.faults_end_at = max(self.faults_end_at, begins_at + length + 60.0 * (kind == "refused"))
        for _ in range(rng.randint(2, 5)):
            self.after(starts_at + rng.uniform(-3.0, 30.0), self.cancel_any)

    def inject_concurrent(self, kind: str, length: float) -> None:
        """Injects a fault into the leader (mostly) or another controller, or into one to eight machines."""
        rng = self.rng
        leader = msgspec.json.decode(self.store.data[VIEW][0], type=View).leader if VIEW in self.store.data else ""
        sim = self.controllers[leader if leader and rng.random() < 0.6 else rng.choice(self.labels)]
        if kind in ("refused", "cut_from_store_and_peers", "late_writes"):
            for _ in range(rng.randint(0, 3)):
                self.after(rng.uniform(0.0, 4.0), self.cancel_any)
        for _ in range(rng.choice([1, 2, 4, 8]) if kind in MACHINE_FAULTS else 1):
            self.inject(kind, sim, length)

    def can_reach(self, worker: SimWorker, label: str) -> bool:
        """Whether no zone partition separates the worker from the controller."""
        zone, inside, until = self.partitioned_zone
        return self.t >= until or (worker.kind.zone == zone) == (label == inside)

    def partition_zone(self, zone: str, sim: SimController, for_s: float) -> None:
        """Partitions a zone: its workers and ``sim`` reach only each other, users reach all; submits one-zone jobs."""
        rng = self.rng
        self.partitioned_zone = (zone, sim.label, self.t + for_s)
        sim.cut_store_until = sim.cut_mesh_until = self.t + for_s
        for _ in range(rng.randint(2, 4)):
            spec = msgspec.structs.replace(
                self.make_long_job(next(self.job_numbers)),
                types=None,
                spread=False,
                zone=rng.choice([None, zone]),
                one_zone=True,
                tasks=rng.randint(2, 6),
            )
            self.after(rng.uniform(0.0, for_s), self.submit, spec)

    def inject_group_fault(self) -> None:
        """Fails 30 to 90 % of the machines at once, and with them one controller, all or none."""
        rng = self.rng
        workers = [worker for worker in self.machines.values() if worker is not None]
        kind, length = rng.choice(["die", "hang", "cut", "staggered_hang"]), rng.uniform(5.0, 45.0)
        for index, worker in enumerate(rng.sample(workers, math.ceil(len(workers) * rng.uniform(0.3, 0.9)))):
            if kind == "die":
                worker.crash()
            elif kind == "cut":
                worker.cut_until = self.t + length
            else:
                worker.hangs_until = self.t + length + (index if kind == "staggered_hang" else 0.0)
        victims = rng.choice([[], rng.sample(list(self.controllers.values()), 1), list(self.controllers.values())])
        for victim in victims:
            self.crash_and_restart(victim)
        if rng.random() < 0.3:
            self.store.outage(rng.uniform(2.0, 25.0))

    def fail_everything(self) -> None:
        """Crashes all controllers within 5 s; they restart within a minute in any order, some crash again soon.

        33 to 90 % of the machines crash, hang, are cut off, are cut off for longer than their lease (their incarnation
        is then higher) or fail their tasks. The store is up, down or slow.
        """
        rng = self.rng
        for sim in rng.sample(list(self.controllers.values()), len(self.controllers)):
            crashes_at = rng.uniform(0.0, 5.0)
            restarts_at = crashes_at + self.draw_downtime()
            self.after(crashes_at, sim.crash)
            self.after(restarts_at, self.restart, sim)
            if rng.random() < 0.3:
                second_crash_at = restarts_at + rng.uniform(0.3, 8.0)
                self.after(second_crash_at, sim.crash)
                self.after(second_crash_at + rng.uniform(0.5, 8.0), self.restart, sim)
        workers = [worker for worker in self.machines.values() if worker is not None]
        kind, length = rng.choice(["die", "hang", "cut", "cut_past_lease", "failing_tasks"]), rng.uniform(5.0, 45.0)
        for worker in rng.sample(workers, math.ceil(len(workers) * rng.uniform(0.33, 0.9))):
            if kind == "die":
                worker.crash()
            elif kind == "hang":
                worker.hangs_until = self.t + length
            elif kind == "failing_tasks":
                worker.fails_tasks = True
                self.after(length, setattr, worker, "fails_tasks", False)
            else:
                worker.cut_until = self.t + (length if kind == "cut" else LEASE_S + length)
        store = rng.choice(["up", "down", "slow"])
        if store == "down":
            self.store.outage(rng.uniform(2.0, 25.0))
        elif store == "slow":
            self.store.slow_until = self.t + rng.uniform(10.0, 40.0)

    def draw_downtime(self) -> float:
        """Draws how long a crashed process is down, in s: mostly below 1 s, rarely up to a minute."""
        rng = self.rng
        if self.slow_restarts:
            return rng.uniform(1.0, 60.0) if rng.random() < 0.1 else rng.uniform(1.0, 8.0)
        return rng.choice(
            [
                rng.uniform(0.1, 0.5),
                rng.uniform(0.1, 0.5),
                rng.uniform(0.5, 6.0),
                rng.uniform(1.0, 8.0),
                0.1 + 59.9 * rng.random() ** 3,
            ]
        )

    def crash_and_restart(self, sim: SimController, downtime_s: float | None = None) -> None:
        sim.crash()
        self.after(self.draw_downtime() if downtime_s is None else downtime_s, self.restart, sim)

    def flap(self) -> None:
        """Restarts one controller repeatedly, all in rotation, or each new leader."""
        rng = self.rng
        sims = rng.sample(list(self.controllers.values()), len(self.controllers))
        kind = rng.choice(["twice", "roll", "leaders"])
        if kind == "twice":
            for index in range(rng.randint(2, 4)):
                self.after(index * rng.uniform(0.3, 0.6), self.crash_and_restart, sims[0], rng.uniform(0.1, 0.25))
        elif kind == "roll":
            pause = rng.uniform(0.2, 4.0)
            for index, sim in enumerate(sims * rng.randint(1, 3)):
                self.after(index * pause, self.crash_and_restart, sim, rng.uniform(0.1, 0.6))
        else:
            self.crash_leaders(rng.randint(3, 8), rng.uniform(0.2, 3.0))

    def crash_leaders(self, times: int, pause: float) -> None:
        """Crashes the leader of the stored view, ``times`` times with ``pause`` s between."""
        if VIEW in self.store.data:
            self.crash_and_restart(
                self.controllers[msgspec.json.decode(self.store.data[VIEW][0], type=View).leader],
                self.rng.uniform(0.1, 0.6),
            )
        if times > 1:
            self.after(pause, self.crash_leaders, times - 1, pause)

    def replace_leader(self) -> None:
        """Crashes the leader for at least 6 s, so that it does not lead again after its restart."""
        if VIEW in self.store.data:
            sim = self.controllers[msgspec.json.decode(self.store.data[VIEW][0], type=View).leader]
            if sim.core is not None:
                self.crash_and_restart(sim, self.rng.uniform(6.0, 20.0))

    def restart(self, sim: SimController) -> None:
        if sim.core is None:
            sim.start()
