"""Measures urgent bursts on a full fleet: without preemption, with claims, naive, and with a crash after the claims.

    python3 tools/bench_urgent.py [--machines 100 300 635] [--seed 1]

The simulation of ``bench_fall`` (ideal network, heartbeats every 3 s). Routine tasks of 60 to 180 s, 1.5 times the
capacity of the fleet; half of the jobs write a checkpoint every 30 s. From second 60 on, a burst every 30 s requests
8 % of the CPUs for small urgent tasks, and half of every tenth machine for large ones; urgent tasks run for 10 to 20 s.
Runs until all jobs have ended. Modes: "without" preemption; "claims", the service's preemption; "naive", which preempts
the youngest tasks of lower priority for all waiting urgent tasks at once, without limit; "fall", a crash of all
controllers just after the first claims.
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

import bench_fall
import bench_node as base

from alderbridge import constants
from alderbridge.preemption import PreemptionDemand, PreemptionLimit
from alderbridge.priorities import PriorityPolicy, parse
from alderbridge.protocol import wire
from alderbridge.protocol.keys import CLAIMS

OBJECTIVE_S, BURSTS_AT_S, MAX_END_S = 12.0, (60.0, 90.0, 120.0, 150.0), 900.0
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


class NaivePolicy(PriorityPolicy):
    """Preempts the youngest tasks at once, without waiting for capacity that becomes free and without limits."""

    def find_demands(self, planner, now):
        claimed_tasks, result = planner.claimed_tasks(), []
        for row in planner.queue_rows(now).values():
            spec = planner.leader.replica.spec(row.job)
            if spec is not None and self.may_preempt(spec) and row.offer > claimed_tasks[row.job]:
                result.append(PreemptionDemand(spec, row.offer - claimed_tasks[row.job], 0.0, self.reason, row.zone))
        return result

    def limit(self, demand):
        return PreemptionLimit(10**6, 10**6, 1.0)

    def victim_cost(self, victim):
        return victim.ran_s + 0.01

    def allowed(self, demand, victim):
        return self.preemptible(victim.spec) and demand.spec.rank > victim.spec.rank


class UrgentBench(bench_fall.CrashBench):
    def __init__(self, machines: int, seed: int, mode: str, share: float) -> None:
        self.mode, self.specs, self.planned_at = mode, {}, {}
        self.crashed = False
        self.halted: set[tuple[str, str, int]] = set()  # machine, task, attempt
        self.first_start: dict[str, float] = {}  # urgent task -> time of its first start
        self.remaining_s: dict[str, float] = {}  # task -> remaining run time in s
        self.work_lost, self.stop_count = 0.0, 0
        self.done_at: dict[str, float] = {}
        parser = configparser.ConfigParser(interpolation=None)
        parser.read_string(INI.format(share=share))
        self.policy = parse(parser, "bench")
        base.JOB_CLASSES, self.job_count = [], 0
        super().__init__(machines, 1.0, seed)
        for core in self.controllers.values():
            self.configure_preemption(core)
        slots, job_rng = machines * 8, random.Random(seed)
        while slots * 1.5 > sum(spec.tasks for spec in self.specs.values()):
            tasks = min(40, max(4, slots // 40))
            self.schedule_job(job_rng.uniform(0.5, 3.0), "even", "standard", tasks, 4.0, 120.0, job_rng.random() < 0.5)
        for burst_at in BURSTS_AT_S:
            for _ in range(4):
                self.schedule_job(burst_at, "soon", "high", max(1, round(slots * 0.02)), 4.0, 15.0, False)
            self.schedule_job(burst_at, "soon", "high", max(1, machines // 10), 16.0, 15.0, False)

    def configure_preemption(self, core) -> None:
        if self.mode != "without":
            core.preemption.priority_configurations = lambda now: [self.policy]
        if self.mode == "naive":
            core.preemption.priority_policy = NaivePolicy([self.policy])

    def restart(self, label: str) -> None:
        super().restart(label)
        self.configure_preemption(self.controllers[label])

    def schedule_job(
        self,
        submit_at: float,
        job_class: str,
        priority: str,
        tasks: int,
        cpus: float,
        run_s: float,
        writes_checkpoints: bool,
    ) -> None:
        self.job_count += 1
        spec = wire.JobSpec(
            id=f"wk-{self.job_count:06d}",
            job_class=job_class,
            team=f"team-{self.job_count % 4}",
            kind="sweep",
            priority=priority,
            tasks=tasks,
            cpus=cpus,
            memory_gb=1.0,
            image="i",
            image_gb=1.0,
            estimate_s=run_s,
            checkpoint_s=30.0 if writes_checkpoints else 0.0,
            save_s=3.0 if writes_checkpoints else 0.0,
            spot=True,
        )
        self.specs[spec.id], self.planned_at[spec.id] = spec, submit_at
        self.schedule(submit_at, self.submit_to, base.LABELS[self.job_count % 5], spec)

    def commit(self, conditions, puts, drops) -> int:
        revision = super().commit(conditions, puts, drops)
        if revision and self.mode == "fall" and not self.crashed and any(key.startswith(CLAIMS) for key in puts):
            self.crashed = True
            self.schedule(self.now + 0.3, self.crash_all, 4.0, 0.0)
        return revision

    def run_s(self, task_id: str) -> float:
        spec = self.specs[wire.split_task_id(task_id)[0]]
        if spec.priority == "high":
            self.first_start.setdefault(task_id, self.now)
        run_s = (
            random.Random(task_id).uniform(0.5, 1.5) * spec.estimate_s
            if spec.priority != "high"
            else (random.Random(task_id).uniform(10.0, 20.0))
        )
        return self.remaining_s.setdefault(task_id, run_s)

    def stop_task(self, worker, task_id: str, order: dict) -> None:
        spec, task = self.specs[wire.split_task_id(task_id)[0]], worker.tasks[task_id]
        if task[1] != "running" or task[2] <= self.now:
            return
        remaining_s = task[2] - self.now
        self.stop_count += 1
        if spec.checkpoint_s and order["wind_down_s"] >= spec.save_s:
            self.remaining_s[task_id] = remaining_s
            self.work_lost += spec.save_s * spec.cpus
            task[1], task[2] = "saving", self.now + spec.save_s
            return
        self.work_lost += (self.remaining_s[task_id] - remaining_s) * spec.cpus
        self.end_halted(worker, task_id)

    def end_halted(self, worker, task_id: str) -> None:
        super().stop_task(worker, task_id, {})
        self.halted.add((worker.name, task_id, worker.tasks[task_id][0]))

    def heartbeat_fields(self, worker) -> dict:
        for task_id, task in worker.tasks.items():
            if task[1] == "saving" and task[2] <= self.now:
                self.end_halted(worker, task_id)
        heartbeat = super().heartbeat_fields(worker)
        for reported in heartbeat["parts"]:
            if (worker.name, reported["part"], reported["try"]) in self.halted:
                reported["cause"] = "halted"
        return heartbeat

    def is_finished(self) -> bool:
        ended = next((core.replica.ended for core in self.controllers.values() if core is not None), {})
        for job in self.specs:
            if job in ended and job not in self.done_at:
                self.done_at[job] = self.now
        return len(self.done_at) == len(self.specs)


def measure(machines: int, mode: str, seed: int, share: float) -> dict[str, float]:
    bench = UrgentBench(machines, seed, mode, share)
    cpu_start = time.process_time()
    while bench.now < MAX_END_S and not bench.is_finished():
        bench.run_until(bench.now + 1.0)
    waits = sorted(
        started_at - bench.planned_at[wire.split_task_id(task_id)[0]]
        for task_id, started_at in bench.first_start.items()
    )
    urgent_tasks = sum(spec.tasks for spec in bench.specs.values() if spec.priority == "high")
    routine_times = [
        done_at - bench.planned_at[job] for job, done_at in bench.done_at.items() if bench.specs[job].priority != "high"
    ]
    return {
        "urgent tasks started in 12 s, share": round(sum(wait <= OBJECTIVE_S for wait in waits) / urgent_tasks, 3),
        "their wait, p50, s": round(statistics.median(waits), 1),
        "p90, s": round(waits[int(len(waits) * 0.9)], 1),
        "max, s": round(waits[-1], 1),
        "tasks stopped": bench.stop_count,
        "work lost, CPU s a machine": round(bench.work_lost / machines, 1),
        "routine jobs, mean end, s": round(statistics.mean(routine_times), 1),
        "all ended at, s": round(max(bench.done_at.values()), 0) if len(bench.done_at) == len(bench.specs) else -1,
        "claims left": sum(key.startswith(CLAIMS) for key in bench.data),
        "ran twice": bench.duplicate_starts,
        "machines rented": bench.rented_machines,
        "processor time, s": round(time.process_time() - cpu_start, 1),
    }


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--machines", type=int, nargs="+", default=[100, 300, 635])
    parser.add_argument("--ways", nargs="+", default=["without", "claims", "naive", "fall"])
    parser.add_argument(
        "--share", type=float, default=0.05, help="maximum share of running tasks preempted by a class at a time"
    )
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    logging.basicConfig(level=logging.ERROR)
    gc.set_threshold(*constants.GC_THRESHOLDS)
    for machines in args.machines:
        columns = {mode: measure(machines, mode, args.seed, args.share) for mode in args.ways}
        print(f"{f'{machines} machines':<38}" + "".join(f"{mode:>10}" for mode in columns))
        for row in next(iter(columns.values())):
            print(f"{row:<38}" + "".join(f"{column[row]:>10}" for column in columns.values()), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
