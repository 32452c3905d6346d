"""Who makes room for whom, once: the durable claim on a machine, its budget, and the choice of victims.

Shared by urgency and lending. The leader plans (``choosing``, ``desk``), the store remembers (``records``,
``ledger``), the part of the machine carries out, proof clears.
"""

from alderbridge.preemption.budget import PreemptionBudget, PreemptionLimit
from alderbridge.preemption.eligibility import Teams, allowed
from alderbridge.preemption.ledger import ClaimState, ClaimTransaction, Ledger
from alderbridge.preemption.records import JobPreemptions, PreemptionClaim, PreemptionsSpent, budget_key
from alderbridge.preemption.victim_selection import (
    CandidateMachine,
    ClaimGroup,
    PreemptionDemand,
    Victim,
    lost_cpu_seconds,
    lost_seconds,
    select_victims,
)

__all__ = [
    "CandidateMachine",
    "ClaimGroup",
    "ClaimState",
    "ClaimTransaction",
    "JobPreemptions",
    "Ledger",
    "PreemptionBudget",
    "PreemptionClaim",
    "PreemptionDemand",
    "PreemptionLimit",
    "PreemptionsSpent",
    "Teams",
    "Victim",
    "allowed",
    "budget_key",
    "lost_cpu_seconds",
    "lost_seconds",
    "select_victims",
]
