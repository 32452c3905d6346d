"""Command line: check the files, set up the log, run the controller."""

from __future__ import annotations

import argparse
import gc
import logging
import os
import sys
from collections.abc import Sequence
from typing import TYPE_CHECKING, NamedTuple

from alderbridge import __version__, constants
from alderbridge.settings import DEFAULT_INI, ConfigError, Platform, Tuning, load_platform, load_tuning

if TYPE_CHECKING:
    from alderbridge.configuration import ConfigurationRevision

_LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


class Startup(NamedTuple):
    """What the files and the environment say, checked."""

    platform: Platform
    tuning: Tuning
    declared: dict[str, ConfigurationRevision]  # by kind, from the files that the operators' settings name
    log_level: int


def parser() -> argparse.ArgumentParser:
    """The options of the command."""
    result = argparse.ArgumentParser(prog="alderbridge", description="One controller of the alderbridge scheduler.")
    result.add_argument("--config", metavar="FILE", required=True, help="the platform's settings (JSON)")
    result.add_argument("--settings", metavar="FILE", help=f"operators' own settings (INI); default: {DEFAULT_INI}")
    result.add_argument("--check", action="store_true", help="check these files, and those that they declare, and exit")
    result.add_argument("--version", action="version", version=f"alderbridge {__version__}")
    return result


def main(argv: Sequence[str] | None = None) -> int:
    """Run the command; the exit status: 2 for a file or a variable of the environment that is wrong."""
    args = parser().parse_args(argv)
    try:
        startup = _load(args)
    except ConfigError as error:
        print(f"alderbridge: {error}", file=sys.stderr)
        return 2
    if args.check:
        _print_checked(args.config, startup)
        return 0
    return _serve(startup)


def _load(args: argparse.Namespace) -> Startup:
    """Read and check everything; raises ``ConfigError``."""
    platform = load_platform(args.config)
    tuning = load_tuning(args.settings)
    declared = {}
    if tuning.declared:
        from alderbridge import configuration  # only here, with the packages of what is declared

        declared = {kind: configuration.load(path, kind) for kind, path in tuning.declared.items()}
    level = os.environ.get("LOG_LEVEL", "info")
    if level not in _LEVELS:
        raise ConfigError(f"environment: LOG_LEVEL: expected one of {', '.join(_LEVELS)}, got {level!r}")
    return Startup(platform, tuning, declared, _LEVELS[level])


def _print_checked(config: str, startup: Startup) -> None:
    """Say what was found in the files."""
    print(f"{config}: good")
    state = startup.platform.settings.state
    if state.next is not None:
        limits = state.effective
        print(
            f"state service, kept from the start: rps {limits.rps:g}, write_rps {limits.write_rps:g}, "
            f"value_kb {limits.value_kb:g}, txn_ops {limits.txn_ops}"
        )
    if startup.declared:
        from alderbridge import configuration

        for kind, path in startup.tuning.declared.items():
            print("\n".join([f"{path}: good", *configuration.check_lines(startup.declared[kind])]))


def _serve(startup: Startup) -> int:
    """Run the controller until its process is ended."""
    import curio  # only here: --help and --check need neither the loop nor its start-up time

    from alderbridge.controller.process import Controller
    from alderbridge.transport.selector import Poll

    gc.freeze()  # modules and classes stay for good
    gc.set_threshold(*constants.GC_THRESHOLDS)
    logging.basicConfig(stream=sys.stderr, level=startup.log_level, format=startup.tuning.log_format)
    poll = Poll(constants.POLL_INTERVAL_S)
    controller = Controller(startup.platform, startup.tuning, poll, startup.declared)
    curio.run(controller.run, selector=poll)
    return 0
