"""Whether the tasks of a job class may start at a time, and when the class opens next.

An instant is open if its local time is within an open span of the local day, or within a span of the day before that
ends after midnight. A span belongs to the day on which it begins, also for exceptions and holidays. Spans are in local
time: the hour that is repeated when clocks are set back is open both times, and a span within the hour that is skipped
when clocks are set forward does not occur.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Iterator, Sequence
from datetime import UTC, datetime
from typing import NamedTuple

from alderbridge import constants
from alderbridge.calendars.model import Calendar, CalendarConfiguration, CalendarRule, Spans
from alderbridge.calendars.zones import load_zone
from alderbridge.protocol.wire import JobSpec

log = logging.getLogger("calendars")

DAY = 86400
Periods = Sequence[tuple[float, float]]  # [begin, end) in seconds since 1970, sorted, neither overlapping nor adjacent
NEVER = math.inf
_CacheKey = tuple[int, float, float, float]  # id of the rule; run time, save time (-1: never stopped) and skew, in s


class Eligibility(NamedTuple):
    """What a calendar allows for a job at one moment. Times are by this controller's clock, in seconds since 1970."""

    may_start: bool
    opens_at: float  # when a task may start next, if not now; ``NEVER``: not within ``CALENDAR_LOOKAHEAD_DAYS``
    closes_at: float  # end of the open period that contains the moment; 0: closed
    warm: bool  # closed, but machines may be rented for it already
    stop_at: float  # when running tasks are stopped; ``NEVER``: they run on
    opened_at: float = 0.0  # start of the open period, if a task may start now; 0: has always been open
    rule: CalendarRule | None = None


OPEN = Eligibility(True, 0.0, NEVER, False, NEVER)


class _CalendarHours:
    """The open periods of one calendar, computed and cached for each UTC day."""

    def __init__(self, calendar: Calendar, parts: Sequence[_CalendarHours]) -> None:
        self.calendar, self.parts = calendar, parts
        self.cached_days: dict[int, Periods] = {}  # by days since 1970
        self.zone = None if calendar.of else load_zone(calendar.zone)
        self.dates = dict(calendar.dates)
        self.holidays = frozenset(calendar.holidays)
        if not calendar.of and self.zone is None:
            log.error(
                "calendar=%s state=closed cause=no zone %r in this controller's tzdata", calendar.name, calendar.zone
            )

    def periods_of_day(self, number: int) -> Periods:
        """Return the open periods within a UTC day, given in days since 1970."""
        periods = self.cached_days.get(number)
        if periods is None:
            if len(self.cached_days) > 2 * constants.CALENDAR_LOOKAHEAD_DAYS:
                self.cached_days.clear()
            of = self.calendar.of
            periods = self.cached_days[number] = (
                _intersection([other.periods_of_day(number) for other in self.parts])
                if of == "all"
                else _union([period for other in self.parts for period in other.periods_of_day(number)])
                if of
                else self._compute_day(number)
            )
        return periods

    def _compute_day(self, number: int) -> Periods:
        """Compute the open periods within a UTC day for a calendar with its own hours."""
        if self.zone is None or not -600_000 < number < 2_000_000:
            return ()
        periods = []
        for begin, end, offset in self._constant_offset_intervals(number * DAY):
            for day in range((begin + offset) // DAY - 1, (end + offset - 1) // DAY + 1):
                for first, last in self._spans_of_local_day(day):
                    since, until = (
                        max(begin, day * DAY + first * 60 - offset),
                        min(end, day * DAY + last * 60 - offset),
                    )
                    if since < until:
                        periods.append((since, until))
        return _union(periods)

    def _spans_of_local_day(self, day: int) -> Spans:
        if day in self.dates:
            return self.dates[day]
        return self.calendar.on_holidays if day in self.holidays else self.calendar.week[(day + 3) % 7]

    def _constant_offset_intervals(self, begin: int) -> list[tuple[int, int, int]]:
        """Split a UTC day where the zone changes its clocks: (begin, end, UTC offset in seconds)."""
        end = begin + DAY
        first, last = self._utc_offset(begin), self._utc_offset(end - 1)
        if first == last:
            return [(begin, end, first)]
        low, high = begin, end - 1  # the clocks change after ``low``, and no later than ``high``
        while high - low > 1:
            middle = (low + high) // 2
            low, high = (middle, high) if self._utc_offset(middle) == first else (low, middle)
        return [(begin, high, first), (high, end, last)]

    def _utc_offset(self, timestamp: int) -> int:
        offset = datetime.fromtimestamp(timestamp, self.zone).utcoffset()
        assert offset is not None
        return int(offset.total_seconds())

    def periods(self, wall: float) -> Iterator[tuple[float, float]]:
        """Yield the open periods that end after ``wall``, within ``CALENDAR_LOOKAHEAD_DAYS``.

        A period that reaches beyond that ends at ``NEVER``; one that began more than ``CALENDAR_LOOKBACK_DAYS`` ago
        begins at 0.
        """
        today = math.floor(wall / DAY)
        first_day, end_day = today - constants.CALENDAR_LOOKBACK_DAYS, today + constants.CALENDAR_LOOKAHEAD_DAYS
        since, until = 0.0, None
        for number in range(first_day, end_day):
            for begin, end in self.periods_of_day(number):
                if until == begin:
                    until = end
                    continue
                if until is not None and until > wall:
                    yield since, until
                since, until = (0.0 if begin == first_day * DAY else begin), end
        if until is not None and until > wall:
            yield since, (NEVER if until == end_day * DAY else until)


def _union(periods: Sequence[tuple[float, float]]) -> Periods:
    result: list[tuple[float, float]] = []
    for begin, end in sorted(periods):
        if result and begin <= result[-1][1]:
            result[-1] = (result[-1][0], max(end, result[-1][1]))
        else:
            result.append((begin, end))
    return tuple(result)


def _intersection(days: Sequence[Periods]) -> Periods:
    result = days[0]
    for other in days[1:]:
        result = [(max(a, x), min(b, y)) for a, b in result for x, y in other if max(a, x) < min(b, y)]
    return tuple(result)


class Timetable:
    """Answers for one configuration which jobs may start; answers are cached until something opens or closes."""

    def __init__(self, configuration: CalendarConfiguration) -> None:
        """Build the hours of each calendar, after those of the calendars that it combines."""
        self.configuration = configuration
        calendars = {calendar.name: calendar for calendar in configuration.calendars}
        self.hours: dict[str, _CalendarHours] = {}

        def build(name: str) -> _CalendarHours:
            if name not in self.hours:
                calendar = calendars[name]
                self.hours[name] = _CalendarHours(calendar, [build(other) for other in calendar.parts])
            return self.hours[name]

        for name in calendars:
            build(name)
        self.rules: dict[tuple[str, str], CalendarRule | None] = {}
        self.cached: dict[_CacheKey, tuple[float, float, Eligibility]] = {}  # valid [from, until), by the time of day

    def periods(self, calendar: str, wall: float, count: int) -> Periods:
        """Return up to ``count`` open periods of a calendar that end after ``wall``."""
        return [period for _, period in zip(range(count), self.hours[calendar].periods(wall), strict=False)]

    def rule(self, spec: JobSpec) -> CalendarRule | None:
        """Return the rule that applies to the job; None: no calendar limits it."""
        key = (spec.team, spec.job_class)
        try:
            return self.rules[key]
        except KeyError:
            rule = self.rules[key] = next((one for one in self.configuration.classes if one.matches(*key)), None)
            return rule

    def eligibility(self, spec: JobSpec, wall: float, skew_s: float) -> Eligibility:
        """Return the eligibility of the job at ``wall`` by this controller's clock, which is accurate to ``skew_s``."""
        rule = self.rule(spec)
        if rule is None:
            return OPEN
        run_s = (
            (spec.estimate_s or constants.DEFAULT_RUN_TIME_S) * rule.run_factor
            if rule.ends and not spec.service
            else 0.0
        )
        # Tasks of a service have no expected end: where tasks must end before closing, they are stopped.
        stops = rule.stops or (rule.ends and spec.service)
        key = (id(rule), run_s, spec.save_s if stops else -1.0, skew_s)
        entry = self.cached.get(key)
        if entry is None or not entry[0] <= wall < entry[1]:
            if len(self.cached) > constants.MAX_QUEUE_ROWS * 10:
                self.cached.clear()
            entry = self.cached[key] = self._compute(rule, run_s, spec.save_s if stops else None, wall, skew_s)
        return entry[2]

    def _compute(
        self, rule: CalendarRule, run_s: float, save_s: float | None, wall: float, skew_s: float
    ) -> tuple[float, float, Eligibility]:
        """Return the interval [from, until) in which the eligibility is valid, and the eligibility.

        ``save_s``: how long a task takes to save its progress when it is stopped; None: tasks are not stopped.
        """
        closes_at, stop_at = 0.0, NEVER if save_s is None else 0.0
        valid_until = wall + DAY  # not longer: the range of ``CALENDAR_LOOKAHEAD_DAYS`` moves on
        for begin, end in self.hours[rule.calendar].periods(wall - skew_s):
            # The clock may be off by ``skew_s`` either way: the period counts as open only where it surely is.
            since, until = (begin + skew_s if begin else 0.0), end - skew_s
            stop = NEVER if save_s is None else until - save_s
            # No start is ordered from this time on.
            start_limit = min(until - constants.MAX_ORDER_DELIVERY_S - run_s, stop - constants.MIN_RUN_BEFORE_STOP_S)
            if not closes_at and since <= wall < until:
                closes_at, stop_at, valid_until = until, stop, min(valid_until, until)
            if start_limit <= since or start_limit <= wall:
                continue
            if since <= wall:
                return wall, min(start_limit, valid_until), Eligibility(True, since, until, False, stop, since, rule)
            warm = wall >= since - rule.warm_up_s
            valid_until = min(valid_until, since if warm else since - rule.warm_up_s)
            return wall, valid_until, Eligibility(False, since, closes_at, warm, stop_at, 0.0, rule)
        return wall, valid_until, Eligibility(False, NEVER, closes_at, False, stop_at, 0.0, rule)


class Timetables:
    """All configurations in force: one, or two while one replaces the other. A job may start only if all allow it."""

    def __init__(self, configurations: Sequence[CalendarConfiguration]) -> None:
        """Build a timetable for each configuration."""
        self.timetables = [Timetable(configuration) for configuration in configurations]

    def eligibility(self, spec: JobSpec, wall: float, skew_s: float) -> Eligibility:
        """Return the eligibility of the job under all configurations; see ``Timetable.eligibility``."""
        if len(self.timetables) == 1:
            return self.timetables[0].eligibility(spec, wall, skew_s)
        answers = [timetable.eligibility(spec, wall, skew_s) for timetable in self.timetables]
        may_start = all(answer.may_start for answer in answers)
        opens_at = max((answer.opens_at for answer in answers), default=0.0)
        if not may_start:
            opens_at = self._next_opening(spec, wall, skew_s)
        rule = next((answer.rule for answer in answers if not answer.may_start), None) or next(
            (answer.rule for answer in answers if answer.rule is not None), None
        )
        return Eligibility(
            may_start,
            opens_at,
            min((answer.closes_at for answer in answers), default=NEVER),
            not may_start and all(answer.may_start or answer.warm for answer in answers),
            min((answer.stop_at for answer in answers), default=NEVER),
            max((answer.opened_at for answer in answers), default=0.0),
            rule,
        )

    def _next_opening(self, spec: JobSpec, wall: float, skew_s: float) -> float:
        """Return when all are open next: advance to the latest opening until no timetable is closed."""
        candidate = wall
        for _ in range(constants.CALENDAR_LOOKAHEAD_DAYS):
            answers = [timetable.eligibility(spec, candidate, skew_s) for timetable in self.timetables]
            later = max((answer.opens_at for answer in answers if not answer.may_start), default=candidate)
            if later <= candidate or later > wall + constants.CALENDAR_LOOKAHEAD_DAYS * DAY:
                return NEVER if later > candidate else candidate
            candidate = later
        return NEVER


def format_wall(wall: float) -> str:
    """Format a time of day for the log, in UTC."""
    if not wall < 1e11:
        return "never"
    return datetime.fromtimestamp(wall, UTC).strftime("%Y-%m-%d %H:%M:%SZ")
