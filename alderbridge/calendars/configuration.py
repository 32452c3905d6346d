"""The text of a declaration of hours: what operators write, checked, and what the store keeps of it.

The text says all but when a zone changes its clocks, which pinned ``tzdata`` knows: holidays are written out as dates
by whoever proposes it, so two versions of the library of holidays cannot read one revision in two ways. It is a pure
function of the file and that library: the years are named in the file, or one file would be two texts at new year.
"""

from __future__ import annotations

import configparser
import re
import time
from collections.abc import Iterator
from datetime import date, datetime, timedelta

import msgspec

from alderbridge import constants
from alderbridge.settings import ConfigError

DAYS = ("mon", "tue", "wed", "thu", "fri", "sat", "sun")
EPOCH = date(1970, 1, 1)
Spans = list[tuple[int, int]]  # minutes of the local day on which they begin; an end past 1440 lies on the next day


class Calendar(msgspec.Struct, frozen=True, array_like=True, omit_defaults=True):
    """Weekly hours in a zone, or all or any of other calendars."""

    name: str
    zone: str = ""
    week: list[Spans] = []  # Monday first; empty: a calendar of others
    dates: list[tuple[int, Spans]] = []  # days since 1970, instead of the weekly hours and of the holidays
    holidays: list[int] = []  # days since 1970
    on_holidays: Spans = []
    of: str = ""  # "all" or "any" of ``parts``
    parts: list[str] = []


class CalendarRule(msgspec.Struct, frozen=True, array_like=True, omit_defaults=True):
    """Which jobs consult which calendar, and how. The first class that holds a job counts."""

    owner: str  # patterns, in which * stands for anything
    workload: str
    calendar: str
    ends: bool = False  # a task must end before closing
    run_factor: float = constants.RUN_SAFETY  # times a task's estimate
    stops: bool = False  # what runs at closing is stopped
    warm_up_s: float = 0.0  # before the opening
    spread_s: float = constants.OPENING_SPREAD_S  # after it

    def matches(self, owner: str, workload: str) -> bool:
        return _matches(self.owner, owner) and _matches(self.workload, workload)

    @property
    def name(self) -> str:
        return f"{self.owner}/{self.workload}"


class CalendarConfiguration(msgspec.Struct, frozen=True, array_like=True, omit_defaults=True):
    """One declaration of hours; an empty one takes all others back."""

    calendars: list[Calendar] = []
    classes: list[CalendarRule] = []


def day_number(day: date) -> int:
    return (day - EPOCH).days


def _matches(pattern: str, name: str) -> bool:
    return re.fullmatch(".*".join(map(re.escape, pattern.split("*"))), name, re.DOTALL) is not None


class _Fault(Exception):
    """What was expected of one value."""


def parse(parser: configparser.ConfigParser, path: str) -> CalendarConfiguration:
    """The text of a file that was read; ``ConfigError`` with one line per fault."""
    faults: list[str] = []
    calendars: dict[str, Calendar] = {}
    classes: list[CalendarRule] = []
    for section in parser.sections():
        kind, _, name = section.partition(" ")
        name = name.strip()

        def fault(key: str, text: str, section: str = section) -> None:
            faults.append(f"{path}: [{section}]{' ' + key if key else ''}: {text}")

        if kind == "calendar" and name and "," not in name:
            calendar = _Reader(dict(parser.items(section)), fault).calendar(name)
            if name in calendars:
                fault("", "expected each calendar once")
            calendars[name] = calendar
        elif kind == "class" and name.count("/") == 1 and all(name.split("/")):
            found = _Reader(dict(parser.items(section)), fault).job_class(*name.split("/"))
            before = next((one for one in classes if one.matches(found.owner, found.workload)), None)
            if before is not None:
                fault("", f"never holds a job: [class {before.name}] above holds all of them")
            classes.append(found)
        elif section != "declaration":
            fault("", "expected [declaration], [calendar NAME] or [class OWNER/WORKLOAD]")
    for calendar in calendars.values():
        for part in calendar.parts:
            if part not in calendars:
                faults.append(f"{path}: [calendar {calendar.name}] {calendar.of} of: no calendar {part!r} in this file")
    for one in classes:
        if one.calendar and one.calendar not in calendars:
            faults.append(f"{path}: [class {one.name}] calendar: no calendar {one.calendar!r} in this file")
    faults += [
        f"{path}: [calendar {name}] {calendars[name].of} of: rests on itself: {' > '.join(ring)}"
        for name, ring in _rings(calendars)
    ]
    if faults:
        raise ConfigError("\n".join(faults))
    return CalendarConfiguration(list(calendars.values()), classes)


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
                todo += [(part, depth + 1) for part in calendars[name].parts]
        sound.add(start)


class _Reader:
    """One section, value by value; faults are told, and the rest is read on."""

    def __init__(self, items: dict[str, str], fault) -> None:
        self.items, self.fault = items, fault

    def take(self, key: str, read, default):
        text = self.items.pop(key, None)
        if text is None:
            return default
        try:
            return read(text.strip())
        except _Fault as error:
            self.fault(key, f"{error}, got {text!r}")
            return default

    def calendar(self, name: str) -> Calendar:
        given = [of for of in ("all", "any") if f"{of} of" in self.items]
        if given:
            parts = self.take(f"{given[0]} of", _names, [])
            for key in self.items:
                self.fault(key, f"expected nothing beside '{given[0]} of'")
            return Calendar(name, of=given[0], parts=parts)
        if "zone" not in self.items:
            self.fault("zone", "expected a time zone such as Europe/Oslo, or 'all of' or 'any of' other calendars")
        zone = self.take("zone", _zone, "")
        regions = self.take("holidays", _regions, [])
        if regions and "holiday years" not in self.items:
            self.fault("holiday years", "expected the years to write holidays out for, such as 2026-2030")
        years = self.take("holiday years", _years, range(0))
        on_holidays = self.take("on holidays", _spans, [])
        holidays = sorted({day_number(day) for region in regions for day in _holidays(*region, years)})
        week: list[Spans | None] = [None] * 7
        dates: dict[int, Spans] = {}
        for key in list(self.items):
            try:
                days, weekly = _days(key)
            except _Fault as error:
                self.items.pop(key)
                self.fault(key, str(error))
                continue
            spans = self.take(key, _spans, [])
            for day in days:
                if (week[day] is not None) if weekly else day in dates:
                    self.fault(key, f"{DAYS[day] if weekly else EPOCH + timedelta(day)} is given twice")
                elif weekly:
                    week[day] = spans
                else:
                    dates[day] = spans
        full = [spans or [] for spans in week]
        for day, spans in enumerate(full):
            after = full[(day + 1) % 7]
            if spans and after and spans[-1][1] - 1440 > after[0][0]:
                self.fault(DAYS[(day + 1) % 7], f"overlaps the shift that begins on {DAYS[day]}")
        if not any(full) and not any(dates.values()) and not on_holidays:
            self.fault("", "expected hours on some day, such as mon-fri = 07:30-15:45")
        return Calendar(name, zone, full, sorted(dates.items()), holidays, on_holidays)

    def job_class(self, owner: str, workload: str) -> CalendarRule:
        calendar = self.take("calendar", _name, "")
        if not calendar:
            self.fault("calendar", "expected the name of a calendar")
        result = CalendarRule(
            owner,
            workload,
            calendar,
            self.take("end before closing", _one_of({"yes": True, "no": False}), False),
            self.take("run factor", _number(0.1, 100.0), constants.RUN_SAFETY),
            self.take("at closing", _one_of({"stop": True, "run on": False}), False),
            self.take("warm up", _number(0.0, 3600.0), 0.0),
            self.take("spread", _number(0.0, 3600.0), constants.OPENING_SPREAD_S),
        )
        for key in self.items:
            self.fault(key, "no such setting of a class")
        return result


def _name(text: str) -> str:
    return text


def _names(text: str) -> list[str]:
    names = [name.strip() for name in text.split(",")]
    if not all(names):
        raise _Fault("expected names of calendars, with commas between")
    return names


def _one_of(words: dict[str, bool]):
    def read(text: str) -> bool:
        if text not in words:
            raise _Fault(f"expected {' or '.join(words)}")
        return words[text]

    return read


def _number(low: float, high: float):
    def read(text: str) -> float:
        try:
            number = float(text)
        except ValueError:
            number = float("nan")
        if not low <= number <= high:
            raise _Fault(f"expected a number from {low:g} to {high:g}")
        return number

    return read


def _zone(text: str) -> str:
    from alderbridge.calendars.timetable import load_zone

    if load_zone(text) is None:
        raise _Fault("expected a time zone such as Europe/Oslo")
    return text


def _years(text: str) -> range:
    found = re.fullmatch(r"(\d{4})-(\d{4})", text)
    years = range(int(found[1]), int(found[2]) + 1) if found else range(0)
    if not years or len(years) > constants.HOLIDAY_YEARS:
        raise _Fault(f"expected at most {constants.HOLIDAY_YEARS} years, such as 2026-2030")
    return years


def _regions(text: str) -> list[tuple[str, str | None]]:
    import holidays  # only here: controllers that are told the dates need no library of them

    result = []
    for region in map(str.strip, text.split(",")):
        country, _, part = region.partition("-")
        known = holidays.list_supported_countries(include_aliases=False)
        if country not in known or (part and part not in known[country]):
            raise _Fault(f"expected countries or regions such as NO or GB-ENG; {region!r} is not known")
        result.append((country, part or None))
    return result


def _holidays(country: str, part: str | None, years: range) -> list[date]:
    import holidays

    return list(holidays.country_holidays(country, subdiv=part, years=years))


def _spans(text: str) -> Spans:
    """Hours of one day: ``07:30-12:00, 13:00-15:45``, ``22:00-06:00``, ``all day`` or ``closed``."""
    if text in ("closed", "all day"):
        return [] if text == "closed" else [(0, 1440)]
    spans: Spans = []
    for piece in text.split(","):
        found = re.fullmatch(r"\s*(\d\d?):(\d\d)\s*-\s*(\d\d?):(\d\d)\s*", piece)
        if found is None or int(found[2]) > 59 or int(found[4]) > 59:
            raise _Fault("expected closed, all day, or hours such as 07:30-15:45, with commas between")
        begin, end = int(found[1]) * 60 + int(found[2]), int(found[3]) * 60 + int(found[4])
        if begin >= 1440 or end > 1440:
            raise _Fault(f"expected hours of a day, from 00:00 to 24:00; {piece.strip()!r} are not")
        if begin == end:
            raise _Fault(f"{piece.strip()!r} is empty; expected 'all day' or 'closed'")
        spans.append((begin, end if end > begin else end + 1440))
    spans.sort()
    for one, other in zip(spans, [*spans[1:], (spans[0][0] + 1440, 0)], strict=True):
        if one[1] > other[0]:
            raise _Fault("expected hours that do not overlap")
    return spans


def _days(key: str) -> tuple[list[int], bool]:
    """Weekdays, Monday 0, and True; or days since 1970, and False."""
    if key[:1].isdigit():
        begin, _, end = key.partition(" to ")
        first, last = _date(begin), _date(end or begin)
        if not 0 <= (last - first).days <= 366:
            raise _Fault("expected a date, or at most a year from one to a later one")
        return [day_number(first) + n for n in range((last - first).days + 1)], False
    result = []
    for piece in map(str.strip, key.split(",")):
        begin, _, end = piece.partition("-")
        if begin not in DAYS or (end or begin) not in DAYS:
            raise _Fault(
                "expected zone, holidays, holiday years, on holidays, weekdays such as mon-fri, "
                "a date such as 2026-12-24, or 'all of' or 'any of'"
            )
        first, last = DAYS.index(begin), DAYS.index(end or begin)
        result += [(first + n) % 7 for n in range((last - first) % 7 + 1)]
    return result, True


def _date(text: str) -> date:
    try:
        return datetime.strptime(text.strip(), "%Y-%m-%d").date()
    except ValueError:
        raise _Fault("expected a date that exists, as 2026-12-24") from None


def check_lines(text: CalendarConfiguration, wall: float | None = None) -> list[str]:
    """What ``--check`` prints: the next openings of each calendar from ``wall``, or now; what holds for each class."""
    from alderbridge.calendars.timetable import Timetable

    wall = time.time() if wall is None else wall
    table = Timetable(text)
    lines = []
    for calendar in text.calendars:
        zone = calendar.zone or "UTC"
        periods = table.periods(calendar.name, wall, 3)
        shown = ", ".join(f"{_clock(begin, zone)} to {_clock(end, zone)}" for begin, end in periods)
        never = f"never in the next {constants.CALENDAR_AHEAD_DAYS} days"
        line = f"calendar {calendar.name}: open {shown or never} ({zone})"
        if calendar.holidays:
            last = EPOCH + timedelta(calendar.holidays[-1])
            line += f"; {len(calendar.holidays)} holidays, the last on {last}"
        lines.append(line)
    for one in text.classes:
        line = f"class {one.name}: calendar {one.calendar}, at closing {'stopped' if one.stops else 'runs on'}"
        if one.ends:
            line += f", started only if {one.run_factor:g} times its estimate ends before closing"
        if one.warm_up_s:
            line += f", machines rented from {one.warm_up_s:g} s before opening"
        lines.append(f"{line}, what waits at opening spread over {one.spread_s:g} s")
    return lines


def _clock(wall: float, zone: str) -> str:
    from alderbridge.calendars.timetable import load_zone

    if not abs(wall) < 1e11:
        return "no end"
    tz = load_zone(zone)
    return datetime.fromtimestamp(wall, tz).strftime("%a %Y-%m-%d %H:%M") if tz else f"{wall:.0f}"


configuration_type = CalendarConfiguration  # for ``configuration.ConfigurationReader``
