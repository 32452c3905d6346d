"""A machine shard's view of the job shards' queues: offers in placement order.

A row may arrive before the record of its job does. It is kept until then, as it is sent only once.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from alderbridge import constants
from alderbridge.protocol.messages import QueueDelta, QueueRow, QueueSnapshot
from alderbridge.protocol.wire import JobSpec
from alderbridge.scheduling.offers import IgnoresLateness, Offer, Offers, never_ignores_lateness


class OfferBook:
    """The offers of all job shards under one view."""

    def __init__(
        self, spec_of: Callable[[str], JobSpec | None], ignores_lateness: IgnoresLateness = never_ignores_lateness
    ) -> None:
        """``spec_of``: returns a job's spec, None before its record arrives; ``ignores_lateness``: see
        ``offers.placement_key``.
        """
        self.spec_of = spec_of
        self.ignores_lateness = ignores_lateness
        self.offers = Offers()
        self.delta_senders: set[str] = set()  # members whose snapshots are ignored as late frames
        self.pending_rows: dict[str, dict[str, tuple[QueueRow, float]]] = {}  # member -> job -> (row, when it was sent)

    def clear(self) -> None:
        """Begin a new view: drop all offers."""
        self.offers.clear()
        self.delta_senders.clear()
        self.pending_rows.clear()

    def apply_snapshot(self, label: str, queue: QueueSnapshot, now: float) -> None:
        """Replace all offers of a job shard that sends its full queue in each round."""
        if label not in self.delta_senders:
            self.offers.replace(label, self._offers_of(label, queue.rows, now))

    def apply_delta(self, label: str, changes: QueueDelta, sent_at: float) -> None:
        """Update the offers of a job shard; ``sent_at``: local time at which the delta was sent."""
        self.delta_senders.add(label)
        pending = self.pending_rows.setdefault(label, {})
        if changes.is_full:
            pending.clear()
            self.offers.replace(label, ())
        for job in changes.removed_jobs:
            pending.pop(job, None)
        offers = self._offers_of(label, changes.rows, sent_at)
        resolved = {offer.row.job for offer in offers}
        for row in changes.rows:
            pending.pop(row.job, None)
            if row.offer > 0 and row.job not in resolved:
                pending[row.job] = (row, sent_at)
        removed = [*changes.removed_jobs, *(row.job for row in changes.rows if row.offer <= 0)]
        self.offers.update(label, offers, removed)

    def add_pending_rows(self) -> None:
        """Add the offers of pending rows whose job records have arrived."""
        for label, rows in self.pending_rows.items():
            resolved = [
                (row, sent_at, spec) for row, sent_at in rows.values() if (spec := self.spec_of(row.job)) is not None
            ]
            if resolved:
                offers = [self._offer(label, row, spec, sent_at) for row, sent_at, spec in resolved]
                self.offers.update(label, offers, ())
                for row, _, _ in resolved:
                    del rows[row.job]

    def _offers_of(self, label: str, rows: Iterable[QueueRow], sent_at: float) -> list[Offer]:
        specs = [(row, self.spec_of(row.job)) for row in rows if row.offer > 0]
        return [self._offer(label, row, spec, sent_at) for row, spec in specs if spec is not None]

    def _offer(self, label: str, row: QueueRow, spec: JobSpec, sent_at: float) -> Offer:
        return Offer(label, row, spec, sent_at, constants.PACKING_DELAY_S, self.ignores_lateness)
