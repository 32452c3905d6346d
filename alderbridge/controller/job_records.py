"""Reads the records of jobs from the store, for what memory can't tell."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from alderbridge.controller.store_backoff import StoreBackoff
from alderbridge.jobs.record import Record
from alderbridge.protocol.keys import JOBS
from alderbridge.state.errors import StoreRefusedError
from alderbridge.state.replica import decode_or_none
from alderbridge.state.store import Store
from alderbridge.transport.errors import UnansweredError

_record = msgspec.json.Decoder(Record)


class StoreUnreachableError(Exception):
    """The store has refused the read, or not answered it, or not with what can be read."""


class UnreadableJobError(StoreUnreachableError):
    """The store has answered, and the job's record can't be decoded: nothing can be said of the job."""


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
        """The job's record, None where the store has none.

        Raises ``StoreUnreachableError``; ``UnreadableJobError`` for a record that can't be decoded. That one is no
        failure of the store: other jobs are served meanwhile.
        """
        try:
            row = await self.store.get(JOBS + job)
        except (StoreRefusedError, UnansweredError, msgspec.DecodeError) as error:
            self.store_backoff.record_failure()
            raise StoreUnreachableError(job) from error
        if row is None:
            return None
        record = decode_or_none(_record, row.key, row.data)
        if record is None:
            raise UnreadableJobError(job)
        return StoredJob(record, row.revision)
