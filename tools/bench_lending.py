"""Measures GPU lending under an oscillating load of model replicas on machines full of fine-tuning tasks.

    python3 tools/bench_lending.py [--machines 18] [--period 60] [--minutes 20] [--seed 1] [--keep 120]

Machines of eight GPUs in three zones. There are always fine-tuning tasks waiting, of one GPU and 5 to 60 minutes each.
The number of replicas of two models oscillates from the third minute on, out of phase, within their team's guarantee of
half of all GPUs. Modes: "none" (replicas wait for free GPUs), "naive" (preempts the youngest tasks on any machine at
once) and "lending" (``CapacityLender``, ``preemption.select_victims`` and ``GpuReserve``). Ideal network: a preemption
takes the time to save plus up to one heartbeat interval of 3 s, a start the time to fetch the image. The results serve
to compare the modes with each other.
"""

from __future__ import annotations

import argparse
import math
import random
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from alderbridge.claims.records import PreemptionUsage
from alderbridge.lending import (
    CapacityLender,
    GpuReserve,
    LendingClass,
    LendingConfiguration,
    ServingClass,
    ServingJob,
    allocate_reserve,
)
from alderbridge.lending.fleet import MachineContents
from alderbridge.lending.reserve import FreeGpus
from alderbridge.preemption import CandidateMachine, GuaranteeUsage, PreemptionBudget, Victim
from alderbridge.protocol.wire import JobSpec, MachineType
from alderbridge.scheduling.demand import MachineKind, MachineResource
from alderbridge.settings import Team

ZONES, GPUS, REPORT_S, QUIET_S = ["a", "b", "c"], 8, 3.0, 120.0
TYPE = MachineType(
    name="g8",
    cpus=96.0,
    memory_gb=768.0,
    gpus=8.0,
    price=12.0,
    boot_s=45.0,
    cache_gb=200.0,
    fetch_gb_per_s=1.0,
    zones=ZONES,
)


def make_spec(name: str, **more) -> JobSpec:
    return JobSpec(id=name, cpus=4.0, gpus=1.0, memory_gb=64.0, **more)


class Task:
    """A task on a machine, whether it fetches its image, runs or saves its progress."""

    def __init__(self, job: JobSpec, index: int, now: float, fetch_s: float, remaining_s: float) -> None:
        self.job, self.index, self.placed_at, self.runs_from, self.remaining_s = (
            job,
            index,
            now,
            now + fetch_s,
            remaining_s,
        )
        self.freed_at = math.inf  # when its GPU becomes free


class Bench:
    def __init__(self, args: argparse.Namespace, mode: str) -> None:
        self.mode, self.rng, self.now = mode, random.Random(args.seed), 0.0
        self.period_s, self.retention_s = args.period, args.keep
        self.machine_kinds = {f"n-{i:03}": MachineKind("g8", ZONES[i % 3], False) for i in range(args.machines)}
        self.tasks_on: dict[str, list[Task]] = {name: [] for name in self.machine_kinds}
        self.images: dict[str, set[str]] = {name: set() for name in self.machine_kinds}
        total_gpus = args.machines * GPUS
        self.teams = [Team("maps", 0.0, 0.0, total_gpus / 2, 0.0), Team("vision", 0.0, 0.0, 0.0, 0.0)]
        configuration = LendingConfiguration(
            [ServingClass("maps", "llm")],
            [LendingClass("*", "tune", 20.0, 3, 1e9)],
            {},
            total_gpus,
            total_gpus,
            args.keep,
        )
        self.lender, self.reserve = CapacityLender([configuration], self.teams, {"g8": TYPE}), GpuReserve()
        self.models = {name: self.serving_job(name, 1000) for name in ("wk-1", "wk-2")}
        self.tuning_job = make_spec(
            "wk-9",
            job_class="tune",
            team="vision",
            kind="sweep",
            priority="standard",
            tasks=100_000,
            image="tune",
            image_gb=6.0,
            estimate_s=1800.0,
            checkpoint_s=30.0,
            save_s=5.0,
        )
        # model -> when each waiting replica began to wait
        self.waiting_since: dict[str, list[float]] = {name: [] for name in self.models}
        # machine -> model -> claimed GPUs
        self.claimed: dict[str, Counter[str]] = {name: Counter() for name in self.machine_kinds}
        self.requeued: list[tuple[float, int]] = []  # preempted tuning tasks: remaining run time, preemptions
        self.waits: list[float] = []
        self.tasks_by_stops: Counter[int] = Counter()
        self.lost_gpu_s = self.idle_gpu_s = self.tuned_gpu_s = self.planning_s = 0.0
        self.last_index = 0

    @staticmethod
    def serving_job(name: str, tasks: int) -> JobSpec:
        return make_spec(
            name,
            job_class="llm",
            team="maps",
            kind="standing",
            priority="production",
            tasks=tasks,
            image=name,
            image_gb=20.0,
            estimate_s=0.0,
            spread=True,
        )

    def free_gpus(self, name: str) -> int:
        return GPUS - len(self.tasks_on[name])

    def wanted_replicas(self, model: str) -> int:
        """Replicas wanted now: one for QUIET_S, while tuning fills all GPUs, then 10 to 100 % of the guarantee."""
        if self.now < QUIET_S:
            return 1
        phase = math.sin(2 * math.pi * (self.now / self.period_s + (0.25 if model == "wk-2" else 0.0)))
        share = 0.55 + 0.45 * phase
        return max(1, int(share * self.teams[0].gpus / len(self.models)))

    def start_task(self, name: str, job: JobSpec, remaining_s: float) -> None:
        fetch_s = 0.0 if job.image in self.images[name] else job.image_gb / TYPE.fetch_gb_per_s
        self.images[name].add(job.image)
        self.last_index += 1
        self.tasks_on[name].append(Task(job, self.last_index, self.now, fetch_s, remaining_s))
        if job.service:
            # Replicas of a model on the same machine share one fetch of its image.
            local_starts = [task.runs_from for task in self.tasks_on[name] if task.job is job]
            self.tasks_on[name][-1].runs_from = max(self.tasks_on[name][-1].runs_from, min(local_starts))
            self.waits.append(self.tasks_on[name][-1].runs_from + REPORT_S / 2 - self.waiting_since[job.id].pop(0))

    def zone_quota(self, job: JobSpec, zone: str) -> int:
        wanted = len(self.waiting_since[job.id]) + sum(
            task.job is job for tasks in self.tasks_on.values() for task in tasks
        )
        return math.ceil(wanted / 2) - sum(
            task.job is job
            for name, tasks in self.tasks_on.items()
            if self.machine_kinds[name].zone == zone
            for task in tasks
        )

    def preempt(self, task: Task) -> None:
        ran_s = max(0.0, self.now - task.runs_from)
        saved = ran_s > 0.0
        self.lost_gpu_s += (
            task.job.save_s * saved + min(self.now, task.runs_from) - task.placed_at
        )  # saving and fetching
        stop_count = self.stops_by_task.pop(task.index, 0) + 1
        self.tasks_by_stops[stop_count] += 1
        self.tasks_by_stops[stop_count - 1] -= 1
        self.requeued.append((task.remaining_s - (ran_s if saved else 0.0), stop_count))
        task.freed_at = self.now + (task.job.save_s if saved else 0.0) + self.rng.uniform(0.0, REPORT_S)

    def run(self, seconds: int) -> None:
        self.stops_by_task: dict[int, int] = {}
        for second in range(seconds):
            self.now = float(second)
            self.remove_ended()
            self.adjust_replicas()
            self.start_replicas()
            if self.mode == "naive":
                self.preempt_youngest()
            elif self.mode == "lending":
                started_at = time.process_time()
                self.plan_lending()
                self.planning_s += time.process_time() - started_at
            self.start_tuning()
            self.idle_gpu_s += sum(self.free_gpus(name) for name in self.machine_kinds)

    def remove_ended(self) -> None:
        for tasks in self.tasks_on.values():
            for task in list(tasks):
                ended = (
                    not task.job.service and task.freed_at == math.inf and self.now - task.runs_from >= task.remaining_s
                )
                if ended:
                    self.stops_by_task.pop(task.index, None)
                self.tuned_gpu_s += (
                    task.job is self.tuning_job and task.freed_at == math.inf and task.runs_from < self.now
                )
                if ended or task.freed_at <= self.now:
                    tasks.remove(task)

    def adjust_replicas(self) -> None:
        for model, job in self.models.items():
            running = [(name, task) for name, tasks in self.tasks_on.items() for task in tasks if task.job is job]
            change = self.wanted_replicas(model) - len(running) - len(self.waiting_since[model])
            for _ in range(max(0, change)):
                self.waiting_since[model].append(self.now)
            for _ in range(max(0, -change)):
                if self.waiting_since[model]:
                    self.waits.append(
                        self.now - self.waiting_since[model].pop()
                    )  # no longer wanted; counts as a wait so far
                else:
                    name, task = running.pop()
                    self.tasks_on[name].remove(task)

    def start_replicas(self) -> None:
        for job in self.models.values():
            names = sorted(
                self.machine_kinds,
                key=lambda name, job=job: (-self.claimed[name][job.id], job.image not in self.images[name]),
            )
            for name in names:
                claimed_by_others = sum(count for other, count in self.claimed[name].items() if other != job.id)
                while (
                    self.waiting_since[job.id]
                    and self.free_gpus(name) > claimed_by_others
                    and self.zone_quota(job, self.machine_kinds[name].zone) > 0
                ):
                    self.start_task(name, job, math.inf)
                    self.claimed[name][job.id] = max(0, self.claimed[name][job.id] - 1)
            if not self.waiting_since[job.id]:
                for claimed in self.claimed.values():
                    claimed[job.id] = 0

    def start_tuning(self) -> None:
        """Starts tuning tasks on GPUs that are free and neither claimed nor reserved."""
        reserved_on: dict[str, float] = {}
        if self.mode == "lending":
            used_gpus = sum(task.job.service for tasks in self.tasks_on.values() for task in tasks)
            wanted_gpus = used_gpus + sum(map(len, self.waiting_since.values()))
            self.reserve.record_use({"maps": min(wanted_gpus, self.teams[0].gpus)}, self.now)
            reserved_gpus = self.reserve.gpus_to_reserve(
                "maps", 0.0, self.teams[0].gpus, used_gpus, self.retention_s, self.now
            )
            reserved_on = allocate_reserve(
                reserved_gpus,
                [
                    FreeGpus(
                        name,
                        self.free_gpus(name) - sum(self.claimed[name].values()),
                        bool(self.images[name] & self.models.keys()),
                        any(task.job.service for task in self.tasks_on[name]),
                    )
                    for name in self.machine_kinds
                ],
            )
        for name in self.machine_kinds:
            while self.free_gpus(name) - sum(self.claimed[name].values()) - reserved_on.get(name, 0.0) >= 1:
                remaining_s, stop_count = (
                    self.requeued.pop(0) if self.requeued else (self.rng.uniform(300.0, 3600.0), 0)
                )
                self.start_task(name, self.tuning_job, remaining_s)
                self.stops_by_task[self.last_index] = stop_count

    def preemptible_tasks(self, name: str) -> list[Task]:
        return [task for task in self.tasks_on[name] if task.job is self.tuning_job and task.freed_at == math.inf]

    def preempt_youngest(self) -> None:
        missing = sum(map(len, self.waiting_since.values())) - sum(
            sum(claimed.values()) for claimed in self.claimed.values()
        )
        candidates = sorted(
            (
                (task.placed_at, name, task.index, task)
                for name in self.machine_kinds
                for task in self.preemptible_tasks(name)
            ),
            key=lambda entry: (-entry[0], entry[2]),
        )
        for _, name, _, task in candidates[: max(0, missing)]:
            model = next(iter(sorted(self.waiting_since, key=lambda model: -len(self.waiting_since[model]))))
            if self.zone_quota(self.models[model], self.machine_kinds[name].zone) > 0:
                self.claimed[name][model] += 1
                self.preempt(task)

    def plan_lending(self) -> None:
        lender = self.lender
        running_by_job = Counter(task.job.id for tasks in self.tasks_on.values() for task in tasks)
        claimed_tasks: Counter[str] = Counter()
        for claimed in self.claimed.values():
            claimed_tasks.update(claimed)
        services = []
        for model in self.models:
            waiting = len(self.waiting_since[model])
            job = self.serving_job(model, max(1, running_by_job[model] + waiting))
            services.append(
                ServingJob(job, running_by_job[model], waiting, waiting, 18.0, None, True, (False, -3, 18.0, model))
            )
        contents = {
            name: MachineContents(
                frozenset(self.images[name]), Counter(task.job.id for task in tasks if task.job.service)
            )
            for name, tasks in self.tasks_on.items()
        }
        lender.fleet.update(contents, {name: kind.zone for name, kind in self.machine_kinds.items()})
        serving = sum(running_by_job[model] for model in self.models)
        used_by_team = {
            "maps": (4.0 * serving, float(serving)),
            "vision": (4.0 * running_by_job["wk-9"], float(running_by_job["wk-9"])),
        }
        lender.teams = GuaranteeUsage(self.teams, used_by_team)
        # Skips machines with unused claims, as ``PreemptionPlanner`` does.
        open_names = [name for name in self.machine_kinds if not sum(self.claimed[name].values())]
        resources = [
            MachineResource(self.machine_kinds[name], self.free_capacity(name), self.expected_ends(name))
            for name in open_names
        ]
        demands = lender.unserved_demands(services, resources, used_by_team, claimed_tasks)
        if not demands:
            return
        machines = [
            CandidateMachine(
                name,
                self.machine_kinds[name],
                self.free_capacity(name),
                [
                    Victim(
                        "wk-9",
                        task.index,
                        1,
                        self.tuning_job,
                        ran_s := max(0.0, self.now - task.runs_from),
                        ran_s % 30.0,
                        self.stops_by_task.get(task.index, 0),
                    )
                    for task in self.preemptible_tasks(name)
                ],
            )
            for name in open_names
        ]
        groups = lender.select_victims(
            demands, machines, PreemptionBudget(PreemptionUsage(), self.now, {}, 1000, lender.limit), 12
        )
        for group in groups:
            for name, claim in group.items():
                self.claimed[name][claim.job] += claim.count
                preempted = {index for _, index, _ in claim.victims}
                for task in self.tasks_on[name]:
                    if task.index in preempted:
                        self.preempt(task)

    def free_capacity(self, name: str) -> tuple[float, float, float]:
        free_gpus = float(self.free_gpus(name))
        return 96.0 - 4.0 * (GPUS - free_gpus), 768.0 - 64.0 * (GPUS - free_gpus), free_gpus

    def expected_ends(self, name: str) -> list[tuple[float, float, float, float]]:
        """Expected ends of the tuning tasks by their estimate: time left, CPUs, memory in GB, GPUs."""
        return [
            (max(0.0, 1800.0 - (self.now - task.runs_from)), 4.0, 64.0, 1.0)
            for task in self.tasks_on[name]
            if task.job is self.tuning_job
        ]


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--machines", type=int, default=18)
    parser.add_argument("--period", type=float, default=60.0, help="period of the oscillation in s")
    parser.add_argument("--minutes", type=float, default=20.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--keep", type=float, default=120.0, help="keep_s of the lending configuration")
    args = parser.parse_args()
    print(
        f"{args.machines} machines of {GPUS} GPUs, load period of {args.period:g} s, {args.minutes:g} minutes, "
        f"keep {args.keep:g} s; simulated"
    )
    for mode in ("none", "naive", "lending"):
        bench = Bench(args, mode)
        bench.run(int(args.minutes * 60))
        waits = sorted(bench.waits + [bench.now - since for starts in bench.waiting_since.values() for since in starts])
        count = max(1, len(waits))
        total = args.machines * GPUS * args.minutes * 60
        stops = sum(number * tasks for number, tasks in bench.tasks_by_stops.items() if number > 0)
        max_stops = max([number for number, tasks in bench.tasks_by_stops.items() if tasks > 0 < number], default=0)
        print(
            f"{mode:8} replicas {len(waits)}: in 30 s {sum(wait <= 30 for wait in waits) / count:.3f}, in 90 s "
            f"{sum(wait <= 90 for wait in waits) / count:.3f}, p50 {waits[count // 2]:.0f} s, max {waits[-1]:.0f} s; "
            f"stops {stops}, most of one task {max_stops}; of all GPU seconds lost {bench.lost_gpu_s / total:.4f}, "
            f"idle {bench.idle_gpu_s / total:.4f}, tuned {bench.tuned_gpu_s / total:.4f}; "
            f"planning {bench.planning_s * 1e3 / (args.minutes * 60):.2f} ms a second"
        )


if __name__ == "__main__":
    main()
