"""Keys and values of declarations in the store: a head each, and the texts that heads name."""

from __future__ import annotations

import msgspec

from alderbridge.state.store import DECLARED


class Revision(msgspec.Struct, frozen=True, omit_defaults=True):
    """One text, in ``parts`` values. Revision 0: nothing was declared; no parts: nothing is declared any more."""

    revision: int
    digest: str = ""
    parts: int = 0


class Head(msgspec.Struct, frozen=True, omit_defaults=True):
    """Record ``ab/d/KIND``: which revision counts."""

    revision: int
    digest: str
    parts: int
    at: float  # time of day of the proposal, for people only
    before: Revision | None = None  # obeyed as well where it forbids something; None: settled

    @property
    def last(self) -> Revision:
        return Revision(self.revision, self.digest, self.parts)

    @property
    def named(self) -> list[Revision]:
        """All that it names, oldest first."""
        return [self.last] if self.before is None else [self.before, self.last]


def head_key(kind: str) -> str:
    return DECLARED + kind


def parts_of(text: bytes, value_bytes: int) -> int:
    """Values that the text takes where one may have that many bytes: base64 between quotation marks."""
    return -(-len(text) // max(1, (value_bytes - 2) // 4 * 3))


def piece_keys(kind: str, revision: Revision) -> list[str]:
    """What is under a key never changes: the text and the number of its parts say it all."""
    return [f"{DECLARED}{kind}/{revision.digest}-{revision.parts}/{number}" for number in range(revision.parts)]


def pieces(text: bytes, parts: int) -> list[bytes]:
    at = [len(text) * number // parts for number in range(parts + 1)] if parts else []
    return [text[low:high] for low, high in zip(at, at[1:], strict=False)]
