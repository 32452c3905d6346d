"""Processor time per start, by part of the code, of five controllers at a fleet's true size.

    python3 tools/bench_node.py [--machines 75 150 300 635 1000] [--seconds 60] [--profile PART]

Five pure ``Node``s, an ideal store, machines that report every 3 s over the service's
own HTTP code, messages that pass through the mesh's own encoding. Nothing is lost and
nothing fails: it tells what an event costs, and not how well the service decides.
Simulated machines; processor time of this process. Load grows with the machines, so
what a start costs should not.
"""

from __future__ import annotations

import argparse
import collections
import cProfile
import gc
import heapq
import itertools
import json
import logging
import pstats
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import msgspec  # noqa: E402

from alderbridge import config, mesh, net, wire  # noqa: E402
from alderbridge import constants as c  # noqa: E402
from alderbridge.node import Node  # noqa: E402
from alderbridge.store import MEMBERS, VIEW  # noqa: E402
from alderbridge.view import Presence  # noqa: E402

GENERATION = getattr(c, "GENERATION", c.PIPELINES)  # earlier checkouts, which bench_fall measures, have but that
LABELS = [f"host-{number}" for number in range(5)]
ZONES = ["a", "b", "c"]
TEAMS = [config.Team(f"team-{number}", 3000.0, 8000.0) for number in range(4)]
KIND = wire.MachineType(
    name="m32", cpus=32.0, memory_gb=128.0, price=1.4, spot_price=0.4, boot_s=50.0, cache_gb=30.0, zones=ZONES
)
OBJECTIVES = [
    config.Objective("finished", "even", 250.0),
    config.Objective("wait", "soon", 12.0),
    config.Objective("finished", "soon", 120.0),
    config.Objective("deadline", "wide", times=1.0),
    config.Objective("guarantee", within_s=5.0),
]
# class, jobs a minute at 635 machines, tasks, cpus, memory, images, priority: 7,000 starts a minute
CLASSES = [
    ("even", 60, 20, 2.0, 4.0, 6, "standard"),
    ("soon", 72, 25, 4.0, 14.0, 16, "high"),
    ("wide", 10, 400, 2.0, 7.5, 14, "standard"),
]


class Clock:
    """Processor time by part of the code."""

    def __init__(self, profile: str | None) -> None:
        self.spent: dict[str, float] = collections.defaultdict(float)
        self.calls: dict[str, int] = collections.defaultdict(int)
        self.profile, self.profiler = profile, cProfile.Profile()

    def __call__(self, part: str, call, *args):
        watched = part == self.profile or self.profile == "all"
        if watched:
            self.profiler.enable()
        began = time.thread_time()
        try:
            return call(*args)
        finally:
            self.spent[part] += time.thread_time() - began
            self.calls[part] += 1
            if watched:
                self.profiler.disable()


class Wire:
    """A client's connection in memory: what the server reads and writes, without a socket."""

    def __init__(self, server: net.Server) -> None:
        self.incoming = self.body = b""
        self.server = net.Connection(server, self)

    def fileno(self) -> int:
        return -1

    def recv(self, _most: int) -> bytes:
        return self.incoming

    def send(self, data: bytes) -> int:
        return len(data)

    def read(self, body: bytes) -> bytes:
        self.incoming = (
            f"POST /agent/beat HTTP/1.1\r\nHost: controller\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        ).encode() + body
        self.server.ready(1)
        return HANDED.pop()

    def answer(self, answer: net.Answer) -> None:
        self.server.respond(answer)


HANDED: list[bytes] = []  # request bodies


class NoPoll:
    def watch(self, *_args) -> None:
        pass


SERVER = net.Server(lambda _method, _target, body, _reply: HANDED.append(body), 1, NoPoll())


class Worker:
    def __init__(self, name: str, zone: str, spot: bool) -> None:
        self.name, self.zone, self.spot = name, zone, spot
        self.wire = Wire(SERVER)
        self.mandate = self.counter = 0
        self.tasks: dict[str, list] = {}  # part -> attempt, status, ends at

    def report(self, now: float) -> bytes:
        self.counter += 1
        for task in self.tasks.values():
            if task[1] == "running" and task[2] <= now:
                task[1] = "ended"
        parts = [
            {"part": part, "try": task[0], "status": task[1], **({"cause": "done"} if task[1] == "ended" else {})}
            for part, task in self.tasks.items()
        ]
        return json.dumps(
            {
                "host": self.name,
                "address": "10.0.0.1:9000",
                "flavour": KIND.name,
                "site": self.zone,
                "standby": self.spot,
                "tenure": 1,
                "counter": self.counter,
                "mandate": self.mandate,
                "recall_s": None,
                "parts": parts,
            }
        ).encode()


class Bench:
    def __init__(self, machines: int, load: float, seed: int, profile: str | None) -> None:
        self.rng, self.size, self.load, self.clock = random.Random(seed), machines, load, Clock(profile)
        self.now, self.epoch, self.starts = 0.0, 0, 0
        self.log: list[wire.Change] = []
        self.events: list = []
        self.order = itertools.count()
        self.jobs, self.left = itertools.count(1), {}
        self.durations: dict[str, float] = {}
        self.names = itertools.count(1)
        self.encoders = {label: mesh.Encoder() for label in LABELS}
        self.nodes = {label: Node(self.platform(label), config.Tuning(), 0.0) for label in LABELS}
        for label, node in self.nodes.items():
            node.membership.hold.renewed(LABELS.index(label) + 1, 0.0)
            node.loaded = True
            node.learn_types({KIND.name: KIND})
            node.leader.on_listing([], 0.0)
        members = {label: number + 1 for number, label in enumerate(LABELS)}
        for label, permit in members.items():
            self.commit({}, {MEMBERS + label: Presence(permit, GENERATION)}, [])
        self.commit({}, {VIEW: {"leader": LABELS[0], "members": members}}, [])
        for label in LABELS:
            self.at(0.0, self.follow, label)
            for offset, pause, step in ((0.01, c.ROUND_S, self.round), (0.02, 0.05, self.write), (0.5, 1.0, self.hold)):
                self.at(offset + 0.03 * LABELS.index(label), self.every, pause, step, label)
        self.at(1.0, self.every, c.LEADER_ROUND_S, self.lead, LABELS[0])
        self.workers: list[Worker] = []
        for _ in range(machines * 9 // 10):  # as in a steady hour: the same starts a machine at each size
            self.add_machine(self.rng.random() < 0.7, self.rng.choice(ZONES), self.rng.uniform(0.5, 3.5))
        for name, *_ in CLASSES:
            self.at(self.rng.uniform(1.0, 2.0), self.submit, name)
            for _ in range(round(machines / 8 * load) if name != "wide" else 0):  # what waits when the day begins
                self.at(self.rng.uniform(1.0, 2.0), self.submit, name, False)

    def platform(self, label: str) -> config.Platform:
        peers = [config.Peer(other, "a", "127.0.0.1:1") for other in LABELS if other != label]
        shared = config.Shared(
            ZONES,
            TEAMS,
            config.Workers(3.0, 17.0, 42.0),
            config.State(250.0, 5000.0, 4.0, 12),
            config.Cloud(9.0, 8.0),
            config.Limits(1.0, 400.0, 2000),
            OBJECTIVES,
        )
        return config.Platform(
            label, "a", "127.0.0.1:1", "127.0.0.1:2", peers, config.Endpoints("127.0.0.1:3", "127.0.0.1:4"), shared
        )

    # -- the world ---------------------------------------------------------

    def at(self, when: float, call, *args) -> None:
        heapq.heappush(self.events, (when, next(self.order), call, args))

    def every(self, pause: float, step, label: str) -> None:
        self.at(self.now + pause, self.every, pause, step, label)
        step(label)

    def play(self, until: float) -> None:
        while self.events[0][0] <= until:
            self.now, _, call, args = heapq.heappop(self.events)
            call(*args)

    def commit(self, _conditions, puts, drops) -> int:
        self.epoch += 1
        self.log += [
            wire.Change(put=key, data=msgspec.Raw(msgspec.json.encode(value)), stamp=self.epoch)
            for key, value in puts.items()
        ]
        self.log += [wire.Change(drop=key, stamp=self.epoch) for key in drops]
        return self.epoch

    def add_machine(self, spot: bool, zone: str, boot_s: float) -> str:
        worker = Worker(f"n-{next(self.names):06d}", zone, spot)
        self.workers.append(worker)
        self.at(self.now + boot_s, self.report, worker)
        return worker.name

    def submit(self, name: str, again: bool = True) -> None:
        job_class, rate, tasks, cpus, memory, images, priority = next(one for one in CLASSES if one[0] == name)
        if again:
            self.at(self.now + self.rng.expovariate(rate / 60 * self.size / 635 * self.load), self.submit, name)
        job = f"wk-{next(self.jobs):06d}"
        spec = wire.parse_job(
            json.dumps(
                {
                    "id": job,
                    "workload": job_class,
                    "owner": self.rng.choice(TEAMS).name,
                    "shape": "sweep",
                    "urgency": priority,
                    "parts": max(1, round(self.rng.uniform(0.5, 1.5) * tasks)),
                    "vcpus": cpus,
                    "accelerators": 0.0,
                    "mem_gb": memory,
                    "bundle": f"{name}-{self.rng.randrange(images)}",
                    "image_gb": 1.5,
                    "together": False,
                    "apart": False,
                    "standby": name != "even",
                    "expected_s": 25.0,
                    "snapshot_every_s": 0.0,
                    "snapshot_s": 0.0,
                    "due_s": 190.0 if name == "wide" else None,
                }
            ).encode()
        )
        self.hand_in(self.rng.choice(LABELS), spec)

    def hand_in(self, label: str, spec: wire.JobSpec) -> None:
        self.clock("submit", self.nodes[label].submit, spec, self.now, self.now)

    def report(self, worker: Worker) -> None:
        owner = self.nodes[LABELS[0]].membership.part_of(worker.name)
        node, clock = self.nodes[owner], self.clock
        body = clock("http", worker.wire.read, worker.report(self.now))
        beat = clock("http", wire.parse_beat, body)
        mandate = node.membership.mandate
        machine = clock("report", node.beat, beat, self.now)
        self.carry(owner)
        assert machine is not None and not machine.reserved
        orders = clock("orders", node.part.orders, machine)
        answer = clock("http", wire.beat_answer, mandate, orders)
        clock("http", worker.wire.answer, (200, answer, []))
        told = json.loads(answer)
        worker.mandate = told["mandate"]
        for order in told["orders"]:
            if order["verb"] == "clear":
                worker.tasks.pop(order["part"], None)
            elif order["verb"] == "run" and order["part"] not in worker.tasks:
                self.starts += 1
                worker.tasks[order["part"]] = [order["try"], "running", self.now + self.rng.uniform(10.0, 40.0)]
        self.at(self.now + 3.0 * self.rng.uniform(0.9, 1.1), self.report, worker)

    # -- the controllers' loops ----------------------------------------------

    def carry(self, label: str) -> None:
        """Move messages until there are none: frames that one event left for a peer go as one read."""
        waiting = collections.deque([label])
        while waiting:
            sender = waiting.popleft()
            node = self.nodes[sender]
            outgoing, node.outgoing = node.outgoing, []
            node.news.clear()
            buffers: dict[str, bytearray] = {}
            for peer, frame in outgoing:
                data = self.clock("mesh", self.encoders[sender], frame)
                buffers.setdefault(peer, bytearray()).extend(data)
            for peer, buffer in buffers.items():
                for frame in self.clock("mesh", lambda buffer=buffer: list(mesh.split_frames(buffer))):
                    self.clock(f"on {type(frame.body).__name__}", self.nodes[peer].on_frame, frame, self.now)
                waiting.append(peer)

    def hold(self, label: str) -> None:
        self.nodes[label].membership.hold.renewed(LABELS.index(label) + 1, self.now)

    def follow(self, label: str) -> None:
        node = self.nodes[label]
        node.membership.followed(self.now)
        since = node.replica.epoch
        changes = []
        for change in reversed(self.log):
            if change.stamp <= since:
                break
            changes.append(change)
        self.clock("follow", node.apply, changes[::-1], self.now, self.now)
        node.replica.epoch = self.epoch
        self.carry(label)
        self.at(self.now + 0.1, self.follow, label)

    def round(self, label: str) -> None:
        self.clock("round", self.nodes[label].round, self.now)
        self.carry(label)

    def write(self, label: str) -> None:
        node = self.nodes[label]
        batch = self.clock("records", node.next_batch, self.now)
        if batch is not None:
            self.clock(
                "records", node.batch_done, batch, self.commit(batch.conditions, batch.puts, batch.drops), self.now
            )
            self.carry(label)

    def lead(self, label: str) -> None:
        node = self.nodes[label]
        decision = self.clock("renting", node.leader.decide, self.now)
        for kind, count in decision.rent:
            got = min(count, self.size - len(self.workers))
            names = [self.add_machine(kind.spot, kind.zone, self.rng.uniform(20.0, 50.0)) for _ in range(got)]
            node.leader.on_rented(kind, names, self.now)
            if got < count:
                node.leader.on_refused(kind, self.now)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--machines", type=int, nargs="+", default=[635])
    parser.add_argument("--seconds", type=float, default=60.0, help="simulated seconds, after 20 to get going")
    parser.add_argument("--load", type=float, default=1.5, help="1: 11 starts a minute and machine; 1.5: a full fleet")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--profile", metavar="PART", help="where one part, or 'all', spends its time")
    args = parser.parse_args()
    logging.basicConfig(level=logging.ERROR)
    gc.freeze()  # as the program does
    gc.set_threshold(*c.GC_THRESHOLDS)
    results = {}
    for size in args.machines:
        bench = Bench(size, args.load, args.seed, args.profile)
        bench.play(20.0)
        bench.clock.spent.clear()
        bench.clock.calls.clear()
        bench.starts = 0
        bench.play(20.0 + args.seconds)
        results[size] = bench
    parts = sorted({part for bench in results.values() for part in bench.clock.spent})
    print("processor time, us a start" + "".join(f"{size:>9}" for size in results))
    for part in parts:
        print(f"{part:<26}" + "".join(f"{b.clock.spent[part] / b.starts * 1e6:9.0f}" for b in results.values()))
    print(f"{'all':<26}" + "".join(f"{sum(b.clock.spent.values()) / b.starts * 1e6:9.0f}" for b in results.values()))
    print(f"{'starts':<26}" + "".join(f"{b.starts:9d}" for b in results.values()))
    print(f"{'cores':<26}" + "".join(f"{sum(b.clock.spent.values()) / args.seconds:9.3f}" for b in results.values()))
    if args.profile:
        pstats.Stats(bench.clock.profiler).sort_stats("tottime").print_stats(30)
    return 0


if __name__ == "__main__":
    sys.exit(main())
