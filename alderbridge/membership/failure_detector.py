"""Failure detector: which members of a view are alive, and which may be removed before their store lease expires.

Under a view that requires contact, a member acts only while a quorum (a majority of the view's members, itself
included) has acknowledged messages that it first sent less than the view's ``contact_timeout_s`` ago. A quorum may
remove a failed member. ``docs/design.md``, "Contact", shows why a removed member can't still act. All state belongs to
one fencing token and one process; times are in s of its steady clock.

States of another member:

* ALIVE: a frame from it has arrived recently.
* SUSPECTED: no frame for nearly ``contact_timeout_s``. This is reported to the other members; the next frame makes it
  alive again.
* FAILED: no frame for ``contact_timeout_s``, and a quorum suspects it. Final: until the view changes, its frames are
  neither accepted nor acknowledged.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Collection
from enum import Enum

from alderbridge import constants

log = logging.getLogger("membership")


class PeerState(Enum):
    """The state of another member, as this member sees it."""

    ALIVE = "alive"
    SUSPECTED = "suspected"
    FAILED = "failed"


class MonitoredPeer:
    """Another member of the view."""

    def __init__(self, label: str, acknowledged_at: float) -> None:
        """``acknowledged_at``: a time before the view was written, as no message has been acknowledged yet."""
        self.label = label
        self.state = PeerState.ALIVE
        self.last_frame_at: float | None = None  # its last frame under this token, or the first ``refresh``
        self.knows_view = False  # a frame from it has arrived under this fencing token
        self.acknowledged_at = acknowledged_at  # when the newest message it has acknowledged was first sent
        self.suspected_peers: frozenset[str] = frozenset()  # members that it last reported as suspected

    def mark_alive(self, now: float) -> None:
        """A frame from it has arrived."""
        self.last_frame_at, self.knows_view = now, True
        if self.state is PeerState.SUSPECTED:
            self.state = PeerState.ALIVE

    def suspect(self) -> None:
        """No frame from it has arrived for nearly the contact timeout."""
        self.state = PeerState.SUSPECTED
        log.info("peer=%s state=suspected", self.label)

    def mark_failed(self) -> None:
        """No frame from it has arrived here for the contact timeout, and a quorum suspects it."""
        self.state = PeerState.FAILED
        log.info("peer=%s state=failed cause=a quorum has not heard it", self.label)


def _holds_since(condition: bool, since: float | None, now: float) -> float | None:
    """The start of the current period in which a condition holds, given its earlier value; None: it does not hold."""
    if not condition:
        return None
    return now if since is None else since


class FailureDetector:
    """Tracks the other members of the view, and until when this member itself has contact with a quorum."""

    def __init__(self, me: str) -> None:
        """``me``: the label of this process, which is in no view yet."""
        self.me = me
        self.peers: dict[str, MonitoredPeer] = {}
        self.failed_by: dict[str, set[str]] = {}  # member -> members that have declared it failed
        self.excluded: set[str] = set()  # removed as failed, with no frame under a newer view yet
        # s; shortest silence before a peer that may not have this view is declared failed: it may act under the older
        self.older_view_grace_s = 0.0
        self.enter_view((), 0.0, 0.0)

    def enter_view(self, members: Collection[str], contact_timeout_s: float, written_after: float) -> None:
        """Start over under a view that was written later than ``written_after``.

        ``contact_timeout_s`` 0: the view does not require contact. No member declares this one failed sooner than
        ``contact_timeout_s`` after the view was written, so until then it needs no acknowledgement.
        """
        self.excluded = (self.excluded | self.failed_by_quorum()) - {self.me, *members}
        self.contact_timeout_s, self.quorum_size = contact_timeout_s, len(members) // 2 + 1
        self.peers = {label: MonitoredPeer(label, written_after) for label in members if label != self.me}
        self.failed_by = {label: set() for label in members}
        self.contact_lost_at: float | None = None  # s; when this member was found to have lost contact
        self.contact_ending_since: float | None = None  # s; when it was found to have lost contact, or to be about to
        self.disputed_since: float | None = None  # s; since when a member is failed to some, but not to a quorum
        self.all_alive_since: float | None = None  # s; since when frames from all members arrive
        self._compute_contact_until()

    def _compute_contact_until(self) -> None:
        """Update ``contact_until``, the time until which this member has contact."""
        self.contact_until = math.inf
        if self.contact_timeout_s and self.quorum_size > 1:
            acknowledgement_times = sorted((peer.acknowledged_at for peer in self.peers.values()), reverse=True)
            self.contact_until = (
                acknowledgement_times[self.quorum_size - 2]
                + self.contact_timeout_s * (1 - constants.MAX_CLOCK_DRIFT)
                - constants.STORE_LEASE_MARGIN_S
            )

    def accepts(self, label: str) -> bool:
        """Whether frames from that member are accepted under this fencing token."""
        peer = self.peers.get(label)
        return peer is None or peer.state is not PeerState.FAILED

    def record_frame(self, label: str, acknowledged_at: float, now: float) -> None:
        """Record a frame from that member, sent under its lease id in the view and this fencing token.

        ``acknowledged_at``: when the newest message that it has acknowledged was *first sent*. The arrival time of the
        acknowledgement must not be used: the peer may have declared this member failed after acknowledging.
        """
        peer = self.peers.get(label)
        if peer is not None and peer.state is not PeerState.FAILED:
            peer.mark_alive(now)
            if acknowledged_at > peer.acknowledged_at:
                peer.acknowledged_at = acknowledged_at
                self._compute_contact_until()

    def record_peer_report(self, label: str, suspected: Collection[str], failed: Collection[str]) -> None:
        """Record which members that member reports as suspected and as failed."""
        if label in self.peers:
            self.peers[label].suspected_peers = frozenset(suspected)
            for other in failed:
                if other in self.failed_by:
                    self.failed_by[other].add(label)

    def refresh(self, now: float) -> None:
        """Update the state of each peer, and whether this member itself has contact, as of ``now``."""
        for peer in self.peers.values():
            self._refresh_peer(peer, now)
        self._refresh_contact(now)
        disputed = any(0 < len(by) < self.quorum_size for by in self.failed_by.values())
        self.disputed_since = _holds_since(disputed, self.disputed_since, now)
        all_alive = all(
            peer.last_frame_at is not None and now - peer.last_frame_at < constants.MESH_SILENCE_TIMEOUT_S
            for peer in self.peers.values()
        )
        self.all_alive_since = _holds_since(all_alive, self.all_alive_since, now)

    def _refresh_peer(self, peer: MonitoredPeer, now: float) -> None:
        if peer.last_frame_at is None:
            peer.last_frame_at = now  # the view has arrived by now
        silence_s = now - peer.last_frame_at
        if not self.contact_timeout_s:
            return
        if peer.state is PeerState.ALIVE and silence_s > self.contact_timeout_s - constants.SUSPICION_LEAD_S:
            peer.suspect()
        # A peer from which no frame has arrived may not know this view, and may act under the older one.
        failure_timeout_s = (
            self.contact_timeout_s if peer.knows_view else max(self.contact_timeout_s, self.older_view_grace_s)
        )
        if (
            peer.state is PeerState.SUSPECTED
            and silence_s > failure_timeout_s * (1 + constants.MAX_CLOCK_DRIFT)
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
        self.contact_lost_at = _holds_since(is_lost, self.contact_lost_at, now)
        is_ending = now >= self.contact_until - constants.CONTACT_WAIVER_LEAD_S
        self.contact_ending_since = _holds_since(is_ending, self.contact_ending_since, now)

    def _count_suspecting(self, label: str) -> int:
        """The number of members that suspect that member, this one included.

        Reports of members that are themselves suspected are out of date and do not count. So a member that was merely
        paused, and suspects all others, declares none of them failed.
        """
        return 1 + sum(peer.state is PeerState.ALIVE and label in peer.suspected_peers for peer in self.peers.values())

    def is_isolated(self, now: float) -> bool:
        """Whether recent frames came from less than a quorum, this member included: the others may serve without it."""
        reachable = sum(
            peer.last_frame_at is None or now - peer.last_frame_at < constants.CONTACT_TIMEOUT_S
            for peer in self.peers.values()
        )
        return 1 + reachable < self.quorum_size

    def is_alive(self, label: str) -> bool:
        """Whether that member is alive; true for this member and for labels that are not in the view."""
        peer = self.peers.get(label)
        return peer is None or peer.state is PeerState.ALIVE

    def unreachable_peers(self) -> list[str]:
        """Members that this one suspects or has declared failed, to be reported to the others."""
        return [label for label, peer in self.peers.items() if peer.state is not PeerState.ALIVE]

    def failed_peers(self) -> list[str]:
        """Members that this one has declared failed, to be reported to the others."""
        return [label for label, peer in self.peers.items() if peer.state is PeerState.FAILED]

    def failed_by_quorum(self) -> set[str]:
        """Members that a quorum has declared failed: they can no longer act under this fencing token."""
        return {label for label, by in self.failed_by.items() if len(by) >= self.quorum_size}
