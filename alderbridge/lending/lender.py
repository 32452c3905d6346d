"""Which lent GPUs come back, for which replicas, on which machines. Pure: a policy of the leader's preemption planner.

Demands are replicas within their team's guarantee of GPUs that neither free room nor room that comes free in time
serves. The protocol's "Preemption" is kept to the letter, and beyond it no team is brought below its guarantee for
another.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import TYPE_CHECKING

from alderbridge import constants
from alderbridge.claims.records import ClaimGroup, PreemptionClaim
from alderbridge.jobs.record import JobState
from alderbridge.lending.configuration import LendingConfiguration
from alderbridge.lending.demands import REASON, ServingDemands, ServingJob, gpus_in_use
from alderbridge.lending.fleet import MachineContents, ServingFleet
from alderbridge.lending.pace import ReclaimPace
from alderbridge.lending.reserve import FreeGpus, GpuReserve, allocate_reserve
from alderbridge.lending.rules import LendingRules
from alderbridge.lending.selection import LendingSelection
from alderbridge.preemption import CandidateMachine, PreemptionBudget, PreemptionDemand, PreemptionLimit, Teams
from alderbridge.protocol.messages import MachineTasks, QueueRow
from alderbridge.protocol.wire import JobSpec, MachineType
from alderbridge.scheduling.demand import MachineKind, MachineResource
from alderbridge.scheduling.offers import Offer, order
from alderbridge.settings import Team

if TYPE_CHECKING:
    from alderbridge.preemption.planner import PreemptionPlanner


class CapacityLender:
    """The policy of lending: replicas of services get lent GPUs back."""

    reason = REASON

    def __init__(
        self,
        configurations: Sequence[LendingConfiguration],
        teams: Iterable[Team],
        types: Mapping[str, MachineType],
        before: CapacityLender | None = None,
    ) -> None:
        """``configurations``: all that are in force. ``before``: the lender that this one replaces."""
        self.configurations = list(configurations)
        self.types = types
        self.teams = Teams([], {})  # as they stand, while victims are chosen: set by the planner
        self.rules = LendingRules(configurations, teams)
        self.fleet: ServingFleet = ServingFleet(before.fleet if before is not None else None)
        self.pace: ReclaimPace = ReclaimPace(self.rules, before.pace if before is not None else None)
        self.peaks: GpuReserve = before.peaks if before is not None else GpuReserve()
        self.unserved_since: dict[str, float] = before.unserved_since if before is not None else {}  # job -> since when
        self.serving = ServingDemands(self.rules, self.fleet)
        self.used: Counter[str] = Counter()  # GPUs of each team's replicas, in the last round
        self.tasks_served_by_lending: Counter[str] = Counter()  # job -> waiting replicas that no machine is rented for
        self.claims: dict[str, PreemptionClaim] = {}  # of lending, in the last round
        self.specs: dict[str, JobSpec | None] = {}  # of their victims' jobs

    # -- demands ---------------------------------------------------------------

    def find_demands(self, planner: PreemptionPlanner, now: float) -> list[PreemptionDemand]:
        """Return what replicas need, and note what the leader is not to rent for: claims, and demands of a moment."""
        promised = planner.promised()
        self._observe_claims(planner)
        services = self.services(planner, now)
        self.used = gpus_in_use(services)
        self.peaks.record_use(self.gpu_demand(services), now)
        self.tasks_served_by_lending = Counter(
            {job: count for job, count in promised.items() if any(claim.job == job for claim in self.claims.values())}
        )
        if not any(one.waiting for one in services):
            self.unserved_since = {}
            return []
        resources = [one for one in planner.leader.outlook(now, planner.ledger.entries) if self._has_gpus(one.kind)]
        demands = self.demands(services, resources, _used_by_teams(planner), promised)
        self.unserved_since = {demand.spec.id: self.unserved_since.get(demand.spec.id, now) for demand in demands}
        for demand in demands:
            if now - self.unserved_since[demand.spec.id] < constants.LEND_FIRST_S:
                self.tasks_served_by_lending[demand.spec.id] += demand.count
        return demands

    def demands(
        self,
        services: Iterable[ServingJob],
        resources: Iterable[MachineResource],
        used: Mapping[str, tuple[float, float]],
        promised: Mapping[str, int],
    ) -> list[PreemptionDemand]:
        """Return replicas that nothing else serves in time; see ``ServingDemands.find``."""
        return self.serving.find(services, resources, used, promised)

    def _observe_claims(self, planner: PreemptionPlanner) -> None:
        """Take in the claims of lending, and which of their victims are not gone yet."""
        replica = planner.leader.replica
        self.claims = {machine: claim for machine, claim in planner.ledger.all().items() if claim.reason == REASON}
        self.specs = {job: replica.spec(job) for claim in self.claims.values() for job, _, _ in claim.victims}
        self.pace.stopping = Counter()
        for machine, claim in self.claims.items():
            gone = len(claim.victims) - planner.victims_left(machine, claim)
            self.pace.stopping[claim.team] += sum(  # type: ignore[assignment]
                spec.gpus for job, _, _ in claim.victims[gone:] if (spec := self.specs[job]) is not None
            )

    def services(self, planner: PreemptionPlanner, now: float) -> list[ServingJob]:
        """Return the services that lending serves, as their rows and records stand."""
        rows, result = planner.queue_rows(now), []
        for job, (record, _) in planner.leader.replica.active.items():
            spec = record.spec
            if record.state is JobState.ACTIVE and spec is not None and self.rules.serves(spec) and not spec.needs:
                row = rows.get(job) or QueueRow(job, 0, 0, math.inf, 0.0, None, 0.0, False, False)
                service = ServingJob(
                    spec=spec,
                    on=max(0, spec.tasks - row.waiting),
                    waiting=row.waiting,
                    offer=row.offer,
                    due_in_s=row.due_in_s,
                    zone=row.zone,
                    guaranteed=row.guaranteed,
                    order=(*order(row, spec, row.due_in_s), job),
                )
                result.append(service)
        return result

    def gpu_demand(self, services: Sequence[ServingJob]) -> dict[str, float]:
        """Return the GPUs of each team's replicas with those that wait, no more than it has or is guaranteed."""
        used = gpus_in_use(services)
        with_waiting = gpus_in_use(one._replace(on=one.on + one.waiting) for one in services)
        return {team: min(gpus, max(self.rules.guarantee(team), used[team])) for team, gpus in with_waiting.items()}

    def serves_soon(self, row: QueueRow, spec: JobSpec) -> int:
        """Return the waiting tasks that no machine is rented for now: what just came is planned for within a second."""
        if not self.rules.serves(spec):
            return 0
        return self.tasks_served_by_lending.get(row.job, row.waiting if row.waited_s < constants.LEND_FIRST_S else 0)

    def _has_gpus(self, kind: MachineKind) -> bool:
        known = self.types.get(kind.type)
        return known is not None and known.gpus > 0

    # -- what the planner asks -------------------------------------------------

    def is_reported(self, spec: JobSpec) -> bool:
        """Whether machine shards report such a task to the leader: it may be preempted, or it is a replica."""
        return self.rules.preemptible(spec) or self.rules.serves(spec)

    def preemptible(self, spec: JobSpec) -> bool:
        """Whether the job's tasks may be preempted at all."""
        return self.rules.preemptible(spec)

    def limit(self, demand: PreemptionDemand | None) -> PreemptionLimit:
        """Return the limit in tasks, as the store counts them; each takes a GPU or more, and ``pace`` counts those."""
        return PreemptionLimit(self.rules.gpus_a_minute, self.rules.gpus_at_once)

    def observe_machines(
        self, rows: Sequence[MachineTasks], kinds: Mapping[str, MachineKind], specs: Callable[[str], JobSpec | None]
    ) -> None:
        """Take in images and replicas of all machines that are up."""
        contents = {}
        for row in rows:
            replicas = Counter(
                job for job, *_ in row.tasks if (spec := specs(job)) is not None and self.rules.serves(spec)
            )
            if row.machine in kinds and (replicas or row.images):
                contents[row.machine] = MachineContents(frozenset(row.images), replicas)
        self.fleet.update(contents, {name: kinds[name].zone for name in contents})

    def select_victims(
        self,
        demands: Iterable[PreemptionDemand],
        machines: Sequence[CandidateMachine],
        budget: PreemptionBudget,
        max_changes: int,
    ) -> list[ClaimGroup]:
        """Return claims for the demands; see ``preemption.select_victims``."""
        self.pace.count_returned(self.claims, self.specs, budget.wall)
        selection = LendingSelection(self.serving, self.pace, self.types, self.teams, machines)
        return selection.select(demands, budget, max_changes)

    # -- what is not lent --------------------------------------------------------

    def gpus_to_reserve(self, planner: PreemptionPlanner, now: float) -> dict[str, float]:
        """Return the free GPUs that lending work leaves alone now, by machine."""
        rules = self.rules
        gpus = sum(
            self.peaks.gpus(team, rules.reserve(team), rules.guarantee(team), self.used[team], rules.keep_s, now)
            for team in {*self.peaks.peaks, *rules.teams_with_reserve()}
        )
        if gpus <= 0:
            return {}
        images = {
            spec.image
            for record, _ in planner.leader.replica.active.values()
            if (spec := record.spec) is not None and rules.serves(spec)
        }
        machines = []
        for room, _ in planner.leader.machine_summaries.values():
            for row in room.rows:
                if row.state == "up" and row.free[2] > 0 and planner.ledger.claim_of(row.machine) is None:
                    contents = self.fleet.contents_of(row.machine)
                    cached, serves = bool(images & contents.images), bool(contents.replicas)
                    machines.append(FreeGpus(row.machine, row.free[2], cached, serves))
        return allocate_reserve(gpus, machines)

    def limit_lending(self, gpus: float, elsewhere: Callable[[Offer], int]) -> Callable[[Offer], int]:
        """Return ``elsewhere`` for a machine on which lending work may take only so many GPUs."""

        def result(offer: Offer) -> int:
            nonlocal gpus
            if self.rules.lends(offer.spec) is None:
                return elsewhere(offer)
            most = max(0, min(offer.left, int(gpus / offer.spec.gpus + 1e-9)))
            gpus -= most * offer.spec.gpus  # if it takes fewer, the rest is for the next heartbeat
            return max(elsewhere(offer), offer.left - most)

        return result


def _used_by_teams(planner: PreemptionPlanner) -> dict[str, tuple[float, float]]:
    """Cpus and GPUs of each team's tasks, from all queues."""
    cpus: Counter[str] = Counter()
    gpus: Counter[str] = Counter()
    for queue in planner.leader.queues.values():
        for team, amounts in queue.used.items():
            cpus[team] += amounts[0]  # type: ignore[assignment]
            gpus[team] += amounts[1]  # type: ignore[assignment]
    return {team: (cpus[team], gpus[team]) for team in cpus}
