"""Random runs by hand: PYTHONPATH=.:tests python3 -m simulation [--machines 950] [--seeds 1] [--until 400]."""

from __future__ import annotations

import argparse
import time

from simulation.world import World


def main() -> int:
    """Runs by hand, larger than the suite has time for."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--machines", type=int, default=950)
    parser.add_argument("--seeds", type=int, nargs="+", default=[1])
    parser.add_argument("--until", type=float, default=400.0)
    more = parser.parse_args()
    for seed in more.seeds:
        began = time.process_time()
        world = World(seed, nodes=5, machines=more.machines, jobs=more.machines, groups=True, falls=2, rush=True)
        world.run(more.until)
        world.remembered()
        open_jobs = sum(job not in world.said for job in world.accepted)
        print(
            f"seed {seed}: {world.starts} starts, {len(world.accepted)} jobs accepted, {open_jobs} not ended, "
            f"{len(world.late_largest())} of the largest begun late, longest wait for a view "
            f"{world.store.longest_change:.1f} s, {time.process_time() - began:.0f} s of processor time"
        )
    return 0
