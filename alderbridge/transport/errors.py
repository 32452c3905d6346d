"""Errors of HTTP requests."""

from __future__ import annotations


class UnansweredError(Exception):
    """No response was received: the request may have been carried out, or may still be."""
