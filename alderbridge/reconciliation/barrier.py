"""The recovery barrier: machines that may still run inherited tasks."""

from __future__ import annotations

from collections.abc import Mapping

from alderbridge.protocol.wire import JobSpec, MachineRecord
from alderbridge.scheduling.placement import allowed


class Barrier:
    """Recorded machines that are not reconciled yet, by kind. An inherited task waits for those that its job may use.

    A kind is a machine record without its address: type, zone and spot, which never change. Tasks are granted only to
    machines of a kind that their job allows. A machine whose record lacks these fields, as written by an earlier
    version, may run tasks of any job.
    """

    def __init__(self, machines: Mapping[str, MachineRecord]) -> None:
        """``machines``: all machines that are recorded in the store."""
        self.machines_by_kind: dict[MachineRecord, set[str]] = {}
        self.kind_of: dict[str, MachineRecord] = {}
        for name, record in machines.items():
            kind = MachineRecord(type=record.type, zone=record.zone, spot=record.spot)
            self.kind_of[name] = kind
            self.machines_by_kind.setdefault(kind, set()).add(name)

    def __len__(self) -> int:
        """Number of machines that are not reconciled."""
        return len(self.kind_of)

    def __contains__(self, machine: str) -> bool:
        """Whether the machine may still run an inherited task."""
        return machine in self.kind_of

    def remove(self, machine: str) -> bool:
        """Remove a reconciled machine; True if it was the last of its kind, which may unblock jobs."""
        kind = self.kind_of.pop(machine, None)
        if kind is None:
            return False
        others = self.machines_by_kind[kind]
        others.discard(machine)
        if others:
            return False
        del self.machines_by_kind[kind]
        return True

    def may_run_tasks_of(self, spec: JobSpec) -> bool:
        """Whether any of the machines may still run a task of the job."""
        return any(not kind.type or allowed(spec, kind.type, kind.zone, kind.spot) for kind in self.machines_by_kind)
