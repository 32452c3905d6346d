"""What lending is worth under a load of replicas that swings: the pure plan on machines full of fine-tuning.

    python3 tools/bench_lending.py [--machines 18] [--period 60] [--minutes 20] [--seed 1] [--keep 120]

Machines of eight GPUs in three zones; fine-tuning of one GPU a task, 5 to 60 minutes long, always waits for room;
replicas of two models come and go with a load that swings from the third minute on, apart, within their team's
guarantee of half of all GPUs. Compared: no lending (replicas wait for room that comes free), naive (the youngest tasks
anywhere, at once, no memory), and the package (``CapacityLender``, ``preemption.select_victims`` and ``GpuReserve``).
Ideal network: a stop takes its saving and a report of up to 3 s, a start its image. Simulated; figures are for
comparison with each other.
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

from alderbridge.claims.records import PreemptionsSpent
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
from alderbridge.preemption import CandidateMachine, PreemptionBudget, Teams, Victim
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


def spec(name: str, **more) -> JobSpec:
    return JobSpec(id=name, cpus=4.0, gpus=1.0, memory_gb=64.0, **more)


class Task:
    """One task on a machine: fetching, running, saving."""

    def __init__(self, job: JobSpec, index: int, now: float, fetch_s: float, left_s: float) -> None:
        self.job, self.index, self.placed, self.runs_at, self.left = job, index, now, now + fetch_s, left_s
        self.gone_at = math.inf  # its place is free for others


class Bench:
    def __init__(self, args: argparse.Namespace, mode: str) -> None:
        self.mode, self.rng, self.now = mode, random.Random(args.seed), 0.0
        self.period, self.keep = args.period, args.keep
        self.kinds = {f"n-{i:03}": MachineKind("g8", ZONES[i % 3], False) for i in range(args.machines)}
        self.on: dict[str, list[Task]] = {name: [] for name in self.kinds}
        self.images: dict[str, set[str]] = {name: set() for name in self.kinds}
        most = args.machines * GPUS
        self.teams = [Team("maps", 0.0, 0.0, most / 2, 0.0), Team("vision", 0.0, 0.0, 0.0, 0.0)]
        text = LendingConfiguration(
            [ServingClass("maps", "llm")], [LendingClass("*", "tune", 20.0, 3, 1e9)], {}, most, most, args.keep
        )
        self.lender, self.reserve = CapacityLender([text], self.teams, {"g8": TYPE}), GpuReserve()
        self.models = {name: self.model(name, 1000) for name in ("wk-1", "wk-2")}
        self.tune = spec(
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
        self.asked: dict[str, list[float]] = {name: [] for name in self.models}  # since when each replica waits
        self.claimed: dict[str, Counter[str]] = {name: Counter() for name in self.kinds}  # machine -> job, until used
        self.back: list[tuple[float, int]] = []  # work left, times stopped: of tuning tasks that were stopped
        self.waits: list[float] = []
        self.stops: Counter[int] = Counter()
        self.lost = self.idle = self.tuned = self.plan_s = 0.0
        self.next = 0

    @staticmethod
    def model(name: str, tasks: int) -> JobSpec:
        return spec(
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

    def free(self, name: str) -> int:
        return GPUS - len(self.on[name])

    def load(self, model: str) -> int:
        """Replicas wanted now: one for two minutes, while tuning takes all, then a tenth to all of the guarantee."""
        if self.now < QUIET_S:
            return 1
        phase = math.sin(2 * math.pi * (self.now / self.period + (0.25 if model == "wk-2" else 0.0)))
        share = 0.55 + 0.45 * phase
        return max(1, int(share * self.teams[0].gpus / len(self.models)))

    def place(self, name: str, job: JobSpec, left_s: float) -> None:
        fetch = 0.0 if job.image in self.images[name] else job.image_gb / TYPE.fetch_gb_per_s
        self.images[name].add(job.image)
        self.next += 1
        self.on[name].append(Task(job, self.next, self.now, fetch, left_s))
        if job.service:
            # A replica starts when its machine has the image: one fetch serves all there.
            there = [task.runs_at for task in self.on[name] if task.job is job]
            self.on[name][-1].runs_at = max(self.on[name][-1].runs_at, min(there))
            self.waits.append(self.on[name][-1].runs_at + REPORT_S / 2 - self.asked[job.id].pop(0))

    def quota(self, job: JobSpec, zone: str) -> int:
        wanted = len(self.asked[job.id]) + sum(task.job is job for tasks in self.on.values() for task in tasks)
        return math.ceil(wanted / 2) - sum(
            task.job is job for name, tasks in self.on.items() if self.kinds[name].zone == zone for task in tasks
        )

    def stop(self, task: Task) -> None:
        ran = max(0.0, self.now - task.runs_at)
        saved = ran > 0.0
        self.lost += task.job.save_s * saved + min(self.now, task.runs_at) - task.placed  # and its fetch
        number = self.stops_of.pop(task.index, 0) + 1
        self.stops[number] += 1
        self.stops[number - 1] -= 1
        self.back.append((task.left - (ran if saved else 0.0), number))
        task.gone_at = self.now + (task.job.save_s if saved else 0.0) + self.rng.uniform(0.0, REPORT_S)

    def run(self, seconds: int) -> None:
        self.stops_of: dict[int, int] = {}
        for second in range(seconds):
            self.now = float(second)
            self.leave()
            self.swing()
            self.serve()
            if self.mode == "naive":
                self.naive()
            elif self.mode == "lending":
                began = time.process_time()
                self.lend()
                self.plan_s += time.process_time() - began
            self.fill()
            self.idle += sum(self.free(name) for name in self.kinds)

    def leave(self) -> None:
        for tasks in self.on.values():
            for task in list(tasks):
                ended = not task.job.service and task.gone_at == math.inf and self.now - task.runs_at >= task.left
                if ended:
                    self.stops_of.pop(task.index, None)
                self.tuned += task.job is self.tune and task.gone_at == math.inf and task.runs_at < self.now
                if ended or task.gone_at <= self.now:
                    tasks.remove(task)

    def swing(self) -> None:
        for model, job in self.models.items():
            running = [(name, task) for name, tasks in self.on.items() for task in tasks if task.job is job]
            change = self.load(model) - len(running) - len(self.asked[model])
            for _ in range(max(0, change)):
                self.asked[model].append(self.now)
            for _ in range(max(0, -change)):
                if self.asked[model]:
                    self.waits.append(self.now - self.asked[model].pop())  # wanted no more: it waited so long at least
                else:
                    name, task = running.pop()
                    self.on[name].remove(task)

    def serve(self) -> None:
        for job in self.models.values():
            names = sorted(
                self.kinds, key=lambda name, job=job: (-self.claimed[name][job.id], job.image not in self.images[name])
            )
            for name in names:
                spoken = sum(count for other, count in self.claimed[name].items() if other != job.id)
                while self.asked[job.id] and self.free(name) > spoken and self.quota(job, self.kinds[name].zone) > 0:
                    self.place(name, job, math.inf)
                    self.claimed[name][job.id] = max(0, self.claimed[name][job.id] - 1)
            if not self.asked[job.id]:
                for claimed in self.claimed.values():
                    claimed[job.id] = 0

    def fill(self) -> None:
        """Tuning takes what is free, less what is claimed or held."""
        held: dict[str, float] = {}
        if self.mode == "lending":
            used = sum(task.job.service for tasks in self.on.values() for task in tasks)
            wish = used + sum(map(len, self.asked.values()))
            self.reserve.record_use({"maps": min(wish, self.teams[0].gpus)}, self.now)
            kept = self.reserve.gpus("maps", 0.0, self.teams[0].gpus, used, self.keep, self.now)
            held = allocate_reserve(
                kept,
                [
                    FreeGpus(
                        name,
                        self.free(name) - sum(self.claimed[name].values()),
                        bool(self.images[name] & self.models.keys()),
                        any(task.job.service for task in self.on[name]),
                    )
                    for name in self.kinds
                ],
            )
        for name in self.kinds:
            while self.free(name) - sum(self.claimed[name].values()) - held.get(name, 0.0) >= 1:
                left, number = self.back.pop(0) if self.back else (self.rng.uniform(300.0, 3600.0), 0)
                self.place(name, self.tune, left)
                self.stops_of[self.next] = number

    def lendable(self, name: str) -> list[Task]:
        return [task for task in self.on[name] if task.job is self.tune and task.gone_at == math.inf]

    def naive(self) -> None:
        want = sum(map(len, self.asked.values())) - sum(sum(claimed.values()) for claimed in self.claimed.values())
        young = sorted(
            ((task.placed, name, task.index, task) for name in self.kinds for task in self.lendable(name)),
            key=lambda entry: (-entry[0], entry[2]),
        )
        for _, name, _, task in young[: max(0, want)]:
            model = next(iter(sorted(self.asked, key=lambda model: -len(self.asked[model]))))
            if self.quota(self.models[model], self.kinds[name].zone) > 0:
                self.claimed[name][model] += 1
                self.stop(task)

    def lend(self) -> None:
        lender = self.lender
        on = Counter(task.job.id for tasks in self.on.values() for task in tasks)
        promised: Counter[str] = Counter()
        for claimed in self.claimed.values():
            promised.update(claimed)
        services = []
        for model in self.models:
            waiting = len(self.asked[model])
            job = self.model(model, max(1, on[model] + waiting))
            services.append(ServingJob(job, on[model], waiting, waiting, 18.0, None, True, (False, -3, 18.0, model)))
        sites = {
            name: MachineContents(
                frozenset(self.images[name]), Counter(task.job.id for task in tasks if task.job.service)
            )
            for name, tasks in self.on.items()
        }
        lender.fleet.update(sites, {name: kind.zone for name, kind in self.kinds.items()})
        serving = sum(on[model] for model in self.models)
        used = {"maps": (4.0 * serving, float(serving)), "vision": (4.0 * on["wk-9"], float(on["wk-9"]))}
        lender.teams = Teams(self.teams, used)
        # A machine with a claim is left alone until its room is used, as in the desk.
        open_names = [name for name in self.kinds if not sum(self.claimed[name].values())]
        resources = [MachineResource(self.kinds[name], self.room(name), self.ends(name)) for name in open_names]
        needs = lender.demands(services, resources, used, promised)
        if not needs:
            return
        machines = [
            CandidateMachine(
                name,
                self.kinds[name],
                self.room(name),
                [
                    Victim(
                        "wk-9",
                        task.index,
                        1,
                        self.tune,
                        ran := max(0.0, self.now - task.runs_at),
                        ran % 30.0,
                        self.stops_of.get(task.index, 0),
                    )
                    for task in self.lendable(name)
                ],
            )
            for name in open_names
        ]
        groups = lender.select_victims(
            needs, machines, PreemptionBudget(PreemptionsSpent(), self.now, {}, 1000, lender.limit), 12
        )
        for group in groups:
            for name, claim in group.items():
                self.claimed[name][claim.job] += claim.count
                gone = {index for _, index, _ in claim.victims}
                for task in self.on[name]:
                    if task.index in gone:
                        self.stop(task)

    def room(self, name: str) -> tuple[float, float, float]:
        free = float(self.free(name))
        return 96.0 - 4.0 * (GPUS - free), 768.0 - 64.0 * (GPUS - free), free

    def ends(self, name: str) -> list[tuple[float, float, float, float]]:
        """By its estimate, as a part tells."""
        return [
            (max(0.0, 1800.0 - (self.now - task.runs_at)), 4.0, 64.0, 1.0)
            for task in self.on[name]
            if task.job is self.tune
        ]


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--machines", type=int, default=18)
    parser.add_argument("--period", type=float, default=60.0, help="of the swing, in s")
    parser.add_argument("--minutes", type=float, default=20.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--keep", type=float, default=120.0, help="keep_s of the declaration")
    args = parser.parse_args()
    print(
        f"{args.machines} machines of {GPUS} GPUs, swing of {args.period:g} s, {args.minutes:g} minutes, "
        f"keep {args.keep:g} s; simulated"
    )
    for mode in ("none", "naive", "lending"):
        bench = Bench(args, mode)
        bench.run(int(args.minutes * 60))
        waits = sorted(bench.waits + [bench.now - at for times in bench.asked.values() for at in times])
        count = max(1, len(waits))
        total = args.machines * GPUS * args.minutes * 60
        stops = sum(number * tasks for number, tasks in bench.stops.items() if number > 0)
        most = max([number for number, tasks in bench.stops.items() if tasks > 0 < number], default=0)
        print(
            f"{mode:8} replicas {len(waits)}: in 30 s {sum(w <= 30 for w in waits) / count:.3f}, in 90 s "
            f"{sum(w <= 90 for w in waits) / count:.3f}, p50 {waits[count // 2]:.0f} s, max {waits[-1]:.0f} s; "
            f"stops {stops}, most of one task {most}; of all GPU seconds lost {bench.lost / total:.4f}, idle "
            f"{bench.idle / total:.4f}, tuned {bench.tuned / total:.4f}; "
            f"planning {bench.plan_s * 1e3 / (args.minutes * 60):.2f} ms a second"
        )


if __name__ == "__main__":
    main()
