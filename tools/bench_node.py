"""Measures the CPU time per task start, by section of the code, of several controllers with a fleet of full size.

    python3 tools/bench_node.py [--machines 75 150 300 635 1000] [--controllers 5] [--teams 4] [--seconds 60]
                                [--profile PART]
    python3 tools/bench_node.py --grid RESULTS.json [--jobs 3]      runs all points of ``bench_grid``

Runs ``ControllerCore``s on simulated time with an ideal store. Heartbeats, one per machine every 3 s, pass through the
service's HTTP code, and messages between controllers through the mesh's encoding. Nothing fails: the bench measures the
cost of events and not the quality of decisions. Load and the limits of the teams grow with the number of machines, so
the cost per start should stay the same.
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
)  # bench_fall also runs older checkouts, which have only VERSION_WITH_DEPENDENCIES
LABELS = [f"host-{number}" for number in range(5)]
ZONES = ["a", "b", "c"]
REFERENCE_MACHINES = 635  # number of machines for which the limits and rates below are given
GUARANTEED_CPUS, MAX_CPUS = 12_000.0, 32_000.0  # of all teams together; the machines have 20,320
WARM_UP_S = 20.0  # simulated; not measured


def scaled_teams(count: int, machines: int) -> list[settings.Team]:
    """Teams with equal shares of guarantee and limit, scaled to the number of machines."""
    share = machines / REFERENCE_MACHINES / count
    return [settings.Team(f"team-{number}", GUARANTEED_CPUS * share, MAX_CPUS * share) for number in range(count)]


TEAMS = scaled_teams(4, REFERENCE_MACHINES)
MACHINE_TYPE = wire.MachineType(
    name="m32", cpus=32.0, memory_gb=128.0, price=1.4, spot_price=0.4, boot_s=50.0, cache_gb=30.0, zones=ZONES
)
OBJECTIVES = [
    settings.Objective("finished", "even", 250.0),
    settings.Objective("wait", "soon", 12.0),
    settings.Objective("finished", "soon", 120.0),
    settings.Objective("deadline", "wide", times=1.0),
    settings.Objective("guarantee", within_s=5.0),
]
# class, jobs per minute at REFERENCE_MACHINES, tasks per job, CPUs, memory in GB, number of images, priority
JOB_CLASSES = [
    ("even", 60, 20, 2.0, 4.0, 6, "standard"),
    ("soon", 72, 25, 4.0, 14.0, 16, "high"),
    ("wide", 10, 400, 2.0, 7.5, 14, "standard"),
]


class CpuTimer:
    """CPU time by section of the code and by controller."""

    def __init__(self, profile: str | None) -> None:
        self.cpu_s: dict[str, float] = collections.defaultdict(float)
        self.calls: dict[str, int] = collections.defaultdict(int)
        self.cpu_s_by_controller: dict[str, float] = collections.defaultdict(float)
        self.owner = ""  # the controller whose code runs
        self.profile, self.profiler = profile, cProfile.Profile()

    def clear(self) -> None:
        """Resets all times and counts."""
        self.cpu_s.clear()
        self.calls.clear()
        self.cpu_s_by_controller.clear()

    def __call__(self, section: str, function, *args):
        profiled = section == self.profile or self.profile == "all"
        if profiled:
            self.profiler.enable()
        started_at = time.thread_time()
        try:
            return function(*args)
        finally:
            spent = time.thread_time() - started_at
            self.cpu_s[section] += spent
            self.cpu_s_by_controller[self.owner] += spent
            self.calls[section] += 1
            if profiled:
                self.profiler.disable()


class MemoryConnection:
    """A client connection to the HTTP server in memory, in place of a socket."""

    def __init__(self, server: http_server.Server) -> None:
        self.incoming = self.body = b""
        self.server = http_server.Connection(server, self)

    def fileno(self) -> int:
        return -1

    def recv(self, _max_bytes: int) -> bytes:
        return self.incoming

    def send(self, data: bytes) -> int:
        return len(data)

    def receive(self, body: bytes) -> bytes:
        self.incoming = (
            f"POST /agent/beat HTTP/1.1\r\nHost: controller\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        ).encode() + body
        self.server.ready(1)
        return REQUEST_BODIES.pop()

    def send_response(self, answer: http_server.RawResponse) -> None:
        self.server.respond(answer)


REQUEST_BODIES: list[bytes] = []  # bodies of the requests that the server has parsed


class NullSelector:
    def watch(self, *_args) -> None:
        pass


SERVER = http_server.Server(lambda _method, _target, body, _reply: REQUEST_BODIES.append(body), 1, NullSelector())


class Worker:
    def __init__(self, name: str, zone: str, spot: bool) -> None:
        self.name, self.zone, self.spot = name, zone, spot
        self.connection = MemoryConnection(SERVER)
        self.fencing_token = self.counter = 0
        self.tasks: dict[str, list] = {}  # task ID -> attempt, status, end time

    def heartbeat_body(self, now: float) -> bytes:
        self.counter += 1
        for task in self.tasks.values():
            if task[1] == "running" and task[2] <= now:
                task[1] = "ended"
        parts = [
            {"part": task_id, "try": task[0], "status": task[1], **({"cause": "done"} if task[1] == "ended" else {})}
            for task_id, task in self.tasks.items()
        ]
        return json.dumps(
            {
                "host": self.name,
                "address": "10.0.0.1:9000",
                "flavour": MACHINE_TYPE.name,
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
    """Messages of one type between controllers."""

    messages: int = 0
    bytes: int = 0

    def count(self, size: int) -> None:
        """Counts a message of that many bytes."""
        self.messages += 1
        self.bytes += size


@dataclass
class Counts:
    """Counters since the last reset."""

    starts: int = 0
    store_changes: int = 0
    transactions: int = 0
    heartbeats: int = 0
    worker_bytes_in: int = 0  # heartbeat bodies
    worker_bytes_out: int = 0  # response bodies
    requested_tasks: int = 0  # tasks that machine shards requested from job shards
    granted_tasks: int = 0  # tasks granted to these requests
    used_share: list[float] = field(default_factory=list)  # CPUs in use, as a share of all machines, each second
    reachable_share: list[float] = field(default_factory=list)  # CPUs usable within the limits of the teams
    waits_s: list[float] = field(default_factory=list)  # per job, from submission to first start
    sent_traffic: dict[str, Traffic] = field(default_factory=lambda: collections.defaultdict(Traffic))
    traffic_to_leader: dict[str, Traffic] = field(default_factory=lambda: collections.defaultdict(Traffic))


class Bench:
    """Simulates controllers, machines and users in one process, driven by a queue of timed events."""

    def __init__(
        self, machines: int, load: float, seed: int, profile: str | None, controllers: int = 5, teams: int = 4
    ) -> None:
        self.labels = [f"host-{number}" for number in range(controllers)]
        self.teams = scaled_teams(teams, machines)
        self.counts = Counts()
        self.specs: dict[str, wire.JobSpec] = {}
        self.submitted_at: dict[str, float] = {}  # jobs without a started task
        self.rng, self.machine_limit, self.load, self.timer = random.Random(seed), machines, load, CpuTimer(profile)
        self.now, self.revision = 0.0, 0
        self.log: list[wire.WatchEvent] = []
        self.events: list = []
        self.event_sequence = itertools.count()
        self.job_numbers, self.remaining_s = itertools.count(1), {}
        self.durations: dict[str, float] = {}
        self.machine_numbers = itertools.count(1)
        self.encoders = {label: mesh.Encoder() for label in self.labels}
        self.controllers = {
            label: ControllerCore(self.platform(label), settings.Tuning(), 0.0) for label in self.labels
        }
        for label, core in self.controllers.items():
            core.membership.store_lease.record_renewal(self.labels.index(label) + 1, 0.0)
            core.state.loaded = True
            core.machine_types.update({MACHINE_TYPE.name: MACHINE_TYPE})
            core.leader.on_listing([], 0.0)
        members = {label: number + 1 for number, label in enumerate(self.labels)}
        for label, lease_id in members.items():
            self.commit({}, {MEMBERS + label: MemberRecord(lease_id, PROTOCOL_VERSION)}, [])
        self.commit({}, {VIEW: {"leader": self.labels[0], "members": members}}, [])
        for label in self.labels:
            self.schedule(0.0, self.follow_store, label)
            for offset, interval_s, function in (
                (0.01, constants.ROUND_INTERVAL_S, self.run_round),
                (0.02, 0.05, self.write_records),
                (0.5, 1.0, self.renew_store_lease),
            ):
                self.schedule(offset + 0.03 * self.labels.index(label), self.repeat, interval_s, function, label)
        self.schedule(1.0, self.repeat, constants.LEADER_ROUND_INTERVAL_S, self.run_leader, self.labels[0])
        self.schedule(1.5, self.repeat, 1.0, self.sample_usage, self.labels[0])
        self.workers: list[Worker] = []
        for _ in range(machines * 9 // 10):  # so that the number of starts per machine does not depend on the size
            self.add_machine(self.rng.random() < 0.7, self.rng.choice(ZONES), self.rng.uniform(0.5, 3.5))
        for name, *_ in JOB_CLASSES:
            self.schedule(self.rng.uniform(1.0, 2.0), self.submit, name)
            for _ in range(round(machines / 8 * load) if name != "wide" else 0):  # initial backlog
                self.schedule(self.rng.uniform(1.0, 2.0), self.submit, name, False)

    def platform(self, label: str) -> settings.PlatformSettings:
        peers = [settings.Peer(other, "a", "127.0.0.1:1") for other in self.labels if other != label]
        shared = settings.SharedSettings(
            ZONES,
            self.teams,
            settings.WorkerTimes(3.0, 17.0, 42.0),
            settings.StateLimits(250.0, 5000.0, 4.0, 12),
            settings.CloudSettings(9.0, 8.0),
            settings.ProcessLimits(1.0, 400.0, 2000),
            OBJECTIVES,
        )
        return settings.PlatformSettings(
            label, "a", "127.0.0.1:1", "127.0.0.1:2", peers, settings.Endpoints("127.0.0.1:3", "127.0.0.1:4"), shared
        )

    def schedule(self, due_at: float, function, *args) -> None:
        heapq.heappush(self.events, (due_at, next(self.event_sequence), function, args))

    def repeat(self, interval_s: float, function, label: str) -> None:
        self.schedule(self.now + interval_s, self.repeat, interval_s, function, label)
        function(label)

    def run_until(self, until: float) -> None:
        while self.events[0][0] <= until:
            self.now, _, function, args = heapq.heappop(self.events)
            function(*args)

    def commit(self, _conditions, puts, drops) -> int:
        self.revision += 1
        self.log += [
            wire.WatchEvent(put=key, data=msgspec.Raw(msgspec.json.encode(value)), revision=self.revision)
            for key, value in puts.items()
        ]
        self.log += [wire.WatchEvent(drop=key, revision=self.revision) for key in drops]
        return self.revision

    def add_machine(self, spot: bool, zone: str, boot_s: float) -> str:
        worker = Worker(f"n-{next(self.machine_numbers):06d}", zone, spot)
        self.workers.append(worker)
        self.schedule(self.now + boot_s, self.send_heartbeat, worker)
        return worker.name

    def submit(self, name: str, resubmit: bool = True) -> None:
        job_class, rate, tasks, cpus, memory, images, priority = next(
            value for value in JOB_CLASSES if value[0] == name
        )
        if resubmit:
            self.schedule(
                self.now + self.rng.expovariate(rate / 60 * self.machine_limit / 635 * self.load), self.submit, name
            )
        job = f"wk-{next(self.job_numbers):06d}"
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
        self.submit_to(self.rng.choice(self.labels), spec)

    def submit_to(self, label: str, spec: wire.JobSpec) -> None:
        """Submits the job to that controller."""
        self.specs[spec.id], self.submitted_at[spec.id] = spec, self.now
        self.timer.owner = label
        self.timer("submit", self.controllers[label].submissions.submit, spec, self.now, self.now)

    def send_heartbeat(self, worker: Worker) -> None:
        owner = self.controllers[self.labels[0]].membership.machine_owner(worker.name)
        core, timer = self.controllers[owner], self.timer
        timer.owner = owner
        report = worker.heartbeat_body(self.now)
        body = timer("http", worker.connection.receive, report)
        heartbeat = timer("http", wire.parse_heartbeat, body)
        fencing_token = core.membership.fencing_token
        machine = timer("report", core.on_heartbeat, heartbeat, self.now)
        self.deliver_messages(owner)
        assert machine is not None and not machine.reserved
        orders = timer("orders", core.machine_shard.order_builder.orders, machine)
        answer = timer("http", wire.heartbeat_response, fencing_token, orders)
        timer("http", worker.connection.send_response, (200, answer, []))
        self.counts.heartbeats += 1
        self.counts.worker_bytes_in += len(report)
        self.counts.worker_bytes_out += len(answer)
        payload = json.loads(answer)
        worker.fencing_token = payload["mandate"]
        for order in payload["orders"]:
            if order["verb"] == "clear":
                worker.tasks.pop(order["part"], None)
            elif order["verb"] == "run" and order["part"] not in worker.tasks:
                self.counts.starts += 1
                job = order["part"].rpartition("/")[0]
                if job in self.submitted_at:
                    self.counts.waits_s.append(self.now - self.submitted_at.pop(job))
                worker.tasks[order["part"]] = [order["try"], "running", self.now + self.rng.uniform(10.0, 40.0)]
        self.schedule(self.now + 3.0 * self.rng.uniform(0.9, 1.1), self.send_heartbeat, worker)

    def deliver_messages(self, label: str) -> None:
        """Delivers messages until none are outstanding; the frames of one event to a peer arrive in one read."""
        waiting = collections.deque([label])
        while waiting:
            sender = waiting.popleft()
            core = self.controllers[sender]
            outgoing_frames, core.effects.outgoing_frames = core.effects.outgoing_frames, []
            core.effects.notifications.clear()
            buffers: dict[str, bytearray] = {}
            self.timer.owner = sender
            for peer, frame in outgoing_frames:
                data = self.timer("mesh", self.encoders[sender], frame)
                self.count_frame(peer, frame.body, len(data))
                buffers.setdefault(peer, bytearray()).extend(data)
            for peer, buffer in buffers.items():
                self.timer.owner = peer
                for frame in self.timer("mesh", lambda buffer=buffer: list(mesh.split_frames(buffer))):
                    self.timer(f"on {type(frame.body).__name__}", self.controllers[peer].on_frame, frame, self.now)
                waiting.append(peer)

    def count_frame(self, peer: str, body: messages.Message, size: int) -> None:
        """Counts a message between controllers."""
        counts, kind = self.counts, type(body).__name__
        counts.sent_traffic[kind].count(size)
        if peer == self.labels[0]:
            counts.traffic_to_leader[kind].count(size)
        if isinstance(body, messages.TaskRequest):
            counts.requested_tasks += body.count
        elif isinstance(body, messages.TaskGrant):
            counts.granted_tasks += len(body.tasks)

    def sample_usage(self, _label: str) -> None:
        """Samples the CPUs in use and the CPUs that could be in use within the limits of the teams."""
        used: dict[str, float] = collections.defaultdict(float)
        for worker in self.workers:
            for task_id, task in worker.tasks.items():
                if task[1] == "running":
                    spec = self.specs[task_id.rpartition("/")[0]]
                    used[spec.team] += spec.cpus
        wanted = collections.defaultdict(float, used)
        for core in self.controllers.values():
            for job in (
                core.job_shard.jobs.values() if core is not None else ()
            ):  # None: a crashed controller in a subclass
                wanted[job.spec.team] += job.waiting * job.spec.cpus
        total = len(self.workers) * MACHINE_TYPE.cpus
        reachable = sum(min(team.cpus_max, wanted[team.name]) for team in self.teams)
        self.counts.used_share.append(sum(used.values()) / total)
        self.counts.reachable_share.append(min(1.0, reachable / total))

    def reset_counts(self) -> None:
        """Resets all counters and times."""
        self.timer.clear()
        self.counts = Counts()

    def renew_store_lease(self, label: str) -> None:
        self.controllers[label].membership.store_lease.record_renewal(self.labels.index(label) + 1, self.now)

    def follow_store(self, label: str) -> None:
        core, self.timer.owner = self.controllers[label], label
        core.membership.record_sync(self.now)
        since = core.replica.revision
        changes = []
        for change in reversed(self.log):
            if change.revision <= since:
                break
            changes.append(change)
        self.timer("follow", core.store_follower.apply_events, changes[::-1], self.now, self.now)
        core.replica.revision = self.revision
        self.deliver_messages(label)
        self.schedule(self.now + 0.1, self.follow_store, label)

    def run_round(self, label: str) -> None:
        self.timer.owner = label
        self.timer("round", self.controllers[label].round, self.now)
        self.deliver_messages(label)

    def write_records(self, label: str) -> None:
        core, self.timer.owner = self.controllers[label], label
        batch = self.timer("records", core.record_writer.next_batch, self.now)
        if batch is not None:
            self.counts.store_changes += batch.changes
            self.counts.transactions += 1
            self.timer(
                "records",
                core.batch_results.on_written,
                batch,
                self.commit(batch.conditions, batch.puts, batch.drops),
                self.now,
            )
            self.deliver_messages(label)

    def run_leader(self, label: str) -> None:
        core, self.timer.owner = self.controllers[label], label
        decision = self.timer("renting", core.leader.decide, self.now)
        for kind, count in decision.scale_out:
            granted = min(count, self.machine_limit - len(self.workers))
            names = [self.add_machine(kind.spot, kind.zone, self.rng.uniform(20.0, 50.0)) for _ in range(granted)]
            core.leader.on_scaled_out(kind, names, self.now)
            if granted < count:
                core.leader.on_refused(kind, self.now)


def summarize(bench: Bench, seconds: float) -> dict:
    """The results of the last ``seconds`` of simulated time, as JSON values."""
    counts, spent = bench.counts, sum(bench.timer.cpu_s.values())

    def traffic(types: dict[str, Traffic]) -> dict[str, dict]:
        return {kind: asdict(value) for kind, value in sorted(types.items())}

    return {
        "controllers": len(bench.labels),
        "machines": bench.machine_limit,
        "teams": len(bench.teams),
        "load": bench.load,
        "seconds": seconds,
        "starts": counts.starts,
        "starts_a_second": counts.starts / seconds,
        "ms_a_start": spent / max(1, counts.starts) * 1000,
        "cores": spent / seconds,
        "leader_cores": bench.timer.cpu_s_by_controller[bench.labels[0]] / seconds,
        "largest_other_cores": max(bench.timer.cpu_s_by_controller[label] for label in bench.labels[1:]) / seconds,
        "store_changes_a_second": counts.store_changes / seconds,
        "transactions_a_second": counts.transactions / seconds,
        "reports_a_second": counts.heartbeats / seconds,
        "report_bytes": counts.worker_bytes_in / max(1, counts.heartbeats),
        "answer_bytes": counts.worker_bytes_out / max(1, counts.heartbeats),
        "asked": counts.requested_tasks,
        "granted": counts.granted_tasks,
        "used_share": statistics.fmean(counts.used_share),
        "reachable_share": statistics.fmean(counts.reachable_share),
        "waits_s": counts.waits_s,
        "not_begun": len(bench.submitted_at),
        "us_a_start": {
            section: value / max(1, counts.starts) * 1e6 for section, value in sorted(bench.timer.cpu_s.items())
        },
        "sent": traffic(counts.sent_traffic),
        "leader_received": traffic(counts.traffic_to_leader),
    }


def run_bench(machines: int, args: argparse.Namespace) -> Bench:
    """Runs a simulation; counters cover the time after the warm-up."""
    bench = Bench(machines, args.load, args.seed, args.profile, args.controllers, args.teams)
    bench.run_until(WARM_UP_S)
    bench.reset_counts()
    bench.run_until(WARM_UP_S + args.seconds)
    return bench


def print_table(results: list[tuple[Bench, dict]]) -> None:
    """Prints CPU time by section and the other results, one column per size."""
    print("processor time, us a start" + "".join(f"{bench.machine_limit:>9}" for bench, _ in results))
    for section in sorted({section for _, result in results for section in result["us_a_start"]}):
        print(f"{section:<26}" + "".join(f"{result['us_a_start'].get(section, 0.0):9.0f}" for _, result in results))
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
    types = sorted({kind for _, result in results for kind in result["sent"]})
    for kind in types:
        rates = [result["sent"].get(kind, {"bytes": 0})["bytes"] / result["seconds"] / 1024 for _, result in results]
        print(f"{'sent, KiB/s: ' + kind:<26}" + "".join(f"{rate:9.1f}" for rate in rates))


def integer_from(minimum: int):
    """Type of a command-line argument: an integer not below the minimum."""

    def parse(text: str) -> int:
        value = int(text)
        if value < minimum:
            raise argparse.ArgumentTypeError(f"{text}: at least {minimum}")
        return value

    return parse


def main() -> int:
    """Runs the sizes given on the command line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--machines", type=integer_from(10), nargs="+", default=[635])
    parser.add_argument("--controllers", type=integer_from(2), default=5)
    parser.add_argument("--teams", type=integer_from(1), default=4)
    parser.add_argument("--seconds", type=float, default=60.0, help="simulated seconds measured, after 20 s of warm-up")
    parser.add_argument(
        "--load", type=float, default=1.5, help="1: 11 starts per minute and machine; 1.5: a full fleet"
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--profile", metavar="PART", help="print the profile of one section of the code, or of 'all'")
    parser.add_argument(
        "--grid", metavar="FILE", type=Path, help="run all points of bench_grid and write the results there as JSON"
    )
    parser.add_argument("--jobs", type=integer_from(1), default=3, help="number of grid points run in parallel")
    args = parser.parse_args()
    logging.basicConfig(level=logging.ERROR)
    if args.grid:
        import bench_grid  # not at the top: it imports this module

        return bench_grid.play_grid(args.grid, args.jobs, args.seconds)
    gc.freeze()  # as the service does
    gc.set_threshold(*constants.GC_THRESHOLDS)
    results = []
    for size in args.machines:
        bench = run_bench(size, args)
        results.append((bench, summarize(bench, args.seconds)))
    print_table(results)
    if args.profile:
        pstats.Stats(results[-1][0].timer.profiler).sort_stats("tottime").print_stats(30)
    return 0


if __name__ == "__main__":
    sys.exit(main())
