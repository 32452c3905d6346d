"""The store lease of this process: a member acts only while its lease is provably valid."""

from __future__ import annotations

from alderbridge import constants


class StoreLease:
    """A lease in the store, whose validity counts from when the last successful renewal was sent.

    Times are in s of this process's steady clock; ``ttl_s`` is the requested lifetime.
    """

    def __init__(self, ttl_s: float) -> None:
        """No lease yet."""
        self.ttl_s = ttl_s
        self.lease_id = 0  # 0: none
        self.requested_at = float("-inf")  # when its grant was requested: the store granted it later
        self.key_attached_at = float("inf")  # the member's own key was attached to it by this time
        self.valid_until = float("-inf")

    def record_renewal(self, lease_id: int, sent_at: float, key_attached_at: float = float("inf")) -> None:
        """The store has granted or renewed this lease, in answer to a request sent at ``sent_at``."""
        if lease_id != self.lease_id:
            self.requested_at, self.key_attached_at = sent_at, key_attached_at
        self.lease_id = lease_id
        self.valid_until = sent_at + self.ttl_s * (1 - constants.MAX_CLOCK_DRIFT) - constants.STORE_LEASE_MARGIN_S

    def mark_expired(self) -> None:
        """The store no longer has this lease."""
        self.lease_id = 0
        self.valid_until = float("-inf")
