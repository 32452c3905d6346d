"""Runs the simulation manually: PYTHONPATH=.:tests python3 -m simulation [--machines 950] [--seeds 1] [--until 400]."""

from __future__ import annotations

import argparse
import time

from simulation.world import World


def main() -> int:
    """Runs simulations that are too large for the test suite."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--machines", type=int, default=950)
    parser.add_argument("--seeds", type=int, nargs="+", default=[1])
    parser.add_argument("--until", type=float, default=400.0)
    args = parser.parse_args()
    for seed in args.seeds:
        started_at = time.process_time()
        world = World(seed, nodes=5, machines=args.machines, jobs=args.machines, groups=True, falls=2, rush=True)
        world.run(args.until)
        world.check_final_status_age()
        open_jobs = sum(job not in world.reported_ends for job in world.accepted)
        print(
            f"seed {seed}: {world.task_starts} starts, {len(world.accepted)} jobs accepted, {open_jobs} still open, "
            f"{len(world.largest_started_late())} of the largest jobs started late, longest wait for a matching view "
            f"{world.store.longest_view_lag_s:.1f} s, {time.process_time() - started_at:.0f} s of processor time"
        )
    return 0
