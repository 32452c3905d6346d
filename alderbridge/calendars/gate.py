"""What the hours in force mean for the jobs of one controller: who is closed, from when times count, what is stopped.

A job's hours are in one of these states, each reached by one method of ``jobs.Job``:

* OPEN: its tasks may start once its turn has come (``arrived``).
* CLOSED: ``opens_at`` says until when. No queue row, nothing of limit or guarantee; the job is pending.
* WARM: closed, shortly before the opening: a row with nothing on offer, so that the leader can rent in time.

At an opening all that waits would be due at once. So each job's times count from its turn: jobs in the order of need
(priority, deadline, arrival), each as long after the opening as its home's backlog before it takes at an even pace.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Callable, Iterable, Sequence
from typing import TYPE_CHECKING

from alderbridge import constants
from alderbridge.calendars.declaration import Text
from alderbridge.calendars.timetable import DAY, NEVER, Look, Timetables, shown
from alderbridge.protocol.wire import JobSpec

if TYPE_CHECKING:
    from alderbridge.jobs.shard import Job

log = logging.getLogger("calendars")


class Gate:
    def __init__(
        self, texts: Sequence[Text], clock: Callable[[], float], skew_s: float, rank: Callable[[JobSpec], int]
    ) -> None:
        """``clock``: the time of day, right to within ``skew_s``. ``rank``: of the jobs that need a job, or -1."""
        self.texts, self.tables = list(texts), Timetables(texts)
        self.clock, self.skew_s, self.rank = clock, skew_s, rank
        for text in texts:
            for calendar in text.calendars:
                left = calendar.holidays[-1] - clock() / DAY if calendar.holidays else NEVER
                if left < constants.HOLIDAYS_SHORT_DAYS:
                    log.warning(
                        "calendar=%s state=running out cause=its last holiday is in %d days", calendar.name, left
                    )

    def look(self, spec: JobSpec) -> Look:
        return self.tables.look(spec, self.clock(), self.skew_s)

    def may_start(self, spec: JobSpec) -> bool:
        return self.tables.look(spec, self.clock(), self.skew_s).may_start

    def to_stop(self, spec: JobSpec) -> bool:
        wall = self.clock()
        return wall >= self.tables.look(spec, wall, self.skew_s).stop_at

    def turns(self, jobs: Iterable[Job], now: float) -> set[str]:
        """The jobs that are closed, and not warm. Gives each job its turn as its state changes."""
        wall, closed = self.clock(), set()
        waits: dict[tuple[float, float], list[Job]] = {}  # (opening, spread) -> jobs that get their turn anew
        for job in jobs:
            if job.is_blocked or not job.waiting:
                continue
            look = self.tables.look(job.spec, wall, self.skew_s)
            if look.rule is None and not job.opens_at and not job.opened_at:
                continue
            if not look.may_start:
                if job.opens_at != look.opens_at:
                    self._say_closed(job, look)
                    job.close(look.opens_at)
                if not look.warm:
                    closed.add(job.spec.id)
                    continue
                opening = look.opens_at
            else:
                was_closed = job.opens_at != 0.0
                if was_closed:
                    log.info(
                        "job=%s state=open cause=calendar %s",
                        job.spec.id,
                        look.rule.calendar if look.rule is not None else "taken back",
                    )
                    job.reopen()
                opening = look.opened_at or (wall if was_closed else 0.0)
                if opening == job.opened_at or (not was_closed and look.opened_at == 0.0):
                    continue
                if opening <= wall - now + job.ready_since:
                    job.schedule_after_opening(opening, job.ready_since)  # it came while it was open
                    continue
            spread = look.rule.spread_s if look.rule is not None else constants.OPENING_SPREAD_S
            waits.setdefault((opening, spread), []).append(job)
        for (opening, spread), group in waits.items():
            self._spread(group, opening, opening - (wall - now), spread)
        return closed

    def _spread(self, group: list[Job], opening: float, since: float, spread_s: float) -> None:
        """Turns after an opening at ``since`` by the steady clock."""

        def need(job: Job) -> tuple[int, float, float]:
            return (
                -max(self.rank(job.spec), job.spec.rank),
                job.submitted + job.spec.due_s if job.spec.due_s is not None else math.inf,
                job.ready_since,
            )

        total = sum(job.waiting for job in group)
        pace = max(total / spread_s, constants.OPENING_PACE) if spread_s else math.inf
        before = 0
        for job in sorted(group, key=need):
            job.schedule_after_opening(opening, max(since, job.ready_since) + before / pace)
            before += job.waiting

    @staticmethod
    def _say_closed(job: Job, look: Look) -> None:
        spec, rule = job.spec, look.rule
        if look.opens_at == NEVER:
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
                shown(look.opens_at),
            )
