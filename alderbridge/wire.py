"""Outer field names and their validation; wire words stay in this module.

Inside, the field's usual terms are used: array, service, priority, task,
attempt, image, spot, zone, machine type.
"""

from __future__ import annotations

import re
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct, field

from . import constants as c

JOB_ID = re.compile(r"wk-[0-9]{1,18}\Z")
PRIORITIES = ("best_effort", "standard", "high", "production")  # lowest first
_RANKS = {name: rank for rank, name in enumerate(PRIORITIES)}

Positive = Annotated[float, Meta(gt=0, le=1e9)]
Amount = Annotated[float, Meta(ge=0, le=1e9)]
Name = Annotated[str, Meta(min_length=1, max_length=100)]


class JobSpec(Struct, frozen=True, omit_defaults=True):
    """What a user submits; also the form kept in the job's record."""

    id: str
    job_class: Name = field(name="workload")
    team: Name = field(name="owner")
    kind: Literal["sweep", "standing", "group"] = field(name="shape")
    priority: Literal["production", "high", "standard", "best_effort"] = field(name="urgency")
    tasks: Annotated[int, Meta(ge=1, le=c.MAX_PARTS)] = field(name="parts")
    cpus: Positive = field(name="vcpus")
    memory_gb: Amount = field(name="mem_gb")
    image: Name = field(name="bundle")
    image_gb: Amount
    estimate_s: Amount = field(name="expected_s")
    gpus: Amount = field(name="accelerators", default=0.0)
    checkpoint_s: Amount = field(name="snapshot_every_s", default=0.0)
    save_s: Amount = field(name="snapshot_s", default=0.0)
    types: list[Name] | None = field(name="flavours", default=None)
    zone: Name | None = field(name="site", default=None)
    one_zone: bool = field(name="together", default=False)
    spread: bool = field(name="apart", default=False)
    spot: bool = field(name="standby", default=False)
    due_s: Amount | None = None
    needs: list[str] | None = field(name="waits_on", default=None)

    @property
    def service(self) -> bool:
        return self.kind == "standing"

    @property
    def gang(self) -> bool:
        """Tasks that run only together; a task that waits for the others is ``waiting``."""
        return self.kind == "group"

    @property
    def rank(self) -> int:
        """Priority as a number; higher goes first."""
        return _RANKS[self.priority]


class ReportedTask(Struct, frozen=True):
    part: str
    attempt: int = field(name="try")
    status: str
    cause: str | None = None


class Beat(Struct, frozen=True):
    machine: str = field(name="host")
    address: str
    type: str = field(name="flavour")
    tenure: int
    counter: int
    mandate: int
    zone: str = field(name="site", default="")
    spot: bool = field(name="standby", default=False)
    recall_s: float | None = None
    tasks: list[ReportedTask] = field(name="parts", default_factory=list)


class MachineRecord(Struct, frozen=True, omit_defaults=True):
    """What the store keeps of a machine: that tasks may be on it, which ones, and where it can be asked."""

    address: str = ""
    type: str = ""  # empty: written by a version that did not keep it
    zone: str = ""
    spot: bool = False


class MachineType(Struct, frozen=True):
    name: str
    cpus: float = field(name="vcpus")
    memory_gb: float = field(name="mem_gb")
    price: float = field(name="rate")
    boot_s: float = field(name="ready_s")
    gpus: float = field(name="accelerators", default=0.0)
    cache_gb: float = field(name="local_gb", default=0.0)
    fetch_gb_per_s: float = field(name="pull_gb_per_s", default=1.0)
    spot_price: float | None = None
    zones: list[str] = field(name="sites", default_factory=list)


class Flavours(Struct, frozen=True):
    flavours: list[MachineType]


class Listed(Struct, frozen=True):
    id: str
    type: str = field(name="flavour")
    status: str
    held_s: float
    zone: str = field(name="site", default="")
    spot: bool = field(name="standby", default=False)


class Listing(Struct, frozen=True):
    hosts: list[Listed]
    has_next: bool = False


class Rented(Struct, frozen=True):
    hosts: list[str]


class Row(Struct, frozen=True):
    key: str = field(name="k")
    data: msgspec.Raw
    stamp: int


class Rows(Struct, frozen=True):
    rows: list[Row]
    epoch: int
    has_next: bool = False


class Change(Struct, frozen=True):
    put: str | None = None
    drop: str | None = None
    data: msgspec.Raw = msgspec.Raw(b"null")
    stamp: int = 0


class Changes(Struct, frozen=True):
    epoch: int
    log: list[Change]


class Committed(Struct, frozen=True):
    epoch: int = 0
    failed: list[str] = []


class Hold(Struct, frozen=True):
    permit: int


class _Given(Struct):
    """What has a value in each submission, though a record leaves it out where it has its default."""

    gpus: msgspec.Raw = field(name="accelerators")
    checkpoint_s: msgspec.Raw = field(name="snapshot_every_s")
    save_s: msgspec.Raw = field(name="snapshot_s")
    one_zone: msgspec.Raw = field(name="together")
    spread: msgspec.Raw = field(name="apart")
    spot: msgspec.Raw = field(name="standby")


class _Named(Struct):
    id: str


_spec = msgspec.json.Decoder(JobSpec)
_given = msgspec.json.Decoder(_Given)
_named = msgspec.json.Decoder(_Named)
_ID_IN = re.compile(rb'"id"\s*:\s*"(wk-[0-9]{1,18})"')
_beat = msgspec.json.Decoder(Beat)
encode = msgspec.json.encode


class Malformed(ValueError):
    """A body that is answered 400."""


def parse_job(body: bytes) -> JobSpec:
    try:
        spec = _spec.decode(body)
        _given.decode(body)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        raise Malformed(str(error)) from None
    if not JOB_ID.match(spec.id):
        raise Malformed("id: expected wk- and digits")
    if not all(JOB_ID.match(need) for need in spec.needs or ()):
        raise Malformed("waits_on: expected ids of jobs")
    return spec


def named(body: bytes) -> str:
    """The job that a body speaks of which is no submission; "" where that can't be made out."""
    try:
        job = _named.decode(body).id
        return job if JOB_ID.match(job) else ""
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError):
        found = set(_ID_IN.findall(body))  # not JSON, or not an object
        return found.pop().decode() if len(found) == 1 else ""


def parse_beat(body: bytes) -> Beat:
    try:
        return _beat.decode(body)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        raise Malformed(str(error)) from None


def split_task(part: str) -> tuple[str, int]:
    job, _, index = part.rpartition("/")
    return (job, int(index)) if index.isdigit() else ("", -1)


def error(text: str) -> bytes:
    return encode({"error": text})


def accepted(job: str, status: str) -> bytes:
    return encode({"id": job, "status": status})


def job_status(job: str, status: str, done: int, running: int) -> bytes:
    return encode({"id": job, "status": status, "done": done, "running": running})


def beat_answer(mandate: int, orders: list[dict[str, Any]]) -> bytes:
    return encode({"mandate": mandate, "orders": orders})


def acknowledge(mandate: int, tenure: int) -> bytes:
    """The body of an empty ``/commands``."""
    return encode({"mandate": mandate, "tenure": tenure, "orders": []})


def run_order(job: str, index: int, attempt: int) -> dict[str, Any]:
    return {"verb": "run", "part": f"{job}/{index}", "try": attempt}


def halt_order(job: str, index: int, attempt: int, wind_down_s: float) -> dict[str, Any]:
    return {"verb": "halt", "part": f"{job}/{index}", "try": attempt, "wind_down_s": wind_down_s}


def clear_order(job: str, index: int, attempt: int) -> dict[str, Any]:
    return {"verb": "clear", "part": f"{job}/{index}", "try": attempt}


def rental(name: str, machine_type: str, zone: str, spot: bool, count: int) -> bytes:
    return encode({"hire": name, "flavour": machine_type, "site": zone, "standby": spot, "number": count})
