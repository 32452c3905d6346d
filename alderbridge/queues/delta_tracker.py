"""The sending side: which rows of this job shard's queue changed, and which members have not been sent them yet.

Each round increments the version; a member's version is that of the last delta sent to it. Small changes of a row are
sent at most once a second, so that a large job's count is not sent with every task start. A sent delta counts as
received: the channel delivers messages in order, or the view ends.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from typing import NamedTuple

from alderbridge import constants
from alderbridge.protocol.messages import QueueDelta, QueueRow, TeamUsage, TeamUsageDelta
from alderbridge.scheduling.resources import NO_QUOTA, QuotaAmounts


class QueueState(NamedTuple):
    """This job shard's queue and its teams' usage as of one round."""

    rows: list[QueueRow]
    used: dict[str, QuotaAmounts]
    reserved: dict[str, QuotaAmounts]
    demand: dict[str, QuotaAmounts]
    allocations_received: int


class _Published(NamedTuple):
    """A row as it was last published."""

    row: QueueRow
    published_at: float
    version: int


def _count_changed(sent: int, count: int) -> bool:
    """Whether a count has changed enough to be sent at once: small counts by any change, others by
    ``QUEUE_COUNT_CHANGE_DIVISOR``.
    """
    if sent <= constants.MAX_EXACT_QUEUE_COUNT or count <= constants.MAX_EXACT_QUEUE_COUNT:
        return sent != count
    return abs(sent - count) * constants.QUEUE_COUNT_CHANGE_DIVISOR > sent


def _row_changed(published: _Published, row: QueueRow, now: float) -> bool:
    """Whether the row differs from the published one by enough to be sent now."""
    sent, age_s = published.row, now - published.published_at
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
        abs(row.due_in_s + age_s - sent.due_in_s) > constants.QUEUE_TIME_TOLERANCE_S
        or abs(row.run_s - sent.run_s) > constants.QUEUE_TIME_TOLERANCE_S
    ):
        return True
    if age_s < constants.LEADER_ROUND_INTERVAL_S:
        return False
    return (row.waiting, row.offer, row.inherited) != (sent.waiting, sent.offer, sent.inherited) or (
        age_s >= constants.QUEUE_ROW_REFRESH_INTERVAL_S
    )


class DeltaTracker:
    """Tracks what this job shard has sent to each member under this view."""

    def __init__(self) -> None:
        """Start with nothing sent."""
        self.clear()

    def clear(self) -> None:
        """Begin a new view: every member is sent the full queue next."""
        self.version, self.now = 0, 0.0
        self.published: dict[str, _Published] = {}
        self.current: dict[str, QueueRow] = {}  # rows of this round, by job
        self.removed: dict[str, int] = {}  # job -> version in which its row was removed
        self.sent_versions: dict[str, int] = {}  # member -> version of the last delta sent to it
        self.to_resend: dict[str, set[str]] = defaultdict(set)  # member -> jobs whose rows are sent again
        self.delta_cache: dict[tuple[int, bool], QueueDelta | None] = {}  # of this round, by (since version, all rows)
        self.sent_usage: dict[str, TeamUsage] | None = None  # last sent to the leader; None: nothing yet
        self.allocations_received = -1

    def update(self, rows: Iterable[QueueRow], now: float) -> None:
        """Record the queue of this round, and which of its rows changed."""
        self.version, self.now = self.version + 1, now
        self.delta_cache.clear()
        self.current = {row.job: row for row in rows}
        for job, row in self.current.items():
            published = self.published.get(job)
            if published is None or _row_changed(published, row, now):
                self.published[job] = _Published(row, now, self.version)
                self.removed.pop(job, None)
        for job in [job for job in self.published if job not in self.current]:
            del self.published[job]
            self.removed[job] = self.version
        self._prune_removed()

    def _prune_removed(self) -> None:
        """Drop removals that every member was sent; a member that is far behind is sent the full queue next."""
        if len(self.removed) > constants.MAX_REMOVED_QUEUE_JOBS:
            newest = max(self.sent_versions.values(), default=0)
            self.sent_versions = {label: version for label, version in self.sent_versions.items() if version == newest}
        oldest = min(self.sent_versions.values(), default=self.version)
        self.removed = {job: version for job, version in self.removed.items() if version > oldest}

    def resend_row(self, label: str, job: str) -> None:
        """Send the job's row to the member again, which has asked for tasks and reduced its copy, granted or not."""
        self.to_resend[label].add(job)

    def delta_for(self, label: str, all_rows: bool) -> QueueDelta | None:
        """Return the changes since the last delta sent to the member, or None if there are none.

        Without ``all_rows``, only rows with tasks to grant are included.
        """
        since, to_resend = self.sent_versions.get(label), self.to_resend.pop(label, None)
        self.sent_versions[label] = self.version
        if since is None:
            rows = [row for row in self.current.values() if all_rows or row.offer > 0]
            return QueueDelta(self.now, rows, [], True)
        key = (since, all_rows)
        if key not in self.delta_cache:
            self.delta_cache[key] = self._delta_since(since, all_rows)
        changes = self.delta_cache[key]
        return changes if to_resend is None else self._with_resent_rows(changes, to_resend)

    def _delta_since(self, since: int, all_rows: bool) -> QueueDelta | None:
        rows, removed = [], [job for job, version in self.removed.items() if version > since]
        for job, (_, _, version) in self.published.items():
            if version <= since:
                continue
            row = self.current[job]
            if all_rows or row.offer > 0:
                rows.append(row)
            else:
                removed.append(job)
        return QueueDelta(self.now, rows, removed, False) if rows or removed else None

    def _with_resent_rows(self, changes: QueueDelta | None, to_resend: set[str]) -> QueueDelta | None:
        """The changes, with the rows of jobs that are sent again."""
        included = {row.job for row in changes.rows} if changes is not None else set()
        resent = [self.current[job] for job in sorted(to_resend - included) if job in self.current]
        if changes is None:
            return QueueDelta(self.now, resent, [], False) if resent else None
        return QueueDelta(self.now, [*changes.rows, *resent], changes.removed_jobs, False) if resent else changes

    def usage_for_leader(self, queue: QueueState) -> TeamUsageDelta | None:
        """Return the team usage changed since the last message to the leader, or None if nothing changed.

        Carries the count of quota allocations that the usage is based on.
        """
        usage = _team_usage(queue)
        sent, whole = self.sent_usage or {}, self.sent_usage is None
        changed = {team: amounts for team, amounts in usage.items() if sent.get(team) != amounts}
        for team in sent:
            if team not in usage:
                changed[team] = _NO_USAGE
        if not changed and not whole and queue.allocations_received == self.allocations_received:
            return None
        self.sent_usage, self.allocations_received = usage, queue.allocations_received
        return TeamUsageDelta(changed, queue.allocations_received, whole)


_NO_USAGE = TeamUsage(NO_QUOTA, NO_QUOTA, NO_QUOTA)


def _team_usage(queue: QueueState) -> dict[str, TeamUsage]:
    """One entry for each team with anything used, reserved or demanded."""
    used, reserved, demand = queue.used, queue.reserved, queue.demand
    teams = dict.fromkeys((*used, *reserved, *demand))
    usage = {
        team: TeamUsage(used.get(team, NO_QUOTA), reserved.get(team, NO_QUOTA), demand.get(team, NO_QUOTA))
        for team in teams
    }
    return {team: amounts for team, amounts in usage.items() if amounts != _NO_USAGE}
