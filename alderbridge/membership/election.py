"""Which view this process should propose next: who takes part, who leads, and whether contact is asked for.

Each member decides alone, from its replica of the store; the compare-and-swap of the view's record lets one win.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from alderbridge import constants
from alderbridge.membership.records import NO_CONTACT_TIMEOUT_S, View

if TYPE_CHECKING:
    from alderbridge.membership.membership import Membership


class ViewChange(NamedTuple):
    """A view to write, and the revisions of members' keys to assert with it; 0: there must be no such key."""

    view: View
    revisions: dict[str, int]


class Election:
    """The decision on the next view, with what it has to remember from one call to the next."""

    def __init__(self, membership: Membership) -> None:
        """``membership``: whose next view is decided on."""
        self.membership = membership
        self.leaderless_since: float | None = None  # s; since when a lead that others have precedence for is free
        self.joining: dict[str, int] = {}  # the members to be, as the last call found them
        self.joining_since = float("-inf")  # s; since when they differ from the view's
        self.joining_changed_at = float("-inf")  # s; since when they are these

    def next_view(self, now: float, max_removed: int) -> ViewChange | None:
        """The change this process should try now; None: none.

        A member whose key is gone has lost its store lease: the store says so, and the transaction asserts it again.
        Also removed is a member that a quorum has declared failed (at most ``max_removed`` at once): its key, whose
        revision is asserted, goes with the same transaction. Nobody is removed otherwise.
        """
        if not self._may_propose(now):
            return None
        failed = self._failed_members(max_removed)
        if self.membership.me in failed:
            return None
        alive = self._alive_members(failed)
        view = self._contact_view(alive, now) or self._member_view(alive, bool(failed), now)
        return None if view is None else ViewChange(view, self._revisions(alive, failed))

    def _may_propose(self, now: float) -> bool:
        """Whether this process has a valid store lease, and its own key is known to be attached to it."""
        store_lease = self.membership.store_lease
        own = self.membership.registered.get(self.membership.me)
        return own is not None and own[0] == store_lease.lease_id and now < store_lease.valid_until

    def _failed_members(self, max_removed: int) -> list[str]:
        """Members that a quorum has declared failed and whose key is still that of the view."""
        registered, members = self.membership.registered, self.membership.view.members
        failed = sorted(
            label
            for label in self.membership.failure_detector.failed_by_quorum()
            if registered.get(label, (0, 0))[0] == members[label]
        )
        return failed[:max_removed]

    def _alive_members(self, failed: list[str]) -> dict[str, int]:
        """Who is to take part: label -> lease id."""
        excluded = self.membership.failure_detector.excluded
        return {
            label: lease_id
            for label, (lease_id, _) in self.membership.registered.items()
            if label not in failed and label not in excluded
        }

    def _revisions(self, alive: dict[str, int], failed: list[str]) -> dict[str, int]:
        registered = self.membership.registered
        return {
            label: registered[label][1] if label in alive or label in failed else 0
            for label in {*alive, *self.membership.view.members}
        }

    # -- a change of members or of the leader ----------------------------------

    def _member_view(self, alive: dict[str, int], has_failed: bool, now: float) -> View | None:
        """A view of other members, or with another leader."""
        view = self.membership.view
        if alive == view.members and view.leader in alive:
            self.leaderless_since = None
            self.joining = {}
            return None
        if not self._joiners_complete(alive, now):
            return None
        leader = self._next_leader(alive, has_failed, now)
        return None if leader is None else View(leader, alive, self.membership.contact_timeout_for(alive))

    def _joiners_complete(self, alive: dict[str, int], now: float) -> bool:
        """Whether no other newcomer is to be expected: those that fail together return within a second or two.

        A view for each would void the acknowledgements of the one before (seen: three in half a second).
        A member that has left is not waited for.
        """
        if any(label not in alive for label in self.membership.view.members):
            return True
        if alive != self.joining:
            self.joining_since = self.joining_since if self.joining else now
            self.joining, self.joining_changed_at = alive, now
        return (
            now - self.joining_changed_at >= constants.JOIN_QUIET_S or now - self.joining_since >= constants.JOIN_MAX_S
        )

    def _next_leader(self, alive: dict[str, int], has_failed: bool, now: float) -> str | None:
        """Who leads the view that this process should propose; None: it should propose none yet.

        The leader proposes changes of members. Without one, and for a failed member, any member may, in the order of
        the labels, each with a head start on the next one.
        """
        me, view = self.membership.me, self.membership.view
        leaderless = view.members.get(view.leader) != alive.get(view.leader, -1)
        if not leaderless and view.leader == me:
            return me
        if not leaderless and not has_failed:
            self.leaderless_since = None
            return None
        if self.leaderless_since is None:
            self.leaderless_since = now
        position = sorted(alive).index(me) + (not leaderless)
        if now - self.leaderless_since < position * constants.LEADER_PRECEDENCE_S:
            return None
        return me if leaderless else view.leader

    # -- a change of the contact that is asked for ------------------------------

    def _contact_view(self, alive: dict[str, int], now: float) -> View | None:
        """A view because of contact alone; one of the same members waives it, asks for it again, or begins it anew."""
        membership = self.membership
        if membership.view.members.get(membership.me) != membership.store_lease.lease_id:
            return None
        ending_since = membership.failure_detector.contact_ending_since
        if ending_since is not None and now - membership.synced_at < constants.STORE_REACHABLE_S:
            return self._view_without_contact(alive, ending_since, now)
        return self._view_with_contact_again(alive, now)

    def _view_without_contact(self, alive: dict[str, int], ending_since: float, now: float) -> View | None:
        """No quorum answers this member, though it reaches the store: if all members stopped, nobody would serve."""
        membership, view = self.membership, self.membership.view
        position = sorted(alive).index(membership.me)
        if now - ending_since < constants.CONTACT_WAIVER_PATIENCE_S + position * constants.LEADER_PRECEDENCE_S:
            return None
        leader = view.leader if view.leader in alive else membership.me
        contact_timeout_s = NO_CONTACT_TIMEOUT_S if alive == view.members else membership.contact_timeout_for(alive)
        return View(leader, alive, contact_timeout_s)

    def _view_with_contact_again(self, alive: dict[str, int], now: float) -> View | None:
        """The leader renews a disputed view, and asks for contact again when all members have been alive for long."""
        membership, view, failure_detector = self.membership, self.membership.view, self.membership.failure_detector
        if view.leader != membership.me or alive != view.members:
            return None
        contact_timeout_s = membership.contact_timeout_for(alive)
        disputed_since, all_alive_since = failure_detector.disputed_since, failure_detector.all_alive_since
        is_disputed = disputed_since is not None and now - disputed_since >= constants.DISPUTED_FAILURE_S
        resumes = (
            not view.contact_timeout_s
            and contact_timeout_s > 0
            and all_alive_since is not None
            and now - all_alive_since >= constants.CONTACT_RESUME_S
        )
        return View(membership.me, alive, contact_timeout_s) if is_disputed or resumes else None
