"""What the leader leaves undone while it does not know the fleet.

After a failover the queue rows lack what waits behind a recovery barrier, and machines that have not reported yet seem
free. Decided on that, the leader returned 190 machines as idle and rented 192 again ten seconds later
(mfrs-routing-fleet, restart; simulated machines).
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum

from alderbridge import constants


class FleetKnowledge(str, Enum):
    """How much of the fleet the leader's rows account for."""

    RECONCILED = "reconciled"  # every machine likely to be alive has reported, no inherited task waits for a proof
    RECONCILING = "reconciling"  # some have not: nothing is returned as idle, inherited tasks rent nothing
    OVERDUE = "overdue"  # for longer than any lease lasts: inherited tasks count as waiting ones


class ScaleInGuard:
    """One for all views that a process leads: a second failover resumes, and its bound does not begin anew."""

    def __init__(self, lease_s: float) -> None:
        """``lease_s``: of the workers, in s; by then, and a settled view, silence proves absence."""
        self.bound_s = lease_s * (1 + 2 * constants.CLOCK_DRIFT) + constants.PROOF_MARGIN_S + constants.VIEW_SETTLE_S
        self.knowledge = FleetKnowledge.RECONCILED
        self.since = 0.0  # when ``knowledge`` changed to or from RECONCILED last
        self.postponed_returns = 0  # idle machines that were not returned because of it, so far in this reconciliation

    def refresh(self, unheard: int, machines: int, inherited: int, now: float) -> FleetKnowledge:
        """``unheard`` of ``machines`` may report at any moment; ``inherited``: tasks that wait behind barriers."""
        if unheard <= machines * constants.UNREPORTED_SHARE and not inherited:
            self._set_reconciled(now)
        elif self.knowledge is FleetKnowledge.RECONCILED:
            self._set_reconciling(now)
        elif self.knowledge is FleetKnowledge.RECONCILING and now - self.since > self.bound_s:
            self._set_overdue()
        return self.knowledge

    @staticmethod
    def machines_to_prove_empty(silent: Iterable[tuple[str, float]], machines: int, inherited: int) -> list[str]:
        """Which of the machines that have not reported, (name, s of silence), to return: proof that nothing is on them.

        Only where inherited tasks wait, all others have reported, and these few are most likely dead. The
        machines of a zone that is cut off are many, and come back: for them the lease is waited for.
        """
        silent = list(silent)
        if not inherited or len(silent) > max(constants.PROOF_LEAST, machines * constants.PROOF_SHARE):
            return []
        return [name for name, silence_s in silent if silence_s > constants.PROOF_SILENT_S]

    @property
    def may_return(self) -> bool:
        """Whether a machine may be returned because nothing seems to need it."""
        return self.knowledge is not FleetKnowledge.RECONCILING

    @property
    def counts_inherited(self) -> bool:
        """Whether inherited tasks ask for machines: else they may still run on some."""
        return self.knowledge is FleetKnowledge.OVERDUE

    def count_postponed_return(self) -> None:
        """An idle machine at the end of its block stays."""
        self.postponed_returns += 1

    # -- changes of state, one method each ---------------------------------

    def _set_reconciled(self, now: float) -> None:
        self.knowledge, self.since, self.postponed_returns = FleetKnowledge.RECONCILED, now, 0

    def _set_reconciling(self, now: float) -> None:
        self.knowledge, self.since, self.postponed_returns = FleetKnowledge.RECONCILING, now, 0

    def _set_overdue(self) -> None:
        self.knowledge = FleetKnowledge.OVERDUE
