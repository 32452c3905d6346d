"""Reconciles the stored state with what the workers report after a failover.

The package does no I/O; time and random generators are passed in. The design is in ``docs/design-recovery.md``, the
operator's view in ``docs/recovery.md``.

* ``reconcile``: the action for a task, given the state recorded by its job shard and observed by a machine shard.
* ``Barrier``: the machines that may still run an inherited task.
* ``ReconciliationProgress``: how many machines of a shard are reconciled, for the log.
* ``HeartbeatProber``: when each machine is probed to acknowledge a new fencing token.
* ``ScaleInGuard``: postpones scaling in until enough of the fleet has reported.
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
