"""This process's lease in the store: a member acts only while it is provably valid."""

from __future__ import annotations

from alderbridge import constants


class StoreLease:
    """A time-limited registration, counted from when the last good renewal was sent.

    Times are in s of this process's steady clock; ``ttl_s`` is the lifetime that the store was asked for.
    """

    def __init__(self, ttl_s: float) -> None:
        """No lease yet."""
        self.ttl_s = ttl_s
        self.lease_id = 0  # 0: none
        self.requested_at = float("-inf")  # the store granted this lease later than this
        self.key_attached_at = float("inf")  # and the member's own key was attached to it no later than this
        self.valid_until = float("-inf")

    def record_renewal(self, lease_id: int, sent_at: float, key_attached_at: float = float("inf")) -> None:
        """The store has granted or renewed this lease, by a request sent at ``sent_at``."""
        if lease_id != self.lease_id:
            self.requested_at, self.key_attached_at = sent_at, key_attached_at
        self.lease_id = lease_id
        self.valid_until = sent_at + self.ttl_s * (1 - constants.CLOCK_DRIFT) - constants.STORE_LEASE_MARGIN_S

    def mark_expired(self) -> None:
        """The store no longer has this lease."""
        self.lease_id = 0
        self.valid_until = float("-inf")
