"""Selects the tasks to preempt for each demand: least lost work first, then fewest victims. Does no I/O."""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from alderbridge import constants
from alderbridge.claims.records import ClaimGroup, PreemptionClaim
from alderbridge.preemption.budget import PreemptionBudget
from alderbridge.preemption.model import CandidateMachine, PreemptionDemand, Victim
from alderbridge.scheduling.placement import allowed
from alderbridge.scheduling.resources import Resources, remaining_after, tasks_that_fit

_OTHER_RECORDS = 2  # reserved in each transaction: the budgets, and a claim (when counting jobs) or a job (claims)


def lost_seconds(victim: Victim) -> float:
    """Return the seconds lost by preempting the victim: its run, or else its final checkpoint, and the restart."""
    if victim.spec.checkpoint_s > 0:
        return victim.spec.save_s + constants.START_OVERHEAD_S
    return (
        victim.ran_s if victim.is_run_time_exact else max(victim.ran_s, victim.spec.estimate_s)
    ) + constants.START_OVERHEAD_S


def lost_cpu_seconds(victim: Victim) -> float:
    """Return the CPU seconds lost by preempting the victim."""
    return lost_seconds(victim) * victim.spec.cpus


def nearly_done(victim: Victim) -> bool:
    """Whether the victim is expected to end soon by itself, judged by its estimate; such tasks are not preempted."""
    spec = victim.spec
    if spec.service or not spec.estimate_s:
        return False
    if spec.estimate_s - victim.ran_s <= constants.MIN_VICTIM_REMAINING_S and victim.is_run_time_exact:
        return True
    return spec.checkpoint_s <= 0 and victim.ran_s >= spec.estimate_s * constants.MAX_VICTIM_RUN_SHARE


def _count_nothing(victim: Victim, sign: int) -> None:
    pass


def _no_placement_cost(demand: PreemptionDemand, machine: CandidateMachine) -> float:
    return 0.0


class SelectionRules(NamedTuple):
    """The decisions that a policy makes during victim selection."""

    allowed: Callable[[PreemptionDemand, Victim], bool]
    victim_cost: Callable[[Victim], float]  # of preempting it; above 0, in any unit
    count_victim: Callable[[Victim, int], None] = _count_nothing  # the victim is selected (1) or no longer (-1)
    placement_cost: Callable[[PreemptionDemand, CandidateMachine], float] = _no_placement_cost  # of placing there


class _PlacedVictim(NamedTuple):
    """A victim and the machine that it runs on."""

    machine: str
    victim: Victim


class _Unit(NamedTuple):
    """Victims that must be preempted together (a single task or a whole gang), with their total cost."""

    cost: float
    victims: list[_PlacedVictim]


class _Option(NamedTuple):
    """The cheapest way to free capacity for one more task on one machine."""

    cost: float
    victims: list[_PlacedVictim]  # members of a gang may be on other machines


class _MachinePlan:
    """The state of one machine during victim selection."""

    __slots__ = ("candidate", "job", "free", "served_tasks", "victims", "selected")

    def __init__(self, candidate: CandidateMachine) -> None:
        self.candidate = candidate
        self.job = ""  # job that capacity is freed for; "": none yet
        self.free = candidate.free
        self.served_tasks = 0  # tasks of the job that capacity is freed for
        self.victims: list[Victim] = []
        self.selected: set[tuple[str, int]] = set()

    def preempt(self, victim: Victim) -> None:
        """Select a victim and count its resources as free."""
        self.victims.append(victim)
        self.selected.add((victim.job, victim.index))
        self.free = remaining_after(self.free, victim.spec, -1)


class _Selection:
    """Selects victims for all demands of one policy in one planning round."""

    def __init__(
        self, machines: Iterable[CandidateMachine], rules: SelectionRules, budget: PreemptionBudget, max_changes: int
    ) -> None:
        self.machines = {candidate.machine: _MachinePlan(candidate) for candidate in machines}
        self.rules, self.budget = rules, budget
        self.max_records = max_changes - _OTHER_RECORDS
        self.victims_of: Counter[str] = Counter()  # job -> its victims in this round
        self.gangs: dict[str, list[_PlacedVictim]] = {}
        for name, machine in self.machines.items():
            for victim in machine.candidate.tasks:
                if victim.spec.gang:
                    self.gangs.setdefault(victim.job, []).append(_PlacedVictim(name, victim))
        self.linked: dict[str, set[str]] = {}  # machine -> machines whose claims are in the same group
        self.served: set[str] = set()  # jobs that were served: none of them may be preempted in the same round

    def cheapest_option(self, name: str, demand: PreemptionDemand) -> _Option | None:
        """Return the cheapest way to free capacity for one more task on the machine, or None."""
        machine, spec = self.machines[name], demand.spec
        if machine.job not in ("", spec.id):
            return None
        # Tasks that fit without preemption are not part of the demand: their capacity is not available for it.
        free = machine.free if machine.job else remaining_after(machine.free, spec, tasks_that_fit(spec, machine.free))
        if machine.job and tasks_that_fit(spec, free):
            return _Option(0.0, [])  # the victims selected so far free capacity for another task
        selected, free = self._add_units(name, demand, self._units(name, demand), free)
        if not tasks_that_fit(spec, free):
            return None
        self._remove_unneeded(name, demand, selected, free)
        victims = [placed for unit in selected for placed in unit.victims]
        jobs = {placed.victim.job for placed in victims} | {victim.job for victim in machine.victims}
        if not victims or len(jobs) > self.max_records or len(victims) > self.budget.remaining(demand):
            return None
        cost = sum(unit.cost for unit in selected)
        return _Option(cost + self.rules.placement_cost(demand, machine.candidate), victims)

    def _units(self, name: str, demand: PreemptionDemand) -> list[_Unit]:
        """Return what may be preempted on the machine, the cheapest first."""
        machine = self.machines[name]
        units, seen = [], set()
        for victim in machine.candidate.tasks:
            if (victim.job, victim.index) in machine.selected or victim.job in self.served or nearly_done(victim):
                continue
            if victim.spec.gang and victim.job in seen:
                continue
            seen.add(victim.job)
            victims = self._with_gang(name, victim, demand)
            if victims is not None:
                units.append(_Unit(self._cost(victims), victims))
        units.sort(key=lambda unit: unit.cost)
        return units

    def _with_gang(self, name: str, victim: Victim, demand: PreemptionDemand) -> list[_PlacedVictim] | None:
        """Return the victim, or all tasks of its gang; None if the gang can't be preempted as a whole."""
        if not victim.spec.gang:
            return [_PlacedVictim(name, victim)]
        gang = self.gangs[victim.job]
        names = {placed.machine for placed in gang}
        if len(gang) != victim.spec.tasks or len(names) > self.max_records:
            return None
        if any(self.machines[other].job not in ("", demand.spec.id) for other in names):
            return None
        return gang

    def _cost(self, victims: list[_PlacedVictim]) -> float:
        return sum(
            self.rules.victim_cost(victim) * (1 + constants.SAME_JOB_VICTIM_COST_SHARE * self.victims_of[victim.job])
            for _, victim in victims
        )

    def _add_units(
        self, name: str, demand: PreemptionDemand, units: list[_Unit], free: Resources
    ) -> tuple[list[_Unit], Resources]:
        """Add units until one task fits; returns them and the free capacity, and reverts the policy's counts."""
        selected: list[_Unit] = []
        counted: list[Victim] = []
        try:
            for unit in units:
                if tasks_that_fit(demand.spec, free):
                    break
                if self._count_if_allowed(demand, unit, counted):
                    selected.append(unit)
                    free = _free_after(free, name, unit, -1)
        finally:
            for victim in counted:
                self.rules.count_victim(victim, -1)
        return selected, free

    def _count_if_allowed(self, demand: PreemptionDemand, unit: _Unit, counted: list[Victim]) -> bool:
        """Count the victims of the unit if the policy allows all of them; returns whether it does."""
        allowed_victims = 0
        for _, victim in unit.victims:
            if not self.rules.allowed(demand, victim):
                break
            self.rules.count_victim(victim, 1)
            counted.append(victim)
            allowed_victims += 1
        if allowed_victims == len(unit.victims):
            return True
        for _ in range(allowed_victims):
            self.rules.count_victim(counted.pop(), -1)
        return False

    @staticmethod
    def _remove_unneeded(name: str, demand: PreemptionDemand, selected: list[_Unit], free: Resources) -> None:
        """Remove units that are not needed to fit the task, the most expensive first."""
        for unit in sorted(selected, key=lambda unit: -unit.cost):
            without = _free_after(free, name, unit, 1)
            if tasks_that_fit(demand.spec, without):
                free = without
                selected.remove(unit)

    def serve(self, demand: PreemptionDemand) -> None:
        """Free capacity for the demand's tasks, each on the machine where it costs least.

        A job with victims in this round is skipped: a preempted job must not preempt others.
        """
        spec = demand.spec
        if self.victims_of[spec.id]:
            return
        self.served.add(spec.id)
        heap: list[tuple[float, int, str]] = []
        for name, machine in self.machines.items():
            kind = machine.candidate.kind
            if allowed(spec, kind.type, kind.zone, kind.spot) and demand.zone in (None, kind.zone):
                self._push(heap, name, self.cheapest_option(name, demand))
        remaining, zone = demand.count, demand.zone
        while heap and remaining > 0:
            cost, victim_count, name = heapq.heappop(heap)
            if spec.one_zone and zone is not None and self.machines[name].candidate.kind.zone != zone:
                continue
            option = self.cheapest_option(name, demand)
            if option is None:
                continue
            if heap and (option.cost, len(option.victims)) > (cost, victim_count) and option.cost > heap[0][0]:
                self._push(heap, name, option)  # selections since the option was computed made it more expensive
                continue
            zone = self.machines[name].candidate.kind.zone
            self._commit(name, demand, option)
            remaining -= 1
            for other in {name} | {other for other, _ in option.victims}:
                self._push(heap, other, self.cheapest_option(other, demand))

    @staticmethod
    def _push(heap: list[tuple[float, int, str]], name: str, option: _Option | None) -> None:
        if option is not None:
            heapq.heappush(heap, (option.cost, len(option.victims), name))

    def _commit(self, name: str, demand: PreemptionDemand, option: _Option) -> None:
        spec, machine = demand.spec, self.machines[name]
        names = {name} | {other for other, _ in option.victims}
        for other in names:
            plan = self.machines[other]
            if not plan.job:
                plan.job, plan.free = spec.id, remaining_after(plan.free, spec, tasks_that_fit(spec, plan.free))
        for other, victim in option.victims:
            self.machines[other].preempt(victim)
            self.rules.count_victim(victim, 1)
            self.victims_of[victim.job] += 1
        self.budget.use(demand, len(option.victims))
        machine.served_tasks += 1
        machine.free = remaining_after(machine.free, spec, 1)
        if len(names) > 1:
            linked = set(names).union(*(self.linked.get(other, ()) for other in names))
            for other in linked:
                self.linked[other] = linked

    def groups(self, demands: Mapping[str, PreemptionDemand]) -> list[ClaimGroup]:
        """Return the claims of this round; claims with victims of the same gang form one group."""
        result, grouped = [], set()
        for name, machine in self.machines.items():
            if not machine.victims or name in grouped:
                continue
            names = sorted(self.linked.get(name, {name}))
            grouped.update(names)
            result.append({other: self._claim(self.machines[other], demands) for other in names})
        return result

    def _claim(self, machine: _MachinePlan, demands: Mapping[str, PreemptionDemand]) -> PreemptionClaim:
        demand, wall = demands[machine.job], self.budget.wall_time
        save_s = max((victim.spec.save_s for victim in machine.victims if victim.spec.checkpoint_s > 0), default=0.0)
        return PreemptionClaim(
            reason=demand.reason,
            job=demand.spec.id,
            count=machine.served_tasks,
            victims=[(victim.job, victim.index, victim.attempt) for victim in machine.victims],
            wind_down_s=save_s,
            expires_at=wall + save_s + constants.CLAIM_GRACE_S,
            team=demand.spec.team,
            planned_at=wall,
        )


def _free_after(free: Resources, name: str, unit: _Unit, sign: int) -> Resources:
    """Return the machine's free capacity with the unit's victims on it running again (``sign`` 1) or stopped (-1)."""
    for other, victim in unit.victims:
        if other == name:
            free = remaining_after(free, victim.spec, sign)
    return free


def select_victims(
    demands: Iterable[PreemptionDemand],
    machines: Iterable[CandidateMachine],
    rules: SelectionRules,
    budget: PreemptionBudget,
    max_changes: int,
) -> list[ClaimGroup]:
    """Return claims for the demands, which are served in the given order; each machine serves one job.

    ``machines``: those without a claim. ``max_changes``: maximum number of changes in one transaction; groups that need
    more are not selected. The claims are dated with the budget's ``wall_time``.
    """
    selection = _Selection(machines, rules, budget, max_changes)
    served: dict[str, PreemptionDemand] = {}
    for demand in demands:
        if demand.count > 0 and demand.spec.id not in served:
            served[demand.spec.id] = demand
            selection.serve(demand)
    return selection.groups(served)
