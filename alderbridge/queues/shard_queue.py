"""The receiving side: what one job shard has told of its queue and of its teams' usage. Pure."""

from __future__ import annotations

from collections.abc import Iterator
from enum import Flag

import msgspec

from alderbridge.protocol.messages import QueueDelta, QueueRow, QueueSnapshot, TeamUsageDelta
from alderbridge.scheduling.resources import NO_QUOTA, QuotaAmounts


def aged(row: QueueRow, by_s: float) -> QueueRow:
    """The row as it stands that many seconds after it was sent."""
    return msgspec.structs.replace(row, due_in_s=row.due_in_s - by_s, waited_s=row.waited_s + by_s)


class Received(Flag):
    """What has arrived of a queue under this view; each later change leaves it complete."""

    NOTHING = 0
    ROWS = 1
    USAGE = 2
    COMPLETE = ROWS | USAGE


class ShardQueue:
    """A job shard's waiting jobs, and what its teams use, reserve and demand."""

    def __init__(self) -> None:
        """Nothing is known."""
        self.received_rows: dict[str, tuple[QueueRow, float]] = {}  # job -> its row, and when it arrived
        self.used: dict[str, QuotaAmounts] = {}
        self.reserved: dict[str, QuotaAmounts] = {}
        self.demand: dict[str, QuotaAmounts] = {}
        self.allocations_received = 0
        self.received = Received.NOTHING
        self.sends_deltas = False  # whole queues are from before: late frames

    @property
    def rows(self) -> list[QueueRow]:
        """All rows, with their times as they were sent."""
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
        """The whole of it, from a member that sends no deltas; False: it is older than what is known."""
        if self.sends_deltas:
            return False
        self.received_rows = {row.job: (row, now) for row in queue.rows}
        self.used = queue.used
        self.reserved = queue.reserved
        self.demand = queue.demand
        self.allocations_received = queue.allocations_received
        self.received = Received.COMPLETE
        return True

    def apply_row_delta(self, changes: QueueDelta, now: float) -> None:
        """Rows that are new or differ, and jobs that have none any more."""
        self._count_delta(Received.ROWS)
        if changes.whole:
            self.received_rows = {}
        for job in changes.gone:
            self.received_rows.pop(job, None)
        for row in changes.rows:
            self.received_rows[row.job] = (row, now)

    def apply_usage_delta(self, changes: TeamUsageDelta) -> None:
        """The usage of teams that differs."""
        self._count_delta(Received.USAGE)
        if changes.whole:
            self.used, self.reserved, self.demand = {}, {}, {}
        self.allocations_received = changes.allocations_received
        for team, usage in changes.teams.items():
            for known, amounts in (
                (self.used, usage.used),
                (self.reserved, usage.reserved),
                (self.demand, usage.demand),
            ):
                if amounts == NO_QUOTA:
                    known.pop(team, None)
                else:
                    known[team] = amounts

    def _count_delta(self, what: Received) -> None:
        self.sends_deltas = True
        if self.received is not Received.COMPLETE:
            self.received |= what


class ShardQueues(dict[str, ShardQueue]):
    """The job shards' queues that are complete, by label; those that are not yet are kept beside them."""

    def __init__(self) -> None:
        """No job shard has told anything."""
        super().__init__()
        self.incomplete: dict[str, ShardQueue] = {}

    def of(self, label: str) -> ShardQueue:
        """What has arrived of that job shard's queue so far, complete or not."""
        known = self.get(label)
        return known if known is not None else self.incomplete.setdefault(label, ShardQueue())

    def promote(self, label: str) -> None:
        """Something of that queue has arrived: it may be complete now."""
        known = self.incomplete.get(label)
        if known is not None and known.received is Received.COMPLETE:
            self[label] = self.incomplete.pop(label)
