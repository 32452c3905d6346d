"""The machines that the leader has rented or found in the cloud's listing, and their states. Pure.

States of a rented machine::

    BOOTING ----> UP
       |          |
       v          v
      TERMINATING ----> TERMINATED

* BOOTING: rented or listed, its worker has not reported yet.
* UP: its machine shard reports it.
* TERMINATING: to be returned; its machine shard is told to drain it and places nothing on it any more.
* TERMINATED: the cloud has confirmed its end, which it may do in any state; forgotten with the next view.
"""

from __future__ import annotations

import logging
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from alderbridge.protocol.messages import MachineSummary
from alderbridge.protocol.wire import ListedMachine
from alderbridge.scheduling.demand import MachineKind

BOOT_SLACK = 1.5  # times a type's usual boot time; what boots for longer is not counted on

log = logging.getLogger("leader")


class RentedMachineState(str, Enum):
    """See the head of this module."""

    BOOTING = "booting"
    UP = "up"
    TERMINATING = "terminating"
    TERMINATED = "terminated"


class ReportedState(str, Enum):
    """The state of a machine as its shard's summary gives it; the values are those of ``MachineSummary.state``."""

    EXPECTED = "expected"
    UP = "up"
    DRAINING = "draining"
    EXPIRED = "lapsed"


@dataclass
class RentedMachine:
    """One machine that is paid for."""

    kind: MachineKind
    rented_at: float
    state: RentedMachineState
    terminating_since: float = 0.0
    failed: bool = False
    listed: bool = False
    missed: int = 0  # listings in a row that lack it, having been listed

    @property
    def is_usable(self) -> bool:
        """Whether it takes tasks, or will once it has booted."""
        return self.state in (RentedMachineState.BOOTING, RentedMachineState.UP)


class RentedMachines(dict[str, RentedMachine]):
    """All machines that the leader accounts for, by name."""

    def __init__(self) -> None:
        """Nothing is rented, and the cloud has listed nothing."""
        super().__init__()
        self.listed = False  # the cloud has listed its machines under this view
        self.listings = 0  # under this view

    def enter(self) -> None:
        """A new view: listings count anew, and machines that have ended are forgotten."""
        self.listed = False
        self.listings = 0
        for name in [n for n, rented in self.items() if rented.state is RentedMachineState.TERMINATED]:
            del self[name]

    def on_summary(self, row: MachineSummary, now: float) -> None:
        """Its machine shard reports a machine; one that is not known here was rented by an earlier leader."""
        rented = self.get(row.machine)
        if rented is None and row.type:
            rented = self._add(row.machine, MachineKind(row.type, row.zone, row.spot), now, RentedMachineState.UP)
        if rented is not None and rented.state is RentedMachineState.BOOTING and row.state != ReportedState.EXPECTED:
            rented.state = RentedMachineState.UP

    def on_scaled_out(self, kind: MachineKind, names: Iterable[str], now: float) -> None:
        """The cloud has rented out these machines."""
        for name in names:
            if name not in self:
                self._add(name, kind, now, RentedMachineState.BOOTING)

    def on_listing(self, hosts: list[ListedMachine], now: float) -> None:
        """The cloud lists all that is rented, possibly in an order other than that of its answers."""
        self.listed = True
        self.listings += 1
        present = {host.id for host in hosts}
        for name, rented in self.items():
            rented.missed = 0 if name in present or not rented.listed else rented.missed + 1
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
        """The cloud has confirmed the end of these machines."""
        for name in names:
            if name in self:
                self[name].state = RentedMachineState.TERMINATED

    def begin_termination(self, name: str, now: float, cause: str) -> None:
        """The machine is to be returned; ``cause`` is for the log."""
        rented = self[name]
        if rented.state is not RentedMachineState.TERMINATING:
            rented.state = RentedMachineState.TERMINATING
            rented.terminating_since = now
            log.info("machine=%s state=leaving cause=%s", name, cause)

    def _add(self, name: str, kind: MachineKind, rented_at: float, state: RentedMachineState) -> RentedMachine:
        rented = self[name] = RentedMachine(kind, rented_at, state)
        log.info("machine=%s state=%s type=%s spot=%s", name, state.value, kind.type, kind.spot)
        return rented
