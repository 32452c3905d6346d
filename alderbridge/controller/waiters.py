"""Tasks that wait for the core's notification of a submission or a job."""

from __future__ import annotations

import curio


class Waiters:
    """Events of waiting tasks; the dispatcher of the core's notifications removes and sets them."""

    def __init__(self) -> None:
        """Start without waiting tasks."""
        self.events_by_key: dict[object, list[curio.Event]] = {}  # submission or job id -> events of the waiting tasks

    async def wait_for(self, key: object, timeout_s: float) -> bool:
        """Wait for the notification of this submission or job id; False after ``timeout_s``."""
        event = curio.Event()
        self.events_by_key.setdefault(key, []).append(event)
        try:
            await curio.timeout_after(timeout_s, event.wait)
        except curio.TaskTimeout:
            self._discard(key, event)
            return False
        return True

    def _discard(self, key: object, event: curio.Event) -> None:
        waiting = self.events_by_key.get(key, [])
        if event in waiting:
            waiting.remove(event)
        if not waiting:
            self.events_by_key.pop(key, None)
