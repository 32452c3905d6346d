"""Client of the state service: reads, transactions, holds, follow."""

from __future__ import annotations

from typing import Any

import msgspec

from alderbridge import constants
from alderbridge.protocol import wire
from alderbridge.settings import address
from alderbridge.transport.http import Client

_rows = msgspec.json.Decoder(wire.KeyValuePage)
_row = msgspec.json.Decoder(wire.KeyValue)
_changes = msgspec.json.Decoder(wire.WatchResponse)
_committed = msgspec.json.Decoder(wire.TransactionResult)
_hold = msgspec.json.Decoder(wire.LeaseGranted)

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


class StoreError(Exception):
    """A call to the store did not succeed.

    * ``StoreRefusedError``: not carried out.

      * ``RateLimitedError``: too many requests for a moment.

    * ``LeaseExpiredError``: the lease of this process is gone.
    * ``TransactionTooLargeError``: more than the store takes.
    * ``WatchCompactedError``: the changes asked for are no longer kept.
    """


class StoreRefusedError(StoreError):
    """503 or 429: the store did not carry the request out."""


class RateLimitedError(StoreRefusedError):
    """429: for a moment the store is asked too much. No outage: the same goes a little later."""


class LeaseExpiredError(StoreError):
    """The lease has ended; what was attached to it is gone."""


class TransactionTooLargeError(StoreError):
    """400: a value, or the transaction, is larger than the store takes now. Repeated unchanged it never will be."""


class WatchCompactedError(StoreError):
    """The store no longer has the changes since that revision."""


class Store:
    def __init__(self, endpoint: str) -> None:
        self.client = Client(*address(endpoint))
        self.watch_client = Client(*address(endpoint), keep=1)

    async def _call(
        self,
        method: str,
        target: str,
        body: Any = None,
        timeout_s: float = constants.STATE_TIMEOUT_S,
        client: Client | None = None,
    ) -> tuple[int, bytes]:
        raw = b"" if body is None else wire.encode(body)
        status, answer = await (client or self.client).request(method, target, raw, timeout_s)
        if status == 429:
            raise RateLimitedError(f"{method} {target}: {status}")
        if status in (500, 502, 503, 504):
            raise StoreRefusedError(f"{method} {target}: {status}")
        return status, answer

    async def get(self, key: str) -> wire.KeyValue | None:
        status, answer = await self._call("GET", f"/kv/{key}")
        if status not in (200, 404):  # no word of the key: told as 404, an accepted job was forgotten
            raise StoreRefusedError(f"get {key}: {status}")
        return _row.decode(answer) if status == 200 else None

    async def list_page(self, prefix: str, after: str | None) -> wire.KeyValuePage:
        more = f"&from={after}" if after else ""
        status, answer = await self._call("GET", f"/kv?starts={prefix}{more}&limit=500")
        if status != 200:
            raise StoreRefusedError(f"page {prefix}: {status}")
        return _rows.decode(answer)

    async def commit(
        self, conditions: dict[str, int], puts: dict[str, Any], drops: list[str] = (), lease_id: int | None = None
    ) -> wire.TransactionResult:
        """A compare-and-swap transaction; empty ``failed``: it was applied at ``revision``.

        Raises ``LeaseExpiredError`` where ``lease_id`` has ended, ``TransactionTooLargeError`` for any other 400.
        """
        writes: list[dict[str, Any]] = []
        for key, value in puts.items():
            write = {"put": key, "data": value}
            if lease_id is not None:
                write["permit"] = lease_id
            writes.append(write)
        writes += [{"drop": key} for key in drops]
        body = {"if": [{"k": key, "stamp": revision} for key, revision in conditions.items()], "writes": writes}
        status, answer = await self._call("POST", "/commit", body)
        if status == 400:
            text = answer.decode("utf-8", "replace")[:200]
            # Only this text speaks of the hold: a limit that has come down must not cost the controller its place.
            raise LeaseExpiredError(text) if "no such lease" in text else TransactionTooLargeError(text)
        return _committed.decode(answer)

    async def grant_lease(self, ttl_s: float) -> int:
        status, answer = await self._call("POST", "/holds", {"ttl_ms": int(ttl_s * 1000)})
        if status != 200:
            raise StoreRefusedError(f"hold: {status}")
        return _hold.decode(answer).lease_id

    async def renew_lease(self, lease_id: int) -> None:
        status, _ = await self._call("POST", f"/holds/{lease_id}/extend")
        if status == 404:
            raise LeaseExpiredError(str(lease_id))
        if status != 200:
            raise StoreRefusedError(f"extend: {status}")

    async def revoke_lease(self, lease_id: int) -> None:
        await self._call("DELETE", f"/holds/{lease_id}")

    async def watch_now(self, revision: int) -> wire.WatchResponse:
        """What has changed since, without waiting."""
        return await self.watch(revision, 0.0)

    async def watch(self, revision: int, wait_s: float) -> wire.WatchResponse:
        wait_ms = int(wait_s * 1000)
        status, answer = await self._call(
            "GET",
            f"/follow?starts={ROOT}&from={revision}&wait_ms={wait_ms}",
            timeout_s=constants.WATCH_WAIT_S + constants.STATE_TIMEOUT_S,
            client=self.watch_client,
        )
        if status == 410:
            raise WatchCompactedError(str(revision))
        if status != 200:
            raise StoreRefusedError(f"follow: {status}")
        return _changes.decode(answer)
