"""The operators' lending configuration: parsing, validation, and the summary that ``--check`` prints."""

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
}  # first word of a section title -> its keys, in the order of the fields of the class that they fill
_EXPECTED = "expected [serve OWNER/WORKLOAD], [lend OWNER/WORKLOAD], [reserve TEAM] or [pace]"


class ServingClass(msgspec.Struct, frozen=True):
    """GPU services that lent GPUs are reclaimed for; ``team_pattern`` and ``workload_pattern`` are glob patterns."""

    team_pattern: str = msgspec.field(name="owner")
    workload_pattern: str = msgspec.field(name="workload")

    def matches(self, spec: JobSpec) -> bool:
        """Whether the job belongs to the class."""
        return spec.service and spec.gpus > 0 and _matches(self, spec)


class LendingClass(msgspec.Struct, frozen=True):
    """GPU work that may be preempted for replicas of services; services themselves never belong to it."""

    team_pattern: str = msgspec.field(name="owner")
    workload_pattern: str = msgspec.field(name="workload")
    min_run_s: float = msgspec.field(name="least_run_s")  # a task is not preempted before it has run for this long
    # limit on the preemptions of one task; 0: never preempted
    max_preemptions_per_task: int = msgspec.field(name="most_stops")
    # a job is no longer preempted when its first preemption is longer ago than this
    preemptible_for_s: float = msgspec.field(name="waits_at_most_s")

    def matches(self, spec: JobSpec) -> bool:
        """Whether the job belongs to the class."""
        return not spec.service and spec.gpus > 0 and _matches(self, spec)


class LendingConfiguration(msgspec.Struct, frozen=True):
    """The parsed lending configuration, also as stored. A job belongs to the first class that matches it."""

    serving_classes: list[ServingClass] = msgspec.field(name="serve", default_factory=list)
    lending_classes: list[LendingClass] = msgspec.field(name="lend", default_factory=list)
    # team -> free GPUs reserved for its replicas beyond those in use
    reserved_gpus: dict[str, float] = msgspec.field(name="reserve", default_factory=dict)
    # limit on the GPUs reclaimed for one team's replicas in a minute
    gpus_per_minute: int = msgspec.field(name="gpus_a_minute", default=0)
    # limit on the GPUs of one team's reclaims whose victims have not all stopped
    max_stopping_gpus: int = msgspec.field(name="gpus_at_once", default=0)
    # GPUs that replicas used within this time are not lent again
    retention_s: float = msgspec.field(name="keep_s", default=0.0)

    def serves(self, spec: JobSpec) -> bool:
        """Whether the job is a service that lent GPUs are reclaimed for."""
        return any(one.matches(spec) for one in self.serving_classes)

    def lends(self, spec: JobSpec) -> LendingClass | None:
        """Return the lending class of the job, or None if it may not be preempted for services."""
        return next((one for one in self.lending_classes if one.matches(spec)), None)


def _matches(pattern: ServingClass | LendingClass, spec: JobSpec) -> bool:
    return fnmatchcase(spec.team, pattern.team_pattern) and fnmatchcase(spec.job_class, pattern.workload_pattern)


def parse(parser: configparser.ConfigParser, path: str) -> LendingConfiguration:
    """Parse the sections of an INI file; raises ``ConfigError`` with one line for the first fault."""
    serve: list[ServingClass] = []
    lend: list[LendingClass] = []
    reserve: dict[str, float] = {}
    pace = [setting.default for setting in _NUMBERS["pace"].values()]
    for section in sections(parser, path):
        _check_title(section)
        owner, _, workload = section.name.partition("/")
        if section.word in ("serve", "lend"):
            declared = [(one.team_pattern, one.workload_pattern) for one in serve] + [
                (one.team_pattern, one.workload_pattern) for one in lend
            ]
            if (owner, workload) in declared:
                raise section.error("", "declared before; a class is declared once, in [serve ...] or in [lend ...]")
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
        if not any(fnmatchcase(team, one.team_pattern) for one in serve):
            raise SettingError(
                path, f"reserve {team}", "", f"no [serve {team}/WORKLOAD], so nothing would use the reserve"
            )


def check_lines(lending: LendingConfiguration) -> list[str]:
    """Summarize the configuration, one line per rule, for ``--check``."""
    lines = [
        f"serve {one.team_pattern}/{one.workload_pattern}: lent GPUs are reclaimed for its replicas, "
        f"within the team's guarantee"
        for one in lending.serving_classes
    ]
    for one in lending.lending_classes:
        conditions = (
            f"after {one.min_run_s:g} s, {one.max_preemptions_per_task} times a task, until "
            f"{one.preemptible_for_s:g} s after its job's first preemption"
            if one.max_preemptions_per_task
            else "never"
        )
        lines.append(f"lend {one.team_pattern}/{one.workload_pattern}: preempted for replicas {conditions}")
    lines += [f"reserve {team}: {gpus:g} free GPUs are not lent" for team, gpus in lending.reserved_gpus.items()]
    if lending.serving_classes:
        lines.append(
            f"pace: at most {lending.gpus_per_minute} GPUs a minute and {lending.max_stopping_gpus} at once are "
            f"reclaimed for a team; GPUs that replicas used are not lent again for {lending.retention_s:g} s"
        )
    return lines


configuration_type = LendingConfiguration  # read by ``configuration.ConfigurationReader``
