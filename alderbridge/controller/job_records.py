"""Reads job records from the store, for jobs that are not in memory."""

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
    """The read was refused, got no response, or got a response that cannot be decoded."""


class UnreadableJobError(StoreUnreachableError):
    """The store responded, but the job's record cannot be decoded, so its state is unknown."""


class StoredJob(NamedTuple):
    """A job's record and the revision of its key."""

    record: Record
    revision: int


class JobRecordReader:
    """Reads single records; a failed read starts the store backoff."""

    def __init__(self, store: Store, store_backoff: StoreBackoff) -> None:
        """``store_backoff``: records the failed reads."""
        self.store = store
        self.store_backoff = store_backoff

    async def read(self, job: str) -> StoredJob | None:
        """The job's record; None if the store has none.

        Raises ``StoreUnreachableError``, or ``UnreadableJobError`` for a record that cannot be decoded. The latter does
        not start the backoff: the store works, and other jobs can be served.
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
