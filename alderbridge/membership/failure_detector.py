"""Which of a view's members are alive, and which may be removed before their store lease has expired.

Under a view that asks for contact, a member acts only while a quorum of the members, itself counted, has acknowledged
what it first sent less than the view's ``contact_timeout_s`` ago; a quorum may remove a failed one. Why no member is
both: ``docs/design.md``, "Contact". A quorum is a majority of the view's members. Everything here belongs to one
fencing token and one process; times are in s of its steady clock.

States of another member:

* ALIVE: a frame of it has arrived lately.
* SUSPECTED: none for nearly ``contact_timeout_s``. The others are told; a frame makes it alive again.
* FAILED: none for ``contact_timeout_s``, and a quorum has none either. Final: until the view changes none of its
  frames is accepted, nor acknowledged.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Collection
from enum import Enum

from alderbridge import constants

log = logging.getLogger("membership")


class PeerState(Enum):
    """What this member holds of another one."""

    ALIVE = "alive"
    SUSPECTED = "suspected"
    FAILED = "failed"


class MonitoredPeer:
    """Another member of the view."""

    def __init__(self, label: str, acknowledged_at: float) -> None:
        """``acknowledged_at``: no message was acknowledged yet, so a time before the view was written."""
        self.label = label
        self.state = PeerState.ALIVE
        self.last_frame_at: float | None = None  # its last frame under this token; None: the view has just arrived
        self.knows_view = False  # a frame of it has arrived under this fencing token
        self.acknowledged_at = acknowledged_at  # when the newest message that it has acknowledged was first sent
        self.suspected_peers: frozenset[str] = frozenset()  # whom it last reported so

    # -- changes of state, one method each ---------------------------------

    def mark_alive(self, now: float) -> None:
        """A frame of it has arrived."""
        self.last_frame_at, self.knows_view = now, True
        if self.state is PeerState.SUSPECTED:
            self.state = PeerState.ALIVE

    def suspect(self) -> None:
        """No frame of it has arrived for nearly the contact timeout."""
        self.state = PeerState.SUSPECTED
        log.info("peer=%s state=suspected", self.label)

    def mark_failed(self) -> None:
        """No frame of it has arrived for the contact timeout, here or at a quorum."""
        self.state = PeerState.FAILED
        log.info("peer=%s state=failed cause=a quorum has not heard it", self.label)


def _since(condition: bool, since: float | None, now: float) -> float | None:
    """Since when a condition holds, given since when it did before; None: it does not hold."""
    if not condition:
        return None
    return now if since is None else since


class FailureDetector:
    """The other members of the view as seen by this one, and until when this one has contact itself."""

    def __init__(self, me: str) -> None:
        """``me``: the label of this member, which is in no view yet."""
        self.me = me
        self.peers: dict[str, MonitoredPeer] = {}
        self.failed_by: dict[str, set[str]] = {}  # member -> those known to have declared it failed
        self.excluded: set[str] = set()  # removed as failed, and no frame under a newer view since
        # A peer that may not know this view is not declared failed sooner: it may act under the view before.
        self.older_view_grace_s = 0.0
        self.enter((), 0.0, 0.0)

    def enter(self, members: Collection[str], contact_timeout_s: float, began_after: float) -> None:
        """A view that was written later than ``began_after``; ``contact_timeout_s`` 0: it asks for no contact.

        Nobody declares this member failed sooner than ``contact_timeout_s`` after the view was written: until then
        it needs no acknowledgement.
        """
        self.excluded = (self.excluded | self.failed_by_quorum()) - {self.me, *members}
        self.contact_timeout_s, self.quorum_size = contact_timeout_s, len(members) // 2 + 1
        self.peers = {label: MonitoredPeer(label, began_after) for label in members if label != self.me}
        self.failed_by = {label: set() for label in members}
        self.contact_lost_at: float | None = None  # since when this member is known to be without contact
        self.contact_ending_since: float | None = None  # since when it is, or is about to be
        self.disputed_since: float | None = None  # since when a member is failed to some, but not to a quorum
        self.all_alive_since: float | None = None  # since when frames of all members arrive
        self._compute_contact_until()

    def _compute_contact_until(self) -> None:
        """Until when this member has contact."""
        self.contact_until = math.inf
        if self.contact_timeout_s and self.quorum_size > 1:
            newest_first = sorted((peer.acknowledged_at for peer in self.peers.values()), reverse=True)
            self.contact_until = (
                newest_first[self.quorum_size - 2]
                + self.contact_timeout_s * (1 - constants.CLOCK_DRIFT)
                - constants.STORE_LEASE_MARGIN_S
            )

    # -- what arrives --------------------------------------------------------

    def accepts(self, label: str) -> bool:
        """Whether frames of that member are accepted under this fencing token."""
        peer = self.peers.get(label)
        return peer is None or peer.state is not PeerState.FAILED

    def record_frame(self, label: str, acknowledged_at: float, now: float) -> None:
        """A frame of that member, under its lease id of the view and this fencing token.

        ``acknowledged_at``: when the newest message that it has acknowledged was *first sent*. The time at which the
        acknowledgement arrives proves nothing: it may be older than the peer's decision that this member has failed.
        """
        peer = self.peers.get(label)
        if peer is not None and peer.state is not PeerState.FAILED:
            peer.mark_alive(now)
            if acknowledged_at > peer.acknowledged_at:
                peer.acknowledged_at = acknowledged_at
                self._compute_contact_until()

    def record_peer_report(self, label: str, suspected: Collection[str], failed: Collection[str]) -> None:
        """Whom that member, in a frame that has just arrived, reports as suspected and as failed."""
        if label in self.peers:
            self.peers[label].suspected_peers = frozenset(suspected)
            for other in failed:
                if other in self.failed_by:
                    self.failed_by[other].add(label)

    # -- time ------------------------------------------------------------------

    def refresh(self, now: float) -> None:
        """Update the state of each peer, and whether this member itself has contact."""
        for peer in self.peers.values():
            self._refresh_peer(peer, now)
        self._refresh_contact(now)
        disputed = any(0 < len(by) < self.quorum_size for by in self.failed_by.values())
        self.disputed_since = _since(disputed, self.disputed_since, now)
        all_alive = all(
            peer.last_frame_at is not None and now - peer.last_frame_at < constants.MESH_SILENCE_S
            for peer in self.peers.values()
        )
        self.all_alive_since = _since(all_alive, self.all_alive_since, now)

    def _refresh_peer(self, peer: MonitoredPeer, now: float) -> None:
        if peer.last_frame_at is None:
            peer.last_frame_at = now  # the view arrived no later than now
        silent_s = now - peer.last_frame_at
        if not self.contact_timeout_s:
            return
        if peer.state is PeerState.ALIVE and silent_s > self.contact_timeout_s - constants.SUSPICION_NOTICE_S:
            peer.suspect()
        # A peer of which no frame has arrived may not know this view, and act under the one before.
        bound_s = self.contact_timeout_s if peer.knows_view else max(self.contact_timeout_s, self.older_view_grace_s)
        if (
            peer.state is PeerState.SUSPECTED
            and silent_s > bound_s * (1 + constants.CLOCK_DRIFT)
            and self._count_suspecting(peer.label) >= self.quorum_size
        ):
            peer.mark_failed()
            self.failed_by[peer.label].add(self.me)

    def _refresh_contact(self, now: float) -> None:
        is_lost = now >= self.contact_until
        if is_lost and self.contact_lost_at is None:
            log.info("contact state=lost cause=no majority has acknowledged for %.1f s", self.contact_timeout_s)
        elif self.contact_lost_at is not None and not is_lost:
            log.info("contact state=restored after=%.1f s", now - self.contact_lost_at)
        self.contact_lost_at = _since(is_lost, self.contact_lost_at, now)
        is_ending = now >= self.contact_until - constants.CONTACT_WAIVER_AHEAD_S
        self.contact_ending_since = _since(is_ending, self.contact_ending_since, now)

    def _count_suspecting(self, label: str) -> int:
        """How many are known to suspect that member, this one counted; what a suspected one reported is out of date.

        A member that merely paused suspects everybody, but no quorum agrees with it: it decides nothing.
        """
        return 1 + sum(peer.state is PeerState.ALIVE and label in peer.suspected_peers for peer in self.peers.values())

    # -- what follows from it --------------------------------------------------

    def is_isolated(self, now: float) -> bool:
        """Whether no quorum, this member counted, sent frames lately: the others may serve everybody without it."""
        reachable = sum(
            peer.last_frame_at is None or now - peer.last_frame_at < constants.CONTACT_TIMEOUT_S
            for peer in self.peers.values()
        )
        return 1 + reachable < self.quorum_size

    def is_alive(self, label: str) -> bool:
        """Whether that member is alive; one that is no other member of the view counts as alive."""
        peer = self.peers.get(label)
        return peer is None or peer.state is PeerState.ALIVE

    def unreachable_peers(self) -> list[str]:
        """Members that are suspected or failed to this one; told to the others."""
        return [label for label, peer in self.peers.items() if peer.state is not PeerState.ALIVE]

    def failed_peers(self) -> list[str]:
        """Members that have failed to this one; told to the others."""
        return [label for label, peer in self.peers.items() if peer.state is PeerState.FAILED]

    def failed_by_quorum(self) -> set[str]:
        """Members that a quorum has declared failed: they act no more under this fencing token."""
        return {label for label, by in self.failed_by.items() if len(by) >= self.quorum_size}
