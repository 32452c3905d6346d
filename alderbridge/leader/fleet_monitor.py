"""Tracks whether all machines have reported, and logs the fleet's state until they have."""

from __future__ import annotations

import logging
from collections.abc import Mapping

from alderbridge import constants
from alderbridge.leader.rented_machines import ReportedState
from alderbridge.protocol.messages import MachineSummary
from alderbridge.queues import ShardQueue
from alderbridge.reconciliation import FleetKnowledge, ScaleInGuard

SummaryRows = Mapping[str, tuple[MachineSummary, float]]  # machine -> its summary, time of arrival

log = logging.getLogger("leader")


class FleetMonitor:
    """Updates the scale-in guard, and finds silent machines to return as proof that nothing runs on them."""

    def __init__(self, guard: ScaleInGuard) -> None:
        """``guard`` is kept across views."""
        self.guard = guard
        self.to_prove_empty: set[str] = set()  # silent machines whose return unblocks inherited tasks
        self.last_logged_at = 0.0

    def refresh(self, rows: SummaryRows, queues: Mapping[str, ShardQueue], now: float) -> None:
        """Re-evaluate the fleet from the current summaries and queues."""
        before = self.guard.knowledge
        unreported = [
            (name, row.silent_s + now - received_at)
            for name, (row, received_at) in rows.items()
            if row.state == ReportedState.EXPECTED
        ]
        silent = sum(silent_s > constants.MACHINE_SILENCE_TIMEOUT_S for _, silent_s in unreported)
        inherited = sum(row.inherited for queue in queues.values() for row in queue.rows)
        knowledge = self.guard.refresh(len(unreported) - silent, len(rows), inherited, now)
        self.to_prove_empty = set(self.guard.machines_to_prove_empty(unreported, len(rows), inherited))
        if knowledge is not before or (
            knowledge is not FleetKnowledge.RECONCILED
            and now - self.last_logged_at >= constants.LEADER_ROUND_INTERVAL_S
        ):
            self.last_logged_at = now
            log.info(
                "fleet state=%s reconciled=%d of=%d silent=%d inherited_tasks=%d postponed_scale_in=%d",
                knowledge.value,
                len(rows) - len(unreported),
                len(rows),
                silent,
                inherited,
                self.guard.postponed_scale_ins,
            )
