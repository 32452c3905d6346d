"""Measures memory and load time of a controller's replica of the store by the number of ended jobs.

    python3 tools/bench_replica.py [--jobs 10000 30000 100000 300000]

Each point runs in its own process: a ``Replica`` reads that many records of ended jobs, as when a controller starts.
A line is fitted by least squares to all points but the last; its prediction for the last is compared with the result.
"""

from __future__ import annotations

import argparse
import gc
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import left_out_fit
import msgspec
import psutil

from alderbridge.jobs.dependencies import Graph
from alderbridge.membership.membership import Membership
from alderbridge.protocol.keys import JOBS
from alderbridge.protocol.wire import WatchEvent
from alderbridge.state.replica import Replica

RECORD = msgspec.Raw(b'{"state":"done","done_at":1764650000.5}')


def measure(jobs: int) -> tuple[float, float]:
    """Memory of the replica in MB, and CPU time in s to read its records."""
    replica = Replica(Membership("host-0", 20.0), Graph(lambda spec: 1.0, []))
    process = psutil.Process()
    gc.collect()
    rss_before, started_at = process.memory_info().rss, time.process_time()
    for number in range(jobs):
        replica.apply(WatchEvent(put=f"{JOBS}wk-{number:08d}", data=RECORD, revision=number + 1))
    cpu_s = time.process_time() - started_at
    gc.collect()
    return (process.memory_info().rss - rss_before) / 2**20, cpu_s


def main() -> int:
    """Measures all points and compares the last with its prediction."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--jobs", type=int, nargs="+", default=[10_000, 30_000, 100_000, 300_000])
    args = parser.parse_args()
    if len(args.jobs) < 3 or min(args.jobs) < 1:
        parser.error("--jobs: three counts above 0 at least")
    with ProcessPoolExecutor(1, max_tasks_per_child=1) as pool:
        points = list(pool.map(measure, args.jobs))
    print("jobs       MB   seconds")
    for jobs, (memory, seconds) in zip(args.jobs, points, strict=True):
        print(f"{jobs:<9} {memory:6.1f} {seconds:8.2f}")
    for column, name in enumerate(("MB", "seconds")):
        values = [point[column] for point in points]
        fit = left_out_fit.fit(args.jobs, values)
        print(
            f"{name}: {fit.slope * 1e6:.1f} for a million jobs; {args.jobs[-1]} jobs predicted {fit.predicted:.2f},"
            f" measured {fit.measured:.2f}"
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
