"""Merges a read of the store in pages with the changes made during it into one state of the store. No I/O."""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from alderbridge.protocol.keys import DEPENDENCY_LISTS
from alderbridge.protocol.store import KeyValue, WatchEvent


def snapshot(rows: Sequence[KeyValue], changes: Sequence[WatchEvent]) -> Iterator[WatchEvent]:
    """Yield each key once, as of the last change; dependency lists come before the records that refer to them.

    ``rows``: all pages, which may be of different revisions. ``changes``: all since the first page, in order. A row
    that has changed since is skipped: together with rows of other pages it may be a state that the store never had.
    """
    latest = {change.key: change for change in changes}
    for is_list in (True, False):
        for row in rows:
            if row.key not in latest and row.key.startswith(DEPENDENCY_LISTS) is is_list:
                yield WatchEvent(put=row.key, data=row.data, revision=row.revision)
        for key, change in latest.items():
            if key.startswith(DEPENDENCY_LISTS) is is_list:
                yield change
