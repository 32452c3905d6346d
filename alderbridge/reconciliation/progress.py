"""Progress of reconciling the machines of one machine shard with the store under one view.

States of a machine:

* RECORDED: it is recorded in the store, so it may run tasks; no heartbeat has arrived under this view.
* REPORTED: a heartbeat with an older fencing token has arrived; the tasks that it shows are not proof yet.
* ACKNOWLEDGED: a heartbeat with the view's fencing token has arrived.
* RECONCILED: the job owners have been sent all tasks on it, which also proves which tasks are absent.
* SILENT: no heartbeat for longer than two heartbeat intervals; it may hang, be unreachable, or be dead.
* EXPIRED: its worker's lease has provably expired, so no task runs on it.
* TERMINATED: the cloud has confirmed its termination.

A machine without a record enters with its first heartbeat that has the view's fencing token; no inherited task waits
for it. The states here serve the log only: which orders are allowed, and what counts as proof, is decided in
``alderbridge.machines``.
"""

from __future__ import annotations

from collections import Counter
from enum import Enum


class MachineProgress(str, Enum):
    """Reconciliation state of one machine. The values appear in the log."""

    RECORDED = "recorded"
    REPORTED = "reported"
    ACKNOWLEDGED = "acknowledged"
    RECONCILED = "reconciled"
    SILENT = "silent"
    EXPIRED = "expired"
    TERMINATED = "terminated"


_TRANSIENT_STATES = frozenset((MachineProgress.RECORDED, MachineProgress.REPORTED, MachineProgress.ACKNOWLEDGED))


class ReconciliationProgress:
    """Reconciliation states of all machines of a shard under one view."""

    def __init__(self, now: float) -> None:
        """``now``: when the view was entered, in seconds of the monotonic clock."""
        self.entered_at = now
        self.states: dict[str, MachineProgress] = {}
        self.transient_count = 0  # machines in a state that is left within seconds

    def add_recorded(self, machine: str) -> None:
        """Add a machine that is recorded in the store."""
        self._set_state(machine, MachineProgress.RECORDED)

    def record_report(self, machine: str) -> None:
        """A heartbeat with an older fencing token has arrived."""
        if self.states.get(machine) in (MachineProgress.RECORDED, MachineProgress.SILENT):
            self._set_state(machine, MachineProgress.REPORTED)

    def acknowledge(self, machine: str) -> None:
        """A heartbeat with the view's fencing token has arrived."""
        self._set_state(machine, MachineProgress.ACKNOWLEDGED)

    def mark_reconciled(self, machine: str) -> None:
        """The job owners have been sent the tasks on the machine."""
        if self.states.get(machine) is not MachineProgress.RECONCILED:
            self._set_state(machine, MachineProgress.RECONCILED)

    def mark_silent(self, machine: str) -> None:
        """No heartbeat has arrived for longer than two heartbeat intervals."""
        if self.states.get(machine) in (MachineProgress.RECORDED, MachineProgress.REPORTED):
            self._set_state(machine, MachineProgress.SILENT)

    def mark_expired(self, machine: str) -> None:
        """The worker's lease has provably expired."""
        self._set_state(machine, MachineProgress.EXPIRED)

    def mark_terminated(self, machine: str) -> None:
        """The cloud has confirmed the termination of the machine."""
        self._set_state(machine, MachineProgress.TERMINATED)

    def _set_state(self, machine: str, state: MachineProgress) -> None:
        self.transient_count += (state in _TRANSIENT_STATES) - (self.states.get(machine) in _TRANSIENT_STATES)
        self.states[machine] = state

    @property
    def is_settled(self) -> bool:
        """Whether no machine is in a transient state."""
        return self.transient_count == 0

    def counts(self) -> Counter[MachineProgress]:
        """Number of machines in each state."""
        return Counter(self.states.values())

    def summary(self, now: float) -> str:
        """Text for the log: time since the view was entered, and the number of machines in each state."""
        counts = self.counts()
        text = ", ".join(f"{state.value} {counts[state]}" for state in MachineProgress if counts[state])
        return f"after {now - self.entered_at:.1f} s: {text or 'no machines'} of {len(self.states)}"
