"""Parses, checks and describes the priority classes that operators declare."""

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
}  # must be in the order of the fields of ``PriorityClass``
_KEYS = ("workloads", "urgency", "may preempt", "preemptible", *_NUMBERS)


class PriorityClass(msgspec.Struct, frozen=True):
    """One priority class of one team, or of all teams that match a pattern."""

    owner: str  # team, or a pattern with * and ?
    name: str
    workloads: list[str]  # patterns of job classes
    urgency: list[str]  # priorities of the jobs; empty: any
    may_preempt: list[str]  # patterns of CLASS or OWNER/CLASS; empty: preempts nothing
    preemptible: bool
    # maximum preemptions per minute caused by this class
    max_preemptions_per_minute: int = msgspec.field(name="stops_a_minute")
    # maximum victims of this class stopping at one time
    max_concurrent_preemptions: int = msgspec.field(name="stops_at_once")
    # of all running tasks, the maximum stopping at one time for this class
    max_share_of_running: float = msgspec.field(name="share")
    # minimum run time before a task of this class may be preempted
    min_run_s: float = msgspec.field(name="least_run_s")
    max_preemptions_per_task: int = msgspec.field(name="most_stops")  # maximum preemptions of one task of this class
    # since its first preemption; after it a job of this class is no longer preempted
    preemptible_for_s: float = msgspec.field(name="waits_at_most_s")

    @property
    def title(self) -> str:
        """Return the name of the class in the settings file."""
        return f"{self.owner}/{self.name}"

    def matches(self, spec: JobSpec) -> bool:
        """Whether the job matches the class; it belongs to the first class that it matches."""
        return (
            fnmatchcase(spec.team, self.owner)
            and (not self.urgency or spec.priority in self.urgency)
            and any(fnmatchcase(spec.job_class, pattern) for pattern in self.workloads)
        )

    def names(self, other: PriorityClass) -> bool:
        """Whether ``may_preempt`` matches the other class."""
        return any(fnmatchcase(other.title if "/" in pattern else other.name, pattern) for pattern in self.may_preempt)


class PriorityConfiguration(msgspec.Struct, frozen=True):
    """The declared priority classes, compiled; stored in this form."""

    classes: list[PriorityClass] = []  # a job belongs to the first that it matches

    def class_of(self, spec: JobSpec) -> PriorityClass | None:
        """Return the job's class, or None."""
        return next((priority_class for priority_class in self.classes if priority_class.matches(spec)), None)


def parse(parser: configparser.ConfigParser, path: str) -> PriorityConfiguration:
    """Compile the classes of an INI file; raises ``ConfigError`` with one line for the first error."""
    classes: list[PriorityClass] = []
    for section in sections(parser, path):
        classes.append(_parse_class(section, classes))
    for priority_class in classes:
        _check_may_preempt(priority_class, classes, path)
    return PriorityConfiguration(classes)


def _parse_class(section: Section, earlier: list[PriorityClass]) -> PriorityClass:
    expected = "expected [class OWNER/NAME]"
    if section.word != "class":
        raise section.error("", expected)
    owner, name = section.owner_and_name(expected)
    if any((priority_class.owner, priority_class.name) == (owner, name) for priority_class in earlier):
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


def _check_may_preempt(priority_class: PriorityClass, classes: list[PriorityClass], path: str) -> None:
    """Raise ``SettingError`` for a pattern of ``may preempt`` that matches no class of the file."""
    for pattern in priority_class.may_preempt:
        single = msgspec.structs.replace(priority_class, may_preempt=[pattern])
        if not any(single.names(other) for other in classes):
            raise SettingError(path, f"class {priority_class.title}", "may preempt", f"no class is named {pattern!r}")


def check_lines(configuration: PriorityConfiguration) -> list[str]:
    """Describe for ``--check`` what each class may preempt, one line per class."""
    lines = []
    for declared in configuration.classes:
        preemptible = [other.title for other in configuration.classes if declared.names(other) and other.preemptible]
        subject = (
            f"class {declared.title} ({', '.join(declared.workloads)}; {', '.join(declared.urgency) or 'any urgency'})"
        )
        allowed = (
            f"may stop {', '.join(preemptible)} where the protocol allows it: "
            f"{declared.max_preemptions_per_minute} a minute, {declared.max_concurrent_preemptions} at once, "
            f"{declared.max_share_of_running:g} of what runs"
            if preemptible
            else "stops nobody"
        )
        stopped = (
            f"may be stopped after {declared.min_run_s:g} s, {declared.max_preemptions_per_task} times a task, until "
            f"{declared.preemptible_for_s:g} s after the first"
            if declared.preemptible and declared.max_preemptions_per_task
            else "is never stopped"
        )
        lines.append(f"{subject}: {allowed}; {stopped}")
    return lines


configuration_type = PriorityConfiguration  # part of the ``configuration.ConfigurationReader`` protocol
