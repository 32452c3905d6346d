"""Keeps this controller's replica of the store up to date."""

from __future__ import annotations

import time

import curio

from alderbridge import constants
from alderbridge.controller.core import ControllerCore
from alderbridge.controller.unanswered_jobs import UnansweredJobs
from alderbridge.controller.worker_prober import WorkerProber
from alderbridge.protocol.keys import ROOT
from alderbridge.state.errors import WatchCompactedError
from alderbridge.state.store import Store

now = time.monotonic


class ReplicaLoop:
    """Reads the store, and then follows its changes."""

    def __init__(self, core: ControllerCore, store: Store, prober: WorkerProber, unanswered: UnansweredJobs) -> None:
        """``store``: watched for ``core``; ``unanswered``: told when the store is back."""
        self.core = core
        self.membership = core.membership
        self.store = store
        self.prober = prober
        self.unanswered = unanswered

    async def keep_replica(self) -> None:
        """Watch the store for ever; read everything again where it no longer has the changes."""
        await self.load_replica()
        while True:
            sent = now()
            try:
                # Well within the ttl, however short the deployment makes it: answers keep the view fresh.
                wait_s = min(constants.WATCH_WAIT_S, self.membership.store_lease.ttl_s / constants.STORE_LEASE_RENEWALS)
                changes = await self.store.watch(self.core.replica.revision, wait_s)
            except WatchCompactedError:
                await self.load_replica()
                continue
            self.record_watch_answer(sent)
            self.core.store_follower.apply_events(changes.events, now(), time.time())
            self.core.replica.revision = max(self.core.replica.revision, changes.revision)
            await self.prober.probe_workers()
            await curio.sleep(constants.WATCH_PAUSE_S)

    async def load_replica(self) -> None:
        """Read everything; following on from the first page's revision repeats, and misses, nothing."""
        page = await self.store.list_page(ROOT, None)
        revision, rows = page.revision, list(page.rows)
        while page.has_next and page.rows:
            page = await self.store.list_page(ROOT, rows[-1].key)
            rows += page.rows
        sent = now()
        changes = await self.store.watch_now(revision)
        self.record_watch_answer(sent)
        self.core.store_follower.load(rows, changes.events, changes.revision, now(), time.time())

    def record_watch_answer(self, sent: float) -> None:
        """The store has answered what it was asked at ``sent``.

        If that was the first time for a while, and quick, jobs that have gone unanswered only since then could not be
        answered for, and can be now: the next outage is not added to this one
        (``test_a_job_that_nobody_asks_about_between_two_outages_is_not_called_unanswered_through_both``).
        """
        before = self.membership.synced_at
        self.membership.record_sync(sent)
        if sent - before >= constants.STORE_REACHABLE_S and now() - sent < constants.STATE_TIMEOUT_S:
            self.unanswered.forget_since(before)
