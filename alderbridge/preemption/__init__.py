"""Who makes room for whom, once: the durable claim on a machine, its budget, and the choice of victims.

Shared by urgency and lending. The leader plans (``choosing``, ``desk``), the store remembers (``records``,
``ledger``), the part of the machine carries out, proof clears.
"""

from alderbridge.preemption.budget import Budget, Limit
from alderbridge.preemption.choosing import Group, Held, Need, Victim, choose, loss, loss_s
from alderbridge.preemption.ledger import ClaimState, Ledger, Transaction
from alderbridge.preemption.preemption import Teams, allowed
from alderbridge.preemption.records import Claim, Spent, Stops, budget_of

__all__ = [
    "Budget",
    "Claim",
    "ClaimState",
    "Group",
    "Held",
    "Ledger",
    "Limit",
    "Need",
    "Spent",
    "Stops",
    "Teams",
    "Transaction",
    "Victim",
    "allowed",
    "budget_of",
    "choose",
    "loss",
    "loss_s",
]
