"""The store records of a shard's machines: which are due to be written, and which to be dropped.

While a record exists, every new view waits until its machine has acknowledged the view or its lease has expired.
"""

from __future__ import annotations

from collections.abc import Callable

from alderbridge import constants
from alderbridge.machines.context import MachineTable, ShardView
from alderbridge.machines.machine import Machine, MachineState


class MachineRecords:
    """Records due to be written or dropped; the controller adds them to its write batches."""

    def __init__(self, table: MachineTable, view: ShardView, cancel_drop: Callable[[str], bool]) -> None:
        """``cancel_drop``: cancels the drop of a record if it has not been sent, and returns whether it has done so."""
        self.machines = table.machines
        self.terminated = table.terminated
        self.view = view
        self.cancel_drop = cancel_drop
        self.to_write: list[str] = []
        self.to_drop: list[str] = []  # no task is on these machines: new views need not wait for them

    def enter_view(self) -> None:
        """Enter a new view: discard the writes and drops of the previous one."""
        self.to_write, self.to_drop = [], []

    def request_write(self, machine: Machine) -> None:
        """Request a record for an acknowledged machine; no ``run`` order is sent before the store holds it."""
        if not machine.recorded and machine.name not in self.to_write:
            # After a store outage longer than a lease, all machines expire and return before their records are
            # dropped. Dropping and rewriting 600 records used up the store's write rate for half a minute, in which no
            # task could be started.
            machine.recorded = self.cancel_drop(machine.name)
            if not machine.recorded:
                self.to_write.append(machine.name)

    def cancel_write(self, name: str) -> None:
        """Cancel the pending write of a record."""
        if name in self.to_write:
            self.to_write.remove(name)

    def drop(self, machine: Machine) -> None:
        """Request the drop of the record of a machine that has no task: later views need not wait for it."""
        self.cancel_write(machine.name)
        # Drop also a record that only the replica shows: its put was carried out but its response lost. Otherwise every
        # later view would wait a lease for this machine.
        if machine.recorded or machine.seen_in_replica:
            machine.recorded = machine.seen_in_replica = False
            self.to_drop.append(machine.name)

    def due_drops(self, now: float) -> list[str]:
        """Records to drop now; those of expired machines only after they had time to send a heartbeat here."""
        answering_since = self.view.answering_since
        if answering_since is not None and now - answering_since >= constants.MACHINE_SILENCE_TIMEOUT_S:
            return self.to_drop
        return [name for name in self.to_drop if name in self.terminated]

    def on_recorded(self, name: str) -> None:
        """Handle the completed write of a record; drop it if the machine has expired or been terminated meanwhile.

        Otherwise every later view would wait a lease for a machine that sends no heartbeat.
        """
        machine = self.machines.get(name)
        self.cancel_write(name)
        if machine is not None:
            machine.recorded = True
            if machine.state is MachineState.EXPIRED:
                self.drop(machine)
        elif name in self.terminated:
            self.to_drop.append(name)

    def on_observed(self, name: str) -> None:
        """Handle a record that appears in the replica; drop it if the machine has expired or been terminated.

        This does not count as recorded: a drop may be in flight, and no ``run`` order may be sent until its outcome
        is known.
        """
        machine = self.machines.get(name)
        if name in self.terminated if machine is None else machine.state is MachineState.EXPIRED:
            self.to_drop.append(name)
        elif machine is not None:
            machine.seen_in_replica = True
