"""Command line: check the files, set up the log, run the controller."""

from __future__ import annotations

import argparse
import gc
import logging
import os
import sys
from collections.abc import Sequence
from typing import TYPE_CHECKING

from alderbridge import __version__, constants
from alderbridge.settings import DEFAULT_INI, ConfigError, Platform, Tuning, load_platform, load_tuning

if TYPE_CHECKING:
    from alderbridge.configuration import ConfigurationRevision

_LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


def parser() -> argparse.ArgumentParser:
    result = argparse.ArgumentParser(prog="alderbridge", description="One controller of the alderbridge scheduler.")
    result.add_argument("--config", metavar="FILE", required=True, help="the platform's settings (JSON)")
    result.add_argument("--settings", metavar="FILE", help=f"operators' own settings (INI); default: {DEFAULT_INI}")
    result.add_argument("--check", action="store_true", help="check these files, and those that they declare, and exit")
    result.add_argument("--version", action="version", version=f"alderbridge {__version__}")
    return result


def main(argv: Sequence[str] | None = None) -> int:
    args = parser().parse_args(argv)
    try:
        platform = load_platform(args.config)
        tuning = load_tuning(args.settings)
        own = {}
        if tuning.declared:
            from alderbridge import configuration  # only here, with the packages of what is declared

            own = {kind: configuration.load(path, kind) for kind, path in tuning.declared.items()}
        level = os.environ.get("LOG_LEVEL", "info")
        if level not in _LEVELS:
            raise ConfigError(f"environment: LOG_LEVEL: expected one of {', '.join(_LEVELS)}, got {level!r}")
    except ConfigError as error:
        print(f"alderbridge: {error}", file=sys.stderr)
        return 2
    if args.check:
        print(f"{args.config}: good")
        kept = platform.settings.state.effective
        if platform.settings.state.next is not None:
            print(
                f"state service, kept from the start: rps {kept.rps:g}, write_rps {kept.write_rps:g}, "
                f"value_kb {kept.value_kb:g}, txn_ops {kept.txn_ops}"
            )
        for kind, path in tuning.declared.items():
            print("\n".join([f"{path}: good", *configuration.check_lines(own[kind])]))
        return 0
    return _serve(platform, tuning, level, own)


def _serve(platform: Platform, tuning: Tuning, level: str, own: dict[str, ConfigurationRevision]) -> int:
    import curio  # only here: --help and --check need neither the loop nor its start-up time

    from alderbridge.controller.process import Controller
    from alderbridge.transport.selector import Poll

    gc.freeze()  # modules and classes stay for good
    gc.set_threshold(*constants.GC_THRESHOLDS)
    logging.basicConfig(stream=sys.stderr, level=_LEVELS[level], format=tuning.log_format)
    poll = Poll(constants.POLL_INTERVAL_S)
    curio.run(Controller(platform, tuning, poll, own).run, selector=poll)
    return 0
