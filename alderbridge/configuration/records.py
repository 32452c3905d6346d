"""Keys and values of the operator configuration in the store: a head for each kind, and the texts that heads name."""

from __future__ import annotations

import msgspec

from alderbridge.protocol.keys import DECLARED


class StoredRevision(msgspec.Struct, frozen=True, omit_defaults=True):
    """One text, in ``parts`` values. Revision 0: nothing was declared; no parts: nothing is declared any more."""

    revision: int
    digest: str = ""
    parts: int = 0


class ConfigurationHead(msgspec.Struct, frozen=True, omit_defaults=True):
    """Record ``ab/d/KIND``: which revision counts."""

    revision: int
    digest: str
    parts: int
    at: float  # time of day of the proposal, for people only
    before: StoredRevision | None = None  # obeyed as well where it forbids something; None: settled

    @property
    def last(self) -> StoredRevision:
        """Return the revision that counts."""
        return StoredRevision(self.revision, self.digest, self.parts)

    @property
    def named(self) -> list[StoredRevision]:
        """Return all that it names, oldest first."""
        return [self.last] if self.before is None else [self.before, self.last]


def head_key(kind: str) -> str:
    """Return the key of the kind's head."""
    return DECLARED + kind


def parts_of(text: bytes, value_bytes: int) -> int:
    """Return how many values the text takes where one may have that many bytes: base64 between quotation marks."""
    return -(-len(text) // max(1, (value_bytes - 2) // 4 * 3))


def piece_keys(kind: str, revision: StoredRevision) -> list[str]:
    """Return the keys of a revision's text.

    What is under a key never changes: the text and the number of its parts say it all.
    """
    return [f"{DECLARED}{kind}/{revision.digest}-{revision.parts}/{number}" for number in range(revision.parts)]


def pieces(text: bytes, parts: int) -> list[bytes]:
    """Cut a text into values of about the same size."""
    at = [len(text) * number // parts for number in range(parts + 1)] if parts else []
    return [text[low:high] for low, high in zip(at, at[1:], strict=False)]
