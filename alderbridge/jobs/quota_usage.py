"""What each team's tasks take on one job shard, and may take of the quota that the leader has allocated to it."""

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

ROUNDING = 1e-9  # of a task: sums of floats may be this far below a whole number of tasks


class QuotaUsage:
    """Usage and allocated quota of each team; amounts are (CPUs, GPUs)."""

    def __init__(
        self, teams: Iterable[Team], jobs: dict[str, Job], tally: UsageTally, job_calendars: JobCalendars
    ) -> None:
        """``jobs`` and ``tally``: of the shard, kept by it."""
        self.teams = {team.name: team for team in teams}
        self.bound = {team.name for team in self.teams.values() if team.cpus_max > 0 or team.gpus_max > 0}
        self.jobs = jobs
        self.tally = tally
        self.job_calendars = job_calendars
        self.allowed: dict[str, tuple[float, float]] = {}
        self.allocations_received = 0  # under this view
        self.counted_at = -math.inf  # see ``used``

    def recount(self) -> None:
        """The jobs are others now: the next question counts anew."""
        self.counted_at = -math.inf

    def reset_allocations(self) -> None:
        """A new view: nothing is allocated until its leader does."""
        self.allowed = {}
        self.allocations_received = 0

    def allocate(self, teams: dict[str, tuple[float, float]], whole: bool = True) -> None:
        """An allocation of the leader: of all teams, or of those for which it differs from the last."""
        allowed = teams if whole else self.allowed | teams
        self.allowed = {team: amounts for team, amounts in allowed.items() if amounts != (0.0, 0.0)}
        self.allocations_received += 1

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
        return max(0, math.floor(room + ROUNDING)) if room < math.inf else spec.tasks

    def used(self, now: float = math.inf) -> dict[str, tuple[float, float]]:
        """Per team, what its tasks on machines take; counted anew once a second, else as kept since."""
        if now - self.counted_at < constants.LEADER_ROUND_S:
            return dict(self.tally.teams)
        self.counted_at = now
        counted = UsageTally()
        for job in self.jobs.values():
            if job.runs or job.unknown:
                counted.add(job.spec, job.on_machines)
        self.tally.teams = counted.teams
        return dict(counted.teams)

    def reserved(self, used: dict[str, tuple[float, float]]) -> dict[str, tuple[float, float]]:
        """Per team with a quota, the larger of what is used and what is allocated."""
        result = {team: amounts for team, amounts in used.items() if self.limited(team)}
        for team, (cpus, gpus) in self.allowed.items():
            amounts = result.get(team, (0.0, 0.0))
            if self.limited(team):
                result[team] = (max(cpus, amounts[0]), max(gpus, amounts[1]))
        return result

    def demand(self, used: dict[str, tuple[float, float]]) -> dict[str, tuple[float, float]]:
        """Per team with a quota, what all its tasks here would take."""
        result = UsageTally()
        bound, closed = self.bound, self.job_calendars.closed
        for job in self.jobs.values():
            # A blocked job holds nothing of the quota, as none of its tasks is on a machine. A closed one asks for
            # nothing either; its tasks that still run are in ``used``.
            if (
                job.state is JobState.ACTIVE
                and not job.is_blocked
                and job.spec.team in bound
                and job.spec.id not in closed
                and (count := job.spec.tasks - job.next_index + len(job.requeued))
            ):
                result.add(job.spec, count)
        for team, (cpus, gpus) in used.items():
            if team in bound:
                waiting = result.teams.get(team, (0.0, 0.0))
                result.teams[team] = (cpus + waiting[0], gpus + waiting[1])
        return result.teams
