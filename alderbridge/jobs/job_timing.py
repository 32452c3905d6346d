"""When the tasks of a job may start, and from when its waiting time counts."""

from __future__ import annotations

import logging

from alderbridge.jobs.record import Record

log = logging.getLogger("jobs")


class JobTiming:
    """Submission, readiness and calendar times of a job.

    Times are in seconds of the monotonic clock, unless marked as a time of day.
    """

    def __init__(self, record: Record, submitted: float) -> None:
        """``submitted``: time of the submission, monotonic clock."""
        assert record.spec is not None
        self.spec = record.spec
        self.submitted_time_of_day = record.submitted_at  # time of day of the submission
        self.submitted_at = submitted
        self.ready_since = submitted  # end of the last dependency; the submission if there is none
        self.waiting_since = submitted  # start of its waiting time: ``ready_since``, or later because of its calendar
        self.opens_at = 0.0  # time of day when its closed calendar opens; 0: it is open
        self.opened_at = 0.0  # time of day of the opening that ``waiting_since`` is based on; 0: none
        # Whether a dependency may not be done yet; cleared by ``unblock``.
        self.is_blocked = bool(record.spec.dependencies or record.dependency_digest)
        self.ready_at = record.ready_at  # time of day when its last dependency was done; 0: none, or not done
        # Cached queue times, after the inputs that they were computed from.
        self.queue_times: tuple[tuple[object, ...], list[tuple[float, float]]] | None = None

    def block(self) -> None:
        """A dependency is not done: no task may start, and none has ever started."""
        self.is_blocked = True

    def unblock(self, since: float, ready_at: float) -> None:
        """All dependencies are stored as done: the waiting time counts from ``since``."""
        if self.is_blocked:
            log.info(
                "job=%s state=ready cause=all it needs is done, %.1f s after its submission",
                self.spec.id,
                since - self.submitted_at,
            )
        self.is_blocked = False
        self.waiting_since = self.ready_since = max(self.submitted_at, since)
        self.ready_at, self.opened_at = ready_at, 0.0

    def close(self, opens_at: float) -> None:
        """The calendar is closed until that time of day: no task may start."""
        self.opens_at = opens_at

    def reopen(self) -> None:
        """The calendar is open."""
        self.opens_at = 0.0

    def set_waiting_since_opening(self, opened_at: float, since: float) -> None:
        """The waiting time counts from ``since``, at or after the opening at the time of day ``opened_at``."""
        self.opened_at, self.waiting_since = opened_at, since
