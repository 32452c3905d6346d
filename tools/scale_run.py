"""Runs a scale experiment with real controllers and hollow workers on this machine.

    python3 tools/scale_run.py scale/experiments/smallest.ini [--out results.json] [--set workers=100 ...] [--log info]

Prints the resources that it needs and refuses experiments with more than half of the memory or 200 processes. Exit
status: 0 no invariant violated, 1 an invariant violated or a process failed, 2 the experiment can't be run.
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

EXIT_OK, EXIT_FAILED, EXIT_REFUSED = 0, 1, 2
MAX_SHOWN_VIOLATIONS = 10


def parse() -> argparse.Namespace:
    """Parses the command line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("experiment", type=Path)
    parser.add_argument("--out", type=Path, help="results as JSON")
    parser.add_argument(
        "--set", nargs="+", default=[], metavar="NAME=VALUE", help="settings that override those of the file"
    )
    parser.add_argument(
        "--log", default="error", choices=("error", "info", "debug"), help="log level of the controllers"
    )
    parser.add_argument("--beside", type=Path, help="another checkout; every second controller runs its version")
    parser.add_argument("--keep", type=Path, help="folder in which settings, logs and the processes' results are kept")
    return parser.parse_args()


def prepare(args: argparse.Namespace) -> experiments.Experiment:
    """Reads the experiment, applies ``--set`` and checks it against this machine's resources."""
    experiment = experiments.read(args.experiment)
    for text in args.set:
        name, equals, value = text.partition("=")
        if not equals:
            raise experiments.ExperimentError(f"--set {text}: expected NAME=VALUE")
        experiment = dataclasses.replace(experiment, **{name: experiments.parse_value("--set", name, value)})
    machine_memory_mb = psutil.virtual_memory().total / 2**20
    experiment.check(machine_memory_mb, resource.getrlimit(resource.RLIMIT_NOFILE)[0])
    if args.beside is not None and not (args.beside / "run.py").is_file():
        raise experiments.ExperimentError(f"--beside {args.beside}: no run.py there")
    if args.out is not None and not args.out.parent.is_dir():
        raise experiments.ExperimentError(f"--out {args.out}: no such folder")
    print(
        f"{experiment.controllers} controllers, {experiment.workers} workers in {experiment.hollow_processes}"
        f" hollow processes, {experiment.processes} processes,"
        f" about {experiment.memory_mb:.0f} of {machine_memory_mb:.0f} MB, about {experiment.sockets}"
        f" sockets, {experiment.seconds:g} s"
    )
    return experiment


def show(results: dict) -> None:
    """Prints a summary of the results."""
    jobs, starts = results["jobs"], results["starts_a_second"]
    print(
        f"jobs: {jobs['submitted']} submitted, {jobs['accepted']} accepted, {jobs['done']} done,"
        f" {jobs['cancelled']} cancelled"
    )
    print(
        f"starts a second: {starts['mean']:g} on average, {starts['most']} at most; tasks running: "
        f"{results['most_running']} at most"
    )
    for name, values in (
        ("submission to acceptance", results["submission_s"]),
        ("report to answer", results["report_s"]),
        *(
            (f"submission to first start, {job_class}", percentiles)
            for job_class, percentiles in results["start_s"].items()
        ),
    ):
        print(f"{name}: " + ", ".join(f"{share} {value:.3f} s" for share, value in values.items()))
    for role, usage in results["roles"].items():
        print(
            f"{role}: {usage['processes']} processes, {usage['cores']:.2f} cores,"
            f" largest {usage['largest_cores']:.3f} of a core and {usage['largest_memory_mb']:.0f} MB,"
            f" {usage['most_files']} files"
        )
    for name in results["ended_by_themselves"]:
        print(f"{name} ended unexpectedly")
    violations = results["broken"]
    print(f"rules broken: {len(violations)}")
    for line in violations[:MAX_SHOWN_VIOLATIONS]:
        print(f"  {line}")


def main() -> int:
    """Runs the experiment, writes and prints the results."""
    args = parse()
    # A shell starts background processes with SIGINT ignored, so the handler is set explicitly. SIGTERM is mapped to
    # SIGINT because asyncio cancels the main task only for SIGINT; an exception raised elsewhere could come between the
    # start of a process and its registration, and leave the process running.
    signal.signal(signal.SIGINT, signal.default_int_handler)
    signal.signal(signal.SIGTERM, lambda *_: signal.raise_signal(signal.SIGINT))
    try:
        experiment = prepare(args)
    except experiments.ExperimentError as error:
        print(f"scale_run: {error}", file=sys.stderr)
        return EXIT_REFUSED
    with tempfile.TemporaryDirectory() as scratch:
        folder = args.keep or Path(scratch)
        folder.mkdir(parents=True, exist_ok=True)
        try:
            results = asyncio.run(Run(experiment, folder, args.log, args.beside and args.beside.resolve()).play())
        except RunError as error:
            print(f"scale_run: {error}", file=sys.stderr)
            return EXIT_FAILED
        except KeyboardInterrupt:
            print("scale_run: interrupted; nothing is left running", file=sys.stderr)
            return EXIT_FAILED
    if args.out is not None:
        args.out.write_text(json.dumps(results, indent=1) + "\n")
    show(results)
    return EXIT_FAILED if results["broken"] or results["ended_by_themselves"] else EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
