"""The store's records of a shard's machines: which are to be written, and which to be dropped.

While a record is there, every new view waits until its machine has reported or its lease has run out.
"""

from __future__ import annotations

from collections.abc import Callable

from alderbridge import constants
from alderbridge.machines.context import MachineTable, ShardView
from alderbridge.machines.machine import Machine, MachineState


class MachineRecords:
    """Records to be written and to be dropped; the controller takes them into its write batches."""

    def __init__(self, table: MachineTable, view: ShardView, keep_record: Callable[[str], bool]) -> None:
        """``keep_record``: whether a dropped record is still there, as no drop of it has been sent yet."""
        self.machines = table.machines
        self.terminated = table.terminated
        self.view = view
        self.keep_record = keep_record
        self.to_write: list[str] = []
        self.to_drop: list[str] = []  # nothing is on these machines: no new view need wait for them

    def enter(self) -> None:
        """A new view: what was due under the one before is void."""
        self.to_write, self.to_drop = [], []

    def request_write(self, machine: Machine) -> None:
        """The machine has acknowledged: tasks are ordered only once the store holds its record."""
        if not machine.recorded and machine.name not in self.to_write:
            # All leases run out when the store was away for longer than a lease, and the machines are back before
            # their records are dropped: to drop and write 600 of them again took all changes of the store for half a
            # minute, in which nothing could be started.
            machine.recorded = self.keep_record(machine.name)
            if not machine.recorded:
                self.to_write.append(machine.name)

    def cancel_write(self, name: str) -> None:
        """The record need not be written any more."""
        if name in self.to_write:
            self.to_write.remove(name)

    def drop(self, machine: Machine) -> None:
        """Nothing is on the machine: no later view need wait for it."""
        self.cancel_write(machine.name)
        # Also where only the replica shows it: its put was carried out, the answer lost, and nobody tries again. Left
        # behind, that record held up every later view for a lease.
        if machine.recorded or machine.seen_in_replica:
            machine.recorded = machine.seen_in_replica = False
            self.to_drop.append(machine.name)

    def due_drops(self, now: float) -> list[str]:
        """Records to be dropped now: of expired machines none until they had time to report again to this process."""
        answering_since = self.view.answering_since
        if answering_since is not None and now - answering_since >= constants.SILENT_S:
            return self.to_drop
        return [name for name in self.to_drop if name in self.terminated]

    def on_recorded(self, name: str) -> None:
        """The store holds its record. Of a machine that expired or was terminated meanwhile it is dropped again.

        Left behind, it held up every later view for a lease: nobody would ever report for it.
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
        """The replica shows its record; where nothing is on the machine, a put was carried out late: it is dropped.

        Never taken for proof that it is recorded: a drop may be on its way, and no ``run`` order goes out before that
        is settled.
        """
        machine = self.machines.get(name)
        if name in self.terminated if machine is None else machine.state is MachineState.EXPIRED:
            self.to_drop.append(name)
        elif machine is not None:
            machine.seen_in_replica = True
