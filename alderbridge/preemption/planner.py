"""The leader's side of claims: which policy needs room, what is planned for it, which claims are over. Pure.

A round, once a second: claims that are over are dropped; each policy (priorities, lending) names its demands; if there
are any, the machine shards are asked for their tasks. When all have answered, victims are chosen and the ledger gets
the claims. Nothing is planned while claims are on their way, nor before the fleet is reconciled after a failover.
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
from alderbridge.preemption.eligibility import Teams
from alderbridge.preemption.model import CandidateMachine, PreemptionDemand, Victim
from alderbridge.protocol.messages import MachineSummary, MachineTaskList, MachineTasks, QueueRow
from alderbridge.protocol.wire import JobSpec
from alderbridge.reconciliation import FleetKnowledge
from alderbridge.scheduling.demand import MachineKind
from alderbridge.scheduling.resources import fits

log = logging.getLogger("preemption")


class PreemptionPolicy(Protocol):
    """Who may ask for others' room: its reason, its rules. ``teams`` is set before victims are chosen."""

    reason: str
    teams: Teams

    def find_demands(self, planner: PreemptionPlanner, now: float) -> list[PreemptionDemand]:
        """Return what nothing else serves in time, the most urgent first."""

    def is_reported(self, spec: JobSpec) -> bool:
        """Whether machine shards report such tasks to the leader."""

    def observe_machines(
        self, rows: Sequence[MachineTasks], kinds: Mapping[str, MachineKind], specs: Callable[[str], JobSpec | None]
    ) -> None:
        """Take in what the shards reported of all machines; ``kinds``: of those that are up."""

    def preemptible(self, spec: JobSpec) -> bool:
        """Whether such tasks may be victims at all."""

    def limit(self, demand: PreemptionDemand) -> PreemptionLimit:
        """Return how many preemptions the demand may cause."""

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
        """Read what ``leader`` knows of queues and machines; claims go to ``ledger``."""
        self.leader, self.ledger = leader, ledger
        self.enter([])

    def enter(self, members: list[str]) -> None:
        """Begin a new view: nothing that was reported or asked under the one before counts."""
        self.members = members
        self.task_lists: dict[str, tuple[MachineTaskList, float]] = {}  # label -> its answer to ``ListMachineTasks``
        self.claimed_machines: dict[str, MachineTasks] = {}  # machines with a claim, as last reported
        self.round_at = self.asked_at = float("-inf")
        self.pending: list[tuple[PreemptionPolicy, list[PreemptionDemand]]] = []  # until the shards have answered
        self.unused_since: dict[str, float] = {}  # machine -> since when its claim serves nothing more

    # -- what is known -------------------------------------------------------

    def on_tasks(self, label: str, tasks: MachineTaskList, now: float) -> None:
        """Take in a shard's report of its machines' tasks."""
        if label not in self.members:
            return
        if tasks.whole:
            self.task_lists[label] = (tasks, now)
        for row in tasks.rows:
            if self.ledger.claim_of(row.machine) is not None:
                self.claimed_machines[row.machine] = row

    def queue_rows(self, now: float) -> dict[str, QueueRow]:
        """Return the rows of all job shards' queues, by job, with their times as they stand."""
        return {row.job: row for queue in self.leader.queues.values() for row in queue.aged_rows(now)}

    def promised(self) -> Counter[str]:
        """Return the tasks of each job that claims make room for; for a moment too many when some already run there."""
        result: Counter[str] = Counter()
        for claim in self.ledger.all().values():
            result[claim.job] += claim.count
        return result

    def victims_left(self, machine: str, claim: PreemptionClaim) -> int:
        """Return how many victims are not known to be gone."""
        row = self.claimed_machines.get(machine)
        if row is None:
            return len(claim.victims)
        present = {(job, index, attempt) for job, index, attempt, _, _ in row.tasks}
        return sum(tuple(victim) in present for victim in claim.victims)

    def stopping(self) -> Counter[str]:
        """Return how many victims are not known to be gone, by budget."""
        result: Counter[str] = Counter()
        for machine, claim in self.ledger.all().items():
            result[budget_key(claim.team, claim.reason)] += self.victims_left(machine, claim)
        return result

    # -- planning ------------------------------------------------------------

    def plan(
        self,
        now: float,
        wall: float,
        policies: Sequence[PreemptionPolicy],
        teams: Callable[[], Teams],
        max_changes: int,
    ) -> bool:
        """Go one step on; True: the machine shards are to be asked for their tasks.

        ``wall``: time of day, in s. ``teams``: called when victims are chosen. ``max_changes``: that one transaction
        takes.
        """
        if not self.leader.ready(now):
            return False
        if now - self.round_at >= constants.LEADER_ROUND_S:
            self._begin_round(now, wall, policies)
            if self.pending:
                self.asked_at = now
                return True
        if self.pending and self._all_answered():
            if not self.ledger.busy:
                self._confirm_demands(now)
                self._select(wall, teams(), max_changes)
            self.pending = []
        return False

    def _begin_round(self, now: float, wall: float, policies: Sequence[PreemptionPolicy]) -> None:
        self.round_at = now
        if self.ledger.entries or self.ledger.stops:
            self._drop_finished(now, wall, policies)
        self.pending = []
        reconciled = self.leader.scale_in_guard.knowledge is FleetKnowledge.RECONCILED
        if policies and not self.ledger.busy and reconciled:
            self.pending = [(policy, demands) for policy in policies if (demands := policy.find_demands(self, now))]

    def _all_answered(self) -> bool:
        return all(label in self.task_lists and self.task_lists[label][1] >= self.asked_at for label in self.members)

    def _confirm_demands(self, now: float) -> None:
        """Of the pending demands, what is still there: tasks may have been granted while the shards were asked."""
        confirmed = []
        for policy, demands in self.pending:
            present = {demand.spec.id: demand.count for demand in policy.find_demands(self, now)}
            counts = [(demand, min(demand.count, present.get(demand.spec.id, 0))) for demand in demands]
            confirmed.append((policy, [demand._replace(count=count) for demand, count in counts if count > 0]))
        self.pending = confirmed

    def _select(self, wall: float, teams: Teams, max_changes: int) -> None:
        """Choose victims for the pending demands, each machine for one policy."""
        kinds = self._kinds()
        rows = [row for tasks, _ in self.task_lists.values() for row in tasks.rows]
        running = sum(len(row.tasks) for row in rows)
        self._count_stopping(teams)
        taken: set[str] = set()
        groups: list[ClaimGroup] = []
        for policy, demands in self.pending:
            machines = [
                CandidateMachine(row.machine, kinds[row.machine], row.free, self._victims(row, policy, wall))
                for row in rows
                if row.machine in kinds and row.machine not in taken and self.ledger.claim_of(row.machine) is None
            ]
            policy.teams = teams
            policy.observe_machines(rows, kinds, self.leader.replica.spec)
            budget = PreemptionBudget(self.ledger.spent, wall, self.stopping(), running, policy.limit)
            chosen = policy.select_victims(demands, machines, budget, max_changes)
            for group in chosen:
                taken.update(group)
            groups += chosen
        if groups:
            self.ledger.plan(groups)

    def _kinds(self) -> dict[str, MachineKind]:
        """What each machine that is up was rented as."""
        return {
            row.machine: MachineKind(row.type, row.zone, row.spot)
            for room, _ in self.leader.machine_summaries.values()
            for row in room.rows
            if row.state == "up"
        }

    def _count_stopping(self, teams: Teams) -> None:
        """Take the victims of standing claims from what their teams use."""
        for machine, claim in self.ledger.all().items():
            for job, _, _ in claim.victims[: self.victims_left(machine, claim)]:
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
                    saved_s_ago=ran_s % spec.checkpoint_s if spec.checkpoint_s > 0 else None,
                    stops=ledger.stops_of(job, index),
                    sure=sure,
                    since_stop_s=ledger.stopped_since(job, wall),
                )
                result.append(victim)
        return result

    # -- claims that are over --------------------------------------------------

    def _drop_finished(self, now: float, wall: float, policies: Sequence[PreemptionPolicy]) -> None:
        ledger, replica = self.ledger, self.leader.replica
        rooms = {row.machine: row for room, _ in self.leader.machine_summaries.values() for row in room.rows}
        waiting = Counter({job: row.waiting + row.inherited for job, row in self.queue_rows(now).items()})
        reasons = {policy.reason for policy in policies}
        for machine, claim in ledger.all().items():
            left = self.victims_left(machine, claim)
            if left == 0 and machine in self.claimed_machines:
                ledger.entries[machine].mark_cleared()
            room = rooms.get(machine)
            cause = self._cause_to_drop(claim, room, wall, claim.reason in reasons or left < len(claim.victims))
            if cause:
                ledger.drop(machine, cause)
                continue
            cause = self._cause_of_disuse(machine, claim, room, waiting[claim.job], left)
            if not cause:
                self.unused_since.pop(machine, None)
            elif now - self.unused_since.setdefault(machine, now) >= constants.CLAIM_UNUSED_S:
                ledger.drop(machine, cause)
        self.claimed_machines = {
            machine: row for machine, row in self.claimed_machines.items() if ledger.claim_of(machine) is not None
        }
        self.unused_since = {
            machine: at for machine, at in self.unused_since.items() if ledger.claim_of(machine) is not None
        }
        for job in [job for job in ledger.stops if job in replica.ended]:
            ledger.forget(job)

    def _cause_to_drop(self, claim: PreemptionClaim, room: MachineSummary | None, wall: float, needed: bool) -> str:
        """Why the claim is to go at once; "": it stays. ``needed``: its policy stands, or victims have gone."""
        if self.leader.replica.spec(claim.job) is None or claim.job in self.leader.replica.ended:
            return "its job is over"
        if wall > claim.until:
            return "its time is over"
        if room is not None and room.state not in ("up", "expected"):
            return f"the machine is {room.state}"
        return "" if needed else "nothing is declared any more"

    def _cause_of_disuse(
        self, machine: str, claim: PreemptionClaim, room: MachineSummary | None, waiting: int, left: int
    ) -> str:
        """Why the claim serves nothing now, for which it goes after a while; "": it does serve."""
        if room is None:
            return "the machine is gone"
        if not waiting:
            return "its job wants nothing more"
        spec = self.leader.replica.spec(claim.job)
        assert spec is not None
        if not left and not self._outstanding(machine, claim, spec):
            return "its room is used"
        return ""

    def _outstanding(self, machine: str, claim: PreemptionClaim, spec: JobSpec) -> int:
        """How many of its tasks the claim's room has yet to take."""
        row = self.claimed_machines.get(machine)
        return claim.count if row is None else min(claim.count, fits(spec, row.free))
