"""Which lending tasks are preempted for replicas, and on which machines: one choice for all demands of a round."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence

from alderbridge import constants, preemption
from alderbridge.claims.records import ClaimGroup
from alderbridge.lending.demands import FreeRoom, ServingDemands, ServingJob
from alderbridge.lending.pace import ReclaimPace
from alderbridge.preemption import (
    CandidateMachine,
    PreemptionBudget,
    PreemptionDemand,
    SelectionRules,
    Teams,
    Victim,
    lost_seconds,
)
from alderbridge.protocol.wire import JobSpec, MachineType


class LendingSelection:
    """Rules and costs of the choice; what is chosen counts against the pace and the teams at once."""

    def __init__(
        self,
        demands: ServingDemands,
        pace: ReclaimPace,
        types: Mapping[str, MachineType],
        teams: Teams,
        machines: Sequence[CandidateMachine],
    ) -> None:
        """``teams``: as they stand; victims are taken from them. ``machines``: those without a claim."""
        self.demands, self.pace, self.types, self.teams, self.machines = demands, pace, types, teams, machines
        self.rules, self.fleet = demands.rules, demands.fleet
        self.fleet.zone_of |= {one.machine: one.kind.zone for one in machines}
        self.machine_of = {(victim.job, victim.index): one.machine for one in machines for victim in one.tasks}
        self.opened: Counter[str] = Counter()  # machine -> victims chosen there
        self.left: dict[str, float] = {}  # team -> GPUs that may still come back for it
        self.whole = self._whole()
        self.demand: PreemptionDemand | None = None  # that victims are chosen for now

    def _whole(self) -> set[str]:
        """Machines that could be all free: nothing but lending work is on them."""
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
        """Return claims for the demands, zone after zone; see ``preemption.select_victims``."""
        rules = SelectionRules(self.allowed, self.victim_cost, self.count_victim, self.placement_cost)
        result: list[ClaimGroup] = []
        taken: set[str] = set()
        rooms = [FreeRoom(one.kind, one.free) for one in self.machines]
        for demand in demands:
            served = 0
            if demand.spec.id in self.demands.unsure:
                one = ServingJob(demand.spec, 0, zone=demand.zone)
                free = self.demands.count_into(rooms, one, demand.count)
                demand = demand._replace(count=demand.count - free)
            for zone, most_there in self._zones(demand):
                if served >= demand.count:
                    break
                self.demand = demand._replace(zone=zone, count=min(demand.count - served, most_there))
                here = [one for one in self.machines if one.machine not in taken and zone in (None, one.kind.zone)]
                groups = preemption.select_victims([self.demand], here, rules, budget, max_changes)
                for group in groups:
                    taken.update(group)
                    served += sum(claim.count for claim in group.values())
                result += groups
        return result

    def _zones(self, demand: PreemptionDemand) -> list[tuple[str | None, int]]:
        """Where to look, one after the other, and for how many there: no more than ``apart`` allows."""
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
            (zone, quota)
            for zone in zones
            if demand.zone in (None, zone) and (quota := self.fleet.quota(spec, replicas, zone)) > 0
        ]

    # -- rules and costs -----------------------------------------------------

    def allowed(self, demand: PreemptionDemand, victim: Victim) -> bool:
        """Whether the protocol, the pace, the teams' guarantees and the victim's class allow it."""
        spec, team = victim.spec, demand.spec.team
        lends = self.rules.lends(spec)
        if lends is None or not self.rules.serves(demand.spec) or spec.gpus > self._left(team) + 1e-9:
            return False
        beyond = self.teams.beyond(spec)
        if spec.team != team and (demand.spec.id in self.demands.own_only or not beyond):
            return False
        if not preemption.allowed(demand.spec, demand.guaranteed, spec, beyond):
            return False
        return all(
            victim.ran_s >= one.least_run_s
            and victim.stops < one.most_stops
            and victim.since_stop_s <= one.waits_at_most_s
            for one in lends
        )

    def _left(self, team: str) -> float:
        if team not in self.left:
            self.left[team] = self.pace.left(team)
        return self.left[team]

    def count_victim(self, victim: Victim, sign: int) -> None:
        """Count a victim as chosen (1), or not after all (-1)."""
        assert self.demand is not None
        team = self.demand.spec.team
        self.left[team] = self._left(team) - sign * victim.spec.gpus
        self.opened[self.machine_of[victim.job, victim.index]] += sign
        self.teams.count_victim(victim.spec, sign)

    def victim_cost(self, victim: Victim) -> float:
        """Return the GPU seconds lost: work just saved goes first, as what is not saved is at risk until it is.

        What was preempted before costs as much more for each time: the same task is not preempted again and again.
        """
        lost_s = lost_seconds(victim) + constants.LEND_RISK * (victim.saved_s_ago or 0.0)
        return victim.spec.gpus * (1 + victim.stops) * lost_s

    def placement_cost(self, demand: PreemptionDemand, machine: CandidateMachine) -> float:
        """Return the GPU seconds that replicas' GPUs idle there, and what is to be avoided: see ``constants``."""
        spec, name = demand.spec, machine.machine
        if self.opened[name] > 0:
            return 0.0
        cost = constants.LEND_OPEN_S * spec.gpus
        if spec.image not in self.fleet.contents_of(name).images:
            kind = self.types.get(machine.kind.type)
            fetch_s = spec.image_gb / kind.fetch_gb_per_s if kind is not None and kind.fetch_gb_per_s > 0 else 0.0
            cost += fetch_s * spec.gpus
            if fetch_s >= constants.LEND_HEAVY_S and self._image_elsewhere(spec, machine):
                cost += constants.LEND_AVOID_S
        if name in self.whole and spec.gpus < self._gpus(machine):
            last = sum(not self.opened[one] for one in self.whole) <= 1
            cost += 2 * constants.LEND_AVOID_S if last else constants.LEND_OPEN_S * spec.gpus
        return cost

    def _image_elsewhere(self, spec: JobSpec, machine: CandidateMachine) -> bool:
        """Whether another candidate has the image, fetches it, or is to."""
        assert self.demand is not None
        return any(
            self.demand.zone in (None, self.fleet.zone_of[name])
            and name != machine.machine
            and (self.opened[name] > 0 or spec.image in self.fleet.contents_of(name).images)
            for name in set(self.machine_of.values())
        )
