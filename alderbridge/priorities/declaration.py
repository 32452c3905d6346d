"""Priority classes as operators declare them: read, checked, and said in words."""

from __future__ import annotations

import configparser
from fnmatch import fnmatchcase

import msgspec

from alderbridge.protocol.wire import PRIORITIES, JobSpec
from alderbridge.settings import ConfigError

# key -> (default, lowest, highest, whole number)
_NUMBERS: dict[str, tuple[float, float, float, bool]] = {
    "stops a minute": (60, 0, 100_000, True),
    "stops at once": (20, 0, 100_000, True),
    "share": (0.05, 0.0, 1.0, False),
    "least run": (10.0, 0.0, 86_400.0, False),
    "most stops": (2, 0, 1000, True),
    "waits at most": (600.0, 0.0, 864_000.0, False),
}
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
        return f"{self.owner}/{self.name}"

    def holds(self, spec: JobSpec) -> bool:
        return (
            fnmatchcase(spec.team, self.owner)
            and (not self.urgency or spec.priority in self.urgency)
            and any(fnmatchcase(spec.job_class, pattern) for pattern in self.workloads)
        )

    def names(self, other: PriorityClass) -> bool:
        """Whether its ``may preempt`` names the other class."""
        return any(fnmatchcase(other.title if "/" in pattern else other.name, pattern) for pattern in self.may_preempt)


class Text(msgspec.Struct, frozen=True):
    """A declaration of priorities, compiled; also its form in the store."""

    classes: list[PriorityClass] = []  # a job belongs to the first that holds it

    def of(self, spec: JobSpec) -> PriorityClass | None:
        return next((one for one in self.classes if one.holds(spec)), None)


def parse(parser: configparser.ConfigParser, path: str) -> Text:
    """The classes of an INI file; ``[declaration]`` is left to the caller. ``ConfigError``: one line for the fault."""
    classes: list[PriorityClass] = []
    for section in parser.sections():
        if section == "declaration":
            continue
        word, _, title = section.partition(" ")
        owner, slash, name = title.strip().partition("/")
        if word != "class" or not slash or not owner or not name or "/" in name or " " in title.strip():
            raise ConfigError(f"{path}: [{section}]: expected [class OWNER/NAME]")
        if any((one.owner, one.name) == (owner, name) for one in classes):
            raise ConfigError(f"{path}: [{section}]: declared twice")
        values = dict(parser.items(section))
        for key in values:
            if key not in _KEYS:
                raise ConfigError(f"{path}: [{section}] {key}: no such setting; there are {', '.join(_KEYS)}")
        urgency = _words(values.get("urgency", ""))
        for one in urgency:
            if one not in PRIORITIES:
                raise ConfigError(f"{path}: [{section}] urgency: expected some of {', '.join(PRIORITIES)}, got {one!r}")
        yes = values.get("preemptible", "no")
        if yes not in ("yes", "no"):
            raise ConfigError(f"{path}: [{section}] preemptible: expected yes or no, got {yes!r}")
        numbers = [_number(path, section, key, values) for key in _NUMBERS]
        workloads = _words(values.get("workloads", "*"))
        if not workloads:
            raise ConfigError(f"{path}: [{section}] workloads: expected names or patterns, got none")
        classes.append(
            PriorityClass(
                owner, name, workloads, urgency, _words(values.get("may preempt", "")), yes == "yes", *numbers
            )
        )
    for one in classes:
        for pattern in one.may_preempt:
            alone = msgspec.structs.replace(one, may_preempt=[pattern])
            if not any(alone.names(other) for other in classes):
                raise ConfigError(f"{path}: [class {one.title}] may preempt: no class is named {pattern!r}")
    return Text(classes)


def _words(text: str) -> list[str]:
    return [word.strip() for word in text.replace("\n", ",").split(",") if word.strip()]


def _number(path: str, section: str, key: str, values: dict[str, str]) -> float | int:
    default, low, high, whole = _NUMBERS[key]
    text = values.get(key)
    try:
        number = default if text is None else int(text) if whole else float(text)
    except ValueError:
        number = None
    if number is None or not low <= number <= high:
        kind = "a whole number" if whole else "a number"
        raise ConfigError(f"{path}: [{section}] {key}: expected {kind} from {low:g} to {high:g}, got {text!r}")
    return number


def check_lines(text: Text) -> list[str]:
    """Who may stop whom, for ``--check``: one line a class."""
    lines = []
    for one in text.classes:
        others = [other.title for other in text.classes if one.names(other) and other.preemptible]
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
