"""Requests tasks for a machine after a heartbeat that shows free capacity. No I/O."""

from __future__ import annotations

import functools
from collections.abc import Callable

import msgspec

from alderbridge import constants
from alderbridge.claims.ledger import Ledger
from alderbridge.controller.job_directory import JobDirectory
from alderbridge.controller.messenger import Messenger
from alderbridge.controller.preemption_round import PreemptionRound
from alderbridge.controller.state import ControllerState
from alderbridge.machines.machine import Machine
from alderbridge.machines.shard import MachineShard
from alderbridge.protocol import messages
from alderbridge.scheduling import placement
from alderbridge.scheduling.offers import Offer, Offers
from alderbridge.scheduling.resources import remaining_after, tasks_that_fit


class PlacementRound:
    """Places tasks from the members' offers on this member's machines, one machine at a time."""

    def __init__(
        self,
        state: ControllerState,
        messenger: Messenger,
        machine_shard: MachineShard,
        ledger: Ledger,
        directory: JobDirectory,
        preemption: PreemptionRound,
        offers: Offers,
    ) -> None:
        """``offers``: updated by the offer book; ``ledger``: the preemption claims on machines."""
        self.state = state
        self.messenger = messenger
        self.machine_shard = machine_shard
        self.ledger = ledger
        self.directory = directory
        self.preemption = preemption
        self.offers = offers
        # Free capacity of busy machines, computed at most once a round.
        self.busy_machines: placement.BusyMachines | None = None
        # The reserved machine, and when an offer last needed the reservation.
        self.reserved_machine: tuple[str, float] = ("", float("-inf"))
        self.claim_requests: dict[str, tuple[int, int]] = {}  # machine -> revision of its claim, tasks requested for it

    def place(self, machine: Machine, now: float) -> None:
        """Request tasks that fit this machine from job shards."""
        candidate = self.machine_shard.capacity.candidate(machine, now)
        if candidate is None:
            return
        idle = machine.idle
        if self.ledger.entries:
            candidate = self._place_claimed(machine, candidate)

        def capacity_on_busy_machines(offer: Offer) -> int:
            """The number of recently queued tasks that an idle machine leaves to busy machines with free capacity."""
            if not idle or now >= offer.packing_until:
                return 0
            if self.busy_machines is None:
                self.busy_machines = self.machine_shard.capacity.busy_machines(now)
            return self.busy_machines.capacity_for(offer.spec)

        capacity_elsewhere: Callable[[Offer], int] = capacity_on_busy_machines
        lender = self.preemption.lender
        if lender is not None and now < self.preemption.reserved_gpus_until:
            reserved = self.preemption.reserved_gpus.get(machine.name, 0.0)
            if reserved:
                capacity_elsewhere = lender.limit_lending(candidate.free[2] - reserved, capacity_elsewhere)

        for request in placement.fill(
            candidate,
            self.offers,
            lambda spec: self.machine_shard.capacity.fetch_s(machine, spec),
            capacity_elsewhere,
            functools.partial(self._try_reserve, machine, now),
            now,
            self.preemption.may_preempt,
        ):
            request_id = self.machine_shard.reserve(machine, request.job, request.count)
            self.messenger.send(
                request.owner,
                messages.TaskRequest(request_id, request.job, request.machine, request.zone, request.count),
            )
        self.messenger.pump()

    def _try_reserve(self, machine: Machine, now: float, offer: Offer) -> bool:
        """Reserve the machine for an offer that does not fit it yet; one at a time, which bounds the idle capacity."""
        reserved_name, reserved_at = self.reserved_machine
        machine_type, zone = self.machine_shard.capacity.types.get(machine.type), offer.row.zone
        if (
            (reserved_name != machine.name and now - reserved_at < constants.RESERVATION_TTL_S)
            or machine_type is None
            or (zone is not None and zone != machine.zone)
            or not placement.allowed(offer.spec, machine.type, machine.zone, machine.spot)
            or not tasks_that_fit(offer.spec, (machine_type.cpus, machine_type.memory_gb, machine_type.gpus))
        ):
            return False
        self.reserved_machine = machine.name, now
        return True

    def _place_claimed(self, machine: Machine, candidate: placement.Candidate) -> placement.Candidate:
        """Request tasks of the job that holds the claim; the candidate with the capacity that remains for others."""
        entry = self.ledger.entries.get(machine.name)
        if entry is None or self.state.wall() >= entry.claim.expires_at:
            return candidate
        claim, spec = entry.claim, self.directory.spec_of(entry.claim.job)
        revision, requested = self.claim_requests.get(machine.name, (0, 0))
        if revision != entry.revision:
            requested = 0
            if len(self.claim_requests) > 2 * len(self.ledger.entries) + constants.MAX_QUEUE_ROWS:
                self.claim_requests.clear()
        if spec is None or requested >= claim.count:
            return candidate
        free = candidate.free
        for request in placement.fill_claimed(candidate, self.offers, claim.job, claim.count - requested):
            request_id = self.machine_shard.reserve(machine, request.job, request.count)
            self.messenger.send(
                request.owner,
                messages.TaskRequest(request_id, request.job, request.machine, request.zone, request.count),
            )
            requested, free = requested + request.count, remaining_after(free, spec, request.count)
        self.claim_requests[machine.name] = (entry.revision, requested)
        return msgspec.structs.replace(candidate, free=remaining_after(free, spec, claim.count - requested))

    def execute_claim(self, machine: Machine) -> None:
        """Stop the victims of the machine's claim in the response to the heartbeat that has just arrived."""
        claim = self.ledger.claim_of(machine.name) if self.ledger.entries else None
        if claim is None:
            if machine.orders.claim_stops:
                self.machine_shard.claims.drop(machine)
        elif self.state.wall() < claim.expires_at:
            self.machine_shard.claims.execute(machine, claim.victims, claim.wind_down_s)
