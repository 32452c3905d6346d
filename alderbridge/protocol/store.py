"""What controllers exchange with the state service, and the record of a machine that is kept there.

A field whose name here differs from the protocol's has the protocol's word in ``name=``; it is used nowhere else.
"""

from __future__ import annotations

from typing import Any

import msgspec
from msgspec import Struct, field


class KeyValue(Struct, frozen=True):
    """A key, its value, and the revision at which it was written."""

    key: str = field(name="k")
    data: msgspec.Raw
    revision: int = field(name="stamp")


class KeyValuePage(Struct, frozen=True):
    """One page of a listing, and the revision of the store that it shows."""

    rows: list[KeyValue]
    revision: int = field(name="epoch")
    has_next: bool = False


class WatchEvent(Struct, frozen=True):
    """One change: a key that was put, or one that was dropped, at that revision."""

    put: str | None = None
    drop: str | None = None
    data: msgspec.Raw = msgspec.Raw(b"null")
    revision: int = field(name="stamp", default=0)


class WatchResponse(Struct, frozen=True):
    """All changes up to that revision, in order."""

    revision: int = field(name="epoch")
    events: list[WatchEvent] = field(name="log")


class TransactionResult(Struct, frozen=True):
    """The revision of a transaction, or the keys whose conditions failed: then nothing was applied."""

    revision: int = field(name="epoch", default=0)
    failed: list[str] = []


class Condition(Struct, frozen=True):
    """The key must have that revision; 0: there must be no such key."""

    key: str = field(name="k")
    revision: int = field(name="stamp")


class Put(Struct, frozen=True, omit_defaults=True):
    """Write a value; with ``lease_id`` it is dropped when that lease ends."""

    key: str = field(name="put")
    data: Any
    lease_id: int | None = field(name="permit", default=None)


class Drop(Struct, frozen=True):
    """Drop a key."""

    key: str = field(name="drop")


class TransactionRequest(Struct, frozen=True):
    """Writes that are applied all together if all conditions hold, or not at all."""

    conditions: list[Condition] = field(name="if")
    writes: list[Any]  # ``Put`` and ``Drop``


class LeaseRequest(Struct, frozen=True):
    """A lease that ends unless it is renewed in time."""

    ttl_ms: int


class LeaseGranted(Struct, frozen=True):
    """The id of a new lease."""

    lease_id: int = field(name="permit")


class MachineRecord(Struct, frozen=True, omit_defaults=True):
    """What the store keeps of a machine: that tasks may be on it, which ones, and where it can be asked."""

    address: str = ""
    type: str = ""  # empty: written by a version that did not keep it
    zone: str = ""
    spot: bool = False
