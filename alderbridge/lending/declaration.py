"""Lending as operators declare it: read, checked, and said in words."""

from __future__ import annotations

import configparser
from fnmatch import fnmatchcase

import msgspec

from alderbridge.protocol.wire import JobSpec
from alderbridge.settings import ConfigError

# section -> key -> (field, default, lowest, highest, whole number); lengths of time in s
_KEYS: dict[str, dict[str, tuple[str, float, float, float, bool]]] = {
    "serve": {},
    "lend": {
        "least run": ("least_run_s", 20.0, 0.0, 86_400.0, False),
        "most stops": ("most_stops", 3, 0, 1000, True),
        "waits at most": ("waits_at_most_s", 900.0, 0.0, 864_000.0, False),
    },
    "reserve": {"gpus": ("gpus", 0.0, 0.0, 100_000.0, False)},
    "pace": {
        "gpus a minute": ("gpus_a_minute", 64, 0, 100_000, True),
        "gpus at once": ("gpus_at_once", 32, 0, 100_000, True),
        "keep": ("keep_s", 30.0, 0.0, 86_400.0, False),
    },
}


class Serve(msgspec.Struct, frozen=True):
    """Services with GPUs that lent GPUs come back for: one owner's, or of all that a pattern names."""

    owner: str
    workload: str

    def holds(self, spec: JobSpec) -> bool:
        return spec.service and spec.gpus > 0 and _matches(self, spec)


class Lend(msgspec.Struct, frozen=True):
    """Work with GPUs that may be stopped for replicas, but for services."""

    owner: str
    workload: str
    least_run_s: float  # a task is not stopped before
    most_stops: int  # of one task
    waits_at_most_s: float  # so long after its first stop, a job is not stopped any more

    def holds(self, spec: JobSpec) -> bool:
        return not spec.service and spec.gpus > 0 and _matches(self, spec)


class Text(msgspec.Struct, frozen=True):
    """A declaration of lending, compiled; also its form in the store. A job belongs to the first that holds it."""

    serve: list[Serve] = []
    lend: list[Lend] = []
    reserve: dict[str, float] = {}  # team -> GPUs that are not lent while its replicas do not use them
    gpus_a_minute: int = 0  # that come back for a team's replicas
    gpus_at_once: int = 0
    keep_s: float = 0.0  # what replicas used within it is not lent again

    def serves(self, spec: JobSpec) -> bool:
        return any(one.holds(spec) for one in self.serve)

    def lends(self, spec: JobSpec) -> Lend | None:
        return next((one for one in self.lend if one.holds(spec)), None)


def _matches(one: Serve | Lend, spec: JobSpec) -> bool:
    return fnmatchcase(spec.team, one.owner) and fnmatchcase(spec.job_class, one.workload)


def parse(parser: configparser.ConfigParser, path: str) -> Text:
    """The text of an INI file; ``[declaration]`` is left to the caller. ``ConfigError``: one line for the fault."""
    serve: list[Serve] = []
    lend: list[Lend] = []
    reserve: dict[str, float] = {}
    pace: dict[str, float] = {field: default for field, default, *_ in _KEYS["pace"].values()}
    for section in parser.sections():
        word, _, name = section.partition(" ")
        name = name.strip()
        owner, slash, workload = name.partition("/")
        if section == "declaration":
            continue
        if word in ("serve", "lend"):
            good = slash and owner and workload and "/" not in workload and " " not in name
        else:
            good = word == "reserve" and name and "/" not in name and " " not in name or section == "pace"
        if not good:
            raise ConfigError(
                f"{path}: [{section}]: expected [serve OWNER/WORKLOAD], [lend OWNER/WORKLOAD], [reserve TEAM] or [pace]"
            )
        if word in ("serve", "lend") and any((one.owner, one.workload) == (owner, workload) for one in [*serve, *lend]):
            raise ConfigError(f"{path}: [{section}]: declared before; a class serves or lends, once")
        values = dict(parser.items(section))
        for key in values:
            if key not in _KEYS[word]:
                raise ConfigError(
                    f"{path}: [{section}] {key}: no such setting; there are {', '.join(_KEYS[word]) or 'none here'}"
                )
        numbers = {
            field: _number(path, section, key, values.get(key), *rest) for key, (field, *rest) in _KEYS[word].items()
        }
        if word == "serve":
            serve.append(Serve(owner, workload))
        elif word == "lend":
            lend.append(Lend(owner, workload, **numbers))
        elif word == "reserve":
            reserve[name] = numbers["gpus"]
        else:
            pace = numbers
    if not serve:
        raise ConfigError(f"{path}: expected at least one [serve OWNER/WORKLOAD]")
    for team in reserve:
        if not any(fnmatchcase(team, one.owner) for one in serve):
            raise ConfigError(f"{path}: [reserve {team}]: no [serve {team}/WORKLOAD], so nothing would use it")
    return Text(serve, lend, reserve, **pace)


def _number(
    path: str, section: str, key: str, text: str | None, default: float, low: float, high: float, whole: bool
) -> float:
    try:
        number = default if text is None else int(text) if whole else float(text)
    except ValueError:
        number = None
    if number is None or not low <= number <= high:
        kind = "a whole number" if whole else "a number"
        raise ConfigError(f"{path}: [{section}] {key}: expected {kind} from {low:g} to {high:g}, got {text!r}")
    return number


def check_lines(text: Text) -> list[str]:
    """Who serves, who lends and how fast GPUs come back, for ``--check``."""
    lines = [
        f"serve {one.owner}/{one.workload}: replicas with GPUs get lent ones back, within the team's guarantee"
        for one in text.serve
    ]
    for one in text.lend:
        how = (
            f"after {one.least_run_s:g} s, {one.most_stops} times a task, until {one.waits_at_most_s:g} s after "
            f"its job's first stop"
            if one.most_stops
            else "never"
        )
        lines.append(f"lend {one.owner}/{one.workload}: stopped for replicas {how}")
    lines += [f"reserve {team}: {gpus:g} GPUs are not lent, where they are free" for team, gpus in text.reserve.items()]
    if text.serve:
        lines.append(
            f"pace: {text.gpus_a_minute} GPUs a minute and {text.gpus_at_once} at once come back for a team; "
            f"what replicas used is not lent again for {text.keep_s:g} s"
        )
    return lines
