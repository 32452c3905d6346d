"""What a machine shard makes of the job shards' queues: offers in the order of placement. Pure.

A row may arrive before its job's record does. It waits here for the record, as it is sent but once.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from alderbridge import constants
from alderbridge.protocol.messages import QueueDelta, QueueRow, QueueSnapshot
from alderbridge.protocol.wire import JobSpec
from alderbridge.scheduling.offers import KeepsTurn, Offer, Offers, keep_no_turn


class OfferBook:
    """The offers of all job shards under one view."""

    def __init__(self, spec_of: Callable[[str], JobSpec | None], keeps_turn: KeepsTurn = keep_no_turn) -> None:
        """``spec_of``: the description of a job, where its record is known here; ``keeps_turn``: see ``order``."""
        self.spec_of = spec_of
        self.keeps_turn = keeps_turn
        self.offers = Offers()
        self.delta_senders: set[str] = set()  # members that send deltas: whole queues of theirs are late frames
        self.unknown: dict[str, dict[str, tuple[QueueRow, float]]] = {}  # member -> job -> row, when it was sent

    def clear(self) -> None:
        """A new view: nothing that was offered counts."""
        self.offers.clear()
        self.delta_senders.clear()
        self.unknown.clear()

    def apply_snapshot(self, label: str, queue: QueueSnapshot, now: float) -> None:
        """All that a job shard offers, sent in each round."""
        if label not in self.delta_senders:
            self.offers.replace(label, self._offers_of(label, queue.rows, now))

    def apply_delta(self, label: str, changes: QueueDelta, now: float) -> None:
        """What a job shard offers otherwise than before."""
        self.delta_senders.add(label)
        unknown = self.unknown.setdefault(label, {})
        if changes.whole:
            unknown.clear()
            self.offers.replace(label, ())
        for job in changes.gone:
            unknown.pop(job, None)
        offers = self._offers_of(label, changes.rows, now)
        known = {offer.row.job for offer in offers}
        for row in changes.rows:
            unknown.pop(row.job, None)
            if row.offer > 0 and row.job not in known:
                unknown[row.job] = (row, now)
        gone = [*changes.gone, *(row.job for row in changes.rows if row.offer <= 0)]
        self.offers.update(label, offers, gone)

    def resolve_unknown_jobs(self) -> None:
        """Records may have arrived for which rows wait."""
        for label, rows in self.unknown.items():
            known = [(row, at, spec) for row, at in rows.values() if (spec := self.spec_of(row.job)) is not None]
            if known:
                offers = [self._offer(label, row, spec, at) for row, at, spec in known]
                self.offers.update(label, offers, ())
                for row, _, _ in known:
                    del rows[row.job]

    def _offers_of(self, label: str, rows: Iterable[QueueRow], now: float) -> list[Offer]:
        specs = [(row, self.spec_of(row.job)) for row in rows if row.offer > 0]
        return [self._offer(label, row, spec, now) for row, spec in specs if spec is not None]

    def _offer(self, label: str, row: QueueRow, spec: JobSpec, now: float) -> Offer:
        return Offer(label, row, spec, now, constants.PACKING_WAIT_S, self.keeps_turn)
