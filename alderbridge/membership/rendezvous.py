"""Rendezvous hashing: which member owns a job label or a machine."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable


def rendezvous_owner(key: str, labels: Iterable[str]) -> str:
    """The label with the highest hash of itself and ``key``: few keys move when the labels change."""
    return max(labels, key=lambda label: hashlib.blake2b(f"{label} {key}".encode(), digest_size=8).digest())
