"""Errors of calls to the store."""

from __future__ import annotations


class StoreError(Exception):
    """A call to the store did not succeed.

    * ``StoreRefusedError``: the request was not executed.

      * ``RateLimitedError``: the store's rate limit was exceeded.

    * ``LeaseExpiredError``: the lease of this process has expired.
    * ``TransactionTooLargeError``: the transaction exceeds a size limit of the store.
    * ``WatchCompactedError``: the store no longer has the requested changes.
    * ``UnreadableRecordError``: the response has a record that this version can't decode.

    A call without a response raises the transport's ``UnansweredError``: the store may have executed it.
    """


class StoreRefusedError(StoreError):
    """The store did not execute the request."""


class RateLimitedError(StoreRefusedError):
    """429: the rate limit was exceeded. This is not an outage: the request can be retried a little later."""


class LeaseExpiredError(StoreError):
    """The lease has expired, and the keys attached to it were deleted."""


class TransactionTooLargeError(StoreError):
    """400: a value or the transaction exceeds the store's current size limit. An unchanged retry fails as well."""


class WatchCompactedError(StoreError):
    """410: the store no longer has the changes since that revision."""


class UnreadableRecordError(StoreError):
    """A record that decides who may act can't be decoded, so no decision may rely on the replica."""
