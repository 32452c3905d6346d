"""Keeps the view in agreement with which members are alive."""

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
    """Proposes the next view when the membership calls for one."""

    def __init__(self, core: ControllerCore, store: Store) -> None:
        """``core``: decides on the view; ``store``: keeps it."""
        self.core = core
        self.store = store

    async def keep_view(self) -> None:
        """Look for a change each round; after a conflict wait one more, for the other's view to arrive."""
        while True:
            await curio.sleep(constants.ROUND_S)
            change = self.core.view_entry.next_view(now())
            if change is None:
                continue
            view, conditions, drops = change
            done = await self.store.commit(conditions, {VIEW: view}, drops)
            if done.failed:
                log.info("view state=conflict failed=%s", done.failed)
                await curio.sleep(constants.ROUND_S)
