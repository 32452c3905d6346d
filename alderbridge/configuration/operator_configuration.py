"""Which revision of each kind counts in this process, from when, and what this process writes of it."""

from __future__ import annotations

import logging
from dataclasses import dataclass, field
from enum import Enum

import msgspec

from alderbridge import constants
from alderbridge.configuration.compiler import ConfigurationRevision, compiled, digest_of
from alderbridge.configuration.records import ConfigurationHead, StoredRevision, head_key, parts_of, piece_keys, pieces
from alderbridge.membership.membership import Membership
from alderbridge.protocol.keys import DECLARED
from alderbridge.settings import KINDS

log = logging.getLogger("configuration")
_head = msgspec.json.Decoder(ConfigurationHead)
_piece = msgspec.json.Decoder(bytes)  # base64, as msgspec keeps bytes in JSON
NOTHING: list[msgspec.Struct] = []


class RevisionState(str, Enum):
    """How far a revision has come: that of this process's file, or that of the store's head."""

    UNREAD = "unread"  # file: none here. Store: no head known
    READ = "read"  # file: checked, newer than the store's or not compared yet
    PROPOSED = "proposed"  # file: its records are being written
    STORED = "stored"  # the head is in the replica; the one before is obeyed as well
    IN_FORCE = "in force"  # obeyed alone
    REFUSED = "refused"  # file: older than the store's, or the same revision with another text


@dataclass(eq=False)
class ConfigurationProposal:
    """One transaction on one kind; the caller adds the view to its conditions."""

    kind: str
    conditions: dict[str, int]
    puts: dict[str, object] = field(default_factory=dict)
    drops: list[str] = field(default_factory=list)

    @property
    def changes(self) -> int:
        """Return its changes of the store."""
        return len(self.puts) + len(self.drops)


class _KindConfiguration:
    """One kind. ``file_state`` is that of this process's own file, ``stored_state`` that of the store's head."""

    def __init__(self, kind: str, own: ConfigurationRevision | None) -> None:
        self.kind, self.own = kind, own
        self.file_state = RevisionState.UNREAD
        self.stored_state = RevisionState.UNREAD
        self.head: ConfigurationHead | None = None
        self.store_revision = 0
        self.alone_at = float("inf")  # from when the head's text is obeyed alone
        self.pieces: dict[str, bytes] = {}  # of texts in the replica, named by a head or not
        self.arrived: tuple[ConfigurationHead, int] | None = None  # and not taken in yet
        self.in_force = NOTHING  # obeyed now, oldest first; the list is made anew for each change
        self.compiled: dict[str, msgspec.Struct] = {}  # by digest
        self.stale: list[str] = []  # keys of texts that the head, once settled, does not name
        self.unreadable = ""
        self.last_wait = ""  # why nothing is proposed, as it was last said
        if own is not None:
            self._read()

    # -- changes of state, one method each ---------------------------------

    def _read(self) -> None:
        self.file_state = RevisionState.READ
        self._say(self.own, "read")

    def _propose(self) -> None:
        if self.file_state is RevisionState.READ:
            self.file_state = RevisionState.PROPOSED
            self._say(self.own, "proposed")

    def _fall_back(self) -> None:
        """Refused, in conflict or without an answer: what has become of it, the replica will tell."""
        if self.file_state is RevisionState.PROPOSED:
            self.file_state = RevisionState.READ

    def _accept(self) -> None:
        self.file_state = RevisionState.STORED

    def _refuse(self) -> None:
        self.file_state = RevisionState.REFUSED
        assert self.own is not None and self.head is not None
        if self.own.revision < self.head.revision:
            self._say(self.own, "refused", f"revision {self.head.revision} is in the store")
        else:
            self._say(self.own, "refused", f"the store has another text of this revision, {self.head.digest}", True)

    def _store(self, head: ConfigurationHead, store_revision: int, now: float, wait_s: float) -> None:
        """A head has arrived: the same one again goes on with its time."""
        same = self.head is not None and self.head.last == head.last
        self.head, self.store_revision = head, store_revision
        if not same:
            self.stored_state, self.alone_at = RevisionState.STORED, now + wait_s
            self._say(head, "stored")

    def _enforce(self) -> None:
        self.stored_state, self.alone_at = RevisionState.IN_FORCE, float("-inf")
        if self.file_state is RevisionState.STORED:
            self.file_state = RevisionState.IN_FORCE
        self._say(self.head, "in force")

    # -- the rest ----------------------------------------------------------

    def _say(
        self, what: ConfigurationRevision | ConfigurationHead | None, state: str, cause: str = "", bad: bool = False
    ) -> None:
        assert what is not None
        log.log(
            logging.ERROR if bad else logging.INFO,
            "declaration=%s revision=%d digest=%s state=%s%s",
            self.kind,
            what.revision,
            what.digest,
            state,
            f" cause={cause}" if cause else "",
        )

    def refresh(self, now: float, wait_s: float) -> None:
        """After changes of the store have arrived."""
        if self.arrived is not None:
            head, store_revision = self.arrived
            self.arrived = None
            self._store(head, store_revision, now, wait_s)
            if head.before is None and self.stored_state is RevisionState.STORED:
                self._enforce()
        if self.head is None:
            return
        self.stale = self._unnamed([self.head.last])
        if self.own is not None and self.file_state is not RevisionState.REFUSED:
            self._compare(self.own, self.head)
        self.refresh_in_force()

    def _compare(self, own: ConfigurationRevision, stored: ConfigurationHead) -> None:
        """Accept or refuse this process's own file, by what the store has."""
        if own.revision < stored.revision or (own.revision == stored.revision and own.digest != stored.digest):
            self._refuse()
        elif own.revision == stored.revision and self.file_state in (RevisionState.READ, RevisionState.PROPOSED):
            self._accept()
            if self.stored_state is RevisionState.IN_FORCE:
                self.file_state = RevisionState.IN_FORCE

    def enforce_if_due(self, now: float) -> None:
        """Obey the head's revision alone once every member that acts must know it."""
        if now >= self.alone_at and self.stored_state is RevisionState.STORED:
            self._enforce()
            self.refresh_in_force()

    def refresh_in_force(self) -> None:
        """Read the revisions that count now; one that can't be read leaves those before in force."""
        assert self.head is not None
        revisions = [self.head.last] if self.stored_state is RevisionState.IN_FORCE else self.head.named
        try:
            texts = [self.configuration_of(revision) for revision in revisions]
        except (KeyError, ImportError, msgspec.DecodeError) as error:
            if not self.unreadable:
                self.unreadable = f"{type(error).__name__}: {error}"
                self._say(self.head, "unreadable", self.unreadable, True)
            return
        self.unreadable = ""
        if len(revisions) == 1 and not revisions[0].parts:
            texts = NOTHING
        if len(texts) != len(self.in_force) or any(a is not b for a, b in zip(texts, self.in_force, strict=True)):
            self.in_force = texts
        self.compiled = {rev.digest: text for rev, text in zip(revisions, texts, strict=False)}

    def configuration_of(self, revision: StoredRevision) -> msgspec.Struct:
        """Return what the revision's text declares; ``KeyError``: it is not all here."""
        known = self.compiled.get(revision.digest)
        if known is None:
            raw = b"".join(self.pieces[key] for key in piece_keys(self.kind, revision))
            if revision.parts and digest_of(raw) != revision.digest:
                raise KeyError(f"the text is not {revision.digest}")
            known = compiled(self.kind, raw)
        return known

    def due(
        self, membership: Membership, labels: list[str], now: float, wall: float, room: int, value_bytes: int
    ) -> ConfigurationProposal | None:
        """Return what to write next of this kind; see ``OperatorConfiguration.due``.

        ``labels``: of all controllers in the settings, which the first revision waits for.
        """
        self.enforce_if_due(now)
        head, own = self.head, self.own
        if (
            own is not None
            and self.file_state in (RevisionState.READ, RevisionState.PROPOSED)
            and (head is None or (head.before is None and head.revision < own.revision))
        ):
            return self._due_revision(membership, labels, wall, room, value_bytes)
        if head is not None and self.stored_state is RevisionState.IN_FORCE and membership.is_leader(now):
            if head.before is not None or (self.stale and room > 1):
                settled = ConfigurationHead(head.revision, head.digest, head.parts, head.at)
                return ConfigurationProposal(
                    self.kind,
                    {head_key(self.kind): self.store_revision},
                    {head_key(self.kind): settled},
                    self.stale[: room - 1],
                )
        return None

    def _due_revision(
        self, membership: Membership, labels: list[str], wall: float, room: int, value_bytes: int
    ) -> ConfigurationProposal | None:
        """The texts that are not there yet, as many as have room; with the last of them, or after it, the head."""
        own, head = self.own, self.head
        assert own is not None
        why = self._cause_to_wait(membership, labels)
        if why:
            if why != self.last_wait:
                self.last_wait = why
                self._say(own, "waits", why)
            return None
        self._propose()
        last = StoredRevision(own.revision, own.digest, parts_of(own.text, value_bytes))
        keys = piece_keys(self.kind, last)
        # Nobody drops a text but with a change of the head: what the replica has at this revision is there.
        proposal = ConfigurationProposal(self.kind, {head_key(self.kind): self.store_revision})
        most = min(room, max(1, constants.MAX_BODY * 3 // 4 // value_bytes))
        left = [
            (key, piece)
            for key, piece in zip(keys, pieces(own.text, last.parts), strict=True)
            if key not in self.pieces
        ]
        proposal.puts |= left[:most]
        if len(left) < most:
            before = head.last if head is not None else StoredRevision(0)
            proposal.puts[head_key(self.kind)] = ConfigurationHead(last.revision, last.digest, last.parts, wall, before)
            proposal.drops = self._unnamed([before, last])[: max(0, room - len(proposal.puts))]
        return proposal

    def _cause_to_wait(self, membership: Membership, labels: list[str]) -> str:
        """Why nothing may be proposed yet; "": it may."""
        missing = [label for label in labels if label not in membership.registered] if self.head is None else []
        if missing:
            return f"{', '.join(missing)} not here"
        if not membership.all_support(constants.VERSION_WITH_CONFIGURATION):
            return f"not all run generation {constants.VERSION_WITH_CONFIGURATION}"
        return ""

    def _unnamed(self, named: list[StoredRevision]) -> list[str]:
        """Keys of texts that such a head does not name."""
        if not self.pieces:
            return []
        keys = {key for revision in named for key in piece_keys(self.kind, revision)}
        return [key for key in self.pieces if key not in keys]


class OperatorConfiguration:
    """All kinds. Pure: what has arrived in the replica goes in, what to obey and what to write come out."""

    def __init__(self, own: dict[str, ConfigurationRevision] | None, ttl_s: float, labels: list[str]) -> None:
        """``own``: by kind, of this process's files. ``ttl_s``: for so long a member acts without news, in s.

        ``labels``: of all controllers in the settings.
        """
        self.kinds = {kind: _KindConfiguration(kind, declared) for kind, declared in (own or {}).items()}
        self.wait_s = ttl_s + constants.PROOF_MARGIN_S
        self.labels = labels
        self.changed = False  # something has arrived since the last ``refresh``
        self.unreadable = False  # a text that counts can't be read here: the replica is not understood
        self.rests_until = float("-inf")

    def apply(self, key: str, data: bytes | None, store_revision: int) -> None:
        """A change of the store, in order; ``data`` None: dropped. ``refresh`` follows when all of them are in."""
        kind, _, piece = key[len(DECLARED) :].partition("/")
        if kind not in KINDS:
            return  # of a later version
        entry = self.kinds.get(kind)
        if entry is None:
            entry = self.kinds[kind] = _KindConfiguration(kind, None)
        if piece:
            if data is None:
                entry.pieces.pop(key, None)
            else:
                entry.pieces[key] = _piece.decode(data)
        elif data is not None and store_revision > max(entry.store_revision, entry.arrived[1] if entry.arrived else 0):
            entry.arrived = _head.decode(data), store_revision
        self.changed = True

    def reload(self) -> None:
        """All rows are read again: texts may have gone unseen."""
        for entry in self.kinds.values():
            entry.pieces.clear()

    def refresh(self, now: float) -> None:
        """Take in what was applied; ``now``: no earlier than its arrival."""
        self.changed = False
        for entry in self.kinds.values():
            entry.refresh(now, self.wait_s)
        self.unreadable = any(entry.unreadable for entry in self.kinds.values())

    def in_force(self, kind: str, now: float) -> list[msgspec.Struct]:
        """Return what is to be obeyed: [], [one], or [older, newer] while one replaces the other.

        The strictest of all in the list counts.
        The same list until something changes, so ``is`` tells whether what was made of it still holds. In a change
        from or to nothing, an empty configuration stands for nothing.
        """
        entry = self.kinds.get(kind)
        if entry is None:
            return NOTHING
        entry.enforce_if_due(now)
        return entry.in_force

    def revisions_in_force(self, kind: str, now: float) -> list[int]:
        """The revisions of ``in_force``; 0 is nothing."""
        entry = self.kinds.get(kind)
        if entry is None or entry.head is None:
            return [0]
        entry.enforce_if_due(now)
        head = entry.head
        return [head.revision] if entry.stored_state is RevisionState.IN_FORCE else [one.revision for one in head.named]

    def due(
        self, membership: Membership, now: float, wall: float, room: int, value_bytes: int
    ) -> ConfigurationProposal | None:
        """What to write next, with no more than ``room`` changes; one at a time: ``done`` or ``failed`` comes first.

        ``wall``: time of day, in s. ``value_bytes``: most that one value may have.
        """
        if not self.kinds or now < self.rests_until:
            return None
        for entry in self.kinds.values():
            proposal = entry.due(membership, self.labels, now, wall, room, value_bytes)
            if proposal is not None:
                return proposal
        return None

    def done(self, proposal: ConfigurationProposal, store_revision: int, now: float) -> None:
        """Carried out: known here before the change comes back.

        Not where the replica has a newer head already: what was put may be dropped by it, and what was dropped put
        again. A text counted on that is not in the store would be named by a head that nobody can read.
        """
        entry = self.kinds[proposal.kind]
        if max(entry.store_revision, entry.arrived[1] if entry.arrived else 0) >= store_revision:
            return
        for key, value in proposal.puts.items():
            self.apply(key, msgspec.json.encode(value), store_revision)
        for key in proposal.drops:
            self.apply(key, None, store_revision)
        self.refresh(now)

    def failed(self, proposal: ConfigurationProposal, now: float) -> None:
        """In conflict, refused or without an answer: once more when the replica had time to tell."""
        self.kinds[proposal.kind]._fall_back()
        self.rests_until = now + constants.CONFIGURATION_RETRY_S
