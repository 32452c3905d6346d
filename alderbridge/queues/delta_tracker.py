"""The sending side: which rows of this home's queue are news, and for whom. Pure.

Each news raises the version; a member is at the version that it was last told. Rows that differ little are told after a
second, so that a large job's count does not go out with every start. What a member was told counts as known there: the
channel delivers it in order, or the view ends first.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from alderbridge import constants
from alderbridge.protocol.messages import QueueDelta, QueueRow, TeamUsage, TeamUsageDelta
from alderbridge.scheduling.resources import NO_QUOTA, QuotaAmounts


class QueueState(NamedTuple):
    """This home's queue and sums in one round."""

    rows: list[QueueRow]
    used: dict[str, QuotaAmounts]
    reserved: dict[str, QuotaAmounts]
    demand: dict[str, QuotaAmounts]
    allocations_received: int


class _Published(NamedTuple):
    """A row as it last was news."""

    row: QueueRow
    at: float
    version: int


def _counts_differ(told: int, count: int) -> bool:
    """Whether a count has changed by enough to be told at once: small ones by anything, others by an eighth."""
    if told <= constants.QUEUE_EXACT or count <= constants.QUEUE_EXACT:
        return told != count
    return abs(told - count) * constants.QUEUE_SHARE > told


def _is_news(known: _Published, row: QueueRow, now: float) -> bool:
    """Whether a member would decide otherwise by the row than by what it was told."""
    told, passed = known.row, now - known.at
    if (row.zone, row.late, row.guaranteed, row.rank, row.priority_boost) != (
        told.zone,
        told.late,
        told.guaranteed,
        told.rank,
        told.priority_boost,
    ):
        return True
    if _counts_differ(told.offer, row.offer) or _counts_differ(told.waiting, row.waiting):
        return True
    if (
        abs(row.due_in_s + passed - told.due_in_s) > constants.QUEUE_TIME_S
        or abs(row.run_s - told.run_s) > constants.QUEUE_TIME_S
    ):
        return True
    if passed < constants.LEADER_ROUND_S:
        return False
    return (row.waiting, row.offer, row.inherited) != (told.waiting, told.offer, told.inherited) or (
        passed >= constants.QUEUE_REFRESH_S
    )


class DeltaTracker:
    """What this home has told each member under this view."""

    def __init__(self) -> None:
        """Nobody was told anything."""
        self.clear()

    def clear(self) -> None:
        """A new view: everybody is told the whole."""
        self.version, self.now = 0, 0.0
        self.published: dict[str, _Published] = {}
        self.current: dict[str, QueueRow] = {}  # as they stand in this round
        self.gone: dict[str, int] = {}  # jobs without a row -> the version since which
        self.told: dict[str, int] = {}  # member -> the version that it knows
        self.again: dict[str, set[str]] = defaultdict(set)  # member -> jobs of which it has asked for tasks
        self.built: dict[tuple[int, bool], QueueDelta | None] = {}  # of this round: most members are at one version
        self.sums: dict[str, TeamUsage] | None = None  # as the leader knows them
        self.allocations_received = -1

    def update(self, rows: Iterable[QueueRow], now: float) -> None:
        """The queue as it stands in this round."""
        self.version, self.now = self.version + 1, now
        self.built.clear()
        self.current = {row.job: row for row in rows}
        for job, row in self.current.items():
            known = self.published.get(job)
            if known is None or _is_news(known, row, now):
                self.published[job] = _Published(row, now, self.version)
                self.gone.pop(job, None)
        for job in [job for job in self.published if job not in self.current]:
            del self.published[job]
            self.gone[job] = self.version
        self._forget_gone()

    def _forget_gone(self) -> None:
        """Jobs that every member knows to be gone; who is far behind is told the whole next time."""
        if len(self.gone) > constants.QUEUE_ENDED_JOBS:
            newest = max(self.told.values(), default=0)
            self.told = {label: version for label, version in self.told.items() if version == newest}
        oldest = min(self.told.values(), default=self.version)
        self.gone = {job: version for job, version in self.gone.items() if version > oldest}

    def resend_row(self, label: str, job: str) -> None:
        """A member has asked for tasks of the job: it has taken them off what it was told, granted or not."""
        self.again[label].add(job)

    def delta_for(self, label: str, all_rows: bool) -> QueueDelta | None:
        """What the member does not know yet; None: nothing. Without ``all_rows`` only what is on offer."""
        since, again = self.told.get(label), self.again.pop(label, None)
        self.told[label] = self.version
        if since is None:
            rows = [row for row in self.current.values() if all_rows or row.offer > 0]
            return QueueDelta(self.now, rows, [], True)
        key = (since, all_rows)
        if key not in self.built:
            self.built[key] = self._since(since, all_rows)
        changes = self.built[key]
        return changes if again is None else self._with(changes, again)

    def _since(self, since: int, all_rows: bool) -> QueueDelta | None:
        rows, gone = [], [job for job, version in self.gone.items() if version > since]
        for job, (_, _, version) in self.published.items():
            if version <= since:
                continue
            row = self.current[job]
            if all_rows or row.offer > 0:
                rows.append(row)
            else:
                gone.append(job)
        return QueueDelta(self.now, rows, gone, False) if rows or gone else None

    def _with(self, changes: QueueDelta | None, again: set[str]) -> QueueDelta | None:
        """The changes, and the rows of jobs that are to be told again."""
        known = {row.job for row in changes.rows} if changes is not None else set()
        more = [self.current[job] for job in sorted(again - known) if job in self.current]
        if changes is None:
            return QueueDelta(self.now, more, [], False) if more else None
        return QueueDelta(self.now, [*changes.rows, *more], changes.gone, False) if more else changes

    def usage_for_leader(self, snapshot: QueueState) -> TeamUsageDelta | None:
        """The sums that the leader does not know yet, with the count of allowances that they rest on."""
        sums = _sums(snapshot)
        known, whole = self.sums or {}, self.sums is None
        changed = {team: one for team, one in sums.items() if known.get(team) != one}
        for team in known:
            if team not in sums:
                changed[team] = TeamUsage(NO_QUOTA, NO_QUOTA, NO_QUOTA)
        if not changed and not whole and snapshot.allocations_received == self.allocations_received:
            return None
        self.sums, self.allocations_received = sums, snapshot.allocations_received
        return TeamUsageDelta(changed, snapshot.allocations_received, whole)


def _sums(snapshot: QueueState) -> Mapping[str, TeamUsage]:
    """One entry for each team of which anything is used, held or wanted."""
    used, reserved, demand = snapshot.used, snapshot.reserved, snapshot.demand
    teams = dict.fromkeys((*used, *reserved, *demand))
    sums = {
        team: TeamUsage(used.get(team, NO_QUOTA), reserved.get(team, NO_QUOTA), demand.get(team, NO_QUOTA))
        for team in teams
    }
    empty = TeamUsage(NO_QUOTA, NO_QUOTA, NO_QUOTA)
    return {team: one for team, one in sums.items() if one != empty}
