"""What can go wrong with a call to the store."""

from __future__ import annotations


class StoreError(Exception):
    """A call to the store did not succeed.

    * ``StoreRefusedError``: not carried out.

      * ``RateLimitedError``: too many requests for a moment.

    * ``LeaseExpiredError``: the lease of this process is gone.
    * ``TransactionTooLargeError``: more than the store takes.
    * ``WatchCompactedError``: the changes asked for are no longer kept.
    * ``UnreadableRecordError``: it was answered, with a record that this version can't read.

    A call without an answer raises the ``UnansweredError`` of the transport: it may have been carried out.
    """


class StoreRefusedError(StoreError):
    """The store did not carry the request out."""


class RateLimitedError(StoreRefusedError):
    """429: too many requests for a moment. Not an outage: the same request succeeds a little later."""


class LeaseExpiredError(StoreError):
    """The lease has expired; what was attached to it is gone."""


class TransactionTooLargeError(StoreError):
    """400: a value, or the transaction, is larger than the store takes now. A retry without a change is no use."""


class WatchCompactedError(StoreError):
    """410: the store no longer has the changes since that revision."""


class UnreadableRecordError(StoreError):
    """A record that decides who may act can't be decoded: nothing may be built on what else the store says."""
