"""The inputs of preemption planning: demands, candidate victims and candidate machines."""

from __future__ import annotations

from typing import NamedTuple

from alderbridge.protocol.wire import JobSpec
from alderbridge.scheduling.demand import MachineKind
from alderbridge.scheduling.resources import Resources


class PreemptionDemand(NamedTuple):
    """Tasks of one job that cannot start in time without preemption."""

    spec: JobSpec
    count: int  # type: ignore[assignment]  # hides the method of tuple, which is not used here
    due_in_s: float
    reason: str  # "urgent", "guarantee" or "serving"
    zone: str | None = None  # the only zone that the job may use now
    guaranteed: bool = False  # the job lies within its team's guarantee


class Victim(NamedTuple):
    """A task that might be preempted."""

    job: str
    index: int  # type: ignore[assignment]  # as ``PreemptionDemand.count``
    attempt: int
    spec: JobSpec
    ran_s: float  # of this attempt, since it was first observed running
    since_checkpoint_s: float | None = None  # since its last checkpoint; None: it does not checkpoint
    preemptions: int = 0  # preemptions so far
    is_run_time_exact: bool = (
        True  # ``ran_s`` is exact; else a minimum: the task ran before its machine shard first observed it
    )
    since_first_preemption_s: float = 0.0  # since the first preemption of its job; 0: never preempted


class CandidateMachine(NamedTuple):
    """A machine without a claim, as its shard reports it; tasks may be placed on it."""

    machine: str
    kind: MachineKind
    free: Resources
    tasks: list[Victim]  # only those that the policy may preempt
