"""After a failover: reconciles what the workers report with what is stored.

Pure: time and randomness are arguments, nothing here does I/O. ``docs/design-recovery.md`` weighs the ways,
``docs/recovery.md`` says what people on call see.

* ``reconcile``: what follows from what a job shard has recorded of a task and what a machine shard observes of it.
* ``Barrier``: the machines that an inherited task may still be on.
* ``ReconciliationProgress``: how far a shard's machines are reconciled, for its log line a second.
* ``HeartbeatProber``: which machines a shard asks to acknowledge a new fencing token, and when again.
* ``ScaleInGuard``: what the leader leaves undone while it does not know the fleet.
"""

from alderbridge.reconciliation.barrier import Barrier
from alderbridge.reconciliation.prober import HeartbeatProber
from alderbridge.reconciliation.progress import MachineProgress, ReconciliationProgress
from alderbridge.reconciliation.scale_in_guard import FleetKnowledge, ScaleInGuard
from alderbridge.reconciliation.transitions import TRANSITIONS, Action, ObservedState, RecordedState, reconcile

__all__ = [
    "TRANSITIONS",
    "Action",
    "Barrier",
    "FleetKnowledge",
    "HeartbeatProber",
    "MachineProgress",
    "ObservedState",
    "ReconciliationProgress",
    "RecordedState",
    "ScaleInGuard",
    "reconcile",
]
