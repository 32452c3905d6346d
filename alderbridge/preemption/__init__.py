"""Preemption: frees capacity on machines for one job by stopping tasks of others.

Shared by priorities and lending. The leader plans preemptions (``planner``, ``victim_selection``) and stores each as a
durable claim on a machine (``alderbridge.claims``). The machine's shard stops the victims; a victim counts as gone once
the shard's report no longer lists it.
"""

from alderbridge.preemption.budget import PreemptionBudget, PreemptionLimit
from alderbridge.preemption.eligibility import GuaranteeUsage, preemption_allowed
from alderbridge.preemption.model import CandidateMachine, PreemptionDemand, Victim
from alderbridge.preemption.victim_selection import SelectionRules, lost_cpu_seconds, lost_seconds, select_victims

__all__ = [
    "CandidateMachine",
    "PreemptionBudget",
    "PreemptionDemand",
    "PreemptionLimit",
    "SelectionRules",
    "GuaranteeUsage",
    "Victim",
    "preemption_allowed",
    "lost_cpu_seconds",
    "lost_seconds",
    "select_victims",
]
