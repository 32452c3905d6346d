"""The newest view, the status of this process in it, and the owners of jobs and machines."""

from __future__ import annotations

from enum import Enum

import msgspec

from alderbridge import constants
from alderbridge.membership.election import Election, ViewChange
from alderbridge.membership.failure_detector import FailureDetector
from alderbridge.membership.records import NO_CONTACT_TIMEOUT_S, NO_VIEW, MemberRecord, View
from alderbridge.membership.rendezvous import rendezvous_owner
from alderbridge.membership.store_lease import StoreLease


class MemberStatus(Enum):
    """Whether this process is in the view and may act."""

    OUTSIDE = "outside"  # not in the view
    MEMBER = "member"  # in the view; its lease, replica and contact are provably valid
    EXPIRED = "expired"  # in the view, but one of them may have expired: it may not act


class Membership:
    """The newest view this process has read, and its own status in it; times are in s of its steady clock."""

    def __init__(self, me: str, ttl_s: float, older_ttl_s: float | None = None) -> None:
        """``older_ttl_s``: the lease ttl that versions before ``VERSION_WITH_CARRY_OVER`` assume; None: ``ttl_s``."""
        self.me = me
        self.store_lease = StoreLease(ttl_s)
        # An older version considers a view settled after its own, shorter ttl. While such a member takes part, or is
        # about to, every member stops acting after that ttl.
        self.older_version_margin_s = max(0.0, ttl_s - (ttl_s if older_ttl_s is None else older_ttl_s))
        self.all_support_carry_over = False  # by all members, present and joining
        self.view = NO_VIEW
        self.fencing_token = 0
        self.registered: dict[str, tuple[int, int]] = {}  # label -> lease id, revision of the member's own key
        self.protocol_versions: dict[str, int] = {}  # label -> protocol version of the program it runs
        self.failure_detector = FailureDetector(me)
        self.election = Election(self)
        self.synced_at = self.previous_synced_at = float("-inf")  # when the last two syncs were requested
        self.fresh_until = float("-inf")
        # Caches for this view: hashing takes a large part of the time of handling a heartbeat.
        self.job_owners: dict[str, str] = {}
        self.machine_owners: dict[str, str] = {}

    def record_sync(self, sent_at: float) -> None:
        """The replica has all changes of the store up to the answer to a request sent at ``sent_at``.

        A member acts only on a fresh replica. So once the ttl has passed since a view was written, each member acts
        under that view or not at all.
        """
        self.previous_synced_at, self.synced_at = self.synced_at, sent_at
        self.fresh_until = (
            sent_at + self.store_lease.ttl_s * (1 - constants.MAX_CLOCK_DRIFT) - constants.STORE_LEASE_MARGIN_S
        )

    def mark_unreadable(self) -> None:
        """A record that decides who may act can't be decoded by this version, so the replica is not fresh."""
        self.fresh_until = float("-inf")

    def observe_view(self, view: View, revision: int) -> bool:
        """Take over a view if it is newer than the current one; true if so."""
        if revision <= self.fencing_token:
            return False
        self.view, self.fencing_token = view, revision
        # The view was written after the previous sync, and after the store granted the lease id that it contains.
        is_member = view.members.get(self.me) == self.store_lease.lease_id
        lease_requested_at = self.store_lease.requested_at if is_member else float("-inf")
        self.failure_detector.enter_view(
            view.members, view.contact_timeout_s, max(self.previous_synced_at, lease_requested_at)
        )
        self.failure_detector.older_view_grace_s = (
            self.store_lease.ttl_s + constants.LEASE_EXPIRY_MARGIN_S if view.quorum_may_not_overlap else 0.0
        )
        self.job_owners, self.machine_owners = {}, {}
        self.all_support_carry_over = self.all_support(constants.VERSION_WITH_CARRY_OVER)
        return True

    def observe_member(self, label: str, member: MemberRecord | None, revision: int) -> None:
        """Record a member's own key as of that revision; ``member`` None: the key was deleted."""
        current = self.registered.get(label)
        if current is not None and revision <= current[1]:
            return
        if member is None:
            self.registered.pop(label, None)
        else:
            self.registered[label] = (member.lease_id, revision)
            self.protocol_versions[label] = member.protocol_version
        self.all_support_carry_over = self.all_support(constants.VERSION_WITH_CARRY_OVER)

    def is_removed(self) -> bool:
        """Whether a quorum has removed this process: its key was deleted though its store lease is valid.

        It must join again with a new lease.
        """
        return (
            self.store_lease.lease_id > 0
            and self.me not in self.registered
            and self.synced_at >= self.store_lease.key_attached_at
        )

    def status(self, now: float) -> MemberStatus:
        """Whether this process is in the view, and may act under it."""
        if not self.store_lease.lease_id or self.view.members.get(self.me) != self.store_lease.lease_id:
            return MemberStatus.OUTSIDE
        margin_s = 0.0 if self.all_support_carry_over else self.older_version_margin_s
        until = min(self.store_lease.valid_until, self.fresh_until) - margin_s
        until = min(until, self.failure_detector.contact_until)
        return MemberStatus.MEMBER if now < until else MemberStatus.EXPIRED

    def may_act(self, now: float) -> bool:
        """Whether this process may act as a member."""
        return self.status(now) is MemberStatus.MEMBER

    def is_leader(self, now: float) -> bool:
        """Whether this process leads the view, and may act."""
        return self.view.leader == self.me and self.may_act(now)

    def job_owner(self, label: str) -> str:
        """The owner of the jobs that this label accepted: that member, or a substitute while it is not in the view."""
        owner = self.job_owners.get(label)
        if owner is None:
            members = self.view.members
            owner = self.job_owners[label] = (
                label if label in members or not members else rendezvous_owner(label, sorted(members))
            )
        return owner

    def machine_owner(self, machine: str) -> str:
        """The member that owns this machine; "" before the first view."""
        owner = self.machine_owners.get(machine)
        if owner is None:
            if len(self.machine_owners) >= constants.MAX_MACHINES:  # it also has entries of terminated machines
                self.machine_owners.clear()
            members = self.view.members
            owner = self.machine_owners[machine] = rendezvous_owner(machine, sorted(members)) if members else ""
        return owner

    def heartbeat_target(self, machine: str) -> str:
        """The member to which the machine's worker is redirected.

        That is its owner, unless the owner is suspected. A worker waits 4 s for a member that is cut off; if it were
        redirected there twice, its lease would expire. So it is passed from one alive member to the next until one of
        them has the view without the owner.
        """
        owner = self.machine_owner(machine)
        if owner == self.me or self.failure_detector.is_alive(owner):
            return owner
        alive = sorted(
            label for label in self.view.members if label != self.me and self.failure_detector.is_alive(label)
        )
        return next((label for label in alive if label > self.me), alive[0] if alive else owner)

    def all_support(self, protocol_version: int) -> bool:
        """Whether all members, and those about to join, run this protocol version or a newer one.

        This is read from the members' own keys in the store and does not depend on messages between them.
        """
        lease_ids = {label: lease_id for label, (lease_id, _) in self.registered.items()}
        return all(lease_ids.get(label) == lease_id for label, lease_id in self.view.members.items()) and all(
            self.protocol_versions[label] >= protocol_version for label in lease_ids
        )

    def contact_timeout_for(self, members: dict[str, int]) -> float:
        """The contact timeout for a view of these members; none if they are too few or one lacks failure detection."""
        has_failure_detection = len(members) >= constants.CONTACT_MIN_MEMBERS and all(
            self.protocol_versions[label] >= constants.VERSION_WITH_FAILURE_DETECTOR for label in members
        )
        return constants.CONTACT_TIMEOUT_S if has_failure_detection else NO_CONTACT_TIMEOUT_S

    def mark_quorum_overlap(self, view: View, settled: bool) -> View:
        """The next view, marked if its quorums may not overlap with those that an unaware member relies on.

        ``settled``: each member acts under the current view or not at all. Between two views that require contact of
        the same labels, any two quorums share a process that has the newer view, so its contact timeout also binds
        members that do not have it. Otherwise only the freshness of their replica stops those.
        """
        overlaps = self.view.contact_timeout_s > 0 and view.members.keys() == self.view.members.keys()
        overlaps = overlaps and (settled or not self.view.quorum_may_not_overlap)
        if overlaps or not view.contact_timeout_s:
            return view
        return msgspec.structs.replace(view, quorum_may_not_overlap=True)

    def next_view(self, now: float, max_removed: int = constants.CONTACT_MIN_MEMBERS) -> ViewChange | None:
        """The change of the view that this process should try now, see ``Election``; None: no change."""
        return self.election.next_view(now, max_removed)
