"""What a fall of all controllers costs, beside the same luck without one: pure nodes at a fleet's true size.

    python3 tools/bench_fall.py [--machines 60 300 635] [--away 4] [--store-down 0] [--dead 0.0] [--sources DIR]

The world of ``bench_node`` (ideal network, machines that report every 3 s), with a store that checks its conditions,
workers with leases, and a fall at second 50: all controllers end, and return within a second of each other after
``--away`` s; ``--dead`` is the share of machines that die with them; the store is down from ``--store-down`` s
before the controllers' return until then. ``--sources`` names the root of another checkout to measure.
Simulated machines; processor time of this process.
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
# Another checkout's service, if asked for, with this checkout's world: before bench_node, which puts its own first.
sys.path[:0] = [sys.argv[sys.argv.index("--sources") + 1] if "--sources" in sys.argv else str(HERE.parent), str(HERE)]

import bench_node as base  # noqa: E402
import msgspec  # noqa: E402

from alderbridge import constants, settings  # noqa: E402
from alderbridge.controller.core import ControllerCore  # noqa: E402
from alderbridge.membership.records import MemberRecord  # noqa: E402
from alderbridge.protocol import wire  # noqa: E402
from alderbridge.protocol.keys import MEMBERS, VIEW  # noqa: E402

LEASE_S, FALL_AT, UNTIL = 17.0, 50.0, 110.0


class FallBench(base.Bench):
    def __init__(self, machines: int, load: float, seed: int) -> None:
        self.data: dict[str, tuple[bytes, int]] = {}
        self.down_from = self.down_until = -1.0
        self.lease_ids = 100
        self.orders: dict[str, collections.Counter] = collections.defaultdict(collections.Counter)  # verb -> second
        self.users = random.Random(seed)  # so that what is asked for does not hang on what happens
        self.lost = self.again = self.rented = 0
        self.ran: dict[str, base.Worker] = {}  # task -> machine it runs on
        self.ended: set[str] = set()
        self.before: set[str] = set()  # tasks that ran at the fall
        self.starts_at: list[float] = []
        self.spent_at: list[tuple[float, float]] = []
        super().__init__(machines, load, seed, None)

    # -- the store

    @property
    def store_up(self) -> bool:
        return not self.down_from <= self.now < self.down_until

    def commit(self, conditions, puts, drops) -> int:
        for key, revision in (conditions or {}).items():
            if (self.data[key][1] if key in self.data else 0) != revision:
                return 0
        for key, value in puts.items():
            self.data[key] = (msgspec.json.encode(value), self.revision + 1)
        for key in drops:
            self.data.pop(key, None)
        return super().commit(conditions, puts, drops)

    # -- controllers

    def hold(self, label: str) -> None:
        if self.nodes[label] is not None and self.store_up:
            super().hold(label)
            hold = self.nodes[label].membership.store_lease
            hold.record_renewal(json.loads(self.data[MEMBERS + label][0])["permit"], self.now)

    def follow(self, label: str) -> None:
        if self.nodes[label] is not None and self.store_up:
            super().follow(label)
        else:
            self.at(self.now + 0.1, self.follow, label)

    def submit(self, name: str, again: bool = True) -> None:
        self.rng, others = self.users, self.rng
        super().submit(name, again)
        self.rng = others

    def hand_in(self, label: str, spec: wire.JobSpec) -> None:
        """Users try again while nobody takes it."""
        if self.nodes[label] is not None and self.nodes[label].may_act():
            super().hand_in(label, spec)
        else:
            self.at(self.now + 1.0, self.hand_in, self.rng.choice(base.LABELS), spec)

    def round(self, label: str) -> None:
        core = self.nodes[label]
        if core is None:
            return
        super().round(label)
        change = core.view_entry.next_view(self.now) if self.store_up else None
        if change is not None:
            self.commit(change[1], {VIEW: change[0]}, [])
        while hasattr(core, "on_probe_answered") and core.may_act():
            asked = core.machine_shard.next_to_probe(self.now)
            if asked is None:
                break
            self.at(self.now + self.rng.uniform(0.01, 0.2), self.ask, label, asked[0], core.membership.fencing_token)
        self.carry(label)

    def write(self, label: str) -> None:
        core = self.nodes[label]
        batch = (
            self.clock("records", core.record_writer.next_batch, self.now)
            if core is not None and self.store_up
            else None
        )
        if batch is None:
            return
        revision = self.commit(batch.conditions, batch.puts, batch.drops)
        if revision:
            self.clock("records", core.batch_results.on_written, batch, revision, self.now)
        else:
            core.batch_results.on_failed(batch, self.now)
        self.carry(label)

    def lead(self, _label: str) -> None:
        for label, core in self.nodes.items():
            if core is None or not core.membership.is_leader(self.now):
                continue
            core.leader.on_listing(
                [
                    wire.ListedMachine(w.name, base.KIND.name, "running", self.now, w.zone, w.spot)
                    for w in self.workers
                    if not w.gone
                ],
                self.now,
            )
            decision = self.clock("renting", core.leader.decide, self.now)
            core.drain_machines(decision.drain, self.now)
            for kind, count in decision.scale_out:
                got = min(count, self.size - sum(not worker.gone for worker in self.workers))
                names = [self.add_machine(kind.spot, kind.zone, self.rng.uniform(20.0, 50.0)) for _ in range(got)]
                self.rented += got
                core.leader.on_scaled_out(kind, names, self.now)
                if got < count:
                    core.leader.on_refused(kind, self.now)
            if decision.terminate:
                for worker in self.workers:
                    if worker.name in decision.terminate:
                        self.end(worker)
                core.on_terminated(decision.terminate, self.now)
            self.carry(label)

    def carry(self, label: str) -> None:
        """As in the base, but nothing reaches a controller that is down."""
        waiting = collections.deque([label])
        while waiting:
            sender = waiting.popleft()
            core = self.nodes[sender]
            if core is None:
                continue
            outgoing_frames, core.effects.outgoing_frames = core.effects.outgoing_frames, []
            core.effects.notifications.clear()
            for peer, frame in outgoing_frames:
                if self.nodes[peer] is not None:
                    self.clock(f"on {type(frame.body).__name__}", self.nodes[peer].on_frame, frame, self.now)
                    if self.nodes[peer].effects.outgoing_frames:
                        waiting.append(peer)

    def fall(self, away_s: float, dead: float) -> None:
        for label in self.nodes:
            self.nodes[label] = None
            self.at(self.now + away_s + self.rng.random(), self.come_back, label)
        for worker in self.rng.sample(self.workers, round(len(self.workers) * dead)):
            worker.dead = True

    def come_back(self, label: str) -> None:
        self.lease_ids += 1
        core = self.nodes[label] = ControllerCore(self.platform(label), settings.Tuning(), self.now)
        core.membership.store_lease.record_renewal(self.lease_ids, self.now)
        self.commit({}, {MEMBERS + label: MemberRecord(self.lease_ids, base.PROTOCOL_VERSION)}, [])
        rows = [wire.KeyValue(key, msgspec.Raw(raw), revision) for key, (raw, revision) in sorted(self.data.items())]
        core.membership.record_sync(self.now)
        self.clock("load", core.store_follower.load, rows, [], self.revision, self.now, self.now)
        core.machine_types.update({base.KIND.name: base.KIND})

    # -- workers

    def add_machine(self, spot: bool, zone: str, boot_s: float) -> str:
        name = super().add_machine(spot, zone, boot_s)
        worker = self.workers[-1]
        worker.dead = worker.gone = False
        worker.incarnation, worker.answered_at = 1, self.now + boot_s
        return name

    def end(self, worker) -> None:
        worker.dead = worker.gone = True
        self.forget(worker)

    def forget(self, worker) -> int:
        running = [part for part in worker.tasks if self.ran.get(part) is worker]
        for part in running:
            del self.ran[part]
        worker.tasks.clear()
        return len(running)

    def lease(self, worker) -> None:
        if self.now - worker.answered_at > LEASE_S:
            self.lost += self.forget(worker)
            worker.incarnation, worker.sequence, worker.answered_at = worker.incarnation + 1, 0, self.now

    def text(self, worker) -> dict:
        report = json.loads(worker.report(self.now))
        for part in report["parts"]:
            if part["status"] == "ended" and self.ran.get(part["part"]) is worker:
                del self.ran[part["part"]]
                self.ended.add(part["part"])
        return report | {"tenure": worker.incarnation, "address": worker.name}

    def ask(self, label: str, name: str, fencing_token: int) -> None:
        worker = next(w for w in self.workers if w.name == name)
        core = self.nodes[label]
        if worker.dead or worker.gone or core is None or core.membership.fencing_token != fencing_token:
            if core is not None:
                core.machine_shard.prober.unanswered(name, self.now + constants.PROBE_TIMEOUT_S)
            return
        self.lease(worker)
        worker.fencing_token = max(worker.fencing_token, fencing_token)
        heartbeat = wire.parse_heartbeat(json.dumps(self.text(worker)).encode())
        self.clock("asked", core.on_probe_answered, heartbeat, self.now)
        self.carry(label)

    def report(self, worker) -> None:
        if worker.dead:
            if not worker.gone:
                self.lease(worker)
                self.at(self.now + 1.0, self.report, worker)
            return
        self.lease(worker)
        up = [core for core in self.nodes.values() if core is not None and core.membership.view.members]
        core = next((n for n in up if n.me == up[0].membership.machine_owner(worker.name)), None) if up else None
        if core is None or not core.may_act() or core.membership.fencing_token < worker.fencing_token:
            self.at(self.now + 1.0, self.report, worker)
            return
        heartbeat = self.clock("http", wire.parse_heartbeat, json.dumps(self.text(worker)).encode())
        machine = self.clock("report", core.on_heartbeat, heartbeat, self.now)
        self.carry(core.me)
        if machine is None:
            self.at(self.now + 1.0, self.report, worker)
            return
        worker.answered_at = self.now
        newer = core.membership.fencing_token > worker.fencing_token
        worker.fencing_token = core.membership.fencing_token
        orders = self.clock("orders", core.machine_shard.order_builder.orders, machine)
        for order in orders:
            self.orders[order["verb"]][int(self.now)] += 1
            part = order["part"]
            if order["verb"] == "clear":
                worker.tasks.pop(part, None)
            elif order["verb"] == "halt":
                if part in worker.tasks:
                    self.stop(worker, part, order)
            elif part not in worker.tasks:
                if part in self.ran:
                    self.again += 1  # a broken rule: it runs elsewhere
                self.ran[part] = worker
                self.starts_at.append(self.now)
                worker.tasks[part] = [order["try"], "running", self.now + self.run_s(part)]
        self.at(self.now + (0.5 if newer or orders else 3.0 * self.rng.uniform(0.9, 1.1)), self.report, worker)

    def run_s(self, part: str) -> float:
        return random.Random(part).uniform(10.0, 40.0)

    def stop(self, worker, part: str, _order: dict) -> None:
        if self.ran.get(part) is worker:
            del self.ran[part]
        worker.tasks[part][1] = "ended"


def measure(size: int, args: argparse.Namespace, fall: bool) -> dict[str, float]:
    bench = FallBench(size, args.load, args.seed)
    if fall:
        bench.down_until = FALL_AT + args.away
        bench.down_from = bench.down_until - args.store_down
    bench.play(FALL_AT)
    bench.before, rented = set(bench.ran), bench.rented
    before = len(bench.before)
    if fall:
        bench.fall(args.away, args.dead)
    bench.lost = 0
    back, spent, going = FALL_AT + args.away, None, {}
    while bench.now < UNTIL:
        bench.play(bench.now + 0.25 if bench.events[0][0] <= bench.now + 0.25 else bench.events[0][0])
        for share in (0.5, 0.9):
            known = (
                sum(
                    part in bench.ended or (part in bench.ran and bench.ran[part].answered_at >= back)
                    for part in bench.before
                )
                if bench.now > back and share not in going
                else 0
            )
            if known and known >= share * before:
                going[share] = bench.now - back
        if spent is None and bench.now >= back:
            spent = time.process_time()
        if spent is not None and "cpu" not in going and bench.now >= back + 30.0:
            going["cpu"] = time.process_time() - spent
    first = next((at for at in bench.starts_at if at > back), float("nan"))
    peaks = {
        verb: max((n for second, n in counts.items() if second >= FALL_AT), default=0)
        for verb, counts in bench.orders.items()
    }
    return {
        "running at the fall": before,
        "first start, s": round(first - back, 1),
        "half of it going, s": round(going.get(0.5, float("nan")), 1),
        "nine tenths, s": round(going.get(0.9, float("nan")), 1),
        "run orders, busiest second": peaks.get("run", 0),
        "halt orders, busiest second": peaks.get("halt", 0),
        "clear orders, busiest second": peaks.get("clear", 0),
        "tasks lost to leases": bench.lost,
        "started again while running": bench.again,
        "machines rented after": bench.rented - rented,
        "starts": sum(at > FALL_AT for at in bench.starts_at),
        "cpu of 30 s, s": round(going.get("cpu", 0.0), 1),
    }


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--machines", type=int, nargs="+", default=[60, 300, 635])
    parser.add_argument("--away", type=float, default=4.0, help="seconds until the controllers return")
    parser.add_argument("--store-down", type=float, default=0.0, help="seconds, until the controllers return")
    parser.add_argument("--dead", type=float, default=0.0, help="share of the machines that die with them")
    parser.add_argument("--load", type=float, default=1.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--sources", help="root of another checkout whose service is measured")
    args = parser.parse_args()
    logging.basicConfig(level=logging.ERROR)
    gc.set_threshold(*constants.GC_THRESHOLDS)
    columns = {}
    for size in args.machines:
        columns[f"{size} calm"], columns[f"{size} fall"] = measure(size, args, False), measure(size, args, True)
    rows = next(iter(columns.values()))
    print(f"{'':<30}" + "".join(f"{name:>11}" for name in columns))
    for row in rows:
        print(f"{row:<30}" + "".join(f"{column[row]:>11}" for column in columns.values()))
    return 0


if __name__ == "__main__":
    sys.exit(main())
