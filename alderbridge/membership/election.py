"""Decides which view this process should propose next: its members, its leader and its contact timeout.

Each member decides on its own, from its replica of the store. The view is written by compare-and-swap, so at most one
proposal succeeds.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from alderbridge import constants
from alderbridge.membership.records import NO_CONTACT_TIMEOUT_S, View

if TYPE_CHECKING:
    from alderbridge.membership.membership import Membership


class ViewChange(NamedTuple):
    """A view to write, and the revisions of members' keys that its transaction asserts (0: the key must not exist)."""

    view: View
    revisions: dict[str, int]


class Election:
    """Decides on the next view; keeps the timers that span several calls."""

    def __init__(self, membership: Membership) -> None:
        """``membership``: the membership whose view is to be replaced."""
        self.membership = membership
        self.leaderless_since: float | None = None  # s; start of the wait for members with precedence to propose
        self.prospective_members: dict[str, int] = {}  # as of the last call; empty while they are the view's
        self.prospective_since = float("-inf")  # s; when they first differed from the view's
        self.prospective_changed_at = float("-inf")  # s; when they last changed

    def next_view(self, now: float, max_removed: int) -> ViewChange | None:
        """The change this process should try now; None: no change.

        A member is removed in two cases only. Its key is missing, so its store lease has ended; the transaction asserts
        that the key is still missing. Or a quorum has declared it failed (at most ``max_removed`` members at once);
        the transaction asserts the revision of its key and deletes it.
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
        """Whether this process has a valid store lease, and its replica shows its own key attached to that lease."""
        store_lease = self.membership.store_lease
        own = self.membership.registered.get(self.membership.me)
        return own is not None and own[0] == store_lease.lease_id and now < store_lease.valid_until

    def _failed_members(self, max_removed: int) -> list[str]:
        """Members that a quorum has declared failed and whose key still has the lease id of the view."""
        registered, members = self.membership.registered, self.membership.view.members
        failed = sorted(
            label
            for label in self.membership.failure_detector.failed_by_quorum()
            if registered.get(label, (0, 0))[0] == members[label]
        )
        return failed[:max_removed]

    def _alive_members(self, failed: list[str]) -> dict[str, int]:
        """The members of the next view: label -> lease id."""
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

    def _member_view(self, alive: dict[str, int], has_failed: bool, now: float) -> View | None:
        """A view with other members or another leader; None: no change, or not yet."""
        view = self.membership.view
        if alive == view.members and view.leader in alive:
            self.leaderless_since = None
            self.prospective_members = {}
            return None
        if not self._joining_is_complete(alive, now):
            return None
        leader = self._next_leader(alive, has_failed, now)
        return None if leader is None else View(leader, alive, self.membership.contact_timeout_for(alive))

    def _joining_is_complete(self, alive: dict[str, int], now: float) -> bool:
        """Whether to stop waiting for further joining members.

        Controllers that fail together return within a second or two. One view for all of them avoids a series of views,
        each of which invalidates the acknowledgements of the one before (three in half a second were seen). A view that
        removes a member does not wait.
        """
        if any(label not in alive for label in self.membership.view.members):
            return True
        if alive != self.prospective_members:
            self.prospective_since = self.prospective_since if self.prospective_members else now
            self.prospective_members, self.prospective_changed_at = alive, now
        return (
            now - self.prospective_changed_at >= constants.JOIN_DEBOUNCE_S
            or now - self.prospective_since >= constants.JOIN_DEBOUNCE_MAX_S
        )

    def _next_leader(self, alive: dict[str, int], has_failed: bool, now: float) -> str | None:
        """The leader of the view that this process should propose; None: it should not propose one yet.

        The leader proposes membership changes. When there is no leader, or a member has failed, any member may propose;
        they take precedence in the order of their labels, ``ELECTION_STAGGER_S`` apart.
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
        if now - self.leaderless_since < position * constants.ELECTION_STAGGER_S:
            return None
        return me if leaderless else view.leader

    def _contact_view(self, alive: dict[str, int], now: float) -> View | None:
        """A view that waives the contact requirement, restores it, or restarts failure detection; None: none is due."""
        membership = self.membership
        if membership.view.members.get(membership.me) != membership.store_lease.lease_id:
            return None
        ending_since = membership.failure_detector.contact_ending_since
        if ending_since is not None and now - membership.synced_at < constants.STORE_REACHABLE_WINDOW_S:
            return self._view_waiving_contact(alive, ending_since, now)
        return self._view_restoring_contact(alive, now)

    def _view_waiving_contact(self, alive: dict[str, int], ending_since: float, now: float) -> View | None:
        """A view that waives contact: no quorum answers this member, which still reaches the store.

        Otherwise, if all members lost contact with each other, all of them would stop.
        """
        membership, view = self.membership, self.membership.view
        position = sorted(alive).index(membership.me)
        if now - ending_since < constants.CONTACT_WAIVER_DELAY_S + position * constants.ELECTION_STAGGER_S:
            return None
        leader = view.leader if view.leader in alive else membership.me
        contact_timeout_s = NO_CONTACT_TIMEOUT_S if alive == view.members else membership.contact_timeout_for(alive)
        return View(leader, alive, contact_timeout_s)

    def _view_restoring_contact(self, alive: dict[str, int], now: float) -> View | None:
        """A view that restores contact once all members have been alive for long, or that resolves a disputed failure.

        Only the leader proposes it. A failure is disputed if some members, but no quorum, have declared it.
        """
        membership, view, failure_detector = self.membership, self.membership.view, self.membership.failure_detector
        if view.leader != membership.me or alive != view.members:
            return None
        contact_timeout_s = membership.contact_timeout_for(alive)
        disputed_since, all_alive_since = failure_detector.disputed_since, failure_detector.all_alive_since
        is_disputed = disputed_since is not None and now - disputed_since >= constants.DISPUTED_FAILURE_TIMEOUT_S
        resumes = (
            not view.contact_timeout_s
            and contact_timeout_s > 0
            and all_alive_since is not None
            and now - all_alive_since >= constants.CONTACT_RESUME_DELAY_S
        )
        return View(membership.me, alive, contact_timeout_s) if is_disputed or resumes else None
