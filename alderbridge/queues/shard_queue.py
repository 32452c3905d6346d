"""The receiving side: the queue and the team usage of one job shard."""

from __future__ import annotations

from collections.abc import Iterator
from enum import Flag

import msgspec

from alderbridge.protocol.messages import QueueDelta, QueueRow, QueueSnapshot, TeamUsageDelta
from alderbridge.scheduling.resources import NO_QUOTA, QuotaAmounts


def aged(row: QueueRow, by_s: float) -> QueueRow:
    """Return the row with its times adjusted to ``by_s`` seconds after it was sent."""
    return msgspec.structs.replace(row, due_in_s=row.due_in_s - by_s, waited_s=row.waited_s + by_s)


class Received(Flag):
    """Which parts of a queue have arrived under this view; once complete, it stays complete."""

    NOTHING = 0
    ROWS = 1
    USAGE = 2
    COMPLETE = ROWS | USAGE


class ShardQueue:
    """A job shard's waiting jobs, and the resources that its teams use, reserve and demand."""

    def __init__(self) -> None:
        """Start with nothing received."""
        self.received_rows: dict[str, tuple[QueueRow, float]] = {}  # job -> (row, local time that its times refer to)
        self.used: dict[str, QuotaAmounts] = {}
        self.reserved: dict[str, QuotaAmounts] = {}
        self.demand: dict[str, QuotaAmounts] = {}
        self.allocations_received = 0
        self.received = Received.NOTHING
        self.sends_deltas = False  # snapshots are then late frames, and ignored

    @property
    def rows(self) -> list[QueueRow]:
        """All rows, with their times as of when they were sent."""
        return [row for row, _ in self.received_rows.values()]

    def row(self, job: str, now: float) -> QueueRow:
        """Return the row of one job, with its times as of now."""
        row, sent_at = self.received_rows[job]
        return aged(row, now - sent_at) if now != sent_at else row

    def aged_rows(self, now: float) -> Iterator[QueueRow]:
        """Yield all rows, with their times as of now."""
        for job in self.received_rows:
            yield self.row(job, now)

    def apply_snapshot(self, queue: QueueSnapshot, now: float) -> bool:
        """Replace the queue; returns False for a late snapshot from a member that has sent deltas since."""
        if self.sends_deltas:
            return False
        self.received_rows = {row.job: (row, now) for row in queue.rows}
        self.used = queue.used
        self.reserved = queue.reserved
        self.demand = queue.demand
        self.allocations_received = queue.allocations_received
        self.received = Received.COMPLETE
        return True

    def apply_row_delta(self, changes: QueueDelta, sent_at: float) -> None:
        """Apply new, changed and removed rows; ``sent_at``: local time at which the delta was sent."""
        self._record_delta(Received.ROWS)
        if changes.is_full:
            self.received_rows = {}
        for job in changes.removed_jobs:
            self.received_rows.pop(job, None)
        for row in changes.rows:
            self.received_rows[row.job] = (row, sent_at)

    def apply_usage_delta(self, changes: TeamUsageDelta) -> None:
        """Apply changed team usage."""
        self._record_delta(Received.USAGE)
        if changes.is_full:
            self.used, self.reserved, self.demand = {}, {}, {}
        self.allocations_received = changes.allocations_received
        for team, usage in changes.teams.items():
            for stored, amounts in (
                (self.used, usage.used),
                (self.reserved, usage.reserved),
                (self.demand, usage.demand),
            ):
                if amounts == NO_QUOTA:
                    stored.pop(team, None)
                else:
                    stored[team] = amounts

    def _record_delta(self, part: Received) -> None:
        self.sends_deltas = True
        if self.received is not Received.COMPLETE:
            self.received |= part


class ShardQueues(dict[str, ShardQueue]):
    """The complete queues of job shards, by label; ``incomplete`` holds those that have arrived only in part."""

    def __init__(self) -> None:
        """Start with no queues."""
        super().__init__()
        self.incomplete: dict[str, ShardQueue] = {}

    def get_or_create(self, label: str) -> ShardQueue:
        """Return the queue of the job shard, complete or not."""
        queue = self.get(label)
        return queue if queue is not None else self.incomplete.setdefault(label, ShardQueue())

    def promote_if_complete(self, label: str) -> None:
        """Move the job shard's queue out of ``incomplete`` once all of its parts have arrived."""
        queue = self.incomplete.get(label)
        if queue is not None and queue.received is Received.COMPLETE:
            self[label] = self.incomplete.pop(label)
