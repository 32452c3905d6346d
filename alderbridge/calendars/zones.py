"""Time zones of the pinned ``tzdata``."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from zoneinfo import ZoneInfo

_zones: dict[str, ZoneInfo | None] = {}


def load_zone(name: str) -> ZoneInfo | None:
    """Return a zone of the pinned ``tzdata``, whatever the system has: two controllers must read one text alike.

    ``zoneinfo`` would take the system's files first. ``None``: there is no such zone.
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
