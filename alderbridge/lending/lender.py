"""Which lent GPUs come back, for which replicas, on which machines. Pure: a source of the leader's desk.

Needs are replicas within their team's guarantee of GPUs that neither free room nor room that comes free in time holds.
The protocol's "Preemption" holds to the letter, and beyond it no team is brought below its guarantee for another.
"""

from __future__ import annotations

import math
from collections import Counter, deque
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import TYPE_CHECKING, NamedTuple

from alderbridge import constants, preemption
from alderbridge.jobs.shard import JobState
from alderbridge.lending.configuration import LendingClass, LendingConfiguration
from alderbridge.lending.reserve import FreeGpus, GpuReserve, allocate_reserve
from alderbridge.preemption import (
    CandidateMachine,
    ClaimGroup,
    PreemptionBudget,
    PreemptionClaim,
    PreemptionDemand,
    PreemptionLimit,
    SelectionRules,
    Teams,
    Victim,
    lost_seconds,
)
from alderbridge.protocol.messages import MachineTasks, QueueRow
from alderbridge.protocol.wire import JobSpec, MachineType
from alderbridge.scheduling.placement import Offer, allowed, fits, order
from alderbridge.scheduling.policy import Kind, Resource
from alderbridge.settings import Team

if TYPE_CHECKING:
    from alderbridge.preemption.planner import PreemptionPlanner

REASON = "serving"


class ServingJob(NamedTuple):
    """A job of a class that serves."""

    spec: JobSpec
    on: int  # replicas on machines, or on their way there
    waiting: int = 0
    offer: int = 0  # of these, what its home would grant now
    due_in_s: float = math.inf
    zone: str | None = None  # the only zone that it may use now
    guaranteed: bool = False  # lies within its team's guarantee, as the protocol counts
    order: tuple = ()  # as placement has it


class MachineContents(NamedTuple):
    """What a part tells of one machine beside its victims."""

    images: frozenset[str] = frozenset()  # cached, or being fetched
    replicas: Mapping[str, int] = {}  # job that serves -> its tasks there


class CapacityLender:
    reason = REASON

    def __init__(
        self,
        configurations: Sequence[LendingConfiguration],
        teams: Iterable[Team],
        types: Mapping[str, MachineType],
        before: CapacityLender | None = None,
    ) -> None:
        """``texts``: in force, two at once while one replaces the other: then the stricter. ``before``: until now."""
        self.configurations = list(configurations)
        self.limits = {team.name: team for team in teams}
        self.types = types
        self.teams = Teams([], {})  # as they stand, while victims are chosen
        self.sites: dict[str, MachineContents] = {}  # as parts told last
        self.unsure: set[str] = set()  # jobs of whose replicas it is not known in which zones they are
        self.own_only: set[str] = set()  # jobs whose team is at its limit: only its own tasks make room there
        self.returned: deque[tuple[float, str, float]] = deque()  # time of day, team, GPUs that came back for it
        self.seen: set[tuple[str, float]] = set()  # claims that are counted in ``paid``
        self._known: dict[tuple, tuple[bool, list[LendingClass] | None]] = {}
        self.zone_of: dict[str, str] = {}
        self.peaks = GpuReserve()
        self.used: Counter[str] = Counter()  # GPUs of each team's replicas, at the last look
        self.since: dict[str, float] = {}  # job -> since when it has a need
        self.tasks_served_by_lending: Counter[str] = Counter()  # job -> waiting replicas that no machine is rented for
        self.held: dict[str, PreemptionClaim] = {}  # of this reason, at the last look
        self.specs: dict[str, JobSpec | None] = {}  # of their victims' jobs
        if before is not None:
            self.returned, self.seen, self.peaks, self.sites = before.returned, before.seen, before.peaks, before.sites
            self.zone_of, self.since = before.zone_of, before.since
        self.stopping: Counter[str] = Counter()  # team -> GPUs of its claims whose victims are not known to be gone
        self._begin([])

    # -- classes ---------------------------------------------------------------

    def _class(self, spec: JobSpec) -> tuple[bool, list[LendingClass] | None]:
        key = (spec.team, spec.job_class, spec.service, spec.gpus > 0)
        if key not in self._known:
            lends = [text.lends(spec) for text in self.configurations]
            self._known[key] = (
                bool(self.configurations) and all(text.serves(spec) for text in self.configurations),
                None if not lends or None in lends else lends,
            )
        return self._known[key]

    def serves(self, spec: JobSpec) -> bool:
        return self._class(spec)[0]

    def lends(self, spec: JobSpec) -> list[LendingClass] | None:
        return self._class(spec)[1]

    def preemptible(self, spec: JobSpec) -> bool:
        lends = self.lends(spec)
        return lends is not None and all(one.most_stops for one in lends)

    def _pace(self, field: str) -> int:
        return min((getattr(text, field) for text in self.configurations), default=0)

    @property
    def keep_s(self) -> float:
        return max((text.keep_s for text in self.configurations), default=0.0)

    def reserve(self, team: str) -> float:
        """GPUs declared to be kept for a team's replicas."""
        return max((text.reserve.get(team, 0.0) for text in self.configurations), default=0.0)

    # -- needs -------------------------------------------------------------------

    def gpus_in_use(self, services: Iterable[ServingJob]) -> Counter[str]:
        """GPUs of each team's replicas."""
        result: Counter[str] = Counter()
        for one in services:
            result[one.spec.team] += one.on * one.spec.gpus
        return result

    def gpu_demand(self, services: Sequence[ServingJob]) -> dict[str, float]:
        """GPUs of each team's replicas with those that wait, but no more than it has or is guaranteed."""
        used = self.gpus_in_use(services)
        wanted = self.gpus_in_use(one._replace(on=one.on + one.waiting) for one in services)
        return {team: min(gpus, max(self._guarantee(team), used[team])) for team, gpus in wanted.items()}

    def _guarantee(self, team: str) -> float:
        known = self.limits.get(team)
        return known.gpus if known is not None else 0.0

    def _headroom(self, spec: JobSpec, used: Mapping[str, tuple[float, float]]) -> float:
        """How many more tasks its team's limits allow."""
        limit, (cpus, gpus) = self.limits.get(spec.team), used.get(spec.team, (0.0, 0.0))
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

    def demands(
        self,
        services: Iterable[ServingJob],
        resources: Iterable[Resource],
        used: Mapping[str, tuple[float, float]],
        promised: Mapping[str, int],
    ) -> list[PreemptionDemand]:
        """Replicas that nothing else serves in time, in the order of placement.

        ``resources``: machines without a claim, booting ones as room that comes. ``used``: what each team's tasks
        take, cpus and GPUs. ``promised``: tasks of a job that claims make room for.
        """
        services = sorted(services, key=lambda one: one.order)
        within = {team: self._guarantee(team) - gpus for team, gpus in self.gpus_in_use(services).items()}
        rooms = [[one.kind, one.free, one.ends] for one in resources]
        self.own_only, self.unsure = set(), set()
        result = []
        for one in services:
            spec, team = one.spec, one.spec.team
            count = min(one.waiting, max(0, math.floor(within[team] / spec.gpus + 1e-9)))
            within[team] -= count * spec.gpus
            coming = min(count, promised.get(spec.id, 0))
            count -= coming
            headroom = self._headroom(spec, used) - coming
            if count <= 0:
                continue
            if headroom <= 0:
                # Stopping others' tasks would make room that its team may not use.
                self.own_only.add(spec.id)
            else:
                free = 0
                if spec.spread and sum(self.zones_of(spec).values()) < one.on:
                    self.unsure.add(spec.id)  # the parts are asked; free room counts when they have told
                else:
                    free = self._holds(one, rooms, min(count, headroom))
                count = min(count - free, headroom - free, one.offer - coming - free)
            if count > 0:
                result.append(PreemptionDemand(spec, int(count), one.due_in_s, REASON, one.zone, one.guaranteed))
        return result

    def _holds(self, one: ServingJob, rooms: list[list], most: int) -> int:
        """How many of the replicas go where room is, or comes in the time that lending takes; takes that room."""
        spec, found = one.spec, 0
        horizon = max(one.due_in_s, spec.save_s + constants.LEND_S)
        here = self.zones_of(spec)
        for entry in rooms:
            kind, free, ends = entry
            if found >= most:
                break
            if not allowed(spec, kind.type, kind.zone, kind.spot) or one.zone not in (None, kind.zone):
                continue
            coming = [end for end in ends if end[0] <= horizon]
            room = tuple(free[i] + sum(end[i + 1] for end in coming) for i in range(3))
            count = min(fits(spec, room), most - found, self._quota(spec, here, kind.zone))
            if count > 0:
                entry[1] = tuple(
                    have - count * each for have, each in zip(free, (spec.cpus, spec.memory_gb, spec.gpus), strict=True)
                )
                here[kind.zone] += count
                found += count
        return found

    def zones_of(self, spec: JobSpec) -> Counter[str]:
        """Where its replicas run, as parts told last."""
        result: Counter[str] = Counter()
        for name, site in self.sites.items():
            if spec.id in site.replicas:
                result[self.zone_of[name]] += site.replicas[spec.id]
        return result

    @staticmethod
    def _quota(spec: JobSpec, here: Counter[str], zone: str) -> int:
        """How many more of the replicas may be in the zone: PROTOCOL, ``apart``."""
        return max(0, math.ceil(spec.tasks / 2) - here[zone]) if spec.spread else spec.tasks

    # -- the desk's side ---------------------------------------------------------

    def is_reported(self, spec: JobSpec) -> bool:
        """Whether parts tell the leader of such a task: it may stop, or it is a replica."""
        return self.preemptible(spec) or self.serves(spec)

    def observe_machines(
        self, rows: Sequence[MachineTasks], kinds: Mapping[str, Kind], specs: Callable[[str], JobSpec | None]
    ) -> None:
        sites = {}
        for row in rows:
            replicas = Counter(job for job, *_ in row.tasks if (spec := specs(job)) is not None and self.serves(spec))
            if row.machine in kinds and (replicas or row.images):
                sites[row.machine] = MachineContents(frozenset(row.images), replicas)
        self.set_machine_contents(sites, {name: kinds[name].zone for name in sites})

    def services(self, desk: PreemptionPlanner, now: float) -> list[ServingJob]:
        """The services that lending serves, as their rows and records stand."""
        rows, result = desk.queue_rows(now), []
        for job, (record, _) in desk.leader.replica.active.items():
            spec = record.spec
            if record.state is JobState.ACTIVE and spec is not None and self.serves(spec) and not spec.needs:
                row = rows.get(job) or QueueRow(job, 0, 0, math.inf, 0.0, None, 0.0, False, False)
                result.append(
                    ServingJob(
                        spec,
                        max(0, spec.tasks - row.waiting),
                        row.waiting,
                        row.offer,
                        row.due_in_s,
                        row.zone,
                        row.guaranteed,
                        (*order(row, spec, row.due_in_s), job),
                    )
                )
        return result

    def find_demands(self, desk: PreemptionPlanner, now: float) -> list[PreemptionDemand]:
        """Who needs what; and what the leader is not to rent for: claims, and needs that are a moment old."""
        leader, promised = desk.leader, desk.promised()
        self.held = {machine: claim for machine, claim in desk.ledger.all().items() if claim.reason == REASON}
        self.specs = {job: leader.replica.spec(job) for claim in self.held.values() for job, _, _ in claim.victims}
        self.stopping = Counter()
        for machine, claim in self.held.items():
            gone = len(claim.victims) - desk.victims_left(machine, claim)
            self.stopping[claim.team] += sum(
                spec.gpus for job, _, _ in claim.victims[gone:] if (spec := self.specs[job]) is not None
            )
        services = self.services(desk, now)
        self.used = self.gpus_in_use(services)
        self.peaks.record_use(self.gpu_demand(services), now)
        self.tasks_served_by_lending = Counter(
            {job: count for job, count in promised.items() if any(claim.job == job for claim in self.held.values())}
        )
        if not any(one.waiting for one in services):
            self.since = {}
            return []
        used: Counter[tuple[str, int]] = Counter()
        for queue in leader.queues.values():
            for team, amounts in queue.used.items():
                used[team, 0] += amounts[0]
                used[team, 1] += amounts[1]
        taken = {team: (used[team, 0], used[team, 1]) for team, _ in used}
        resources = [one for one in leader.outlook(now, desk.ledger.entries) if self._gpu_type(one.kind)]
        demands = self.demands(services, resources, taken, promised)
        self.since = {demand.spec.id: self.since.get(demand.spec.id, now) for demand in demands}
        for demand in demands:
            if now - self.since[demand.spec.id] < constants.LEND_FIRST_S:
                self.tasks_served_by_lending[demand.spec.id] += demand.count
        return demands

    def serves_soon(self, row: QueueRow, spec: JobSpec) -> int:
        """Waiting tasks that no machine is rented for now: what just came is looked at within a second."""
        if not self.serves(spec):
            return 0
        return self.tasks_served_by_lending.get(row.job, row.waiting if row.waited_s < constants.LEND_FIRST_S else 0)

    def _gpu_type(self, kind: Kind) -> bool:
        known = self.types.get(kind.type)
        return known is not None and known.gpus > 0

    def gpus_to_reserve(self, desk: PreemptionPlanner, now: float) -> dict[str, float]:
        """Free GPUs that lending work leaves alone now, by machine."""
        gpus = sum(
            self.peaks.gpus(team, self.reserve(team), self._guarantee(team), self.used[team], self.keep_s, now)
            for team in {*self.peaks.peaks, *(team for text in self.configurations for team in text.reserve)}
        )
        if gpus <= 0:
            return {}
        images = {
            spec.image
            for job, (record, _) in desk.leader.replica.active.items()
            if (spec := record.spec) is not None and self.serves(spec)
        }
        machines = []
        for room, _ in desk.leader.machine_summaries.values():
            for row in room.rows:
                if row.state == "up" and row.free[2] > 0 and desk.ledger.claim_of(row.machine) is None:
                    site = self._site(row.machine)
                    machines.append(FreeGpus(row.machine, row.free[2], bool(images & site.images), bool(site.replicas)))
        return allocate_reserve(gpus, machines)

    def limit_lending(self, gpus: float, elsewhere: Callable[[Offer], int]) -> Callable[[Offer], int]:
        """``elsewhere`` for a machine on which lending work may take only so many GPUs."""

        def result(offer: Offer) -> int:
            nonlocal gpus
            if self.lends(offer.spec) is None:
                return elsewhere(offer)
            most = max(0, min(offer.left, int(gpus / offer.spec.gpus + 1e-9)))
            gpus -= most * offer.spec.gpus  # if it takes fewer, the rest is for the next report
            return max(elsewhere(offer), offer.left - most)

        return result

    # -- pace --------------------------------------------------------------------

    def limit(self, demand: PreemptionDemand) -> PreemptionLimit:
        """In stops, as the store counts them; each takes a GPU or more, and ``allowed`` counts those."""
        return PreemptionLimit(self._pace("gpus_a_minute"), self._pace("gpus_at_once"))

    def count_returned(
        self, held: Mapping[str, PreemptionClaim], specs: Mapping[str, JobSpec | None], wall: float
    ) -> None:
        """Count the GPUs of claims of this reason that are in the store; ``specs``: of their victims' jobs."""
        for machine, claim in held.items():
            if (machine, claim.at) in self.seen:
                continue
            self.seen.add((machine, claim.at))
            gpus = sum(spec.gpus for job, _, _ in claim.victims if (spec := specs.get(job)) is not None)
            self.returned.append((claim.at, claim.team, gpus))
        least = wall - constants.PREEMPTION_MINUTE_S - constants.PREEMPTION_STEP_S
        self.returned = deque(one for one in self.returned if one[0] > least)
        self.seen = {key for key in self.seen if key[1] > least or key[0] in held}

    # -- the choice ----------------------------------------------------------------

    def set_machine_contents(self, sites: Mapping[str, MachineContents], zone_of: Mapping[str, str]) -> None:
        """What parts told of all their machines."""
        self.sites, self.zone_of = dict(sites), dict(zone_of)

    def _begin(self, machines: Sequence[CandidateMachine]) -> None:
        self.zone_of |= {one.machine: one.kind.zone for one in machines}
        self.where = {(victim.job, victim.index): one.machine for one in machines for victim in one.tasks}
        self.opened: Counter[str] = Counter()  # machine -> victims chosen there
        self.left: dict[str, float] = {}  # team -> GPUs that may still come back for it
        self.whole: set[str] = set()  # machines that could be all free: nothing but lending work is on them
        for one in machines:
            all_gpus = self._gpus(one)
            lent = sum(victim.spec.gpus for victim in one.tasks)
            if all_gpus and one.free[2] + lent >= all_gpus - 1e-9:
                self.whole.add(one.machine)

    def _gpus(self, held: CandidateMachine) -> float:
        kind = self.types.get(held.kind.type)
        return kind.gpus if kind is not None else 0.0

    def select_victims(
        self,
        demands: Iterable[PreemptionDemand],
        machines: Sequence[CandidateMachine],
        budget: PreemptionBudget,
        max_changes: int,
    ) -> list[ClaimGroup]:
        """Claims for the needs; see ``preemption.select_victims``."""
        rules = SelectionRules(self.allowed, self.victim_cost, self.count_victim, self.placement_cost)
        self.count_returned(self.held, self.specs, budget.wall)
        self._begin(machines)
        result: list[ClaimGroup] = []
        taken: set[str] = set()
        rooms = [[one.kind, one.free, ()] for one in machines]
        for demand in demands:
            served = 0
            if demand.spec.id in self.unsure:
                one = ServingJob(demand.spec, 0, zone=demand.zone)
                demand = demand._replace(count=demand.count - self._holds(one, rooms, demand.count))
            for zone, most_there in self._zones(demand):
                if served >= demand.count:
                    break
                self.demand = demand._replace(zone=zone, count=min(demand.count - served, most_there))
                here = [one for one in machines if one.machine not in taken and zone in (None, one.kind.zone)]
                found = preemption.select_victims([self.demand], here, rules, budget, max_changes)
                for group in found:
                    taken.update(group)
                    served += sum(claim.count for claim in group.values())
                result += found
        return result

    def _zones(self, demand: PreemptionDemand) -> list[tuple[str | None, int]]:
        """Where to look, one after the other, and for how many there: no more than ``apart`` allows."""
        spec = demand.spec
        if not spec.spread:
            return [(demand.zone, demand.count)]
        here = self.zones_of(spec)
        cached = Counter(self.zone_of[name] for name, site in self.sites.items() if spec.image in site.images)
        lent = Counter(self.zone_of[name] for name in self.where.values())
        zones = sorted(set(lent), key=lambda zone: (here[zone], -cached[zone], -lent[zone], zone))
        return [
            (zone, quota)
            for zone in zones
            if demand.zone in (None, zone) and (quota := self._quota(spec, here, zone)) > 0
        ]

    def allowed(self, demand: PreemptionDemand, victim: Victim) -> bool:
        spec, team = victim.spec, demand.spec.team
        lends = self.lends(spec)
        if lends is None or not self.serves(demand.spec) or spec.gpus > self._left(team) + 1e-9:
            return False
        beyond = self.teams.beyond(spec)
        if spec.team != team and (demand.spec.id in self.own_only or not beyond):
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
            spent = sum(gpus for _, other, gpus in self.returned if other == team)
            self.left[team] = min(self._pace("gpus_a_minute") - spent, self._pace("gpus_at_once") - self.stopping[team])
        return self.left[team]

    def count_victim(self, victim: Victim, sign: int) -> None:
        team = self.demand.spec.team
        self.left[team] = self._left(team) - sign * victim.spec.gpus
        self.opened[self.where[victim.job, victim.index]] += sign
        self.teams.count_victim(victim.spec, sign)

    def victim_cost(self, victim: Victim) -> float:
        """GPU seconds lost: just saved first, as what is not saved is at risk until its last save is through.

        What was stopped before costs as much more for each time: the same task is not stopped again and again.
        """
        return (
            victim.spec.gpus
            * (1 + victim.stops)
            * (lost_seconds(victim) + constants.LEND_RISK * (victim.saved_s_ago or 0.0))
        )

    def placement_cost(self, demand: PreemptionDemand, held: CandidateMachine) -> float:
        """GPU seconds that replicas' GPUs idle there, and what is to be avoided: see ``constants``."""
        spec, name = demand.spec, held.machine
        if self.opened[name] > 0:
            return 0.0
        cost = constants.LEND_OPEN_S * spec.gpus
        if spec.image not in self._site(name).images:
            kind = self.types.get(held.kind.type)
            fetch_s = spec.image_gb / kind.fetch_gb_per_s if kind is not None and kind.fetch_gb_per_s > 0 else 0.0
            cost += fetch_s * spec.gpus
            if fetch_s >= constants.LEND_HEAVY_S and self._elsewhere(spec, held):
                cost += constants.LEND_AVOID_S
        if name in self.whole and spec.gpus < self._gpus(held):
            last = sum(not self.opened[one] for one in self.whole) <= 1
            cost += 2 * constants.LEND_AVOID_S if last else constants.LEND_OPEN_S * spec.gpus
        return cost

    def _site(self, name: str) -> MachineContents:
        return self.sites.get(name, _NOTHING)

    def _elsewhere(self, spec: JobSpec, held: CandidateMachine) -> bool:
        """Whether another machine that is looked at has the image, fetches it, or is to."""
        for name in set(self.where.values()):
            if (
                self.demand.zone in (None, self.zone_of[name])
                and name != held.machine
                and (self.opened[name] > 0 or spec.image in self._site(name).images)
            ):
                return True
        return False


_NOTHING = MachineContents()
