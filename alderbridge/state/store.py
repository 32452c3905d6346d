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

_page_decoder = msgspec.json.Decoder(KeyValuePage)
_key_value_decoder = msgspec.json.Decoder(KeyValue)
_watch_response_decoder = msgspec.json.Decoder(WatchResponse)
_transaction_result_decoder = msgspec.json.Decoder(TransactionResult)
_lease_granted_decoder = msgspec.json.Decoder(LeaseGranted)

_NOT_EXECUTED_STATUSES = (500, 502, 503, 504)
_MAX_PAGE_KEYS = 500
_MAX_ERROR_TEXT_CHARACTERS = 200


class Store:
    """Client of the state service.

    All methods raise ``StoreRefusedError``, and ``UnansweredError`` if no response arrived, besides the errors that
    they name.
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
        timeout_s: float = constants.STORE_TIMEOUT_S,
        client: Client | None = None,
    ) -> tuple[int, bytes]:
        request_body = b"" if body is None else encode(body)
        status, response = await (client or self.client).request(method, target, request_body, timeout_s)
        if status == 429:
            raise RateLimitedError(f"{method} {target}: {status}")
        if status in _NOT_EXECUTED_STATUSES:
            raise StoreRefusedError(f"{method} {target}: {status}")
        return status, response

    async def get(self, key: str) -> KeyValue | None:
        """The value of a key; None: it does not exist."""
        status, response = await self._call("GET", f"/kv/{key}")
        if status not in (200, 404):  # must not be taken for an absent key: an accepted job would be lost
            raise StoreRefusedError(f"get {key}: {status}")
        return _key_value_decoder.decode(response) if status == 200 else None

    async def list_page(self, prefix: str, after: str | None) -> KeyValuePage:
        """One page of the keys under a prefix, in order, beginning with the first one after ``after``."""
        start_parameter = f"&from={after}" if after else ""
        status, response = await self._call("GET", f"/kv?starts={prefix}{start_parameter}&limit={_MAX_PAGE_KEYS}")
        if status != 200:
            raise StoreRefusedError(f"page {prefix}: {status}")
        return _page_decoder.decode(response)

    async def commit(
        self, conditions: dict[str, int], puts: dict[str, Any], drops: Sequence[str] = (), lease_id: int | None = None
    ) -> TransactionResult:
        """Execute a compare-and-swap transaction; if ``failed`` is empty, it was applied at ``revision``.

        Raises ``LeaseExpiredError`` if ``lease_id`` has expired, ``TransactionTooLargeError`` for any other 400.
        """
        request = TransactionRequest(
            [Condition(key, revision) for key, revision in conditions.items()],
            [*(Put(key, value, lease_id) for key, value in puts.items()), *map(Drop, drops)],
        )
        status, response = await self._call("POST", "/commit", request)
        if status == 400:
            text = response.decode("utf-8", "replace")[:_MAX_ERROR_TEXT_CHARACTERS]
            # Only this text means an expired lease. Any other 400, such as for a size limit, must not end membership.
            raise LeaseExpiredError(text) if "no such lease" in text else TransactionTooLargeError(text)
        return _transaction_result_decoder.decode(response)

    async def grant_lease(self, ttl_s: float) -> int:
        """Request a new lease; returns its id."""
        status, response = await self._call("POST", "/holds", LeaseRequest(int(ttl_s * 1000)))
        if status != 200:
            raise StoreRefusedError(f"hold: {status}")
        return _lease_granted_decoder.decode(response).lease_id

    async def renew_lease(self, lease_id: int) -> None:
        """Extend a lease by its ttl. Raises ``LeaseExpiredError``."""
        status, _ = await self._call("POST", f"/holds/{lease_id}/extend")
        if status == 404:
            raise LeaseExpiredError(str(lease_id))
        if status != 200:
            raise StoreRefusedError(f"extend: {status}")

    async def revoke_lease(self, lease_id: int) -> None:
        """End a lease; the store deletes the keys attached to it."""
        await self._call("DELETE", f"/holds/{lease_id}")

    async def watch_now(self, revision: int) -> WatchResponse:
        """The changes since that revision, without waiting. Raises ``WatchCompactedError``."""
        return await self.watch(revision, 0.0)

    async def watch(self, revision: int, wait_s: float) -> WatchResponse:
        """The changes since that revision; waits up to ``wait_s`` if there are none. Raises ``WatchCompactedError``."""
        wait_ms = int(wait_s * 1000)
        status, response = await self._call(
            "GET",
            f"/follow?starts={ROOT}&from={revision}&wait_ms={wait_ms}",
            timeout_s=constants.WATCH_POLL_TIMEOUT_S + constants.STORE_TIMEOUT_S,
            client=self.watch_client,
        )
        if status == 410:
            raise WatchCompactedError(str(revision))
        if status != 200:
            raise StoreRefusedError(f"follow: {status}")
        return _watch_response_decoder.decode(response)
