"""What the job shards offer to a machine shard, in the order of placement. Pure."""

from __future__ import annotations

import bisect
import itertools
import math
from collections import Counter
from collections.abc import Callable, Iterable

from alderbridge import constants
from alderbridge.protocol.messages import QueueRow
from alderbridge.protocol.wire import PRIORITIES, JobSpec

_GUARANTEED = len(PRIORITIES)  # a rank above the highest priority
BOOST_AHEAD_S = 1e9  # s; so far before all deadlines stands what has a priority boost, in the order of its arrival


KeepsTurn = Callable[[JobSpec], bool]


def keep_no_turn(spec: JobSpec) -> bool:
    """``KeepsTurn`` where no work may preempt other work."""
    return False


def order(
    row: QueueRow, spec: JobSpec, due_in_s: float, keeps_turn: KeepsTurn = keep_no_turn
) -> tuple[bool, int, float]:
    """The key by which jobs are sorted: what can still be in time, higher priority, soonest deadline.

    ``keeps_turn``: whether a job goes by priority and deadline though it is late. So does work that may preempt: behind
    all that can be in time, it saw free room go to that, and others' tasks were stopped for it a moment later.

    Work within its team's guarantee need not wait for other teams: it ranks with the highest. A job that others need
    has the priority of the highest of them. Where there is room for all, this is the paper's order.
    """
    rank = _GUARANTEED if row.guaranteed else _GUARANTEED - 1 if row.priority_boost > 1 else max(row.rank, spec.rank)
    if row.priority_boost:
        return False, -rank, -row.waited_s  # before all deadlines, who has waited longest first
    return row.late and not keeps_turn(spec), -rank, due_in_s


class Offer:
    """Tasks of one job that its shard would grant now; ``left`` falls as they are asked for."""

    __slots__ = ("key", "label", "row", "spec", "left", "young_until", "patient_until")

    def __init__(
        self,
        label: str,
        row: QueueRow,
        spec: JobSpec,
        now: float,
        packing_wait_s: float,
        keeps_turn: KeepsTurn = keep_no_turn,
    ) -> None:
        """``label``: of the job's shard; ``now``: when the row was sent, in s; ``keeps_turn``: see ``order``."""
        late, rank, due = order(row, spec, now + row.due_in_s, keeps_turn)  # by the clock: it holds while time passes
        self.key = (late, rank, now + due - BOOST_AHEAD_S) if row.priority_boost else (late, rank, due)
        self.label, self.row, self.spec, self.left = label, row, spec, row.offer
        self.young_until = now - row.waited_s + packing_wait_s  # idle machines leave it to busy ones until then
        self.patient_until = now - row.waited_s + constants.RESERVE_AFTER_S  # no room is kept for it before


Entry = tuple[bool, int, float, str, str, Offer]  # its key, its shard, its job: no two are alike


class Offers:
    """What all job shards offer, in the order of placement."""

    def __init__(self) -> None:
        """Nothing is offered."""
        self.by_shard: dict[str, dict[str, Entry]] = {}
        self.merged: list[Entry] | None = []  # of all shards, in order; None: to be merged anew
        self.sizes: Counter[float] = Counter()  # cpus of a task -> offers
        self.least_cpus = math.inf  # of the smallest task

    def clear(self) -> None:
        """A new view: nothing that was offered counts."""
        self.by_shard.clear()
        self.sizes.clear()
        self.least_cpus = math.inf
        self.merged = None

    def replace(self, label: str, offers: Iterable[Offer]) -> None:
        """All that a job shard offers now, in place of what it offered before."""
        for entry in self.by_shard.get(label, {}).values():
            self.sizes[entry[-1].spec.cpus] -= 1
        self.by_shard[label] = {offer.row.job: (*offer.key, label, offer.row.job, offer) for offer in offers}
        self.sizes.update(entry[-1].spec.cpus for entry in self.by_shard[label].values())
        self.merged = None
        self._find_least()

    def update(self, label: str, offers: Iterable[Offer], gone: Iterable[str]) -> None:
        """What a job shard offers anew or otherwise, and what it offers no more."""
        known = self.by_shard.setdefault(label, {})
        for job in gone:
            self._remove(known, job)
        for offer in offers:
            self._remove(known, offer.row.job)
            entry = known[offer.row.job] = (*offer.key, label, offer.row.job, offer)
            self.sizes[offer.spec.cpus] += 1
            if self.merged is not None:
                bisect.insort(self.merged, entry)
        self._find_least()

    def _remove(self, known: dict[str, Entry], job: str) -> None:
        entry = known.pop(job, None)
        if entry is None:
            return
        self.sizes[entry[-1].spec.cpus] -= 1
        if self.merged is not None:
            del self.merged[bisect.bisect_left(self.merged, entry)]

    def _find_least(self) -> None:
        for cpus in [cpus for cpus, count in self.sizes.items() if not count]:
            del self.sizes[cpus]
        self.least_cpus = min(self.sizes, default=math.inf)

    def in_order(self) -> list[Entry]:
        """All offers, the first to be served first."""
        if self.merged is None:
            self.merged = sorted(itertools.chain.from_iterable(shard.values() for shard in self.by_shard.values()))
        return self.merged
