"""The protocol's rule on which work may preempt which, and the usage beyond guarantees that it depends on."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from alderbridge.protocol.wire import JobSpec
from alderbridge.settings import Team


def preemption_allowed(demand: JobSpec, guaranteed: bool, victim: JobSpec, beyond: bool) -> bool:
    """Whether a task of ``victim`` may be preempted to free capacity for ``demand``.

    ``guaranteed``: the demand lies within its team's guarantee. ``beyond``: the victim is work that its team runs
    beyond its own guarantee. PROTOCOL: work preempts work of lower priority; work within its team's guarantee also
    preempts what another team runs beyond its own, of any priority. Nothing else is allowed.
    """
    return demand.rank > victim.rank or (guaranteed and beyond and demand.team != victim.team)


class GuaranteeUsage:
    """Usage and guarantees of the teams during victim selection."""

    def __init__(self, teams: Iterable[Team], used: Mapping[str, tuple[float, float]]) -> None:
        """``used``: CPUs and GPUs in use on machines, by team, without tasks that are stopping."""
        self.guarantee = {team.name: (team.cpus, team.gpus) for team in teams}
        self.used = dict(used)

    def exceeds_guarantee(self, spec: JobSpec) -> bool:
        """Whether the team of ``spec`` still uses at least its guarantee after one such task stops."""
        cpus, gpus = self.used.get(spec.team, (0.0, 0.0))
        guarantee = self.guarantee.get(spec.team, (0.0, 0.0))
        return (cpus - spec.cpus >= guarantee[0] - 1e-9) and (spec.gpus <= 0 or gpus - spec.gpus >= guarantee[1] - 1e-9)

    def count_victim(self, spec: JobSpec, sign: int) -> None:
        """Subtract one selected task of ``spec`` from its team's usage (``sign`` 1), or add it back (-1)."""
        cpus, gpus = self.used.get(spec.team, (0.0, 0.0))
        self.used[spec.team] = (cpus - sign * spec.cpus, gpus - sign * spec.gpus)
