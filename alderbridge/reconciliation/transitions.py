"""What follows from what a job shard knows of a task and what a machine shard observes of it on one machine.

The rows are what the job shard knows, from the store and since; the columns are what the machine shard observes, from
a heartbeat with the view's fencing token, an expired lease, or a confirmed return. Heartbeats that are older than
another, with an older fencing token or of an earlier incarnation do not get here: the machine shard drops them.
"""

from __future__ import annotations

from enum import IntEnum


class RecordedState(IntEnum):
    """What a job shard knows of a task, with respect to one machine: the rows of ``TRANSITIONS``."""

    UNKNOWN_JOB = 0  # no such job in this shard
    JOB_ENDED = 1  # its job is done or aborted, and no run of the task is known
    JOB_ENDED_HERE = 2  # its job is done or aborted, and this is its run
    RESULT_STORED = 3
    RESULT_UNSTORED = 4  # counted, and the record is on its way to the store
    WAITING = 5  # on no machine
    POSSIBLY_HERE = 6  # inherited, and below the start limit: it may be on any recorded machine
    HERE = 7  # on this machine, with this attempt
    OTHER_ATTEMPT = 8  # on this machine with another attempt, older or newer
    ELSEWHERE = 9  # on another machine


class ObservedState(IntEnum):
    """What a machine shard observes of a task on one machine: the columns of ``TRANSITIONS``."""

    LIVE = 0  # fetching, running or checkpointing
    ORDERED = 1  # and not yet seen in a report: no proof of anything, so what may be on the machine counts there
    DONE = 2  # ended, with a result
    ERROR = 3  # ended, failed
    STOPPED = 4  # ended: stopped, or refused as full, busy or unknown; also a service that ended
    ABSENT = 5  # not there


class Action(IntEnum):
    """What the job shard does about it."""

    NOTHING = 0
    ADOPT = 1  # it is there: never started again elsewhere
    ADOPT_AND_STOP = 2  # it is there and counts, and has to stop
    PROGRESS = 3
    PROGRESS_AND_STOP = 4
    STOP = 5  # what is there is of no use to anyone
    FINISH = 6  # the result counts; acknowledged only when the store holds it
    REQUEUE = 7  # it waits again
    REQUEUE_AND_ACKNOWLEDGE = 8
    FAIL_AND_ACKNOWLEDGE = 9  # it waits again, after a pause
    ACKNOWLEDGE = 10
    REMOVE_FROM_BARRIER = 11  # not on this machine: free when no other machine may hold it


_NOTHING, _STOP, _ACKNOWLEDGE = Action.NOTHING, Action.STOP, Action.ACKNOWLEDGE
_ADOPT, _FINISH, _REQUEUE = Action.ADOPT, Action.FINISH, Action.REQUEUE

# The row of each recorded state; its columns are the observed states in their order.
_BY_RECORDED_STATE: dict[RecordedState, tuple[Action, Action, Action, Action, Action, Action]] = {
    #                            LIVE, ORDERED, DONE, ERROR, STOPPED, ABSENT
    RecordedState.UNKNOWN_JOB: (_STOP, _NOTHING, _ACKNOWLEDGE, _ACKNOWLEDGE, _ACKNOWLEDGE, _NOTHING),
    # Of a cancelled job, too: were its ordered tasks passed over, nobody would count them for its team's quota
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
    """What the job shard does about one task on one machine."""
    return TRANSITIONS[recorded][observed]
