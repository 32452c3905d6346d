"""Preemption policy of the priority classes in force, used by the leader and the machine shards.

While one configuration replaces another, both are in force and the stricter rule applies.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from typing import TYPE_CHECKING

from alderbridge.claims.records import ClaimGroup
from alderbridge.preemption.budget import PreemptionBudget, PreemptionLimit
from alderbridge.preemption.eligibility import GuaranteeUsage, preemption_allowed
from alderbridge.preemption.model import CandidateMachine, PreemptionDemand, Victim
from alderbridge.preemption.victim_selection import SelectionRules, lost_cpu_seconds, select_victims
from alderbridge.priorities.configuration import PriorityClass, PriorityConfiguration
from alderbridge.priorities.demands import unserved_demands
from alderbridge.protocol.messages import MachineTasks
from alderbridge.protocol.wire import JobSpec
from alderbridge.scheduling.demand import MachineKind

if TYPE_CHECKING:
    from alderbridge.preemption.planner import PreemptionPlanner

REASON = "urgent"


class PriorityPolicy:
    """Lets work of one priority class preempt work of the classes named in its ``may preempt``."""

    reason = REASON

    def __init__(self, configurations: Sequence[PriorityConfiguration]) -> None:
        """``configurations``: all that are in force."""
        self.configurations = list(configurations)
        self.teams = GuaranteeUsage([], {})  # set by the planner before victims are selected
        self._classes_cache: dict[tuple[str, str, str], list[PriorityClass] | None] = {}

    def classes(self, spec: JobSpec) -> list[PriorityClass] | None:
        """Return the job's class in each configuration, or None if any configuration has none for it."""
        key = (spec.team, spec.job_class, spec.priority)
        if key not in self._classes_cache:
            found = [configuration.class_of(spec) for configuration in self.configurations]
            classes = [priority_class for priority_class in found if priority_class is not None]
            self._classes_cache[key] = classes if classes and len(classes) == len(found) else None
        return self._classes_cache[key]

    def may_preempt(self, spec: JobSpec) -> bool:
        """Whether such a job may preempt others at all."""
        classes = self.classes(spec)
        return classes is not None and all(priority_class.may_preempt for priority_class in classes)

    def preemptible(self, spec: JobSpec) -> bool:
        """Whether tasks of such a job may be preempted at all; machine shards report these to the leader."""
        classes = self.classes(spec)
        return classes is not None and all(
            priority_class.preemptible and priority_class.max_preemptions_per_task for priority_class in classes
        )

    def limit(self, demand: PreemptionDemand) -> PreemptionLimit:
        """Return the limits on preemptions caused by the demand's class."""
        classes = self.classes(demand.spec) or []
        return PreemptionLimit(
            min((priority_class.max_preemptions_per_minute for priority_class in classes), default=0),
            min((priority_class.max_concurrent_preemptions for priority_class in classes), default=0),
            min((priority_class.max_share_of_running for priority_class in classes), default=0.0),
        )

    def allowed(self, demand: PreemptionDemand, victim: Victim) -> bool:
        """Whether the protocol and each configuration allow it; only service replicas may preempt service replicas."""
        demand_classes, victim_classes = self.classes(demand.spec), self.classes(victim.spec)
        if demand_classes is None or victim_classes is None or (victim.spec.service and not demand.spec.service):
            return False
        if not preemption_allowed(
            demand.spec, demand.guaranteed, victim.spec, self.teams.exceeds_guarantee(victim.spec)
        ):
            return False
        return all(
            demand_class.names(victim_class)
            and victim_class.preemptible
            and victim.ran_s >= victim_class.min_run_s
            and victim.preemptions < victim_class.max_preemptions_per_task
            and victim.since_first_preemption_s <= victim_class.preemptible_for_s
            for demand_class, victim_class in zip(demand_classes, victim_classes, strict=True)
        )

    def find_demands(self, planner: PreemptionPlanner, now: float) -> list[PreemptionDemand]:
        """Return urgent tasks that cannot start in time without preemption."""
        ledger, leader = planner.ledger, planner.leader
        rows = planner.queue_rows(now)
        if not any(self.may_preempt(spec) for job in rows if (spec := leader.replica.spec(job)) is not None):
            return []
        return unserved_demands(
            self,
            leader.demands(now),
            rows,
            leader.outlook(now, ledger.entries),
            planner.claimed_tasks(),
            ledger.preemptions,
        )

    is_reported = preemptible

    def observe_machines(
        self, rows: Sequence[MachineTasks], kinds: Mapping[str, MachineKind], specs: Callable[[str], JobSpec | None]
    ) -> None:
        """Do nothing: this policy needs no data on machines beyond the candidate victims."""

    def select_victims(
        self,
        demands: list[PreemptionDemand],
        machines: list[CandidateMachine],
        budget: PreemptionBudget,
        max_changes: int,
    ) -> list[ClaimGroup]:
        """Return claims for the demands; see ``victim_selection.select_victims``."""
        rules = SelectionRules(self.allowed, self.victim_cost, self.count_victim)
        return select_victims(demands, machines, rules, budget, max_changes)

    def victim_cost(self, victim: Victim) -> float:
        """Return the CPU seconds lost by preempting the victim."""
        return lost_cpu_seconds(victim)

    def count_victim(self, victim: Victim, sign: int) -> None:
        """Count a victim as selected (``sign`` 1) or no longer selected (-1)."""
        self.teams.count_victim(victim.spec, sign)
