"""Urgent bursts into a full fleet: without preemption, with claims, naive, and with a fall just after the claims.

    python3 tools/bench_urgent.py [--machines 100 300 635] [--seed 1]

The world of ``bench_fall`` (pure nodes, ideal network, reports every 3 s). Routine work, 1.5 times what the fleet holds
at once, runs for 60 to 180 s a task; half of its jobs save every 30 s. From second 60 on, each 30 s, a burst wants 8 %
of the CPUs for small urgent tasks, and a half of each tenth machine for large ones; all run for 10 to 20 s. Everything
is played to its end. Naive: for all urgent tasks that wait, at once, the youngest lower tasks, no limit. Simulated.
"""

from __future__ import annotations

import argparse
import configparser
import gc
import logging
import random
import statistics
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))

import bench_fall as fall
import bench_node as base

from alderbridge import constants
from alderbridge.preemption import PreemptionDemand, PreemptionLimit
from alderbridge.priorities import PriorityPolicy, parse
from alderbridge.protocol import wire
from alderbridge.protocol.keys import CLAIMS

AIM_S, BURSTS, LAST_S = 12.0, (60.0, 90.0, 120.0, 150.0), 900.0
INI = """
[class */urgent]
workloads = soon
may preempt = routine
stops a minute = 100000
stops at once = 100000
share = {share}
[class */routine]
preemptible = yes
"""


class Naive(PriorityPolicy):
    """As it was tried once: no wait for room that comes by itself, no memory, the youngest first."""

    def find_demands(self, desk, now):
        promised, result = desk.promised(), []
        for row in desk.queue_rows(now).values():
            spec = desk.leader.replica.spec(row.job)
            if spec is not None and self.may_preempt(spec) and row.offer > promised[row.job]:
                result.append(PreemptionDemand(spec, row.offer - promised[row.job], 0.0, self.reason, row.zone))
        return result

    def limit(self, need):
        return PreemptionLimit(10**6, 10**6, 1.0)

    def victim_cost(self, victim):
        return victim.ran_s + 0.01

    def allowed(self, need, victim):
        return self.preemptible(victim.spec) and need.spec.rank > victim.spec.rank


class Urgent(fall.FallBench):
    def __init__(self, machines: int, seed: int, way: str, share: float) -> None:
        self.way, self.specs, self.asked = way, {}, {}
        self.fell = False
        self.halted: set[tuple[str, str, int]] = set()  # machine, task, attempt
        self.first: dict[str, float] = {}  # urgent task -> its first start
        self.left: dict[str, float] = {}  # task -> s that it has yet to run
        self.work_lost, self.stops = 0.0, 0
        self.done_at: dict[str, float] = {}
        parser = configparser.ConfigParser(interpolation=None)
        parser.read_string(INI.format(share=share))
        self.declared = parse(parser, "bench")
        base.CLASSES, self.number = [], 0
        super().__init__(machines, 1.0, seed)
        for core in self.nodes.values():
            self.prepare(core)
        slots, jobs = machines * 8, random.Random(seed)
        while slots * 1.5 > sum(spec.tasks for spec in self.specs.values()):
            tasks = min(40, max(4, slots // 40))
            self.want(jobs.uniform(0.5, 3.0), "even", "standard", tasks, 4.0, 120.0, jobs.random() < 0.5)
        for at in BURSTS:
            for _ in range(4):
                self.want(at, "soon", "high", max(1, round(slots * 0.02)), 4.0, 15.0, False)
            self.want(at, "soon", "high", max(1, machines // 10), 16.0, 15.0, False)

    def prepare(self, core) -> None:
        if self.way != "without":
            core.preemption.priorities = lambda now: [self.declared]
        if self.way == "naive":
            core.preemption.rules = Naive([self.declared])

    def come_back(self, label: str) -> None:
        super().come_back(label)
        self.prepare(self.nodes[label])

    def want(
        self, at: float, job_class: str, priority: str, tasks: int, cpus: float, run_s: float, saves: bool
    ) -> None:
        self.number += 1
        spec = wire.JobSpec(
            id=f"wk-{self.number:06d}",
            job_class=job_class,
            team=f"team-{self.number % 4}",
            kind="sweep",
            priority=priority,
            tasks=tasks,
            cpus=cpus,
            memory_gb=1.0,
            image="i",
            image_gb=1.0,
            estimate_s=run_s,
            checkpoint_s=30.0 if saves else 0.0,
            save_s=3.0 if saves else 0.0,
            spot=True,
        )
        self.specs[spec.id], self.asked[spec.id] = spec, at
        self.at(at, self.hand_in, base.LABELS[self.number % 5], spec)

    def commit(self, conditions, puts, drops) -> int:
        revision = super().commit(conditions, puts, drops)
        if revision and self.way == "fall" and not self.fell and any(key.startswith(CLAIMS) for key in puts):
            self.fell = True
            self.at(self.now + 0.3, self.fall, 4.0, 0.0)
        return revision

    def run_s(self, part: str) -> float:
        spec = self.specs[wire.split_task_id(part)[0]]
        if spec.priority == "high":
            self.first.setdefault(part, self.now)
        whole = (
            random.Random(part).uniform(0.5, 1.5) * spec.estimate_s
            if spec.priority != "high"
            else (random.Random(part).uniform(10.0, 20.0))
        )
        return self.left.setdefault(part, whole)

    def stop(self, worker, part: str, order: dict) -> None:
        spec, task = self.specs[wire.split_task_id(part)[0]], worker.tasks[part]
        if task[1] != "running" or task[2] <= self.now:
            return
        left = task[2] - self.now
        self.stops += 1
        if spec.checkpoint_s and order["wind_down_s"] >= spec.save_s:
            self.left[part] = left
            self.work_lost += spec.save_s * spec.cpus
            task[1], task[2] = "saving", self.now + spec.save_s
            return
        self.work_lost += (self.left[part] - left) * spec.cpus
        self.halt(worker, part)

    def halt(self, worker, part: str) -> None:
        super().stop(worker, part, {})
        self.halted.add((worker.name, part, worker.tasks[part][0]))

    def text(self, worker) -> dict:
        for part, task in worker.tasks.items():
            if task[1] == "saving" and task[2] <= self.now:
                self.halt(worker, part)
        report = super().text(worker)
        for part in report["parts"]:
            if (worker.name, part["part"], part["try"]) in self.halted:
                part["cause"] = "halted"
        return report

    def over(self) -> bool:
        ended = next((n.replica.ended for n in self.nodes.values() if n is not None), {})
        for job in self.specs:
            if job in ended and job not in self.done_at:
                self.done_at[job] = self.now
        return len(self.done_at) == len(self.specs)


def measure(size: int, way: str, seed: int, share: float) -> dict[str, float]:
    bench = Urgent(size, seed, way, share)
    began = time.process_time()
    while bench.now < LAST_S and not bench.over():
        bench.play(bench.now + 1.0)
    waits = sorted(at - bench.asked[wire.split_task_id(part)[0]] for part, at in bench.first.items())
    urgent = sum(spec.tasks for spec in bench.specs.values() if spec.priority == "high")
    routine = [at - bench.asked[job] for job, at in bench.done_at.items() if bench.specs[job].priority != "high"]
    return {
        "urgent tasks started in 12 s, share": round(sum(wait <= AIM_S for wait in waits) / urgent, 3),
        "their wait, p50, s": round(statistics.median(waits), 1),
        "p90, s": round(waits[int(len(waits) * 0.9)], 1),
        "max, s": round(waits[-1], 1),
        "tasks stopped": bench.stops,
        "work lost, CPU s a machine": round(bench.work_lost / size, 1),
        "routine jobs, mean end, s": round(statistics.mean(routine), 1),
        "all ended at, s": round(max(bench.done_at.values()), 0) if len(bench.done_at) == len(bench.specs) else -1,
        "claims left": sum(key.startswith(CLAIMS) for key in bench.data),
        "ran twice": bench.again,
        "machines rented": bench.rented,
        "processor time, s": round(time.process_time() - began, 1),
    }


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--machines", type=int, nargs="+", default=[100, 300, 635])
    parser.add_argument("--ways", nargs="+", default=["without", "claims", "naive", "fall"])
    parser.add_argument("--share", type=float, default=0.05, help="of what runs, stopped at one time by one class")
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    logging.basicConfig(level=logging.ERROR)
    gc.set_threshold(*constants.GC_THRESHOLDS)
    for size in args.machines:
        columns = {way: measure(size, way, args.seed, args.share) for way in args.ways}
        print(f"{f'{size} machines':<38}" + "".join(f"{way:>10}" for way in columns))
        for row in next(iter(columns.values())):
            print(f"{row:<38}" + "".join(f"{column[row]:>10}" for column in columns.values()), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
