"""Calendars that jobs consult before they run; docs/hours.md."""

from alderbridge.calendars.configuration import CalendarConfiguration, check_lines, parse
from alderbridge.calendars.timetable import Eligibility, Timetable, Timetables

__all__ = ["Eligibility", "CalendarConfiguration", "Timetable", "Timetables", "check_lines", "parse"]
