"""Logs the memory that this process holds whenever it has changed considerably."""

from __future__ import annotations

import logging
import os
from pathlib import Path

import curio

from alderbridge import constants

log = logging.getLogger("controller")

STATM_PATH = Path("/proc/self/statm")
RESIDENT_FIELD = 1  # position of the resident pages in ``STATM_PATH``
BYTES_PER_MB = 2**20


def resident_memory_mb(path: Path = STATM_PATH) -> float | None:
    """Memory that this process holds at present; None where the platform does not show it."""
    try:
        pages = int(path.read_text().split()[RESIDENT_FIELD])
    except (OSError, ValueError, IndexError):
        return None
    return pages * os.sysconf("SC_PAGE_SIZE") / BYTES_PER_MB


class MemoryLoop:
    """Logs the resident memory at the start, and when it has changed by a share of the limit since the last line."""

    def __init__(self, limit_mb: float) -> None:
        """``limit_mb``: the platform ends a process that holds more."""
        self.limit_mb = limit_mb
        self.logged_mb = 0.0

    async def keep_memory_logged(self) -> None:
        """Read the memory every ``MEMORY_CHECK_INTERVAL_S``."""
        while True:
            self.observe(resident_memory_mb())
            await curio.sleep(constants.MEMORY_CHECK_INTERVAL_S)

    def observe(self, resident_mb: float | None) -> None:
        """Log the memory if it differs enough from that of the last line."""
        if resident_mb is None:
            return
        if abs(resident_mb - self.logged_mb) < self.limit_mb * constants.MEMORY_LOG_SHARE:
            return
        self.logged_mb = resident_mb
        log.info("process state=memory_changed resident_mb=%.0f limit_mb=%.0f", resident_mb, self.limit_mb)
