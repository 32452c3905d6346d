"""Backoff from the state service after a call to it has failed."""

from __future__ import annotations

import time

from alderbridge import constants

now = time.monotonic


class StoreBackoff:
    """Whether a call to the store has failed lately: no job is accepted then."""

    def __init__(self) -> None:
        """No call has failed yet."""
        self.until = 0.0

    def record_failure(self) -> None:
        """A call was refused or not answered."""
        self.until = now() + constants.STORE_BACKOFF_S

    def record_success(self) -> None:
        """A transaction was answered."""
        self.until = 0.0

    def is_active(self) -> bool:
        """True for a while after a failure, unless a transaction has succeeded since."""
        return now() < self.until
