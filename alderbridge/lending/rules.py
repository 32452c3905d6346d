"""The lending configurations in force: who serves, who lends, at what pace, and what teams are guaranteed."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from alderbridge.lending.configuration import LendingClass, LendingConfiguration
from alderbridge.protocol.wire import JobSpec
from alderbridge.settings import Team


class _ClassesOfJob(NamedTuple):
    """What a job is in all configurations in force."""

    serves: bool
    lends: list[LendingClass] | None  # one of each configuration; None: not in all of them


class LendingRules:
    """What holds while one configuration is in force, or two while one replaces the other: then the stricter."""

    def __init__(self, configurations: Sequence[LendingConfiguration], teams: Iterable[Team]) -> None:
        """``teams``: of the platform, with their guarantees and limits."""
        self.configurations = list(configurations)
        self.teams = {team.name: team for team in teams}
        self._known: dict[tuple[str, str, bool, bool], _ClassesOfJob] = {}

    def _classes(self, spec: JobSpec) -> _ClassesOfJob:
        key = (spec.team, spec.job_class, spec.service, spec.gpus > 0)
        if key not in self._known:
            lends = [one for one in (each.lends(spec) for each in self.configurations) if one is not None]
            self._known[key] = _ClassesOfJob(
                bool(self.configurations) and all(each.serves(spec) for each in self.configurations),
                lends if lends and len(lends) == len(self.configurations) else None,
            )
        return self._known[key]

    def serves(self, spec: JobSpec) -> bool:
        """Whether lent GPUs come back for the job's replicas."""
        return self._classes(spec).serves

    def lends(self, spec: JobSpec) -> list[LendingClass] | None:
        """Return the classes by which the job's tasks may be preempted; None: they may not."""
        return self._classes(spec).lends

    def preemptible(self, spec: JobSpec) -> bool:
        """Whether the job's tasks may be preempted at all."""
        lends = self.lends(spec)
        return lends is not None and all(one.most_stops for one in lends)

    @property
    def gpus_a_minute(self) -> int:
        """Return how many GPUs may come back for one team in a minute."""
        return min((each.gpus_a_minute for each in self.configurations), default=0)

    @property
    def gpus_at_once(self) -> int:
        """Return how many GPUs may be on their way back to one team."""
        return min((each.gpus_at_once for each in self.configurations), default=0)

    @property
    def keep_s(self) -> float:
        """Return for how long what replicas used is not lent again, in s."""
        return max((each.keep_s for each in self.configurations), default=0.0)

    def reserve(self, team: str) -> float:
        """Return the GPUs declared to be kept for a team's replicas."""
        return max((each.reserve.get(team, 0.0) for each in self.configurations), default=0.0)

    def teams_with_reserve(self) -> list[str]:
        """Return the teams that a reserve is declared for, in order; more than once where two configurations do."""
        return [team for each in self.configurations for team in each.reserve]

    def guarantee(self, team: str) -> float:
        """Return the GPUs of a team's guarantee."""
        known = self.teams.get(team)
        return known.gpus if known is not None else 0.0

    def headroom(self, spec: JobSpec, used: Mapping[str, tuple[float, float]]) -> float:
        """Return how many more of the job's tasks its team's limits allow; ``used``: cpus and GPUs by team."""
        limit, (cpus, gpus) = self.teams.get(spec.team), used.get(spec.team, (0.0, 0.0))
        if limit is None:
            return math.inf
        return min(
            (
                math.floor((most - have) / each + 1e-9)
                for most, have, each in ((limit.cpus_max, cpus, spec.cpus), (limit.gpus_max, gpus, spec.gpus))
                if most > 0 and each > 0
            ),
            default=math.inf,
        )
