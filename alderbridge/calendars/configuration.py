"""The configuration of hours: what operators write, checked, and compiled to what the store keeps of it.

It says all but when a zone changes its clocks, which pinned ``tzdata`` knows: holidays are written out as dates by
whoever proposes it, so two versions of the library of holidays cannot read one revision in two ways. It is a pure
function of the file and that library: the years are named in the file, or one file would be two texts at new year.
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
_RUN_FACTOR = NumberSetting(constants.RUN_SAFETY, 0.1, 100.0)
_WARM_UP_S = NumberSetting(0.0, 0.0, 3600.0)
_SPREAD_S = NumberSetting(constants.OPENING_SPREAD_S, 0.0, 3600.0)


def parse(parser: configparser.ConfigParser, path: str) -> CalendarConfiguration:
    """Compile a file that was read; ``ConfigError`` with one line per fault."""
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
            before = next((one for one in rules if one.matches(rule.owner, rule.workload)), None)
            if before is not None:
                reader.fault("", f"never holds a job: [class {before.name}] above holds all of them")
            rules.append(rule)
        else:
            reader.fault("", "expected [declaration], [calendar NAME] or [class OWNER/WORKLOAD]")
    faults += _unknown_calendars(calendars, rules, path)
    faults += [
        f"{path}: [calendar {name}] {calendars[name].of} of: rests on itself: {' > '.join(ring)}"
        for name, ring in _rings(calendars)
    ]
    if faults:
        raise ConfigError("\n".join(faults))
    return CalendarConfiguration(list(calendars.values()), rules)


def _unknown_calendars(calendars: dict[str, Calendar], rules: list[CalendarRule], path: str) -> Iterator[str]:
    """Faults of names that no calendar of the file has."""
    for calendar in calendars.values():
        for name in calendar.parts:
            if name not in calendars:
                yield f"{path}: [calendar {calendar.name}] {calendar.of} of: no calendar {name!r} in this file"
    for rule in rules:
        if rule.calendar and rule.calendar not in calendars:
            yield f"{path}: [class {rule.name}] calendar: no calendar {rule.calendar!r} in this file"


def _rings(calendars: dict[str, Calendar]) -> Iterator[tuple[str, list[str]]]:
    """Calendars that rest on themselves, each ring once."""
    sound: set[str] = set()
    for start in calendars:
        way: list[str] = []
        todo = [(start, 0)]
        while todo:
            name, depth = todo.pop()
            del way[depth:]
            if name in way:
                ring = [*way[way.index(name) :], name]
                sound.update(ring)
                yield name, ring
            elif name in calendars and name not in sound:
                way.append(name)
                todo += [(other, depth + 1) for other in calendars[name].parts]
        sound.add(start)


class _SectionReader:
    """One section, value by value; faults are collected, and the rest is read on."""

    def __init__(self, section: Section, faults: list[str]) -> None:
        self.section, self.faults = section, faults
        self.items = section.values  # those that are read are taken out

    def fault(self, key: str, problem: str) -> None:
        """Collect a fault of one value, or with key "" of the section as a whole."""
        self.faults.append(str(self.section.error(key, problem)))

    def take(self, key: str, read: Callable[[str], T], default: T) -> T:
        """Read a value and take it out; ``read`` raises ``ExpectationError``, for which the default stands."""
        text = self.items.pop(key, None)
        if text is None:
            return default
        try:
            return read(text.strip())
        except ExpectationError as error:
            self.fault(key, f"{error}, got {text!r}")
            return default

    def take_number(self, key: str, setting: NumberSetting) -> float:
        """Read a number and take it out."""
        return self.take(key, setting.parse, setting.default)

    # -- [calendar NAME] -----------------------------------------------------

    def calendar(self, name: str) -> Calendar:
        """Read all values of a calendar."""
        given = [of for of in ("all", "any") if f"{of} of" in self.items]
        if given:
            return self._calendar_of_others(name, given[0])
        if "zone" not in self.items:
            self.fault("zone", "expected a time zone such as Europe/Oslo, or 'all of' or 'any of' other calendars")
        zone = self.take("zone", read_zone, "")
        regions: list[Region] = self.take("holidays", read_regions, [])
        if regions and "holiday years" not in self.items:
            self.fault("holiday years", "expected the years to write holidays out for, such as 2026-2030")
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

    def _calendar_of_others(self, name: str, of: str) -> Calendar:
        names: list[str] = self.take(f"{of} of", read_names, [])
        for key in self.items:
            self.fault(key, f"expected nothing beside '{of} of'")
        return Calendar(name, of=of, parts=names)

    def _hours_by_day(self) -> tuple[list[Spans], dict[int, Spans]]:
        """Read all other keys as days: hours of the week, Monday first, and of single dates."""
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
        """A shift that runs on past midnight must end before the next one begins."""
        for day, spans in enumerate(week):
            after = week[(day + 1) % 7]
            if spans and after and spans[-1][1] - MINUTES_OF_DAY > after[0][0]:
                self.fault(DAYS[(day + 1) % 7], f"overlaps the shift that begins on {DAYS[day]}")

    # -- [class OWNER/WORKLOAD] ----------------------------------------------

    def rule(self, owner: str, workload: str) -> CalendarRule:
        """Read all values of a class."""
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
    """Return what ``--check`` prints: what holds for each class, and when each calendar opens next.

    ``wall``: the time of day to count from, in s; None: now.
    """
    wall = time.time() if wall is None else wall
    table = Timetable(configuration)
    lines = []
    for calendar in configuration.calendars:
        zone = calendar.zone or "UTC"
        periods = table.periods(calendar.name, wall, 3)
        openings = ", ".join(f"{_clock(begin, zone)} to {_clock(end, zone)}" for begin, end in periods)
        never = f"never in the next {constants.CALENDAR_AHEAD_DAYS} days"
        line = f"calendar {calendar.name}: open {openings or never} ({zone})"
        if calendar.holidays:
            last = EPOCH + timedelta(calendar.holidays[-1])
            line += f"; {len(calendar.holidays)} holidays, the last on {last}"
        lines.append(line)
    for one in configuration.classes:
        line = f"class {one.name}: calendar {one.calendar}, at closing {'stopped' if one.stops else 'runs on'}"
        if one.ends:
            line += f", started only if {one.run_factor:g} times its estimate ends before closing"
        if one.warm_up_s:
            line += f", machines rented from {one.warm_up_s:g} s before opening"
        lines.append(f"{line}, what waits at opening spread over {one.spread_s:g} s")
    return lines


def _clock(wall: float, zone: str) -> str:
    if not abs(wall) < 1e11:
        return "no end"
    tz = load_zone(zone)
    return datetime.fromtimestamp(wall, tz).strftime("%a %Y-%m-%d %H:%M") if tz else f"{wall:.0f}"


configuration_type = CalendarConfiguration  # for ``configuration.ConfigurationReader``
