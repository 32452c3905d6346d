"""Who of a view's members is in touch with whom, and who may be removed before its hold has ended.

Under a view that asks for contact, a member acts only while a majority of the members, itself counted, has
acknowledged what it first sent less than the view's ``contact_s`` ago; one that a majority has given up is removed.
Why no member is both: ``docs/design.md``, "Contact". Everything here belongs to one mandate and one process; times
are in s of its steady clock.

States of another member:

* HEARD: a frame of it has arrived lately.
* SILENT: none for nearly ``contact_s``. The others are told; it may be heard again.
* GIVEN_UP: none for ``contact_s``, and a majority is known to be without. Final: until the view changes nothing of
  it is taken any more, nor acknowledged.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Collection
from enum import Enum

from . import constants as c

log = logging.getLogger("contact")


class Touch(Enum):
    HEARD = "heard"
    SILENT = "silent"
    GIVEN_UP = "given up"


class Peer:
    """Another member of the view."""

    def __init__(self, label: str, sure_at: float) -> None:
        self.label = label
        self.touch = Touch.HEARD
        self.heard_at: float | None = None  # its last frame under this mandate; None: the view has just arrived
        self.knows = False  # the view: a frame of it has arrived under this mandate
        self.sure_at = sure_at  # when the newest message that it has acknowledged was first sent
        self.missing: frozenset[str] = frozenset()  # whom it last called silent

    # -- changes of state, one method each ---------------------------------

    def hear(self, now: float) -> None:
        self.heard_at, self.knows = now, True
        if self.touch is Touch.SILENT:
            self.touch = Touch.HEARD

    def fall_silent(self) -> None:
        self.touch = Touch.SILENT
        log.info("peer=%s state=silent", self.label)

    def give_up(self) -> None:
        self.touch = Touch.GIVEN_UP
        log.info("peer=%s state=given up cause=a majority has not heard it", self.label)


class Contact:
    def __init__(self, me: str) -> None:
        self.me = me
        self.peers: dict[str, Peer] = {}
        self.given_up: dict[str, set[str]] = {}  # member -> those known to have given it up
        self.avoided: set[str] = set()  # removed because given up, and no frame under a newer view since
        self.unheard_s = 0.0  # who has not been heard under this mandate is not given up sooner: a loose view
        self.enter((), 0.0, 0.0)

    def enter(self, members: Collection[str], contact_s: float, began_after: float) -> None:
        """A view that was written later than ``began_after``; ``contact_s`` 0: it asks for no contact.

        Nobody gives this member up sooner than ``contact_s`` after the view was written, so until then it needs no
        acknowledgement.
        """
        self.avoided = (self.avoided | self.gone()) - {self.me, *members}
        self.contact_s, self.majority = contact_s, len(members) // 2 + 1
        self.peers = {label: Peer(label, began_after) for label in members if label != self.me}
        self.given_up = {label: set() for label in members}
        self.lost_at: float | None = None  # since when this member is seen to be without contact
        self.near_at: float | None = None  # since when it is, or is about to be
        self.stuck_at: float | None = None  # since when someone is given up, but not by a majority
        self.whole_at: float | None = None  # since when all members are heard
        self._reckon()

    def _reckon(self) -> None:
        """Until when this member has contact."""
        self.until = math.inf
        if self.contact_s and self.majority > 1:
            sure = sorted((peer.sure_at for peer in self.peers.values()), reverse=True)
            self.until = sure[self.majority - 2] + self.contact_s * (1 - c.CLOCK_DRIFT) - c.HOLD_MARGIN_S

    # -- what arrives --------------------------------------------------------

    def takes(self, label: str) -> bool:
        """Whether frames of that member are taken under this mandate."""
        peer = self.peers.get(label)
        return peer is None or peer.touch is not Touch.GIVEN_UP

    def hear(self, label: str, acknowledged: float, now: float) -> None:
        """A frame of that very incarnation under this mandate.

        ``acknowledged``: when the newest message that it has acknowledged was *first sent*. The time of the
        acknowledgement would say nothing: it may have been held back since before the peer gave this member up.
        """
        peer = self.peers.get(label)
        if peer is not None and peer.touch is not Touch.GIVEN_UP:
            peer.hear(now)
            if acknowledged > peer.sure_at:
                peer.sure_at = acknowledged
                self._reckon()

    def told(self, label: str, silent: Collection[str], given_up: Collection[str]) -> None:
        """What that member, heard just now, says of the others."""
        if label in self.peers:
            self.peers[label].missing = frozenset(silent)
            for other in given_up:
                if other in self.given_up:
                    self.given_up[other].add(label)

    # -- time ------------------------------------------------------------------

    def look(self, now: float) -> None:
        """Who has fallen silent, who is given up, and whether this member itself is out of contact."""
        for peer in self.peers.values():
            if peer.heard_at is None:
                peer.heard_at = now  # the view arrived no later than now
            quiet = now - peer.heard_at
            if not self.contact_s:
                continue
            if peer.touch is Touch.HEARD and quiet > self.contact_s - c.CONTACT_NOTICE_S:
                peer.fall_silent()
            # Who was never heard may not know this view, and act under the one before.
            bound_s = self.contact_s if peer.knows else max(self.contact_s, self.unheard_s)
            if (
                peer.touch is Touch.SILENT
                and quiet > bound_s * (1 + c.CLOCK_DRIFT)
                and self._missed_by(peer.label) >= self.majority
            ):
                peer.give_up()
                self.given_up[peer.label].add(self.me)
        lost = now >= self.until
        if lost and self.lost_at is None:
            log.info("contact state=lost cause=no majority has acknowledged for %.1f s", self.contact_s)
        elif self.lost_at is not None and not lost:
            log.info("contact state=held after=%.1f s", now - self.lost_at)
        near = now >= self.until - c.CONTACT_WAIVE_S
        stuck = any(0 < len(by) < self.majority for by in self.given_up.values())
        whole = all(now - peer.heard_at < c.MESH_SILENCE_S for peer in self.peers.values())
        self.lost_at = (now if self.lost_at is None else self.lost_at) if lost else None
        self.near_at = (now if self.near_at is None else self.near_at) if near else None
        self.stuck_at = (now if self.stuck_at is None else self.stuck_at) if stuck else None
        self.whole_at = (now if self.whole_at is None else self.whole_at) if whole else None

    def _missed_by(self, label: str) -> int:
        """How many are known to miss that member, this one counted; what a silent one said is out of date.

        One that only stood still itself hears nobody, but no majority agrees with it: it binds itself to nothing.
        """
        return 1 + sum(peer.touch is Touch.HEARD and label in peer.missing for peer in self.peers.values())

    def alone(self, now: float) -> bool:
        """Whether no majority, this member counted, was heard lately: the others may serve everybody without it."""
        heard = sum(peer.heard_at is None or now - peer.heard_at < c.CONTACT_TTL_S for peer in self.peers.values())
        return 1 + heard < self.majority

    def hears(self, label: str) -> bool:
        """Whether that member has been heard lately; one that is no other member of the view counts as heard."""
        peer = self.peers.get(label)
        return peer is None or peer.touch is Touch.HEARD

    def missing(self) -> list[str]:
        """Members that are not heard, given up or not; for the others."""
        return [label for label, peer in self.peers.items() if peer.touch is not Touch.HEARD]

    def dropped(self) -> list[str]:
        """Members that this one has given up; for the others."""
        return [label for label, peer in self.peers.items() if peer.touch is Touch.GIVEN_UP]

    def gone(self) -> set[str]:
        """Members that a majority has given up: they act no more under this mandate."""
        return {label for label, by in self.given_up.items() if len(by) >= self.majority}
