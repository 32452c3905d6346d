"""Tasks that wait until the core has news of a submission or a job."""

from __future__ import annotations

import curio


class Waiters:
    """Events by what they wait for; whoever dispatches the core's notifications takes them out and sets them."""

    def __init__(self) -> None:
        """Nothing is waited for yet."""
        self.events: dict[object, list[curio.Event]] = {}  # submission or id of a job -> of the tasks that wait for it

    async def wait_for(self, what: object, timeout_s: float) -> bool:
        """Wait until the core has news of it; False after ``timeout_s``."""
        event = curio.Event()
        self.events.setdefault(what, []).append(event)
        try:
            await curio.timeout_after(timeout_s, event.wait)
        except curio.TaskTimeout:
            self._discard(what, event)
            return False
        return True

    def _discard(self, what: object, event: curio.Event) -> None:
        waiting = self.events.get(what, [])
        if event in waiting:
            waiting.remove(event)
        if not waiting:
            self.events.pop(what, None)
