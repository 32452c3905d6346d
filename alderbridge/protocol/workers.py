"""What workers exchange with a controller: heartbeats, and the orders in the answers to them.

A field whose name here differs from the protocol's has the protocol's word in ``name=``; it is used nowhere else.
"""

from __future__ import annotations

from typing import Any

import msgspec
from msgspec import Struct, field

from alderbridge.protocol.encoding import DECODE_ERRORS, MalformedBodyError, encode


class ReportedTask(Struct, frozen=True):
    """A task that is on the machine; ``cause``: why it ended, if it failed."""

    task_id: str = field(name="part")
    attempt: int = field(name="try")
    status: str
    cause: str | None = None


class Heartbeat(Struct, frozen=True):
    """A worker's report of its machine's tasks; ``recall_s``: the cloud takes the machine back in so many s."""

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


_heartbeat = msgspec.json.Decoder(Heartbeat)


def parse_heartbeat(body: bytes) -> Heartbeat:
    """What a worker has sent. Raises ``MalformedBodyError``."""
    try:
        return _heartbeat.decode(body)
    except DECODE_ERRORS as error:
        raise MalformedBodyError(str(error)) from error


def split_task_id(task_id: str) -> tuple[str, int]:
    """Job and index of a task; ("", -1) where it is no task's id."""
    job, _, index = task_id.rpartition("/")
    return (job, int(index)) if index.isdigit() else ("", -1)


def heartbeat_response(fencing_token: int, orders: list[dict[str, Any]]) -> bytes:
    """The answer to a heartbeat."""
    return encode({"mandate": fencing_token, "orders": orders})


def acknowledge_request(fencing_token: int, incarnation: int) -> bytes:
    """A request without orders: the worker acknowledges the fencing token."""
    return encode({"mandate": fencing_token, "tenure": incarnation, "orders": []})


def run_order(job: str, index: int, attempt: int) -> dict[str, Any]:
    """Start that attempt of a task."""
    return {"verb": "run", "part": f"{job}/{index}", "try": attempt}


def stop_order(job: str, index: int, attempt: int, wind_down_s: float) -> dict[str, Any]:
    """Stop that attempt, with so many s to save a checkpoint."""
    return {"verb": "halt", "part": f"{job}/{index}", "try": attempt, "wind_down_s": wind_down_s}


def acknowledge_order(job: str, index: int, attempt: int) -> dict[str, Any]:
    """The result of that attempt is stored, the worker may forget it."""
    return {"verb": "clear", "part": f"{job}/{index}", "try": attempt}
