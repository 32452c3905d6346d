"""States of a task, and its run on a machine."""

from __future__ import annotations

from enum import Enum

import msgspec


class TaskState(str, Enum):
    """State of one task of an active job; ``JobTasks`` has the transitions."""

    WAITING = "waiting"
    GRANTED = "granted"
    FETCHING = "fetching"
    RUNNING = "running"
    SAVING = "saving"
    UNKNOWN = "unknown"
    DONE = "done"


# Status in a machine task report -> state of a task that has not ended.
LIVE_TASK_STATES = {
    "fetching": TaskState.FETCHING,
    "waiting": TaskState.FETCHING,
    "running": TaskState.RUNNING,
    "saving": TaskState.SAVING,
}


class TaskRun(msgspec.Struct):
    """An attempt of a task that is on a machine or granted to it."""

    machine: str
    zone: str
    attempt: int
    seq: int  # sequence of the grant message in the channel to the machine's owner; 0: every report counts as newer
    state: TaskState
    since: float
