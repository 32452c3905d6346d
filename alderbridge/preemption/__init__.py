"""Room that is made for one job by preempting others: the durable claim on a machine, its budget, its victims.

Shared by priorities and lending. The leader plans (``planner``, ``victim_selection``), the store remembers
(``alderbridge.claims``), the machine's shard stops the victims, and its reports prove that they are gone.
"""

from alderbridge.preemption.budget import PreemptionBudget, PreemptionLimit
from alderbridge.preemption.eligibility import Teams, allowed
from alderbridge.preemption.model import CandidateMachine, PreemptionDemand, Victim
from alderbridge.preemption.victim_selection import SelectionRules, lost_cpu_seconds, lost_seconds, select_victims

__all__ = [
    "CandidateMachine",
    "PreemptionBudget",
    "PreemptionDemand",
    "PreemptionLimit",
    "SelectionRules",
    "Teams",
    "Victim",
    "allowed",
    "lost_cpu_seconds",
    "lost_seconds",
    "select_victims",
]
