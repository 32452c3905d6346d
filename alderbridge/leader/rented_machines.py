"""The machines that the leader has rented or found in the cloud's listing, and their states.

States of a rented machine::

    BOOTING ----> UP
       |          |
       v          v
      TERMINATING ----> TERMINATED

* BOOTING: rented or listed; its worker has not reported yet.
* UP: its machine shard has reported its worker.
* TERMINATING: to be returned; its machine shard drains it and places no more tasks on it.
* TERMINATED: the cloud has confirmed its termination, which may happen in any state; removed with the next view.
"""

from __future__ import annotations

import logging
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from alderbridge.protocol.messages import MachineSummary
from alderbridge.protocol.wire import ListedMachine
from alderbridge.scheduling.demand import MachineKind

BOOT_OVERDUE_FACTOR = 1.5  # times the type's usual boot time, after which a booting machine counts as overdue

log = logging.getLogger("leader")


class RentedMachineState(str, Enum):
    """Life cycle of a rented machine, from the grant to the confirmed termination."""

    BOOTING = "booting"
    UP = "up"
    TERMINATING = "terminating"
    TERMINATED = "terminated"


class ReportedState(str, Enum):
    """The state of a machine in its shard's summary; the values are those of ``MachineSummary.state``."""

    EXPECTED = "expected"
    UP = "up"
    DRAINING = "draining"
    EXPIRED = "lapsed"


@dataclass
class RentedMachine:
    """A machine rented from the cloud."""

    kind: MachineKind
    rented_at: float
    state: RentedMachineState
    terminating_since: float = 0.0
    failed: bool = False
    listed: bool = False
    missed_listings: int = 0  # consecutive listings without it since it was last listed

    @property
    def is_usable(self) -> bool:
        """Whether tasks may be placed on it, now or once it has booted."""
        return self.state in (RentedMachineState.BOOTING, RentedMachineState.UP)


class RentedMachines(dict[str, RentedMachine]):
    """All machines that the leader accounts for, by name."""

    def __init__(self) -> None:
        """Starts without machines and listings."""
        super().__init__()
        self.listed = False  # whether the cloud has listed its machines under this view
        self.listings = 0  # listings received under this view

    def enter_view(self) -> None:
        """Start a new view: reset the count of listings and remove terminated machines."""
        self.listed = False
        self.listings = 0
        for name in [n for n, rented in self.items() if rented.state is RentedMachineState.TERMINATED]:
            del self[name]

    def on_summary(self, row: MachineSummary, now: float) -> None:
        """Apply a machine shard's summary of a machine; an unrecorded machine was rented by an earlier leader."""
        rented = self.get(row.machine)
        if rented is None and row.type:
            rented = self._add(row.machine, MachineKind(row.type, row.zone, row.spot), now, RentedMachineState.UP)
        if rented is not None and rented.state is RentedMachineState.BOOTING and row.state != ReportedState.EXPECTED:
            rented.state = RentedMachineState.UP

    def on_scaled_out(self, kind: MachineKind, names: Iterable[str], now: float) -> None:
        """The cloud has granted these machines."""
        for name in names:
            if name not in self:
                self._add(name, kind, now, RentedMachineState.BOOTING)

    def on_listing(self, hosts: list[ListedMachine], now: float) -> None:
        """Apply the cloud's listing of all rented machines, which may be older than its other responses."""
        self.listed = True
        self.listings += 1
        listed_names = {host.id for host in hosts}
        for name, rented in self.items():
            rented.missed_listings = 0 if name in listed_names or not rented.listed else rented.missed_listings + 1
        for host in hosts:
            self._on_listed_machine(host, now)

    def _on_listed_machine(self, host: ListedMachine, now: float) -> None:
        rented_at = now - host.held_s
        rented = self.get(host.id)
        if rented is None:
            kind = MachineKind(host.type, host.zone, host.spot)
            rented = self._add(host.id, kind, rented_at, RentedMachineState.BOOTING)
        rented.listed = True
        rented.rented_at = min(rented.rented_at, rented_at)
        rented.failed = rented.failed or host.status == "failed"

    def on_terminated(self, names: Iterable[str]) -> None:
        """The cloud has confirmed the termination of these machines."""
        for name in names:
            if name in self:
                self[name].state = RentedMachineState.TERMINATED

    def begin_termination(self, name: str, now: float, cause: str) -> None:
        """Mark a machine to be returned; ``cause`` is logged."""
        rented = self[name]
        if rented.state is not RentedMachineState.TERMINATING:
            rented.state = RentedMachineState.TERMINATING
            rented.terminating_since = now
            log.info("machine=%s state=leaving cause=%s", name, cause)

    def _add(self, name: str, kind: MachineKind, rented_at: float, state: RentedMachineState) -> RentedMachine:
        rented = self[name] = RentedMachine(kind, rented_at, state)
        log.info("machine=%s state=%s type=%s spot=%s", name, state.value, kind.type, kind.spot)
        return rented
