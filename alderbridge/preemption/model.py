"""The values that preemption is planned with: who asks for room, who may stop for it, and on which machines."""

from __future__ import annotations

from typing import NamedTuple

from alderbridge.protocol.wire import JobSpec
from alderbridge.scheduling.demand import MachineKind
from alderbridge.scheduling.resources import Resources


class PreemptionDemand(NamedTuple):
    """Tasks of one job that nothing else serves in time."""

    spec: JobSpec
    count: int  # type: ignore[assignment]  # not the method of tuples, which nobody calls here
    due_in_s: float
    reason: str  # "urgent", "guarantee" or "serving"
    zone: str | None = None  # the only zone it may use now
    guaranteed: bool = False  # lies within its team's guarantee


class Victim(NamedTuple):
    """A task that might be preempted."""

    job: str
    index: int  # type: ignore[assignment]  # as ``count``
    attempt: int
    spec: JobSpec
    ran_s: float  # this attempt, since it was first seen running
    saved_s_ago: float | None = None  # since its last checkpoint; None: it never saves any
    stops: int = 0  # by claims, so far
    sure: bool = True  # ``ran_s`` is all; else at least that: it ran when its machine shard first heard of it
    since_stop_s: float = 0.0  # since the first stop of its job; 0: none


class CandidateMachine(NamedTuple):
    """A machine as its shard reports it: no claim is on it, and tasks may be placed there."""

    machine: str
    kind: MachineKind
    free: Resources
    tasks: list[Victim]  # those that the policy may preempt
