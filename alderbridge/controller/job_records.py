"""Reads the records of jobs from the store, for what memory can't tell."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from alderbridge.controller.store_backoff import StoreBackoff
from alderbridge.jobs.record import Record
from alderbridge.protocol.keys import JOBS
from alderbridge.state.errors import StoreRefusedError
from alderbridge.state.store import Store
from alderbridge.transport.errors import UnansweredError

_record = msgspec.json.Decoder(Record)


class StoreUnreachableError(Exception):
    """The store has refused the read, or not answered it, or not with what can be read."""


class StoredJob(NamedTuple):
    """A job's record, and the revision of its key."""

    record: Record
    revision: int


class JobRecordReader:
    """Reads one record after the other; a read that fails starts the backoff."""

    def __init__(self, store: Store, store_backoff: StoreBackoff) -> None:
        """``store``: read from; ``store_backoff``: told of reads that fail."""
        self.store = store
        self.store_backoff = store_backoff

    async def read(self, job: str) -> StoredJob | None:
        """The job's record, None where the store has none; raises ``StoreUnreachableError``."""
        try:
            row = await self.store.get(JOBS + job)
        except (StoreRefusedError, UnansweredError, msgspec.DecodeError) as error:
            self.store_backoff.record_failure()
            raise StoreUnreachableError(job) from error
        return None if row is None else StoredJob(_record.decode(row.data), row.revision)
