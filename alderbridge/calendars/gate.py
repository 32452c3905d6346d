"""Applies the calendars in force to the jobs of one controller: which may start, which must stop, and when they wait.

A job is in one of these states:

* OPEN: its tasks may start.
* CLOSED: its tasks may not start before ``opens_at``. The job is pending, has no queue row and uses no quota.
* WARM: closed, but so shortly before the opening that it has a queue row, which offers no tasks, for the leader to rent
  machines in time.

At an opening all waiting jobs would become due at once. So the start of their waiting time is spread: jobs are sorted
by priority, deadline and arrival, and each is delayed by the time that the tasks ahead of it take at an even pace.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Protocol

from alderbridge import constants
from alderbridge.calendars.model import CalendarConfiguration
from alderbridge.calendars.timetable import DAY, NEVER, Eligibility, Timetables, format_wall
from alderbridge.protocol.wire import JobSpec

log = logging.getLogger("calendars")


class CalendarJob(Protocol):
    """The part of a job that the gate reads and changes. Times are monotonic, in seconds, unless called time of day."""

    spec: JobSpec
    is_blocked: bool  # a dependency is not done yet
    submitted_at: float
    ready_since: float  # when its last dependency was done, or its submission
    opens_at: float  # time of day until which its calendar is closed; 0: open
    opened_at: float  # time of day of the opening from which its waiting time counts; 0: none

    @property
    def waiting(self) -> int:
        """Return the number of waiting tasks."""

    def close(self, opens_at: float) -> None:
        """Mark the job as closed until ``opens_at``, a time of day."""

    def reopen(self) -> None:
        """Mark the job as open."""

    def set_waiting_since_opening(self, opened_at: float, since: float) -> None:
        """Count its waiting time from ``since``, at or after the opening at ``opened_at``, a time of day."""


class CalendarGate:
    """Decides which jobs may run, by the calendars in force and this controller's clock."""

    def __init__(
        self,
        configurations: Sequence[CalendarConfiguration],
        clock: Callable[[], float],
        skew_s: float,
        rank: Callable[[JobSpec], int],
    ) -> None:
        """Create a gate for the configurations in force.

        ``clock``: returns the time of day, accurate to ``skew_s``. ``rank``: returns the highest priority of the jobs
        that depend on a job, or -1.
        """
        self.configurations, self.timetables = list(configurations), Timetables(configurations)
        self.clock, self.skew_s, self.rank = clock, skew_s, rank
        self._warn_of_ending_holidays()

    def _warn_of_ending_holidays(self) -> None:
        for configuration in self.configurations:
            for calendar in configuration.calendars:
                remaining_days = calendar.holidays[-1] - self.clock() / DAY if calendar.holidays else NEVER
                if remaining_days < constants.HOLIDAYS_ENDING_WARNING_DAYS:
                    log.warning(
                        "calendar=%s state=running out cause=its last holiday is in %d days",
                        calendar.name,
                        remaining_days,
                    )

    def eligibility(self, spec: JobSpec) -> Eligibility:
        """Return the eligibility of the job now."""
        return self.timetables.eligibility(spec, self.clock(), self.skew_s)

    def may_start(self, spec: JobSpec) -> bool:
        """Return whether a task of the job may start now."""
        return self.timetables.eligibility(spec, self.clock(), self.skew_s).may_start

    def to_stop(self, spec: JobSpec) -> bool:
        """Return whether the running tasks of the job must be stopped now."""
        wall = self.clock()
        return wall >= self.timetables.eligibility(spec, wall, self.skew_s).stop_at

    def update_turns(self, jobs: Iterable[CalendarJob], now: float) -> set[str]:
        """Update the calendar state of each job, and return the ids of the jobs that are closed and not warm."""
        wall = self.clock()
        closed: set[str] = set()
        jobs_to_spread: dict[tuple[float, float], list[CalendarJob]] = {}  # by opening (time of day) and spread in s
        for job in jobs:
            if job.is_blocked or not job.waiting:
                continue
            eligibility = self.timetables.eligibility(job.spec, wall, self.skew_s)
            if eligibility.rule is None and not job.opens_at and not job.opened_at:
                continue
            if not eligibility.may_start:
                if job.opens_at != eligibility.opens_at:
                    self._log_closed(job, eligibility)
                    job.close(eligibility.opens_at)
                if not eligibility.warm:
                    closed.add(job.spec.id)
                    continue
                opening = eligibility.opens_at
            else:
                was_closed = job.opens_at != 0.0
                if was_closed:
                    self._log_open(job, eligibility)
                    job.reopen()
                opening = eligibility.opened_at or (wall if was_closed else 0.0)
                if opening == job.opened_at or (not was_closed and eligibility.opened_at == 0.0):
                    continue
                if opening <= wall - now + job.ready_since:
                    job.set_waiting_since_opening(opening, job.ready_since)  # the job became ready after the opening
                    continue
            spread = eligibility.rule.spread_s if eligibility.rule is not None else constants.OPENING_SPREAD_S
            jobs_to_spread.setdefault((opening, spread), []).append(job)
        self._spread_all(jobs_to_spread, wall - now)
        return closed

    def _spread_all(
        self, jobs_to_spread: Mapping[tuple[float, float], list[CalendarJob]], wall_offset_s: float
    ) -> None:
        """Spread the jobs of each opening; ``wall_offset_s``: the time of day minus the monotonic clock."""
        for (opening, spread), group in jobs_to_spread.items():
            self._spread(group, opening, opening - wall_offset_s, spread)

    def _spread(self, group: list[CalendarJob], opening: float, since: float, spread_s: float) -> None:
        """Set from when each job's waiting time counts, after an opening at ``since`` by the monotonic clock."""

        def start_order(job: CalendarJob) -> tuple[int, float, float]:
            return (
                -max(self.rank(job.spec), job.spec.rank),
                job.submitted_at + job.spec.due_s if job.spec.due_s is not None else math.inf,
                job.ready_since,
            )

        total = sum(job.waiting for job in group)
        pace = max(total / spread_s, constants.MIN_OPENING_STARTS_PER_S) if spread_s else math.inf
        tasks_ahead = 0
        for job in sorted(group, key=start_order):
            job.set_waiting_since_opening(opening, max(since, job.ready_since) + tasks_ahead / pace)
            tasks_ahead += job.waiting

    @staticmethod
    def _log_open(job: CalendarJob, eligibility: Eligibility) -> None:
        calendar = eligibility.rule.calendar if eligibility.rule is not None else "taken back"
        log.info("job=%s state=open cause=calendar %s", job.spec.id, calendar)

    @staticmethod
    def _log_closed(job: CalendarJob, eligibility: Eligibility) -> None:
        spec, rule = job.spec, eligibility.rule
        assert rule is not None
        if eligibility.opens_at == NEVER:
            log.error(
                "job=%s state=closed class=%s/%s cause=calendar %s never opens for it within %d days, estimate %g s",
                spec.id,
                spec.team,
                spec.job_class,
                rule.calendar,
                constants.CALENDAR_LOOKAHEAD_DAYS,
                spec.estimate_s,
            )
        else:
            log.info(
                "job=%s state=closed class=%s/%s cause=calendar %s opens at %s",
                spec.id,
                spec.team,
                spec.job_class,
                rule.calendar,
                format_wall(eligibility.opens_at),
            )
