"""The leader's side of claims: when to look, whom to ask, what to plan, which claims are over. Pure.

A look, once a second: what is over goes; each source (urgency, lending) names its needs; if there are any, the parts
are asked for their tasks. When all have answered, victims are chosen and the ledger gets the claims. Nothing is
planned while claims are on their way, nor before the fleet is squared after a fall.
"""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from typing import Protocol

from alderbridge import constants
from alderbridge.leader.leader import Leader
from alderbridge.preemption.budget import PreemptionBudget, PreemptionLimit
from alderbridge.preemption.eligibility import Teams
from alderbridge.preemption.ledger import Ledger
from alderbridge.preemption.records import PreemptionClaim, budget_key
from alderbridge.preemption.victim_selection import CandidateMachine, ClaimGroup, PreemptionDemand, Victim
from alderbridge.protocol.messages import MachineTaskList, MachineTasks, QueueRow
from alderbridge.protocol.wire import JobSpec
from alderbridge.reconciliation import FleetKnowledge
from alderbridge.scheduling.placement import fits
from alderbridge.scheduling.policy import Kind

log = logging.getLogger("preemption")


class PreemptionPolicy(Protocol):
    """Who has needs: its reason, its rules. ``teams`` is set before victims are chosen."""

    reason: str
    teams: Teams

    def find_demands(self, desk: PreemptionPlanner, now: float) -> list[PreemptionDemand]: ...

    def is_reported(self, spec: JobSpec) -> bool: ...

    def observe_machines(
        self, rows: Sequence[MachineTasks], kinds: Mapping[str, Kind], specs: Callable[[str], JobSpec | None]
    ) -> None: ...

    def select_victims(
        self,
        needs: list[PreemptionDemand],
        machines: list[CandidateMachine],
        budget: PreemptionBudget,
        wall: float,
        most: int,
    ) -> list[ClaimGroup]: ...

    def preemptible(self, spec: JobSpec) -> bool: ...

    def limit(self, need: PreemptionDemand) -> PreemptionLimit: ...

    def allowed(self, need: PreemptionDemand, victim: Victim) -> bool: ...

    def count_victim(self, victim: Victim, sign: int) -> None: ...

    def victim_cost(self, victim: Victim) -> float: ...

    def placement_cost(self, need: PreemptionDemand, held: CandidateMachine) -> float: ...


class PreemptionPlanner:
    def __init__(self, leader: Leader, ledger: Ledger) -> None:
        self.leader, self.ledger = leader, ledger
        self.enter([])

    def enter(self, members: list[str]) -> None:
        """A new view: nothing that was told or asked under the one before counts."""
        self.members = members
        self.task_lists: dict[str, tuple[MachineTaskList, float]] = {}  # label -> its answer to ``Show``
        self.rows: dict[str, MachineTasks] = {}  # machines with a claim, as last told
        self.looked_at = self.asked_at = float("-inf")
        self.wanted: list[tuple[PreemptionPolicy, list[PreemptionDemand]]] = []
        self.since: dict[str, float] = {}  # machine -> since when its claim serves nothing more

    # -- what is known -------------------------------------------------------

    def on_tasks(self, label: str, tasks: MachineTaskList, now: float) -> None:
        if label not in self.members:
            return
        if tasks.whole:
            self.task_lists[label] = (tasks, now)
        for row in tasks.rows:
            if self.ledger.claim_of(row.machine) is not None:
                self.rows[row.machine] = row

    def queue_rows(self, now: float) -> dict[str, QueueRow]:
        """The rows of all homes' queues, by job, with their times as they stand."""
        return {row.job: row for queue in self.leader.queues.values() for row in queue.aged_rows(now)}

    def promised(self) -> Counter[str]:
        """Tasks of each job that claims make room for; a moment too many when some already run there."""
        result: Counter[str] = Counter()
        for claim in self.ledger.all().values():
            result[claim.job] += claim.count
        return result

    def victims_left(self, machine: str, claim: PreemptionClaim) -> int:
        """Victims not known to be gone."""
        row = self.rows.get(machine)
        if row is None:
            return len(claim.victims)
        there = {(job, index, attempt) for job, index, attempt, _, _ in row.tasks}
        return sum(tuple(victim) in there for victim in claim.victims)

    def stopping(self) -> Counter[str]:
        """Victims not known to be gone, by budget."""
        result: Counter[str] = Counter()
        for machine, claim in self.ledger.all().items():
            result[budget_key(claim.team, claim.reason)] += self.victims_left(machine, claim)
        return result

    # -- the look ------------------------------------------------------------

    def plan(
        self, now: float, wall: float, sources: Sequence[PreemptionPolicy], teams: Callable[[], Teams], most: int
    ) -> bool:
        """True: the parts are to be asked for their tasks. ``most``: changes that one transaction takes."""
        if not self.leader.ready(now):
            return False
        if now - self.looked_at >= constants.LEADER_ROUND_S:
            self.looked_at = now
            if self.ledger.entries or self.ledger.stops:
                self._tidy(now, wall, sources)
            self.wanted = []
            if sources and not self.ledger.busy and self.leader.scale_in_guard.knowledge is FleetKnowledge.RECONCILED:
                self.wanted = [(source, needs) for source in sources if (needs := source.find_demands(self, now))]
            if self.wanted:
                self.asked_at = now
                return True
        if self.wanted and all(
            label in self.task_lists and self.task_lists[label][1] >= self.asked_at for label in self.members
        ):
            if not self.ledger.busy:
                self._choose(now, wall, teams(), most)
            self.wanted = []
        return False

    def _choose(self, now: float, wall: float, teams: Teams, most: int) -> None:
        kinds = {
            row.machine: Kind(row.type, row.zone, row.spot)
            for room, _ in self.leader.machine_summaries.values()
            for row in room.rows
            if row.state == "up"
        }
        rows = [row for tasks, _ in self.task_lists.values() for row in tasks.rows]
        running = sum(len(row.tasks) for row in rows)
        for machine, claim in self.ledger.all().items():
            for job, _, _ in claim.victims[: self.victims_left(machine, claim)]:
                spec = self.leader.replica.spec(job)
                if spec is not None:
                    teams.count_victim(spec, 1)
        taken: set[str] = set()
        groups = []
        for source, needs in self.wanted:
            free = [
                row
                for row in rows
                if row.machine in kinds and row.machine not in taken and self.ledger.claim_of(row.machine) is None
            ]
            machines = [
                CandidateMachine(row.machine, kinds[row.machine], row.free, self._victims(row, source, wall))
                for row in free
            ]
            source.teams = teams
            source.observe_machines(rows, kinds, self.leader.replica.spec)
            budget = PreemptionBudget(self.ledger.spent, wall, self.stopping(), running, source.limit)
            chosen = source.select_victims(needs, machines, budget, wall, most)
            for group in chosen:
                taken.update(group)
            groups += chosen
        if groups:
            self.ledger.plan(groups)

    def _victims(self, row: MachineTasks, source: PreemptionPolicy, wall: float) -> list[Victim]:
        result, ledger = [], self.ledger
        for job, index, attempt, ran_s, sure in row.tasks:
            spec = self.leader.replica.spec(job)
            if spec is not None and source.preemptible(spec):
                saved = ran_s % spec.checkpoint_s if spec.checkpoint_s > 0 else None
                result.append(
                    Victim(
                        job,
                        index,
                        attempt,
                        spec,
                        ran_s,
                        saved,
                        ledger.stops_of(job, index),
                        sure,
                        ledger.stopped_since(job, wall),
                    )
                )
        return result

    # -- what is over ----------------------------------------------------------

    def _tidy(self, now: float, wall: float, sources: Sequence[PreemptionPolicy]) -> None:
        ledger, replica = self.ledger, self.leader.replica
        rooms = {row.machine: row for room, _ in self.leader.machine_summaries.values() for row in room.rows}
        waiting = Counter({job: row.waiting + row.inherited for job, row in self.queue_rows(now).items()})
        reasons = {source.reason for source in sources}
        for machine, claim in ledger.all().items():
            left = self.victims_left(machine, claim)
            if left == 0 and machine in self.rows:
                ledger.cleared(machine)
            room = rooms.get(machine)
            spec = replica.spec(claim.job)
            if spec is None or claim.job in replica.ended:
                ledger.drop(machine, "its job is over")
            elif wall > claim.until:
                ledger.drop(machine, "its time is over")
            elif room is not None and room.state not in ("up", "expected"):
                ledger.drop(machine, f"the machine is {room.state}")
            elif claim.reason not in reasons and left == len(claim.victims):
                ledger.drop(machine, "nothing is declared any more")
            else:
                cause = ""
                if room is None:
                    cause = "the machine is gone"
                elif not waiting[claim.job]:
                    cause = "its job wants nothing more"
                elif not left and not self._outstanding(machine, claim, spec):
                    cause = "its room is used"
                if not cause:
                    self.since.pop(machine, None)
                elif now - self.since.setdefault(machine, now) >= constants.CLAIM_UNUSED_S:
                    ledger.drop(machine, cause)
        self.rows = {machine: row for machine, row in self.rows.items() if ledger.claim_of(machine) is not None}
        self.since = {machine: at for machine, at in self.since.items() if ledger.claim_of(machine) is not None}
        for job in [job for job in ledger.stops if job in replica.ended]:
            ledger.forget(job)

    def _outstanding(self, machine: str, claim: PreemptionClaim, spec: JobSpec) -> int:
        row = self.rows.get(machine)
        return claim.count if row is None else min(claim.count, fits(spec, row.free))
