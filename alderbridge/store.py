"""Client of the state service: reads, transactions, holds, follow."""

from __future__ import annotations

from typing import Any

import msgspec

from . import constants as c
from . import wire
from .config import address
from .net import Client

_rows = msgspec.json.Decoder(wire.Rows)
_row = msgspec.json.Decoder(wire.Row)
_changes = msgspec.json.Decoder(wire.Changes)
_committed = msgspec.json.Decoder(wire.Committed)
_hold = msgspec.json.Decoder(wire.Hold)

ROOT = "ab/"
VIEW = "ab/view"
MEMBERS = "ab/m/"
TYPES = "ab/types"
JOBS = "ab/j/"
MACHINES = "ab/n/"
LISTS = "ab/w/"  # what a job waits for, where its record has no room for it
DECLARED = "ab/d/"  # what operators declare
CLAIMS = "ab/c/"  # a machine's claim: whose room it is, and which tasks stop for it
BUDGETS = "ab/b"  # stops spent in the running minute
STOPS = "ab/s/"  # a job's tasks that claims have stopped, and how often


class Refused(Exception):
    """503 or 429: the store did not carry the request out."""


class TooFast(Refused):
    """429: for a moment the store is asked too much. No outage: the same goes a little later."""


class HoldLost(Exception):
    """The hold has ended; what was attached to it is gone."""


class TooLarge(Exception):
    """400: a value, or the transaction, is larger than the store takes now. Repeated unchanged it never will be."""


class TooOld(Exception):
    """The store no longer has the changes since that epoch."""


class Store:
    def __init__(self, endpoint: str) -> None:
        self.client = Client(*address(endpoint))
        self.follower = Client(*address(endpoint), keep=1)

    async def _call(
        self,
        method: str,
        target: str,
        body: Any = None,
        timeout_s: float = c.STATE_TIMEOUT_S,
        client: Client | None = None,
    ) -> tuple[int, bytes]:
        raw = b"" if body is None else wire.encode(body)
        status, answer = await (client or self.client).request(method, target, raw, timeout_s)
        if status == 429:
            raise TooFast(f"{method} {target}: {status}")
        if status in (500, 502, 503, 504):
            raise Refused(f"{method} {target}: {status}")
        return status, answer

    async def get(self, key: str) -> wire.Row | None:
        status, answer = await self._call("GET", f"/kv/{key}")
        if status not in (200, 404):  # no word of the key: told as 404, an accepted job was forgotten
            raise Refused(f"get {key}: {status}")
        return _row.decode(answer) if status == 200 else None

    async def page(self, prefix: str, after: str | None) -> wire.Rows:
        more = f"&from={after}" if after else ""
        status, answer = await self._call("GET", f"/kv?starts={prefix}{more}&limit=500")
        if status != 200:
            raise Refused(f"page {prefix}: {status}")
        return _rows.decode(answer)

    async def commit(
        self, conditions: dict[str, int], puts: dict[str, Any], drops: list[str] = (), permit: int | None = None
    ) -> wire.Committed:
        """Empty ``failed``: carried out at ``epoch``. ``HoldLost`` for an ended permit, else 400 is ``TooLarge``."""
        writes: list[dict[str, Any]] = []
        for key, value in puts.items():
            write = {"put": key, "data": value}
            if permit is not None:
                write["permit"] = permit
            writes.append(write)
        writes += [{"drop": key} for key in drops]
        body = {"if": [{"k": key, "stamp": stamp} for key, stamp in conditions.items()], "writes": writes}
        status, answer = await self._call("POST", "/commit", body)
        if status == 400:
            text = answer.decode("utf-8", "replace")[:200]
            # Only this text speaks of the hold: a limit that has come down must not cost the controller its place.
            raise HoldLost(text) if "no such lease" in text else TooLarge(text)
        return _committed.decode(answer)

    async def hold(self, ttl_s: float) -> int:
        status, answer = await self._call("POST", "/holds", {"ttl_ms": int(ttl_s * 1000)})
        if status != 200:
            raise Refused(f"hold: {status}")
        return _hold.decode(answer).permit

    async def extend(self, permit: int) -> None:
        status, _ = await self._call("POST", f"/holds/{permit}/extend")
        if status == 404:
            raise HoldLost(str(permit))
        if status != 200:
            raise Refused(f"extend: {status}")

    async def end(self, permit: int) -> None:
        await self._call("DELETE", f"/holds/{permit}")

    async def follow_now(self, epoch: int) -> wire.Changes:
        """What has changed since, without waiting."""
        return await self.follow(epoch, 0.0)

    async def follow(self, epoch: int, wait_s: float) -> wire.Changes:
        wait_ms = int(wait_s * 1000)
        status, answer = await self._call(
            "GET",
            f"/follow?starts={ROOT}&from={epoch}&wait_ms={wait_ms}",
            timeout_s=c.FOLLOW_WAIT_S + c.STATE_TIMEOUT_S,
            client=self.follower,
        )
        if status == 410:
            raise TooOld(str(epoch))
        if status != 200:
            raise Refused(f"follow: {status}")
        return _changes.decode(answer)
