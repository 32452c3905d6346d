"""Errors of the simulation: a violated invariant, and the errors of the simulated store."""

from __future__ import annotations


class InvariantViolation(AssertionError):
    """An invariant of the protocol was violated."""


class StoreRefusedError(Exception):
    pass


class TransactionTooLargeError(Exception):
    pass
