"""Values of the INI file of hours: zones, years, holidays, hours and days, each with what is expected of it."""

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
MOST_DAYS_OF_RANGE = 366
Region = tuple[str, str | None]  # country, and a part of it


def read_names(text: str) -> list[str]:
    """Read names of calendars."""
    names = [name.strip() for name in text.split(",")]
    if not all(names):
        raise ExpectationError("expected names of calendars, with commas between")
    return names


def one_of(words: Mapping[str, bool]) -> Callable[[str], bool]:
    """Return a reader of one of the words, each with its meaning."""

    def read(text: str) -> bool:
        if text not in words:
            raise ExpectationError(f"expected {' or '.join(words)}")
        return words[text]

    return read


def read_zone(text: str) -> str:
    """Read a time zone."""
    if load_zone(text) is None:
        raise ExpectationError("expected a time zone such as Europe/Oslo")
    return text


def read_years(text: str) -> range:
    """Read the years that holidays are written out for."""
    found = re.fullmatch(r"(\d{4})-(\d{4})", text)
    years = range(int(found[1]), int(found[2]) + 1) if found else range(0)
    if not years or len(years) > constants.HOLIDAY_YEARS:
        raise ExpectationError(f"expected at most {constants.HOLIDAY_YEARS} years, such as 2026-2030")
    return years


def read_regions(text: str) -> list[Region]:
    """Read countries or regions with holidays."""
    import holidays  # only here: controllers that are told the dates need no library of them

    result: list[Region] = []
    for region in map(str.strip, text.split(",")):
        country, _, subdivision = region.partition("-")
        known = holidays.list_supported_countries(include_aliases=False)
        if country not in known or (subdivision and subdivision not in known[country]):
            raise ExpectationError(f"expected countries or regions such as NO or GB-ENG; {region!r} is not known")
        result.append((country, subdivision or None))
    return result


def holidays_of(country: str, subdivision: str | None, years: range) -> list[date]:
    """Return the dates of a region\'s holidays in the years."""
    import holidays

    return list(holidays.country_holidays(country, subdiv=subdivision, years=years))


def read_spans(text: str) -> Spans:
    """Read hours of one day: ``07:30-12:00, 13:00-15:45``, ``22:00-06:00``, ``all day`` or ``closed``."""
    if text in ("closed", "all day"):
        return [] if text == "closed" else [(0, MINUTES_OF_DAY)]
    spans: Spans = []
    for piece in text.split(","):
        found = re.fullmatch(r"\s*(\d\d?):(\d\d)\s*-\s*(\d\d?):(\d\d)\s*", piece)
        if found is None or int(found[2]) > 59 or int(found[4]) > 59:
            raise ExpectationError("expected closed, all day, or hours such as 07:30-15:45, with commas between")
        begin, end = int(found[1]) * 60 + int(found[2]), int(found[3]) * 60 + int(found[4])
        if begin >= MINUTES_OF_DAY or end > MINUTES_OF_DAY:
            raise ExpectationError(f"expected hours of a day, from 00:00 to 24:00; {piece.strip()!r} are not")
        if begin == end:
            raise ExpectationError(f"{piece.strip()!r} is empty; expected 'all day' or 'closed'")
        spans.append((begin, end if end > begin else end + MINUTES_OF_DAY))
    spans.sort()
    for one, other in zip(spans, [*spans[1:], (spans[0][0] + MINUTES_OF_DAY, 0)], strict=True):
        if one[1] > other[0]:
            raise ExpectationError("expected hours that do not overlap")
    return spans


def read_days(key: str) -> tuple[list[int], bool]:
    """Read weekdays, Monday 0, and return them with True; or days since 1970, and False."""
    if key[:1].isdigit():
        begin, _, end = key.partition(" to ")
        first, last = _date(begin), _date(end or begin)
        if not 0 <= (last - first).days <= MOST_DAYS_OF_RANGE:
            raise ExpectationError("expected a date, or at most a year from one to a later one")
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
        raise ExpectationError("expected a date that exists, as 2026-12-24") from None
