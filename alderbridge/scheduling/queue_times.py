"""How long a job may wait: the paper's Maximum Queue Time, adjusted by the operators' objectives.

Terms are those of the paper that ``policy`` cites; numbers in brackets are its sections.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from alderbridge import constants
from alderbridge.protocol.wire import JobSpec
from alderbridge.settings import Objective, Tuning


def expected_run_time(spec: JobSpec, tuning: Tuning) -> float:
    """Expected Run Time of one task, in seconds: the requested time times the Workload Multiplier (3.1)."""
    if spec.service or spec.gang:
        return constants.SERVICE_RUN_TIME_S  # long enough that its tasks are never planned one after another
    return (spec.estimate_s or constants.DEFAULT_RUN_TIME_S) * tuning.workload_multiplier


def max_queue_time(spec: JobSpec, tuning: Tuning) -> float:
    """Maximum Queue Time in seconds: the requested time times the Target Ratio, with a floor (3.1, Equation 1)."""
    requested = spec.estimate_s or constants.DEFAULT_RUN_TIME_S
    return max(tuning.queue_time_floor_s, requested * tuning.target_ratio)


def queue_times(
    spec: JobSpec,
    tuning: Tuning,
    objectives: Iterable[Objective],
    guaranteed: bool,
    waited_s: float = 0.0,
    needed_s: Iterable[float] = (),
) -> list[tuple[float, float]]:
    """Pairs, shortest first, of a Maximum Queue Time and the wait after which its objective cannot be met any more.

    Objectives may promise a start within seconds, so the paper's floor does not apply to them. An objective on waiting
    sets a Maximum Queue Time directly; one on finishing, or a deadline, sets what remains after the Expected Run Time.

    Times count from when the job's last dependency was done, which was ``waited_s`` after its submission; its deadline
    counts from the submission. ``needed_s``: times by which the job has to end for the deadlines of its dependents.
    """
    run_s = expected_run_time(spec, tuning)
    times = [
        time
        for objective in objectives
        if (time := _objective_time(objective, spec, guaranteed, run_s, waited_s)) is not None
    ]
    times += [
        (by - run_s * constants.RUN_TIME_SAFETY_FACTOR, by - run_s * constants.MIN_RUN_TIME_FACTOR) for by in needed_s
    ]
    floor = max_queue_time(spec, tuning)
    return sorted(times) or [(floor, floor)]


def _objective_time(
    objective: Objective, spec: JobSpec, guaranteed: bool, run_s: float, waited_s: float
) -> tuple[float, float] | None:
    """The pair that one objective contributes to ``queue_times``; None if the objective does not apply to the job."""
    same_class = objective.job_class == spec.job_class
    deadline = objective.kind == "deadline"
    within = (spec.due_s or 0.0) * (objective.times or 1.0) if deadline else objective.within_s
    if not within:
        return None
    if (objective.kind == "wait" and same_class) or (objective.kind == "guarantee" and guaranteed):
        return within * constants.OBJECTIVE_QUEUE_TIME_SHARE, within
    if objective.kind in ("finished", "deadline") and same_class:
        minimum_s, elapsed_s = within * constants.MIN_QUEUE_TIME_SHARE, waited_s if deadline else 0.0
        return (
            max(minimum_s, within - run_s * constants.RUN_TIME_SAFETY_FACTOR) - elapsed_s,
            max(minimum_s, within - run_s * constants.MIN_RUN_TIME_FACTOR) - elapsed_s,
        )
    return None


def due_in(age_s: float, times: Sequence[tuple[float, float]]) -> tuple[float, bool]:
    """Seconds until the next Maximum Queue Time that can still be met, and whether all are missed.

    A job that has missed them all sorts behind jobs that can still be on time, with its last Maximum Queue Time counted
    from now.
    """
    for limit_s, unreachable_after_s in times:
        if age_s <= unreachable_after_s:
            return limit_s - age_s, False
    return max(0.0, times[-1][0]), True
