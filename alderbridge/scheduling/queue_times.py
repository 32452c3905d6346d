"""How long a job may wait: the paper's Maximum Queue Time, and what the operators' objectives make of it. Pure.

The words are those of the paper that ``policy`` follows; numbers in brackets are its sections.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from alderbridge import constants
from alderbridge.protocol.wire import JobSpec
from alderbridge.settings import Objective, Tuning


def expected_run_time(spec: JobSpec, tuning: Tuning) -> float:
    """Of one task, in s: the requested time times the Workload Multiplier (3.1)."""
    if spec.service or spec.gang:
        return constants.SERVICE_RUN_S  # its tasks need their slots side by side, not one after the other
    return (spec.estimate_s or constants.UNKNOWN_RUN_S) * tuning.workload_multiplier


def max_queue_time(spec: JobSpec, tuning: Tuning) -> float:
    """In s: the requested time times the Target Ratio, with the floor (3.1, Equation 1)."""
    requested = spec.estimate_s or constants.UNKNOWN_RUN_S
    return max(tuning.queue_time_floor_s, requested * tuning.target_ratio)


def queue_times(
    spec: JobSpec,
    tuning: Tuning,
    objectives: Iterable[Objective],
    guaranteed: bool,
    waited_s: float = 0.0,
    needed_s: Iterable[float] = (),
) -> list[tuple[float, float]]:
    """The Maximum Queue Times that the operators' objectives set, shortest first.

    Where they promise a start in seconds, the paper's floor of minutes cannot serve: an objective on waiting is a
    Maximum Queue Time itself, one on finishing or a deadline leaves what remains beside the Expected Run Time. With
    each goes the time after which it is out of reach even with luck.

    A job's times count from when all that it needs was done, ``waited_s`` after its submission, from which its deadline
    counts. ``needed_s``: by when it has to end for the deadlines of the jobs that need it.
    """
    run = expected_run_time(spec, tuning)
    times = [
        time
        for objective in objectives
        if (time := _objective_time(objective, spec, guaranteed, run, waited_s)) is not None
    ]
    times += [(by - run * constants.RUN_SAFETY, by - run * constants.RUN_OPTIMISM) for by in needed_s]
    floor = max_queue_time(spec, tuning)
    return sorted(times) or [(floor, floor)]


def _objective_time(
    objective: Objective, spec: JobSpec, guaranteed: bool, run_s: float, waited_s: float
) -> tuple[float, float] | None:
    """(Maximum Queue Time, when it is out of reach) by one objective; None where it sets none for the job."""
    ours = objective.job_class == spec.job_class
    deadline = objective.kind == "deadline"
    within = (spec.due_s or 0.0) * (objective.times or 1.0) if deadline else objective.within_s
    if not within:
        return None
    if (objective.kind == "wait" and ours) or (objective.kind == "guarantee" and guaranteed):
        return within * constants.WAIT_SHARE, within
    if objective.kind in ("finished", "deadline") and ours:
        least, gone = within * constants.LEAST_SHARE, waited_s if deadline else 0.0
        return (
            max(least, within - run_s * constants.RUN_SAFETY) - gone,
            max(least, within - run_s * constants.RUN_OPTIMISM) - gone,
        )
    return None


def due_in(age_s: float, times: Sequence[tuple[float, float]]) -> tuple[float, bool]:
    """Time until the next Maximum Queue Time that can still be kept; whether all are missed.

    Work that has missed them all cannot be late a second time: it queues behind
    work that can still be in time, with the last of its times over again.
    """
    for limit, hopeless in times:
        if age_s <= hopeless:
            return limit - age_s, False
    return max(0.0, times[-1][0]), True
