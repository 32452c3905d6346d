"""The stored record of a job."""

from __future__ import annotations

from enum import Enum

import msgspec

from alderbridge.protocol.wire import JobSpec

# Time of day of an end that has not come. ``omit_defaults`` goes by identity: only this very object is left out of the
# record, so whoever makes one uses it.
NOT_ENDED = 0.0


class JobState(str, Enum):
    """State of a job as stored; DONE and ABORTED are final."""

    ACTIVE = "active"
    DONE = "done"
    ABORTED = "aborted"


class Record(msgspec.Struct, frozen=True, omit_defaults=True):
    """What the store keeps of a job. Ended ones lose all but their state."""

    state: JobState
    accepted_by: str = msgspec.field(name="home", default="")
    at: float = 0.0  # time of day of the submission
    start_limit: int = msgspec.field(name="mark", default=0)  # tasks below this may have been started
    done: list[tuple[int, int]] = []  # half-open ranges of tasks
    spec: JobSpec | None = None
    # Digest and count of the lists of dependencies beside this record, see ``replica.list_keys``.
    dependency_digest: str = msgspec.field(name="more", default="")
    ready_at: float = 0.0  # time of day when the last dependency was done; the record then leaves them out
    done_at: float = NOT_ENDED  # time of day of its last task's end
