"""The machines that an inherited task may still be on: as narrow as the records allow."""

from __future__ import annotations

from collections.abc import Mapping

from alderbridge.protocol.wire import JobSpec, MachineRecord
from alderbridge.scheduling.placement import allowed


class Barrier:
    """Recorded machines that are not reconciled yet, by kind: an inherited task waits for those its job may use.

    A kind is a record without its address: type, zone and spot. A task is only ever granted for a machine whose kind
    its job allows, and these never change. A machine whose record does not say them, written by an earlier version,
    holds up all jobs.
    """

    def __init__(self, machines: Mapping[str, MachineRecord]) -> None:
        """``machines``: all that the store has recorded."""
        self.machines_by_kind: dict[MachineRecord, set[str]] = {}
        self.kind_of: dict[str, MachineRecord] = {}
        for name, record in machines.items():
            kind = MachineRecord(type=record.type, zone=record.zone, spot=record.spot)
            self.kind_of[name] = kind
            self.machines_by_kind.setdefault(kind, set()).add(name)

    def __len__(self) -> int:
        """How many machines are left."""
        return len(self.kind_of)

    def __contains__(self, machine: str) -> bool:
        """Whether an inherited task may still be on the machine."""
        return machine in self.kind_of

    def remove(self, machine: str) -> bool:
        """The machine is reconciled; True if it was the last of its kind, so that some jobs may be held up no more."""
        kind = self.kind_of.pop(machine, None)
        if kind is None:
            return False
        others = self.machines_by_kind[kind]
        others.discard(machine)
        if others:
            return False
        del self.machines_by_kind[kind]
        return True

    def may_hold(self, spec: JobSpec) -> bool:
        """Whether a task of the job may be on one of the machines."""
        return any(not kind.type or allowed(spec, kind.type, kind.zone, kind.spot) for kind in self.machines_by_kind)
