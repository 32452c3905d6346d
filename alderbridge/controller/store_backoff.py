"""Backoff after a failed call to the state service."""

from __future__ import annotations

import time

from alderbridge import constants

now = time.monotonic


class StoreBackoff:
    """Tracks recent failures of store calls; no job is accepted during the backoff."""

    def __init__(self) -> None:
        """Start without a backoff."""
        self.until = 0.0

    def record_failure(self) -> None:
        """Start the backoff: a call was refused or not answered."""
        self.until = now() + constants.STORE_BACKOFF_S

    def record_success(self) -> None:
        """End the backoff: a transaction was answered."""
        self.until = 0.0

    def is_active(self) -> bool:
        """True for ``STORE_BACKOFF_S`` after a failure, unless a transaction has succeeded since."""
        return now() < self.until
