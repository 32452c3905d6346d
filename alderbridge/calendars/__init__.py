"""Calendars that jobs consult before they run; docs/hours.md."""

from alderbridge.calendars.declaration import Text, check_lines, parse
from alderbridge.calendars.timetable import Look, Timetable, Timetables

__all__ = ["Look", "Text", "Timetable", "Timetables", "check_lines", "parse"]
