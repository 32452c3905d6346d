"""Logs the jobs whose status requests keep getting 503, as their users may believe them lost."""

from __future__ import annotations

import logging
import time
from typing import NamedTuple

from alderbridge import constants

log = logging.getLogger("controller")
now = time.monotonic


class UnansweredTimes(NamedTuple):
    """When the current run of 503 responses began, and when it was last logged (initially, when it began)."""

    since: float
    logged_at: float


class UnansweredJobs:
    """Tracks for each job the time since its first 503 and logs it at intervals of ``UNANSWERED_LOG_INTERVAL_S``."""

    def __init__(self) -> None:
        """Start without any unanswered job."""
        self.times: dict[str, UnansweredTimes] = {}

    def record_answer(self, job: str) -> None:
        """Record that a user got a response other than 503."""
        if self.times:
            self.times.pop(job, None)

    def record_no_answer(self, job: str) -> None:
        """Record that a user got a 503."""
        if len(self.times) > constants.MAX_UNANSWERED_JOBS:
            self.times.clear()
        since, logged_at = self.times.setdefault(job, UnansweredTimes(now(), now()))
        if now() - logged_at >= constants.UNANSWERED_LOG_INTERVAL_S:
            self.times[job] = UnansweredTimes(since, now())
            log.info("job=%s state=unanswered cause=no answer here for %.1f s", job, now() - since)

    def forget_since(self, outage_began_at: float) -> None:
        """Drop the jobs whose first 503 was at or after ``outage_began_at``; those that failed before it stay."""
        self.times = {job: times for job, times in self.times.items() if times.since < outage_began_at}
