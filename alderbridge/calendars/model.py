"""Calendars and the job classes that they apply to, in the form in which they are stored."""

from __future__ import annotations

import re
from datetime import date

import msgspec

from alderbridge import constants

EPOCH = date(1970, 1, 1)
Spans = list[tuple[int, int]]  # [begin, end) in minutes of the local day; an end above 1440 is on the next day


class Calendar(msgspec.Struct, frozen=True, array_like=True, omit_defaults=True):
    """Weekly hours in a time zone, or the intersection (all) or union (any) of other calendars."""

    name: str
    zone: str = ""
    week: list[Spans] = []  # Monday first; empty for a combination of other calendars
    dates: list[tuple[int, Spans]] = []  # (days since 1970, hours); overrides weekly hours and holidays
    holidays: list[int] = []  # days since 1970
    on_holidays: Spans = []  # hours on the holidays
    of: str = ""  # "all" or "any" of ``parts``; empty for a calendar with its own hours
    parts: list[str] = []  # names of the combined calendars


class CalendarRule(msgspec.Struct, frozen=True, array_like=True, omit_defaults=True):
    """The calendar of a job class. The first rule that matches a job applies to it."""

    owner: str  # pattern; * matches any text
    workload: str  # pattern; * matches any text
    calendar: str
    ends: bool = False  # a task starts only if it is expected to end before closing
    run_factor: float = constants.RUN_TIME_SAFETY_FACTOR  # multiplies a task's estimated run time
    stops: bool = False  # tasks still running at closing are stopped
    warm_up_s: float = 0.0  # how long before an opening machines may be rented
    spread_s: float = constants.OPENING_SPREAD_S  # how long after an opening the starts of waiting jobs are spread

    def matches(self, owner: str, workload: str) -> bool:
        """Return whether jobs of this owner and workload belong to the class."""
        return _matches(self.owner, owner) and _matches(self.workload, workload)

    @property
    def name(self) -> str:
        """Return the name of the class in the INI file."""
        return f"{self.owner}/{self.workload}"


class CalendarConfiguration(msgspec.Struct, frozen=True, array_like=True, omit_defaults=True):
    """All declared calendars and classes; an empty configuration withdraws earlier ones."""

    calendars: list[Calendar] = []
    classes: list[CalendarRule] = []


def day_number(day: date) -> int:
    """Return the number of days from 1970-01-01 to ``day``."""
    return (day - EPOCH).days


def _matches(pattern: str, name: str) -> bool:
    return re.fullmatch(".*".join(map(re.escape, pattern.split("*"))), name, re.DOTALL) is not None
