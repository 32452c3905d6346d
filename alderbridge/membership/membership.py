"""The newest view that this process knows, its own part in it, and who owns which jobs and machines."""

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
    """What this process may do."""

    OUTSIDE = "outside"  # not in the view
    MEMBER = "member"  # in the view, and all that lets it act is provably valid
    EXPIRED = "expired"  # in the view, and it may not act


class Membership:
    """The newest view this process knows, and its own part in it; times are in s of its steady clock."""

    def __init__(self, me: str, ttl_s: float, older_ttl_s: float | None = None) -> None:
        """``older_ttl_s``: the ttl that versions before ``VERSION_WITH_CARRY_OVER`` count with; None: the same."""
        self.me = me
        self.store_lease = StoreLease(ttl_s)
        # An older member takes the view for settled after its own, shorter ttl: while one takes part, or may,
        # nobody acts for longer than that.
        self.older_version_margin_s = max(0.0, ttl_s - (ttl_s if older_ttl_s is None else older_ttl_s))
        self.is_uniform = False  # all members run ``VERSION_WITH_CARRY_OVER`` or newer
        self.view = NO_VIEW
        self.fencing_token = 0
        self.registered: dict[str, tuple[int, int]] = {}  # label -> lease id, revision of the member's own key
        self.protocol_versions: dict[str, int] = {}  # label -> protocol version of the program it runs
        self.failure_detector = FailureDetector(me)
        self.election = Election(self)
        self.synced_at = self.previous_synced_at = float("-inf")  # when the last answers of the store were asked for
        self.fresh_until = float("-inf")
        # Under this view; computing the hashes anew would take a good part of the time of a heartbeat.
        self.job_owners: dict[str, str] = {}
        self.machine_owners: dict[str, str] = {}

    # -- what arrives from the store -------------------------------------------

    def record_sync(self, sent_at: float) -> None:
        """All changes of the store up to an answer asked for at ``sent_at`` are known.

        A member acts only on a view that is fresh: once the ttl has passed since a view began, each member acts under
        it or not at all.
        """
        self.previous_synced_at, self.synced_at = self.synced_at, sent_at
        self.fresh_until = (
            sent_at + self.store_lease.ttl_s * (1 - constants.CLOCK_DRIFT) - constants.STORE_LEASE_MARGIN_S
        )

    def mark_unreadable(self) -> None:
        """The store holds something that counts and that this program can't read: its replica is not fresh."""
        self.fresh_until = float("-inf")

    def observe_view(self, view: View, revision: int) -> bool:
        """True if this is a newer view."""
        if revision <= self.fencing_token:
            return False
        self.view, self.fencing_token = view, revision
        # Written after the answer before the one that brought it, and after the store granted the lease it names.
        is_member = view.members.get(self.me) == self.store_lease.lease_id
        lease_requested_at = self.store_lease.requested_at if is_member else float("-inf")
        self.failure_detector.enter(
            view.members, view.contact_timeout_s, max(self.previous_synced_at, lease_requested_at)
        )
        self.failure_detector.older_view_grace_s = (
            self.store_lease.ttl_s + constants.PROOF_MARGIN_S if view.quorum_may_not_overlap else 0.0
        )
        self.job_owners, self.machine_owners = {}, {}
        self.is_uniform = self.all_support(constants.VERSION_WITH_CARRY_OVER)
        return True

    def observe_member(self, label: str, member: MemberRecord | None, revision: int) -> None:
        """A member's own key, as of that revision of it; None: the key is gone."""
        known = self.registered.get(label)
        if known is not None and revision <= known[1]:
            return
        if member is None:
            self.registered.pop(label, None)
        else:
            self.registered[label] = (member.lease_id, revision)
            self.protocol_versions[label] = member.protocol_version
        self.is_uniform = self.all_support(constants.VERSION_WITH_CARRY_OVER)

    def is_removed(self) -> bool:
        """Whether a quorum has removed this process: its key is gone though its store lease is not. It enters anew."""
        return (
            self.store_lease.lease_id > 0
            and self.me not in self.registered
            and self.synced_at >= self.store_lease.key_attached_at
        )

    # -- what this process may do ------------------------------------------------

    def status(self, now: float) -> MemberStatus:
        """Whether this process is in the view, and may act under it."""
        if not self.store_lease.lease_id or self.view.members.get(self.me) != self.store_lease.lease_id:
            return MemberStatus.OUTSIDE
        margin_s = 0.0 if self.is_uniform else self.older_version_margin_s
        until = min(self.store_lease.valid_until, self.fresh_until) - margin_s
        until = min(until, self.failure_detector.contact_until)
        return MemberStatus.MEMBER if now < until else MemberStatus.EXPIRED

    def may_act(self, now: float) -> bool:
        """Whether this process may act as a member."""
        return self.status(now) is MemberStatus.MEMBER

    def is_leader(self, now: float) -> bool:
        """Whether this process leads the view, and may act."""
        return self.view.leader == self.me and self.may_act(now)

    # -- who owns what -------------------------------------------------------------

    def job_owner(self, label: str) -> str:
        """Who owns the jobs that were accepted by this label: that member, or one in its place while it is away."""
        owner = self.job_owners.get(label)
        if owner is None:
            members = self.view.members
            owner = self.job_owners[label] = (
                label if label in members or not members else rendezvous_owner(label, sorted(members))
            )
        return owner

    def machine_owner(self, machine: str) -> str:
        """Who owns this machine; "" where no view is known."""
        owner = self.machine_owners.get(machine)
        if owner is None:
            if len(self.machine_owners) >= constants.MAX_MACHINES:  # also of machines terminated long ago
                self.machine_owners.clear()
            members = self.view.members
            owner = self.machine_owners[machine] = rendezvous_owner(machine, sorted(members)) if members else ""
        return owner

    def report_to(self, machine: str) -> str:
        """The member that the machine's worker is told to report to.

        That is its owner, unless the owner is suspected. A worker waits 4 s for a member that is cut off; sent back
        there a second time, its lease would expire first. So it goes from one alive member to the next, at once or
        after half a second, until one knows the view without the owner.
        """
        owner = self.machine_owner(machine)
        if owner == self.me or self.failure_detector.is_alive(owner):
            return owner
        alive = sorted(
            label for label in self.view.members if label != self.me and self.failure_detector.is_alive(label)
        )
        return next((label for label in alive if label > self.me), alive[0] if alive else owner)

    # -- views to come ---------------------------------------------------------------

    def all_support(self, protocol_version: int) -> bool:
        """Whether whoever takes part, or is about to, runs this protocol version or a newer one.

        From the members' own keys in the store, so nothing depends on messages between them.
        """
        lease_ids = {label: lease_id for label, (lease_id, _) in self.registered.items()}
        return all(lease_ids.get(label) == lease_id for label, lease_id in self.view.members.items()) and all(
            self.protocol_versions[label] >= protocol_version for label in lease_ids
        )

    def contact_timeout_for(self, members: dict[str, int]) -> float:
        """The contact timeout of a view of these: none, unless they are enough and all support failure detection."""
        has_failure_detection = len(members) >= constants.CONTACT_MIN_MEMBERS and all(
            self.protocol_versions[label] >= constants.VERSION_WITH_FAILURE_DETECTOR for label in members
        )
        return constants.CONTACT_TIMEOUT_S if has_failure_detection else NO_CONTACT_TIMEOUT_S

    def mark_quorum_overlap(self, view: View, settled: bool) -> View:
        """The view that is to follow this one; ``settled``: each member acts under this one or not at all.

        Between two views that ask for contact of the same labels, any two quorums have a process in common that
        knows the newer one, so its contact timeout binds who does not know it, too. Otherwise freshness alone does.
        """
        overlaps = self.view.contact_timeout_s > 0 and view.members.keys() == self.view.members.keys()
        overlaps = overlaps and (settled or not self.view.quorum_may_not_overlap)
        if overlaps or not view.contact_timeout_s:
            return view
        return msgspec.structs.replace(view, quorum_may_not_overlap=True)

    def next_view(self, now: float, max_removed: int = constants.CONTACT_MIN_MEMBERS) -> ViewChange | None:
        """The change of the view that this process should try now, see ``Election``; None: none."""
        return self.election.next_view(now, max_removed)
