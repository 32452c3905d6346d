"""The stored record of a job."""

from __future__ import annotations

from enum import Enum

import msgspec

from alderbridge.protocol.wire import JobSpec

# Value of ``Record.done_at`` for a job that is not done. Always pass this object rather than another 0.0:
# ``omit_defaults`` compares by identity and would encode an equal float.
NOT_ENDED = 0.0


class JobState(str, Enum):
    """State of a job as stored; DONE and ABORTED are final."""

    ACTIVE = "active"
    DONE = "done"
    ABORTED = "aborted"


class Record(msgspec.Struct, frozen=True, omit_defaults=True):
    """A job as stored. The record of an ended job without tasks on machines keeps only ``state`` and ``done_at``."""

    state: JobState
    accepted_by: str = msgspec.field(name="home", default="")
    submitted_at: float = msgspec.field(name="at", default=0.0)  # time of day of the submission
    start_limit: int = msgspec.field(name="mark", default=0)  # tasks below this index may have been started
    done: list[tuple[int, int]] = []  # half-open ranges of task indexes
    spec: JobSpec | None = None
    # Digest and count of the dependency lists that are stored under their own keys.
    dependency_digest: str = msgspec.field(name="more", default="")
    ready_at: float = 0.0  # time of day when the last dependency was done; the spec then omits the dependencies
    done_at: float = NOT_ENDED  # time of day when the last task was done

    @property
    def done_count(self) -> int:
        """Number of tasks that the record has as done."""
        return sum(end - start for start, end in self.done)
