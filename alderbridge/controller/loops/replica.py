"""Keeps this controller's replica of the store up to date with a watch."""

from __future__ import annotations

import logging
import time

import curio

from alderbridge import constants
from alderbridge.controller.core import ControllerCore
from alderbridge.controller.unanswered_jobs import UnansweredJobs
from alderbridge.controller.worker_prober import WorkerProber
from alderbridge.protocol.keys import ROOT
from alderbridge.state.errors import WatchCompactedError
from alderbridge.state.store import Store

log = logging.getLogger("core")
now = time.monotonic


class ReplicaLoop:
    """Reads the whole store, and then watches its changes."""

    def __init__(self, core: ControllerCore, store: Store, prober: WorkerProber, unanswered: UnansweredJobs) -> None:
        """``store``: watched for ``core``; ``unanswered``: updated when the store is reachable again."""
        self.core = core
        self.membership = core.membership
        self.store = store
        self.prober = prober
        self.unanswered = unanswered

    async def keep_replica(self) -> None:
        """Watch the store; reload the replica if the store has compacted the changes."""
        await self.load_replica()
        while True:
            requested_at = now()
            try:
                # Well within the lease's time to live: an answer confirms that no newer view was missed.
                wait_s = min(
                    constants.WATCH_POLL_TIMEOUT_S,
                    self.membership.store_lease.ttl_s / constants.STORE_LEASE_RENEWALS_PER_TTL,
                )
                changes = await self.store.watch(self.core.replica.revision, wait_s)
            except WatchCompactedError:
                await self.load_replica()
                continue
            self.record_watch_answer(requested_at)
            self.core.store_follower.apply_events(changes.events, now(), time.time())
            self.core.replica.revision = max(self.core.replica.revision, changes.revision)
            if changes.events:
                log.debug(
                    "replica state=changed revision=%d changes=%d requested=%.3f s ago",
                    changes.revision,
                    len(changes.events),
                    now() - requested_at,
                )
            await self.prober.probe_workers()
            await curio.sleep(constants.WATCH_DELAY_S)

    async def load_replica(self) -> None:
        """Read all pages, and then the changes since the first page's revision, as pages may differ in revision."""
        page = await self.store.list_page(ROOT, None)
        revision, rows = page.revision, list(page.rows)
        while page.has_next and page.rows:
            page = await self.store.list_page(ROOT, rows[-1].key)
            rows += page.rows
        requested_at = now()
        changes = await self.store.watch_now(revision)
        self.record_watch_answer(requested_at)
        self.core.store_follower.load(rows, changes.events, changes.revision, now(), time.time())

    def record_watch_answer(self, requested_at: float) -> None:
        """Record that the store has answered a request sent at ``requested_at``.

        A prompt answer that is the first one in ``STORE_REACHABLE_WINDOW_S`` ends an outage. Jobs whose queries went
        unanswered only during that outage are cleared, so that it is not added to the next outage.
        """
        previous_sync_at = self.membership.synced_at
        self.membership.record_sync(requested_at)
        if (
            requested_at - previous_sync_at >= constants.STORE_REACHABLE_WINDOW_S
            and now() - requested_at < constants.STORE_TIMEOUT_S
        ):
            self.unanswered.forget_since(previous_sync_at)
