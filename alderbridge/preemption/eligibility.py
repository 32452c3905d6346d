"""The protocol's rule of who may be preempted for whom, and what it counts: who is beyond a guarantee."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from alderbridge.protocol.wire import JobSpec
from alderbridge.settings import Team


def allowed(need: JobSpec, guaranteed: bool, victim: JobSpec, beyond: bool) -> bool:
    """Whether a task of ``victim`` may be stopped to free room for ``need``.

    ``guaranteed``: the need lies within its team's guarantee. ``beyond``: the victim is work that its team runs in
    excess of its own. PROTOCOL: work of higher priority, or another team's excess to give a team its guarantee;
    apart from these, work does not preempt work of equal or higher priority.
    """
    return need.rank > victim.rank or (guaranteed and beyond and need.team != victim.team)


class Teams:
    """What teams run against their guarantees, while victims are chosen."""

    def __init__(self, teams: Iterable[Team], used: Mapping[str, tuple[float, float]]) -> None:
        """``used``: cpus and GPUs on machines by team, without what is being stopped already."""
        self.guarantee = {team.name: (team.cpus, team.gpus) for team in teams}
        self.used = dict(used)

    def beyond(self, spec: JobSpec) -> bool:
        """Whether its team keeps all of its guarantee when one task of ``spec`` stops."""
        cpus, gpus = self.used.get(spec.team, (0.0, 0.0))
        least = self.guarantee.get(spec.team, (0.0, 0.0))
        return (cpus - spec.cpus >= least[0] - 1e-9) and (spec.gpus <= 0 or gpus - spec.gpus >= least[1] - 1e-9)

    def count_victim(self, spec: JobSpec, sign: int) -> None:
        """One task of ``spec`` is chosen (1), or not after all (-1)."""
        cpus, gpus = self.used.get(spec.team, (0.0, 0.0))
        self.used[spec.team] = (cpus - sign * spec.cpus, gpus - sign * spec.gpus)
