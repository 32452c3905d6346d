"""The names of this package under the path they had; new code imports from the modules that define them."""

from __future__ import annotations

from alderbridge.membership.membership import Membership, MemberStatus
from alderbridge.membership.records import NO_VIEW, MemberRecord, View
from alderbridge.membership.rendezvous import rendezvous_owner
from alderbridge.membership.store_lease import StoreLease

__all__ = ["NO_VIEW", "MemberRecord", "MemberStatus", "Membership", "StoreLease", "View", "rendezvous_owner"]
