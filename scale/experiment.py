"""Reads an experiment from its INI file, validates it and estimates the resources that it needs on this machine."""

from __future__ import annotations

import configparser
from dataclasses import dataclass, field, fields
from pathlib import Path

MAX_PROCESSES = 200
MAX_MEMORY_SHARE = 0.5  # of the machine's memory
CONTROLLER_MB, HOLLOW_MB, WORKER_MB, PLATFORM_MB = 60.0, 60.0, 0.1, 200.0  # see docs/CAPACITY.md
MAX_CONTROLLERS, MAX_WORKERS, MAX_TEAMS = 16, 4000, 1000
FAULT_KINDS = ("kill controller", "cut zone", "state refuses")


class ExperimentError(Exception):
    """The experiment is invalid or does not fit this machine; the message gives the reason."""


@dataclass(frozen=True)
class Fault:
    """A fault to inject: when, for how long and into what."""

    kind: str
    at_s: float
    for_s: float
    target: str = ""


@dataclass(frozen=True)
class Experiment:
    """The settings of an experiment."""

    controllers: int = 3
    workers: int = 12
    workers_per_process: int = 400
    teams: int = 4
    team_cpus: float = 0.0  # CPU limit of each team; 0: no limit
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
        """Number of processes that run the hollow workers."""
        return -(-self.workers // self.workers_per_process)

    @property
    def processes(self) -> int:
        """Number of all processes: controllers, hollow workers', the platform's and this one."""
        return self.controllers + self.hollow_processes + 2

    @property
    def memory_mb(self) -> float:
        """Estimated memory of all processes."""
        hollow = self.hollow_processes * HOLLOW_MB + self.workers * WORKER_MB
        return self.controllers * CONTROLLER_MB + hollow + PLATFORM_MB

    @property
    def sockets(self) -> int:
        """Estimated number of connections and listening sockets."""
        mesh = self.controllers * (self.controllers - 1)
        return 2 * (self.workers * 2 + mesh + 8 * self.controllers)

    def zone_names(self) -> list[str]:
        """Names of the zones."""
        return [f"zone-{number}" for number in range(self.zones)]

    def check(self, machine_memory_mb: float, max_sockets: int) -> None:
        """Raises ExperimentError for values out of range and for more resources than this machine may give."""
        for name, minimum, maximum in (
            ("controllers", 1, MAX_CONTROLLERS),
            ("workers", 1, MAX_WORKERS),
            ("teams", 1, MAX_TEAMS),
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
            if not minimum <= value <= maximum:
                raise ExperimentError(f"{name} = {value:g}: expected {minimum:g} to {maximum:g}")
        for fault in self.faults:
            self._check_fault(fault)
        if self.processes > MAX_PROCESSES:
            raise ExperimentError(f"{self.processes} processes: at most {MAX_PROCESSES} are allowed")
        if self.memory_mb > machine_memory_mb * MAX_MEMORY_SHARE:
            raise ExperimentError(f"{self.memory_mb:.0f} MB: at most half of {machine_memory_mb:.0f} MB are allowed")
        if self.sockets > max_sockets:
            raise ExperimentError(f"about {self.sockets} sockets: the limit of open files is {max_sockets}")

    def _check_fault(self, fault: Fault) -> None:
        if not 0 <= fault.at_s < self.seconds:
            raise ExperimentError(f"fault at {fault.at_s:g} s: the run lasts {self.seconds:g} s")
        targets = {
            "kill controller": [f"host-{number}" for number in range(self.controllers)],
            "cut zone": self.zone_names(),
            "state refuses": [""],
        }[fault.kind]
        if fault.target not in targets:
            raise ExperimentError(f"fault {fault.kind}: target {fault.target!r} is not among {', '.join(targets)}")


def read(path: Path) -> Experiment:
    """Parses the experiment file; raises ExperimentError."""
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
            values = {name: parse_value(path, name, text) for name, text in parser[section].items()}
        elif section.startswith("fault"):
            faults.append(_parse_fault(path, section, dict(parser[section])))
        else:
            raise ExperimentError(f"{path}: [{section}]: expected [experiment] or [fault NAME]")
    return Experiment(**values, faults=faults)


def parse_value(path: Path | str, name: str, text: str) -> int | float:
    """Parses the value of a setting; ``path``: its file or option, for error messages."""
    types = {setting.name: setting.type for setting in fields(Experiment) if setting.name != "faults"}
    if name not in types:
        raise ExperimentError(f"{path}: {name}: no such setting; expected one of {', '.join(types)}")
    try:
        return int(text) if types[name] == "int" else float(text)
    except ValueError:
        raise ExperimentError(f"{path}: {name} = {text}: expected a number") from None


def _parse_fault(path: Path, section: str, values: dict[str, str]) -> Fault:
    kind = values.pop("kind", "")
    if kind not in FAULT_KINDS:
        raise ExperimentError(f"{path}: [{section}] kind = {kind}: expected one of {', '.join(FAULT_KINDS)}")
    try:
        fault = Fault(kind, float(values.pop("at_s")), float(values.pop("for_s")), values.pop("target", ""))
    except (KeyError, ValueError) as error:
        raise ExperimentError(f"{path}: [{section}]: at_s and for_s must be numbers ({error})") from None
    if values:
        raise ExperimentError(f"{path}: [{section}]: no such setting: {', '.join(values)}")
    return fault
