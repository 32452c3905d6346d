"""Reads and validates the platform's settings (JSON) and the operators' settings (INI)."""

from __future__ import annotations

import configparser
from pathlib import Path
from typing import Any, NamedTuple, TypeVar

import msgspec

from alderbridge import constants

DEFAULT_INI = "/etc/alderbridge/alderbridge.ini"
KINDS = {
    "priorities": "priorities",
    "hours": "calendars",
    "lending": "lending",
}  # kind of operator configuration -> package that implements it


class ConfigError(Exception):
    """A settings file is invalid; the message is one line with the file, the key and what was expected."""


class Peer(msgspec.Struct, frozen=True):
    """Another controller of the platform."""

    label: str
    location: str
    addr: str


class Endpoints(msgspec.Struct, frozen=True):
    """``HOST:PORT`` of the services that controllers use."""

    cloud: str
    state: str


class Team(msgspec.Struct, frozen=True):
    """A team's guaranteed quota, and its limits (``_max``; 0: unlimited)."""

    name: str
    cpus: float = 0.0
    cpus_max: float = 0.0
    gpus: float = 0.0
    gpus_max: float = 0.0


class Objective(msgspec.Struct, frozen=True):
    """A service-level objective of the platform."""

    kind: str
    job_class: str | None = msgspec.field(default=None, name="class")
    within_s: float | None = None
    share: float = 0.0
    times: float | None = None


class WorkerTimes(msgspec.Struct, frozen=True):
    """Heartbeat interval, lease duration, and time within which a cancelled job must have ended."""

    report_s: float
    lease_s: float
    cancel_s: float


class NextStateLimits(msgspec.Struct, frozen=True):
    """Limits that the state service will change to at an unspecified time; None: unchanged."""

    rps: float | None = None
    write_rps: float | None = None
    value_kb: float | None = None
    txn_ops: int | None = None


Number = TypeVar("Number", int, float)


def _lower_limit(current: Number, upcoming: Number | None) -> Number:
    return current if upcoming is None else min(current, upcoming)


class StateLimits(msgspec.Struct, frozen=True):
    """Current limits of the state service; ``next``: announced changes."""

    rps: float
    write_rps: float
    value_kb: float
    txn_ops: int
    next: NextStateLimits | None = None

    @property
    def effective(self) -> StateLimits:
        """The lower of the current and the announced value of each limit, as the time of the change is not known."""
        upcoming = self.next or NextStateLimits()
        return StateLimits(
            rps=_lower_limit(self.rps, upcoming.rps),
            write_rps=_lower_limit(self.write_rps, upcoming.write_rps),
            value_kb=_lower_limit(self.value_kb, upcoming.value_kb),
            txn_ops=_lower_limit(self.txn_ops, upcoming.txn_ops),
        )


class CloudSettings(msgspec.Struct, frozen=True):
    """Rate limit of the cloud's API, and how far its list of machines may lag behind."""

    rps: float
    list_lag_s: float


class ProcessLimits(msgspec.Struct, frozen=True):
    """Resource limits of one controller process."""

    cpu: float
    memory_mb: float
    max_sockets: int


class SharedSettings(msgspec.Struct, frozen=True):
    """Settings that are the same for all controllers."""

    zones: list[str]
    teams: list[Team]
    workers: WorkerTimes
    state: StateLimits
    cloud: CloudSettings
    limits: ProcessLimits
    objectives: list[Objective] = []
    skew_ms: float = 0.0


class PlatformSettings(msgspec.Struct, frozen=True):
    """The platform's settings file of one controller."""

    label: str
    location: str
    listen: str
    mesh_addr: str
    peers: list[Peer]
    endpoints: Endpoints
    settings: SharedSettings


class Tuning(msgspec.Struct, frozen=True):
    """Operators' settings: the INI sections [policy], [log] and [declared]."""

    target_ratio: float = constants.TARGET_RATIO
    workload_multiplier: float = constants.WORKLOAD_MULTIPLIER
    queue_time_floor_s: float = constants.QUEUE_TIME_FLOOR_S
    bid_share: float = constants.BID_SHARE
    max_machines: int = constants.MAX_MACHINES
    log_format: str = "%(levelname)s %(name)s %(message)s"
    declared: dict[str, str] = {}  # kind of operator configuration -> path of its file


class _Range(NamedTuple):
    """INI section and valid range of a number; it must be an integer where ``lowest`` is one."""

    section: str
    lowest: float
    highest: float


_RANGES = {
    "target_ratio": _Range("policy", 0.0, 100.0),
    "workload_multiplier": _Range("policy", 0.01, 100.0),
    "queue_time_floor_s": _Range("policy", 0.0, 86400.0),
    "bid_share": _Range("policy", 0.0, 10.0),
    "max_machines": _Range("policy", 0, 100_000),
}


def address(text: str) -> tuple[str, int]:
    """Split ``host:port``."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"expected HOST:PORT, got {text!r}")
    return host, int(port)


def load_platform_settings(path: str) -> PlatformSettings:
    """Read and validate the platform's settings file; raises ``ConfigError`` for the first error."""
    try:
        raw = Path(path).read_bytes()
    except OSError as error:
        raise ConfigError(f"{path}: cannot be read: {error.strerror}") from None
    try:
        platform = msgspec.json.decode(raw, type=PlatformSettings)
    except msgspec.DecodeError as error:
        raise ConfigError(f"{path}: {error}") from None
    _check_addresses(platform, path)
    labels = [platform.label, *(peer.label for peer in platform.peers)]
    if len(set(labels)) != len(labels):
        raise ConfigError(f"{path}: peers: expected unique labels, got {labels}")
    _check_numbers(platform.settings, path)
    return platform


def _check_addresses(platform: PlatformSettings, path: str) -> None:
    addresses = {
        "listen": platform.listen,
        "mesh_addr": platform.mesh_addr,
        "endpoints.cloud": platform.endpoints.cloud,
        "endpoints.state": platform.endpoints.state,
    }
    addresses |= {f"peers[{i}].addr": peer.addr for i, peer in enumerate(platform.peers)}
    for key, value in addresses.items():
        try:
            address(value)
        except ValueError as error:
            raise ConfigError(f"{path}: {key}: {error}") from None


def _check_numbers(shared: SharedSettings, path: str) -> None:
    """Raise ``ConfigError`` for a number that must be positive and is not."""
    positive: dict[str, float] = {
        "workers.lease_s": shared.workers.lease_s,
        "workers.report_s": shared.workers.report_s,
        "workers.cancel_s": shared.workers.cancel_s,
        "state.rps": shared.state.rps,
        "state.write_rps": shared.state.write_rps,
        "state.txn_ops": shared.state.txn_ops,
        "state.value_kb": shared.state.value_kb,
        "cloud.rps": shared.cloud.rps,
        "limits.max_sockets": shared.limits.max_sockets,
    }
    if shared.state.next is not None:
        upcoming = msgspec.structs.asdict(shared.state.next)
        positive |= {f"state.next.{key}": number for key, number in upcoming.items() if number is not None}
    for key, number in positive.items():
        if number <= 0:
            raise ConfigError(f"{path}: settings.{key}: expected a number above 0, got {number}")


def read_ini(path: str) -> configparser.ConfigParser:
    """Read an INI file; raises ``ConfigError`` if it cannot be read or parsed."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        with open(path, encoding="utf-8") as file:
            parser.read_file(file)
    except OSError as error:
        raise ConfigError(f"{path}: cannot be read: {error.strerror}") from None
    except (configparser.Error, UnicodeDecodeError) as error:
        raise ConfigError(f"{path}: not an INI file: {' '.join(str(error).split())}") from None
    return parser


def load_tuning(path: str | None) -> Tuning:
    """Read the operators' settings; the defaults apply if ``path`` is None and there is no ``DEFAULT_INI``."""
    if path is None:
        if not Path(DEFAULT_INI).is_file():
            return Tuning()
        path = DEFAULT_INI
    parser = read_ini(path)
    known_keys = {(valid_range.section, key) for key, valid_range in _RANGES.items()} | {("log", "log_format")}
    known_keys |= {("declared", kind) for kind in KINDS}
    values: dict[str, Any] = {}
    declared: dict[str, str] = {}
    for section in parser.sections():
        for key, text in parser.items(section):
            if (section, key) not in known_keys:
                raise ConfigError(f"{path}: [{section}] {key}: no such setting")
            if section == "declared":
                if not text:
                    raise ConfigError(f"{path}: [declared] {key}: expected the path of a file, got nothing")
                declared[key] = str(Path(path).parent / text)
                continue
            values[key] = text if key == "log_format" else _parse_number(path, section, key, text)
    return Tuning(**values, declared=declared)


def _parse_number(path: str, section: str, key: str, text: str) -> float:
    _, lowest, highest = _RANGES[key]
    number: float | None
    try:
        number = int(text) if isinstance(lowest, int) else float(text)
    except ValueError:
        number = None
    if number is None or not lowest <= number <= highest:
        kind = "a whole number" if isinstance(lowest, int) else "a number"
        raise ConfigError(f"{path}: [{section}] {key}: expected {kind} from {lowest} to {highest}, got {text!r}")
    return number
