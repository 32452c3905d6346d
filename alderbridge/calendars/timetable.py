"""Whether a class may start now, and when it opens: a pure function of the configuration and the time of day.

An instant is open when the clock on the wall shows a time of an open span: of the local day, or of the day before
whose shift runs on past midnight. A shift belongs to the day on which it begins, exceptions and holidays too. So the
hour that comes twice in autumn is open twice, and what lies in the missing one of spring does not happen.
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
Periods = Sequence[tuple[float, float]]  # times of day, [from, until), in order, apart
NEVER = math.inf
_Key = tuple[int, float, float, float]  # rule, run time in s, save time in s (-1: is not stopped), skew in s


class Eligibility(NamedTuple):
    """What holds for a job at one moment. All times are times of day by this controller's clock, in seconds."""

    may_start: bool
    opens_at: float  # when a task may start next, if not now; ``NEVER``: not within ``HOURS_AHEAD_DAYS``
    closes_at: float  # when the open period ends in which that moment lies; 0: none
    warm: bool  # closed, and machines may be rented for it
    stop_at: float  # from when on what runs is to be stopped; ``NEVER``: it runs on
    opened_at: float = 0.0  # when the period began in which a task may start now; 0: it has been open for ever
    rule: CalendarRule | None = None


OPEN = Eligibility(True, 0.0, NEVER, False, NEVER)


class _Hours:
    """One calendar: the open periods of each day of UTC, worked out once."""

    def __init__(self, calendar: Calendar, parts: Sequence[_Hours]) -> None:
        self.calendar, self.parts = calendar, parts
        self.days: dict[int, Periods] = {}
        self.zone = None if calendar.of else load_zone(calendar.zone)
        self.dates = dict(calendar.dates)
        self.holidays = frozenset(calendar.holidays)
        if not calendar.of and self.zone is None:
            log.error(
                "calendar=%s state=closed cause=no zone %r in this controller's tzdata", calendar.name, calendar.zone
            )

    def day(self, number: int) -> Periods:
        """Open periods within a day of UTC."""
        known = self.days.get(number)
        if known is None:
            if len(self.days) > 2 * constants.CALENDAR_AHEAD_DAYS:
                self.days.clear()
            of = self.calendar.of
            known = self.days[number] = (
                _all([other.day(number) for other in self.parts])
                if of == "all"
                else _any([period for other in self.parts for period in other.day(number)])
                if of
                else self._own(number)
            )
        return known

    def _own(self, number: int) -> Periods:
        """Open periods within a day of UTC, of a calendar with hours of its own."""
        if self.zone is None or not -600_000 < number < 2_000_000:
            return ()
        found = []
        for begin, end, offset in self._stretches(number * DAY):
            for day in range((begin + offset) // DAY - 1, (end + offset - 1) // DAY + 1):
                for first, last in self._spans(day):
                    since, until = (
                        max(begin, day * DAY + first * 60 - offset),
                        min(end, day * DAY + last * 60 - offset),
                    )
                    if since < until:
                        found.append((since, until))
        return _any(found)

    def _spans(self, day: int) -> Spans:
        """Open spans of a local day."""
        if day in self.dates:
            return self.dates[day]
        return self.calendar.on_holidays if day in self.holidays else self.calendar.week[(day + 3) % 7]

    def _stretches(self, begin: int) -> list[tuple[int, int, int]]:
        """A day of UTC in parts between which the zone's clocks change, each with its offset in seconds."""
        end = begin + DAY
        first, last = self._offset(begin), self._offset(end - 1)
        if first == last:
            return [(begin, end, first)]
        low, high = begin, end - 1  # the clocks change at ``high``, or before
        while high - low > 1:
            middle = (low + high) // 2
            low, high = (middle, high) if self._offset(middle) == first else (low, middle)
        return [(begin, high, first), (high, end, last)]

    def _offset(self, at: int) -> int:
        offset = datetime.fromtimestamp(at, self.zone).utcoffset()
        assert offset is not None
        return int(offset.total_seconds())

    def periods(self, wall: float) -> Iterator[tuple[float, float]]:
        """Open periods that end after ``wall``, as far as is looked ahead; one that reaches further has no end.

        One that has lasted for longer than a week has begun at 0: for ever.
        """
        now = math.floor(wall / DAY)
        least, most = now - constants.CALENDAR_BACK_DAYS, now + constants.CALENDAR_AHEAD_DAYS
        since, until = 0.0, None
        for number in range(least, most):
            for begin, end in self.day(number):
                if until == begin:
                    until = end
                    continue
                if until is not None and until > wall:
                    yield since, until
                since, until = (0.0 if begin == least * DAY else begin), end
        if until is not None and until > wall:
            yield since, (NEVER if until == most * DAY else until)


def _any(periods: Sequence[tuple[float, float]]) -> Periods:
    result: list[tuple[float, float]] = []
    for begin, end in sorted(periods):
        if result and begin <= result[-1][1]:
            result[-1] = (result[-1][0], max(end, result[-1][1]))
        else:
            result.append((begin, end))
    return tuple(result)


def _all(days: Sequence[Periods]) -> Periods:
    result = days[0]
    for other in days[1:]:
        result = [(max(a, x), min(b, y)) for a, b in result for x, y in other if max(a, x) < min(b, y)]
    return tuple(result)


class Timetable:
    """One configuration, compiled. A question costs two dictionary look-ups while nothing opens or closes."""

    def __init__(self, configuration: CalendarConfiguration) -> None:
        """Build the hours of each calendar once, those that it rests on first."""
        self.configuration = configuration
        calendars = {calendar.name: calendar for calendar in configuration.calendars}
        self.hours: dict[str, _Hours] = {}

        def build(name: str) -> _Hours:
            if name not in self.hours:
                calendar = calendars[name]
                self.hours[name] = _Hours(calendar, [build(other) for other in calendar.parts])
            return self.hours[name]

        for name in calendars:
            build(name)
        self.rules: dict[tuple[str, str], CalendarRule | None] = {}
        self.known: dict[_Key, tuple[float, float, Eligibility]] = {}  # each holds from one time of day until another

    def periods(self, calendar: str, wall: float, count: int) -> Periods:
        """Return the next open periods of a calendar, as far as it is known."""
        return [period for _, period in zip(range(count), self.hours[calendar].periods(wall), strict=False)]

    def rule(self, spec: JobSpec) -> CalendarRule | None:
        """Return the class that the job belongs to; None: it consults no calendar."""
        key = (spec.team, spec.job_class)
        try:
            return self.rules[key]
        except KeyError:
            rule = self.rules[key] = next((one for one in self.configuration.classes if one.matches(*key)), None)
            return rule

    def eligibility(self, spec: JobSpec, wall: float, skew_s: float) -> Eligibility:
        """Return what holds for the job when this controller's clock shows ``wall``, right to within ``skew_s``."""
        rule = self.rule(spec)
        if rule is None:
            return OPEN
        run_s = (
            (spec.estimate_s or constants.UNKNOWN_RUN_S) * rule.run_factor if rule.ends and not spec.service else 0.0
        )
        # Replicas have no end of their own: where tasks must end before closing they are stopped.
        stops = rule.stops or (rule.ends and spec.service)
        key = (id(rule), run_s, spec.save_s if stops else -1.0, skew_s)
        known = self.known.get(key)
        if known is None or not known[0] <= wall < known[1]:
            if len(self.known) > constants.QUEUE_ROWS * 10:
                self.known.clear()
            known = self.known[key] = self._compute(rule, run_s, spec.save_s if stops else None, wall, skew_s)
        return known[2]

    def _compute(
        self, rule: CalendarRule, run_s: float, save_s: float | None, wall: float, skew_s: float
    ) -> tuple[float, float, Eligibility]:
        """Return the eligibility, and from when until when it holds."""
        closes_at, stop_at = 0.0, NEVER if save_s is None else 0.0
        fresh = wall + DAY  # nothing is looked up for longer than that: what never opens may come into sight
        for begin, end in self.hours[rule.calendar].periods(wall - skew_s):
            # By the cautious end of the clock's bound: open at both ends of it, and all the time between.
            since, until = (begin + skew_s if begin else 0.0), end - skew_s
            stop = NEVER if save_s is None else until - save_s
            last = min(
                until - constants.ORDER_DELIVERY_S - run_s, stop - constants.LEAST_BEFORE_STOP_S
            )  # no start is ordered from here on
            if not closes_at and since <= wall < until:
                closes_at, stop_at, fresh = until, stop, min(fresh, until)
            if last <= since or last <= wall:
                continue
            if since <= wall:
                return wall, min(last, fresh), Eligibility(True, since, until, False, stop, since, rule)
            warm = wall >= since - rule.warm_up_s
            fresh = min(fresh, since if warm else since - rule.warm_up_s)
            return wall, fresh, Eligibility(False, since, closes_at, warm, stop_at, 0.0, rule)
        return wall, fresh, Eligibility(False, NEVER, closes_at, False, stop_at, 0.0, rule)


class Timetables:
    """All configurations in force: one, and for some seconds the one that follows it. All must be open."""

    def __init__(self, configurations: Sequence[CalendarConfiguration]) -> None:
        """Compile all of them."""
        self.tables = [Timetable(configuration) for configuration in configurations]

    def eligibility(self, spec: JobSpec, wall: float, skew_s: float) -> Eligibility:
        """Return what holds for the job by all of them; see ``Timetable.eligibility``."""
        if len(self.tables) == 1:
            return self.tables[0].eligibility(spec, wall, skew_s)
        answers = [table.eligibility(spec, wall, skew_s) for table in self.tables]
        may_start = all(answer.may_start for answer in answers)
        at = max((answer.opens_at for answer in answers), default=0.0)
        if not may_start:
            at = self._opening(spec, wall, skew_s)
        rule = next((answer.rule for answer in answers if not answer.may_start), None) or next(
            (answer.rule for answer in answers if answer.rule is not None), None
        )
        return Eligibility(
            may_start,
            at,
            min((answer.closes_at for answer in answers), default=NEVER),
            not may_start and all(answer.may_start or answer.warm for answer in answers),
            min((answer.stop_at for answer in answers), default=NEVER),
            max((answer.opened_at for answer in answers), default=0.0),
            rule,
        )

    def _opening(self, spec: JobSpec, wall: float, skew_s: float) -> float:
        """Return when all are open next: each in turn says how long it is closed at least."""
        at = wall
        for _ in range(constants.CALENDAR_AHEAD_DAYS):
            answers = [table.eligibility(spec, at, skew_s) for table in self.tables]
            later = max((answer.opens_at for answer in answers if not answer.may_start), default=at)
            if later <= at or later > wall + constants.CALENDAR_AHEAD_DAYS * DAY:
                return NEVER if later > at else at
            at = later
        return NEVER


def format_wall(wall: float) -> str:
    """Return a time of day for the log."""
    if not wall < 1e11:
        return "never"
    return datetime.fromtimestamp(wall, UTC).strftime("%Y-%m-%d %H:%M:%SZ")
