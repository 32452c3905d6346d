"""The priority classes in force as a preemption policy, for the leader and the machine shards.

While one configuration replaces another both are in force: the stricter counts.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from typing import TYPE_CHECKING

from alderbridge.claims.records import ClaimGroup
from alderbridge.preemption.budget import PreemptionBudget, PreemptionLimit
from alderbridge.preemption.eligibility import Teams, allowed
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
    """Work of urgent classes may preempt work of classes that it names."""

    reason = REASON

    def __init__(self, configurations: Sequence[PriorityConfiguration]) -> None:
        """``configurations``: all that are in force."""
        self.configurations = list(configurations)
        self.teams = Teams([], {})  # as they stand, while victims are chosen: set by the planner
        self._known: dict[tuple[str, str, str], list[PriorityClass] | None] = {}

    def classes(self, spec: JobSpec) -> list[PriorityClass] | None:
        """Return the job's class in each configuration; None where one has none: then no rule speaks of it."""
        key = (spec.team, spec.job_class, spec.priority)
        if key not in self._known:
            found = [configuration.class_of(spec) for configuration in self.configurations]
            known = [one for one in found if one is not None]
            self._known[key] = known if known and len(known) == len(found) else None
        return self._known[key]

    def may_preempt(self, spec: JobSpec) -> bool:
        """Whether work like this may ask for others' room at all."""
        classes = self.classes(spec)
        return classes is not None and all(one.may_preempt for one in classes)

    def preemptible(self, spec: JobSpec) -> bool:
        """Whether work like this may be preempted at all; machine shards report it to the leader."""
        classes = self.classes(spec)
        return classes is not None and all(one.preemptible and one.most_stops for one in classes)

    def limit(self, demand: PreemptionDemand) -> PreemptionLimit:
        """Return how many preemptions the demand's class may cause."""
        classes = self.classes(demand.spec) or []
        return PreemptionLimit(
            min((one.stops_a_minute for one in classes), default=0),
            min((one.stops_at_once for one in classes), default=0),
            min((one.share for one in classes), default=0.0),
        )

    def allowed(self, demand: PreemptionDemand, victim: Victim) -> bool:
        """Whether both the protocol and each configuration allow it; replicas stop only for replicas."""
        ours, theirs = self.classes(demand.spec), self.classes(victim.spec)
        if ours is None or theirs is None or (victim.spec.service and not demand.spec.service):
            return False
        if not allowed(demand.spec, demand.guaranteed, victim.spec, self.teams.beyond(victim.spec)):
            return False
        return all(
            mine.names(other)
            and other.preemptible
            and victim.ran_s >= other.least_run_s
            and victim.stops < other.most_stops
            and victim.since_stop_s <= other.waits_at_most_s
            for mine, other in zip(ours, theirs, strict=True)
        )

    def find_demands(self, planner: PreemptionPlanner, now: float) -> list[PreemptionDemand]:
        """Return urgent work that nothing else serves in time."""
        ledger, leader = planner.ledger, planner.leader
        rows = planner.queue_rows(now)
        if not any(self.may_preempt(spec) for job in rows if (spec := leader.replica.spec(job)) is not None):
            return []
        return unserved_demands(
            self, leader.demands(now), rows, leader.outlook(now, ledger.entries), planner.promised(), ledger.stops
        )

    is_reported = preemptible

    def observe_machines(
        self, rows: Sequence[MachineTasks], kinds: Mapping[str, MachineKind], specs: Callable[[str], JobSpec | None]
    ) -> None:
        """Nothing beside the victims is of use here."""

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
        """Return the CPU seconds that a preemption loses."""
        return lost_cpu_seconds(victim)

    def count_victim(self, victim: Victim, sign: int) -> None:
        """Count a victim as chosen (1), or not after all (-1)."""
        self.teams.count_victim(victim.spec, sign)
