"""The machines that an inherited task may still be on: as narrow as the records allow."""

from __future__ import annotations

from collections.abc import Mapping

from alderbridge.protocol.wire import JobSpec, MachineRecord
from alderbridge.scheduling.placement import allowed


class Barrier:
    """Recorded machines that are not squared yet, by kind: a task waits for those its job may use.

    A task is only ever granted for a machine whose type, zone and kind its job allows, and these never
    change. A machine whose record does not say them, written by an earlier version, holds up all jobs.
    """

    def __init__(self, machines: Mapping[str, MachineRecord]) -> None:
        self.kinds: dict[MachineRecord, set[str]] = {}
        self.kind_of: dict[str, MachineRecord] = {}
        for name, record in machines.items():
            kind = MachineRecord(type=record.type, zone=record.zone, spot=record.spot)
            self.kind_of[name] = kind
            self.kinds.setdefault(kind, set()).add(name)

    def __len__(self) -> int:
        return len(self.kind_of)

    def __contains__(self, machine: str) -> bool:
        return machine in self.kind_of

    def remove(self, machine: str) -> bool:
        """The machine is squared; True if it was the last of its kind, so that some jobs may be held up no more."""
        kind = self.kind_of.pop(machine, None)
        if kind is None:
            return False
        there = self.kinds[kind]
        there.discard(machine)
        if there:
            return False
        del self.kinds[kind]
        return True

    def may_hold(self, spec: JobSpec) -> bool:
        """Whether a task of the job may be on one of the machines."""
        return any(not kind.type or allowed(spec, kind.type, kind.zone, kind.spot) for kind in self.kinds)
