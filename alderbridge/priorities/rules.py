"""The declared classes in force, asked by the leader's desk and the parts. Two texts hold at once: the stricter."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from typing import TYPE_CHECKING

from alderbridge.preemption.budget import PreemptionBudget, PreemptionLimit
from alderbridge.preemption.eligibility import Teams, allowed
from alderbridge.preemption.model import CandidateMachine, ClaimGroup, PreemptionDemand, Victim
from alderbridge.preemption.victim_selection import SelectionRules, lost_cpu_seconds, select_victims
from alderbridge.priorities.declaration import PriorityClass, Text
from alderbridge.priorities.needs import needs
from alderbridge.protocol.messages import MachineTasks
from alderbridge.protocol.wire import JobSpec
from alderbridge.scheduling.policy import MachineKind

if TYPE_CHECKING:
    from alderbridge.preemption.planner import PreemptionPlanner

REASON = "urgent"


class Rules:
    reason = REASON

    def __init__(self, texts: Sequence[Text]) -> None:
        self.texts = list(texts)
        self.teams = Teams([], {})  # as they stand, while victims are chosen: set by the desk
        self._known: dict[tuple[str, str, str], list[PriorityClass] | None] = {}

    def classes(self, spec: JobSpec) -> list[PriorityClass] | None:
        """The job's class in each text in force; None where one has none: then no rule speaks of it."""
        key = (spec.team, spec.job_class, spec.priority)
        if key not in self._known:
            found = [text.of(spec) for text in self.texts]
            self._known[key] = None if not found or None in found else found
        return self._known[key]

    def needs(self, spec: JobSpec) -> bool:
        """Whether work like this may ask for others' room at all."""
        classes = self.classes(spec)
        return classes is not None and all(one.may_preempt for one in classes)

    def preemptible(self, spec: JobSpec) -> bool:
        classes = self.classes(spec)
        return classes is not None and all(one.preemptible and one.most_stops for one in classes)

    def limit(self, need: PreemptionDemand) -> PreemptionLimit:
        classes = self.classes(need.spec) or []
        return PreemptionLimit(
            min((one.stops_a_minute for one in classes), default=0),
            min((one.stops_at_once for one in classes), default=0),
            min((one.share for one in classes), default=0.0),
        )

    def allowed(self, need: PreemptionDemand, victim: Victim) -> bool:
        """The protocol first, then each text; replicas stop only for replicas."""
        ours, theirs = self.classes(need.spec), self.classes(victim.spec)
        if ours is None or theirs is None or (victim.spec.service and not need.spec.service):
            return False
        if not allowed(need.spec, need.guaranteed, victim.spec, self.teams.beyond(victim.spec)):
            return False
        return all(
            mine.names(other)
            and other.preemptible
            and victim.ran_s >= other.least_run_s
            and victim.stops < other.most_stops
            and victim.since_stop_s <= other.waits_at_most_s
            for mine, other in zip(ours, theirs, strict=True)
        )

    def find_demands(self, desk: PreemptionPlanner, now: float) -> list[PreemptionDemand]:
        ledger, leader = desk.ledger, desk.leader
        rows = desk.queue_rows(now)
        if not any(self.needs(spec) for job in rows if (spec := leader.replica.spec(job)) is not None):
            return []
        return needs(
            self, leader.demands(now), rows, leader.outlook(now, ledger.entries), desk.promised(), ledger.stops
        )

    is_reported = preemptible  # parts tell the leader of these

    def observe_machines(
        self, rows: Sequence[MachineTasks], kinds: Mapping[str, MachineKind], specs: Callable[[str], JobSpec | None]
    ) -> None:
        """Nothing beside the victims is of use here."""

    def select_victims(
        self,
        needs: list[PreemptionDemand],
        machines: list[CandidateMachine],
        budget: PreemptionBudget,
        max_changes: int,
    ) -> list[ClaimGroup]:
        rules = SelectionRules(self.allowed, self.victim_cost, self.count_victim)
        return select_victims(needs, machines, rules, budget, max_changes)

    def victim_cost(self, victim: Victim) -> float:
        return lost_cpu_seconds(victim)

    def count_victim(self, victim: Victim, sign: int) -> None:
        self.teams.count_victim(victim.spec, sign)
