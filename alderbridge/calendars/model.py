"""Calendars and the classes of jobs that consult them, as the store keeps them."""

from __future__ import annotations

import re
from datetime import date

import msgspec

from alderbridge import constants

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
        """Whether jobs of the owner and workload belong to the class."""
        return _matches(self.owner, owner) and _matches(self.workload, workload)

    @property
    def name(self) -> str:
        """Return its name in the file."""
        return f"{self.owner}/{self.workload}"


class CalendarConfiguration(msgspec.Struct, frozen=True, array_like=True, omit_defaults=True):
    """What is declared of hours; an empty one takes back what was."""

    calendars: list[Calendar] = []
    classes: list[CalendarRule] = []


def day_number(day: date) -> int:
    """Return the days since 1970."""
    return (day - EPOCH).days


def _matches(pattern: str, name: str) -> bool:
    return re.fullmatch(".*".join(map(re.escape, pattern.split("*"))), name, re.DOTALL) is not None
