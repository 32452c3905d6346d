"""Memory and start-up time of a controller's copy of the store, by the number of jobs that have ended.

    python3 tools/bench_replica.py [--jobs 10000 30000 100000 300000]

Each point in a process of its own: a ``Replica`` that reads so many ended records, as a controller does when it starts.
A line is fitted by least squares to all points but the last, which is predicted and then compared.
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
    """MB that the replica takes, and seconds of processor time to read it."""
    replica = Replica(Membership("host-0", 20.0), Graph(lambda spec: 1.0, []))
    process = psutil.Process()
    gc.collect()
    before, began = process.memory_info().rss, time.process_time()
    for number in range(jobs):
        replica.apply(WatchEvent(put=f"{JOBS}wk-{number:08d}", data=RECORD, revision=number + 1))
    spent = time.process_time() - began
    gc.collect()
    return (process.memory_info().rss - before) / 2**20, spent


def main() -> int:
    """Play all points and compare."""
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
    for number, name in enumerate(("MB", "seconds")):
        values = [point[number] for point in points]
        line = left_out_fit.fit(args.jobs, values)
        print(
            f"{name}: {line.slope * 1e6:.1f} for a million jobs; {args.jobs[-1]} jobs predicted {line.predicted:.2f},"
            f" measured {line.measured:.2f}"
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
