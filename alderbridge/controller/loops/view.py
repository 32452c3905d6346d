"""Proposes view changes to the store."""

from __future__ import annotations

import logging
import time

import curio

from alderbridge import constants
from alderbridge.controller.core import ControllerCore
from alderbridge.protocol.keys import VIEW
from alderbridge.state.store import Store

log = logging.getLogger("controller")
now = time.monotonic


class ViewLoop:
    """Commits the next view when the membership requires a change."""

    def __init__(self, core: ControllerCore, store: Store) -> None:
        """``core``: decides on the view; ``store``: holds it."""
        self.core = core
        self.store = store

    async def keep_view(self) -> None:
        """Check for a change each round; after a conflict wait one more round for the other member's view."""
        while True:
            await curio.sleep(constants.ROUND_INTERVAL_S)
            change = self.core.view_entry.next_view(now())
            if change is None:
                continue
            view, conditions, drops = change
            result = await self.store.commit(conditions, {VIEW: view}, drops)
            if result.failed:
                log.info("view state=conflict failed=%s", result.failed)
                await curio.sleep(constants.ROUND_INTERVAL_S)
