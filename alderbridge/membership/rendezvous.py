"""Rendezvous hashing, which assigns job labels and machines to members."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable


def rendezvous_owner(key: str, labels: Iterable[str]) -> str:
    """The label with the highest hash of label and ``key``: few keys change owner when the labels change."""
    return max(labels, key=lambda label: hashlib.blake2b(f"{label} {key}".encode(), digest_size=8).digest())
