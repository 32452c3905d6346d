"""Whether the machine shards' summaries account for the fleet, with a log line until they do. Pure."""

from __future__ import annotations

import logging
from collections.abc import Mapping

from alderbridge import constants
from alderbridge.leader.rented_machines import ReportedState
from alderbridge.protocol.messages import MachineSummary
from alderbridge.queues import ShardQueue
from alderbridge.reconciliation import FleetKnowledge, ScaleInGuard

SummaryRows = Mapping[str, tuple[MachineSummary, float]]  # machine -> its summary, and when it arrived

log = logging.getLogger("leader")


class FleetMonitor:
    """Feeds the scale-in guard, and finds machines that are to be proven empty."""

    def __init__(self, guard: ScaleInGuard) -> None:
        """``guard`` outlives the views, see there."""
        self.guard = guard
        self.to_prove_empty: set[str] = set()  # silent machines whose return frees what waits for them
        self.logged_at = 0.0  # when the last line on the fleet was written

    def refresh(self, rows: SummaryRows, queues: Mapping[str, ShardQueue], now: float) -> None:
        """What the summaries and queues say now."""
        before = self.guard.knowledge
        unheard = [
            (name, row.silent_s + now - at) for name, (row, at) in rows.items() if row.state == ReportedState.EXPECTED
        ]
        silent = sum(silence > constants.SILENT_S for _, silence in unheard)
        inherited = sum(row.inherited for queue in queues.values() for row in queue.rows)
        knowledge = self.guard.refresh(len(unheard) - silent, len(rows), inherited, now)
        self.to_prove_empty = set(self.guard.machines_to_prove_empty(unheard, len(rows), inherited))
        if knowledge is not before or (
            knowledge is not FleetKnowledge.RECONCILED and now - self.logged_at >= constants.LEADER_ROUND_S
        ):
            self.logged_at = now
            log.info(
                "fleet state=%s reconciled=%d of=%d silent=%d inherited_tasks=%d postponed_scale_in=%d",
                knowledge.value,
                len(rows) - len(unheard),
                len(rows),
                silent,
                inherited,
                self.guard.postponed_returns,
            )
