"""The opening hour: jobs that have waited for one calendar, at several fleet sizes, with and without spreading.

    python3 tools/bench_opening.py [--machines 100 300 635] [--jobs 300] [--load 0.5] [--warm 60] [--seed 1]

The world of ``bench_fall`` (ideal network, machines that report every 3 s), with a calendar that opens at second 90
for one class of which all jobs have been handed in before. "naive": no spreading, all times count from the opening.
Simulated machines; orders and rentals by the second, against the calm seconds before.
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

OPENS, CALM, UNTIL = 90.0, 60.0, 240.0
base.OBJECTIVES.append(settings.Objective("finished", "opening", 200.0))


class OpeningBench(bench_fall.FallBench):
    def __init__(self, args: argparse.Namespace, machines: int, spread_s: float, warm_s: float) -> None:
        self.ours: collections.Counter[int] = collections.Counter()  # second -> tasks of the class that began
        self.seen: set[str] = set()
        self.rented_machines: collections.Counter[int] = collections.Counter()
        self.first: dict[str, float] = {}  # job of the class -> its first start
        super().__init__(machines, args.load, args.seed)
        self.size = 2 * machines  # that the cloud has
        text = CalendarConfiguration(
            [Calendar("c", "UTC", [[(0, 1440)]] * 7, [(0, [(int(OPENS // 60), 1440)])])],
            [CalendarRule("*", "opening", "c", warm_up_s=warm_s, spread_s=spread_s)],
        )
        # The bench's time of day: the calendar opens at a whole minute, which is second 90 here.
        self.offset = int(OPENS // 60) * 60 - OPENS
        for core in self.nodes.values():
            core.calendars.apply([text])
            gate = core.calendars.gate
            gate.clock = lambda core=core: core.state.now + self.offset
        for number in range(args.jobs):
            self.at(5.0 + 50.0 * number / args.jobs, self.opening_job, number, args.tasks)

    def opening_job(self, number: int, tasks: int) -> None:
        spec = wire.parse_job(
            json.dumps(
                {
                    "id": f"wk-9{number:05d}",
                    "workload": "opening",
                    "owner": self.users.choice(base.TEAMS).name,
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
        self.hand_in(self.users.choice(base.LABELS), spec)

    def lead(self, label: str) -> None:
        before = self.rented
        super().lead(label)
        self.rented_machines[int(self.now)] += self.rented - before

    def report(self, worker) -> None:
        super().report(worker)
        for part in worker.tasks:
            if part.startswith("wk-9") and part not in self.seen:
                self.seen.add(part)
                self.ours[int(self.now)] += 1
                self.first.setdefault(part.partition("/")[0], self.now)


def measure(args: argparse.Namespace, size: int, spread_s: float, warm_s: float) -> dict[str, float]:
    bench = OpeningBench(args, size, spread_s, warm_s)
    bench.play(OPENS)
    spent = time.process_time()
    bench.play(UNTIL)
    spent = time.process_time() - spent
    runs, ours, calm = bench.orders["run"], bench.ours, range(int(CALM) - 20, int(CALM))
    after = range(int(OPENS), int(OPENS) + 120)
    ends = [part for part in bench.ended if part.startswith("wk-9")]
    waits = sorted(at - OPENS for at in bench.first.values())
    return {
        "run orders a second, calm": round(sum(runs[s] for s in calm) / len(calm), 1),
        "of the class, busiest second": max(ours[s] for s in after),
        "mean of its busiest 10 s": round(max(sum(ours[s + n] for n in range(10)) for s in after) / 10, 1),
        "rentals a second, calm": round(sum(bench.rented_machines[s] for s in calm) / len(calm), 2),
        "busiest second, warm-up on": max(bench.rented_machines[s] for s in range(int(OPENS - args.warm), int(UNTIL))),
        "machines rented, warm-up on": sum(bench.rented_machines[s] for s in range(int(OPENS - args.warm), int(UNTIL))),
        "jobs started of the class": len(waits),
        "first start, median, s": round(waits[len(waits) // 2], 1) if waits else float("nan"),
        "first start, last, s": round(waits[-1], 1) if waits else float("nan"),
        "started before the opening": sum(wait < 0 for wait in waits),
        "tasks ended by the end": len(ends),
        "cpu, s": round(spent, 1),
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
    for size in args.machines:
        for mode, spread_s, warm_s in (
            ("naive", 0.0, 0.0),
            ("spread", args.spread, 0.0),
            ("warm", args.spread, args.warm),
        ):
            found = measure(args, size, spread_s, warm_s)
            figures = "; ".join(f"{name} {number}" for name, number in found.items())
            print(f"{size} machines, {mode}: {figures}", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
