"""Which tasks are asked for when a machine has reported room. Pure."""

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
from alderbridge.scheduling.resources import fits, minus


class PlacementRound:
    """Places tasks of the members' offers on this member's machines, one machine at a time."""

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
        """``offers`` are kept up to date by others; ``ledger`` has the claims on the machines."""
        self.state = state
        self.messenger = messenger
        self.machine_shard = machine_shard
        self.ledger = ledger
        self.directory = directory
        self.preemption = preemption
        self.offers = offers
        self.busy: placement.BusyMachines | None = (
            None  # room of the busy machines; made when first asked for in a round
        )
        # The machine whose room is kept, and when it last was for something.
        self.reserved_machine: tuple[str, float] = ("", float("-inf"))
        self.claim_requests: dict[str, tuple[int, int]] = {}  # machine -> its claim's revision, tasks asked for

    def place(self, machine: Machine, now: float) -> None:
        """Ask job shards for tasks that fit this machine."""
        candidate = self.machine_shard.capacity.candidate(machine, now)
        if candidate is None:
            return
        idle = machine.idle
        if self.ledger.entries:
            candidate = self._place_claimed(machine, candidate)

        def room_on_busy_machines(offer: Offer) -> int:
            """An idle machine leaves young tasks to busy ones with room."""
            if not idle or now >= offer.young_until:
                return 0
            if self.busy is None:
                self.busy = self.machine_shard.capacity.busy(now)
            return self.busy.capacity_for(offer.spec)

        room_elsewhere: Callable[[Offer], int] = room_on_busy_machines
        lender = self.preemption.lender
        if lender is not None and now < self.preemption.reserved_gpus_until:
            held = self.preemption.reserved_gpus.get(machine.name, 0.0)
            if held:
                room_elsewhere = lender.limit_lending(candidate.free[2] - held, room_elsewhere)

        for request in placement.fill(
            candidate,
            self.offers,
            lambda spec: self.machine_shard.capacity.fetch_s(machine, spec),
            room_elsewhere,
            functools.partial(self._keeps_room, machine, now),
            now,
            self.preemption.may_preempt,
        ):
            take = self.machine_shard.reserve(machine, request.job, request.count)
            self.messenger.send(
                request.owner, messages.TaskRequest(take, request.job, request.machine, request.zone, request.count)
            )
        self.messenger.pump()

    def _keeps_room(self, machine: Machine, now: float, offer: Offer) -> bool:
        """One machine at a time keeps its room: some slots stay empty for some seconds, whatever is waited for."""
        name, at = self.reserved_machine
        kind, zone = self.machine_shard.capacity.types.get(machine.type), offer.row.zone
        if (
            (name != machine.name and now - at < constants.RESERVE_IDLE_S)
            or kind is None
            or (zone is not None and zone != machine.zone)
            or not placement.allowed(offer.spec, machine.type, machine.zone, machine.spot)
            or not fits(offer.spec, (kind.cpus, kind.memory_gb, kind.gpus))
        ):
            return False
        self.reserved_machine = machine.name, now
        return True

    def _place_claimed(self, machine: Machine, candidate: placement.Candidate) -> placement.Candidate:
        """Ask for tasks of the job that a claim keeps room for; the candidate with what is left for others."""
        entry = self.ledger.entries.get(machine.name)
        if entry is None or self.state.wall() >= entry.claim.until:
            return candidate
        claim, spec = entry.claim, self.directory.spec_of(entry.claim.job)
        revision, used = self.claim_requests.get(machine.name, (0, 0))
        if revision != entry.revision:
            used = 0
            if len(self.claim_requests) > 2 * len(self.ledger.entries) + constants.QUEUE_ROWS:
                self.claim_requests.clear()
        if spec is None or used >= claim.count:
            return candidate
        room = candidate.free
        for request in placement.fill_claimed(candidate, self.offers, claim.job, claim.count - used):
            take = self.machine_shard.reserve(machine, request.job, request.count)
            self.messenger.send(
                request.owner, messages.TaskRequest(take, request.job, request.machine, request.zone, request.count)
            )
            used, room = used + request.count, minus(room, spec, request.count)
        self.claim_requests[machine.name] = (entry.revision, used)
        return msgspec.structs.replace(candidate, free=minus(room, spec, claim.count - used))

    def execute_claim(self, machine: Machine) -> None:
        """Stop the victims of its claim, in the answer to the report that has just come."""
        claim = self.ledger.claim_of(machine.name) if self.ledger.entries else None
        if claim is None:
            if machine.orders.claim_stops:
                self.machine_shard.claims.drop(machine)
        elif self.state.wall() < claim.until:
            self.machine_shard.claims.execute(machine, claim.victims, claim.wind_down_s)
