"""Messages between controllers and the state service (the store), and the record of a machine in it.

Fields whose names differ from those on the wire state the latter in ``name=``.
"""

from __future__ import annotations

from typing import Any

import msgspec
from msgspec import Struct, field


class KeyValue(Struct, frozen=True):
    """A key, its value, and the revision of its last write."""

    key: str = field(name="k")
    data: msgspec.Raw
    revision: int = field(name="stamp")


class KeyValuePage(Struct, frozen=True):
    """One page of a listing, and the revision of the store that it was read at."""

    rows: list[KeyValue]
    revision: int = field(name="epoch")
    has_next: bool = False


class WatchEvent(Struct, frozen=True):
    """One change: the key that was put or dropped, and the revision of the change."""

    put: str | None = None
    drop: str | None = None
    data: msgspec.Raw = msgspec.Raw(b"null")
    revision: int = field(name="stamp", default=0)

    @property
    def key(self) -> str:
        """The key that was put or dropped."""
        return self.put if self.put is not None else self.drop or ""


class WatchResponse(Struct, frozen=True):
    """All changes up to ``revision``, in order."""

    revision: int = field(name="epoch")
    events: list[WatchEvent] = field(name="log")


class TransactionResult(Struct, frozen=True):
    """The revision of a transaction, or the keys whose conditions failed, in which case nothing was applied."""

    revision: int = field(name="epoch", default=0)
    failed: list[str] = []


class Condition(Struct, frozen=True):
    """Condition that a key has this revision; 0: that it does not exist."""

    key: str = field(name="k")
    revision: int = field(name="stamp")


class Put(Struct, frozen=True, omit_defaults=True):
    """Write a value; with ``lease_id`` the store drops it when that lease ends."""

    key: str = field(name="put")
    data: Any
    lease_id: int | None = field(name="permit", default=None)


class Drop(Struct, frozen=True):
    """Drop a key."""

    key: str = field(name="drop")


class TransactionRequest(Struct, frozen=True):
    """Compare-and-swap: all writes are applied if all conditions hold, otherwise none."""

    conditions: list[Condition] = field(name="if")
    writes: list[Any]  # ``Put`` and ``Drop``


class LeaseRequest(Struct, frozen=True):
    """Request for a lease that expires unless it is renewed."""

    ttl_ms: int


class LeaseGranted(Struct, frozen=True):
    """The id of a new lease."""

    lease_id: int = field(name="permit")


class MachineRecord(Struct, frozen=True, omit_defaults=True):
    """Record of a machine that may have tasks, with the address of its worker."""

    address: str = ""
    type: str = ""  # empty: written by a version without this field
    zone: str = ""
    spot: bool = False
