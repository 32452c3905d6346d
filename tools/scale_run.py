"""Plays an experiment with real controllers and hollow workers on this machine.

    python3 tools/scale_run.py scale/experiments/smallest.ini [--out results.json] [--set workers=100 ...] [--log info]

Says first what it will use, and refuses more than half of the memory or 200 processes. Exit status: 0 played and no
rule broken, 1 a rule was broken or a process failed, 2 the experiment can't be played.
"""

from __future__ import annotations

import argparse
import asyncio
import dataclasses
import json
import resource
import signal
import sys
import tempfile
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import psutil

from scale import experiment as experiments
from scale.run import Run, RunError

PLAYED, FAILED, REFUSED = 0, 1, 2
SHOWN_BROKEN = 10


def parse() -> argparse.Namespace:
    """The command line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("experiment", type=Path)
    parser.add_argument("--out", type=Path, help="results as JSON")
    parser.add_argument("--set", nargs="+", default=[], metavar="NAME=VALUE", help="settings in place of the file's")
    parser.add_argument("--log", default="error", choices=("error", "info", "debug"), help="what controllers write")
    parser.add_argument("--beside", type=Path, help="another checkout, whose program every second controller runs")
    parser.add_argument("--keep", type=Path, help="a folder that keeps settings, logs and the processes' results")
    return parser.parse_args()


def prepared(args: argparse.Namespace) -> experiments.Experiment:
    """The experiment, checked against this machine."""
    one = experiments.read(args.experiment)
    for text in args.set:
        name, equals, value = text.partition("=")
        if not equals:
            raise experiments.ExperimentError(f"--set {text}: expected NAME=VALUE")
        one = dataclasses.replace(one, **{name: experiments.parse_value("--set", name, value)})
    machine_mb = psutil.virtual_memory().total / 2**20
    one.check(machine_mb, resource.getrlimit(resource.RLIMIT_NOFILE)[0])
    if args.beside is not None and not (args.beside / "run.py").is_file():
        raise experiments.ExperimentError(f"--beside {args.beside}: no run.py there")
    if args.out is not None and not args.out.parent.is_dir():
        raise experiments.ExperimentError(f"--out {args.out}: no such folder")
    print(
        f"{one.controllers} controllers, {one.workers} workers in {one.hollow_processes} hollow processes,"
        f" {one.processes} processes, about {one.memory_mb:.0f} of {machine_mb:.0f} MB, some {one.sockets} sockets,"
        f" {one.seconds:g} s"
    )
    return one


def show(results: dict) -> None:
    """The results in a few lines."""
    jobs, starts = results["jobs"], results["starts_a_second"]
    print(
        f"jobs: {jobs['submitted']} submitted, {jobs['accepted']} accepted, {jobs['done']} done,"
        f" {jobs['cancelled']} cancelled"
    )
    print(
        f"starts a second: {starts['mean']:g} in the mean, {starts['most']} at most; tasks running: "
        f"{results['most_running']} at most"
    )
    for name, found in (
        ("submission to acceptance", results["submission_s"]),
        ("report to answer", results["report_s"]),
        *((f"submission to first start, {kind}", one) for kind, one in results["start_s"].items()),
    ):
        print(f"{name}: " + ", ".join(f"{share} {value:.3f} s" for share, value in found.items()))
    for role, one in results["roles"].items():
        print(
            f"{role}: {one['processes']} processes, {one['cores']:.2f} cores, largest {one['largest_cores']:.3f} of a"
            f" core and {one['largest_memory_mb']:.0f} MB, {one['most_files']} files"
        )
    for name in results["ended_by_themselves"]:
        print(f"{name} ended by itself")
    broken = results["broken"]
    print(f"rules broken: {len(broken)}")
    for line in broken[:SHOWN_BROKEN]:
        print(f"  {line}")


def main() -> int:
    """Play, show, write."""
    args = parse()
    # Also where a shell starts it in the background, with SIGINT ignored. asyncio turns SIGINT, and that alone, into an
    # end of the main task; raised anywhere else the end could come between the start of a process and its entry.
    signal.signal(signal.SIGINT, signal.default_int_handler)
    signal.signal(signal.SIGTERM, lambda *_: signal.raise_signal(signal.SIGINT))
    try:
        one = prepared(args)
    except experiments.ExperimentError as error:
        print(f"scale_run: {error}", file=sys.stderr)
        return REFUSED
    with tempfile.TemporaryDirectory() as scratch:
        folder = args.keep or Path(scratch)
        folder.mkdir(parents=True, exist_ok=True)
        try:
            results = asyncio.run(Run(one, folder, args.log, args.beside and args.beside.resolve()).play())
        except RunError as error:
            print(f"scale_run: {error}", file=sys.stderr)
            return FAILED
        except KeyboardInterrupt:
            print("scale_run: interrupted; nothing is left running", file=sys.stderr)
            return FAILED
    if args.out is not None:
        args.out.write_text(json.dumps(results, indent=1) + "\n")
    show(results)
    return FAILED if results["broken"] or results["ended_by_themselves"] else PLAYED


if __name__ == "__main__":
    sys.exit(main())
