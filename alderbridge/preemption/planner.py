"""Plans preemption claims on the leader and drops claims that are finished. Does no I/O.

Each planning round (``constants.LEADER_ROUND_INTERVAL_S``) drops finished claims and collects the demands of each
policy (priorities, lending). If there are any, the machine shards are asked for their tasks; once all have answered,
victims are selected and the claims are passed to the ledger. Nothing is planned while earlier claims are being written,
nor before the fleet is reconciled after a failover.
"""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from typing import Protocol

from alderbridge import constants
from alderbridge.claims.ledger import Ledger
from alderbridge.claims.records import ClaimGroup, PreemptionClaim, budget_key
from alderbridge.leader.leader import Leader
from alderbridge.preemption.budget import PreemptionBudget, PreemptionLimit
from alderbridge.preemption.eligibility import GuaranteeUsage
from alderbridge.preemption.model import CandidateMachine, PreemptionDemand, Victim
from alderbridge.protocol.messages import MachineSummary, MachineTaskList, MachineTasks, QueueRow
from alderbridge.protocol.wire import JobSpec
from alderbridge.reconciliation import FleetKnowledge
from alderbridge.scheduling.demand import MachineKind
from alderbridge.scheduling.resources import tasks_that_fit

log = logging.getLogger("preemption")


class PreemptionPolicy(Protocol):
    """A source of preemption demands and its rules. The planner sets ``teams`` before victims are selected."""

    reason: str
    teams: GuaranteeUsage

    def find_demands(self, planner: PreemptionPlanner, now: float) -> list[PreemptionDemand]:
        """Return tasks that cannot start in time without preemption, the most urgent first."""

    def is_reported(self, spec: JobSpec) -> bool:
        """Whether machine shards report tasks of such a job to the leader."""

    def observe_machines(
        self, rows: Sequence[MachineTasks], kinds: Mapping[str, MachineKind], specs: Callable[[str], JobSpec | None]
    ) -> None:
        """Process the shards' task lists of all machines; ``kinds``: of the machines that are up."""

    def preemptible(self, spec: JobSpec) -> bool:
        """Whether tasks of such a job may be preempted at all."""

    def limit(self, demand: PreemptionDemand) -> PreemptionLimit:
        """Return the limits on preemptions for the demand."""

    def select_victims(
        self,
        demands: list[PreemptionDemand],
        machines: list[CandidateMachine],
        budget: PreemptionBudget,
        max_changes: int,
    ) -> list[ClaimGroup]:
        """Return claims for the demands; see ``victim_selection.select_victims``."""


class PreemptionPlanner:
    """Plans preemptions for all policies, while this controller is the leader."""

    def __init__(self, leader: Leader, ledger: Ledger) -> None:
        """Read queues and machines from ``leader`` and pass claims to ``ledger``."""
        self.leader, self.ledger = leader, ledger
        self.enter_view([])

    def enter_view(self, members: list[str]) -> None:
        """Enter a new view: discard all that was reported or requested in the previous one."""
        self.members = members
        self.task_lists: dict[str, tuple[MachineTaskList, float]] = {}  # label -> its answer, when it arrived
        self.claimed_machines: dict[str, MachineTasks] = {}  # machines with a claim, as last reported
        self.last_round_at = self.tasks_requested_at = float("-inf")
        self.pending: list[tuple[PreemptionPolicy, list[PreemptionDemand]]] = []  # until all shards have answered
        self.unused_since: dict[str, float] = {}  # machine -> since when its claim has been unused

    def on_task_list(self, label: str, tasks: MachineTaskList, now: float) -> None:
        """Process a shard's report of its machines' tasks; ignored unless the sender is a member of the view."""
        if label not in self.members:
            return
        if tasks.whole:
            self.task_lists[label] = (tasks, now)
        for row in tasks.rows:
            if self.ledger.claim_of(row.machine) is not None:
                self.claimed_machines[row.machine] = row

    def queue_rows(self, now: float) -> dict[str, QueueRow]:
        """Return the rows of all job shards' queues, by job, with their times advanced to ``now``."""
        return {row.job: row for queue in self.leader.queues.values() for row in queue.aged_rows(now)}

    def claimed_tasks(self) -> Counter[str]:
        """Return, by job, the tasks that claims free capacity for.

        This may briefly count too many: tasks that already run there are counted until their claim is dropped.
        """
        result: Counter[str] = Counter()
        for claim in self.ledger.claims().values():
            result[claim.job] += claim.count
        return result

    def remaining_victims(self, machine: str, claim: PreemptionClaim) -> int:
        """Return how many victims of the claim may still be on the machine."""
        row = self.claimed_machines.get(machine)
        if row is None:
            return len(claim.victims)
        present = {(job, index, attempt) for job, index, attempt, _, _ in row.tasks}
        return sum(tuple(victim) in present for victim in claim.victims)

    def stopping_victims(self) -> Counter[str]:
        """Return how many victims may still be on machines, by budget."""
        result: Counter[str] = Counter()
        for machine, claim in self.ledger.claims().items():
            result[budget_key(claim.team, claim.reason)] += self.remaining_victims(machine, claim)
        return result

    def plan(
        self,
        now: float,
        wall: float,
        policies: Sequence[PreemptionPolicy],
        teams: Callable[[], GuaranteeUsage],
        max_changes: int,
    ) -> bool:
        """Advance planning by one step; returns whether the caller must ask all machine shards for their tasks.

        ``wall``: Unix time in s. ``teams``: called when victims are selected. ``max_changes``: maximum number of
        changes in one transaction.
        """
        if not self.leader.ready(now):
            return False
        if now - self.last_round_at >= constants.LEADER_ROUND_INTERVAL_S:
            self._begin_round(now, wall, policies)
            if self.pending:
                self.tasks_requested_at = now
                return True
        if self.pending and self._all_answered():
            if not self.ledger.busy:
                self._confirm_demands(now)
                self._select(wall, teams(), max_changes)
            self.pending = []
        return False

    def _begin_round(self, now: float, wall: float, policies: Sequence[PreemptionPolicy]) -> None:
        self.last_round_at = now
        if self.ledger.entries or self.ledger.preemptions:
            self._drop_finished(now, wall, policies)
        self.pending = []
        reconciled = self.leader.scale_in_guard.knowledge is FleetKnowledge.RECONCILED
        if policies and not self.ledger.busy and reconciled:
            self.pending = [(policy, demands) for policy in policies if (demands := policy.find_demands(self, now))]

    def _all_answered(self) -> bool:
        return all(
            label in self.task_lists and self.task_lists[label][1] >= self.tasks_requested_at for label in self.members
        )

    def _confirm_demands(self, now: float) -> None:
        """Reduce the pending demands to what is still unserved: tasks may have been granted in the meantime."""
        confirmed = []
        for policy, demands in self.pending:
            present = {demand.spec.id: demand.count for demand in policy.find_demands(self, now)}
            counts = [(demand, min(demand.count, present.get(demand.spec.id, 0))) for demand in demands]
            confirmed.append((policy, [demand._replace(count=count) for demand, count in counts if count > 0]))
        self.pending = confirmed

    def _select(self, wall: float, teams: GuaranteeUsage, max_changes: int) -> None:
        """Select victims for the pending demands; each machine is used by at most one policy."""
        kinds = self._machine_kinds()
        rows = [row for tasks, _ in self.task_lists.values() for row in tasks.rows]
        running = sum(len(row.tasks) for row in rows)
        self._count_stopping(teams)
        used_machines: set[str] = set()
        groups: list[ClaimGroup] = []
        for policy, demands in self.pending:
            machines = [
                CandidateMachine(row.machine, kinds[row.machine], row.free, self._victims(row, policy, wall))
                for row in rows
                if row.machine in kinds
                and row.machine not in used_machines
                and self.ledger.claim_of(row.machine) is None
            ]
            policy.teams = teams
            policy.observe_machines(rows, kinds, self.leader.replica.spec)
            budget = PreemptionBudget(self.ledger.usage, wall, self.stopping_victims(), running, policy.limit)
            selected = policy.select_victims(demands, machines, budget, max_changes)
            for group in selected:
                used_machines.update(group)
            groups += selected
        if groups:
            self.ledger.plan(groups)

    def _machine_kinds(self) -> dict[str, MachineKind]:
        """Return the type, zone and spot status of each machine that is up."""
        return {
            row.machine: MachineKind(row.type, row.zone, row.spot)
            for shard, _ in self.leader.machine_summaries.values()
            for row in shard.rows
            if row.state == "up"
        }

    def _count_stopping(self, teams: GuaranteeUsage) -> None:
        """Subtract the remaining victims of stored claims from their teams' usage."""
        for machine, claim in self.ledger.claims().items():
            for job, _, _ in claim.victims[: self.remaining_victims(machine, claim)]:
                spec = self.leader.replica.spec(job)
                if spec is not None:
                    teams.count_victim(spec, 1)

    def _victims(self, row: MachineTasks, policy: PreemptionPolicy, wall: float) -> list[Victim]:
        result, ledger = [], self.ledger
        for job, index, attempt, ran_s, sure in row.tasks:
            spec = self.leader.replica.spec(job)
            if spec is not None and policy.preemptible(spec):
                victim = Victim(
                    job=job,
                    index=index,
                    attempt=attempt,
                    spec=spec,
                    ran_s=ran_s,
                    since_checkpoint_s=ran_s % spec.checkpoint_s if spec.checkpoint_s > 0 else None,
                    preemptions=ledger.preemption_count(job, index),
                    is_run_time_exact=sure,
                    since_first_preemption_s=ledger.seconds_since_first_preemption(job, wall),
                )
                result.append(victim)
        return result

    def _drop_finished(self, now: float, wall: float, policies: Sequence[PreemptionPolicy]) -> None:
        ledger, replica = self.ledger, self.leader.replica
        summaries = {row.machine: row for shard, _ in self.leader.machine_summaries.values() for row in shard.rows}
        waiting = Counter({job: row.waiting + row.inherited for job, row in self.queue_rows(now).items()})
        reasons = {policy.reason for policy in policies}
        for machine, claim in ledger.claims().items():
            remaining = self.remaining_victims(machine, claim)
            if remaining == 0 and machine in self.claimed_machines:
                ledger.entries[machine].mark_cleared()
            summary = summaries.get(machine)
            cause = self._cause_to_drop(claim, summary, wall, claim.reason in reasons or remaining < len(claim.victims))
            if cause:
                ledger.drop(machine, cause)
                continue
            cause = self._cause_unused(machine, claim, summary, waiting[claim.job], remaining)
            if not cause:
                self.unused_since.pop(machine, None)
            elif now - self.unused_since.setdefault(machine, now) >= constants.UNUSED_CLAIM_TTL_S:
                ledger.drop(machine, cause)
        self.claimed_machines = {
            machine: row for machine, row in self.claimed_machines.items() if ledger.claim_of(machine) is not None
        }
        self.unused_since = {
            machine: since for machine, since in self.unused_since.items() if ledger.claim_of(machine) is not None
        }
        for job in [job for job in ledger.preemptions if job in replica.ended]:
            ledger.forget(job)

    def _cause_to_drop(self, claim: PreemptionClaim, summary: MachineSummary | None, wall: float, needed: bool) -> str:
        """Return why the claim must be dropped at once, or "".

        ``needed``: its policy is still in force, or some of its victims have already stopped.
        """
        if self.leader.replica.spec(claim.job) is None or claim.job in self.leader.replica.ended:
            return "its job is over"
        if wall > claim.expires_at:
            return "its time is over"
        if summary is not None and summary.state not in ("up", "expected"):
            return f"the machine is {summary.state}"
        return "" if needed else "nothing is declared any more"

    def _cause_unused(
        self, machine: str, claim: PreemptionClaim, summary: MachineSummary | None, waiting: int, remaining: int
    ) -> str:
        """Return why the claim is unused now, or "".

        A claim is dropped only after ``constants.UNUSED_CLAIM_TTL_S`` without use, because queues and machines are
        reported at different times.
        """
        if summary is None:
            return "the machine is gone"
        if not waiting:
            return "its job wants nothing more"
        spec = self.leader.replica.spec(claim.job)
        assert spec is not None
        if not remaining and not self._remaining_tasks(machine, claim, spec):
            return "its room is used"
        return ""

    def _remaining_tasks(self, machine: str, claim: PreemptionClaim, spec: JobSpec) -> int:
        """Return how many more tasks of its job the claimed capacity can take."""
        row = self.claimed_machines.get(machine)
        return claim.count if row is None else min(claim.count, tasks_that_fit(spec, row.free))
