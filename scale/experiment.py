"""An experiment as its INI file describes it, checked, and what it will take of this machine."""

from __future__ import annotations

import configparser
from dataclasses import dataclass, field, fields
from pathlib import Path

MOST_PROCESSES = 200
MEMORY_SHARE = 0.5  # of the machine's; more is refused
CONTROLLER_MB, HOLLOW_MB, WORKER_MB, PLATFORM_MB = 60.0, 60.0, 0.1, 200.0  # measured: docs/CAPACITY.md
MOST_CONTROLLERS, MOST_WORKERS, MOST_TEAMS = 16, 4000, 1000
FAULTS = ("kill controller", "cut zone", "state refuses")


class ExperimentError(Exception):
    """The file is no experiment; the text says why."""


@dataclass(frozen=True)
class Fault:
    """Something that goes wrong at a time."""

    kind: str
    at_s: float
    for_s: float
    target: str = ""


@dataclass(frozen=True)
class Experiment:
    """All that a run needs to know."""

    controllers: int = 3
    workers: int = 12
    workers_per_process: int = 400
    teams: int = 4
    team_cpus: float = 0.0  # each team's limit; 0: none
    zones: int = 1
    seconds: float = 30.0
    jobs_a_minute: float = 60.0
    jobs_at_start: int = 4
    tasks: int = 10
    task_s: float = 5.0
    urgent_share: float = 0.2
    cancelled_share: float = 0.05
    report_s: float = 3.0
    lease_s: float = 17.0
    cancel_s: float = 42.0
    boot_s: float = 5.0
    store_changes: float = 200.0
    store_requests: float = 2000.0
    seed: int = 1
    faults: list[Fault] = field(default_factory=list)

    @property
    def hollow_processes(self) -> int:
        """Processes that the workers share."""
        return -(-self.workers // self.workers_per_process)

    @property
    def processes(self) -> int:
        """All of them: controllers, hollow ones, the platform's, this one."""
        return self.controllers + self.hollow_processes + 2

    @property
    def memory_mb(self) -> float:
        """About what all of them take."""
        hollow = self.hollow_processes * HOLLOW_MB + self.workers * WORKER_MB
        return self.controllers * CONTROLLER_MB + hollow + PLATFORM_MB

    @property
    def sockets(self) -> int:
        """About how many connections and listening sockets there are."""
        mesh = self.controllers * (self.controllers - 1)
        return 2 * (self.workers * 2 + mesh + 8 * self.controllers)

    def zone_names(self) -> list[str]:
        """The zones, by name."""
        return [f"zone-{number}" for number in range(self.zones)]

    def check(self, machine_mb: float, most_sockets: int) -> None:
        """Refuses what this machine should not be asked for."""
        for name, least, most in (
            ("controllers", 1, MOST_CONTROLLERS),
            ("workers", 1, MOST_WORKERS),
            ("teams", 1, MOST_TEAMS),
            ("zones", 1, 20),
            ("tasks", 1, 100_000),
            ("workers_per_process", 1, 1000),
            ("seconds", 1, 3600),
            ("jobs_a_minute", 0, 100_000),
            ("jobs_at_start", 0, 100_000),
            ("task_s", 0.1, 3600),
            ("report_s", 0.5, 60),
            ("lease_s", 5, 120),
            ("cancel_s", 30, 300),
            ("boot_s", 0, 600),
            ("urgent_share", 0, 1),
            ("cancelled_share", 0, 1),
            ("team_cpus", 0, 1e9),
            ("store_changes", 1, 1e6),
            ("store_requests", 1, 1e6),
            ("seed", 0, 2**31),
        ):
            value = getattr(self, name)
            if not least <= value <= most:
                raise ExperimentError(f"{name} = {value:g}: expected {least:g} to {most:g}")
        for fault in self.faults:
            self._check_fault(fault)
        if self.processes > MOST_PROCESSES:
            raise ExperimentError(f"{self.processes} processes: at most {MOST_PROCESSES} may be used")
        if self.memory_mb > machine_mb * MEMORY_SHARE:
            raise ExperimentError(f"{self.memory_mb:.0f} MB: at most half of {machine_mb:.0f} MB may be used")
        if self.sockets > most_sockets:
            raise ExperimentError(f"some {self.sockets} sockets: this process may have {most_sockets}")

    def _check_fault(self, fault: Fault) -> None:
        if not 0 <= fault.at_s < self.seconds:
            raise ExperimentError(f"fault at {fault.at_s:g} s: the run has {self.seconds:g} s")
        names = {
            "kill controller": [f"host-{number}" for number in range(self.controllers)],
            "cut zone": self.zone_names(),
            "state refuses": [""],
        }[fault.kind]
        if fault.target not in names:
            raise ExperimentError(f"fault {fault.kind}: target {fault.target!r} is not among {', '.join(names)}")


def read(path: Path) -> Experiment:
    """The experiment in that file."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        with path.open(encoding="utf-8") as file:
            parser.read_file(file)
    except (OSError, UnicodeDecodeError, configparser.Error) as error:
        raise ExperimentError(f"{path}: {' '.join(str(error).split())}") from None
    values: dict = {}
    faults = []
    for section in parser.sections():
        if section == "experiment":
            values = {name: value_of(path, name, text) for name, text in parser[section].items()}
        elif section.startswith("fault"):
            faults.append(_fault(path, section, dict(parser[section])))
        else:
            raise ExperimentError(f"{path}: [{section}]: expected [experiment] or [fault NAME]")
    return Experiment(**values, faults=faults)


def value_of(path: Path | str, name: str, text: str) -> int | float:
    """A setting's value; ``path``: where it stands."""
    known = {one.name: one.type for one in fields(Experiment) if one.name != "faults"}
    if name not in known:
        raise ExperimentError(f"{path}: {name}: no such setting; there are {', '.join(known)}")
    try:
        return int(text) if known[name] == "int" else float(text)
    except ValueError:
        raise ExperimentError(f"{path}: {name} = {text}: expected a number") from None


def _fault(path: Path, section: str, values: dict[str, str]) -> Fault:
    kind = values.pop("kind", "")
    if kind not in FAULTS:
        raise ExperimentError(f"{path}: [{section}] kind = {kind}: expected one of {', '.join(FAULTS)}")
    try:
        fault = Fault(kind, float(values.pop("at_s")), float(values.pop("for_s")), values.pop("target", ""))
    except (KeyError, ValueError) as error:
        raise ExperimentError(f"{path}: [{section}]: at_s and for_s must be numbers ({error})") from None
    if values:
        raise ExperimentError(f"{path}: [{section}]: no such setting: {', '.join(values)}")
    return fault
