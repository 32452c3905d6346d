"""Who of a view's members is in touch with whom, and who may be removed before its hold has ended.

Under a view that asks for contact, a member acts only while a majority of the members, itself counted, has
acknowledged what it first sent less than the view's ``contact_timeout_s`` ago; a majority may remove a failed one.
Why no member is both: ``docs/design.md``, "Contact". Everything here belongs to one mandate and one process; times
are in s of its steady clock.

States of another member:

* ALIVE: a frame of it has arrived lately.
* SUSPECTED: none for nearly ``contact_timeout_s``. The others are told; it may be heard again.
* FAILED: none for ``contact_timeout_s``, and a majority has none either. Final: until the view changes nothing of
  it is taken any more, nor acknowledged.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Collection
from enum import Enum

from alderbridge import constants

log = logging.getLogger("membership")


class PeerState(Enum):
    ALIVE = "alive"
    SUSPECTED = "suspected"
    FAILED = "failed"


class MonitoredPeer:
    """Another member of the view."""

    def __init__(self, label: str, acknowledged_at: float) -> None:
        self.label = label
        self.state = PeerState.ALIVE
        self.last_frame_at: float | None = None  # its last frame under this mandate; None: the view has just arrived
        self.knows_view = False  # the view: a frame of it has arrived under this mandate
        self.acknowledged_at = acknowledged_at  # when the newest message that it has acknowledged was first sent
        self.suspected_peers: frozenset[str] = frozenset()  # whom it last called silent

    # -- changes of state, one method each ---------------------------------

    def mark_alive(self, now: float) -> None:
        self.last_frame_at, self.knows_view = now, True
        if self.state is PeerState.SUSPECTED:
            self.state = PeerState.ALIVE

    def suspect(self) -> None:
        self.state = PeerState.SUSPECTED
        log.info("peer=%s state=suspected", self.label)

    def mark_failed(self) -> None:
        self.state = PeerState.FAILED
        log.info("peer=%s state=failed cause=a quorum has not heard it", self.label)


class FailureDetector:
    def __init__(self, me: str) -> None:
        self.me = me
        self.peers: dict[str, MonitoredPeer] = {}
        self.failed_by: dict[str, set[str]] = {}  # member -> those known to have given it up
        self.excluded: set[str] = set()  # removed because given up, and no frame under a newer view since
        self.unheard_grace_s = 0.0  # who has not been heard under this mandate is not given up sooner: a loose view
        self.enter((), 0.0, 0.0)

    def enter(self, members: Collection[str], contact_timeout_s: float, began_after: float) -> None:
        """A view that was written later than ``began_after``; ``contact_timeout_s`` 0: it asks for no contact.

        Nobody declares this member failed sooner than ``contact_timeout_s`` after the view was written: until then
        it needs no acknowledgement.
        """
        self.excluded = (self.excluded | self.failed_by_quorum()) - {self.me, *members}
        self.contact_timeout_s, self.majority = contact_timeout_s, len(members) // 2 + 1
        self.peers = {label: MonitoredPeer(label, began_after) for label in members if label != self.me}
        self.failed_by = {label: set() for label in members}
        self.contact_lost_at: float | None = None  # since when this member is seen to be without contact
        self.contact_ending_since: float | None = None  # since when it is, or is about to be
        self.disputed_since: float | None = None  # since when someone is given up, but not by a majority
        self.all_alive_since: float | None = None  # since when all members are heard
        self._compute_contact_until()

    def _compute_contact_until(self) -> None:
        """Until when this member has contact."""
        self.contact_until = math.inf
        if self.contact_timeout_s and self.majority > 1:
            sure = sorted((peer.acknowledged_at for peer in self.peers.values()), reverse=True)
            self.contact_until = (
                sure[self.majority - 2]
                + self.contact_timeout_s * (1 - constants.CLOCK_DRIFT)
                - constants.STORE_LEASE_MARGIN_S
            )

    # -- what arrives --------------------------------------------------------

    def accepts(self, label: str) -> bool:
        """Whether frames of that member are taken under this mandate."""
        peer = self.peers.get(label)
        return peer is None or peer.state is not PeerState.FAILED

    def record_frame(self, label: str, acknowledged: float, now: float) -> None:
        """A frame of that very incarnation under this mandate.

        ``acknowledged``: when the newest message that it has acknowledged was *first sent*. The time of the
        acknowledgement would say nothing: it may have been held back since before the peer gave this member up.
        """
        peer = self.peers.get(label)
        if peer is not None and peer.state is not PeerState.FAILED:
            peer.mark_alive(now)
            if acknowledged > peer.acknowledged_at:
                peer.acknowledged_at = acknowledged
                self._compute_contact_until()

    def record_peer_report(self, label: str, silent: Collection[str], given_up: Collection[str]) -> None:
        """What that member, heard just now, says of the others."""
        if label in self.peers:
            self.peers[label].suspected_peers = frozenset(silent)
            for other in given_up:
                if other in self.failed_by:
                    self.failed_by[other].add(label)

    # -- time ------------------------------------------------------------------

    def refresh(self, now: float) -> None:
        """Who has fallen silent, who is given up, and whether this member itself is out of contact."""
        for peer in self.peers.values():
            if peer.last_frame_at is None:
                peer.last_frame_at = now  # the view arrived no later than now
            is_quiet = now - peer.last_frame_at
            if not self.contact_timeout_s:
                continue
            if peer.state is PeerState.ALIVE and is_quiet > self.contact_timeout_s - constants.SUSPICION_NOTICE_S:
                peer.suspect()
            # Who was never heard may not know this view, and act under the one before.
            bound_s = self.contact_timeout_s if peer.knows_view else max(self.contact_timeout_s, self.unheard_grace_s)
            if (
                peer.state is PeerState.SUSPECTED
                and is_quiet > bound_s * (1 + constants.CLOCK_DRIFT)
                and self._missed_by(peer.label) >= self.majority
            ):
                peer.mark_failed()
                self.failed_by[peer.label].add(self.me)
        lost = now >= self.contact_until
        if lost and self.contact_lost_at is None:
            log.info("contact state=lost cause=no majority has acknowledged for %.1f s", self.contact_timeout_s)
        elif self.contact_lost_at is not None and not lost:
            log.info("contact state=restored after=%.1f s", now - self.contact_lost_at)
        near = now >= self.contact_until - constants.CONTACT_WAIVER_AHEAD_S
        stuck = any(0 < len(by) < self.majority for by in self.failed_by.values())
        whole = all(now - peer.last_frame_at < constants.MESH_SILENCE_S for peer in self.peers.values())
        self.contact_lost_at = (now if self.contact_lost_at is None else self.contact_lost_at) if lost else None
        self.contact_ending_since = (
            (now if self.contact_ending_since is None else self.contact_ending_since) if near else None
        )
        self.disputed_since = (now if self.disputed_since is None else self.disputed_since) if stuck else None
        self.all_alive_since = (now if self.all_alive_since is None else self.all_alive_since) if whole else None

    def _missed_by(self, label: str) -> int:
        """How many are known to miss that member, this one counted; what a silent one said is out of date.

        One that only stood still itself hears nobody, but no majority agrees with it: it binds itself to nothing.
        """
        return 1 + sum(peer.state is PeerState.ALIVE and label in peer.suspected_peers for peer in self.peers.values())

    def is_isolated(self, now: float) -> bool:
        """Whether no majority, this member counted, was heard lately: the others may serve everybody without it."""
        heard = sum(
            peer.last_frame_at is None or now - peer.last_frame_at < constants.CONTACT_TIMEOUT_S
            for peer in self.peers.values()
        )
        return 1 + heard < self.majority

    def is_alive(self, label: str) -> bool:
        """Whether that member has been heard lately; one that is no other member of the view counts as heard."""
        peer = self.peers.get(label)
        return peer is None or peer.state is PeerState.ALIVE

    def unreachable_peers(self) -> list[str]:
        """Members that are not heard, given up or not; for the others."""
        return [label for label, peer in self.peers.items() if peer.state is not PeerState.ALIVE]

    def failed_peers(self) -> list[str]:
        """Members that this one has given up; for the others."""
        return [label for label, peer in self.peers.items() if peer.state is PeerState.FAILED]

    def failed_by_quorum(self) -> set[str]:
        """Members that a majority has given up: they act no more under this mandate."""
        return {label for label, by in self.failed_by.items() if len(by) >= self.majority}
