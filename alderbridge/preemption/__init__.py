"""Room that is made for one job by preempting others: the durable claim on a machine, its budget, its victims.

Shared by priorities and lending. The leader plans (``planner``, ``victim_selection``), the store remembers
(``records``, ``ledger``), the machine's shard stops the victims, and its reports prove that they are gone.
"""

from alderbridge.claims.ledger import ClaimState, ClaimTransaction, Ledger
from alderbridge.claims.records import ClaimGroup, JobPreemptions, PreemptionClaim, PreemptionsSpent, budget_key
from alderbridge.preemption.budget import PreemptionBudget, PreemptionLimit
from alderbridge.preemption.eligibility import Teams, allowed
from alderbridge.preemption.model import CandidateMachine, PreemptionDemand, Victim
from alderbridge.preemption.victim_selection import SelectionRules, lost_cpu_seconds, lost_seconds, select_victims

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
    "SelectionRules",
    "Teams",
    "Victim",
    "allowed",
    "budget_key",
    "lost_cpu_seconds",
    "lost_seconds",
    "select_victims",
]
