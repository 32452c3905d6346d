"""Decides which machines to rent, drain and terminate. Performs no I/O: the controller carries out the decisions."""

from __future__ import annotations

from collections import Counter
from collections.abc import Container, Sequence
from dataclasses import dataclass, field

from alderbridge import constants
from alderbridge.leader.fleet_monitor import FleetMonitor, SummaryRows
from alderbridge.leader.rented_machines import (
    BOOT_OVERDUE_FACTOR,
    RentedMachine,
    RentedMachines,
    RentedMachineState,
    ReportedState,
)
from alderbridge.protocol.messages import MachineSummary
from alderbridge.scheduling import policy
from alderbridge.scheduling.demand import Demand, MachineKind, MachineResource
from alderbridge.scheduling.market import Market
from alderbridge.scheduling.walk import Walk
from alderbridge.settings import Tuning


@dataclass
class ScalingDecision:
    """Requests that the controller sends to the cloud and the machine shards."""

    scale_out: list[tuple[MachineKind, int]] = field(default_factory=list)
    drain: list[str] = field(default_factory=list)
    terminate: list[str] = field(default_factory=list)


@dataclass
class ScalingRound:
    """Inputs of one decision, collected machine by machine, and the decision."""

    now: float
    rows: SummaryRows
    decision: ScalingDecision = field(default_factory=ScalingDecision)
    resources: list[MachineResource] = field(default_factory=list)  # usable machines, up or booting
    booting: list[MachineResource] = field(default_factory=list)  # of ``resources``: booting and not overdue
    idle: list[tuple[MachineResource, str]] = field(default_factory=list)  # of ``resources``: without tasks
    alive: int = 0  # machines that are not terminated


class Autoscaler:
    """Scales the fleet out and in, in each round of the leader."""

    def __init__(
        self, tuning: Tuning, list_lag_s: float, market: Market, machines: RentedMachines, monitor: FleetMonitor
    ) -> None:
        """``list_lag_s``: maximum lag of the cloud's listing behind its responses."""
        self.tuning = tuning
        self.list_lag_s = list_lag_s
        self.market = market
        self.machines = machines
        self.monitor = monitor
        self.enter_view(0.0)

    def enter_view(self, now: float) -> None:
        """Start a new view."""
        self.entered_at = now
        self.last_hard_check_at = now

    def decide(self, rows: SummaryRows, demands: Sequence[Demand], now: float) -> ScalingDecision:
        """Decide one round; ``rows``: the machine shards' summaries; ``demands``: earliest deadline first."""
        scaling = ScalingRound(now, rows)
        for name, rented in self.machines.items():
            if rented.state is RentedMachineState.TERMINATED:
                continue
            scaling.alive += 1
            reported = rows.get(name)
            if reported is not None:
                self._consider_reported(scaling, name, rented, *reported)
            else:
                self._consider_unreported(scaling, name, rented)
        self._terminate_unlisted(scaling)
        walk = Walk(scaling.resources, demands)
        self._return_idle(scaling, walk)
        self._scale_out(scaling, walk, demands)
        return scaling.decision

    def _consider_reported(
        self, scaling: ScalingRound, name: str, rented: RentedMachine, row: MachineSummary, received_at: float
    ) -> None:
        fresh = scaling.now - received_at < 3 * constants.LEADER_ROUND_INTERVAL_S
        empty = fresh and row.idle_s > 0 and not row.ends
        cause = self._cause_of_termination(name, rented, row, row.silent_s + (scaling.now - received_at))
        if cause:
            self._begin_termination(scaling, name, cause)
            scaling.decision.terminate.append(name)
        elif row.state == ReportedState.DRAINING:
            if empty:
                scaling.decision.terminate.append(name)
            elif rented.state is not RentedMachineState.TERMINATING:
                self.machines.begin_termination(name, scaling.now, "drained before")
        elif rented.state is RentedMachineState.TERMINATING:
            scaling.decision.drain.append(name)  # its machine shard has not confirmed the drain yet
        elif row.state == ReportedState.UP:
            resource = MachineResource(rented.kind, row.free, row.ends)
            scaling.resources.append(resource)
            if empty:
                scaling.idle.append((resource, name))
        elif row.state == ReportedState.EXPECTED and rented.kind.type in self.market.types:
            scaling.resources.append(MachineResource(rented.kind, self.market.capacity(rented.kind)))

    def _cause_of_termination(self, name: str, rented: RentedMachine, row: MachineSummary, silent_s: float) -> str:
        """Why a machine that its shard still reports is to be terminated; empty if it is not.

        A confirmed return proves at once that no task runs there; waiting for the lease to expire takes longer. A
        listing without the machine proves nothing, but suggests which silent machines to return.
        """
        if rented.failed:
            return "failed"
        if name in self.monitor.to_prove_empty:
            return "inherited tasks wait"
        expired = row.state == ReportedState.EXPIRED and silent_s > constants.LOST_MACHINE_TIMEOUT_S
        suspect = rented.missed_listings >= constants.MIN_MISSED_LISTINGS or row.state == ReportedState.DRAINING
        return "lost" if expired or (suspect and silent_s > constants.MACHINE_SILENCE_TIMEOUT_S) else ""

    def _consider_unreported(self, scaling: ScalingRound, name: str, rented: RentedMachine) -> None:
        machine_type = self.market.types.get(rented.kind.type)
        if machine_type is None:
            return
        age_s = scaling.now - rented.rented_at
        if rented.state is RentedMachineState.TERMINATING:
            if scaling.now - rented.terminating_since > constants.LEADER_ROUND_INTERVAL_S:
                scaling.decision.terminate.append(name)
        elif rented.failed or age_s > self._boot_timeout_s(machine_type.boot_s, scaling.now):
            self._begin_termination(scaling, name, "failed" if rented.failed else "did not come up")
        else:
            resource = MachineResource(rented.kind, self.market.capacity(rented.kind))
            scaling.resources.append(resource)
            if age_s < BOOT_OVERDUE_FACTOR * machine_type.boot_s:
                scaling.booting.append(resource)

    def _boot_timeout_s(self, boot_s: float, now: float) -> float:
        """Age at which an unreported machine is returned; at least twice the listing's lag once the view has begun."""
        return max(constants.BOOT_TIMEOUT_FACTOR * boot_s, now - self.entered_at and 2 * self.list_lag_s)

    def _begin_termination(self, scaling: ScalingRound, name: str, cause: str) -> None:
        self.machines.begin_termination(name, scaling.now, cause)
        scaling.decision.drain.append(name)

    def _terminate_unlisted(self, scaling: ScalingRound) -> None:
        """Terminate machines that are recorded, silent and not listed: the cloud has most likely reclaimed them."""
        if self.machines.listings < constants.MIN_MISSED_LISTINGS:
            return
        for name, (row, received_at) in scaling.rows.items():
            if (
                name not in self.machines
                and row.silent_s + scaling.now - received_at > constants.MACHINE_SILENCE_TIMEOUT_S
            ):
                scaling.decision.terminate.append(name)

    def _return_idle(self, scaling: ScalingRound, walk: Walk) -> None:
        """Return idle machines at the end of their paid block, unless that predicts a breach."""
        for resource, name in scaling.idle:
            age_s = scaling.now - self.machines[name].rented_at
            if not policy.paid_block_ends_within(age_s, 2 * constants.LEADER_ROUND_INTERVAL_S):
                continue
            if not self.monitor.guard.may_scale_in:
                self.monitor.guard.count_postponed_scale_in()
            elif not policy.must_keep_idle(walk, resource):
                self._begin_termination(scaling, name, "idle at the end of its block")

    def _scale_out(self, scaling: ScalingRound, walk: Walk, demands: Sequence[Demand]) -> None:
        """Rent machines for predicted breaches and, in each hard check, for tasks about to breach."""
        now = scaling.now
        max_new_machines = max(0, self.tuning.max_machines - scaling.alive)
        machine_counts = Counter(resource.kind for resource in scaling.resources)
        kinds = policy.machines_to_rent(walk, self.market, now, max_new_machines, machine_counts)
        if now - self.last_hard_check_at >= constants.HARD_CHECK_INTERVAL_S:
            self.last_hard_check_at = now
            hard = policy.hard_check(demands, self.market, now, scaling.booting, max_new_machines)
            kinds += hard[len(kinds) :]
        scaling.decision.scale_out = [
            (kind, min(count, constants.MAX_MACHINES_PER_RENTAL)) for kind, count in Counter(kinds).items()
        ]

    def outlook(self, rows: SummaryRows, without: Container[str], now: float) -> list[MachineResource]:
        """Current and future free capacity, with booting machines at their expected time; leaves out ``without``."""
        result = []
        for name, rented in self.machines.items():
            if name in without or not rented.is_usable:
                continue
            row, _ = rows.get(name, (None, now))
            resource = self._expected_resource(rented, row, now)
            if resource is not None:
                result.append(resource)
        return result

    def _expected_resource(
        self, rented: RentedMachine, row: MachineSummary | None, now: float
    ) -> MachineResource | None:
        machine_type = self.market.types.get(rented.kind.type)
        if machine_type is None:
            return None
        if row is not None:
            if row.state == ReportedState.UP:
                return MachineResource(rented.kind, row.free, row.ends)
            if row.state == ReportedState.EXPECTED:
                return MachineResource(rented.kind, self.market.capacity(rented.kind))
            return None
        age_s = now - rented.rented_at
        overdue_after_s = BOOT_OVERDUE_FACTOR * machine_type.boot_s
        if rented.failed or age_s >= overdue_after_s:
            return None
        up_in_s = max(machine_type.boot_s - age_s, (overdue_after_s - age_s) / 2)
        return MachineResource(rented.kind, (0.0, 0.0, 0.0), [(up_in_s, *self.market.capacity(rented.kind))])
