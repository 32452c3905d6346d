"""Which tasks stop for whom: the least loss, the fewest victims. Pure."""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from alderbridge import constants
from alderbridge.preemption.budget import PreemptionBudget
from alderbridge.preemption.records import PreemptionClaim
from alderbridge.protocol.wire import JobSpec
from alderbridge.scheduling.placement import Room, allowed, fits, minus
from alderbridge.scheduling.policy import Kind

ClaimGroup = dict[str, PreemptionClaim]  # machine -> claim; stored in one transaction


class PreemptionDemand(NamedTuple):
    """Tasks of one job that nothing else serves in time."""

    spec: JobSpec
    count: int
    due_in_s: float
    reason: str  # "urgent", "guarantee" or "serving"
    zone: str | None = None  # the only zone it may use now
    guaranteed: bool = False  # lies within its team's guarantee


class Victim(NamedTuple):
    """A task that might stop."""

    job: str
    index: int
    attempt: int
    spec: JobSpec
    ran_s: float  # this attempt, since it was first seen running
    saved_s_ago: float | None = None  # None: it never saves
    stops: int = 0  # by claims, so far
    sure: bool = True  # ``ran_s`` is all; else at least that: it ran when this part first heard of it
    since_stop_s: float = 0.0  # since the first stop of its job; 0: none


class CandidateMachine(NamedTuple):
    """A machine as its part tells of it: no claim is on it, and tasks may be placed there."""

    machine: str
    kind: Kind
    free: Room
    tasks: list[Victim]


def lost_seconds(victim: Victim) -> float:
    """Seconds of its work that a stop costs, with the save and a new start."""
    if victim.spec.checkpoint_s > 0:
        return victim.spec.save_s + constants.DEPENDENCY_STEP_S
    return (victim.ran_s if victim.sure else max(victim.ran_s, victim.spec.estimate_s)) + constants.DEPENDENCY_STEP_S


def lost_cpu_seconds(victim: Victim) -> float:
    """CPU seconds lost; what ends soon by itself is worth more than its room."""
    return lost_seconds(victim) * victim.spec.cpus


def spared(victim: Victim) -> bool:
    """Whether it is about to end by itself, as far as its estimate tells."""
    spec = victim.spec
    if spec.service or not spec.estimate_s:
        return False
    if spec.estimate_s - victim.ran_s <= constants.SPARED_REMAINING_S and victim.sure:
        return True
    return spec.checkpoint_s <= 0 and victim.ran_s >= spec.estimate_s * constants.SPARED_RUN_SHARE


class _Machine:
    """A machine while victims are chosen on it for one need."""

    __slots__ = ("held", "job", "room", "made", "victims", "chosen")

    def __init__(self, held: CandidateMachine) -> None:
        self.held, self.job, self.room, self.made = held, "", held.free, 0
        self.victims: list[Victim] = []
        self.chosen: set[tuple[str, int]] = set()

    def stop(self, victim: Victim) -> None:
        self.victims.append(victim)
        self.chosen.add((victim.job, victim.index))
        self.room = minus(self.room, victim.spec, -1)


class _Step(NamedTuple):
    """The cheapest way to room for one more task on one machine."""

    lost_cpu_seconds: float
    victims: list[tuple[str, Victim]]  # machine, victim: of a gang some are elsewhere


class _Choice:
    def __init__(
        self,
        machines: Iterable[CandidateMachine],
        may: Callable[[PreemptionDemand, Victim], bool],
        victim_cost: Callable[[Victim], float],
        budget: PreemptionBudget,
        count_victim: Callable[[Victim, int], None],
        placement_cost: Callable[[PreemptionDemand, CandidateMachine], float],
        most: int,
    ) -> None:
        self.machines = {held.machine: _Machine(held) for held in machines}
        self.may, self.victim_cost, self.budget, self.count_victim, self.placement_cost, self.most = (
            may,
            victim_cost,
            budget,
            count_victim,
            placement_cost,
            most,
        )
        self.of_job: Counter[str] = Counter()
        self.gangs: dict[str, list[tuple[str, Victim]]] = {}
        for name, machine in self.machines.items():
            for victim in machine.held.tasks:
                if victim.spec.gang:
                    self.gangs.setdefault(victim.job, []).append((name, victim))
        self.links: dict[str, set[str]] = {}
        self.served: set[str] = set()  # jobs that were given a turn: none of them is stopped for another in this plan

    def unit(self, name: str, victim: Victim, need: PreemptionDemand) -> list[tuple[str, Victim]] | None:
        """What stops with the victim: itself, or its gang as a whole; None where that can't be."""
        if not victim.spec.gang:
            return [(name, victim)]
        whole = self.gangs[victim.job]
        names = {other for other, _ in whole}
        if len(whole) != victim.spec.tasks or len(names) > self.most - 2:
            return None
        if any(self.machines[other].job not in ("", need.spec.id) for other in names):
            return None
        return whole

    def price(self, unit: list[tuple[str, Victim]]) -> float:
        return sum(
            self.victim_cost(victim) * (1 + constants.VICTIM_SPREAD * self.of_job[victim.job]) for _, victim in unit
        )

    def step(self, name: str, need: PreemptionDemand) -> _Step | None:
        machine, spec = self.machines[name], need.spec
        if machine.job not in ("", spec.id):
            return None
        # What fits already was counted as served before there was a need.
        room = machine.room if machine.job else minus(machine.room, spec, fits(spec, machine.room))
        if machine.job and fits(spec, room):
            return _Step(0.0, [])  # what has stopped already makes room for more than one
        units, seen = [], set()
        for victim in machine.held.tasks:
            if (victim.job, victim.index) in machine.chosen or victim.job in self.served or spared(victim):
                continue
            if victim.spec.gang and victim.job in seen:
                continue
            seen.add(victim.job)
            unit = self.unit(name, victim, need)
            if unit is not None:
                units.append((self.price(unit), unit))
        units.sort(key=lambda entry: entry[0])
        taken: list[Victim] = []
        chosen: list[tuple[float, list[tuple[str, Victim]]]] = []
        try:
            for price, unit in units:
                if fits(spec, room):
                    break
                fair = 0
                for _, victim in unit:
                    if not self.may(need, victim):
                        break
                    self.count_victim(victim, 1)
                    fair += 1
                    taken.append(victim)
                if fair < len(unit):
                    for _ in range(fair):
                        self.count_victim(taken.pop(), -1)
                    continue
                chosen.append((price, unit))
                room = self._add(room, name, unit, 1)
        finally:
            for victim in taken:
                self.count_victim(victim, -1)
        if not fits(spec, room):
            return None
        for entry in sorted(chosen, key=lambda entry: -entry[0]):  # the costliest that need not go stays
            without = self._add(room, name, entry[1], -1)
            if fits(spec, without):
                room = without
                chosen.remove(entry)
        victims = [one for _, unit in chosen for one in unit]
        jobs = {victim.job for _, victim in victims} | {victim.job for victim in machine.victims}
        if not victims or len(jobs) > self.most - 2 or len(victims) > self.budget.left(need):
            return None
        return _Step(sum(price for price, _ in chosen) + self.placement_cost(need, machine.held), victims)

    @staticmethod
    def _add(room: Room, name: str, unit: list[tuple[str, Victim]], sign: int) -> Room:
        for other, victim in unit:
            if other == name:
                room = minus(room, victim.spec, -sign)
        return room

    def serve(self, need: PreemptionDemand) -> None:
        """Make room for the need's tasks, one after the other where it costs least.

        Not for a job that this plan stops already: what was preempted does not preempt.
        """
        spec, heap = need.spec, []
        if self.of_job[spec.id]:
            return
        self.served.add(spec.id)
        for name, machine in self.machines.items():
            kind = machine.held.kind
            if not allowed(spec, kind.type, kind.zone, kind.spot) or need.zone not in (None, kind.zone):
                continue
            step = self.step(name, need)
            if step is not None:
                heapq.heappush(heap, (step.lost_cpu_seconds, len(step.victims), name))
        left, zone = need.count, need.zone
        while heap and left > 0:
            price, count, name = heapq.heappop(heap)
            if spec.one_zone and zone is not None and self.machines[name].held.kind.zone != zone:
                continue
            step = self.step(name, need)
            if step is None:
                continue
            if (
                heap
                and (step.lost_cpu_seconds, len(step.victims)) > (price, count)
                and step.lost_cpu_seconds > heap[0][0]
            ):
                heapq.heappush(
                    heap, (step.lost_cpu_seconds, len(step.victims), name)
                )  # what was chosen since made it dearer
                continue
            zone = self.machines[name].held.kind.zone
            self._commit(name, need, step)
            left -= 1
            for other in {name} | {other for other, _ in step.victims}:
                more = self.step(other, need)
                if more is not None:
                    heapq.heappush(heap, (more.lost_cpu_seconds, len(more.victims), other))

    def _commit(self, name: str, need: PreemptionDemand, step: _Step) -> None:
        spec, machine = need.spec, self.machines[name]
        names = {name} | {other for other, _ in step.victims}
        for other in names:
            one = self.machines[other]
            if not one.job:
                one.job, one.room = spec.id, minus(one.room, spec, fits(spec, one.room))
        for other, victim in step.victims:
            self.machines[other].stop(victim)
            self.count_victim(victim, 1)
            self.of_job[victim.job] += 1
        self.budget.spend(need, len(step.victims))
        machine.made += 1
        machine.room = minus(machine.room, spec, 1)
        if len(names) > 1:
            linked = set(names).union(*(self.links.get(other, ()) for other in names))
            for other in linked:
                self.links[other] = linked

    def groups(self, needs: Mapping[str, PreemptionDemand], wall: float) -> list[ClaimGroup]:
        result, done = [], set()
        for name, machine in self.machines.items():
            if not machine.victims or name in done:
                continue
            names = sorted(self.links.get(name, {name}))
            done.update(names)
            result.append({other: self._claim(self.machines[other], needs, wall) for other in names})
        return result

    @staticmethod
    def _claim(machine: _Machine, needs: Mapping[str, PreemptionDemand], wall: float) -> PreemptionClaim:
        need = needs[machine.job]
        save = max((v.spec.save_s for v in machine.victims if v.spec.checkpoint_s > 0), default=0.0)
        victims = [(victim.job, victim.index, victim.attempt) for victim in machine.victims]
        return PreemptionClaim(
            need.reason,
            need.spec.id,
            machine.made,
            victims,
            save,
            wall + save + constants.CLAIM_GRACE_S,
            need.spec.team,
            wall,
        )


def select_victims(
    needs: Iterable[PreemptionDemand],
    machines: Iterable[CandidateMachine],
    allowed: Callable[[PreemptionDemand, Victim], bool],
    victim_cost: Callable[[Victim], float],
    budget: PreemptionBudget,
    wall: float,
    count_victim: Callable[[Victim, int], None] = lambda victim, sign: None,
    placement_cost: Callable[[PreemptionDemand, CandidateMachine], float] = lambda need, held: 0.0,
    most: int = 12,
) -> list[ClaimGroup]:
    """Claims for the needs, most urgent first, each machine for one job.

    ``machines``: those without a claim. ``allowed`` is asked for each victim; ``count_victim`` tells it of one more
    (1) or one less (-1) chosen, so that it may keep count of what a team keeps. ``victim_cost``: loss of a stop, above
    0, in any unit; ``placement_cost``: what is added to it for making room on that machine (0: all alike). ``most``:
    changes that one transaction takes; groups that need more are not chosen. ``wall``: time of day, in s.
    """
    choice = _Choice(machines, allowed, victim_cost, budget, count_victim, placement_cost, most)
    served: dict[str, PreemptionDemand] = {}
    for need in needs:
        if need.count > 0 and need.spec.id not in served:
            served[need.spec.id] = need
            choice.serve(need)
    return choice.groups(served, wall)
