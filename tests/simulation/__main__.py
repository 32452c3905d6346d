"""Runs the simulation manually, for more seeds or larger fleets than the test suite has time for.

PYTHONPATH=.:tests python3 -m simulation [--world fleet] [--machines 950] [--seeds 1 10-19] [--until 400]

``fleet`` fails all controllers and much of a large fleet together; ``one-zone`` is ``OneZoneWorld``. Prints a line for
each seed. Exit status: 0 no invariant was violated; 1 one was, its line names it; 2 invalid arguments.
"""

from __future__ import annotations

import argparse
import sys
import time
from collections.abc import Sequence
from typing import NoReturn

from simulation.errors import InvariantViolation
from simulation.invariants import MAX_PLACEABLE_WAIT_S
from simulation.one_zone import OneZoneWorld
from simulation.world import World

WORLDS = ("fleet", "one-zone")


class Parser(argparse.ArgumentParser):
    """Reports invalid arguments in one line."""

    def error(self, message: str) -> NoReturn:
        """Exits with status 2, without the usage that the base class prints."""
        self.exit(2, f"simulation: {message}\n")


def seed_range(text: str) -> range:
    """Parses a seed, or an inclusive range of seeds such as 0-299."""
    first, _, last = text.partition("-")
    try:
        seeds = range(int(first), int(last or first) + 1)
    except ValueError:
        seeds = range(0)
    if not seeds:
        raise argparse.ArgumentTypeError(f"{text!r}: expected a seed, or a range such as 0-299")
    return seeds


def positive(text: str) -> float:
    """Parses a positive number."""
    try:
        number = float(text)
    except ValueError:
        number = 0.0
    if not 0.0 < number < float("inf"):
        raise argparse.ArgumentTypeError(f"{text!r}: expected a positive number")
    return number


def parse_arguments(arguments: Sequence[str] | None) -> argparse.Namespace:
    """Parses the command line; ``arguments`` None: those of the process."""
    parser = Parser(prog="simulation", description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--world", choices=WORLDS, default="fleet")
    parser.add_argument("--machines", type=positive, default=950, help="of the world fleet")
    parser.add_argument("--seeds", type=seed_range, nargs="+", default=[range(1, 2)], metavar="SEED")
    parser.add_argument("--until", type=positive, help="simulated seconds; default 400, one-zone: its last time limit")
    return parser.parse_args(arguments)


def play(world: World, until: float) -> str:
    """Runs one world to its end; returns the violated invariant, or an empty text."""
    try:
        world.run(until)
        world.check_final_status_age()
    except InvariantViolation as error:
        return str(error)
    return ""


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs all seeds; returns the exit status."""
    options = parse_arguments(arguments)
    any_broken = False
    for seed in (seed for seeds in options.seeds for seed in seeds):
        started_at = time.process_time()
        if options.world == "one-zone":
            world: World = OneZoneWorld(seed)
            until = options.until or world.faults_end_at + MAX_PLACEABLE_WAIT_S
        else:
            machines = int(options.machines)
            world = World(
                seed, nodes=5, machines=machines, jobs=machines, group_faults=True, total_failures=2, large_jobs=True
            )
            until = options.until or 400.0
        broken = play(world, until)
        any_broken = any_broken or bool(broken)
        open_jobs = sum(job not in world.reported_ends for job in world.accepted)
        print(
            f"seed {seed}: {'BROKEN ' + broken if broken else 'ok'}; {world.task_starts} starts, "
            f"{len(world.accepted)} jobs accepted, {open_jobs} still open, "
            f"{len(world.largest_started_late())} of the largest jobs started late, longest wait for a matching view "
            f"{world.store.longest_view_lag_s:.1f} s, {time.process_time() - started_at:.0f} s of processor time",
            flush=True,
        )
    return 1 if any_broken else 0


if __name__ == "__main__":
    sys.exit(main())
