"""What the calendars in force mean for the jobs of one controller: which are closed, from when times count, what stops.

For its calendar a job is in one of these states, each reached by one method of ``CalendarJob``:

* OPEN: its tasks may start once its turn has come.
* CLOSED: ``opens_at`` says until when. No queue row, nothing of limit or guarantee; the job is pending.
* WARM: closed, shortly before the opening: a row with nothing on offer, so that the leader can rent in time.

At an opening all that waits would be due at once. So each job's times count from its turn: jobs in the order of need
(priority, deadline, arrival), each as long after the opening as the backlog before it takes at an even pace.
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
    """What the gate reads and changes of a job."""

    spec: JobSpec
    is_blocked: bool  # waits for other jobs
    submitted: float  # steady clock, s
    ready_since: float  # steady clock, s
    opens_at: float  # time of day until which its calendar is closed; 0: open
    opened_at: float  # time of day of the opening from which its times count; 0: none

    @property
    def waiting(self) -> int:
        """Return its tasks that wait."""

    def close(self, opens_at: float) -> None:
        """Begin to wait for an opening."""

    def reopen(self) -> None:
        """End to wait for one."""

    def schedule_after_opening(self, opened_at: float, since: float) -> None:
        """Count its times from ``since``, after an opening."""


class CalendarGate:
    """Decides for each job by the calendars in force and this controller's clock."""

    def __init__(
        self,
        configurations: Sequence[CalendarConfiguration],
        clock: Callable[[], float],
        skew_s: float,
        rank: Callable[[JobSpec], int],
    ) -> None:
        """``clock``: the time of day, right to within ``skew_s``. ``rank``: of the jobs that need a job, or -1."""
        self.configurations, self.tables = list(configurations), Timetables(configurations)
        self.clock, self.skew_s, self.rank = clock, skew_s, rank
        self._warn_of_last_holidays()

    def _warn_of_last_holidays(self) -> None:
        for configuration in self.configurations:
            for calendar in configuration.calendars:
                left = calendar.holidays[-1] - self.clock() / DAY if calendar.holidays else NEVER
                if left < constants.HOLIDAYS_SHORT_DAYS:
                    log.warning(
                        "calendar=%s state=running out cause=its last holiday is in %d days", calendar.name, left
                    )

    def eligibility(self, spec: JobSpec) -> Eligibility:
        """Return what holds for the job now."""
        return self.tables.eligibility(spec, self.clock(), self.skew_s)

    def may_start(self, spec: JobSpec) -> bool:
        """Whether a task of the job may start now."""
        return self.tables.eligibility(spec, self.clock(), self.skew_s).may_start

    def to_stop(self, spec: JobSpec) -> bool:
        """Whether what runs of the job is to be stopped now."""
        wall = self.clock()
        return wall >= self.tables.eligibility(spec, wall, self.skew_s).stop_at

    def update_turns(self, jobs: Iterable[CalendarJob], now: float) -> set[str]:
        """Return the jobs that are closed, and not warm. Gives each job its turn as its state changes."""
        wall = self.clock()
        closed: set[str] = set()
        waits: dict[tuple[float, float], list[CalendarJob]] = {}  # (opening, spread) -> jobs that get their turn anew
        for job in jobs:
            if job.is_blocked or not job.waiting:
                continue
            answer = self.tables.eligibility(job.spec, wall, self.skew_s)
            if answer.rule is None and not job.opens_at and not job.opened_at:
                continue
            if not answer.may_start:
                if job.opens_at != answer.opens_at:
                    self._say_closed(job, answer)
                    job.close(answer.opens_at)
                if not answer.warm:
                    closed.add(job.spec.id)
                    continue
                opening = answer.opens_at
            else:
                was_closed = job.opens_at != 0.0
                if was_closed:
                    self._say_open(job, answer)
                    job.reopen()
                opening = answer.opened_at or (wall if was_closed else 0.0)
                if opening == job.opened_at or (not was_closed and answer.opened_at == 0.0):
                    continue
                if opening <= wall - now + job.ready_since:
                    job.schedule_after_opening(opening, job.ready_since)  # it came while it was open
                    continue
            spread = answer.rule.spread_s if answer.rule is not None else constants.OPENING_SPREAD_S
            waits.setdefault((opening, spread), []).append(job)
        self._spread_all(waits, wall - now)
        return closed

    def _spread_all(self, waits: Mapping[tuple[float, float], list[CalendarJob]], wall_offset_s: float) -> None:
        """Give the jobs of each (opening, spread) their turns; ``wall_offset_s``: time of day less the steady clock."""
        for (opening, spread), group in waits.items():
            self._spread(group, opening, opening - wall_offset_s, spread)

    def _spread(self, group: list[CalendarJob], opening: float, since: float, spread_s: float) -> None:
        """Give turns after an opening at ``since`` by the steady clock."""

        def by_need(job: CalendarJob) -> tuple[int, float, float]:
            return (
                -max(self.rank(job.spec), job.spec.rank),
                job.submitted + job.spec.due_s if job.spec.due_s is not None else math.inf,
                job.ready_since,
            )

        total = sum(job.waiting for job in group)
        pace = max(total / spread_s, constants.OPENING_PACE) if spread_s else math.inf
        before = 0
        for job in sorted(group, key=by_need):
            job.schedule_after_opening(opening, max(since, job.ready_since) + before / pace)
            before += job.waiting

    @staticmethod
    def _say_open(job: CalendarJob, answer: Eligibility) -> None:
        calendar = answer.rule.calendar if answer.rule is not None else "taken back"
        log.info("job=%s state=open cause=calendar %s", job.spec.id, calendar)

    @staticmethod
    def _say_closed(job: CalendarJob, answer: Eligibility) -> None:
        spec, rule = job.spec, answer.rule
        assert rule is not None
        if answer.opens_at == NEVER:
            log.error(
                "job=%s state=closed class=%s/%s cause=calendar %s never opens for it within %d days, estimate %g s",
                spec.id,
                spec.team,
                spec.job_class,
                rule.calendar,
                constants.CALENDAR_AHEAD_DAYS,
                spec.estimate_s,
            )
        else:
            log.info(
                "job=%s state=closed class=%s/%s cause=calendar %s opens at %s",
                spec.id,
                spec.team,
                spec.job_class,
                rule.calendar,
                format_wall(answer.opens_at),
            )
