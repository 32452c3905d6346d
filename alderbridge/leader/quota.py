"""Divides each team's limit among the job shards.

A job shard gets its next quota only after it has confirmed the last one, so that the sum of what the shards reserve or
were allocated never exceeds the limit. A team's limit is divided again when its usage or waiting jobs change, and all
teams' limits once per leader round, because the result also depends on the time.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import NamedTuple

from alderbridge import constants
from alderbridge.leader.placement_order import PlacementOrder, RowKeyFunction
from alderbridge.protocol.messages import QueueRow
from alderbridge.protocol.wire import JobSpec
from alderbridge.queues import ShardQueue
from alderbridge.scheduling.quota_division import QuotaDemand, divide_quota
from alderbridge.scheduling.resources import NO_QUOTA, QuotaAmounts
from alderbridge.settings import Team


class TeamDemand(NamedTuple):
    """A team's waiting tasks by resource, in placement order."""

    cpus: list[QuotaDemand]
    gpus: list[QuotaDemand]


class QuotaAllocator:
    """Each job shard's quota of each team's limit under the current view."""

    def __init__(self, teams: list[Team], spec_of: Callable[[str], JobSpec | None]) -> None:
        """``teams``: only teams with a limit."""
        self.teams = {team.name: team for team in teams}
        self.spec_of = spec_of
        self.enter_view([])

    def enter_view(self, members: list[str]) -> None:
        """Start a new view, in which all earlier quotas are void."""
        self.members = members
        self.allocations: dict[str, dict[str, QuotaAmounts]] = {label: {} for label in members}
        self.allocations_sent: dict[str, int] = dict.fromkeys(members, 0)
        self.changed_teams: set[str] = set(self.teams)  # teams whose limits are divided in the next update
        self.last_full_division_at = float("-inf")

    def on_rows_changed(self, jobs: list[str]) -> None:
        """The queue rows of these jobs changed or were removed."""
        for job in jobs:
            spec = self.spec_of(job)
            if spec is not None and spec.team in self.teams:
                self.changed_teams.add(spec.team)

    def on_usage_changed(self, teams: Mapping[str, object]) -> None:
        """The used, reserved or demanded amounts of these teams changed."""
        self.changed_teams.update(team for team in teams if team in self.teams)

    def updates(
        self, now: float, queues: Mapping[str, ShardQueue], order: PlacementOrder
    ) -> dict[str, dict[str, QuotaAmounts]]:
        """Changed quotas by job shard and team; none while a job shard has not confirmed its last quota."""
        if not self.teams or not self._all_confirmed(queues):
            return {}
        if now - self.last_full_division_at >= constants.LEADER_ROUND_INTERVAL_S:
            self.last_full_division_at, self.changed_teams = now, set(self.teams)
        if not self.changed_teams:
            return {}
        demands = self._demands(now, queues, order.key_at(now))
        result: dict[str, dict[str, QuotaAmounts]] = {}
        for name in self.changed_teams:
            for label, amounts in self._divide(self.teams[name], queues, demands[name]).items():
                if amounts != self.allocations[label].get(name):
                    result.setdefault(label, {})[name] = self.allocations[label][name] = amounts
        self.changed_teams = set()
        for label in result:
            self.allocations_sent[label] += 1
        return result

    def _all_confirmed(self, queues: Mapping[str, ShardQueue]) -> bool:
        """Whether every job shard has reported its usage under the last quota sent to it."""
        if any(label not in queues for label in self.members):
            return False
        return all(queues[label].allocations_received == self.allocations_sent[label] for label in self.members)

    def _divide(self, team: Team, queues: Mapping[str, ShardQueue], demand: TeamDemand) -> dict[str, QuotaAmounts]:
        shares = []
        for index, (limit, demands) in enumerate(((team.cpus_max, demand.cpus), (team.gpus_max, demand.gpus))):
            used = {label: queues[label].used.get(team.name, NO_QUOTA)[index] for label in self.members}
            reserved = {label: queues[label].reserved.get(team.name, NO_QUOTA)[index] for label in self.members}
            given = {label: self.allocations[label].get(team.name, NO_QUOTA)[index] for label in self.members}
            shares.append(divide_quota(limit, used, reserved, given, demands) if limit > 0 else given)
        return {label: (shares[0].get(label, 0.0), shares[1].get(label, 0.0)) for label in self.members}

    def _demands(self, now: float, queues: Mapping[str, ShardQueue], row_key: RowKeyFunction) -> dict[str, TeamDemand]:
        """The waiting tasks of each changed team by job shard, in placement order.

        A job is starved if none of its tasks has started for ``STARVATION_TIMEOUT_S``. Quota is then reserved for it
        until it suffices for one task: smaller jobs would otherwise use all of it.
        """
        waiting = []
        for label in self.members:
            for row in self._rows_of_changed_teams(queues[label], now):
                spec = self.spec_of(row.job)
                # A negative ``waited_s``: the job's delayed start after a calendar opening is still ahead.
                if spec is not None and row.waited_s >= 0:
                    starved = row.waited_s >= constants.STARVATION_TIMEOUT_S and row.waiting == spec.tasks
                    waiting.append((row_key(row, spec), label, row.waiting, spec, starved))
        demands = {team: TeamDemand([], []) for team in self.changed_teams}
        for _, label, count, spec, starved in sorted(waiting, key=lambda entry: entry[:2]):
            demands[spec.team].cpus.append(QuotaDemand(label, count * spec.cpus, spec.cpus, starved))
            demands[spec.team].gpus.append(QuotaDemand(label, count * spec.gpus, spec.gpus, starved))
        return demands

    def _rows_of_changed_teams(self, queue: ShardQueue, now: float) -> list[QueueRow]:
        rows = []
        for job in queue.received_rows:
            spec = self.spec_of(job)
            if spec is not None and spec.team in self.changed_teams:
                rows.append(queue.row(job, now))
        return rows
