"""Priority classes as operators declare them: read, checked, and said in words."""

from __future__ import annotations

import configparser
from fnmatch import fnmatchcase

import msgspec

from alderbridge.configuration.ini import NumberSetting, Section, SettingError, sections
from alderbridge.protocol.wire import PRIORITIES, JobSpec

_NUMBERS = {
    "stops a minute": NumberSetting(60, 0, 100_000, whole=True),
    "stops at once": NumberSetting(20, 0, 100_000, whole=True),
    "share": NumberSetting(0.05, 0.0, 1.0),
    "least run": NumberSetting(10.0, 0.0, 86_400.0),  # s
    "most stops": NumberSetting(2, 0, 1000, whole=True),
    "waits at most": NumberSetting(600.0, 0.0, 864_000.0),  # s
}  # in the order of the fields of ``PriorityClass``
_KEYS = ("workloads", "urgency", "may preempt", "preemptible", *_NUMBERS)


class PriorityClass(msgspec.Struct, frozen=True):
    """One class of one owner, or of all owners that a pattern names."""

    owner: str  # team, or a pattern with * and ?
    name: str
    workloads: list[str]  # patterns
    urgency: list[str]  # the users' priorities; empty: any
    may_preempt: list[str]  # CLASS or OWNER/CLASS, patterns; empty: stops nobody
    preemptible: bool
    stops_a_minute: int  # that work of this class may cause
    stops_at_once: int
    share: float  # of all tasks that run, stopped at one time by this class
    least_run_s: float  # a task of this class is not stopped before
    most_stops: int  # of one task of this class
    waits_at_most_s: float  # so long after its first stop, a job of this class is not stopped any more

    @property
    def title(self) -> str:
        """Return its name in the file."""
        return f"{self.owner}/{self.name}"

    def matches(self, spec: JobSpec) -> bool:
        """Whether the job may belong to the class."""
        return (
            fnmatchcase(spec.team, self.owner)
            and (not self.urgency or spec.priority in self.urgency)
            and any(fnmatchcase(spec.job_class, pattern) for pattern in self.workloads)
        )

    def names(self, other: PriorityClass) -> bool:
        """Whether its ``may preempt`` names the other class."""
        return any(fnmatchcase(other.title if "/" in pattern else other.name, pattern) for pattern in self.may_preempt)


class PriorityConfiguration(msgspec.Struct, frozen=True):
    """What is declared of priorities, compiled; also its form in the store."""

    classes: list[PriorityClass] = []  # a job belongs to the first that holds it

    def class_of(self, spec: JobSpec) -> PriorityClass | None:
        """Return the job's class, if it has any."""
        return next((one for one in self.classes if one.matches(spec)), None)


def parse(parser: configparser.ConfigParser, path: str) -> PriorityConfiguration:
    """Compile the classes of an INI file; ``ConfigError``: one line for the first fault."""
    classes: list[PriorityClass] = []
    for section in sections(parser, path):
        classes.append(_parse_class(section, classes))
    for one in classes:
        _check_may_preempt(one, classes, path)
    return PriorityConfiguration(classes)


def _parse_class(section: Section, before: list[PriorityClass]) -> PriorityClass:
    expected = "expected [class OWNER/NAME]"
    if section.word != "class":
        raise section.error("", expected)
    owner, name = section.owner_and_name(expected)
    if any((one.owner, one.name) == (owner, name) for one in before):
        raise section.error("", "declared twice")
    section.check_keys(_KEYS)
    urgency = section.words("urgency")
    for priority in urgency:
        if priority not in PRIORITIES:
            raise section.error("urgency", f"expected some of {', '.join(PRIORITIES)}, got {priority!r}")
    preemptible = section.yes_or_no("preemptible")
    numbers = [section.number(key, setting) for key, setting in _NUMBERS.items()]
    workloads = section.words("workloads", "*")
    if not workloads:
        raise section.error("workloads", "expected names or patterns, got none")
    return PriorityClass(owner, name, workloads, urgency, section.words("may preempt"), preemptible, *numbers)  # type: ignore[arg-type]


def _check_may_preempt(one: PriorityClass, classes: list[PriorityClass], path: str) -> None:
    """``SettingError`` for a pattern that names no class of the file."""
    for pattern in one.may_preempt:
        alone = msgspec.structs.replace(one, may_preempt=[pattern])
        if not any(alone.names(other) for other in classes):
            raise SettingError(path, f"class {one.title}", "may preempt", f"no class is named {pattern!r}")


def check_lines(configuration: PriorityConfiguration) -> list[str]:
    """Say who may preempt whom, for ``--check``: one line a class."""
    lines = []
    for one in configuration.classes:
        others = [other.title for other in configuration.classes if one.names(other) and other.preemptible]
        who = f"class {one.title} ({', '.join(one.workloads)}; {', '.join(one.urgency) or 'any urgency'})"
        may = (
            f"may stop {', '.join(others)} where the protocol allows it: {one.stops_a_minute} a minute, "
            f"{one.stops_at_once} at once, {one.share:g} of what runs"
            if others
            else "stops nobody"
        )
        stopped = (
            f"may be stopped after {one.least_run_s:g} s, {one.most_stops} times a task, until "
            f"{one.waits_at_most_s:g} s after the first"
            if one.preemptible and one.most_stops
            else "is never stopped"
        )
        lines.append(f"{who}: {may}; {stopped}")
    return lines


configuration_type = PriorityConfiguration  # for ``configuration.ConfigurationReader``
