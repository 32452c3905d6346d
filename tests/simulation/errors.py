"""What goes wrong in the simulation: a broken rule, and the answers of the simulated store."""

from __future__ import annotations


class Broken(AssertionError):
    """A rule of the protocol was broken."""


class StoreRefusedError(Exception):
    pass


class TransactionTooLargeError(Exception):
    pass
