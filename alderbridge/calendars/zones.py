"""Time zones of the pinned ``tzdata``."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from zoneinfo import ZoneInfo

_zones: dict[str, ZoneInfo | None] = {}


def load_zone(name: str) -> ZoneInfo | None:
    """Return the zone from the pinned ``tzdata`` package, or ``None`` if it has no such zone.

    ``zoneinfo.ZoneInfo(name)`` would prefer the system's files, and all controllers must interpret a calendar alike.
    """
    if name not in _zones:
        from importlib import resources
        from zoneinfo import ZoneInfo

        zone = None
        if re.fullmatch(r"[A-Za-z][A-Za-z0-9_+-]*(/[A-Za-z0-9_+-]+)*", name):
            try:
                with resources.files("tzdata").joinpath("zoneinfo", *name.split("/")).open("rb") as file:
                    zone = ZoneInfo.from_file(file, key=name)
            except (OSError, ValueError, ModuleNotFoundError):
                zone = None
        _zones[name] = zone
    return _zones[name]
