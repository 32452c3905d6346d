"""States of a task, and its run on a machine."""

from __future__ import annotations

from enum import Enum

import msgspec


class TaskState(str, Enum):
    """State of one task of an active job; ``Job`` has the transitions."""

    WAITING = "waiting"
    GRANTED = "granted"
    FETCHING = "fetching"
    RUNNING = "running"
    SAVING = "saving"
    UNKNOWN = "unknown"
    DONE = "done"


# By the status in a machine task report: the state of a task that has not ended.
LIVE_TASK_STATES = {
    "fetching": TaskState.FETCHING,
    "waiting": TaskState.FETCHING,
    "running": TaskState.RUNNING,
    "saving": TaskState.SAVING,
}


class TaskRun(msgspec.Struct):
    """An attempt of a task on a machine, or granted to it."""

    machine: str
    zone: str
    attempt: int
    seq: int  # of the grant's message, in the channel to the machine's owner
    state: TaskState
    since: float
