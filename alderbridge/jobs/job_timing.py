"""When the tasks of a job may start, and from when its waiting time counts."""

from __future__ import annotations

import logging

from alderbridge.jobs.record import Record

log = logging.getLogger("jobs")


class JobTiming:
    """Submission, dependencies and calendar of a job, as far as its start depends on them.

    Times are of the steady clock, in seconds, where they are not called a time of day.
    """

    def __init__(self, record: Record, submitted: float) -> None:
        """``submitted``: when the job was submitted, by the steady clock."""
        assert record.spec is not None
        self.spec = record.spec
        self.at = record.at  # time of day of the submission
        self.submitted = submitted
        self.ready_since = submitted  # when its last dependency was done, or its submission
        self.waiting_since = submitted  # from when its waiting time counts: ``ready_since``, or later by a calendar
        self.opens_at = 0.0  # time of day until which its calendar is closed; 0: open
        self.opened_at = 0.0  # time of day of the opening from which its waiting time counts; 0: none
        # Until ``unblock``: a job that it depends on is not known to be done.
        self.is_blocked = bool(record.spec.needs or record.dependency_digest)
        self.ready_at = record.ready_at  # time of day when its last dependency was done; 0: it had none
        # What the queue times were computed from, and the queue times, see ``policy.queue_times``.
        self.queue_times: tuple[tuple[object, ...], list[tuple[float, float]]] | None = None

    def block(self) -> None:
        """A job that it depends on is not done: no task of it was ever started, and none may be."""
        self.is_blocked = True

    def unblock(self, since: float, ready_at: float) -> None:
        """All that it depends on is done in the store: its waiting time counts from ``since``."""
        if self.is_blocked:
            log.info(
                "job=%s state=ready cause=all it needs is done, %.1f s after its submission",
                self.spec.id,
                since - self.submitted,
            )
        self.is_blocked = False
        self.waiting_since = self.ready_since = max(self.submitted, since)
        self.ready_at, self.opened_at = ready_at, 0.0

    def close(self, opens_at: float) -> None:
        """Its calendar is closed until that time of day: none of its tasks is started."""
        self.opens_at = opens_at

    def reopen(self) -> None:
        """Its calendar is open."""
        self.opens_at = 0.0

    def schedule_after_opening(self, opened_at: float, since: float) -> None:
        """Its waiting time counts from ``since``, at or after the opening at that time of day."""
        self.opened_at, self.waiting_since = opened_at, since
