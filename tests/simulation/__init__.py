"""A small simulated world: store, cloud, workers, users and a bad network around three or five pure controllers.

Everything is drawn from one seed. The rules of the protocol are asserted after each step that could break them;
``Broken`` names the rule. Processes return within 0.1 to 60 s of their end, mostly at once. What an earlier life of
theirs had on its way still arrives: frames, transactions, answers, heartbeats.
"""

from simulation.controller import SimController
from simulation.deployment import CANCEL_S, LABELS, LEASE_S, OBJECTIVES, REPORT_S, TEAMS, TYPES, ZONES, platform
from simulation.errors import Broken, StoreRefusedError, TransactionTooLargeError
from simulation.invariants import BEGIN_S, KNOWN_S, ROOM_S
from simulation.store import STORE_S, SimStore
from simulation.users import NOT_FOUND, submission_of
from simulation.worker import SimTask, SimWorker
from simulation.world import World

__all__ = [
    "BEGIN_S",
    "Broken",
    "CANCEL_S",
    "KNOWN_S",
    "LABELS",
    "LEASE_S",
    "NOT_FOUND",
    "OBJECTIVES",
    "REPORT_S",
    "ROOM_S",
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
