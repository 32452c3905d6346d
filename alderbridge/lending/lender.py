"""The preemption policy of lending: reclaims lent GPUs for replicas of services.

Demands are replicas, within their team's GPU guarantee, that no free capacity can hold in time. Victims are chosen by
the protocol's "Preemption"; in addition, no team is brought below its guarantee for another team.
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
from alderbridge.preemption import CandidateMachine, GuaranteeUsage, PreemptionBudget, PreemptionDemand, PreemptionLimit
from alderbridge.protocol.messages import MachineTasks, QueueRow
from alderbridge.protocol.wire import JobSpec, MachineType
from alderbridge.scheduling.demand import MachineKind, MachineResource
from alderbridge.scheduling.offers import Offer, placement_key
from alderbridge.settings import Team

if TYPE_CHECKING:
    from alderbridge.preemption.planner import PreemptionPlanner


class CapacityLender:
    """Finds replicas that need reclaimed GPUs, and chooses the lending tasks to preempt for them."""

    reason = REASON

    def __init__(
        self,
        configurations: Sequence[LendingConfiguration],
        teams: Iterable[Team],
        types: Mapping[str, MachineType],
        previous: CapacityLender | None = None,
    ) -> None:
        """``configurations``: all that are in force. ``previous``: the lender that this one replaces."""
        self.configurations = list(configurations)
        self.types = types
        self.teams = GuaranteeUsage([], {})  # set by the planner before victims are chosen
        self.rules = LendingRules(configurations, teams)
        self.fleet: ServingFleet = ServingFleet(previous.fleet if previous is not None else None)
        self.pace: ReclaimPace = ReclaimPace(self.rules, previous.pace if previous is not None else None)
        self.gpu_reserve: GpuReserve = previous.gpu_reserve if previous is not None else GpuReserve()
        # job -> time of its first unserved demand
        self.unserved_since: dict[str, float] = previous.unserved_since if previous is not None else {}
        self.serving_demands = ServingDemands(self.rules, self.fleet)
        self.used: Counter[str] = Counter()  # GPUs of each team's placed replicas in the last round
        self.tasks_served_by_lending: Counter[str] = Counter()  # job -> waiting replicas to rent no machine for
        self.claims: dict[str, PreemptionClaim] = {}  # lending claims by machine, as of the last round
        self.specs: dict[str, JobSpec | None] = {}  # of the jobs of the claims' victims

    def find_demands(self, planner: PreemptionPlanner, now: float) -> list[PreemptionDemand]:
        """Return replicas that need preemption, and update ``tasks_served_by_lending``.

        The latter holds the replicas of claims and of demands younger than ``LENDING_HEAD_START_S``.
        """
        claimed_tasks = planner.claimed_tasks()
        self._observe_claims(planner)
        services = self.services(planner, now)
        self.used = gpus_in_use(services)
        self.gpu_reserve.record_use(self.gpu_demand(services), now)
        self.tasks_served_by_lending = Counter(
            {
                job: count
                for job, count in claimed_tasks.items()
                if any(claim.job == job for claim in self.claims.values())
            }
        )
        if not any(service.waiting for service in services):
            self.unserved_since = {}
            return []
        resources = [one for one in planner.leader.outlook(now, planner.ledger.entries) if self._has_gpus(one.kind)]
        demands = self.unserved_demands(services, resources, _used_by_teams(planner), claimed_tasks)
        self.unserved_since = {demand.spec.id: self.unserved_since.get(demand.spec.id, now) for demand in demands}
        for demand in demands:
            if now - self.unserved_since[demand.spec.id] < constants.LENDING_HEAD_START_S:
                self.tasks_served_by_lending[demand.spec.id] += demand.count
        return demands

    def unserved_demands(
        self,
        services: Iterable[ServingJob],
        resources: Iterable[MachineResource],
        used: Mapping[str, tuple[float, float]],
        claimed_tasks: Mapping[str, int],
    ) -> list[PreemptionDemand]:
        """Return replicas that need preemption to start in time; see ``ServingDemands.find``."""
        return self.serving_demands.find(services, resources, used, claimed_tasks)

    def _observe_claims(self, planner: PreemptionPlanner) -> None:
        """Update the lending claims, and the GPUs of their victims that may still run."""
        replica = planner.leader.replica
        self.claims = {machine: claim for machine, claim in planner.ledger.claims().items() if claim.reason == REASON}
        self.specs = {job: replica.spec(job) for claim in self.claims.values() for job, _, _ in claim.victims}
        self.pace.stopping = Counter()
        for machine, claim in self.claims.items():
            stopped = len(claim.victims) - planner.remaining_victims(machine, claim)
            self.pace.stopping[claim.team] += sum(  # type: ignore[assignment]
                spec.gpus for job, _, _ in claim.victims[stopped:] if (spec := self.specs[job]) is not None
            )

    def services(self, planner: PreemptionPlanner, now: float) -> list[ServingJob]:
        """Return the active services that GPUs are reclaimed for, with their current queue rows."""
        rows, result = planner.queue_rows(now), []
        for job, (record, _) in planner.leader.replica.active_jobs.items():
            spec = record.spec
            if (
                record.state is JobState.ACTIVE
                and spec is not None
                and self.rules.serves(spec)
                and not spec.dependencies
            ):
                row = rows.get(job) or QueueRow(job, 0, 0, math.inf, 0.0, None, 0.0, False, False)
                service = ServingJob(
                    spec=spec,
                    placed=max(0, spec.tasks - row.waiting),
                    waiting=row.waiting,
                    offer=row.offer,
                    due_in_s=row.due_in_s,
                    zone=row.zone,
                    guaranteed=row.guaranteed,
                    order=(*placement_key(row, spec, row.due_in_s), job),
                )
                result.append(service)
        return result

    def gpu_demand(self, services: Sequence[ServingJob]) -> dict[str, float]:
        """Return the GPUs of each team's placed and waiting replicas, up to the larger of its guarantee and its use."""
        used = gpus_in_use(services)
        with_waiting = gpus_in_use(service._replace(placed=service.placed + service.waiting) for service in services)
        return {team: min(gpus, max(self.rules.guarantee(team), used[team])) for team, gpus in with_waiting.items()}

    def unrented_tasks(self, row: QueueRow, spec: JobSpec) -> int:
        """Return how many waiting tasks no machine is rented for now.

        All tasks of a job that has just arrived count, as lending has not planned for it yet.
        """
        if not self.rules.serves(spec):
            return 0
        return self.tasks_served_by_lending.get(
            row.job, row.waiting if row.waited_s < constants.LENDING_HEAD_START_S else 0
        )

    def _has_gpus(self, kind: MachineKind) -> bool:
        machine_type = self.types.get(kind.type)
        return machine_type is not None and machine_type.gpus > 0

    def is_reported(self, spec: JobSpec) -> bool:
        """Whether machine shards report the job's tasks to the leader: preemptible tasks and replicas of services."""
        return self.rules.preemptible(spec) or self.rules.serves(spec)

    def preemptible(self, spec: JobSpec) -> bool:
        """Whether the job's tasks may be preempted at all."""
        return self.rules.preemptible(spec)

    def limit(self, demand: PreemptionDemand | None) -> PreemptionLimit:
        """Return the limit in tasks, as counted in the store; ``ReclaimPace`` enforces the same limits in GPUs."""
        return PreemptionLimit(self.rules.gpus_per_minute, self.rules.max_stopping_gpus)

    def observe_machines(
        self, rows: Sequence[MachineTasks], kinds: Mapping[str, MachineKind], specs: Callable[[str], JobSpec | None]
    ) -> None:
        """Update the images and replicas of all machines that are up."""
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
        self.pace.count_reclaimed(self.claims, self.specs, budget.wall_time)
        selection = LendingSelection(self.serving_demands, self.pace, self.types, self.teams, machines)
        return selection.select(demands, budget, max_changes)

    def gpus_to_reserve(self, planner: PreemptionPlanner, now: float) -> dict[str, float]:
        """Return the free GPUs that are reserved for replicas now, by machine."""
        rules = self.rules
        gpus = sum(
            self.gpu_reserve.gpus_to_reserve(
                team, rules.reserve(team), rules.guarantee(team), self.used[team], rules.retention_s, now
            )
            for team in {*self.gpu_reserve.peaks, *rules.teams_with_reserve()}
        )
        if gpus <= 0:
            return {}
        images = {
            spec.image
            for record, _ in planner.leader.replica.active_jobs.values()
            if (spec := record.spec) is not None and rules.serves(spec)
        }
        machines = []
        for summaries, _ in planner.leader.machine_summaries.values():
            for row in summaries.rows:
                if row.state == "up" and row.free[2] > 0 and planner.ledger.claim_of(row.machine) is None:
                    contents = self.fleet.contents_of(row.machine)
                    cached, serves = bool(images & contents.images), bool(contents.replicas)
                    machines.append(FreeGpus(row.machine, row.free[2], cached, serves))
        return allocate_reserve(gpus, machines)

    def limit_lending(self, gpus: float, elsewhere: Callable[[Offer], int]) -> Callable[[Offer], int]:
        """Wrap ``elsewhere`` for a machine on which lending work may use at most ``gpus`` GPUs.

        ``elsewhere`` returns how many tasks of an offer are left to other machines.
        """

        def result(offer: Offer) -> int:
            nonlocal gpus
            if self.rules.lends(offer.spec) is None:
                return elsewhere(offer)
            limit = max(0, min(offer.remaining, int(gpus / offer.spec.gpus + 1e-9)))
            gpus -= limit * offer.spec.gpus  # GPUs that the offer then does not use stay free until the next heartbeat
            return max(elsewhere(offer), offer.remaining - limit)

        return result


def _used_by_teams(planner: PreemptionPlanner) -> dict[str, tuple[float, float]]:
    """Cpus and GPUs of each team's tasks, summed over all job shards."""
    cpus: Counter[str] = Counter()
    gpus: Counter[str] = Counter()
    for queue in planner.leader.queues.values():
        for team, amounts in queue.used.items():
            cpus[team] += amounts[0]  # type: ignore[assignment]
            gpus[team] += amounts[1]  # type: ignore[assignment]
    return {team: (cpus[team], gpus[team]) for team in cpus}
