"""Parsers of single values in the calendar INI file; each raises ``ExpectationError`` for an invalid value."""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping
from datetime import date, datetime

from alderbridge import constants
from alderbridge.calendars.model import Spans, day_number
from alderbridge.calendars.zones import load_zone
from alderbridge.configuration.ini import ExpectationError

DAYS = ("mon", "tue", "wed", "thu", "fri", "sat", "sun")
MINUTES_OF_DAY = 1440
MAX_DAYS_OF_RANGE = 366
Region = tuple[str, str | None]  # country and subdivision


def read_names(text: str) -> list[str]:
    """Parse a comma-separated list of calendar names."""
    names = [name.strip() for name in text.split(",")]
    if not all(names):
        raise ExpectationError("expected names of calendars, separated by commas")
    return names


def one_of(words: Mapping[str, bool]) -> Callable[[str], bool]:
    """Return a parser that accepts the keys of ``words`` and returns their values."""

    def read(text: str) -> bool:
        if text not in words:
            raise ExpectationError(f"expected {' or '.join(words)}")
        return words[text]

    return read


def read_zone(text: str) -> str:
    """Check the name of a time zone and return it."""
    if load_zone(text) is None:
        raise ExpectationError("expected a time zone such as Europe/Oslo")
    return text


def read_years(text: str) -> range:
    """Parse the range of years for which holidays are expanded to dates."""
    match = re.fullmatch(r"(\d{4})-(\d{4})", text)
    years = range(int(match[1]), int(match[2]) + 1) if match else range(0)
    if not years or len(years) > constants.MAX_HOLIDAY_YEARS:
        raise ExpectationError(f"expected at most {constants.MAX_HOLIDAY_YEARS} years, such as 2026-2030")
    return years


def read_regions(text: str) -> list[Region]:
    """Parse a comma-separated list of countries or subdivisions that have public holidays."""
    import holidays  # imported lazily: only parsing a file needs it, stored calendars contain the dates

    result: list[Region] = []
    for region in map(str.strip, text.split(",")):
        country, _, subdivision = region.partition("-")
        supported = holidays.list_supported_countries(include_aliases=False)
        if country not in supported or (subdivision and subdivision not in supported[country]):
            raise ExpectationError(f"expected countries or regions such as NO or GB-ENG; {region!r} is not known")
        result.append((country, subdivision or None))
    return result


def holidays_of(country: str, subdivision: str | None, years: range) -> list[date]:
    """Return the dates of the public holidays of a country or subdivision in these years."""
    import holidays

    return list(holidays.country_holidays(country, subdiv=subdivision, years=years))


def read_spans(text: str) -> Spans:
    """Parse the opening hours of one day: ``07:30-12:00, 13:00-15:45``, ``22:00-06:00``, ``all day`` or ``closed``."""
    if text in ("closed", "all day"):
        return [] if text == "closed" else [(0, MINUTES_OF_DAY)]
    spans: Spans = []
    for piece in text.split(","):
        match = re.fullmatch(r"\s*(\d\d?):(\d\d)\s*-\s*(\d\d?):(\d\d)\s*", piece)
        if match is None or int(match[2]) > 59 or int(match[4]) > 59:
            raise ExpectationError("expected closed, all day, or hours such as 07:30-15:45, separated by commas")
        begin, end = int(match[1]) * 60 + int(match[2]), int(match[3]) * 60 + int(match[4])
        if begin >= MINUTES_OF_DAY or end > MINUTES_OF_DAY:
            raise ExpectationError(f"expected hours of a day, from 00:00 to 24:00; {piece.strip()!r} is out of range")
        if begin == end:
            raise ExpectationError(f"{piece.strip()!r} is empty; expected 'all day' or 'closed'")
        spans.append((begin, end if end > begin else end + MINUTES_OF_DAY))
    spans.sort()
    for current, following in zip(spans, [*spans[1:], (spans[0][0] + MINUTES_OF_DAY, 0)], strict=True):
        if current[1] > following[0]:
            raise ExpectationError("expected hours that do not overlap")
    return spans


def read_days(key: str) -> tuple[list[int], bool]:
    """Parse a key that names days: return (weekdays, True) with Monday as 0, or (days since 1970, False)."""
    if key[:1].isdigit():
        begin, _, end = key.partition(" to ")
        first, last = _date(begin), _date(end or begin)
        if not 0 <= (last - first).days <= MAX_DAYS_OF_RANGE:
            raise ExpectationError("expected a date, or a range of at most a year such as 2026-12-24 to 2026-12-31")
        return [day_number(first) + n for n in range((last - first).days + 1)], False
    result: list[int] = []
    for piece in map(str.strip, key.split(",")):
        begin, _, end = piece.partition("-")
        if begin not in DAYS or (end or begin) not in DAYS:
            raise ExpectationError(
                "expected zone, holidays, holiday years, on holidays, weekdays such as mon-fri, "
                "a date such as 2026-12-24, or 'all of' or 'any of'"
            )
        weekday, last_weekday = DAYS.index(begin), DAYS.index(end or begin)
        result += [(weekday + n) % 7 for n in range((last_weekday - weekday) % 7 + 1)]
    return result, True


def _date(text: str) -> date:
    try:
        return datetime.strptime(text.strip(), "%Y-%m-%d").date()
    except ValueError:
        raise ExpectationError("expected a date that exists, such as 2026-12-24") from None
