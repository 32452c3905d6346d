"""Reconciliation table: the action for a task on one machine, by its recorded and its observed state.

The rows are the states that the job shard has recorded, from the store and from later events. The columns are the
states that the machine shard observes, from a heartbeat with the view's fencing token, an expired lease, or a
confirmed termination. The machine shard drops out-of-order heartbeats and those with an older fencing token or of an
earlier incarnation, so they are not in the table.
"""

from __future__ import annotations

from enum import IntEnum


class RecordedState(IntEnum):
    """State of a task recorded by its job shard, with respect to one machine: the rows of ``TRANSITIONS``."""

    UNKNOWN_JOB = 0  # the shard has no such job
    JOB_ENDED = 1  # its job is done or aborted, and the task has no run
    JOB_ENDED_HERE = 2  # its job is done or aborted, and its run is this attempt on this machine
    RESULT_STORED = 3
    RESULT_UNSTORED = 4  # counted as done, but the record with it may not be stored yet
    WAITING = 5  # on no machine
    POSSIBLY_HERE = 6  # inherited, below the start limit: it may be on any recorded machine
    HERE = 7  # on this machine, with this attempt
    OTHER_ATTEMPT = 8  # on this machine, with an older or newer attempt
    ELSEWHERE = 9  # on another machine


class ObservedState(IntEnum):
    """State of a task observed by a machine shard on one machine: the columns of ``TRANSITIONS``."""

    LIVE = 0  # fetching, running or checkpointing
    PENDING = 1  # granted, but in no heartbeat yet: it may be on the machine, so it counts as there
    DONE = 2  # ended with a result
    ERROR = 3  # ended with an error
    STOPPED = 4  # ended because it was stopped or refused (full, busy, unknown); also an ended service
    ABSENT = 5  # proven not to be on the machine


class Action(IntEnum):
    """What the job shard does about the task."""

    NOTHING = 0
    ADOPT = 1  # record the run on this machine, so that the task does not start elsewhere
    ADOPT_AND_STOP = 2  # as ADOPT, and stop it; it counts as running until it has ended
    PROGRESS = 3
    PROGRESS_AND_STOP = 4
    STOP = 5  # the attempt is not needed
    FINISH = 6  # count the result; it is acknowledged only once it is stored
    REQUEUE = 7  # the task waits again
    REQUEUE_AND_ACKNOWLEDGE = 8
    FAIL_AND_ACKNOWLEDGE = 9  # the task waits again; repeated errors pause its job
    ACKNOWLEDGE = 10
    REMOVE_FROM_BARRIER = 11  # requeue once no other machine of the barrier may run it


_NOTHING, _STOP, _ACKNOWLEDGE = Action.NOTHING, Action.STOP, Action.ACKNOWLEDGE
_ADOPT, _FINISH, _REQUEUE = Action.ADOPT, Action.FINISH, Action.REQUEUE

# Row of each recorded state; its columns are the observed states in order.
_BY_RECORDED_STATE: dict[RecordedState, tuple[Action, Action, Action, Action, Action, Action]] = {
    #                            LIVE, PENDING, DONE, ERROR, STOPPED, ABSENT
    RecordedState.UNKNOWN_JOB: (_STOP, _NOTHING, _ACKNOWLEDGE, _ACKNOWLEDGE, _ACKNOWLEDGE, _NOTHING),
    # PENDING tasks are adopted also if the job is cancelled. Otherwise they would not count towards the team's quota
    # once all machines are reconciled.
    RecordedState.JOB_ENDED: (
        Action.ADOPT_AND_STOP,
        _ADOPT,
        _ACKNOWLEDGE,
        _ACKNOWLEDGE,
        _ACKNOWLEDGE,
        Action.REMOVE_FROM_BARRIER,
    ),
    RecordedState.JOB_ENDED_HERE: (
        Action.PROGRESS_AND_STOP,
        _NOTHING,
        Action.REQUEUE_AND_ACKNOWLEDGE,
        Action.REQUEUE_AND_ACKNOWLEDGE,
        Action.REQUEUE_AND_ACKNOWLEDGE,
        _REQUEUE,
    ),
    RecordedState.RESULT_STORED: (_STOP, _NOTHING, _ACKNOWLEDGE, _ACKNOWLEDGE, _ACKNOWLEDGE, _NOTHING),
    RecordedState.RESULT_UNSTORED: (_STOP, _NOTHING, _FINISH, _ACKNOWLEDGE, _ACKNOWLEDGE, _NOTHING),
    RecordedState.WAITING: (_ADOPT, _ADOPT, _FINISH, _ACKNOWLEDGE, _ACKNOWLEDGE, _NOTHING),
    RecordedState.POSSIBLY_HERE: (_ADOPT, _ADOPT, _FINISH, _ACKNOWLEDGE, _ACKNOWLEDGE, Action.REMOVE_FROM_BARRIER),
    RecordedState.HERE: (
        Action.PROGRESS,
        _NOTHING,
        _FINISH,
        Action.FAIL_AND_ACKNOWLEDGE,
        Action.REQUEUE_AND_ACKNOWLEDGE,
        _REQUEUE,
    ),
    RecordedState.OTHER_ATTEMPT: (_STOP, _NOTHING, _ACKNOWLEDGE, _ACKNOWLEDGE, _ACKNOWLEDGE, _REQUEUE),
    RecordedState.ELSEWHERE: (_STOP, _NOTHING, _ACKNOWLEDGE, _ACKNOWLEDGE, _ACKNOWLEDGE, _NOTHING),
}
TRANSITIONS: tuple[tuple[Action, ...], ...] = tuple(_BY_RECORDED_STATE[state] for state in RecordedState)


def reconcile(recorded: RecordedState, observed: ObservedState) -> Action:
    """The action of the job shard for one task on one machine."""
    return TRANSITIONS[recorded][observed]
