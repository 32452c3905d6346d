"""Classes of changes to the store, each with an assured rate.

This is a hierarchical token bucket. The member's write budget is the parent; each class has its own bucket, which fills
at a fixed share of the budget's rate. Classes may borrow what others do not use, but never the assured rate of another.

Without assured rates, a flood of submissions keeps the budget overdrawn and starves machine records, without which no
task may start (docs/incidents/machine-records-starved.md).
"""

from __future__ import annotations

from enum import Enum

from alderbridge.transport.token_bucket import TokenBucket


class WriteClass(Enum):
    """The purpose of a change to the store."""

    MACHINE_RECORD = "machine record"  # no task starts on a machine without one
    MACHINE_DROP = "machine drop"  # a record that is not deleted delays the inherited tasks of later views
    JOB_END = "job end"  # ends, confirmed cancellations, start limits
    SUBMISSION = "submission"
    PROGRESS = "progress"  # done tasks of running jobs; reduction of ended jobs' records


ASSURED_SHARES = {
    WriteClass.MACHINE_RECORD: 0.25,
    WriteClass.MACHINE_DROP: 0.05,
    WriteClass.JOB_END: 0.25,
    WriteClass.SUBMISSION: 0.25,
    WriteClass.PROGRESS: 0.05,
}
"""Shares of the write budget. Starting and ending accepted work takes precedence over accepting more of it."""

ASSURED_BURST = 1.0  # changes; no more accumulate, as other classes have borrowed the unused rate


class AssuredRates:
    """The token buckets that assure each class its rate."""

    def __init__(self, rate: float, now: float) -> None:
        """``rate``: the member's write budget, in changes/s."""
        self._buckets = {
            write_class: TokenBucket(share * rate, ASSURED_BURST, now) for write_class, share in ASSURED_SHARES.items()
        }

    def set_rate(self, rate: float, now: float) -> None:
        """Set the rate of the write budget, in changes/s."""
        for write_class, share in ASSURED_SHARES.items():
            self._buckets[write_class].set_rate(share * rate, ASSURED_BURST, now)

    def available(self, write_class: WriteClass, is_waiting: bool, now: float) -> int:
        """The number of changes assured to the class now; a class with no changes waiting accumulates none."""
        bucket = self._buckets[write_class]
        if not is_waiting:
            bucket.consume(now, max(0.0, bucket.available(now)))
        return int(bucket.available(now))

    def consume(self, write_class: WriteClass, now: float, changes: int) -> None:
        """Account for changes of the class; those beyond its assured rate were borrowed and are not paid back."""
        bucket = self._buckets[write_class]
        bucket.consume(now, min(float(changes), bucket.available(now)))
