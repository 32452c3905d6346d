"""Classes of the store's changes, each with an assured rate.

A hierarchical token bucket: the member's write budget is the parent, and each class has a bucket of its own that fills
with the class's part of the budget's rate. What a class does not use others borrow, so the budget is never idle while
anything waits; and no class, however much of it there is, takes what is assured to another.

Without assured rates, submissions beyond the write budget kept it overdrawn, and the records of machines, without
which no task may start, were never written (docs/incidents/machine-records-starved.md).
"""

from __future__ import annotations

from enum import Enum

from alderbridge.transport.token_bucket import TokenBucket


class WriteClass(Enum):
    """What a change of the store is for."""

    MACHINE_RECORD = "machine record"  # no task starts on a machine without one
    MACHINE_DROP = "machine drop"  # a record left behind holds up the inherited tasks of later views
    JOB_END = "job end"  # ends, confirmed cancellations and start limits
    SUBMISSION = "submission"
    PROGRESS = "progress"  # done tasks of running jobs, and records of ended jobs that shrink


ASSURED_SHARES = {
    WriteClass.MACHINE_RECORD: 0.25,
    WriteClass.MACHINE_DROP: 0.05,
    WriteClass.JOB_END: 0.25,
    WriteClass.SUBMISSION: 0.25,
    WriteClass.PROGRESS: 0.05,
}
"""Parts of the write budget. Starting and ending accepted work have two thirds: accepting more of it helps nobody."""

ASSURED_BURST = 1.0  # changes; more are not saved up: what others have borrowed meanwhile is gone


class AssuredRates:
    """How many changes of each class may be made now whatever else waits."""

    def __init__(self, rate: float, now: float) -> None:
        """``rate``: changes a second of the member's write budget."""
        self._buckets = {
            write_class: TokenBucket(share * rate, ASSURED_BURST, now) for write_class, share in ASSURED_SHARES.items()
        }

    def change(self, rate: float, now: float) -> None:
        """The budget has another rate from now on."""
        for write_class, share in ASSURED_SHARES.items():
            self._buckets[write_class].change(share * rate, ASSURED_BURST, now)

    def available(self, write_class: WriteClass, is_waiting: bool, now: float) -> int:
        """How many changes of the class are assured at this moment; a class that does not wait saves none up."""
        bucket = self._buckets[write_class]
        if not is_waiting:
            bucket.spend(now, max(0.0, bucket.available(now)))
        return int(bucket.available(now))

    def spend(self, write_class: WriteClass, now: float, changes: int) -> None:
        """Changes of the class have been made; what goes beyond its assured rate was borrowed, and is not owed."""
        bucket = self._buckets[write_class]
        bucket.spend(now, min(float(changes), bucket.available(now)))
