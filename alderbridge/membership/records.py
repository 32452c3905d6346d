"""Membership records in the store: the view, and one record for each member.

``name=`` gives the encoded name of a field where it differs.
"""

from __future__ import annotations

import msgspec

# s; for a view without failure detection. ``omit_defaults`` compares by identity: only this object is omitted.
NO_CONTACT_TIMEOUT_S = 0.0


class View(msgspec.Struct, frozen=True, omit_defaults=True):
    """The leader and the members; the revision of this record is the fencing token."""

    leader: str
    members: dict[str, int]  # label -> lease id of its store lease
    # s; a member out of contact for this long does not act, and may be removed
    contact_timeout_s: float = msgspec.field(name="contact_s", default=NO_CONTACT_TIMEOUT_S)
    # A member without this view may act under an older one, to which the contact timeout does not apply.
    quorum_may_not_overlap: bool = msgspec.field(name="loose", default=False)


class MemberRecord(msgspec.Struct, frozen=True):
    """A member's own key, attached to its store lease."""

    lease_id: int = msgspec.field(name="permit")
    # Of the member's program; version 1 does not write this field.
    protocol_version: int = msgspec.field(name="generation", default=1)


NO_VIEW = View("", {})
