"""Writes due records to the store."""

from __future__ import annotations

import logging
import time
from collections.abc import Awaitable, Callable

import curio
import msgspec

from alderbridge import constants
from alderbridge.controller.core import ControllerCore
from alderbridge.controller.store_backoff import StoreBackoff
from alderbridge.controller.write_batch import WriteBatch
from alderbridge.protocol.keys import VIEW
from alderbridge.state.errors import LeaseExpiredError, RateLimitedError, StoreRefusedError, TransactionTooLargeError
from alderbridge.state.store import Store
from alderbridge.transport.errors import UnansweredError

log = logging.getLogger("controller")
now = time.monotonic


class RecordsLoop:
    """Commits the core's batches, one transaction at a time."""

    def __init__(
        self,
        core: ControllerCore,
        store: Store,
        store_backoff: StoreBackoff,
        dispatch_effects: Callable[[], Awaitable[None]],
    ) -> None:
        """``core``: builds the batches and handles the results; ``dispatch_effects``: sends the resulting messages."""
        self.core = core
        self.store = store
        self.store_backoff = store_backoff
        self.dispatch_effects = dispatch_effects
        self.work = curio.Event()  # set while ``is_waiting`` when a record may be due
        self.is_waiting = False

    async def keep_records(self) -> None:
        """Write due records for the lifetime of the process."""
        while True:
            await curio.sleep(constants.WRITE_BATCH_DELAY_S)
            batch = self.core.record_writer.next_batch(now())
            if batch is None:
                await self.wait_for_due_records()
            else:
                await self._write(batch)

    async def wait_for_due_records(self) -> None:
        """Wait until a record may be due; polling in each iteration would cost more CPU time than the writes."""
        pause = self.core.record_writer.next_write_delay_s(now())
        if pause > constants.WRITE_BATCH_DELAY_S and self.core.record_writer.nothing_to_write():
            self.is_waiting = True
            try:
                await curio.timeout_after(pause - constants.WRITE_BATCH_DELAY_S, self.work.wait)
            except curio.TaskTimeout:
                pass
            self.is_waiting = False
            self.work.clear()

    async def _write(self, batch: WriteBatch) -> None:
        try:
            result = await self.store.commit(batch.conditions, batch.puts, batch.drops)
            if result.failed:
                await self._resolve_conflicts(batch, result.failed)
            else:
                self.core.batch_results.on_written(batch, result.revision, now())
                self.store_backoff.record_success()
            await self.dispatch_effects()
        except TransactionTooLargeError as error:
            self.core.batch_results.on_too_large(batch, now())
            await self.dispatch_effects()
            log.error("records state=too_large changes=%d cause=%s", batch.changes, error)
            await curio.sleep(constants.ROUND_INTERVAL_S)
        except (StoreRefusedError, LeaseExpiredError, UnansweredError, msgspec.DecodeError) as error:
            await self._on_failure(batch, error)
            log.info("records state=unconfirmed cause=%s", error)
            await curio.sleep(constants.ROUND_INTERVAL_S)

    async def _resolve_conflicts(self, batch: WriteBatch, failed: list[str]) -> None:
        """Read the keys whose conditions failed, and resolve the conflict with what the store holds."""
        log.info("records state=conflict failed=%s", failed)
        self.core.batch_results.on_failed(batch, now())
        if VIEW in failed:
            await curio.sleep(constants.WATCH_DELAY_S)
            return
        for key in failed:
            self.core.batch_results.resolve_conflict(batch, key, await self.store.get(key), now())

    async def _on_failure(self, batch: WriteBatch, error: Exception) -> None:
        """Handle a refusal or a missing answer: the batch may have committed or not, so its records stay due."""
        self.core.batch_results.on_failed(batch, now())
        if isinstance(error, RateLimitedError):
            budget = self.core.write_rate_limit.budget
            budget.consume(now(), max(0.0, budget.available(now())))
            return
        self.store_backoff.record_failure()
        if isinstance(error, StoreRefusedError):
            self.core.submissions.refuse_all()
            await self.dispatch_effects()
