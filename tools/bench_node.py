"""Processor time per start, by part of the code, of several controllers at a fleet's true size.

    python3 tools/bench_node.py [--machines 75 150 300 635 1000] [--controllers 5] [--teams 4] [--seconds 60]
                                [--profile PART]
    python3 tools/bench_node.py --grid RESULTS.json [--jobs 3]      every point of ``bench_grid``, with its slopes

Pure ``ControllerCore``s, an ideal store, machines that report every 3 s over the service's
own HTTP code, messages that pass through the mesh's own encoding. Nothing is lost and
nothing fails: it tells what an event costs, and not how well the service decides.
Simulated machines; processor time of this process. Load and the teams' limits grow
with the machines, so what a start costs should not.
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
import statistics
import sys
import time
from dataclasses import asdict, dataclass, field
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import msgspec

from alderbridge import constants, settings
from alderbridge.controller.core import ControllerCore
from alderbridge.membership.records import MemberRecord
from alderbridge.protocol import messages, wire
from alderbridge.protocol.keys import MEMBERS, VIEW
from alderbridge.transport import (
    http_server,
    mesh,
)

PROTOCOL_VERSION = getattr(
    constants, "PROTOCOL_VERSION", constants.VERSION_WITH_DEPENDENCIES
)  # earlier checkouts, which bench_fall measures, have but that
LABELS = [f"host-{number}" for number in range(5)]
ZONES = ["a", "b", "c"]
LIMITS_AT = 635  # machines; the teams' limits below are those of all teams together at this size
GUARANTEED_CPUS, MOST_CPUS = 12_000.0, 32_000.0  # the machines have 20,320
WARM_UP_S = 20.0  # simulated seconds before anything is measured


def teams_of(count: int, machines: int) -> list[settings.Team]:
    """Teams that share what grows with the machines."""
    share = machines / LIMITS_AT / count
    return [settings.Team(f"team-{number}", GUARANTEED_CPUS * share, MOST_CPUS * share) for number in range(count)]


TEAMS = teams_of(4, LIMITS_AT)
KIND = wire.MachineType(
    name="m32", cpus=32.0, memory_gb=128.0, price=1.4, spot_price=0.4, boot_s=50.0, cache_gb=30.0, zones=ZONES
)
OBJECTIVES = [
    settings.Objective("finished", "even", 250.0),
    settings.Objective("wait", "soon", 12.0),
    settings.Objective("finished", "soon", 120.0),
    settings.Objective("deadline", "wide", times=1.0),
    settings.Objective("guarantee", within_s=5.0),
]
# class, jobs a minute at 635 machines, tasks, cpus, memory, images, priority: 7,000 starts a minute
CLASSES = [
    ("even", 60, 20, 2.0, 4.0, 6, "standard"),
    ("soon", 72, 25, 4.0, 14.0, 16, "high"),
    ("wide", 10, 400, 2.0, 7.5, 14, "standard"),
]


class Clock:
    """Processor time by part of the code, and by the controller at work."""

    def __init__(self, profile: str | None) -> None:
        self.spent: dict[str, float] = collections.defaultdict(float)
        self.calls: dict[str, int] = collections.defaultdict(int)
        self.by_controller: dict[str, float] = collections.defaultdict(float)
        self.owner = ""  # the controller at work
        self.profile, self.profiler = profile, cProfile.Profile()

    def clear(self) -> None:
        """Begin to count anew."""
        self.spent.clear()
        self.calls.clear()
        self.by_controller.clear()

    def __call__(self, part: str, call, *args):
        watched = part == self.profile or self.profile == "all"
        if watched:
            self.profiler.enable()
        began = time.thread_time()
        try:
            return call(*args)
        finally:
            spent = time.thread_time() - began
            self.spent[part] += spent
            self.by_controller[self.owner] += spent
            self.calls[part] += 1
            if watched:
                self.profiler.disable()


class Wire:
    """A client's connection in memory: what the server reads and writes, without a socket."""

    def __init__(self, server: http_server.Server) -> None:
        self.incoming = self.body = b""
        self.server = http_server.Connection(server, self)

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

    def answer(self, answer: http_server.Answer) -> None:
        self.server.respond(answer)


HANDED: list[bytes] = []  # request bodies


class NoPoll:
    def watch(self, *_args) -> None:
        pass


SERVER = http_server.Server(lambda _method, _target, body, _reply: HANDED.append(body), 1, NoPoll())


class Worker:
    def __init__(self, name: str, zone: str, spot: bool) -> None:
        self.name, self.zone, self.spot = name, zone, spot
        self.wire = Wire(SERVER)
        self.fencing_token = self.counter = 0
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
                "mandate": self.fencing_token,
                "recall_s": None,
                "parts": parts,
            }
        ).encode()


@dataclass
class Traffic:
    """Messages of one kind between controllers."""

    messages: int = 0
    bytes: int = 0

    def count(self, size: int) -> None:
        """One more, of that many bytes."""
        self.messages += 1
        self.bytes += size


@dataclass
class Counts:
    """What happened since the last time that counting began."""

    starts: int = 0
    store_changes: int = 0
    transactions: int = 0
    reports: int = 0
    worker_bytes_in: int = 0  # bodies of reports
    worker_bytes_out: int = 0  # bodies of answers
    asked: int = 0  # tasks that parts asked other homes for
    granted: int = 0  # of these
    used_share: list[float] = field(default_factory=list)  # of the cpus of all machines, each second
    reachable_share: list[float] = field(default_factory=list)  # the most that waits and runs within the teams' limits
    waits_s: list[float] = field(default_factory=list)  # of each job, from its submission to its first start
    sent: dict[str, Traffic] = field(default_factory=lambda: collections.defaultdict(Traffic))
    leader_received: dict[str, Traffic] = field(default_factory=lambda: collections.defaultdict(Traffic))


class Bench:
    """Controllers, machines that report to them, and users, in one process."""

    def __init__(
        self, machines: int, load: float, seed: int, profile: str | None, controllers: int = 5, teams: int = 4
    ) -> None:
        self.labels = [f"host-{number}" for number in range(controllers)]
        self.teams = teams_of(teams, machines)
        self.counts = Counts()
        self.specs: dict[str, wire.JobSpec] = {}
        self.submitted_at: dict[str, float] = {}  # of jobs of which nothing has started
        self.rng, self.size, self.load, self.clock = random.Random(seed), machines, load, Clock(profile)
        self.now, self.revision = 0.0, 0
        self.log: list[wire.WatchEvent] = []
        self.events: list = []
        self.order = itertools.count()
        self.jobs, self.left = itertools.count(1), {}
        self.durations: dict[str, float] = {}
        self.names = itertools.count(1)
        self.encoders = {label: mesh.Encoder() for label in self.labels}
        self.nodes = {label: ControllerCore(self.platform(label), settings.Tuning(), 0.0) for label in self.labels}
        for label, core in self.nodes.items():
            core.membership.store_lease.record_renewal(self.labels.index(label) + 1, 0.0)
            core.state.loaded = True
            core.machine_types.update({KIND.name: KIND})
            core.leader.on_listing([], 0.0)
        members = {label: number + 1 for number, label in enumerate(self.labels)}
        for label, lease_id in members.items():
            self.commit({}, {MEMBERS + label: MemberRecord(lease_id, PROTOCOL_VERSION)}, [])
        self.commit({}, {VIEW: {"leader": self.labels[0], "members": members}}, [])
        for label in self.labels:
            self.at(0.0, self.follow, label)
            for offset, pause, step in (
                (0.01, constants.ROUND_S, self.round),
                (0.02, 0.05, self.write),
                (0.5, 1.0, self.hold),
            ):
                self.at(offset + 0.03 * self.labels.index(label), self.every, pause, step, label)
        self.at(1.0, self.every, constants.LEADER_ROUND_S, self.lead, self.labels[0])
        self.at(1.5, self.every, 1.0, self.sample, self.labels[0])
        self.workers: list[Worker] = []
        for _ in range(machines * 9 // 10):  # as in a steady hour: the same starts a machine at each size
            self.add_machine(self.rng.random() < 0.7, self.rng.choice(ZONES), self.rng.uniform(0.5, 3.5))
        for name, *_ in CLASSES:
            self.at(self.rng.uniform(1.0, 2.0), self.submit, name)
            for _ in range(round(machines / 8 * load) if name != "wide" else 0):  # what waits when the day begins
                self.at(self.rng.uniform(1.0, 2.0), self.submit, name, False)

    def platform(self, label: str) -> settings.Platform:
        peers = [settings.Peer(other, "a", "127.0.0.1:1") for other in self.labels if other != label]
        shared = settings.Shared(
            ZONES,
            self.teams,
            settings.Workers(3.0, 17.0, 42.0),
            settings.StateLimits(250.0, 5000.0, 4.0, 12),
            settings.CloudSettings(9.0, 8.0),
            settings.Limits(1.0, 400.0, 2000),
            OBJECTIVES,
        )
        return settings.Platform(
            label, "a", "127.0.0.1:1", "127.0.0.1:2", peers, settings.Endpoints("127.0.0.1:3", "127.0.0.1:4"), shared
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
        self.revision += 1
        self.log += [
            wire.WatchEvent(put=key, data=msgspec.Raw(msgspec.json.encode(value)), revision=self.revision)
            for key, value in puts.items()
        ]
        self.log += [wire.WatchEvent(drop=key, revision=self.revision) for key in drops]
        return self.revision

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
                    "owner": self.rng.choice(self.teams).name,
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
        self.hand_in(self.rng.choice(self.labels), spec)

    def hand_in(self, label: str, spec: wire.JobSpec) -> None:
        """A user submits the job at that controller."""
        self.specs[spec.id], self.submitted_at[spec.id] = spec, self.now
        self.clock.owner = label
        self.clock("submit", self.nodes[label].submissions.submit, spec, self.now, self.now)

    def report(self, worker: Worker) -> None:
        owner = self.nodes[self.labels[0]].membership.machine_owner(worker.name)
        core, clock = self.nodes[owner], self.clock
        clock.owner = owner
        report = worker.report(self.now)
        body = clock("http", worker.wire.read, report)
        heartbeat = clock("http", wire.parse_heartbeat, body)
        fencing_token = core.membership.fencing_token
        machine = clock("report", core.on_heartbeat, heartbeat, self.now)
        self.carry(owner)
        assert machine is not None and not machine.reserved
        orders = clock("orders", core.machine_shard.order_builder.orders, machine)
        answer = clock("http", wire.heartbeat_response, fencing_token, orders)
        clock("http", worker.wire.answer, (200, answer, []))
        self.counts.reports += 1
        self.counts.worker_bytes_in += len(report)
        self.counts.worker_bytes_out += len(answer)
        told = json.loads(answer)
        worker.fencing_token = told["mandate"]
        for order in told["orders"]:
            if order["verb"] == "clear":
                worker.tasks.pop(order["part"], None)
            elif order["verb"] == "run" and order["part"] not in worker.tasks:
                self.counts.starts += 1
                job = order["part"].rpartition("/")[0]
                if job in self.submitted_at:
                    self.counts.waits_s.append(self.now - self.submitted_at.pop(job))
                worker.tasks[order["part"]] = [order["try"], "running", self.now + self.rng.uniform(10.0, 40.0)]
        self.at(self.now + 3.0 * self.rng.uniform(0.9, 1.1), self.report, worker)

    # -- the controllers' loops ----------------------------------------------

    def carry(self, label: str) -> None:
        """Move messages until there are none: frames that one event left for a peer go as one read."""
        waiting = collections.deque([label])
        while waiting:
            sender = waiting.popleft()
            core = self.nodes[sender]
            outgoing_frames, core.effects.outgoing_frames = core.effects.outgoing_frames, []
            core.effects.notifications.clear()
            buffers: dict[str, bytearray] = {}
            self.clock.owner = sender
            for peer, frame in outgoing_frames:
                data = self.clock("mesh", self.encoders[sender], frame)
                self.count_frame(peer, frame.body, len(data))
                buffers.setdefault(peer, bytearray()).extend(data)
            for peer, buffer in buffers.items():
                self.clock.owner = peer
                for frame in self.clock("mesh", lambda buffer=buffer: list(mesh.split_frames(buffer))):
                    self.clock(f"on {type(frame.body).__name__}", self.nodes[peer].on_frame, frame, self.now)
                waiting.append(peer)

    def count_frame(self, peer: str, body: messages.Message, size: int) -> None:
        """Count a message between controllers."""
        counts, kind = self.counts, type(body).__name__
        counts.sent[kind].count(size)
        if peer == self.labels[0]:
            counts.leader_received[kind].count(size)
        if isinstance(body, messages.TaskRequest):
            counts.asked += body.count
        elif isinstance(body, messages.TaskGrant):
            counts.granted += len(body.tasks)

    def sample(self, _label: str) -> None:
        """How much of the machines is used, and the most of them that could be within the teams' limits."""
        used: dict[str, float] = collections.defaultdict(float)
        for worker in self.workers:
            for part, task in worker.tasks.items():
                if task[1] == "running":
                    spec = self.specs[part.rpartition("/")[0]]
                    used[spec.team] += spec.cpus
        wanted = collections.defaultdict(float, used)
        for core in self.nodes.values():
            for job in (
                core.job_shard.jobs.values() if core is not None else ()
            ):  # some worlds have controllers that fell
                wanted[job.spec.team] += job.waiting * job.spec.cpus
        total = len(self.workers) * KIND.cpus
        reachable = sum(min(team.cpus_max, wanted[team.name]) for team in self.teams)
        self.counts.used_share.append(sum(used.values()) / total)
        self.counts.reachable_share.append(min(1.0, reachable / total))

    def begin_to_count(self) -> None:
        """Forget what was counted so far."""
        self.clock.clear()
        self.counts = Counts()

    def hold(self, label: str) -> None:
        self.nodes[label].membership.store_lease.record_renewal(self.labels.index(label) + 1, self.now)

    def follow(self, label: str) -> None:
        core, self.clock.owner = self.nodes[label], label
        core.membership.record_sync(self.now)
        since = core.replica.revision
        changes = []
        for change in reversed(self.log):
            if change.revision <= since:
                break
            changes.append(change)
        self.clock("follow", core.store_follower.apply_events, changes[::-1], self.now, self.now)
        core.replica.revision = self.revision
        self.carry(label)
        self.at(self.now + 0.1, self.follow, label)

    def round(self, label: str) -> None:
        self.clock.owner = label
        self.clock("round", self.nodes[label].round, self.now)
        self.carry(label)

    def write(self, label: str) -> None:
        core, self.clock.owner = self.nodes[label], label
        batch = self.clock("records", core.record_writer.next_batch, self.now)
        if batch is not None:
            self.counts.store_changes += batch.changes
            self.counts.transactions += 1
            self.clock(
                "records",
                core.batch_results.on_written,
                batch,
                self.commit(batch.conditions, batch.puts, batch.drops),
                self.now,
            )
            self.carry(label)

    def lead(self, label: str) -> None:
        core, self.clock.owner = self.nodes[label], label
        decision = self.clock("renting", core.leader.decide, self.now)
        for kind, count in decision.scale_out:
            got = min(count, self.size - len(self.workers))
            names = [self.add_machine(kind.spot, kind.zone, self.rng.uniform(20.0, 50.0)) for _ in range(got)]
            core.leader.on_scaled_out(kind, names, self.now)
            if got < count:
                core.leader.on_refused(kind, self.now)


def measured(bench: Bench, seconds: float) -> dict:
    """What was counted in that many simulated seconds, as plain numbers for a table."""
    counts, spent = bench.counts, sum(bench.clock.spent.values())

    def traffic(kinds: dict[str, Traffic]) -> dict[str, dict]:
        return {kind: asdict(one) for kind, one in sorted(kinds.items())}

    return {
        "controllers": len(bench.labels),
        "machines": bench.size,
        "teams": len(bench.teams),
        "load": bench.load,
        "seconds": seconds,
        "starts": counts.starts,
        "starts_a_second": counts.starts / seconds,
        "ms_a_start": spent / max(1, counts.starts) * 1000,
        "cores": spent / seconds,
        "leader_cores": bench.clock.by_controller[bench.labels[0]] / seconds,
        "largest_other_cores": max(bench.clock.by_controller[label] for label in bench.labels[1:]) / seconds,
        "store_changes_a_second": counts.store_changes / seconds,
        "transactions_a_second": counts.transactions / seconds,
        "reports_a_second": counts.reports / seconds,
        "report_bytes": counts.worker_bytes_in / max(1, counts.reports),
        "answer_bytes": counts.worker_bytes_out / max(1, counts.reports),
        "asked": counts.asked,
        "granted": counts.granted,
        "used_share": statistics.fmean(counts.used_share),
        "reachable_share": statistics.fmean(counts.reachable_share),
        "waits_s": counts.waits_s,
        "not_begun": len(bench.submitted_at),
        "us_a_start": {part: one / max(1, counts.starts) * 1e6 for part, one in sorted(bench.clock.spent.items())},
        "sent": traffic(counts.sent),
        "leader_received": traffic(counts.leader_received),
    }


def play(machines: int, args: argparse.Namespace) -> Bench:
    """One run, counted after its beginning."""
    bench = Bench(machines, args.load, args.seed, args.profile, args.controllers, args.teams)
    bench.play(WARM_UP_S)
    bench.begin_to_count()
    bench.play(WARM_UP_S + args.seconds)
    return bench


def print_table(results: list[tuple[Bench, dict]]) -> None:
    """Processor time by part, and what it was spent on, a column for each size."""
    print("processor time, us a start" + "".join(f"{bench.size:>9}" for bench, _ in results))
    for part in sorted({part for _, result in results for part in result["us_a_start"]}):
        print(f"{part:<26}" + "".join(f"{result['us_a_start'].get(part, 0.0):9.0f}" for _, result in results))
    print(f"{'all':<26}" + "".join(f"{result['ms_a_start'] * 1000:9.0f}" for _, result in results))
    for name, places in (
        ("starts", 0),
        ("starts_a_second", 0),
        ("cores", 3),
        ("leader_cores", 3),
        ("largest_other_cores", 3),
        ("store_changes_a_second", 0),
        ("asked", 0),
        ("granted", 0),
        ("used_share", 3),
        ("reachable_share", 3),
    ):
        print(f"{name:<26}" + "".join(f"{result[name]:9.{places}f}" for _, result in results))
    kinds = sorted({kind for _, result in results for kind in result["sent"]})
    for kind in kinds:
        rates = [result["sent"].get(kind, {"bytes": 0})["bytes"] / result["seconds"] / 1024 for _, result in results]
        print(f"{'sent, KiB/s: ' + kind:<26}" + "".join(f"{rate:9.1f}" for rate in rates))


def number(least: int):
    """An argument that is a whole number of at least that much."""

    def parse(text: str) -> int:
        value = int(text)
        if value < least:
            raise argparse.ArgumentTypeError(f"{text}: at least {least}")
        return value

    return parse


def main() -> int:
    """Play the sizes that the command line asks for."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--machines", type=number(10), nargs="+", default=[635])
    parser.add_argument("--controllers", type=number(2), default=5)
    parser.add_argument("--teams", type=number(1), default=4)
    parser.add_argument("--seconds", type=float, default=60.0, help="simulated seconds, after 20 to get going")
    parser.add_argument("--load", type=float, default=1.5, help="1: 11 starts a minute and machine; 1.5: a full fleet")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--profile", metavar="PART", help="where one part, or 'all', spends its time")
    parser.add_argument(
        "--grid", metavar="FILE", type=Path, help="play all points of bench_grid, results as JSON there"
    )
    parser.add_argument("--jobs", type=number(1), default=3, help="points of the grid at one time")
    args = parser.parse_args()
    logging.basicConfig(level=logging.ERROR)
    if args.grid:
        import bench_grid  # only here: it imports this module

        return bench_grid.play_grid(args.grid, args.jobs, args.seconds)
    gc.freeze()  # as the program does
    gc.set_threshold(*constants.GC_THRESHOLDS)
    results = []
    for size in args.machines:
        bench = play(size, args)
        results.append((bench, measured(bench, args.seconds)))
    print_table(results)
    if args.profile:
        pstats.Stats(results[-1][0].clock.profiler).sort_stats("tottime").print_stats(30)
    return 0


if __name__ == "__main__":
    sys.exit(main())
