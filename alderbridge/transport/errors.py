"""What can go wrong with a request."""

from __future__ import annotations


class UnansweredError(Exception):
    """No response: the request may have been carried out, or may yet be."""
