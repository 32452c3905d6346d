"""The receiving side: what one home has told of its queue and of its teams' sums. Pure.

States of a ``ShardQueue``:

* EMPTY: nothing has arrived under this view.
* PARTIAL: rows or sums have, and not yet both.
* WHOLE: both have; each change leaves it whole.
"""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from alderbridge.protocol.messages import QueueDelta, QueueRow, QueueSnapshot, TeamUsageDelta
from alderbridge.scheduling.resources import NO_QUOTA, QuotaAmounts


def aged(row: QueueRow, by_s: float) -> QueueRow:
    """The row as it stands that many seconds after it was told."""
    return msgspec.structs.replace(row, due_in_s=row.due_in_s - by_s, waited_s=row.waited_s + by_s)


class ShardQueue:
    """A home's waiting jobs, and what its teams use, hold and want."""

    def __init__(self) -> None:
        """Nothing is known."""
        self.received_rows: dict[str, tuple[QueueRow, float]] = {}  # job -> its row, and when it arrived
        self.used: dict[str, QuotaAmounts] = {}
        self.reserved: dict[str, QuotaAmounts] = {}
        self.demand: dict[str, QuotaAmounts] = {}
        self.allocations_received = 0
        self.has_rows = self.has_sums = False
        self.by_changes = False  # whole queues are from before: late frames

    @property
    def whole(self) -> bool:
        """Whether both rows and sums have arrived."""
        return self.has_rows and self.has_sums

    @property
    def rows(self) -> list[QueueRow]:
        """All rows, with their times as they were told."""
        return [row for row, _ in self.received_rows.values()]

    def row(self, job: str, now: float) -> QueueRow:
        """The row of one job, with its times as they stand."""
        row, at = self.received_rows[job]
        return aged(row, now - at) if now != at else row

    def aged_rows(self, now: float) -> Iterator[QueueRow]:
        """All rows, with their times as they stand."""
        for job in self.received_rows:
            yield self.row(job, now)

    def apply_snapshot(self, queue: QueueSnapshot, now: float) -> bool:
        """The whole of it, from a member that tells no changes; False: it is older than what is known."""
        if self.by_changes:
            return False
        self.received_rows = {row.job: (row, now) for row in queue.rows}
        self.used, self.reserved, self.demand, self.allocations_received = (
            queue.used,
            queue.reserved,
            queue.demand,
            queue.allocations_received,
        )
        self.has_rows = self.has_sums = True
        return True

    def apply_row_delta(self, changes: QueueDelta, now: float) -> None:
        """Rows that are new or differ, and jobs that have none any more."""
        self.by_changes = self.has_rows = True
        if changes.whole:
            self.received_rows = {}
        for job in changes.gone:
            self.received_rows.pop(job, None)
        for row in changes.rows:
            self.received_rows[row.job] = (row, now)

    def apply_usage_delta(self, changes: TeamUsageDelta) -> None:
        """The sums of teams that differ."""
        self.by_changes = self.has_sums = True
        if changes.whole:
            self.used, self.reserved, self.demand = {}, {}, {}
        self.allocations_received = changes.allocations_received
        for team, sums in changes.teams.items():
            for known, amounts in ((self.used, sums.used), (self.reserved, sums.reserved), (self.demand, sums.demand)):
                if amounts == NO_QUOTA:
                    known.pop(team, None)
                else:
                    known[team] = amounts


class ShardQueues(dict[str, ShardQueue]):
    """The homes' queues that are whole, by label; those that are not yet are kept beside them."""

    def __init__(self) -> None:
        """No home has told anything."""
        super().__init__()
        self.partial: dict[str, ShardQueue] = {}

    def of(self, label: str) -> ShardQueue:
        """What that home has told so far, whole or not."""
        known = self.get(label)
        return known if known is not None else self.partial.setdefault(label, ShardQueue())

    def arrived(self, label: str) -> None:
        """Something of that home's was taken: it may be whole now."""
        known = self.partial.get(label)
        if known is not None and known.whole:
            self[label] = self.partial.pop(label)
