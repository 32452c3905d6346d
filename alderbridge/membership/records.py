"""What the store keeps of the membership: the view, and a record of each member.

These are encoded: ``name=`` gives the stored word of a field whose name here is another.
"""

from __future__ import annotations

import msgspec

# s; of a view without failure detection. ``omit_defaults`` goes by identity: only this very object is left out.
NO_CONTACT_TIMEOUT_S = 0.0


class View(msgspec.Struct, frozen=True, omit_defaults=True):
    """Who leads and who takes part; the revision of this record is the fencing token."""

    leader: str
    members: dict[str, int]  # label -> lease id of its store lease
    # s; a member out of contact for this long does not act, and may be removed
    contact_timeout_s: float = msgspec.field(name="contact_s", default=NO_CONTACT_TIMEOUT_S)
    # A member that does not know this view may act under an older one, which the failure detector does not bind.
    quorum_may_not_overlap: bool = msgspec.field(name="loose", default=False)


class MemberRecord(msgspec.Struct, frozen=True):
    """A member's own key, attached to its store lease."""

    lease_id: int = msgspec.field(name="permit")
    # Of the program that the member runs; the first version of it did not write it.
    protocol_version: int = msgspec.field(name="generation", default=1)


NO_VIEW = View("", {})
