"""Messages between workers and a controller: heartbeats, and the orders in their responses.

Fields whose names differ from those on the wire state the latter in ``name=``.
"""

from __future__ import annotations

from typing import Any

import msgspec
from msgspec import Struct, field

from alderbridge.protocol.encoding import DECODE_ERRORS, MalformedBodyError, encode


class ReportedTask(Struct, frozen=True):
    """A task on the machine; ``cause``: why it ended, if it failed."""

    task_id: str = field(name="part")
    attempt: int = field(name="try")
    status: str
    cause: str | None = None


class Heartbeat(Struct, frozen=True):
    """A heartbeat with the machine's tasks; ``recall_s``: time until the cloud takes back the machine."""

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


_heartbeat_decoder = msgspec.json.Decoder(Heartbeat)


def parse_heartbeat(body: bytes) -> Heartbeat:
    """Decode a heartbeat; raises ``MalformedBodyError``."""
    try:
        return _heartbeat_decoder.decode(body)
    except DECODE_ERRORS as error:
        raise MalformedBodyError(str(error)) from error


def split_task_id(task_id: str) -> tuple[str, int]:
    """Job and index of a task id; ("", -1) if it is malformed."""
    job, _, index = task_id.rpartition("/")
    return (job, int(index)) if index.isdigit() else ("", -1)


def heartbeat_response(fencing_token: int, orders: list[dict[str, Any]]) -> bytes:
    """The body of the response to a heartbeat."""
    return encode({"mandate": fencing_token, "orders": orders})


def acknowledge_request(fencing_token: int, incarnation: int) -> bytes:
    """A probe: a request without orders, which makes the worker acknowledge the fencing token."""
    return encode({"mandate": fencing_token, "tenure": incarnation, "orders": []})


def run_order(job: str, index: int, attempt: int) -> dict[str, Any]:
    """Order to start an attempt of a task."""
    return {"verb": "run", "part": f"{job}/{index}", "try": attempt}


def stop_order(job: str, index: int, attempt: int, wind_down_s: float) -> dict[str, Any]:
    """Order to stop an attempt, which has ``wind_down_s`` to save a checkpoint."""
    return {"verb": "halt", "part": f"{job}/{index}", "try": attempt, "wind_down_s": wind_down_s}


def acknowledge_order(job: str, index: int, attempt: int) -> dict[str, Any]:
    """Order to forget an attempt, as its result is stored."""
    return {"verb": "clear", "part": f"{job}/{index}", "try": attempt}
