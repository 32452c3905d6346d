"""What each team's tasks may take on one job shard, of the quota that the leader has allocated to it."""

from __future__ import annotations

import math
from collections.abc import Iterable

from alderbridge.protocol.wire import JobSpec
from alderbridge.settings import Team


class QuotaUsage:
    """Quota allocated to this shard, by team; amounts are (CPUs, GPUs)."""

    def __init__(self, teams: Iterable[Team]) -> None:
        self.teams = {team.name: team for team in teams}
        self.bound = {team.name for team in self.teams.values() if team.cpus_max > 0 or team.gpus_max > 0}
        self.allowed: dict[str, tuple[float, float]] = {}

    def limited(self, team: str) -> bool:
        """Whether the team has a quota."""
        return team in self.bound

    def room(self, team: str, used: tuple[float, float], spec: JobSpec) -> int:
        """How many more tasks of ``spec`` the team may start here."""
        if team not in self.bound:
            return spec.tasks
        limit, allowed = self.teams[team], self.allowed.get(team, (0.0, 0.0))
        room = math.inf
        if limit.cpus_max > 0 and spec.cpus > 0:
            room = (allowed[0] - used[0]) / spec.cpus
        if limit.gpus_max > 0 and spec.gpus > 0:
            room = min(room, (allowed[1] - used[1]) / spec.gpus)
        return max(0, math.floor(room + 1e-9)) if room < math.inf else spec.tasks
