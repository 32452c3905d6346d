"""Keeps this controller registered in the state service with a lease."""

from __future__ import annotations

import logging
import time

import curio
import msgspec

from alderbridge import constants
from alderbridge.controller.core import ControllerCore
from alderbridge.controller.store_backoff import StoreBackoff
from alderbridge.membership.records import MemberRecord
from alderbridge.protocol import wire
from alderbridge.protocol.keys import MEMBERS
from alderbridge.state.errors import LeaseExpiredError, StoreRefusedError
from alderbridge.state.store import Store
from alderbridge.transport.errors import UnansweredError

log = logging.getLogger("controller")
now = time.monotonic


class StoreLeaseLoop:
    """Acquires the store lease, and renews it until it expires."""

    def __init__(self, core: ControllerCore, store: Store, store_backoff: StoreBackoff) -> None:
        """``core``: its membership holds the lease; ``store_backoff``: records failed calls."""
        self.core = core
        self.membership = core.membership
        self.store = store
        self.store_backoff = store_backoff

    async def keep_store_lease(self) -> None:
        """Acquire the lease if there is none, and renew it; returns when it has expired."""
        store_lease = self.membership.store_lease
        if not store_lease.lease_id:
            await self.acquire_store_lease()
        while store_lease.lease_id:
            await curio.sleep(store_lease.ttl_s / constants.STORE_LEASE_RENEWALS_PER_TTL)
            if self.membership.is_removed():
                log.info("store_lease=%d state=expired cause=removed from the view by a quorum", store_lease.lease_id)
                store_lease.mark_expired()
                return
            await self._renew()

    async def _renew(self) -> None:
        store_lease = self.membership.store_lease
        sent_at = now()  # the lease counts from the request, as the answer may be delayed
        try:
            await self.store.renew_lease(store_lease.lease_id)
            store_lease.record_renewal(store_lease.lease_id, sent_at)
        except LeaseExpiredError:
            log.info("store_lease=%d state=expired", store_lease.lease_id)
            store_lease.mark_expired()
        except (StoreRefusedError, UnansweredError) as error:
            self.store_backoff.record_failure()
            log.info("store_lease=%d state=unconfirmed cause=%s", store_lease.lease_id, error)

    async def acquire_store_lease(self) -> None:
        """Register as a new incarnation; the earlier process of this label is assumed to have ended."""
        key = MEMBERS + self.core.me
        row = await self.store.get(key)
        sent_at = now()
        lease_id = await self.store.grant_lease(self.membership.store_lease.ttl_s)
        # The key moves from the old lease to the new one atomically. If it were missing in between, the other members
        # would change the view twice, and workers learn of a second new fencing token only after a delay.
        condition = {key: row.revision if row is not None else 0}
        member = MemberRecord(lease_id, constants.PROTOCOL_VERSION)
        result = await self.store.commit(condition, {key: member}, lease_id=lease_id)
        if result.failed:
            await self.store.revoke_lease(lease_id)
            raise StoreRefusedError("the key of this label has changed meanwhile")
        self.core.view_entry.lease_acquired(lease_id, sent_at, now())
        log.info("store_lease=%d state=acquired", lease_id)
        if row is not None:
            await self._revoke_earlier(row)

    async def _revoke_earlier(self, row: wire.KeyValue) -> None:
        """Revoke the lease of the earlier incarnation.

        A failure is harmless: no key is attached to that lease any more, and it will expire.
        """
        try:
            await self.store.revoke_lease(msgspec.json.decode(row.data, type=MemberRecord).lease_id)
        except (StoreRefusedError, UnansweredError, msgspec.DecodeError) as error:
            log.debug("store_lease state=not_revoked cause=%s", error)
