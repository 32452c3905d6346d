"""Keys and values of the operator configuration in the store: a head for each kind, and the texts that it names."""

from __future__ import annotations

import msgspec

from alderbridge.protocol.keys import CONFIGURATIONS


class StoredRevision(msgspec.Struct, frozen=True, omit_defaults=True):
    """A compiled text, stored in ``parts`` values.

    Revision 0 stands for no declaration yet; a later revision without parts withdraws the earlier ones.
    """

    revision: int
    digest: str = ""
    parts: int = 0


class ConfigurationHead(msgspec.Struct, frozen=True, omit_defaults=True):
    """Record ``ab/d/KIND``: the current revision, and the previous one during a change."""

    revision: int
    digest: str
    parts: int
    at: float  # time of day of the proposal; informational
    before: StoredRevision | None = None  # applied as well until the change is complete; None: complete

    @property
    def last(self) -> StoredRevision:
        """Return the current revision."""
        return StoredRevision(self.revision, self.digest, self.parts)

    @property
    def named(self) -> list[StoredRevision]:
        """Return the revisions that the head refers to, oldest first."""
        return [self.last] if self.before is None else [self.before, self.last]


def head_key(kind: str) -> str:
    """Return the key under which the head of a kind is stored."""
    return CONFIGURATIONS + kind


def parts_of(text: bytes, value_bytes: int) -> int:
    """Return how many values of at most ``value_bytes`` the text needs, as base64 in quotation marks."""
    return -(-len(text) // max(1, (value_bytes - 2) // 4 * 3))


def piece_keys(kind: str, revision: StoredRevision) -> list[str]:
    """Return the keys under which the parts of a revision's text are stored.

    The value of a key never changes: the key contains the digest of the text and the number of parts.
    """
    return [f"{CONFIGURATIONS}{kind}/{revision.digest}-{revision.parts}/{number}" for number in range(revision.parts)]


def pieces(text: bytes, parts: int) -> list[bytes]:
    """Split a text into values of about the same size."""
    offsets = [len(text) * number // parts for number in range(parts + 1)] if parts else []
    return [text[begin:end] for begin, end in zip(offsets, offsets[1:], strict=False)]
