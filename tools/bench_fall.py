"""Measures the cost of a crash of all controllers, compared with the same run without a crash.

    python3 tools/bench_fall.py [--machines 60 300 635] [--away 4] [--store-down 0] [--dead 0.0] [--sources DIR]

The simulation of ``bench_node`` (ideal network, heartbeats every 3 s), with a store that checks the conditions of
transactions, workers with leases, and a crash of all controllers at second 50. They restart after ``--away`` s, within
a second of each other; ``--dead`` is the share of machines that crash at the same time; the store is down for
``--store-down`` s before the restart. ``--sources`` is the root of another checkout to measure.
"""

from __future__ import annotations

import argparse
import collections
import gc
import json
import logging
import random
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
# The checkout given by --sources, or else this one, followed by this folder for bench_node.
sys.path[:0] = [sys.argv[sys.argv.index("--sources") + 1] if "--sources" in sys.argv else str(HERE.parent), str(HERE)]

import bench_node as base  # noqa: E402
import msgspec  # noqa: E402

from alderbridge import constants, settings  # noqa: E402
from alderbridge.controller.core import ControllerCore  # noqa: E402
from alderbridge.membership.records import MemberRecord  # noqa: E402
from alderbridge.protocol import wire  # noqa: E402
from alderbridge.protocol.keys import MEMBERS, VIEW  # noqa: E402

LEASE_S, CRASH_AT_S, END_S = 17.0, 50.0, 110.0


class CrashBench(base.Bench):
    def __init__(self, machines: int, load: float, seed: int) -> None:
        self.data: dict[str, tuple[bytes, int]] = {}
        self.store_down_from = self.store_down_until = -1.0
        self.last_lease_id = 100
        # verb -> second -> number of orders
        self.orders: dict[str, collections.Counter] = collections.defaultdict(collections.Counter)
        self.user_rng = random.Random(seed)  # separate, so that submissions do not depend on the course of the run
        self.lost_tasks = self.duplicate_starts = self.rented_machines = 0
        self.running: dict[str, base.Worker] = {}  # task ID -> worker that runs it
        self.ended_tasks: set[str] = set()
        self.running_at_crash: set[str] = set()  # tasks that ran at the crash
        self.start_times: list[float] = []
        self.cpu_samples: list[tuple[float, float]] = []
        super().__init__(machines, load, seed, None)

    @property
    def store_up(self) -> bool:
        return not self.store_down_from <= self.now < self.store_down_until

    def commit(self, conditions, puts, drops) -> int:
        for key, revision in (conditions or {}).items():
            if (self.data[key][1] if key in self.data else 0) != revision:
                return 0
        for key, value in puts.items():
            self.data[key] = (msgspec.json.encode(value), self.revision + 1)
        for key in drops:
            self.data.pop(key, None)
        return super().commit(conditions, puts, drops)

    def renew_store_lease(self, label: str) -> None:
        if self.controllers[label] is not None and self.store_up:
            super().renew_store_lease(label)
            store_lease = self.controllers[label].membership.store_lease
            store_lease.record_renewal(json.loads(self.data[MEMBERS + label][0])["permit"], self.now)

    def follow_store(self, label: str) -> None:
        if self.controllers[label] is not None and self.store_up:
            super().follow_store(label)
        else:
            self.schedule(self.now + 0.1, self.follow_store, label)

    def submit(self, name: str, resubmit: bool = True) -> None:
        self.rng, simulation_rng = self.user_rng, self.rng
        super().submit(name, resubmit)
        self.rng = simulation_rng

    def submit_to(self, label: str, spec: wire.JobSpec) -> None:
        """Submits the job; tries another controller each second until one accepts it."""
        if self.controllers[label] is not None and self.controllers[label].may_act():
            super().submit_to(label, spec)
        else:
            self.schedule(self.now + 1.0, self.submit_to, self.rng.choice(base.LABELS), spec)

    def run_round(self, label: str) -> None:
        core = self.controllers[label]
        if core is None:
            return
        super().run_round(label)
        change = core.view_entry.next_view(self.now) if self.store_up else None
        if change is not None:
            self.commit(change[1], {VIEW: change[0]}, [])
        while hasattr(core, "on_probe_answered") and core.may_act():
            probe_target = core.machine_shard.next_to_probe(self.now)
            if probe_target is None:
                break
            self.schedule(
                self.now + self.rng.uniform(0.01, 0.2),
                self.probe,
                label,
                probe_target[0],
                core.membership.fencing_token,
            )
        self.deliver_messages(label)

    def write_records(self, label: str) -> None:
        core = self.controllers[label]
        batch = (
            self.timer("records", core.record_writer.next_batch, self.now)
            if core is not None and self.store_up
            else None
        )
        if batch is None:
            return
        revision = self.commit(batch.conditions, batch.puts, batch.drops)
        if revision:
            self.timer("records", core.batch_results.on_written, batch, revision, self.now)
        else:
            core.batch_results.on_failed(batch, self.now)
        self.deliver_messages(label)

    def run_leader(self, _label: str) -> None:
        for label, core in self.controllers.items():
            if core is None or not core.membership.is_leader(self.now):
                continue
            core.leader.on_listing(
                [
                    wire.ListedMachine(
                        worker.name, base.MACHINE_TYPE.name, "running", self.now, worker.zone, worker.spot
                    )
                    for worker in self.workers
                    if not worker.terminated
                ],
                self.now,
            )
            decision = self.timer("renting", core.leader.decide, self.now)
            core.drain_machines(decision.drain, self.now)
            for kind, count in decision.scale_out:
                granted = min(count, self.machine_limit - sum(not worker.terminated for worker in self.workers))
                names = [self.add_machine(kind.spot, kind.zone, self.rng.uniform(20.0, 50.0)) for _ in range(granted)]
                self.rented_machines += granted
                core.leader.on_scaled_out(kind, names, self.now)
                if granted < count:
                    core.leader.on_refused(kind, self.now)
            if decision.terminate:
                for worker in self.workers:
                    if worker.name in decision.terminate:
                        self.terminate_machine(worker)
                core.on_terminated(decision.terminate, self.now)
            self.deliver_messages(label)

    def deliver_messages(self, label: str) -> None:
        """Delivers messages until none are outstanding; those to a controller that is down are lost."""
        pending = collections.deque([label])
        while pending:
            sender = pending.popleft()
            core = self.controllers[sender]
            if core is None:
                continue
            outgoing_frames, core.effects.outgoing_frames = core.effects.outgoing_frames, []
            core.effects.notifications.clear()
            for peer, frame in outgoing_frames:
                if self.controllers[peer] is not None:
                    self.timer(f"on {type(frame.body).__name__}", self.controllers[peer].on_frame, frame, self.now)
                    if self.controllers[peer].effects.outgoing_frames:
                        pending.append(peer)

    def crash_all(self, away_s: float, crashed_share: float) -> None:
        for label in self.controllers:
            self.controllers[label] = None
            self.schedule(self.now + away_s + self.rng.random(), self.restart, label)
        for worker in self.rng.sample(self.workers, round(len(self.workers) * crashed_share)):
            worker.crashed = True

    def restart(self, label: str) -> None:
        self.last_lease_id += 1
        core = self.controllers[label] = ControllerCore(self.platform(label), settings.Tuning(), self.now)
        core.membership.store_lease.record_renewal(self.last_lease_id, self.now)
        self.commit({}, {MEMBERS + label: MemberRecord(self.last_lease_id, base.PROTOCOL_VERSION)}, [])
        rows = [wire.KeyValue(key, msgspec.Raw(raw), revision) for key, (raw, revision) in sorted(self.data.items())]
        core.membership.record_sync(self.now)
        self.timer("load", core.store_follower.load, rows, [], self.revision, self.now, self.now)
        core.machine_types.update({base.MACHINE_TYPE.name: base.MACHINE_TYPE})

    def add_machine(self, spot: bool, zone: str, boot_s: float) -> str:
        name = super().add_machine(spot, zone, boot_s)
        worker = self.workers[-1]
        worker.crashed = worker.terminated = False
        worker.incarnation, worker.lease_renewed_at = 1, self.now + boot_s
        return name

    def terminate_machine(self, worker) -> None:
        worker.crashed = worker.terminated = True
        self.drop_tasks(worker)

    def drop_tasks(self, worker) -> int:
        running = [task_id for task_id in worker.tasks if self.running.get(task_id) is worker]
        for task_id in running:
            del self.running[task_id]
        worker.tasks.clear()
        return len(running)

    def expire_lease(self, worker) -> None:
        if self.now - worker.lease_renewed_at > LEASE_S:
            self.lost_tasks += self.drop_tasks(worker)
            worker.incarnation, worker.sequence, worker.lease_renewed_at = worker.incarnation + 1, 0, self.now

    def heartbeat_fields(self, worker) -> dict:
        heartbeat = json.loads(worker.heartbeat_body(self.now))
        for reported in heartbeat["parts"]:
            if reported["status"] == "ended" and self.running.get(reported["part"]) is worker:
                del self.running[reported["part"]]
                self.ended_tasks.add(reported["part"])
        return heartbeat | {"tenure": worker.incarnation, "address": worker.name}

    def probe(self, label: str, name: str, fencing_token: int) -> None:
        worker = next(worker for worker in self.workers if worker.name == name)
        core = self.controllers[label]
        if worker.crashed or worker.terminated or core is None or core.membership.fencing_token != fencing_token:
            if core is not None:
                core.machine_shard.prober.on_probe_failed(name, self.now + constants.PROBE_TIMEOUT_S)
            return
        self.expire_lease(worker)
        worker.fencing_token = max(worker.fencing_token, fencing_token)
        heartbeat = wire.parse_heartbeat(json.dumps(self.heartbeat_fields(worker)).encode())
        self.timer("asked", core.on_probe_answered, heartbeat, self.now)
        self.deliver_messages(label)

    def send_heartbeat(self, worker) -> None:
        if worker.crashed:
            if not worker.terminated:
                self.expire_lease(worker)
                self.schedule(self.now + 1.0, self.send_heartbeat, worker)
            return
        self.expire_lease(worker)
        active = [core for core in self.controllers.values() if core is not None and core.membership.view.members]
        core = (
            next((core for core in active if core.me == active[0].membership.machine_owner(worker.name)), None)
            if active
            else None
        )
        if core is None or not core.may_act() or core.membership.fencing_token < worker.fencing_token:
            self.schedule(self.now + 1.0, self.send_heartbeat, worker)
            return
        heartbeat = self.timer("http", wire.parse_heartbeat, json.dumps(self.heartbeat_fields(worker)).encode())
        machine = self.timer("report", core.on_heartbeat, heartbeat, self.now)
        self.deliver_messages(core.me)
        if machine is None:
            self.schedule(self.now + 1.0, self.send_heartbeat, worker)
            return
        worker.lease_renewed_at = self.now
        has_newer_token = core.membership.fencing_token > worker.fencing_token
        worker.fencing_token = core.membership.fencing_token
        orders = self.timer("orders", core.machine_shard.order_builder.orders, machine)
        for order in orders:
            self.orders[order["verb"]][int(self.now)] += 1
            task_id = order["part"]
            if order["verb"] == "clear":
                worker.tasks.pop(task_id, None)
            elif order["verb"] == "halt":
                if task_id in worker.tasks:
                    self.stop_task(worker, task_id, order)
            elif task_id not in worker.tasks:
                if task_id in self.running:
                    self.duplicate_starts += 1  # violation: the task runs on another machine
                self.running[task_id] = worker
                self.start_times.append(self.now)
                worker.tasks[task_id] = [order["try"], "running", self.now + self.run_s(task_id)]
        self.schedule(
            self.now + (0.5 if has_newer_token or orders else 3.0 * self.rng.uniform(0.9, 1.1)),
            self.send_heartbeat,
            worker,
        )

    def run_s(self, task_id: str) -> float:
        return random.Random(task_id).uniform(10.0, 40.0)

    def stop_task(self, worker, task_id: str, _order: dict) -> None:
        if self.running.get(task_id) is worker:
            del self.running[task_id]
        worker.tasks[task_id][1] = "ended"


def measure(machines: int, args: argparse.Namespace, crash: bool) -> dict[str, float]:
    bench = CrashBench(machines, args.load, args.seed)
    if crash:
        bench.store_down_until = CRASH_AT_S + args.away
        bench.store_down_from = bench.store_down_until - args.store_down
    bench.run_until(CRASH_AT_S)
    bench.running_at_crash, rented_before = set(bench.running), bench.rented_machines
    running_count = len(bench.running_at_crash)
    if crash:
        bench.crash_all(args.away, args.dead)
    bench.lost_tasks = 0
    restarted_at, cpu_start, reached_at = CRASH_AT_S + args.away, None, {}
    while bench.now < END_S:
        bench.run_until(bench.now + 0.25 if bench.events[0][0] <= bench.now + 0.25 else bench.events[0][0])
        for share in (0.5, 0.9):
            reported = (
                sum(
                    task_id in bench.ended_tasks
                    or (task_id in bench.running and bench.running[task_id].lease_renewed_at >= restarted_at)
                    for task_id in bench.running_at_crash
                )
                if bench.now > restarted_at and share not in reached_at
                else 0
            )
            if reported and reported >= share * running_count:
                reached_at[share] = bench.now - restarted_at
        if cpu_start is None and bench.now >= restarted_at:
            cpu_start = time.process_time()
        if cpu_start is not None and "cpu" not in reached_at and bench.now >= restarted_at + 30.0:
            reached_at["cpu"] = time.process_time() - cpu_start
    first_start_at = next((started_at for started_at in bench.start_times if started_at > restarted_at), float("nan"))
    peaks = {
        verb: max((count for second, count in counts.items() if second >= CRASH_AT_S), default=0)
        for verb, counts in bench.orders.items()
    }
    return {
        "running at the fall": running_count,
        "first start, s": round(first_start_at - restarted_at, 1),
        "half of it going, s": round(reached_at.get(0.5, float("nan")), 1),
        "nine tenths, s": round(reached_at.get(0.9, float("nan")), 1),
        "run orders, busiest second": peaks.get("run", 0),
        "halt orders, busiest second": peaks.get("halt", 0),
        "clear orders, busiest second": peaks.get("clear", 0),
        "tasks lost to leases": bench.lost_tasks,
        "started again while running": bench.duplicate_starts,
        "machines rented after": bench.rented_machines - rented_before,
        "starts": sum(started_at > CRASH_AT_S for started_at in bench.start_times),
        "cpu of 30 s, s": round(reached_at.get("cpu", 0.0), 1),
    }


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--machines", type=int, nargs="+", default=[60, 300, 635])
    parser.add_argument("--away", type=float, default=4.0, help="seconds until the controllers restart")
    parser.add_argument(
        "--store-down", type=float, default=0.0, help="seconds of store outage before the controllers restart"
    )
    parser.add_argument("--dead", type=float, default=0.0, help="share of the machines that crash with them")
    parser.add_argument("--load", type=float, default=1.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--sources", help="root of another checkout to measure")
    args = parser.parse_args()
    logging.basicConfig(level=logging.ERROR)
    gc.set_threshold(*constants.GC_THRESHOLDS)
    columns = {}
    for machines in args.machines:
        columns[f"{machines} calm"], columns[f"{machines} fall"] = (
            measure(machines, args, False),
            measure(machines, args, True),
        )
    rows = next(iter(columns.values()))
    print(f"{'':<30}" + "".join(f"{name:>11}" for name in columns))
    for row in rows:
        print(f"{row:<30}" + "".join(f"{column[row]:>11}" for column in columns.values()))
    return 0


if __name__ == "__main__":
    sys.exit(main())
