"""Parser of the calendar INI file: checks it and compiles it to the ``CalendarConfiguration`` that is stored.

Holidays are expanded to dates when the file is compiled, so controllers with different versions of the holiday library
interpret a stored revision alike. The file names the years to expand: the result must not depend on the current date,
or one file would compile to two different texts. Only the clock changes of a zone are looked up later, in the pinned
``tzdata``.
"""

from __future__ import annotations

import configparser
import time
from collections.abc import Callable, Iterator
from datetime import datetime, timedelta
from typing import TypeVar

from alderbridge import constants
from alderbridge.calendars.model import EPOCH, Calendar, CalendarConfiguration, CalendarRule, Spans, day_number
from alderbridge.calendars.timetable import Timetable
from alderbridge.calendars.values import (
    DAYS,
    MINUTES_OF_DAY,
    Region,
    holidays_of,
    one_of,
    read_days,
    read_names,
    read_regions,
    read_spans,
    read_years,
    read_zone,
)
from alderbridge.calendars.zones import load_zone
from alderbridge.configuration.ini import ExpectationError, NumberSetting, Section, sections
from alderbridge.settings import ConfigError

T = TypeVar("T")
_RUN_FACTOR = NumberSetting(constants.RUN_TIME_SAFETY_FACTOR, 0.1, 100.0)
_WARM_UP_S = NumberSetting(0.0, 0.0, 3600.0)
_SPREAD_S = NumberSetting(constants.OPENING_SPREAD_S, 0.0, 3600.0)


def parse(parser: configparser.ConfigParser, path: str) -> CalendarConfiguration:
    """Compile a parsed INI file; raise ``ConfigError`` with one line per fault."""
    faults: list[str] = []
    calendars: dict[str, Calendar] = {}
    rules: list[CalendarRule] = []
    for section in sections(parser, path):
        name = section.name
        reader = _SectionReader(section, faults)
        if section.word == "calendar" and name and "," not in name:
            calendar = reader.calendar(name)
            if name in calendars:
                reader.fault("", "expected each calendar once")
            calendars[name] = calendar
        elif section.word == "class" and name.count("/") == 1 and all(name.split("/")):
            rule = reader.rule(*name.split("/"))
            earlier = next((one for one in rules if one.matches(rule.owner, rule.workload)), None)
            if earlier is not None:
                reader.fault("", f"never matches a job: [class {earlier.name}] above matches all of them")
            rules.append(rule)
        else:
            reader.fault("", "expected [declaration], [calendar NAME] or [class OWNER/WORKLOAD]")
    faults += _unknown_calendars(calendars, rules, path)
    faults += [
        f"{path}: [calendar {name}] {calendars[name].of} of: depends on itself: {' > '.join(cycle)}"
        for name, cycle in _cycles(calendars)
    ]
    if faults:
        raise ConfigError("\n".join(faults))
    return CalendarConfiguration(list(calendars.values()), rules)


def _unknown_calendars(calendars: dict[str, Calendar], rules: list[CalendarRule], path: str) -> Iterator[str]:
    """Yield a fault for each reference to a calendar that the file does not define."""
    for calendar in calendars.values():
        for name in calendar.parts:
            if name not in calendars:
                yield f"{path}: [calendar {calendar.name}] {calendar.of} of: no calendar {name!r} in this file"
    for rule in rules:
        if rule.calendar and rule.calendar not in calendars:
            yield f"{path}: [class {rule.name}] calendar: no calendar {rule.calendar!r} in this file"


def _cycles(calendars: dict[str, Calendar]) -> Iterator[tuple[str, list[str]]]:
    """Yield each cycle of calendars that depend on themselves, with the name at which it was found."""
    visited: set[str] = set()
    for start in calendars:
        path: list[str] = []
        stack = [(start, 0)]
        while stack:
            name, depth = stack.pop()
            del path[depth:]
            if name in path:
                cycle = [*path[path.index(name) :], name]
                visited.update(cycle)
                yield name, cycle
            elif name in calendars and name not in visited:
                path.append(name)
                stack += [(other, depth + 1) for other in calendars[name].parts]
        visited.add(start)


class _SectionReader:
    """Parses one section; collects faults and continues with the remaining values."""

    def __init__(self, section: Section, faults: list[str]) -> None:
        self.section, self.faults = section, faults
        self.items = section.values  # values not parsed yet; ``take`` removes them

    def fault(self, key: str, problem: str) -> None:
        """Add a fault of one value, or of the whole section if ``key`` is empty."""
        self.faults.append(str(self.section.error(key, problem)))

    def take(self, key: str, read: Callable[[str], T], default: T) -> T:
        """Remove and parse a value. If it is missing, or ``read`` raises ``ExpectationError``, return the default."""
        text = self.items.pop(key, None)
        if text is None:
            return default
        try:
            return read(text.strip())
        except ExpectationError as error:
            self.fault(key, f"{error}, got {text!r}")
            return default

    def take_number(self, key: str, setting: NumberSetting) -> float:
        """Remove and parse a number."""
        return self.take(key, setting.parse, setting.default)

    def calendar(self, name: str) -> Calendar:
        """Parse a ``[calendar NAME]`` section."""
        combinations = [of for of in ("all", "any") if f"{of} of" in self.items]
        if combinations:
            return self._combined_calendar(name, combinations[0])
        if "zone" not in self.items:
            self.fault("zone", "expected a time zone such as Europe/Oslo, or 'all of' or 'any of' other calendars")
        zone = self.take("zone", read_zone, "")
        regions: list[Region] = self.take("holidays", read_regions, [])
        if regions and "holiday years" not in self.items:
            self.fault("holiday years", "expected the years to include holidays of, such as 2026-2030")
        years = self.take("holiday years", read_years, range(0))
        on_holidays: Spans = self.take("on holidays", read_spans, [])
        holidays = sorted(
            {day_number(day) for country, subdivision in regions for day in holidays_of(country, subdivision, years)}
        )
        week, dates = self._hours_by_day()
        self._check_overnight(week)
        if not any(week) and not any(dates.values()) and not on_holidays:
            self.fault("", "expected hours on some day, such as mon-fri = 07:30-15:45")
        return Calendar(name, zone, week, sorted(dates.items()), holidays, on_holidays)

    def _combined_calendar(self, name: str, of: str) -> Calendar:
        names: list[str] = self.take(f"{of} of", read_names, [])
        for key in self.items:
            self.fault(key, f"expected no other setting together with '{of} of'")
        return Calendar(name, of=of, parts=names)

    def _hours_by_day(self) -> tuple[list[Spans], dict[int, Spans]]:
        """Parse the remaining keys as days: return weekly hours, Monday first, and the hours of single dates."""
        week: list[Spans | None] = [None] * 7
        dates: dict[int, Spans] = {}
        for key in list(self.items):
            try:
                days, weekly = read_days(key)
            except ExpectationError as error:
                self.items.pop(key)
                self.fault(key, str(error))
                continue
            spans: Spans = self.take(key, read_spans, [])
            for day in days:
                if (week[day] is not None) if weekly else day in dates:
                    self.fault(key, f"{DAYS[day] if weekly else EPOCH + timedelta(day)} is given twice")
                elif weekly:
                    week[day] = spans
                else:
                    dates[day] = spans
        return [spans or [] for spans in week], dates

    def _check_overnight(self, week: list[Spans]) -> None:
        """Add a fault for a shift past midnight that overlaps the first shift of the next day."""
        for day, spans in enumerate(week):
            following = week[(day + 1) % 7]
            if spans and following and spans[-1][1] - MINUTES_OF_DAY > following[0][0]:
                self.fault(DAYS[(day + 1) % 7], f"overlaps the shift that begins on {DAYS[day]}")

    def rule(self, owner: str, workload: str) -> CalendarRule:
        """Parse a ``[class OWNER/WORKLOAD]`` section."""
        calendar = self.take("calendar", str, "")
        if not calendar:
            self.fault("calendar", "expected the name of a calendar")
        result = CalendarRule(
            owner,
            workload,
            calendar,
            self.take("end before closing", one_of({"yes": True, "no": False}), False),
            self.take_number("run factor", _RUN_FACTOR),
            self.take("at closing", one_of({"stop": True, "run on": False}), False),
            self.take_number("warm up", _WARM_UP_S),
            self.take_number("spread", _SPREAD_S),
        )
        for key in self.items:
            self.fault(key, "no such setting of a class")
        return result


def check_lines(configuration: CalendarConfiguration, wall: float | None = None) -> list[str]:
    """Return what ``--check`` prints: the next openings of each calendar, and the rule of each class.

    ``wall``: list openings from this time on, in seconds since 1970; None: the current time.
    """
    wall = time.time() if wall is None else wall
    timetable = Timetable(configuration)
    lines = []
    for calendar in configuration.calendars:
        zone = calendar.zone or "UTC"
        periods = timetable.periods(calendar.name, wall, 3)
        openings = ", ".join(f"{_format_time(begin, zone)} to {_format_time(end, zone)}" for begin, end in periods)
        never = f"never in the next {constants.CALENDAR_LOOKAHEAD_DAYS} days"
        line = f"calendar {calendar.name}: open {openings or never} ({zone})"
        if calendar.holidays:
            last = EPOCH + timedelta(calendar.holidays[-1])
            line += f"; {len(calendar.holidays)} holidays, the last on {last}"
        lines.append(line)
    for rule in configuration.classes:
        line = f"class {rule.name}: calendar {rule.calendar}, at closing {'stopped' if rule.stops else 'runs on'}"
        if rule.ends:
            line += f", started only if {rule.run_factor:g} times its estimate ends before closing"
        if rule.warm_up_s:
            line += f", machines rented from {rule.warm_up_s:g} s before opening"
        lines.append(f"{line}, starts after an opening spread over {rule.spread_s:g} s")
    return lines


def _format_time(wall: float, zone: str) -> str:
    if not abs(wall) < 1e11:
        return "no end"
    tz = load_zone(zone)
    return datetime.fromtimestamp(wall, tz).strftime("%a %Y-%m-%d %H:%M") if tz else f"{wall:.0f}"


configuration_type = CalendarConfiguration  # part of the ``ConfigurationReader`` protocol
