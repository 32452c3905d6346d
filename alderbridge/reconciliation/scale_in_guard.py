"""Postpones scaling in after a failover until the leader has an accurate view of the fleet.

After a failover, tasks behind the recovery barrier do not count as waiting yet, and machines that have not reported
seem idle. Without the guard the leader returned 190 machines as idle and rented 192 again ten seconds later
(simulated).
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum

from alderbridge import constants


class FleetKnowledge(str, Enum):
    """How complete the leader's data on the fleet are."""

    RECONCILED = "reconciled"  # nearly all machines that seem alive have reported, and no inherited task waits
    RECONCILING = "reconciling"  # otherwise: no machine is returned as idle, none is rented for inherited tasks
    OVERDUE = "overdue"  # reconciling for longer than any lease lasts: inherited tasks count as waiting


class ScaleInGuard:
    """State across all views that a process leads, so that another failover does not restart the time limit."""

    def __init__(self, lease_s: float) -> None:
        """``lease_s``: lease of the workers. A silent machine has no tasks once it and the settling time are over."""
        self.overdue_after_s = (
            lease_s * (1 + 2 * constants.MAX_CLOCK_DRIFT)
            + constants.LEASE_EXPIRY_MARGIN_S
            + constants.VIEW_SETTLE_TIMEOUT_S
        )
        self.knowledge = FleetKnowledge.RECONCILED
        self.since = 0.0  # when ``knowledge`` last changed to or from RECONCILED
        self.postponed_scale_ins = 0  # idle machines not returned during this reconciliation

    def refresh(self, unreported: int, machines: int, inherited: int, now: float) -> FleetKnowledge:
        """Update the state; ``unreported``: machines that may still report; ``inherited``: tasks behind barriers."""
        if unreported <= machines * constants.MAX_UNREPORTED_SHARE and not inherited:
            self._set_reconciled(now)
        elif self.knowledge is FleetKnowledge.RECONCILED:
            self._set_reconciling(now)
        elif self.knowledge is FleetKnowledge.RECONCILING and now - self.since > self.overdue_after_s:
            self._set_overdue()
        return self.knowledge

    @staticmethod
    def machines_to_prove_empty(unreported: Iterable[tuple[str, float]], machines: int, inherited: int) -> list[str]:
        """Select machines to return so that their termination proves that no inherited task runs on them.

        ``unreported``: (name, seconds of silence) of machines that have not reported. They are returned only if
        inherited tasks wait and they are so few that they are most likely dead. The machines of an unreachable zone
        are many and may come back, so their leases are left to expire.
        """
        unreported = list(unreported)
        if not inherited or len(unreported) > max(
            constants.EMPTY_PROOF_MIN_MACHINES, machines * constants.EMPTY_PROOF_MAX_SHARE
        ):
            return []
        return [name for name, silence_s in unreported if silence_s > constants.EMPTY_PROOF_SILENCE_S]

    @property
    def may_scale_in(self) -> bool:
        """Whether a machine may be returned because it is idle."""
        return self.knowledge is not FleetKnowledge.RECONCILING

    @property
    def counts_inherited(self) -> bool:
        """Whether machines are rented for inherited tasks: not while these may still run."""
        return self.knowledge is FleetKnowledge.OVERDUE

    def count_postponed_scale_in(self) -> None:
        """Count an idle machine that was not returned at the end of its paid block."""
        self.postponed_scale_ins += 1

    def _set_reconciled(self, now: float) -> None:
        self.knowledge, self.since, self.postponed_scale_ins = FleetKnowledge.RECONCILED, now, 0

    def _set_reconciling(self, now: float) -> None:
        self.knowledge, self.since, self.postponed_scale_ins = FleetKnowledge.RECONCILING, now, 0

    def _set_overdue(self) -> None:
        self.knowledge = FleetKnowledge.OVERDUE
