"""Admission of submitted jobs, decided from this controller's memory without reading the store."""

from __future__ import annotations

from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple

from alderbridge.controller import responses
from alderbridge.controller.core import ControllerCore
from alderbridge.protocol import wire
from alderbridge.scheduling import placement
from alderbridge.settings import Team

_QUOTA_TOLERANCE = 1e-9  # CPUs or GPUs: floating-point error allowed when comparing a sum with a limit


class Admission(StrEnum):
    """Result of the admission check."""

    ADMITTED = "admitted"  # may be stored once its dependencies have been checked
    ALREADY_KNOWN = "already known"  # a job with this id is cached or recorded here
    REJECTED = "rejected"  # can never run; refused unless the store has already accepted the job
    UNAVAILABLE = "unavailable"  # cannot be decided now; the user retries


class AdmissionDecision(NamedTuple):
    """The result; ``reason`` is the error text for the user if rejected or unavailable."""

    admission: Admission
    reason: str = ""


def decide(core: ControllerCore, spec: wire.JobSpec, now: float, store_failing: bool) -> AdmissionDecision:
    """Decide on a well-formed submission; ``store_failing``: the backoff after a failed store call is active."""
    if core.directory.knows_job(spec.id):
        return AdmissionDecision(Admission.ALREADY_KNOWN)
    if not core.state.loaded or not core.machine_shard.capacity.types:
        return AdmissionDecision(Admission.UNAVAILABLE, "not ready")
    reason = rejection_reason(spec, core.shared.teams, core.machine_shard.capacity.types.values())
    if reason:
        return AdmissionDecision(Admission.REJECTED, reason)
    if not core.membership.may_act(now) or store_failing:
        return AdmissionDecision(Admission.UNAVAILABLE, responses.STORE_UNREACHABLE)
    if not core.record_writer.can_accept_submission(now) and spec.id not in core.submissions.pending:
        return AdmissionDecision(Admission.UNAVAILABLE, responses.STORE_BUSY)
    return AdmissionDecision(Admission.ADMITTED)


def rejection_reason(spec: wire.JobSpec, teams: Iterable[Team], machine_types: Iterable[wire.MachineType]) -> str:
    """The reason why the job can never run; empty if it can."""
    team = next((team for team in teams if team.name == spec.team), None)
    if team is None:
        return "unknown team"
    if not placement.runnable(spec, machine_types):
        return "a task fits no allowed machine type"
    if _exceeds_quota(spec, team):
        return "more than the team's limit"
    return ""


def _exceeds_quota(spec: wire.JobSpec, team: Team) -> bool:
    """Whether the tasks that must run together (one, or all of a service) exceed the team's limits."""
    tasks = spec.tasks if spec.service else 1
    return (team.cpus_max > 0 and spec.cpus * tasks > team.cpus_max + _QUOTA_TOLERANCE) or (
        team.gpus_max > 0 and spec.gpus * tasks > team.gpus_max + _QUOTA_TOLERANCE
    )
