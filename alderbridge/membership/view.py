"""Membership and mandate: one record, changed only by compare-and-set."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from enum import Enum

import msgspec

from alderbridge import constants
from alderbridge.membership.failure_detector import FailureDetector


class View(msgspec.Struct, frozen=True, omit_defaults=True):
    """Who leads and who takes part; the record's stamp is the mandate."""

    leader: str
    members: dict[str, int]  # label -> incarnation (the permit of its hold)
    contact_timeout_s: float = msgspec.field(
        name="contact_s", default=0.0
    )  # a member without contact for this long does not act, and may be removed; 0: no such rule
    quorum_may_not_overlap: bool = msgspec.field(
        name="loose", default=False
    )  # who does not know this view may act under an older one, which contact does not bind so


class MemberRecord(msgspec.Struct, frozen=True):
    """A member's own key, attached to its hold."""

    lease_id: int = msgspec.field(name="permit")
    protocol_version: int = msgspec.field(
        name="generation", default=1
    )  # of the program; the first one did not write it


NO_VIEW = View("", {})


def rendezvous_owner(key: str, labels: Iterable[str]) -> str:
    """Rendezvous hashing: few keys move when the labels change."""
    return max(labels, key=lambda label: hashlib.blake2b(f"{label} {key}".encode(), digest_size=8).digest())


class MemberStatus(Enum):
    """What this process may do."""

    OUTSIDE = "outside"  # not in the view
    MEMBER = "member"  # in the view, hold valid
    EXPIRED = "expired"  # in the view, hold not provably valid


class StoreLease:
    """This process's hold, counted from when the last good renewal was sent."""

    def __init__(self, ttl_s: float) -> None:
        self.ttl_s = ttl_s
        self.lease_id = 0
        self.requested_at = float("-inf")  # this permit was given later than this
        self.key_attached_at = float("inf")  # and the label's key attached to it no later than this
        self.valid_until = float("-inf")

    def record_renewal(self, lease_id: int, sent_at: float, key_attached_at: float = float("inf")) -> None:
        if lease_id != self.lease_id:
            self.requested_at, self.key_attached_at = sent_at, key_attached_at
        self.lease_id = lease_id
        self.valid_until = sent_at + self.ttl_s * (1 - constants.CLOCK_DRIFT) - constants.STORE_LEASE_MARGIN_S

    def mark_expired(self) -> None:
        self.lease_id = 0
        self.valid_until = float("-inf")


class Membership:
    """The newest view this process knows, and its own part in it."""

    def __init__(self, me: str, ttl_s: float, older_ttl_s: float | None = None) -> None:
        """``older_ttl_s``: the ttl that versions before ``RECOVERY`` count with, in s; None: the same."""
        self.me = me
        self.store_lease = StoreLease(ttl_s)
        # An older member takes the view for settled after its own, shorter ttl: while one takes part, or may,
        # nobody acts for longer than that.
        self.older_version_margin_s = max(0.0, ttl_s - (ttl_s if older_ttl_s is None else older_ttl_s))
        self.is_uniform = False  # all members run ``RECOVERY`` or newer
        self.view = NO_VIEW
        self.fencing_token = 0
        self.registered: dict[str, tuple[int, int]] = {}  # label -> incarnation, stamp
        self.protocol_versions: dict[str, int] = {}  # label -> generation of the program it runs
        self.leaderless_since: float | None = None
        self.failure_detector = FailureDetector(me)
        self.synced_at = self.previous_synced_at = float("-inf")  # when the last answers of the store were asked for
        self.fresh_until = float("-inf")
        self.job_owners: dict[str, str] = {}  # under this view; hashing anew costs a good part of what a report does
        self.machine_owners: dict[str, str] = {}
        self.joining: dict[str, int] = {}  # members to be, as they were at the last look
        self.joining_since = self.joining_changed_at = float("-inf")  # since when others than the view's, and these

    def record_sync(self, sent_at: float) -> None:
        """All changes of the store up to an answer asked for at ``sent_at`` are known.

        A member acts only on a view that is fresh: so when the ttl has passed since
        a view began, each member acts under it or not at all.
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
        # The answer before the one that brings it did not have it, and it was written after the permit in it was given.
        mine = view.members.get(self.me) == self.store_lease.lease_id
        self.failure_detector.enter(
            view.members,
            view.contact_timeout_s,
            max(self.previous_synced_at, self.store_lease.requested_at if mine else float("-inf")),
        )
        self.failure_detector.unheard_grace_s = (
            self.store_lease.ttl_s + constants.PROOF_MARGIN_S if view.quorum_may_not_overlap else 0.0
        )
        self.job_owners, self.machine_owners = {}, {}
        self.is_uniform = self.all_support(constants.VERSION_WITH_CARRY_OVER)
        return True

    def observe_member(self, label: str, member: MemberRecord | None, revision: int) -> None:
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
        """Whether a majority has removed this process: its key is gone though its hold is not. It enters anew."""
        return (
            self.store_lease.lease_id > 0
            and self.me not in self.registered
            and self.synced_at >= self.store_lease.key_attached_at
        )

    def status(self, now: float) -> MemberStatus:
        if not self.store_lease.lease_id or self.view.members.get(self.me) != self.store_lease.lease_id:
            return MemberStatus.OUTSIDE
        until = min(self.store_lease.valid_until, self.fresh_until) - (
            0.0 if self.is_uniform else self.older_version_margin_s
        )
        until = min(until, self.failure_detector.contact_until)
        return MemberStatus.MEMBER if now < until else MemberStatus.EXPIRED

    def may_act(self, now: float) -> bool:
        return self.status(now) is MemberStatus.MEMBER

    def is_leader(self, now: float) -> bool:
        return self.view.leader == self.me and self.may_act(now)

    def job_owner(self, label: str) -> str:
        """Who serves the jobs that were accepted under this label."""
        home = self.job_owners.get(label)
        if home is None:
            members = self.view.members
            home = self.job_owners[label] = (
                label if label in members or not members else rendezvous_owner(label, sorted(members))
            )
        return home

    def machine_owner(self, machine: str) -> str:
        part = self.machine_owners.get(machine)
        if part is None:
            if len(self.machine_owners) >= constants.MAX_MACHINES:  # also of machines long gone
                self.machine_owners.clear()
            members = self.view.members
            part = self.machine_owners[machine] = rendezvous_owner(machine, sorted(members)) if members else ""
        return part

    def report_to(self, machine: str) -> str:
        """The member that the machine's worker is told to report to.

        That is its owner, unless the owner has been silent for nearly as long as it takes to replace it. A worker waits
        4 s for a member that is cut off; sent back there a second time, it outlived its lease. So it goes from one
        member that is heard to the next, at once or after half a second, until one knows the view without the owner.
        """
        owner = self.machine_owner(machine)
        if owner == self.me or self.failure_detector.is_alive(owner):
            return owner
        heard = sorted(
            label for label in self.view.members if label != self.me and self.failure_detector.is_alive(label)
        )
        return next((label for label in heard if label > self.me), heard[0] if heard else owner)

    def all_support(self, protocol_version: int) -> bool:
        """Whether whoever takes part, or is about to, runs this generation of the program or a newer one.

        From the members' own keys in the store, so nothing depends on messages between them.
        """
        present = {label: lease_id for label, (lease_id, _) in self.registered.items()}
        return all(present.get(label) == lease_id for label, lease_id in self.view.members.items()) and all(
            self.protocol_versions[label] >= protocol_version for label in present
        )

    def _joiners_complete(self, alive: dict[str, int], now: float) -> bool:
        """Whether no other newcomer is to be expected: those that fell together return within a second or two.

        A view for each would void the acknowledgements of the one before (seen: three in half a second).
        Who is gone is not waited for.
        """
        if any(label not in alive for label in self.view.members):
            return True
        if alive != self.joining:
            self.joining_since = self.joining_since if self.joining else now
            self.joining, self.joining_changed_at = alive, now
        return (
            now - self.joining_changed_at >= constants.JOIN_QUIET_S or now - self.joining_since >= constants.JOIN_MAX_S
        )

    def _contact_timeout_for(self, members: dict[str, int]) -> float:
        """What a view of these asks for: nothing, unless all are enough and understand it by their own keys."""
        enough = len(members) >= constants.CONTACT_MIN_MEMBERS and all(
            self.protocol_versions[label] >= constants.VERSION_WITH_FAILURE_DETECTOR for label in members
        )
        return constants.CONTACT_TIMEOUT_S if enough else 0.0

    def mark_quorum_overlap(self, view: View, settled: bool) -> View:
        """The view that is to follow this one; ``settled``: each member acts under this one or not at all.

        Between two views that ask for contact of the same labels, any two majorities have a process in common that
        knows the newer one, so T binds who does not know it, too. Otherwise freshness alone does.
        """
        firm = self.view.contact_timeout_s > 0 and view.members.keys() == self.view.members.keys()
        firm = firm and (settled or not self.view.quorum_may_not_overlap)
        return (
            view if firm or not view.contact_timeout_s else msgspec.structs.replace(view, quorum_may_not_overlap=True)
        )

    def next_view(self, now: float, most: int = constants.CONTACT_MIN_MEMBERS) -> tuple[View, dict[str, int]] | None:
        """The change this process should try now, with the stamps of members' keys to assert.

        A member whose key is gone has lost its hold: the store says so, and the
        transaction asserts it again. So is one that a majority has given up (at most ``most`` at once): its key, whose
        stamp is asserted, goes with the same transaction. Nobody is removed otherwise.
        """
        mine = self.registered.get(self.me)
        if mine is None or mine[0] != self.store_lease.lease_id or now >= self.store_lease.valid_until:
            return None
        members, leader = self.view.members, self.view.leader
        gone = sorted(
            label
            for label in self.failure_detector.failed_by_quorum()
            if self.registered.get(label, (0, 0))[0] == members[label]
        )[:most]
        if self.me in gone:
            return None
        alive = {
            label: lease_id
            for label, (lease_id, _) in self.registered.items()
            if label not in gone and label not in self.failure_detector.excluded
        }
        revisions = {
            label: self.registered[label][1] if label in alive or label in gone else 0 for label in {*alive, *members}
        }
        renewed = self._contact_view(alive, now)
        if renewed is not None:
            return renewed, revisions
        if alive == members and leader in alive:
            self.leaderless_since = None
            self.joining = {}
            return None
        if not self._joiners_complete(alive, now):
            return None
        leaderless = members.get(leader) != alive.get(leader, -1)
        if leaderless or (gone and leader != self.me):
            # The lowest label takes the lead, others only if it does not; who is given up is no leader's affair alone.
            if self.leaderless_since is None:
                self.leaderless_since = now
            patience = (sorted(alive).index(self.me) + (not leaderless)) * constants.LEADER_PRECEDENCE_S
            if now - self.leaderless_since < patience:
                return None
            leader = self.me if leaderless else leader
        elif leader != self.me:
            self.leaderless_since = None
            return None
        return View(leader, alive, self._contact_timeout_for(alive)), revisions

    def _contact_view(self, alive: dict[str, int], now: float) -> View | None:
        """A view for the sake of contact alone; that of the same members waives it, asks for it again, or as before."""
        view, failure_detector = self.view, self.failure_detector
        if view.members.get(self.me) != self.store_lease.lease_id:
            return None
        if failure_detector.contact_ending_since is not None and now - self.synced_at < constants.STORE_REACHABLE_S:
            # No majority answers, and this one is not cut off from the store: it would be a loss to all to stop.
            patience = (
                constants.CONTACT_WAIVER_PATIENCE_S + sorted(alive).index(self.me) * constants.LEADER_PRECEDENCE_S
            )
            if now - failure_detector.contact_ending_since < patience:
                return None
            leader = view.leader if view.leader in alive else self.me
            return View(leader, alive, 0.0 if alive == view.members else self._contact_timeout_for(alive))
        if view.leader != self.me or alive != view.members:
            return None
        wanted = self._contact_timeout_for(alive)
        stuck = (
            failure_detector.disputed_since is not None
            and now - failure_detector.disputed_since >= constants.DISPUTED_FAILURE_S
        )
        again = (
            not view.contact_timeout_s
            and wanted > 0
            and failure_detector.all_alive_since is not None
            and now - failure_detector.all_alive_since >= constants.CONTACT_RESUME_S
        )
        return View(self.me, alive, wanted) if stuck or again else None
