"""Command line: validates the settings, sets up logging and runs the controller."""

from __future__ import annotations

import argparse
import gc
import logging
import os
import sys
from collections.abc import Sequence
from typing import TYPE_CHECKING, NamedTuple

from alderbridge import __version__, constants
from alderbridge.settings import DEFAULT_INI, ConfigError, PlatformSettings, Tuning, load_platform_settings, load_tuning

if TYPE_CHECKING:
    from alderbridge.configuration import ConfigurationRevision

_LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


class Startup(NamedTuple):
    """Validated contents of the settings files and the environment."""

    platform: PlatformSettings
    tuning: Tuning
    declared: dict[str, ConfigurationRevision]  # by kind, from the files in section [declared]
    log_level: int


def parser() -> argparse.ArgumentParser:
    """The parser for the options of the command."""
    result = argparse.ArgumentParser(prog="alderbridge", description="One controller of the alderbridge scheduler.")
    result.add_argument("--config", metavar="FILE", required=True, help="the platform's settings (JSON)")
    result.add_argument("--settings", metavar="FILE", help=f"operators' own settings (INI); default: {DEFAULT_INI}")
    result.add_argument("--check", action="store_true", help="validate these files and those of [declared], and exit")
    result.add_argument("--version", action="version", version=f"alderbridge {__version__}")
    return result


def main(argv: Sequence[str] | None = None) -> int:
    """Run the command and return its exit status: 2 for an invalid file or environment variable."""
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
    """Read and validate the files and the environment; raises ``ConfigError``."""
    platform = load_platform_settings(args.config)
    tuning = load_tuning(args.settings)
    declared = {}
    if tuning.declared:
        from alderbridge import configuration  # imported late, as few runs need it

        declared = {kind: configuration.load(path, kind) for kind, path in tuning.declared.items()}
    level = os.environ.get("LOG_LEVEL", "info")
    if level not in _LEVELS:
        raise ConfigError(f"environment: LOG_LEVEL: expected one of {', '.join(_LEVELS)}, got {level!r}")
    return Startup(platform, tuning, declared, _LEVELS[level])


def _print_checked(config: str, startup: Startup) -> None:
    """Print a summary of the validated files."""
    print(f"{config}: good")
    state = startup.platform.settings.state
    if state.next is not None:
        limits = state.effective
        print(
            f"state service limits, applied from the start: rps {limits.rps:g}, write_rps {limits.write_rps:g}, "
            f"value_kb {limits.value_kb:g}, txn_ops {limits.txn_ops}"
        )
    if startup.declared:
        from alderbridge import configuration

        for kind, path in startup.tuning.declared.items():
            print("\n".join([f"{path}: good", *configuration.check_lines(startup.declared[kind])]))


def _serve(startup: Startup) -> int:
    """Run the controller until the process is terminated."""
    import curio  # imported late, as --help and --check do not need it

    from alderbridge.controller.process import Controller
    from alderbridge.transport.selector import EpollSelector

    gc.freeze()  # excludes modules and classes, which are never freed, from collection
    gc.set_threshold(*constants.GC_THRESHOLDS)
    logging.basicConfig(stream=sys.stderr, level=startup.log_level, format=startup.tuning.log_format)
    poll = EpollSelector(constants.POLL_INTERVAL_S)
    controller = Controller(startup.platform, startup.tuning, poll, startup.declared)
    curio.run(controller.run, selector=poll)
    return 0
