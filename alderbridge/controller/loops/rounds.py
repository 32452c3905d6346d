"""Runs the core's periodic rounds."""

from __future__ import annotations

import time

import curio

from alderbridge import constants
from alderbridge.controller.core import ControllerCore
from alderbridge.controller.worker_prober import WorkerProber

now = time.monotonic


class RoundLoop:
    """Runs the core's rounds, each followed by the probes that are due."""

    def __init__(self, core: ControllerCore, prober: WorkerProber) -> None:
        """``core``: runs the rounds; ``prober``: sends the probes."""
        self.core = core
        self.prober = prober

    async def keep_rounds(self) -> None:
        """Run one round every ``ROUND_INTERVAL_S``."""
        while True:
            await curio.sleep(constants.ROUND_INTERVAL_S)
            self.core.round(now())
            await self.prober.probe_workers()
