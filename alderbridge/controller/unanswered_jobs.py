"""Jobs about which users are answered 503 again and again: logged, as their users take them for lost."""

from __future__ import annotations

import logging
import time
from typing import NamedTuple

from alderbridge import constants

log = logging.getLogger("controller")
now = time.monotonic


class UnansweredTimes(NamedTuple):
    """Since when a job is not answered for, and when that was last logged (or the job first not answered for)."""

    since: float
    logged_at: float


class UnansweredJobs:
    """Counts, for each job, the time without an answer, and logs it at intervals of ``UNANSWERED_S``."""

    def __init__(self) -> None:
        """No question is unanswered yet."""
        self.times: dict[str, UnansweredTimes] = {}

    def record_answer(self, job: str) -> None:
        """A user was told something of the job."""
        if self.times:
            self.times.pop(job, None)

    def record_no_answer(self, job: str) -> None:
        """A user was answered 503."""
        if len(self.times) > constants.UNANSWERED_JOBS:
            self.times.clear()
        since, logged_at = self.times.setdefault(job, UnansweredTimes(now(), now()))
        if now() - logged_at >= constants.UNANSWERED_S:
            self.times[job] = UnansweredTimes(since, now())
            log.info("job=%s state=unanswered cause=no answer here for %.1f s", job, now() - since)

    def forget_since(self, at: float) -> None:
        """Drop the jobs that have gone unanswered since ``at`` or later; what began before stays."""
        self.times = {job: times for job, times in self.times.items() if times.since < at}
