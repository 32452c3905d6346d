"""Measures the load when a calendar opens for waiting jobs, with and without spreading of the starts.

    python3 tools/bench_opening.py [--machines 100 300 635] [--jobs 300] [--load 0.5] [--warm 60] [--seed 1]

The simulation of ``bench_fall`` (ideal network, heartbeats every 3 s), with a calendar that opens at second 90 for a
class whose jobs were all submitted before. Compares orders and rentals per second with those before the opening.
Modes: "naive" without spreading, "spread", and "warm" with spreading and machines rented ahead of the opening.
"""

from __future__ import annotations

import argparse
import collections
import gc
import json
import logging
import sys
import time
from pathlib import Path

sys.path[:0] = [str(Path(__file__).resolve().parent)]

import bench_fall  # noqa: E402, I001
import bench_node as base  # noqa: E402

from alderbridge import settings  # noqa: E402
from alderbridge.protocol import wire  # noqa: E402
from alderbridge import constants  # noqa: E402
from alderbridge.calendars import CalendarConfiguration  # noqa: E402
from alderbridge.calendars.model import Calendar, CalendarRule  # noqa: E402

OPENING_AT_S, CALM_UNTIL_S, END_S = 90.0, 60.0, 240.0
base.OBJECTIVES.append(settings.Objective("finished", "opening", 200.0))


class OpeningBench(bench_fall.CrashBench):
    def __init__(self, args: argparse.Namespace, machines: int, spread_s: float, warm_up_s: float) -> None:
        self.class_starts: collections.Counter[int] = collections.Counter()  # second -> tasks of the class started
        self.seen_tasks: set[str] = set()
        self.rentals_by_second: collections.Counter[int] = collections.Counter()
        self.first_start: dict[str, float] = {}  # job of the class -> time of its first start
        super().__init__(machines, args.load, args.seed)
        self.machine_limit = 2 * machines  # capacity of the cloud
        configuration = CalendarConfiguration(
            [Calendar("c", "UTC", [[(0, 1440)]] * 7, [(0, [(int(OPENING_AT_S // 60), 1440)])])],
            [CalendarRule("*", "opening", "c", warm_up_s=warm_up_s, spread_s=spread_s)],
        )
        # Calendars open on whole minutes; the offset maps that minute to simulated second OPENING_AT_S.
        self.clock_offset_s = int(OPENING_AT_S // 60) * 60 - OPENING_AT_S
        for core in self.controllers.values():
            core.calendars.apply([configuration])
            gate = core.calendars.gate
            gate.clock = lambda core=core: core.state.now + self.clock_offset_s
        for number in range(args.jobs):
            self.schedule(5.0 + 50.0 * number / args.jobs, self.submit_opening_job, number, args.tasks)

    def submit_opening_job(self, number: int, tasks: int) -> None:
        spec = wire.parse_job(
            json.dumps(
                {
                    "id": f"wk-9{number:05d}",
                    "workload": "opening",
                    "owner": self.user_rng.choice(base.TEAMS).name,
                    "shape": "sweep",
                    "urgency": "high",
                    "parts": tasks,
                    "vcpus": 2.0,
                    "accelerators": 0.0,
                    "mem_gb": 4.0,
                    "bundle": f"even-{number % 6}",
                    "image_gb": 1.5,
                    "together": False,
                    "apart": False,
                    "standby": True,
                    "expected_s": 25.0,
                    "snapshot_every_s": 0.0,
                    "snapshot_s": 0.0,
                }
            ).encode()
        )
        self.submit_to(self.user_rng.choice(base.LABELS), spec)

    def run_leader(self, label: str) -> None:
        rented_before = self.rented_machines
        super().run_leader(label)
        self.rentals_by_second[int(self.now)] += self.rented_machines - rented_before

    def send_heartbeat(self, worker) -> None:
        super().send_heartbeat(worker)
        for task_id in worker.tasks:
            if task_id.startswith("wk-9") and task_id not in self.seen_tasks:
                self.seen_tasks.add(task_id)
                self.class_starts[int(self.now)] += 1
                self.first_start.setdefault(task_id.partition("/")[0], self.now)


def measure(args: argparse.Namespace, machines: int, spread_s: float, warm_up_s: float) -> dict[str, float]:
    bench = OpeningBench(args, machines, spread_s, warm_up_s)
    bench.run_until(OPENING_AT_S)
    cpu_s = time.process_time()
    bench.run_until(END_S)
    cpu_s = time.process_time() - cpu_s
    run_orders, class_starts, calm_seconds = (
        bench.orders["run"],
        bench.class_starts,
        range(int(CALM_UNTIL_S) - 20, int(CALM_UNTIL_S)),
    )
    opening_seconds = range(int(OPENING_AT_S), int(OPENING_AT_S) + 120)
    ended_tasks = [task_id for task_id in bench.ended_tasks if task_id.startswith("wk-9")]
    waits = sorted(started_at - OPENING_AT_S for started_at in bench.first_start.values())
    return {
        "run orders a second, calm": round(sum(run_orders[second] for second in calm_seconds) / len(calm_seconds), 1),
        "of the class, busiest second": max(class_starts[second] for second in opening_seconds),
        "mean of its busiest 10 s": round(
            max(sum(class_starts[second + n] for n in range(10)) for second in opening_seconds) / 10, 1
        ),
        "rentals a second, calm": round(
            sum(bench.rentals_by_second[second] for second in calm_seconds) / len(calm_seconds), 2
        ),
        "busiest second, warm-up on": max(
            bench.rentals_by_second[second] for second in range(int(OPENING_AT_S - args.warm), int(END_S))
        ),
        "machines rented, warm-up on": sum(
            bench.rentals_by_second[second] for second in range(int(OPENING_AT_S - args.warm), int(END_S))
        ),
        "jobs started of the class": len(waits),
        "first start, median, s": round(waits[len(waits) // 2], 1) if waits else float("nan"),
        "first start, last, s": round(waits[-1], 1) if waits else float("nan"),
        "started before the opening": sum(wait < 0 for wait in waits),
        "tasks ended by the end": len(ended_tasks),
        "cpu, s": round(cpu_s, 1),
    }


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--machines", type=int, nargs="+", default=[100, 300, 635])
    parser.add_argument("--jobs", type=int, default=300)
    parser.add_argument("--tasks", type=int, default=20)
    parser.add_argument("--load", type=float, default=0.5)
    parser.add_argument("--warm", type=float, default=60.0)
    parser.add_argument("--spread", type=float, default=constants.OPENING_SPREAD_S)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    logging.basicConfig(level=logging.CRITICAL)
    gc.set_threshold(*constants.GC_THRESHOLDS)
    for machines in args.machines:
        for mode, spread_s, warm_up_s in (
            ("naive", 0.0, 0.0),
            ("spread", args.spread, 0.0),
            ("warm", args.spread, args.warm),
        ):
            results = measure(args, machines, spread_s, warm_up_s)
            text = "; ".join(f"{name} {number}" for name, number in results.items())
            print(f"{machines} machines, {mode}: {text}", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
