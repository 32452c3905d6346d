"""The lending rules in force: serving and lending classes, reclaim limits, reserves, and teams' guarantees."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from alderbridge.lending.configuration import LendingClass, LendingConfiguration
from alderbridge.protocol.wire import JobSpec
from alderbridge.settings import Team


class _ClassesOfJob(NamedTuple):
    """How all configurations in force classify a job."""

    serves: bool
    lends: list[LendingClass] | None  # one class of each configuration; None: some configuration has none for it


class LendingRules:
    """Combines the configurations in force: one, or the old and the new during a change; the stricter value applies."""

    def __init__(self, configurations: Sequence[LendingConfiguration], teams: Iterable[Team]) -> None:
        """``teams``: all teams, with their guarantees and limits."""
        self.configurations = list(configurations)
        self.teams = {team.name: team for team in teams}
        self._classes_by_key: dict[tuple[str, str, bool, bool], _ClassesOfJob] = {}

    def _classes(self, spec: JobSpec) -> _ClassesOfJob:
        key = (spec.team, spec.job_class, spec.service, spec.gpus > 0)
        if key not in self._classes_by_key:
            lends = [found for found in (each.lends(spec) for each in self.configurations) if found is not None]
            self._classes_by_key[key] = _ClassesOfJob(
                bool(self.configurations) and all(each.serves(spec) for each in self.configurations),
                lends if lends and len(lends) == len(self.configurations) else None,
            )
        return self._classes_by_key[key]

    def serves(self, spec: JobSpec) -> bool:
        """Whether lent GPUs are reclaimed for the job's replicas."""
        return self._classes(spec).serves

    def lends(self, spec: JobSpec) -> list[LendingClass] | None:
        """Return the lending class of the job in each configuration; None: its tasks may not be preempted."""
        return self._classes(spec).lends

    def preemptible(self, spec: JobSpec) -> bool:
        """Whether the job's tasks may be preempted at all."""
        lends = self.lends(spec)
        return lends is not None and all(one.max_preemptions_per_task for one in lends)

    @property
    def gpus_per_minute(self) -> int:
        """Return how many GPUs may be reclaimed for one team in a minute."""
        return min((each.gpus_per_minute for each in self.configurations), default=0)

    @property
    def max_stopping_gpus(self) -> int:
        """Return how many GPUs of victims that have not stopped yet one team's claims may have."""
        return min((each.max_stopping_gpus for each in self.configurations), default=0)

    @property
    def retention_s(self) -> float:
        """Return for how long GPUs that replicas used are not lent again, in s."""
        return max((each.retention_s for each in self.configurations), default=0.0)

    def reserve(self, team: str) -> float:
        """Return the free GPUs that the configurations reserve for a team's replicas."""
        return max((each.reserved_gpus.get(team, 0.0) for each in self.configurations), default=0.0)

    def teams_with_reserve(self) -> list[str]:
        """Return the teams with a configured reserve, in order; a team of two configurations is returned twice."""
        return [team for each in self.configurations for team in each.reserved_gpus]

    def guarantee(self, team: str) -> float:
        """Return the GPUs of a team's guarantee."""
        settings = self.teams.get(team)
        return settings.gpus if settings is not None else 0.0

    def headroom(self, spec: JobSpec, used: Mapping[str, tuple[float, float]]) -> float:
        """Return how many more of the job's tasks its team's limits allow; ``used``: cpus and GPUs by team."""
        limit, (cpus, gpus) = self.teams.get(spec.team), used.get(spec.team, (0.0, 0.0))
        if limit is None:
            return math.inf
        return min(
            (
                math.floor((maximum - in_use) / task + 1e-9)
                for maximum, in_use, task in ((limit.cpus_max, cpus, spec.cpus), (limit.gpus_max, gpus, spec.gpus))
                if maximum > 0 and task > 0
            ),
            default=math.inf,
        )
