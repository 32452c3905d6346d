"""Discrete-event simulation: controller cores with a simulated store, cloud, workers, users and unreliable network.

All randomness comes from one seed. Protocol invariants are checked after each step that could violate them;
``InvariantViolation`` names the violated one. Crashed controllers restart within 0.1 to 60 s, mostly in under a second.
Frames, transactions, responses and heartbeats that were in flight before a crash are still delivered.
"""

from simulation.controller import SimController
from simulation.deployment import CANCEL_S, HEARTBEAT_S, LABELS, LEASE_S, OBJECTIVES, TEAMS, TYPES, ZONES, platform
from simulation.errors import InvariantViolation, StoreRefusedError, TransactionTooLargeError
from simulation.invariants import LARGEST_START_LIMIT_S, MAX_PLACEABLE_WAIT_S, MAX_STATUS_AGE_S
from simulation.store import STORE_S, SimStore
from simulation.users import NOT_FOUND, submission_of
from simulation.worker import SimTask, SimWorker
from simulation.world import World

__all__ = [
    "LARGEST_START_LIMIT_S",
    "InvariantViolation",
    "CANCEL_S",
    "MAX_STATUS_AGE_S",
    "LABELS",
    "LEASE_S",
    "NOT_FOUND",
    "OBJECTIVES",
    "HEARTBEAT_S",
    "MAX_PLACEABLE_WAIT_S",
    "STORE_S",
    "SimController",
    "SimStore",
    "SimTask",
    "SimWorker",
    "StoreRefusedError",
    "TEAMS",
    "TYPES",
    "TransactionTooLargeError",
    "World",
    "ZONES",
    "platform",
    "submission_of",
]
