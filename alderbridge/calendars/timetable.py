"""Whether a class may start now, and when it opens: a pure function of the text and the time of day.

An instant is open when the clock on the wall shows a time of an open span: of the local day, or of the day before
whose shift runs on past midnight. A shift belongs to the day on which it begins, exceptions and holidays too. So the
hour that comes twice in autumn is open twice, and what lies in the missing one of spring does not happen.
"""

from __future__ import annotations

import logging
import math
import re
from collections.abc import Iterator, Sequence
from datetime import UTC, datetime
from typing import NamedTuple

from alderbridge import constants
from alderbridge.calendars.configuration import Calendar, CalendarConfiguration, CalendarRule, Spans
from alderbridge.protocol.wire import JobSpec

log = logging.getLogger("calendars")

DAY = 86400
Periods = Sequence[tuple[float, float]]  # times of day, [from, until), in order, apart
NEVER = math.inf
_zones: dict[str, object] = {}


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


def load_zone(name: str):
    """A zone of the pinned ``tzdata``, whatever the system has: two controllers must read one text alike.

    ``zoneinfo`` would take the system's files first. ``None``: there is no such zone.
    """
    if name not in _zones:
        from importlib import resources
        from zoneinfo import ZoneInfo

        zone = None
        if re.fullmatch(r"[A-Za-z][A-Za-z0-9_+-]*(/[A-Za-z0-9_+-]+)*", name):
            try:
                with resources.files("tzdata").joinpath("zoneinfo", *name.split("/")).open("rb") as file:
                    zone = ZoneInfo.from_file(file, key=name)
            except (OSError, ValueError, ModuleNotFoundError):
                zone = None
        _zones[name] = zone
    return _zones[name]


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
        known = self.days.get(number)
        if known is None:
            if len(self.days) > 2 * constants.CALENDAR_AHEAD_DAYS:
                self.days.clear()
            of = self.calendar.of
            known = self.days[number] = (
                _all([part.day(number) for part in self.parts])
                if of == "all"
                else _any([period for part in self.parts for period in part.day(number)])
                if of
                else self._own(number)
            )
        return known

    def _own(self, number: int) -> Periods:
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
        return int(datetime.fromtimestamp(at, self.zone).utcoffset().total_seconds())

    def periods(self, wall: float) -> Iterator[tuple[float, float]]:
        """Open periods that end after ``wall``, as far as is looked ahead; one that reaches further has no end.

        One that has lasted for longer than a week has begun at 0: for ever.
        """
        now = math.floor(wall / DAY)
        least, most = now - constants.CALENDAR_BACK_DAYS, now + constants.CALENDAR_AHEAD_DAYS
        since = until = None
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
    """One text, compiled. A look costs two dictionary look-ups while nothing opens or closes."""

    def __init__(self, text: CalendarConfiguration) -> None:
        self.text = text
        calendars = {calendar.name: calendar for calendar in text.calendars}
        self.hours: dict[str, _Hours] = {}

        def build(name: str) -> _Hours:
            if name not in self.hours:
                calendar = calendars[name]
                self.hours[name] = _Hours(calendar, [build(part) for part in calendar.parts])
            return self.hours[name]

        for name in calendars:
            build(name)
        self.rules: dict[tuple[str, str], CalendarRule | None] = {}
        self.looks: dict[tuple, tuple[float, float, Eligibility]] = {}  # each holds from one time of day until another

    def periods(self, calendar: str, wall: float, count: int) -> Periods:
        return [period for _, period in zip(range(count), self.hours[calendar].periods(wall), strict=False)]

    def rule(self, spec: JobSpec) -> CalendarRule | None:
        key = (spec.team, spec.job_class)
        try:
            return self.rules[key]
        except KeyError:
            rule = self.rules[key] = next((one for one in self.text.classes if one.matches(*key)), None)
            return rule

    def eligibility(self, spec: JobSpec, wall: float, skew_s: float) -> Eligibility:
        """What holds for the job when this controller's clock shows ``wall``, right to within ``skew_s``."""
        rule = self.rule(spec)
        if rule is None:
            return OPEN
        run_s = (
            (spec.estimate_s or constants.UNKNOWN_RUN_S) * rule.run_factor if rule.ends and not spec.service else 0.0
        )
        # Replicas have no end of their own: where tasks must end before closing they are stopped.
        stops = rule.stops or (rule.ends and spec.service)
        key = (id(rule), run_s, spec.save_s if stops else -1.0, skew_s)
        known = self.looks.get(key)
        if known is None or not known[0] <= wall < known[1]:
            if len(self.looks) > constants.QUEUE_ROWS * 10:
                self.looks.clear()
            known = self.looks[key] = self._look(rule, run_s, spec.save_s if stops else None, wall, skew_s)
        return known[2]

    def _look(
        self, rule: CalendarRule, run_s: float, save_s: float | None, wall: float, skew_s: float
    ) -> tuple[float, float, Eligibility]:
        """The look, and from when until when it holds."""
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
    """All texts that hold: the one in force, and for some seconds the one that follows it. All must be open."""

    def __init__(self, texts: Sequence[CalendarConfiguration]) -> None:
        self.tables = [Timetable(text) for text in texts]

    def eligibility(self, spec: JobSpec, wall: float, skew_s: float) -> Eligibility:
        if len(self.tables) == 1:
            return self.tables[0].eligibility(spec, wall, skew_s)
        looks = [table.eligibility(spec, wall, skew_s) for table in self.tables]
        may_start = all(look.may_start for look in looks)
        at = max((look.opens_at for look in looks), default=0.0)
        if not may_start:
            at = self._opening(spec, wall, skew_s)
        rule = next((look.rule for look in looks if not look.may_start), None) or next(
            (look.rule for look in looks if look.rule is not None), None
        )
        return Eligibility(
            may_start,
            at,
            min((look.closes_at for look in looks), default=NEVER),
            not may_start and all(look.may_start or look.warm for look in looks),
            min((look.stop_at for look in looks), default=NEVER),
            max((look.opened_at for look in looks), default=0.0),
            rule,
        )

    def _opening(self, spec: JobSpec, wall: float, skew_s: float) -> float:
        """When all are open next: each in turn says how long it is closed at least."""
        at = wall
        for _ in range(constants.CALENDAR_AHEAD_DAYS):
            looks = [table.eligibility(spec, at, skew_s) for table in self.tables]
            later = max((look.opens_at for look in looks if not look.may_start), default=at)
            if later <= at or later > wall + constants.CALENDAR_AHEAD_DAYS * DAY:
                return NEVER if later > at else at
            at = later
        return NEVER


def format_wall(wall: float) -> str:
    """A time of day for the log."""
    if not wall < 1e11:
        return "never"
    return datetime.fromtimestamp(wall, UTC).strftime("%Y-%m-%d %H:%M:%SZ")
