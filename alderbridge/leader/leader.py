"""What the leader knows of machines, queues and allowances, and what it decides.

States of a rented machine:

* BOOTING: rented or listed, its worker has not reported.
* UP: its part reports it.
* LEAVING: wanted back; its part has been told and places nothing on it.
* RETURNED: the cloud has confirmed its end.

Pure: the controller carries the decisions out.
"""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable, Container
from dataclasses import dataclass, field
from enum import Enum

from alderbridge import constants
from alderbridge.leader.quota import QuotaAllocator
from alderbridge.protocol.messages import (
    MachineSummaries,
    MachineSummary,
    QueueDelta,
    QueueRow,
    QueueSnapshot,
    TeamUsageDelta,
)
from alderbridge.protocol.wire import JobSpec, ListedMachine, MachineType
from alderbridge.queues import HomeQueues
from alderbridge.reconciliation import FleetKnowledge, ScaleInGuard
from alderbridge.scheduling import placement, policy
from alderbridge.scheduling.policy import Demand, Kind, Market, Resource
from alderbridge.settings import Team, Tuning
from alderbridge.state.replica import Replica

log = logging.getLogger("leader")


class RentedMachineState(str, Enum):
    BOOTING = "booting"
    UP = "up"
    TERMINATING = "terminating"
    TERMINATED = "terminated"


@dataclass
class RentedMachine:
    kind: Kind
    rented_at: float
    state: RentedMachineState
    terminating_since: float = 0.0
    failed: bool = False
    listed: bool = False
    missed: int = 0  # listings in a row that lack it, having been listed


@dataclass
class ScalingDecision:
    scale_out: list[tuple[Kind, int]] = field(default_factory=list)
    drain: list[str] = field(default_factory=list)
    terminate: list[str] = field(default_factory=list)


class Leader:
    def __init__(
        self, teams: list[Team], zones: list[str], tuning: Tuning, replica: Replica, lag_s: float, lease_s: float
    ) -> None:
        self.teams = [team for team in teams if team.cpus_max > 0 or team.gpus_max > 0]
        self.tuning = tuning
        self.replica = replica
        self.lag_s = lag_s
        self.market = Market({}, zones, tuning.bid_share)
        self.rented_machines: dict[str, RentedMachine] = {}
        self.scale_in_guard = ScaleInGuard(lease_s)
        self.quota_allocator = QuotaAllocator(self.teams, replica.spec)
        self.to_prove_empty: set[str] = set()  # silent machines whose return frees what waits for them
        # waiting tasks that lending serves, or has yet to look at: no machine is rented for them
        self.tasks_served_by_lending: Callable[[QueueRow, JobSpec], int] = lambda row, spec: 0
        self.fleet_logged_at = 0.0  # when the last line on the fleet was written
        self.enter([], 0.0)

    def enter(self, members: list[str], now: float) -> None:
        self.members = members
        self.entered_at = now
        self.queues = HomeQueues()
        self.machine_summaries: dict[str, tuple[MachineSummaries, float]] = {}
        self.quota_allocator.enter(members)
        self.hard_checked_at = now
        self.listed = False
        self.listings = 0  # under this view
        for name in [n for n, r in self.rented_machines.items() if r.state is RentedMachineState.TERMINATED]:
            del self.rented_machines[name]

    # -- news ----------------------------------------------------------------

    def on_queue(self, label: str, queue: QueueSnapshot, now: float) -> None:
        """The whole queue of a home that tells no changes."""
        if label in self.members and self.queues.of(label).take_queue(queue, now):
            self.queues.arrived(label)
            self.quota_allocator.changed.update(self.quota_allocator.teams)

    def on_queue_changes(self, label: str, changes: QueueDelta, now: float) -> None:
        """Rows of a home's queue that are news."""
        if label in self.members:
            self.queues.of(label).take_rows(changes, now)
            self.queues.arrived(label)
            self.quota_allocator.rows_changed([*(row.job for row in changes.rows), *changes.gone])

    def on_team_changes(self, label: str, changes: TeamUsageDelta) -> None:
        """Sums of a home's teams that are news."""
        if label in self.members:
            self.queues.of(label).take_sums(changes)
            self.queues.arrived(label)
            self.quota_allocator.sums_changed(changes.teams)

    def on_machine_summaries(self, label: str, room: MachineSummaries, now: float) -> None:
        if label not in self.members:
            return
        self.machine_summaries[label] = (room, now)
        for row in room.rows:
            rented = self.rented_machines.get(row.machine)
            if rented is None and row.type:
                rented = self._found(row.machine, Kind(row.type, row.zone, row.spot), now, RentedMachineState.UP)
            if rented is not None and rented.state is RentedMachineState.BOOTING and row.state != "expected":
                rented.state = RentedMachineState.UP

    def _found(self, name: str, kind: Kind, rented_at: float, state: RentedMachineState) -> RentedMachine:
        rented = self.rented_machines[name] = RentedMachine(kind, rented_at, state)
        log.info("machine=%s state=%s type=%s spot=%s", name, state.value, kind.type, kind.spot)
        return rented

    def on_scaled_out(self, kind: Kind, names: list[str], now: float) -> None:
        for name in names:
            if name not in self.rented_machines:
                self._found(name, kind, now, RentedMachineState.BOOTING)

    def on_refused(self, kind: Kind, now: float) -> None:
        self.market.refused_until[kind] = now + constants.REFUSED_PAUSE_S

    def on_listing(self, hosts: list[ListedMachine], now: float) -> None:
        self.listed = True
        self.listings += 1
        present = {host.id for host in hosts}
        for name, rented in self.rented_machines.items():
            rented.missed = 0 if name in present or not rented.listed else rented.missed + 1
        for host in hosts:
            rented = self.rented_machines.get(host.id)
            if rented is None:
                rented = self._found(
                    host.id, Kind(host.type, host.zone, host.spot), now - host.held_s, RentedMachineState.BOOTING
                )
            rented.listed = True
            rented.rented_at = min(rented.rented_at, now - host.held_s)
            rented.failed = rented.failed or host.status == "failed"

    def on_types(self, types: dict[str, MachineType]) -> None:
        self.market.types = types

    def on_terminated(self, names: list[str]) -> None:
        for name in names:
            if name in self.rented_machines:
                self.rented_machines[name].state = RentedMachineState.TERMINATED

    # -- decisions -------------------------------------------------------------

    def ready(self, now: float) -> bool:
        """Every member has reported under this view, and the cloud has been asked."""
        return (
            bool(self.market.types)
            and all(m in self.queues and m in self.machine_summaries for m in self.members)
            and (self.listed or now - self.entered_at > 2 * self.lag_s)
        )

    def demands(self, now: float) -> list[Demand]:
        """What waits, soonest deadline first.

        Of a team's limit, what its allowances are given for: in another order a machine was rented for one job and the
        allowance kept for another that could not use it, and where all were late neither ever began.
        """
        waiting, kinds = [], self._kinds_in_reach(now)
        for queue in self.queues.values():
            for row in queue.aged_rows(now):
                spec = self.replica.spec(row.job)
                if spec is not None:
                    count = max(0, row.waiting - self.tasks_served_by_lending(row, spec))
                    count += row.inherited if self.scale_in_guard.counts_inherited else 0
                    demand = Demand(spec, count, row.due_in_s, row.run_s, row.zone)
                    waiting.append((self._order(row, spec, kinds), demand))
        waiting.sort(key=lambda entry: entry[0])
        result = self._within_limits([demand for _, demand in waiting])
        result.sort(key=lambda demand: demand.due_in_s)
        return result

    def _kinds_in_reach(self, now: float) -> set[Kind] | None:
        """Kinds of which a machine is there, on its way or may be rented; None where nothing was lately refused."""
        if not any(until > now for until in self.market.refused_until.values()):
            return None
        there = {
            rented.kind
            for rented in self.rented_machines.values()
            if rented.state in (RentedMachineState.BOOTING, RentedMachineState.UP)
            and rented.kind.type in self.market.types
        }
        return there | set(self.market.kinds(now))

    def _order(self, row: QueueRow, spec: JobSpec, kinds: set[Kind] | None) -> tuple:
        """In the order of placement, but last what no machine is there for, and none can be had for.

        Guarded: a team's limit is not kept, as an allowance or for a rental, for a job that can't use it as long as the
        cloud refuses what it needs, while others of the team wait beside room (test_a_team_does_not_stand_still_...).
        """
        out_of_reach = kinds is not None and not any(
            row.zone in (None, kind.zone)
            and placement.allowed(spec, kind.type, kind.zone, kind.spot)
            and placement.fits(spec, self.market.room(kind))
            for kind in kinds
        )
        return out_of_reach, placement.order(row, spec, row.due_in_s)

    def _within_limits(self, demands: list[Demand]) -> list[Demand]:
        """A team's tasks beyond its limit cannot run at once: they ask for nothing."""
        limits = {team.name: team.cpus_max for team in self.teams if team.cpus_max > 0}
        left = dict(limits)
        for queue in self.queues.values():
            for team, (cpus, _) in queue.demand.items():
                if team in left:
                    left[team] -= cpus
        # ``want`` counts what waits as well: give that back.
        for demand in demands:
            if demand.spec.team in left:
                left[demand.spec.team] += demand.count * demand.spec.cpus
        result = []
        for demand in demands:
            team = demand.spec.team
            count = demand.count
            if team in left:
                count = min(count, max(0, int(left[team] / demand.spec.cpus + 1e-9)))
                left[team] -= count * demand.spec.cpus
            if count:
                result.append(Demand(demand.spec, count, demand.due_in_s, demand.run_s, demand.zone))
        return result

    def _rows(self) -> dict[str, tuple[MachineSummary, float]]:
        return {row.machine: (row, at) for room, at in self.machine_summaries.values() for row in room.rows}

    def outlook(self, now: float, without: Container[str]) -> list[Resource]:
        """Room now, room that comes free, and machines that boot, at the time they come up; but for ``without``."""
        rows, result = self._rows(), []
        for name, rented in self.rented_machines.items():
            kind = self.market.types.get(rented.kind.type)
            if (
                name in without
                or kind is None
                or rented.state not in (RentedMachineState.BOOTING, RentedMachineState.UP)
            ):
                continue
            row, _ = rows.get(name, (None, now))
            if row is not None and row.state == "up":
                result.append(Resource(rented.kind, row.free, row.ends))
            elif row is not None and row.state == "expected":
                result.append(Resource(rented.kind, self.market.room(rented.kind)))
            elif row is None and not rented.failed and (age := now - rented.rented_at) < 1.5 * kind.boot_s:
                up_in = max(kind.boot_s - age, (1.5 * kind.boot_s - age) / 2)
                result.append(Resource(rented.kind, (0.0, 0.0, 0.0), [(up_in, *self.market.room(rented.kind))]))
        return result

    def decide(self, now: float) -> ScalingDecision:
        decision = ScalingDecision()
        if not self.ready(now):
            return decision
        rows = self._rows()
        self._refresh_scale_in_guard(rows, now)
        queue = self.demands(now)
        resources: list[Resource] = []
        booting: list[Resource] = []
        idle: list[tuple[Resource, str]] = []
        alive = 0
        for name, rented in self.rented_machines.items():
            if rented.state is RentedMachineState.TERMINATED:
                continue
            alive += 1
            row, at = rows.get(name, (None, now))
            if row is not None:
                self._up(name, rented, row, at, now, decision, resources, idle)
            else:
                self._booting(name, rented, now, decision, resources, booting)
        if self.listings >= constants.LIST_MISSES:
            for name, (row, at) in rows.items():
                if name not in self.rented_machines and row.silent_s + now - at > constants.SILENT_S:
                    decision.terminate.append(name)  # recorded, silent and not listed: most likely taken
        walk = policy.Walk(resources, queue)
        for resource, name in idle:
            rented = self.rented_machines[name]
            if not policy.block_ends(now - rented.rented_at, 2 * constants.LEADER_ROUND_S):
                continue
            if not self.scale_in_guard.may_return:
                self.scale_in_guard.count_postponed_return()
            elif not policy.keep_idle(walk, resource):
                self.begin_termination(name, now, decision, "idle at the end of its block")
        below_cap = max(0, self.tuning.max_machines - alive)
        wanted = policy.machines_wanted(walk, self.market, now, below_cap, Counter(r.kind for r in resources))
        if now - self.hard_checked_at >= constants.HARD_CHECK_S:
            self.hard_checked_at = now
            hard = policy.hard_check(queue, self.market, now, booting, below_cap)
            wanted += hard[len(wanted) :]
        decision.scale_out = [(kind, min(count, constants.RENT_BATCH)) for kind, count in Counter(wanted).items()]
        return decision

    def _refresh_scale_in_guard(self, rows: dict[str, tuple[MachineSummary, float]], now: float) -> None:
        """Whether the rows account for the fleet; one line a second until they do, and one when they do."""
        before = self.scale_in_guard.knowledge
        unheard = [(name, row.silent_s + now - at) for name, (row, at) in rows.items() if row.state == "expected"]
        silent = sum(silence > constants.SILENT_S for _, silence in unheard)
        inherited = sum(row.inherited for queue in self.queues.values() for row in queue.rows)
        knowledge = self.scale_in_guard.refresh(len(unheard) - silent, len(rows), inherited, now)
        self.to_prove_empty = set(self.scale_in_guard.machines_to_prove_empty(unheard, len(rows), inherited))
        if knowledge is not before or (
            knowledge is not FleetKnowledge.RECONCILED and now - self.fleet_logged_at >= constants.LEADER_ROUND_S
        ):
            self.fleet_logged_at = now
            log.info(
                "fleet state=%s reconciled=%d of=%d silent=%d inherited_tasks=%d postponed_scale_in=%d",
                knowledge.value,
                len(rows) - len(unheard),
                len(rows),
                silent,
                inherited,
                self.scale_in_guard.postponed_returns,
            )

    def _up(
        self,
        name: str,
        rented: RentedMachine,
        row: MachineSummary,
        at: float,
        now: float,
        decision: ScalingDecision,
        resources: list[Resource],
        idle: list[tuple[Resource, str]],
    ) -> None:
        silent = row.silent_s + (now - at)
        fresh = now - at < 3 * constants.LEADER_ROUND_S
        # A return is proof at once that nothing is left there; a lapsed lease takes longer. The
        # list proves nothing, but it shows which silent machines are worth asking for.
        hint = rented.missed >= constants.LIST_MISSES or row.state == "draining"
        proof = name in self.to_prove_empty
        if (
            rented.failed
            or (row.state == "lapsed" and silent > constants.LOST_MACHINE_S)
            or (hint and silent > constants.SILENT_S)
            or proof
        ):
            self.begin_termination(
                name, now, decision, "failed" if rented.failed else "inherited tasks wait" if proof else "lost"
            )
            decision.terminate.append(name)
        elif row.state == "draining":
            if fresh and row.idle_s > 0 and not row.ends:
                decision.terminate.append(name)
            elif rented.state is not RentedMachineState.TERMINATING:
                rented.state = RentedMachineState.TERMINATING
        elif rented.state is RentedMachineState.TERMINATING:
            decision.drain.append(name)  # its part has not said so yet
        elif row.state == "up":
            resource = Resource(rented.kind, row.free, row.ends)
            resources.append(resource)
            if row.idle_s > 0 and fresh and not row.ends:
                idle.append((resource, name))
        elif row.state == "expected" and rented.kind.type in self.market.types:
            resources.append(Resource(rented.kind, self.market.room(rented.kind)))

    def _booting(
        self,
        name: str,
        rented: RentedMachine,
        now: float,
        decision: ScalingDecision,
        resources: list[Resource],
        booting: list[Resource],
    ) -> None:
        kind = self.market.types.get(rented.kind.type)
        if kind is None:
            return
        age = now - rented.rented_at
        if rented.state is RentedMachineState.TERMINATING:
            if now - rented.terminating_since > constants.LEADER_ROUND_S:
                decision.terminate.append(name)
        elif rented.failed or age > max(
            constants.BOOT_PATIENCE * kind.boot_s, now - self.entered_at and 2 * self.lag_s
        ):
            self.begin_termination(name, now, decision, "failed" if rented.failed else "did not come up")
        else:
            resource = Resource(rented.kind, self.market.room(rented.kind))
            resources.append(resource)
            if age < 1.5 * kind.boot_s:
                booting.append(resource)

    def begin_termination(self, name: str, now: float, decision: ScalingDecision, cause: str) -> None:
        rented = self.rented_machines[name]
        if rented.state is not RentedMachineState.TERMINATING:
            rented.state = RentedMachineState.TERMINATING
            rented.terminating_since = now
            log.info("machine=%s state=leaving cause=%s", name, cause)
        decision.drain.append(name)

    def quota_updates(self, now: float) -> dict[str, dict[str, tuple[float, float]]]:
        """New allowances by home, of the teams for which they differ."""

        def order() -> Callable[[QueueRow, JobSpec], tuple]:
            kinds = self._kinds_in_reach(now)
            return lambda row, spec: self._order(row, spec, kinds)

        return self.quota_allocator.next(now, self.queues, order)
