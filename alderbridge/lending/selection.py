"""Chooses the lending tasks to preempt for replicas, and the machines, for all demands of a planning round."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence

from alderbridge import constants, preemption
from alderbridge.claims.records import ClaimGroup
from alderbridge.lending.demands import FreeCapacity, ServingDemands, ServingJob
from alderbridge.lending.pace import ReclaimPace
from alderbridge.preemption import (
    CandidateMachine,
    GuaranteeUsage,
    PreemptionBudget,
    PreemptionDemand,
    SelectionRules,
    Victim,
    lost_seconds,
)
from alderbridge.protocol.wire import JobSpec, MachineType


class LendingSelection:
    """Rules and costs of the choice of victims; each victim immediately counts against the rate limit and its team."""

    def __init__(
        self,
        demands: ServingDemands,
        pace: ReclaimPace,
        types: Mapping[str, MachineType],
        teams: GuaranteeUsage,
        machines: Sequence[CandidateMachine],
    ) -> None:
        """``teams``: current usage, reduced as victims are chosen. ``machines``: those without a claim."""
        self.demands, self.pace, self.types, self.teams, self.machines = demands, pace, types, teams, machines
        self.rules, self.fleet = demands.rules, demands.fleet
        self.fleet.zone_of |= {one.machine: one.kind.zone for one in machines}
        self.machine_of = {(victim.job, victim.index): one.machine for one in machines for victim in one.tasks}
        self.victims_on: Counter[str] = Counter()  # machine -> victims chosen there
        self.remaining_gpus: dict[str, float] = {}  # team -> GPUs that may still be reclaimed for it
        self.clearable = self._find_clearable()
        self.demand: PreemptionDemand | None = None  # the demand that victims are being chosen for

    def _find_clearable(self) -> set[str]:
        """Machines whose GPUs would all be free without their preemptible tasks."""
        result: set[str] = set()
        for one in self.machines:
            all_gpus = self._gpus(one)
            preemptible = sum(victim.spec.gpus for victim in one.tasks)
            if all_gpus and one.free[2] + preemptible >= all_gpus - 1e-9:
                result.add(one.machine)
        return result

    def _gpus(self, machine: CandidateMachine) -> float:
        kind = self.types.get(machine.kind.type)
        return kind.gpus if kind is not None else 0.0

    def select(
        self, demands: Iterable[PreemptionDemand], budget: PreemptionBudget, max_changes: int
    ) -> list[ClaimGroup]:
        """Return claims for the demands, choosing zone by zone; see ``preemption.select_victims``."""
        rules = SelectionRules(self.allowed, self.victim_cost, self.count_victim, self.placement_cost)
        result: list[ClaimGroup] = []
        taken: set[str] = set()
        free_capacity = [FreeCapacity(one.kind, one.free) for one in self.machines]
        for demand in demands:
            served = 0
            if demand.spec.id in self.demands.zones_unknown:
                service = ServingJob(demand.spec, 0, zone=demand.zone)
                free = self.demands.assign_to_free(free_capacity, service, demand.count)
                demand = demand._replace(count=demand.count - free)
            for zone, zone_limit in self._zones(demand):
                if served >= demand.count:
                    break
                self.demand = demand._replace(zone=zone, count=min(demand.count - served, zone_limit))
                usable = [one for one in self.machines if one.machine not in taken and zone in (None, one.kind.zone)]
                groups = preemption.select_victims([self.demand], usable, rules, budget, max_changes)
                for group in groups:
                    taken.update(group)
                    served += sum(claim.count for claim in group.values())
                result += groups
        return result

    def _zones(self, demand: PreemptionDemand) -> list[tuple[str | None, int]]:
        """The zones to try, in order, and how many replicas each may take: a spread job's are limited per zone."""
        spec = demand.spec
        if not spec.spread:
            return [(demand.zone, demand.count)]
        zone_of = self.fleet.zone_of
        replicas = self.fleet.zones_of(spec)
        cached = Counter(
            zone_of[name] for name, contents in self.fleet.contents.items() if spec.image in contents.images
        )
        candidates = Counter(zone_of[name] for name in self.machine_of.values())
        zones = sorted(set(candidates), key=lambda zone: (replicas[zone], -cached[zone], -candidates[zone], zone))
        return [
            (zone, remaining)
            for zone in zones
            if demand.zone in (None, zone) and (remaining := self.fleet.remaining_in_zone(spec, replicas, zone)) > 0
        ]

    def allowed(self, demand: PreemptionDemand, victim: Victim) -> bool:
        """Whether protocol, rate limit, team guarantees and the victim's lending class allow preempting the victim."""
        spec, team = victim.spec, demand.spec.team
        lends = self.rules.lends(spec)
        if lends is None or not self.rules.serves(demand.spec) or spec.gpus > self._remaining_gpus_for(team) + 1e-9:
            return False
        keeps_guarantee = self.teams.exceeds_guarantee(spec)
        if spec.team != team and (demand.spec.id in self.demands.at_team_limit or not keeps_guarantee):
            return False
        if not preemption.preemption_allowed(demand.spec, demand.guaranteed, spec, keeps_guarantee):
            return False
        return all(
            victim.ran_s >= one.min_run_s
            and victim.preemptions < one.max_preemptions_per_task
            and victim.since_first_preemption_s <= one.preemptible_for_s
            for one in lends
        )

    def _remaining_gpus_for(self, team: str) -> float:
        if team not in self.remaining_gpus:
            self.remaining_gpus[team] = self.pace.remaining_gpus(team)
        return self.remaining_gpus[team]

    def count_victim(self, victim: Victim, sign: int) -> None:
        """Count a victim as chosen (``sign`` 1), or as no longer chosen (-1)."""
        assert self.demand is not None
        team = self.demand.spec.team
        self.remaining_gpus[team] = self._remaining_gpus_for(team) - sign * victim.spec.gpus
        self.victims_on[self.machine_of[victim.job, victim.index]] += sign
        self.teams.count_victim(victim.spec, sign)

    def victim_cost(self, victim: Victim) -> float:
        """Return the GPU-seconds lost by preempting the task.

        A share of the unsaved work (``UNSAVED_WORK_LOSS_SHARE``) counts as lost, since it is at risk until it is saved.
        So a task that has just saved is preempted first. Each earlier preemption adds the same cost again, so that one
        task is not preempted repeatedly.
        """
        lost_s = lost_seconds(victim) + constants.UNSAVED_WORK_LOSS_SHARE * (victim.since_checkpoint_s or 0.0)
        return victim.spec.gpus * (1 + victim.preemptions) * lost_s

    def placement_cost(self, demand: PreemptionDemand, machine: CandidateMachine) -> float:
        """Return the cost of placing a replica there, in GPU-seconds: idle GPU time and the ``LEND_*`` penalties."""
        spec, name = demand.spec, machine.machine
        if self.victims_on[name] > 0:
            return 0.0
        cost = constants.ADDITIONAL_MACHINE_COST_S * spec.gpus
        if spec.image not in self.fleet.contents_of(name).images:
            kind = self.types.get(machine.kind.type)
            fetch_s = spec.image_gb / kind.fetch_gb_per_s if kind is not None and kind.fetch_gb_per_s > 0 else 0.0
            cost += fetch_s * spec.gpus
            if fetch_s >= constants.SLOW_IMAGE_FETCH_S and self._image_elsewhere(spec, machine):
                cost += constants.AVOIDED_MACHINE_COST_S
        if name in self.clearable and spec.gpus < self._gpus(machine):
            last = sum(not self.victims_on[clearable] for clearable in self.clearable) <= 1
            cost += 2 * constants.AVOIDED_MACHINE_COST_S if last else constants.ADDITIONAL_MACHINE_COST_S * spec.gpus
        return cost

    def _image_elsewhere(self, spec: JobSpec, machine: CandidateMachine) -> bool:
        """Whether another candidate has the image or fetches it, or has victims chosen and will fetch it."""
        assert self.demand is not None
        return any(
            self.demand.zone in (None, self.fleet.zone_of[name])
            and name != machine.machine
            and (self.victims_on[name] > 0 or spec.image in self.fleet.contents_of(name).images)
            for name in set(self.machine_of.values())
        )
