"""Tasks that the job shards offer to a machine shard, sorted by placement order."""

from __future__ import annotations

import bisect
import itertools
import math
from collections import Counter
from collections.abc import Callable, Iterable

from alderbridge import constants
from alderbridge.protocol.messages import QueueRow
from alderbridge.protocol.wire import PRIORITIES, JobSpec

_GUARANTEED_RANK = len(PRIORITIES)  # above the highest priority
BOOST_OFFSET_S = 1e9  # sorts offers with a priority boost before every deadline, in order of their waiting time


IgnoresLateness = Callable[[JobSpec], bool]


def never_ignores_lateness(spec: JobSpec) -> bool:
    """``IgnoresLateness`` for a policy under which no job may preempt others."""
    return False


def placement_key(
    row: QueueRow, spec: JobSpec, due_in_s: float, ignores_lateness: IgnoresLateness = never_ignores_lateness
) -> tuple[bool, int, float]:
    """The sort key of a job: jobs that can still meet a deadline first, then higher priority, then earlier deadline.

    ``ignores_lateness``: whether a job that has missed its deadlines still sorts by priority and deadline. Jobs that
    may preempt do: sorted behind the others, they would see free capacity given away and then preempt tasks for it.

    A job within its team's guarantee does not wait for other teams: it ranks above every priority. A job with
    dependents has the highest priority among them.
    """
    rank = (
        _GUARANTEED_RANK
        if row.guaranteed
        else _GUARANTEED_RANK - 1
        if row.priority_boost > 1
        else max(row.rank, spec.rank)
    )
    if row.priority_boost:
        return False, -rank, -row.waited_s  # within its rank before every deadline, longest wait first
    return row.late and not ignores_lateness(spec), -rank, due_in_s


class Offer:
    """Tasks of one job that its shard would grant now; ``remaining`` decreases as tasks are requested."""

    __slots__ = ("key", "label", "row", "spec", "remaining", "packing_until", "reserve_from")

    def __init__(
        self,
        label: str,
        row: QueueRow,
        spec: JobSpec,
        now: float,
        packing_wait_s: float,
        ignores_lateness: IgnoresLateness = never_ignores_lateness,
    ) -> None:
        """``label``: the job shard; ``now``: when the row was sent, in seconds.

        ``ignores_lateness``: see ``placement_key``.
        """
        # The key holds absolute times, so that it stays valid as time passes.
        late, rank, due = placement_key(row, spec, now + row.due_in_s, ignores_lateness)
        self.key = (late, rank, now + due - BOOST_OFFSET_S) if row.priority_boost else (late, rank, due)
        self.label, self.row, self.spec, self.remaining = label, row, spec, row.offer
        self.packing_until = now - row.waited_s + packing_wait_s  # until then idle machines leave it to busy ones
        self.reserve_from = (
            now - row.waited_s + constants.RESERVE_MACHINE_AFTER_S
        )  # no capacity is reserved for it earlier


# Key of the offer, label of the job shard, job ID, offer. Shard and job make each entry unique, so that sorting never
# compares offers.
OfferEntry = tuple[bool, int, float, str, str, Offer]


class Offers:
    """The offers of all job shards in placement order."""

    def __init__(self) -> None:
        """Starts without offers."""
        self.entries_by_shard: dict[str, dict[str, OfferEntry]] = {}  # label -> job -> entry
        self.sorted_entries: list[OfferEntry] | None = []  # of all shards; None: to be sorted at the next read
        self.offers_by_cpus: Counter[float] = Counter()  # CPUs of a task -> number of offers
        self.min_cpus = math.inf  # CPUs of the smallest task

    def clear(self) -> None:
        """Drop all offers, as for a new view."""
        self.entries_by_shard.clear()
        self.offers_by_cpus.clear()
        self.min_cpus = math.inf
        self.sorted_entries = None

    def replace(self, label: str, offers: Iterable[Offer]) -> None:
        """Replace all offers of a job shard."""
        for entry in self.entries_by_shard.get(label, {}).values():
            self.offers_by_cpus[entry[-1].spec.cpus] -= 1
        self.entries_by_shard[label] = {offer.row.job: (*offer.key, label, offer.row.job, offer) for offer in offers}
        self.offers_by_cpus.update(entry[-1].spec.cpus for entry in self.entries_by_shard[label].values())
        self.sorted_entries = None
        self._update_min_cpus()

    def update(self, label: str, offers: Iterable[Offer], gone: Iterable[str]) -> None:
        """Apply a job shard's new and changed offers, and remove those of the jobs ``gone``."""
        entries = self.entries_by_shard.setdefault(label, {})
        for job in gone:
            self._remove(entries, job)
        for offer in offers:
            self._remove(entries, offer.row.job)
            entry = entries[offer.row.job] = (*offer.key, label, offer.row.job, offer)
            self.offers_by_cpus[offer.spec.cpus] += 1
            if self.sorted_entries is not None:
                bisect.insort(self.sorted_entries, entry)
        self._update_min_cpus()

    def _remove(self, entries: dict[str, OfferEntry], job: str) -> None:
        entry = entries.pop(job, None)
        if entry is None:
            return
        self.offers_by_cpus[entry[-1].spec.cpus] -= 1
        if self.sorted_entries is not None:
            del self.sorted_entries[bisect.bisect_left(self.sorted_entries, entry)]

    def _update_min_cpus(self) -> None:
        for cpus in [cpus for cpus, count in self.offers_by_cpus.items() if not count]:
            del self.offers_by_cpus[cpus]
        self.min_cpus = min(self.offers_by_cpus, default=math.inf)

    def in_order(self) -> list[OfferEntry]:
        """All offers in placement order."""
        if self.sorted_entries is None:
            self.sorted_entries = sorted(
                itertools.chain.from_iterable(entries.values() for entries in self.entries_by_shard.values())
            )
        return self.sorted_entries
