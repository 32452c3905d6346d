"""Which tasks are preempted for whom: the least loss, the fewest victims. Pure."""

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
from alderbridge.scheduling.resources import Resources, fits, minus

_OTHER_RECORDS = 2  # of one transaction: the budgets, and one claim beside jobs, or one job beside claims


def lost_seconds(victim: Victim) -> float:
    """Return the seconds of its work that a preemption costs, with the checkpoint and a new start."""
    if victim.spec.checkpoint_s > 0:
        return victim.spec.save_s + constants.DEPENDENCY_STEP_S
    return (victim.ran_s if victim.sure else max(victim.ran_s, victim.spec.estimate_s)) + constants.DEPENDENCY_STEP_S


def lost_cpu_seconds(victim: Victim) -> float:
    """Return the CPU seconds lost; what ends soon by itself is worth more than its room."""
    return lost_seconds(victim) * victim.spec.cpus


def nearly_done(victim: Victim) -> bool:
    """Whether it is about to end by itself, as far as its estimate tells."""
    spec = victim.spec
    if spec.service or not spec.estimate_s:
        return False
    if spec.estimate_s - victim.ran_s <= constants.SPARED_REMAINING_S and victim.sure:
        return True
    return spec.checkpoint_s <= 0 and victim.ran_s >= spec.estimate_s * constants.SPARED_RUN_SHARE


def _count_nothing(victim: Victim, sign: int) -> None:
    pass


def _all_alike(demand: PreemptionDemand, machine: CandidateMachine) -> float:
    return 0.0


class SelectionRules(NamedTuple):
    """What a policy decides while victims are chosen."""

    allowed: Callable[[PreemptionDemand, Victim], bool]
    victim_cost: Callable[[Victim], float]  # loss of its preemption, above 0, in any unit
    count_victim: Callable[[Victim, int], None] = _count_nothing  # one more is chosen (1), or one less (-1)
    placement_cost: Callable[[PreemptionDemand, CandidateMachine], float] = _all_alike  # of room on that machine


class _Placed(NamedTuple):
    """A victim, and the machine that it is on."""

    machine: str
    victim: Victim


class _PricedUnit(NamedTuple):
    """Victims that are preempted together or not at all."""

    cost: float
    victims: list[_Placed]


class _Option(NamedTuple):
    """The cheapest way to room for one more task on one machine."""

    cost: float
    victims: list[_Placed]  # of a gang some are elsewhere


class _MachinePlan:
    """A machine while victims are chosen on it for one demand."""

    __slots__ = ("candidate", "job", "room", "made", "victims", "chosen")

    def __init__(self, candidate: CandidateMachine) -> None:
        self.candidate = candidate
        self.job = ""  # whose room is made here; "": nobody's yet
        self.room = candidate.free
        self.made = 0  # tasks that room is made for
        self.victims: list[Victim] = []
        self.chosen: set[tuple[str, int]] = set()

    def preempt(self, victim: Victim) -> None:
        """Choose a victim; its room is free."""
        self.victims.append(victim)
        self.chosen.add((victim.job, victim.index))
        self.room = minus(self.room, victim.spec, -1)


class _Selection:
    """One plan for all demands of one policy."""

    def __init__(
        self, machines: Iterable[CandidateMachine], rules: SelectionRules, budget: PreemptionBudget, max_changes: int
    ) -> None:
        self.machines = {candidate.machine: _MachinePlan(candidate) for candidate in machines}
        self.rules, self.budget = rules, budget
        self.max_records = max_changes - _OTHER_RECORDS
        self.victims_of: Counter[str] = Counter()  # job -> its victims in this plan
        self.gangs: dict[str, list[_Placed]] = {}
        for name, machine in self.machines.items():
            for victim in machine.candidate.tasks:
                if victim.spec.gang:
                    self.gangs.setdefault(victim.job, []).append(_Placed(name, victim))
        self.linked: dict[str, set[str]] = {}  # machine -> those whose claims are stored together with its own
        self.served: set[str] = set()  # jobs that room was made for: none of them is preempted in this plan

    # -- options -------------------------------------------------------------

    def option(self, name: str, demand: PreemptionDemand) -> _Option | None:
        """Return the cheapest way to room for one more task on the machine; None: there is none."""
        machine, spec = self.machines[name], demand.spec
        if machine.job not in ("", spec.id):
            return None
        # What fits already was counted as served before there was a demand.
        room = machine.room if machine.job else minus(machine.room, spec, fits(spec, machine.room))
        if machine.job and fits(spec, room):
            return _Option(0.0, [])  # what is preempted already makes room for more than one
        chosen, room = self._add_units(name, demand, self._units(name, demand), room)
        if not fits(spec, room):
            return None
        self._drop_superfluous(name, demand, chosen, room)
        victims = [placed for unit in chosen for placed in unit.victims]
        jobs = {placed.victim.job for placed in victims} | {victim.job for victim in machine.victims}
        if not victims or len(jobs) > self.max_records or len(victims) > self.budget.left(demand):
            return None
        cost = sum(unit.cost for unit in chosen)
        return _Option(cost + self.rules.placement_cost(demand, machine.candidate), victims)

    def _units(self, name: str, demand: PreemptionDemand) -> list[_PricedUnit]:
        """What might be preempted on the machine, the cheapest first."""
        machine = self.machines[name]
        units, seen = [], set()
        for victim in machine.candidate.tasks:
            if (victim.job, victim.index) in machine.chosen or victim.job in self.served or nearly_done(victim):
                continue
            if victim.spec.gang and victim.job in seen:
                continue
            seen.add(victim.job)
            victims = self._with_gang(name, victim, demand)
            if victims is not None:
                units.append(_PricedUnit(self._cost(victims), victims))
        units.sort(key=lambda unit: unit.cost)
        return units

    def _with_gang(self, name: str, victim: Victim, demand: PreemptionDemand) -> list[_Placed] | None:
        """Return what stops with the victim: itself, or its gang as a whole; None where that can't be."""
        if not victim.spec.gang:
            return [_Placed(name, victim)]
        gang = self.gangs[victim.job]
        names = {placed.machine for placed in gang}
        if len(gang) != victim.spec.tasks or len(names) > self.max_records:
            return None
        if any(self.machines[other].job not in ("", demand.spec.id) for other in names):
            return None
        return gang

    def _cost(self, victims: list[_Placed]) -> float:
        return sum(
            self.rules.victim_cost(victim) * (1 + constants.VICTIM_SPREAD * self.victims_of[victim.job])
            for _, victim in victims
        )

    def _add_units(
        self, name: str, demand: PreemptionDemand, units: list[_PricedUnit], room: Resources
    ) -> tuple[list[_PricedUnit], Resources]:
        """Choose units until one task fits; what the policy counted meanwhile is taken back."""
        chosen: list[_PricedUnit] = []
        counted: list[Victim] = []
        try:
            for unit in units:
                if fits(demand.spec, room):
                    break
                if self._count_unit(demand, unit, counted):
                    chosen.append(unit)
                    room = _room_changed(room, name, unit, -1)
        finally:
            for victim in counted:
                self.rules.count_victim(victim, -1)
        return chosen, room

    def _count_unit(self, demand: PreemptionDemand, unit: _PricedUnit, counted: list[Victim]) -> bool:
        """Whether the policy allows all victims of the unit; if so they are counted."""
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
    def _drop_superfluous(name: str, demand: PreemptionDemand, chosen: list[_PricedUnit], room: Resources) -> None:
        """Spare the costliest units that the room is large enough without."""
        for unit in sorted(chosen, key=lambda unit: -unit.cost):
            without = _room_changed(room, name, unit, 1)
            if fits(demand.spec, without):
                room = without
                chosen.remove(unit)

    # -- one demand after the other ------------------------------------------

    def serve(self, demand: PreemptionDemand) -> None:
        """Make room for the demand's tasks, one after the other where it costs least.

        Not for a job that this plan preempts already: what was preempted does not preempt.
        """
        spec = demand.spec
        if self.victims_of[spec.id]:
            return
        self.served.add(spec.id)
        heap: list[tuple[float, int, str]] = []
        for name, machine in self.machines.items():
            kind = machine.candidate.kind
            if allowed(spec, kind.type, kind.zone, kind.spot) and demand.zone in (None, kind.zone):
                self._push(heap, name, self.option(name, demand))
        left, zone = demand.count, demand.zone
        while heap and left > 0:
            cost, victims, name = heapq.heappop(heap)
            if spec.one_zone and zone is not None and self.machines[name].candidate.kind.zone != zone:
                continue
            option = self.option(name, demand)
            if option is None:
                continue
            if heap and (option.cost, len(option.victims)) > (cost, victims) and option.cost > heap[0][0]:
                self._push(heap, name, option)  # what was chosen since made it dearer
                continue
            zone = self.machines[name].candidate.kind.zone
            self._commit(name, demand, option)
            left -= 1
            for other in {name} | {other for other, _ in option.victims}:
                self._push(heap, other, self.option(other, demand))

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
                plan.job, plan.room = spec.id, minus(plan.room, spec, fits(spec, plan.room))
        for other, victim in option.victims:
            self.machines[other].preempt(victim)
            self.rules.count_victim(victim, 1)
            self.victims_of[victim.job] += 1
        self.budget.spend(demand, len(option.victims))
        machine.made += 1
        machine.room = minus(machine.room, spec, 1)
        if len(names) > 1:
            linked = set(names).union(*(self.linked.get(other, ()) for other in names))
            for other in linked:
                self.linked[other] = linked

    # -- the result ----------------------------------------------------------

    def groups(self, demands: Mapping[str, PreemptionDemand]) -> list[ClaimGroup]:
        """Return the claims of this plan, those that share a gang's victims in one group."""
        result, done = [], set()
        for name, machine in self.machines.items():
            if not machine.victims or name in done:
                continue
            names = sorted(self.linked.get(name, {name}))
            done.update(names)
            result.append({other: self._claim(self.machines[other], demands) for other in names})
        return result

    def _claim(self, machine: _MachinePlan, demands: Mapping[str, PreemptionDemand]) -> PreemptionClaim:
        demand, wall = demands[machine.job], self.budget.wall
        save_s = max((victim.spec.save_s for victim in machine.victims if victim.spec.checkpoint_s > 0), default=0.0)
        return PreemptionClaim(
            reason=demand.reason,
            job=demand.spec.id,
            count=machine.made,
            victims=[(victim.job, victim.index, victim.attempt) for victim in machine.victims],
            wind_down_s=save_s,
            until=wall + save_s + constants.CLAIM_GRACE_S,
            team=demand.spec.team,
            at=wall,
        )


def _room_changed(room: Resources, name: str, unit: _PricedUnit, sign: int) -> Resources:
    """The machine's room with the unit's victims on it running once more (1), or not (-1)."""
    for other, victim in unit.victims:
        if other == name:
            room = minus(room, victim.spec, sign)
    return room


def select_victims(
    demands: Iterable[PreemptionDemand],
    machines: Iterable[CandidateMachine],
    rules: SelectionRules,
    budget: PreemptionBudget,
    max_changes: int,
) -> list[ClaimGroup]:
    """Return claims for the demands, most urgent first, each machine for one job.

    ``machines``: those without a claim. ``max_changes``: changes that one transaction takes; groups that need more are
    not chosen. The claims are made at the budget's time of day.
    """
    selection = _Selection(machines, rules, budget, max_changes)
    served: dict[str, PreemptionDemand] = {}
    for demand in demands:
        if demand.count > 0 and demand.spec.id not in served:
            served[demand.spec.id] = demand
            selection.serve(demand)
    return selection.groups(served)
