"""Whether a submitted job may be accepted, from what this controller knows without asking the store."""

from __future__ import annotations

from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple

from alderbridge.controller import responses
from alderbridge.controller.core import ControllerCore
from alderbridge.protocol import wire
from alderbridge.scheduling import placement
from alderbridge.settings import Team

_ROUNDING = 1e-9  # CPUs or GPUs by which a sum may exceed a limit


class Admission(StrEnum):
    """What becomes of a submission."""

    ADMITTED = "admitted"  # it may be stored, once its dependencies are found
    ALREADY_KNOWN = "already known"  # its job was submitted before
    REJECTED = "rejected"  # it can never run, unless its job was accepted elsewhere
    UNAVAILABLE = "unavailable"  # it can't be decided now


class AdmissionDecision(NamedTuple):
    """The decision, and for a rejection or an unavailable service the text for the user."""

    admission: Admission
    reason: str = ""


def decide(core: ControllerCore, spec: wire.JobSpec, now: float, store_failing: bool) -> AdmissionDecision:
    """What becomes of a well-formed submission; ``store_failing``: a call to the store has failed a moment ago."""
    if core.directory.knows_job(spec.id):
        return AdmissionDecision(Admission.ALREADY_KNOWN)
    if not core.state.loaded or not core.machine_shard.capacity.types:
        return AdmissionDecision(Admission.UNAVAILABLE, "not ready")
    reason = rejection_reason(spec, core.shared.teams, core.machine_shard.capacity.types.values())
    if reason:
        return AdmissionDecision(Admission.REJECTED, reason)
    if not core.membership.may_act(now) or store_failing:
        return AdmissionDecision(Admission.UNAVAILABLE, responses.STORE_UNREACHABLE)
    if not core.record_writer.can_take_submission(now) and spec.id not in core.submissions.pending:
        return AdmissionDecision(Admission.UNAVAILABLE, responses.STORE_BUSY)
    return AdmissionDecision(Admission.ADMITTED)


def rejection_reason(spec: wire.JobSpec, teams: Iterable[Team], machine_types: Iterable[wire.MachineType]) -> str:
    """Why the job can never run, empty if it can."""
    team = next((team for team in teams if team.name == spec.team), None)
    if team is None:
        return "unknown team"
    if not placement.runnable(spec, machine_types):
        return "a task fits no allowed machine type"
    if _exceeds_quota(spec, team):
        return "more than the team's limit"
    return ""


def _exceeds_quota(spec: wire.JobSpec, team: Team) -> bool:
    """Whether what has to run at once, one task or all of a service, is more than the team may ever use."""
    tasks = spec.tasks if spec.service else 1
    return (team.cpus_max > 0 and spec.cpus * tasks > team.cpus_max + _ROUNDING) or (
        team.gpus_max > 0 and spec.gpus * tasks > team.gpus_max + _ROUNDING
    )
