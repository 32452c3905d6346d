"""The sending side: which rows of this job shard's queue changed, and which member has yet to be sent them. Pure.

Each round raises the version; a member is at the version that it was last sent. Rows that differ little are sent after
a second, so that a large job's count does not go out with every start. What was sent to a member counts as known there:
the channel delivers it in order, or the view ends first.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from typing import NamedTuple

from alderbridge import constants
from alderbridge.protocol.messages import QueueDelta, QueueRow, TeamUsage, TeamUsageDelta
from alderbridge.scheduling.resources import NO_QUOTA, QuotaAmounts


class QueueState(NamedTuple):
    """This job shard's queue and its teams' usage in one round."""

    rows: list[QueueRow]
    used: dict[str, QuotaAmounts]
    reserved: dict[str, QuotaAmounts]
    demand: dict[str, QuotaAmounts]
    allocations_received: int


class _Published(NamedTuple):
    """A row as it was last published."""

    row: QueueRow
    at: float
    version: int


def _count_changed(sent: int, count: int) -> bool:
    """Whether a count has changed by enough to be sent at once: small ones by anything, others by an eighth."""
    if sent <= constants.QUEUE_EXACT or count <= constants.QUEUE_EXACT:
        return sent != count
    return abs(sent - count) * constants.QUEUE_SHARE > sent


def _row_changed(published: _Published, row: QueueRow, now: float) -> bool:
    """Whether a member would decide otherwise by the row than by what it was sent."""
    sent, passed_s = published.row, now - published.at
    if (row.zone, row.late, row.guaranteed, row.rank, row.priority_boost) != (
        sent.zone,
        sent.late,
        sent.guaranteed,
        sent.rank,
        sent.priority_boost,
    ):
        return True
    if _count_changed(sent.offer, row.offer) or _count_changed(sent.waiting, row.waiting):
        return True
    if (
        abs(row.due_in_s + passed_s - sent.due_in_s) > constants.QUEUE_TIME_S
        or abs(row.run_s - sent.run_s) > constants.QUEUE_TIME_S
    ):
        return True
    if passed_s < constants.LEADER_ROUND_S:
        return False
    return (row.waiting, row.offer, row.inherited) != (sent.waiting, sent.offer, sent.inherited) or (
        passed_s >= constants.QUEUE_REFRESH_S
    )


class DeltaTracker:
    """What this job shard has sent to each member under this view."""

    def __init__(self) -> None:
        """Nobody was sent anything."""
        self.clear()

    def clear(self) -> None:
        """A new view: everybody is sent the whole."""
        self.version, self.now = 0, 0.0
        self.published: dict[str, _Published] = {}
        self.current: dict[str, QueueRow] = {}  # as they stand in this round
        self.gone: dict[str, int] = {}  # jobs without a row -> the version since which
        self.sent_versions: dict[str, int] = {}  # member -> the version that it knows
        self.to_resend: dict[str, set[str]] = defaultdict(set)  # member -> jobs of which it has asked for tasks
        self.built: dict[tuple[int, bool], QueueDelta | None] = {}  # of this round: most members are at one version
        self.sent_usage: dict[str, TeamUsage] | None = None  # as the leader knows it; None: it was sent nothing
        self.allocations_received = -1

    def update(self, rows: Iterable[QueueRow], now: float) -> None:
        """The queue as it stands in this round."""
        self.version, self.now = self.version + 1, now
        self.built.clear()
        self.current = {row.job: row for row in rows}
        for job, row in self.current.items():
            known = self.published.get(job)
            if known is None or _row_changed(known, row, now):
                self.published[job] = _Published(row, now, self.version)
                self.gone.pop(job, None)
        for job in [job for job in self.published if job not in self.current]:
            del self.published[job]
            self.gone[job] = self.version
        self._forget_gone()

    def _forget_gone(self) -> None:
        """Jobs that every member knows to be gone; who is far behind is sent the whole next time."""
        if len(self.gone) > constants.QUEUE_ENDED_JOBS:
            newest = max(self.sent_versions.values(), default=0)
            self.sent_versions = {label: version for label, version in self.sent_versions.items() if version == newest}
        oldest = min(self.sent_versions.values(), default=self.version)
        self.gone = {job: version for job, version in self.gone.items() if version > oldest}

    def resend_row(self, label: str, job: str) -> None:
        """A member has asked for tasks of the job: it has taken them off what it was sent, granted or not."""
        self.to_resend[label].add(job)

    def delta_for(self, label: str, all_rows: bool) -> QueueDelta | None:
        """What the member does not know yet; None: nothing. Without ``all_rows`` only what is on offer."""
        since, to_resend = self.sent_versions.get(label), self.to_resend.pop(label, None)
        self.sent_versions[label] = self.version
        if since is None:
            rows = [row for row in self.current.values() if all_rows or row.offer > 0]
            return QueueDelta(self.now, rows, [], True)
        key = (since, all_rows)
        if key not in self.built:
            self.built[key] = self._since(since, all_rows)
        changes = self.built[key]
        return changes if to_resend is None else self._with(changes, to_resend)

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

    def _with(self, changes: QueueDelta | None, to_resend: set[str]) -> QueueDelta | None:
        """The changes, and the rows of jobs that are to be sent again."""
        known = {row.job for row in changes.rows} if changes is not None else set()
        more = [self.current[job] for job in sorted(to_resend - known) if job in self.current]
        if changes is None:
            return QueueDelta(self.now, more, [], False) if more else None
        return QueueDelta(self.now, [*changes.rows, *more], changes.gone, False) if more else changes

    def usage_for_leader(self, queue: QueueState) -> TeamUsageDelta | None:
        """The teams' usage that the leader does not know yet, with the count of quotas that it rests on."""
        usage = _team_usage(queue)
        known, whole = self.sent_usage or {}, self.sent_usage is None
        changed = {team: one for team, one in usage.items() if known.get(team) != one}
        for team in known:
            if team not in usage:
                changed[team] = _NO_USAGE
        if not changed and not whole and queue.allocations_received == self.allocations_received:
            return None
        self.sent_usage, self.allocations_received = usage, queue.allocations_received
        return TeamUsageDelta(changed, queue.allocations_received, whole)


_NO_USAGE = TeamUsage(NO_QUOTA, NO_QUOTA, NO_QUOTA)


def _team_usage(queue: QueueState) -> dict[str, TeamUsage]:
    """One entry for each team of which anything is used, reserved or demanded."""
    used, reserved, demand = queue.used, queue.reserved, queue.demand
    teams = dict.fromkeys((*used, *reserved, *demand))
    usage = {
        team: TeamUsage(used.get(team, NO_QUOTA), reserved.get(team, NO_QUOTA), demand.get(team, NO_QUOTA))
        for team in teams
    }
    return {team: one for team, one in usage.items() if one != _NO_USAGE}
