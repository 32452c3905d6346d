"""Lending as operators declare it: read, checked, and said in words."""

from __future__ import annotations

import configparser
from fnmatch import fnmatchcase

import msgspec

from alderbridge.configuration.ini import NumberSetting, Section, SettingError, sections
from alderbridge.protocol.wire import JobSpec
from alderbridge.settings import ConfigError

_NUMBERS: dict[str, dict[str, NumberSetting]] = {
    "serve": {},
    "lend": {
        "least run": NumberSetting(20.0, 0.0, 86_400.0),  # s
        "most stops": NumberSetting(3, 0, 1000, whole=True),
        "waits at most": NumberSetting(900.0, 0.0, 864_000.0),  # s
    },
    "reserve": {"gpus": NumberSetting(0.0, 0.0, 100_000.0)},
    "pace": {
        "gpus a minute": NumberSetting(64, 0, 100_000, whole=True),
        "gpus at once": NumberSetting(32, 0, 100_000, whole=True),
        "keep": NumberSetting(30.0, 0.0, 86_400.0),  # s
    },
}  # first word of a section -> its keys, in the order of the fields that they are for
_EXPECTED = "expected [serve OWNER/WORKLOAD], [lend OWNER/WORKLOAD], [reserve TEAM] or [pace]"


class ServingClass(msgspec.Struct, frozen=True):
    """Services with GPUs that lent GPUs come back for: one owner's, or of all that a pattern names."""

    owner: str
    workload: str

    def matches(self, spec: JobSpec) -> bool:
        """Whether the job belongs to the class."""
        return spec.service and spec.gpus > 0 and _matches(self, spec)


class LendingClass(msgspec.Struct, frozen=True):
    """Work with GPUs that may be stopped for replicas, but for services."""

    owner: str
    workload: str
    least_run_s: float  # a task is not stopped before
    most_stops: int  # of one task
    waits_at_most_s: float  # so long after its first stop, a job is not stopped any more

    def matches(self, spec: JobSpec) -> bool:
        """Whether the job belongs to the class."""
        return not spec.service and spec.gpus > 0 and _matches(self, spec)


class LendingConfiguration(msgspec.Struct, frozen=True):
    """What is declared of lending, compiled; also its form in the store. A job belongs to the first that holds it."""

    serve: list[ServingClass] = []
    lend: list[LendingClass] = []
    reserve: dict[str, float] = {}  # team -> GPUs that are not lent while its replicas do not use them
    gpus_a_minute: int = 0  # that come back for a team's replicas
    gpus_at_once: int = 0
    keep_s: float = 0.0  # what replicas used within it is not lent again

    def serves(self, spec: JobSpec) -> bool:
        """Whether the job is a service that lent GPUs come back for."""
        return any(one.matches(spec) for one in self.serve)

    def lends(self, spec: JobSpec) -> LendingClass | None:
        """Return the class of a job that may be preempted for services."""
        return next((one for one in self.lend if one.matches(spec)), None)


def _matches(one: ServingClass | LendingClass, spec: JobSpec) -> bool:
    return fnmatchcase(spec.team, one.owner) and fnmatchcase(spec.job_class, one.workload)


def parse(parser: configparser.ConfigParser, path: str) -> LendingConfiguration:
    """Compile the sections of an INI file; ``ConfigError``: one line for the first fault."""
    serve: list[ServingClass] = []
    lend: list[LendingClass] = []
    reserve: dict[str, float] = {}
    pace = [setting.default for setting in _NUMBERS["pace"].values()]
    for section in sections(parser, path):
        _check_title(section)
        owner, _, workload = section.name.partition("/")
        if section.word in ("serve", "lend"):
            declared = [(one.owner, one.workload) for one in serve] + [(one.owner, one.workload) for one in lend]
            if (owner, workload) in declared:
                raise section.error("", "declared before; a class serves or lends, once")
        settings = _NUMBERS[section.word]
        section.check_keys(settings)
        numbers = [section.number(key, setting) for key, setting in settings.items()]
        if section.word == "serve":
            serve.append(ServingClass(owner, workload))
        elif section.word == "lend":
            lend.append(LendingClass(owner, workload, *numbers))  # type: ignore[arg-type]
        elif section.word == "reserve":
            reserve[section.name] = numbers[0]
        else:
            pace = numbers
    _check_serving(serve, reserve, path)
    return LendingConfiguration(serve, lend, reserve, *pace)  # type: ignore[arg-type]


def _check_title(section: Section) -> None:
    if section.word in ("serve", "lend"):
        section.owner_and_name(_EXPECTED)
    elif section.title != "pace" and not (
        section.word == "reserve" and section.name and "/" not in section.name and " " not in section.name
    ):
        raise section.error("", _EXPECTED)


def _check_serving(serve: list[ServingClass], reserve: dict[str, float], path: str) -> None:
    if not serve:
        raise ConfigError(f"{path}: expected at least one [serve OWNER/WORKLOAD]")
    for team in reserve:
        if not any(fnmatchcase(team, one.owner) for one in serve):
            raise SettingError(path, f"reserve {team}", "", f"no [serve {team}/WORKLOAD], so nothing would use it")


def check_lines(lending: LendingConfiguration) -> list[str]:
    """Say who serves, who lends and how fast GPUs come back, for ``--check``."""
    lines = [
        f"serve {one.owner}/{one.workload}: replicas with GPUs get lent ones back, within the team's guarantee"
        for one in lending.serve
    ]
    for one in lending.lend:
        how = (
            f"after {one.least_run_s:g} s, {one.most_stops} times a task, until {one.waits_at_most_s:g} s after "
            f"its job's first stop"
            if one.most_stops
            else "never"
        )
        lines.append(f"lend {one.owner}/{one.workload}: stopped for replicas {how}")
    lines += [
        f"reserve {team}: {gpus:g} GPUs are not lent, where they are free" for team, gpus in lending.reserve.items()
    ]
    if lending.serve:
        lines.append(
            f"pace: {lending.gpus_a_minute} GPUs a minute and {lending.gpus_at_once} at once come back for a team; "
            f"what replicas used is not lent again for {lending.keep_s:g} s"
        )
    return lines


configuration_type = LendingConfiguration  # for ``configuration.ConfigurationReader``
