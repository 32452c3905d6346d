"""Runs ``bench_node`` at several sizes and fits how its results grow with each size.

    python3 tools/bench_node.py --grid docs/capacity.json [--jobs 3] [--seconds 30]

Three sweeps change one size each: machines, controllers or teams. A line is fitted by least squares to all points of a
sweep but the last; the prediction for the last one is compared with its result. Each point runs in its own process.
"""

from __future__ import annotations

import argparse
import gc
import json
import logging
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path

import bench_node
import left_out_fit
import numpy

from alderbridge import constants

LOAD = 1.5  # a full fleet
SEED = 1
WAIT_PERCENTILES = (50, 90, 99)


@dataclass(frozen=True)
class Point:
    """A size to run."""

    controllers: int
    machines: int
    teams: int


@dataclass(frozen=True)
class Sweep:
    """Points that differ in one size; the last one is left out of the fit."""

    name: str
    count: str  # the field of ``Point`` that differs
    points: list[Point]


SWEEPS = [
    Sweep("machines", "machines", [Point(16, machines, 620) for machines in (635, 1200, 2400, 3600)]),
    Sweep("controllers", "controllers", [Point(controllers, 635, 620) for controllers in (5, 8, 12, 16)]),
    Sweep("teams", "teams", [Point(16, 635, teams) for teams in (4, 62, 248, 620)]),
]
OTHERS = [Point(5, 635, 4), Point(5, 3600, 4), Point(16, 3600, 4)]
FITTED = [
    "starts_a_second",
    "cores",
    "leader_cores",
    "largest_other_cores",
    "store_changes_a_second",
    "sent_kib_a_second",
    "leader_received_kib_a_second",
    "reports_a_second",
    "report_bytes",
    "answer_bytes",
]


def play_point(point: Point, seconds: float) -> dict:
    """Runs one point in this process; returns its row of the results."""
    logging.basicConfig(level=logging.ERROR)
    gc.freeze()  # as the service does
    gc.set_threshold(*constants.GC_THRESHOLDS)
    args = argparse.Namespace(
        load=LOAD, seed=SEED, profile=None, controllers=point.controllers, teams=point.teams, seconds=seconds
    )
    result = bench_node.summarize(bench_node.run_bench(point.machines, args), seconds)
    waits = result.pop("waits_s")
    result["wait_s"] = {
        f"p{share}": float(value)
        for share, value in zip(WAIT_PERCENTILES, numpy.percentile(waits or [0.0], WAIT_PERCENTILES), strict=True)
    }
    for total, kinds in (("sent", result["sent"]), ("leader_received", result["leader_received"])):
        result[f"{total}_kib_a_second"] = sum(kind["bytes"] for kind in kinds.values()) / seconds / 1024
    return result


def fit(sweep: Sweep, rows: dict[Point, dict], name: str) -> dict:
    """The line through all points but the last, and its prediction for the last."""
    counts = [getattr(point, sweep.count) for point in sweep.points]
    values = [rows[point][name] for point in sweep.points]
    line = left_out_fit.fit(counts, values)
    return {"sweep": sweep.name, "value": name, "counts": counts, "values": values, **line._asdict()}


def print_points(rows: dict[Point, dict]) -> None:
    """Prints one line per point."""
    print(
        "controllers machines teams | starts/s ms/start cores leader other | used reachable |"
        " sent KiB/s changes/s p99 s"
    )
    for point, row in rows.items():
        print(
            f"{point.controllers:11d} {point.machines:8d} {point.teams:5d} | {row['starts_a_second']:8.0f}"
            f" {row['ms_a_start']:8.2f} {row['cores']:5.2f} {row['leader_cores']:6.3f}"
            f" {row['largest_other_cores']:5.3f} | {row['used_share']:4.2f} {row['reachable_share']:9.2f} |"
            f" {row['sent_kib_a_second']:10.0f} {row['store_changes_a_second']:9.0f} {row['wait_s']['p99']:5.1f}"
        )


def print_fits(fits: list[dict]) -> None:
    """Prints one line per sweep and value."""
    print("\nsweep        value                           slope  predicted   measured")
    for one in fits:
        figures = f"{one['slope']:9.4f} {one['predicted']:10.3f} {one['measured']:10.3f}"
        print(f"{one['sweep']:<12} {one['value']:<28} {figures}")


def play_grid(out: Path, jobs: int, seconds: float) -> int:
    """Runs all points, ``jobs`` in parallel, and writes results and fits as JSON."""
    points = list(dict.fromkeys([*OTHERS, *(point for sweep in SWEEPS for point in sweep.points)]))
    with ProcessPoolExecutor(jobs, max_tasks_per_child=1) as pool:
        results = list(pool.map(play_point, points, [seconds] * len(points)))
    rows = dict(zip(points, results, strict=True))
    fits = [fit(sweep, rows, name) for sweep in SWEEPS for name in FITTED]
    out.write_text(json.dumps({"seconds": seconds, "points": results, "fits": fits}, indent=1) + "\n")
    print_points(rows)
    print_fits(fits)
    return 0
