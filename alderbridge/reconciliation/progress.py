"""How far the machines of one machine shard are reconciled with the store under one view.

States of a recorded machine, one method for each change:

* RECORDED: the store says that tasks may be on it; nothing was heard under this view.
* REPORTED: a heartbeat came, with an older fencing token: what it shows proves nothing yet.
* ACKNOWLEDGED: a heartbeat bore the view's fencing token.
* RECONCILED: the job owners have been told all that is on it, and so what is not.
* SILENT: nothing for longer than two heartbeats take; it may hang, be cut off, or be dead.
* EXPIRED: its worker's lease has provably run out; nothing is on it.
* TERMINATED: the cloud has confirmed that it is gone.

A machine that nobody recorded enters with its first heartbeat and holds nothing up. This is the progress that
people on call read; what may be ordered, and what is proof, is decided in ``machines``.
"""

from __future__ import annotations

from collections import Counter
from enum import Enum


class MachineProgress(str, Enum):
    """How far one machine is reconciled; see the module. The values are in the log line."""

    RECORDED = "recorded"
    REPORTED = "reported"
    ACKNOWLEDGED = "acknowledged"
    RECONCILED = "reconciled"
    SILENT = "silent"
    EXPIRED = "expired"
    TERMINATED = "terminated"


_UNSETTLED = frozenset((MachineProgress.RECORDED, MachineProgress.REPORTED, MachineProgress.ACKNOWLEDGED))


class ReconciliationProgress:
    """The progress of all machines of a shard under one view."""

    def __init__(self, now: float) -> None:
        """``now``: when the view was entered, s of the steady clock."""
        self.began = now
        self.states: dict[str, MachineProgress] = {}
        self.unsettled = 0  # machines in a state that lasts seconds at most

    # -- changes of state, one method each ---------------------------------

    def add_recorded(self, machine: str) -> None:
        """The store has recorded the machine."""
        self._to(machine, MachineProgress.RECORDED)

    def record_report(self, machine: str) -> None:
        """A heartbeat with an older fencing token came."""
        if self.states.get(machine) in (MachineProgress.RECORDED, MachineProgress.SILENT):
            self._to(machine, MachineProgress.REPORTED)

    def acknowledge(self, machine: str) -> None:
        """A heartbeat with the view's fencing token came."""
        self._to(machine, MachineProgress.ACKNOWLEDGED)

    def mark_reconciled(self, machine: str) -> None:
        """The job owners have been told what is on the machine."""
        if self.states.get(machine) is not MachineProgress.RECONCILED:
            self._to(machine, MachineProgress.RECONCILED)

    def mark_silent(self, machine: str) -> None:
        """Nothing came for longer than two heartbeats take."""
        if self.states.get(machine) in (MachineProgress.RECORDED, MachineProgress.REPORTED):
            self._to(machine, MachineProgress.SILENT)

    def mark_expired(self, machine: str) -> None:
        """The worker's lease has run out for certain."""
        self._to(machine, MachineProgress.EXPIRED)

    def mark_terminated(self, machine: str) -> None:
        """The cloud has confirmed that the machine is gone."""
        self._to(machine, MachineProgress.TERMINATED)

    def _to(self, machine: str, state: MachineProgress) -> None:
        self.unsettled += (state in _UNSETTLED) - (self.states.get(machine) in _UNSETTLED)
        self.states[machine] = state

    # -- questions ---------------------------------------------------------

    @property
    def over(self) -> bool:
        """Nothing more is expected within seconds."""
        return self.unsettled == 0

    def counts(self) -> Counter[MachineProgress]:
        """How many machines are in each state."""
        return Counter(self.states.values())

    def line(self, now: float) -> str:
        """The progress for the log: time since the view began, and the count of each state."""
        counts = self.counts()
        text = ", ".join(f"{state.value} {counts[state]}" for state in MachineProgress if counts[state])
        return f"after {now - self.began:.1f} s: {text or 'no machines'} of {len(self.states)}"
