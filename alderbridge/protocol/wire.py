"""Outer field names and their validation; wire words stay in this module.

Inside, the field's usual terms are used: array, service, priority, task,
attempt, image, spot, zone, machine type.
"""

from __future__ import annotations

import re
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct, field

from alderbridge import constants

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
    tasks: Annotated[int, Meta(ge=1, le=constants.MAX_TASKS)] = field(name="parts")
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
    task_id: str = field(name="part")
    attempt: int = field(name="try")
    status: str
    cause: str | None = None


class Heartbeat(Struct, frozen=True):
    machine: str = field(name="host")
    address: str
    type: str = field(name="flavour")
    incarnation: int = field(name="tenure")
    sequence: int = field(name="counter")
    fencing_token: int = field(name="mandate")
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


class MachineTypes(Struct, frozen=True):
    types: list[MachineType] = field(name="flavours")


class ListedMachine(Struct, frozen=True):
    id: str
    type: str = field(name="flavour")
    status: str
    held_s: float
    zone: str = field(name="site", default="")
    spot: bool = field(name="standby", default=False)


class MachineListing(Struct, frozen=True):
    hosts: list[ListedMachine]
    has_next: bool = False


class RentedMachines(Struct, frozen=True):
    hosts: list[str]


class KeyValue(Struct, frozen=True):
    key: str = field(name="k")
    data: msgspec.Raw
    revision: int = field(name="stamp")


class KeyValuePage(Struct, frozen=True):
    rows: list[KeyValue]
    revision: int = field(name="epoch")
    has_next: bool = False


class WatchEvent(Struct, frozen=True):
    put: str | None = None
    drop: str | None = None
    data: msgspec.Raw = msgspec.Raw(b"null")
    revision: int = field(name="stamp", default=0)


class WatchResponse(Struct, frozen=True):
    revision: int = field(name="epoch")
    events: list[WatchEvent] = field(name="log")


class TransactionResult(Struct, frozen=True):
    revision: int = field(name="epoch", default=0)
    failed: list[str] = []


class LeaseGranted(Struct, frozen=True):
    lease_id: int = field(name="permit")


class _RequiredFields(Struct):
    """What has a value in each submission, though a record leaves it out where it has its default."""

    gpus: msgspec.Raw = field(name="accelerators")
    checkpoint_s: msgspec.Raw = field(name="snapshot_every_s")
    save_s: msgspec.Raw = field(name="snapshot_s")
    one_zone: msgspec.Raw = field(name="together")
    spread: msgspec.Raw = field(name="apart")
    spot: msgspec.Raw = field(name="standby")


class _JobId(Struct):
    id: str


_spec = msgspec.json.Decoder(JobSpec)
_required_fields = msgspec.json.Decoder(_RequiredFields)
_job_id = msgspec.json.Decoder(_JobId)
_ID_IN = re.compile(rb'"id"\s*:\s*"(wk-[0-9]{1,18})"')
_heartbeat = msgspec.json.Decoder(Heartbeat)
encode = msgspec.json.encode


class MalformedBodyError(ValueError):
    """A body that is answered 400."""


def parse_job(body: bytes) -> JobSpec:
    try:
        spec = _spec.decode(body)
        _required_fields.decode(body)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        raise MalformedBodyError(str(error)) from None
    if not JOB_ID.match(spec.id):
        raise MalformedBodyError("id: expected wk- and digits")
    if not all(JOB_ID.match(need) for need in spec.needs or ()):
        raise MalformedBodyError("waits_on: expected ids of jobs")
    return spec


def job_id_in(body: bytes) -> str:
    """The job that a body speaks of which is no submission; "" where that can't be made out."""
    try:
        job = _job_id.decode(body).id
        return job if JOB_ID.match(job) else ""
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError):
        found = set(_ID_IN.findall(body))  # not JSON, or not an object
        return found.pop().decode() if len(found) == 1 else ""


def parse_heartbeat(body: bytes) -> Heartbeat:
    try:
        return _heartbeat.decode(body)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        raise MalformedBodyError(str(error)) from None


def split_task_id(part: str) -> tuple[str, int]:
    job, _, index = part.rpartition("/")
    return (job, int(index)) if index.isdigit() else ("", -1)


def error_body(text: str) -> bytes:
    return encode({"error": text})


def accepted_body(job: str, status: str) -> bytes:
    return encode({"id": job, "status": status})


def job_status_body(job: str, status: str, done: int, running: int) -> bytes:
    return encode({"id": job, "status": status, "done": done, "running": running})


def heartbeat_response(fencing_token: int, orders: list[dict[str, Any]]) -> bytes:
    return encode({"mandate": fencing_token, "orders": orders})


def acknowledge_request(fencing_token: int, incarnation: int) -> bytes:
    """The body of an empty ``/commands``."""
    return encode({"mandate": fencing_token, "tenure": incarnation, "orders": []})


def run_order(job: str, index: int, attempt: int) -> dict[str, Any]:
    return {"verb": "run", "part": f"{job}/{index}", "try": attempt}


def stop_order(job: str, index: int, attempt: int, wind_down_s: float) -> dict[str, Any]:
    return {"verb": "halt", "part": f"{job}/{index}", "try": attempt, "wind_down_s": wind_down_s}


def acknowledge_order(job: str, index: int, attempt: int) -> dict[str, Any]:
    return {"verb": "clear", "part": f"{job}/{index}", "try": attempt}


def rental_request(name: str, machine_type: str, zone: str, spot: bool, count: int) -> bytes:
    return encode({"hire": name, "flavour": machine_type, "site": zone, "standby": spot, "number": count})
