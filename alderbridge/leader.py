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

from . import constants as c
from . import placement, policy
from .allowances import Allowances
from .config import Team, Tuning
from .mesh import MachineSummaries, MachineSummary, QueueDelta, QueueRow, QueueSnapshot, TeamUsageDelta
from .policy import Demand, Kind, Market, Resource
from .queues import HomeQueues
from .recovery import HoldBack, Knowledge
from .replica import Replica
from .wire import JobSpec, ListedMachine, MachineType

log = logging.getLogger("leader")


class RentalState(str, Enum):
    BOOTING = "booting"
    UP = "up"
    LEAVING = "leaving"
    RETURNED = "returned"


@dataclass
class Rental:
    kind: Kind
    rented_at: float
    state: RentalState
    leaving_since: float = 0.0
    failed: bool = False
    listed: bool = False
    missed: int = 0  # listings in a row that lack it, having been listed


@dataclass
class Decision:
    rent: list[tuple[Kind, int]] = field(default_factory=list)
    drain: list[str] = field(default_factory=list)
    give_back: list[str] = field(default_factory=list)


class Leader:
    def __init__(
        self, teams: list[Team], zones: list[str], tuning: Tuning, replica: Replica, lag_s: float, lease_s: float
    ) -> None:
        self.teams = [team for team in teams if team.cpus_max > 0 or team.gpus_max > 0]
        self.tuning = tuning
        self.replica = replica
        self.lag_s = lag_s
        self.market = Market({}, zones, tuning.bid_share)
        self.rentals: dict[str, Rental] = {}
        self.hold_back = HoldBack(lease_s)
        self.allowances = Allowances(self.teams, replica.spec)
        self.for_proof: set[str] = set()  # silent machines whose return frees what waits for them
        # waiting tasks that lending serves, or has yet to look at: no machine is rented for them
        self.lent: Callable[[QueueRow, JobSpec], int] = lambda row, spec: 0
        self.told_at = 0.0  # when the last line on the fleet was written
        self.enter([], 0.0)

    def enter(self, members: list[str], now: float) -> None:
        self.members = members
        self.since = now
        self.queues = HomeQueues()
        self.rooms: dict[str, tuple[MachineSummaries, float]] = {}
        self.allowances.enter(members)
        self.hard_at = now
        self.listed = False
        self.listings = 0  # under this view
        for name in [n for n, r in self.rentals.items() if r.state is RentalState.RETURNED]:
            del self.rentals[name]

    # -- news ----------------------------------------------------------------

    def on_queue(self, label: str, queue: QueueSnapshot, now: float) -> None:
        """The whole queue of a home that tells no changes."""
        if label in self.members and self.queues.of(label).take_queue(queue, now):
            self.queues.arrived(label)
            self.allowances.changed.update(self.allowances.teams)

    def on_queue_changes(self, label: str, changes: QueueDelta, now: float) -> None:
        """Rows of a home's queue that are news."""
        if label in self.members:
            self.queues.of(label).take_rows(changes, now)
            self.queues.arrived(label)
            self.allowances.rows_changed([*(row.job for row in changes.rows), *changes.gone])

    def on_team_changes(self, label: str, changes: TeamUsageDelta) -> None:
        """Sums of a home's teams that are news."""
        if label in self.members:
            self.queues.of(label).take_sums(changes)
            self.queues.arrived(label)
            self.allowances.sums_changed(changes.teams)

    def on_room(self, label: str, room: MachineSummaries, now: float) -> None:
        if label not in self.members:
            return
        self.rooms[label] = (room, now)
        for row in room.rows:
            rental = self.rentals.get(row.machine)
            if rental is None and row.type:
                rental = self._found(row.machine, Kind(row.type, row.zone, row.spot), now, RentalState.UP)
            if rental is not None and rental.state is RentalState.BOOTING and row.state != "expected":
                rental.state = RentalState.UP

    def _found(self, name: str, kind: Kind, rented_at: float, state: RentalState) -> Rental:
        rental = self.rentals[name] = Rental(kind, rented_at, state)
        log.info("machine=%s state=%s type=%s spot=%s", name, state.value, kind.type, kind.spot)
        return rental

    def on_rented(self, kind: Kind, names: list[str], now: float) -> None:
        for name in names:
            if name not in self.rentals:
                self._found(name, kind, now, RentalState.BOOTING)

    def on_refused(self, kind: Kind, now: float) -> None:
        self.market.refused_until[kind] = now + c.REFUSED_PAUSE_S

    def on_listing(self, hosts: list[ListedMachine], now: float) -> None:
        self.listed = True
        self.listings += 1
        present = {host.id for host in hosts}
        for name, rental in self.rentals.items():
            rental.missed = 0 if name in present or not rental.listed else rental.missed + 1
        for host in hosts:
            rental = self.rentals.get(host.id)
            if rental is None:
                rental = self._found(
                    host.id, Kind(host.type, host.zone, host.spot), now - host.held_s, RentalState.BOOTING
                )
            rental.listed = True
            rental.rented_at = min(rental.rented_at, now - host.held_s)
            rental.failed = rental.failed or host.status == "failed"

    def on_types(self, types: dict[str, MachineType]) -> None:
        self.market.types = types

    def on_returned(self, names: list[str]) -> None:
        for name in names:
            if name in self.rentals:
                self.rentals[name].state = RentalState.RETURNED

    # -- decisions -------------------------------------------------------------

    def ready(self, now: float) -> bool:
        """Every member has reported under this view, and the cloud has been asked."""
        return (
            bool(self.market.types)
            and all(m in self.queues and m in self.rooms for m in self.members)
            and (self.listed or now - self.since > 2 * self.lag_s)
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
                    count = max(0, row.waiting - self.lent(row, spec))
                    count += row.inherited if self.hold_back.counts_inherited else 0
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
            rental.kind
            for rental in self.rentals.values()
            if rental.state in (RentalState.BOOTING, RentalState.UP) and rental.kind.type in self.market.types
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
        return {row.machine: (row, at) for room, at in self.rooms.values() for row in room.rows}

    def outlook(self, now: float, without: Container[str]) -> list[Resource]:
        """Room now, room that comes free, and machines that boot, at the time they come up; but for ``without``."""
        rows, result = self._rows(), []
        for name, rental in self.rentals.items():
            kind = self.market.types.get(rental.kind.type)
            if name in without or kind is None or rental.state not in (RentalState.BOOTING, RentalState.UP):
                continue
            row, _ = rows.get(name, (None, now))
            if row is not None and row.state == "up":
                result.append(Resource(rental.kind, row.free, row.ends))
            elif row is not None and row.state == "expected":
                result.append(Resource(rental.kind, self.market.room(rental.kind)))
            elif row is None and not rental.failed and (age := now - rental.rented_at) < 1.5 * kind.boot_s:
                up_in = max(kind.boot_s - age, (1.5 * kind.boot_s - age) / 2)
                result.append(Resource(rental.kind, (0.0, 0.0, 0.0), [(up_in, *self.market.room(rental.kind))]))
        return result

    def decide(self, now: float) -> Decision:
        decision = Decision()
        if not self.ready(now):
            return decision
        rows = self._rows()
        self._look(rows, now)
        queue = self.demands(now)
        resources: list[Resource] = []
        booting: list[Resource] = []
        idle: list[tuple[Resource, str]] = []
        alive = 0
        for name, rental in self.rentals.items():
            if rental.state is RentalState.RETURNED:
                continue
            alive += 1
            row, at = rows.get(name, (None, now))
            if row is not None:
                self._up(name, rental, row, at, now, decision, resources, idle)
            else:
                self._booting(name, rental, now, decision, resources, booting)
        if self.listings >= c.LIST_MISSES:
            for name, (row, at) in rows.items():
                if name not in self.rentals and row.silent_s + now - at > c.SILENT_S:
                    decision.give_back.append(name)  # recorded, silent and not listed: most likely taken
        walk = policy.Walk(resources, queue)
        for resource, name in idle:
            rental = self.rentals[name]
            if not policy.block_ends(now - rental.rented_at, 2 * c.LEADER_ROUND_S):
                continue
            if not self.hold_back.may_return:
                self.hold_back.kept()
            elif not policy.keep_idle(walk, resource):
                self.leave(name, now, decision, "idle at the end of its block")
        below_cap = max(0, self.tuning.max_machines - alive)
        wanted = policy.machines_wanted(walk, self.market, now, below_cap, Counter(r.kind for r in resources))
        if now - self.hard_at >= c.HARD_CHECK_S:
            self.hard_at = now
            hard = policy.hard_check(queue, self.market, now, booting, below_cap)
            wanted += hard[len(wanted) :]
        decision.rent = [(kind, min(count, c.RENT_BATCH)) for kind, count in Counter(wanted).items()]
        return decision

    def _look(self, rows: dict[str, tuple[MachineSummary, float]], now: float) -> None:
        """Whether the rows account for the fleet; one line a second until they do, and one when they do."""
        before = self.hold_back.knowledge
        unheard = [(name, row.silent_s + now - at) for name, (row, at) in rows.items() if row.state == "expected"]
        silent = sum(silence > c.SILENT_S for _, silence in unheard)
        inherited = sum(row.inherited for queue in self.queues.values() for row in queue.rows)
        knowledge = self.hold_back.look(len(unheard) - silent, len(rows), inherited, now)
        self.for_proof = set(self.hold_back.for_proof(unheard, len(rows), inherited))
        if knowledge is not before or (knowledge is not Knowledge.SQUARED and now - self.told_at >= c.LEADER_ROUND_S):
            self.told_at = now
            log.info(
                "fleet state=%s squared %d of %d, silent %d, inherited %d tasks, held back: %d returns",
                knowledge.value,
                len(rows) - len(unheard),
                len(rows),
                silent,
                inherited,
                self.hold_back.returns,
            )

    def _up(
        self,
        name: str,
        rental: Rental,
        row: MachineSummary,
        at: float,
        now: float,
        decision: Decision,
        resources: list[Resource],
        idle: list[tuple[Resource, str]],
    ) -> None:
        silent = row.silent_s + (now - at)
        fresh = now - at < 3 * c.LEADER_ROUND_S
        # A return is proof at once that nothing is left there; a lapsed lease takes longer. The
        # list proves nothing, but it shows which silent machines are worth asking for.
        hint = rental.missed >= c.LIST_MISSES or row.state == "draining"
        proof = name in self.for_proof
        if rental.failed or (row.state == "lapsed" and silent > c.LOST_S) or (hint and silent > c.SILENT_S) or proof:
            self.leave(name, now, decision, "failed" if rental.failed else "inherited tasks wait" if proof else "lost")
            decision.give_back.append(name)
        elif row.state == "draining":
            if fresh and row.idle_s > 0 and not row.ends:
                decision.give_back.append(name)
            elif rental.state is not RentalState.LEAVING:
                rental.state = RentalState.LEAVING
        elif rental.state is RentalState.LEAVING:
            decision.drain.append(name)  # its part has not said so yet
        elif row.state == "up":
            resource = Resource(rental.kind, row.free, row.ends)
            resources.append(resource)
            if row.idle_s > 0 and fresh and not row.ends:
                idle.append((resource, name))
        elif row.state == "expected" and rental.kind.type in self.market.types:
            resources.append(Resource(rental.kind, self.market.room(rental.kind)))

    def _booting(
        self,
        name: str,
        rental: Rental,
        now: float,
        decision: Decision,
        resources: list[Resource],
        booting: list[Resource],
    ) -> None:
        kind = self.market.types.get(rental.kind.type)
        if kind is None:
            return
        age = now - rental.rented_at
        if rental.state is RentalState.LEAVING:
            if now - rental.leaving_since > c.LEADER_ROUND_S:
                decision.give_back.append(name)
        elif rental.failed or age > max(c.BOOT_PATIENCE * kind.boot_s, now - self.since and 2 * self.lag_s):
            self.leave(name, now, decision, "failed" if rental.failed else "did not come up")
        else:
            resource = Resource(rental.kind, self.market.room(rental.kind))
            resources.append(resource)
            if age < 1.5 * kind.boot_s:
                booting.append(resource)

    def leave(self, name: str, now: float, decision: Decision, cause: str) -> None:
        rental = self.rentals[name]
        if rental.state is not RentalState.LEAVING:
            rental.state = RentalState.LEAVING
            rental.leaving_since = now
            log.info("machine=%s state=leaving cause=%s", name, cause)
        decision.drain.append(name)

    def allots(self, now: float) -> dict[str, dict[str, tuple[float, float]]]:
        """New allowances by home, of the teams for which they differ."""

        def order() -> Callable[[QueueRow, JobSpec], tuple]:
            kinds = self._kinds_in_reach(now)
            return lambda row, spec: self._order(row, spec, kinds)

        return self.allowances.next(now, self.queues, order)
