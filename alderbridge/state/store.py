"""Client of the state service: reads, compare-and-swap transactions, leases and the watch."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

import msgspec

from alderbridge import constants
from alderbridge.protocol.encoding import encode
from alderbridge.protocol.keys import (
    ROOT,
)
from alderbridge.protocol.store import (
    Condition,
    Drop,
    KeyValue,
    KeyValuePage,
    LeaseGranted,
    LeaseRequest,
    Put,
    TransactionRequest,
    TransactionResult,
    WatchResponse,
)
from alderbridge.settings import address
from alderbridge.state.errors import (
    LeaseExpiredError,
    RateLimitedError,
    StoreRefusedError,
    TransactionTooLargeError,
    WatchCompactedError,
)
from alderbridge.transport.http_client import Client

_page = msgspec.json.Decoder(KeyValuePage)
_key_value = msgspec.json.Decoder(KeyValue)
_watch_response = msgspec.json.Decoder(WatchResponse)
_transaction_result = msgspec.json.Decoder(TransactionResult)
_lease_granted = msgspec.json.Decoder(LeaseGranted)

_UNAVAILABLE = (500, 502, 503, 504)  # statuses of a store that did not carry the request out
_PAGE_KEYS = 500  # keys of one page of a listing
_ERROR_TEXT_CHARACTERS = 200  # of the store's own words in an error


class Store:
    """Calls of the state service.

    Beside what each method names, all raise ``StoreRefusedError``, and ``UnansweredError`` where no answer came.
    """

    def __init__(self, endpoint: str) -> None:
        """``endpoint``: HOST:PORT of the state service."""
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
        raw = b"" if body is None else encode(body)
        status, answer = await (client or self.client).request(method, target, raw, timeout_s)
        if status == 429:
            raise RateLimitedError(f"{method} {target}: {status}")
        if status in _UNAVAILABLE:
            raise StoreRefusedError(f"{method} {target}: {status}")
        return status, answer

    async def get(self, key: str) -> KeyValue | None:
        """What is under a key; None: nothing."""
        status, answer = await self._call("GET", f"/kv/{key}")
        if status not in (200, 404):  # says nothing of the key: taken for 404, an accepted job was lost
            raise StoreRefusedError(f"get {key}: {status}")
        return _key_value.decode(answer) if status == 200 else None

    async def list_page(self, prefix: str, after: str | None) -> KeyValuePage:
        """Keys under a prefix, in order, from the first one behind ``after`` on; as many as fit in one page."""
        start = f"&from={after}" if after else ""
        status, answer = await self._call("GET", f"/kv?starts={prefix}{start}&limit={_PAGE_KEYS}")
        if status != 200:
            raise StoreRefusedError(f"page {prefix}: {status}")
        return _page.decode(answer)

    async def commit(
        self, conditions: dict[str, int], puts: dict[str, Any], drops: Sequence[str] = (), lease_id: int | None = None
    ) -> TransactionResult:
        """A compare-and-swap transaction; empty ``failed``: it was applied at ``revision``.

        Raises ``LeaseExpiredError`` where ``lease_id`` has ended, ``TransactionTooLargeError`` for any other 400.
        """
        request = TransactionRequest(
            [Condition(key, revision) for key, revision in conditions.items()],
            [*(Put(key, value, lease_id) for key, value in puts.items()), *map(Drop, drops)],
        )
        status, answer = await self._call("POST", "/commit", request)
        if status == 400:
            text = answer.decode("utf-8", "replace")[:_ERROR_TEXT_CHARACTERS]
            # Only this text is about the lease: a limit that was lowered must not cost the controller its membership.
            raise LeaseExpiredError(text) if "no such lease" in text else TransactionTooLargeError(text)
        return _transaction_result.decode(answer)

    async def grant_lease(self, ttl_s: float) -> int:
        """The id of a new lease."""
        status, answer = await self._call("POST", "/holds", LeaseRequest(int(ttl_s * 1000)))
        if status != 200:
            raise StoreRefusedError(f"hold: {status}")
        return _lease_granted.decode(answer).lease_id

    async def renew_lease(self, lease_id: int) -> None:
        """Extend a lease by its ttl. Raises ``LeaseExpiredError``."""
        status, _ = await self._call("POST", f"/holds/{lease_id}/extend")
        if status == 404:
            raise LeaseExpiredError(str(lease_id))
        if status != 200:
            raise StoreRefusedError(f"extend: {status}")

    async def revoke_lease(self, lease_id: int) -> None:
        """End a lease; what is attached to it goes with it."""
        await self._call("DELETE", f"/holds/{lease_id}")

    async def watch_now(self, revision: int) -> WatchResponse:
        """The changes since that revision, without waiting. Raises ``WatchCompactedError``."""
        return await self.watch(revision, 0.0)

    async def watch(self, revision: int, wait_s: float) -> WatchResponse:
        """The changes since that revision; if there are none, wait for some. Raises ``WatchCompactedError``."""
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
        return _watch_response.decode(answer)
