"""The platform's settings (JSON) and the operators' own (INI), both checked."""

from __future__ import annotations

import configparser
from pathlib import Path

import msgspec

from alderbridge import constants

DEFAULT_INI = "/etc/alderbridge/alderbridge.ini"
KINDS = {
    "priorities": "priorities",
    "hours": "calendars",
    "lending": "lending",
}  # what operators declare -> its package


class ConfigError(Exception):
    """One line that names the file, the key and what was expected."""


class Peer(msgspec.Struct, frozen=True):
    label: str
    location: str
    addr: str


class Endpoints(msgspec.Struct, frozen=True):
    cloud: str
    state: str


class Team(msgspec.Struct, frozen=True):
    name: str
    cpus: float = 0.0
    cpus_max: float = 0.0
    gpus: float = 0.0
    gpus_max: float = 0.0


class Objective(msgspec.Struct, frozen=True):
    kind: str
    job_class: str | None = msgspec.field(default=None, name="class")
    within_s: float | None = None
    share: float = 0.0
    times: float | None = None


class Workers(msgspec.Struct, frozen=True):
    report_s: float
    lease_s: float
    cancel_s: float


class NextState(msgspec.Struct, frozen=True):
    """Limits that the state service will have from some moment on; what is missing stays as it is."""

    rps: float | None = None
    write_rps: float | None = None
    value_kb: float | None = None
    txn_ops: int | None = None


class State(msgspec.Struct, frozen=True):
    rps: float
    write_rps: float
    value_kb: float
    txn_ops: int
    next: NextState | None = None

    @property
    def kept(self) -> State:
        """The tighter of both limits, each: nobody says when the change comes."""
        later = self.next or NextState()
        rps, writes, size, ops = (
            have if new is None else min(have, new)
            for have, new in (
                (self.rps, later.rps),
                (self.write_rps, later.write_rps),
                (self.value_kb, later.value_kb),
                (self.txn_ops, later.txn_ops),
            )
        )
        return State(rps, writes, size, ops)


class Cloud(msgspec.Struct, frozen=True):
    rps: float
    list_lag_s: float


class Limits(msgspec.Struct, frozen=True):
    cpu: float
    memory_mb: float
    max_sockets: int


class Shared(msgspec.Struct, frozen=True):
    zones: list[str]
    teams: list[Team]
    workers: Workers
    state: State
    cloud: Cloud
    limits: Limits
    objectives: list[Objective] = []
    skew_ms: float = 0.0


class Platform(msgspec.Struct, frozen=True):
    """The file that the platform hands over."""

    label: str
    location: str
    listen: str
    mesh_addr: str
    peers: list[Peer]
    endpoints: Endpoints
    settings: Shared


class Tuning(msgspec.Struct, frozen=True):
    """What operators may set, in the INI sections [policy], [log] and [declared]."""

    target_ratio: float = constants.TARGET_RATIO
    workload_multiplier: float = constants.WORKLOAD_MULTIPLIER
    queue_time_floor_s: float = constants.QUEUE_TIME_FLOOR_S
    bid_share: float = constants.BID_SHARE
    max_machines: int = constants.MAX_MACHINES
    log_format: str = "%(levelname)s %(name)s %(message)s"
    declared: dict[str, str] = {}  # kind -> path of its file


# key -> (section, lowest, highest)
_RANGES: dict[str, tuple[str, float, float]] = {
    "target_ratio": ("policy", 0.0, 100.0),
    "workload_multiplier": ("policy", 0.01, 100.0),
    "queue_time_floor_s": ("policy", 0.0, 86400.0),
    "bid_share": ("policy", 0.0, 10.0),
    "max_machines": ("policy", 0, 100_000),
}


def address(text: str) -> tuple[str, int]:
    """Split ``host:port``."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"expected HOST:PORT, got {text!r}")
    return host, int(port)


def load_platform(path: str) -> Platform:
    try:
        raw = Path(path).read_bytes()
    except OSError as error:
        raise ConfigError(f"{path}: cannot be read: {error.strerror}") from None
    try:
        conf = msgspec.json.decode(raw, type=Platform)
    except msgspec.DecodeError as error:
        raise ConfigError(f"{path}: {error}") from None
    places = {
        "listen": conf.listen,
        "mesh_addr": conf.mesh_addr,
        "endpoints.cloud": conf.endpoints.cloud,
        "endpoints.state": conf.endpoints.state,
    }
    places |= {f"peers[{i}].addr": peer.addr for i, peer in enumerate(conf.peers)}
    for key, value in places.items():
        try:
            address(value)
        except ValueError as error:
            raise ConfigError(f"{path}: {key}: {error}") from None
    labels = [conf.label, *(peer.label for peer in conf.peers)]
    if len(set(labels)) != len(labels):
        raise ConfigError(f"{path}: peers: expected labels that differ, got {labels}")
    shared = conf.settings
    positive = {
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
        coming = msgspec.structs.asdict(shared.state.next)
        positive |= {f"state.next.{key}": number for key, number in coming.items() if number is not None}
    for key, number in positive.items():
        if number <= 0:
            raise ConfigError(f"{path}: settings.{key}: expected a number above 0, got {number}")
    return conf


def read_ini(path: str) -> configparser.ConfigParser:
    """``ConfigError`` where it can't be read, or is no INI file."""
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
    """Read the operators' INI file; without one, the defaults hold."""
    if path is None:
        if not Path(DEFAULT_INI).is_file():
            return Tuning()
        path = DEFAULT_INI
    parser = read_ini(path)
    known = {(section, key) for key, (section, _, _) in _RANGES.items()} | {("log", "log_format")}
    known |= {("declared", kind) for kind in KINDS}
    values: dict[str, float | int | str] = {}
    files: dict[str, str] = {}
    for section in parser.sections():
        for key, text in parser.items(section):
            if (section, key) not in known:
                raise ConfigError(f"{path}: [{section}] {key}: no such setting")
            if section == "declared":
                if not text:
                    raise ConfigError(f"{path}: [declared] {key}: expected the path of a file, got nothing")
                files[key] = str(Path(path).parent / text)
                continue
            values[key] = text if key == "log_format" else _number(path, section, key, text)
    return Tuning(**values, declared=files)


def _number(path: str, section: str, key: str, text: str) -> float | int:
    _, low, high = _RANGES[key]
    try:
        number = int(text) if isinstance(low, int) else float(text)
    except ValueError:
        number = None
    if number is None or not low <= number <= high:
        kind = "a whole number" if isinstance(low, int) else "a number"
        raise ConfigError(f"{path}: [{section}] {key}: expected {kind} from {low} to {high}, got {text!r}")
    return number
