"""How the leader divides each team's limit among the job shards. Pure.

Each job shard gets its next quota only after it confirmed the last, so that the sum of what the shards reserve or were
given never exceeds the limit. Only teams of which something changed are divided anew; all of them once a second, as
time changes some answers too.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import NamedTuple

from alderbridge import constants
from alderbridge.leader.reachable_order import ReachableOrder, RowOrder
from alderbridge.protocol.messages import QueueRow
from alderbridge.protocol.wire import JobSpec
from alderbridge.queues import ShardQueue
from alderbridge.scheduling.quota_division import QuotaDemand, divide_quota
from alderbridge.scheduling.resources import NO_QUOTA, QuotaAmounts
from alderbridge.settings import Team


class TeamDemand(NamedTuple):
    """What waits of one team, in the order of placement."""

    cpus: list[QuotaDemand]
    gpus: list[QuotaDemand]


class QuotaAllocator:
    """What each job shard was given of each team's limit under this view."""

    def __init__(self, teams: list[Team], spec_of: Callable[[str], JobSpec | None]) -> None:
        """``teams``: those with a limit."""
        self.teams = {team.name: team for team in teams}
        self.spec_of = spec_of
        self.enter([])

    def enter(self, members: list[str]) -> None:
        """A new view: all quotas are void."""
        self.members = members
        self.given: dict[str, dict[str, QuotaAmounts]] = {label: {} for label in members}
        self.sent: dict[str, int] = dict.fromkeys(members, 0)
        self.changed: set[str] = set(self.teams)  # teams to be divided anew
        self.all_at = float("-inf")  # when all were

    def rows_changed(self, jobs: list[str]) -> None:
        """The queue rows of these jobs differ, or went."""
        for job in jobs:
            spec = self.spec_of(job)
            if spec is not None and spec.team in self.teams:
                self.changed.add(spec.team)

    def sums_changed(self, teams: Mapping[str, object]) -> None:
        """What these teams use, reserve or demand differs."""
        self.changed.update(team for team in teams if team in self.teams)

    def updates(
        self, now: float, queues: Mapping[str, ShardQueue], order: ReachableOrder
    ) -> dict[str, dict[str, QuotaAmounts]]:
        """New quotas by job shard, of the teams for which they differ."""
        if not self.teams or not self._all_confirmed(queues):
            return {}
        if now - self.all_at >= constants.LEADER_ROUND_S:
            self.all_at, self.changed = now, set(self.teams)
        if not self.changed:
            return {}
        demands = self._demands(now, queues, order.at(now))
        result: dict[str, dict[str, QuotaAmounts]] = {}
        for name in self.changed:
            for label, amounts in self._divide(self.teams[name], queues, demands[name]).items():
                if amounts != self.given[label].get(name):
                    result.setdefault(label, {})[name] = self.given[label][name] = amounts
        self.changed = set()
        for label in result:
            self.sent[label] += 1
        return result

    def _all_confirmed(self, queues: Mapping[str, ShardQueue]) -> bool:
        """Whether every job shard has told its usage under the last quota that it was given."""
        if any(label not in queues for label in self.members):
            return False
        return all(queues[label].allocations_received == self.sent[label] for label in self.members)

    def _divide(self, team: Team, queues: Mapping[str, ShardQueue], demand: TeamDemand) -> dict[str, QuotaAmounts]:
        shares = []
        for index, (limit, demands) in enumerate(((team.cpus_max, demand.cpus), (team.gpus_max, demand.gpus))):
            used = {label: queues[label].used.get(team.name, NO_QUOTA)[index] for label in self.members}
            reserved = {label: queues[label].reserved.get(team.name, NO_QUOTA)[index] for label in self.members}
            given = {label: self.given[label].get(team.name, NO_QUOTA)[index] for label in self.members}
            shares.append(divide_quota(limit, used, reserved, given, demands) if limit > 0 else given)
        return {label: (shares[0].get(label, 0.0), shares[1].get(label, 0.0)) for label in self.members}

    def _demands(self, now: float, queues: Mapping[str, ShardQueue], order: RowOrder) -> dict[str, TeamDemand]:
        """Per changed team, what waits where, in the order of placement.

        For a job of which nothing ran for long, room is reserved until it holds a task: smaller ones would take it all.
        """
        waiting = []
        for label in self.members:
            for row in self._rows_of_changed(queues[label], now):
                spec = self.spec_of(row.job)
                if spec is not None and row.waited_s >= 0:  # before its turn after an opening it takes no quota
                    starved = row.waited_s >= constants.STARVED_JOB_S and row.waiting == spec.tasks
                    waiting.append((order(row, spec), label, row.waiting, spec, starved))
        demands = {team: TeamDemand([], []) for team in self.changed}
        for _, label, count, spec, starved in sorted(waiting, key=lambda entry: entry[:2]):
            demands[spec.team].cpus.append(QuotaDemand(label, count * spec.cpus, spec.cpus, starved))
            demands[spec.team].gpus.append(QuotaDemand(label, count * spec.gpus, spec.gpus, starved))
        return demands

    def _rows_of_changed(self, queue: ShardQueue, now: float) -> list[QueueRow]:
        found = []
        for job in queue.received_rows:
            spec = self.spec_of(job)
            if spec is not None and spec.team in self.changed:
                found.append(queue.row(job, now))
        return found
