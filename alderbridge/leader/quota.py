"""How the leader divides each team's limit among the homes. Pure.

Each home gets its next allowance only after it confirmed the last, so that the sum of what homes hold or were given
never exceeds the limit. Only teams of which something changed are divided anew; all of them once a second, as time
changes some answers too.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from alderbridge import constants
from alderbridge.protocol.messages import QueueRow
from alderbridge.protocol.wire import JobSpec
from alderbridge.queues import ShardQueue
from alderbridge.scheduling import policy
from alderbridge.scheduling.policy import QuotaDemand
from alderbridge.settings import Team

Amounts = tuple[float, float]  # cpus, gpus
Order = Callable[[QueueRow, JobSpec], tuple]  # by which rows are sorted
_NONE: Amounts = (0.0, 0.0)


class QuotaAllocator:
    """What each home was given of each team's limit under this view."""

    def __init__(self, teams: list[Team], spec_of: Callable[[str], JobSpec | None]) -> None:
        """``teams``: those with a limit."""
        self.teams = {team.name: team for team in teams}
        self.spec_of = spec_of
        self.enter([])

    def enter(self, members: list[str]) -> None:
        """A new view: all allowances are void."""
        self.members = members
        self.given: dict[str, dict[str, Amounts]] = {label: {} for label in members}
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
        """What these teams use, hold or want differs."""
        self.changed.update(team for team in teams if team in self.teams)

    def next(
        self, now: float, queues: Mapping[str, ShardQueue], order: Callable[[], Order]
    ) -> dict[str, dict[str, Amounts]]:
        """New allowances by home, of the teams for which they differ; ``order`` gives the order of placement now."""
        if not self.teams or any(label not in queues for label in self.members):
            return {}
        if any(queues[label].allocations_received != self.sent[label] for label in self.members):
            return {}
        if now - self.all_at >= constants.LEADER_ROUND_S:
            self.all_at, self.changed = now, set(self.teams)
        if not self.changed:
            return {}
        needs = self._needs(now, queues, order())
        result: dict[str, dict[str, Amounts]] = {}
        for name in self.changed:
            for label, amounts in self._divide(self.teams[name], queues, *needs[name]).items():
                if amounts != self.given[label].get(name):
                    result.setdefault(label, {})[name] = self.given[label][name] = amounts
        self.changed = set()
        for label in result:
            self.sent[label] += 1
        return result

    def _divide(
        self, team: Team, queues: Mapping[str, ShardQueue], cpus: list[QuotaDemand], gpus: list[QuotaDemand]
    ) -> dict[str, Amounts]:
        shares = []
        for part, (limit, needs) in enumerate(((team.cpus_max, cpus), (team.gpus_max, gpus))):
            used = {label: queues[label].used.get(team.name, _NONE)[part] for label in self.members}
            reserved = {label: queues[label].reserved.get(team.name, _NONE)[part] for label in self.members}
            given = {label: self.given[label].get(team.name, _NONE)[part] for label in self.members}
            shares.append(policy.divide_quota(limit, used, reserved, given, needs) if limit > 0 else given)
        return {label: (shares[0].get(label, 0.0), shares[1].get(label, 0.0)) for label in self.members}

    def _needs(
        self, now: float, queues: Mapping[str, ShardQueue], order: Order
    ) -> dict[str, tuple[list[QuotaDemand], list[QuotaDemand]]]:
        """Per changed team, what waits where (cpus, gpus), in the order of placement.

        For a job of which nothing ran for long, room is kept until it holds a task: smaller ones would take it all.
        """
        waiting = []
        for label in self.members:
            for row in self._rows_of_changed(queues[label], now):
                spec = self.spec_of(row.job)
                if spec is not None and row.waited_s >= 0:  # before its turn after an opening it takes no allowance
                    kept = row.waited_s >= constants.STARVED_JOB_S and row.waiting == spec.tasks
                    waiting.append((order(row, spec), label, row.waiting, spec, kept))
        needs: dict[str, tuple[list[QuotaDemand], list[QuotaDemand]]] = {team: ([], []) for team in self.changed}
        for _, label, count, spec, kept in sorted(waiting, key=lambda entry: entry[:2]):
            needs[spec.team][0].append(QuotaDemand(label, count * spec.cpus, spec.cpus, kept))
            needs[spec.team][1].append(QuotaDemand(label, count * spec.gpus, spec.gpus, kept))
        return needs

    def _rows_of_changed(self, queue: ShardQueue, now: float) -> list[QueueRow]:
        found = []
        for job in queue.received_rows:
            spec = self.spec_of(job)
            if spec is not None and spec.team in self.changed:
                found.append(queue.row(job, now))
        return found
