"""Resources that each team's tasks use on one job shard, and the quota that the leader has allocated to the shard."""

from __future__ import annotations

import math
from collections.abc import Iterable

from alderbridge import constants
from alderbridge.jobs.job import Job
from alderbridge.jobs.job_calendars import JobCalendars
from alderbridge.jobs.record import JobState
from alderbridge.jobs.usage_tally import UsageTally
from alderbridge.protocol.wire import JobSpec
from alderbridge.settings import Team

ROUNDING = 1e-9  # tolerance in tasks, for rounding errors of floating-point sums


class QuotaUsage:
    """Usage and allocated quota of each team, as (CPUs, GPUs)."""

    def __init__(
        self, teams: Iterable[Team], jobs: dict[str, Job], tally: UsageTally, job_calendars: JobCalendars
    ) -> None:
        """``jobs`` and ``tally``: those of the shard, which updates them."""
        self.teams = {team.name: team for team in teams}
        self.limited_teams = {team.name for team in self.teams.values() if team.cpus_max > 0 or team.gpus_max > 0}
        self.jobs = jobs
        self.tally = tally
        self.job_calendars = job_calendars
        self.allocated: dict[str, tuple[float, float]] = {}
        self.allocations_received = 0  # under this view
        self.counted_at = -math.inf  # when ``used`` last counted all jobs

    def invalidate_count(self) -> None:
        """The set of jobs was replaced: the next call of ``used`` counts all jobs."""
        self.counted_at = -math.inf

    def reset_allocations(self) -> None:
        """Start a new view: nothing is allocated until its leader sends an allocation."""
        self.allocated = {}
        self.allocations_received = 0

    def allocate(self, teams: dict[str, tuple[float, float]], whole: bool = True) -> None:
        """Apply an allocation of the leader; ``whole``: for all teams, else only for those whose amounts changed."""
        allowed = teams if whole else self.allocated | teams
        self.allocated = {team: amounts for team, amounts in allowed.items() if amounts != (0.0, 0.0)}
        self.allocations_received += 1

    def limited(self, team: str) -> bool:
        """Whether the team has a quota."""
        return team in self.limited_teams

    def remaining_tasks(self, team: str, used: tuple[float, float], spec: JobSpec) -> int:
        """How many more tasks of ``spec`` the quota allocated to the team allows on this shard."""
        if team not in self.limited_teams:
            return spec.tasks
        limit, allowed = self.teams[team], self.allocated.get(team, (0.0, 0.0))
        quota_tasks = math.inf
        if limit.cpus_max > 0 and spec.cpus > 0:
            quota_tasks = (allowed[0] - used[0]) / spec.cpus
        if limit.gpus_max > 0 and spec.gpus > 0:
            quota_tasks = min(quota_tasks, (allowed[1] - used[1]) / spec.gpus)
        return max(0, math.floor(quota_tasks + ROUNDING)) if quota_tasks < math.inf else spec.tasks

    def used(self, now: float = math.inf) -> dict[str, tuple[float, float]]:
        """Per team, what its tasks on machines use: counted once per leader round, else from the running tally."""
        if now - self.counted_at < constants.LEADER_ROUND_INTERVAL_S:
            return dict(self.tally.teams)
        self.counted_at = now
        counted = UsageTally()
        for job in self.jobs.values():
            if job.runs or job.inherited_tasks:
                counted.add(job.spec, job.on_machines)
        self.tally.teams = counted.teams
        return dict(counted.teams)

    def reserved(self, used: dict[str, tuple[float, float]]) -> dict[str, tuple[float, float]]:
        """Per team with a quota, the maximum of the used and the allocated amounts."""
        result = {team: amounts for team, amounts in used.items() if self.limited(team)}
        for team, (cpus, gpus) in self.allocated.items():
            amounts = result.get(team, (0.0, 0.0))
            if self.limited(team):
                result[team] = (max(cpus, amounts[0]), max(gpus, amounts[1]))
        return result

    def demand(self, used: dict[str, tuple[float, float]]) -> dict[str, tuple[float, float]]:
        """Per team with a quota, the amounts used plus those that its waiting tasks would use."""
        result = UsageTally()
        limited_teams, closed = self.limited_teams, self.job_calendars.closed
        for job in self.jobs.values():
            # Waiting tasks of blocked and closed jobs do not count, as they may not start. Tasks of a closed job that
            # still run are in ``used``.
            if (
                job.state is JobState.ACTIVE
                and not job.is_blocked
                and job.spec.team in limited_teams
                and job.spec.id not in closed
                and (count := job.spec.tasks - job.next_index + job.requeued.count)
            ):
                result.add(job.spec, count)
        for team, (cpus, gpus) in used.items():
            if team in limited_teams:
                waiting = result.teams.get(team, (0.0, 0.0))
                result.teams[team] = (cpus + waiting[0], gpus + waiting[1])
        return result.teams
