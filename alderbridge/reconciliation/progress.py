"""How far the machines of one part are squared with the store under one view.

States of a recorded machine, one method for each change:

* RECORDED: the store says that tasks may be on it; nothing was heard under this view.
* HEARD: it has reported, with an older mandate: what it shows proves nothing yet.
* ACKNOWLEDGED: a report bore the mandate.
* SQUARED: its homes have been told all that is on it, and so what is not.
* SILENT: nothing for longer than two reports take; it may hang, be cut off, or be dead.
* LAPSED: its lease has provably run out; nothing is on it.
* RETURNED: the cloud has confirmed its end.

A machine that nobody recorded enters with its first report and holds nothing up. This is the account that
people on call read; what may be ordered, and what is proof, is decided in ``machines``.
"""

from __future__ import annotations

from collections import Counter
from enum import Enum


class MachineProgress(str, Enum):
    RECORDED = "recorded"
    REPORTED = "reported"
    ACKNOWLEDGED = "acknowledged"
    RECONCILED = "reconciled"
    SILENT = "silent"
    EXPIRED = "expired"
    TERMINATED = "terminated"


_UNSETTLED = frozenset((MachineProgress.RECORDED, MachineProgress.REPORTED, MachineProgress.ACKNOWLEDGED))


class ReconciliationProgress:
    def __init__(self, now: float) -> None:
        self.began = now
        self.states: dict[str, MachineProgress] = {}
        self.open = 0  # machines in a state that lasts seconds at most

    # -- changes of state, one method each ---------------------------------

    def add_recorded(self, machine: str) -> None:
        self._to(machine, MachineProgress.RECORDED)

    def record_report(self, machine: str) -> None:
        if self.states.get(machine) in (MachineProgress.RECORDED, MachineProgress.SILENT):
            self._to(machine, MachineProgress.REPORTED)

    def acknowledge(self, machine: str) -> None:
        self._to(machine, MachineProgress.ACKNOWLEDGED)

    def mark_reconciled(self, machine: str) -> None:
        if self.states.get(machine) is not MachineProgress.RECONCILED:
            self._to(machine, MachineProgress.RECONCILED)

    def mark_silent(self, machine: str) -> None:
        if self.states.get(machine) in (MachineProgress.RECORDED, MachineProgress.REPORTED):
            self._to(machine, MachineProgress.SILENT)

    def mark_expired(self, machine: str) -> None:
        self._to(machine, MachineProgress.EXPIRED)

    def mark_terminated(self, machine: str) -> None:
        self._to(machine, MachineProgress.TERMINATED)

    def _to(self, machine: str, state: MachineProgress) -> None:
        self.open += (state in _UNSETTLED) - (self.states.get(machine) in _UNSETTLED)
        self.states[machine] = state

    # -- questions ---------------------------------------------------------

    @property
    def over(self) -> bool:
        """Nothing more is expected within seconds."""
        return self.open == 0

    def counts(self) -> Counter[MachineProgress]:
        return Counter(self.states.values())

    def line(self, now: float) -> str:
        counts = self.counts()
        told = ", ".join(f"{state.value} {counts[state]}" for state in MachineProgress if counts[state])
        return f"after {now - self.began:.1f} s: {told or 'no machines'} of {len(self.states)}"
