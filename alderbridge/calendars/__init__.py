"""Calendars of opening hours that limit when the tasks of a job class may start; see ``docs/hours.md``."""

from alderbridge.calendars.configuration import check_lines, parse
from alderbridge.calendars.model import CalendarConfiguration
from alderbridge.calendars.timetable import Eligibility, Timetable, Timetables

__all__ = ["Eligibility", "CalendarConfiguration", "Timetable", "Timetables", "check_lines", "parse"]
