"""Which text of each declaration counts in this process, from when, and what this process writes of it."""

from __future__ import annotations

import logging
from dataclasses import dataclass, field
from enum import Enum

import msgspec

from alderbridge import constants
from alderbridge.configuration.records import Head, Revision, head_key, parts_of, piece_keys, pieces
from alderbridge.configuration.texts import KINDS, Declared, compiled, digest_of
from alderbridge.membership.view import Membership
from alderbridge.state.store import DECLARED

log = logging.getLogger("configuration")
_head = msgspec.json.Decoder(Head)
_piece = msgspec.json.Decoder(bytes)  # base64, as msgspec keeps bytes in JSON
NOTHING: list[msgspec.Struct] = []


class State(str, Enum):
    UNREAD = "unread"  # file: none here. Store: no head known
    READ = "read"  # file: checked, newer than the store's or not compared yet
    PROPOSED = "proposed"  # file: its records are being written
    STORED = "stored"  # the head is in the replica; the one before is obeyed as well
    IN_FORCE = "in force"  # obeyed alone
    REFUSED = "refused"  # file: older than the store's, or the same revision with another text


@dataclass(eq=False)
class Proposal:
    """One transaction on one declaration; the caller adds the view to its conditions."""

    kind: str
    conditions: dict[str, int]
    puts: dict[str, object] = field(default_factory=dict)
    drops: list[str] = field(default_factory=list)

    @property
    def changes(self) -> int:
        return len(self.puts) + len(self.drops)


class _Declaration:
    """One kind. ``file`` is the state of this process's own file, ``kept`` that of the store's head."""

    def __init__(self, kind: str, own: Declared | None) -> None:
        self.kind, self.own = kind, own
        self.file = State.UNREAD
        self.kept = State.UNREAD
        self.head: Head | None = None
        self.store_revision = 0
        self.alone_at = float("inf")  # from when the head's text is obeyed alone
        self.pieces: dict[str, bytes] = {}  # of texts in the replica, named by a head or not
        self.arrived: tuple[Head, int] | None = None  # and not looked at yet
        self.texts = NOTHING  # obeyed now, oldest first; the list is made anew for each change
        self.compiled: dict[str, msgspec.Struct] = {}  # by digest
        self.stale: list[str] = []  # keys of texts that the head, once settled, does not name
        self.unreadable = ""
        self.told = ""  # why nothing is proposed, as it was last said
        if own is not None:
            self._read()

    # -- changes of state, one method each ---------------------------------

    def _read(self) -> None:
        self.file = State.READ
        self._say(self.own, "read")

    def _propose(self) -> None:
        if self.file is State.READ:
            self.file = State.PROPOSED
            self._say(self.own, "proposed")

    def _fall_back(self) -> None:
        """Refused, in conflict or without an answer: what has become of it, the replica will tell."""
        if self.file is State.PROPOSED:
            self.file = State.READ

    def _accept(self) -> None:
        self.file = State.STORED

    def _refuse(self) -> None:
        self.file = State.REFUSED
        assert self.own is not None and self.head is not None
        if self.own.revision < self.head.revision:
            self._say(self.own, "refused", f"revision {self.head.revision} is in the store")
        else:
            self._say(self.own, "refused", f"the store has another text of this revision, {self.head.digest}", True)

    def _store(self, head: Head, store_revision: int, now: float, wait_s: float) -> None:
        """A head has arrived: the same one again goes on with its time."""
        same = self.head is not None and self.head.last == head.last
        self.head, self.store_revision = head, store_revision
        if not same:
            self.kept, self.alone_at = State.STORED, now + wait_s
            self._say(head, "stored")

    def _enforce(self) -> None:
        self.kept, self.alone_at = State.IN_FORCE, float("-inf")
        if self.file is State.STORED:
            self.file = State.IN_FORCE
        self._say(self.head, "in force")

    # -- the rest ----------------------------------------------------------

    def _say(self, what: Declared | Head | None, state: str, cause: str = "", bad: bool = False) -> None:
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

    def look(self, now: float, wait_s: float) -> None:
        """After changes of the store have arrived."""
        if self.arrived is not None:
            head, store_revision = self.arrived
            self.arrived = None
            self._store(head, store_revision, now, wait_s)
            if head.before is None and self.kept is State.STORED:
                self._enforce()
        if self.head is None:
            return
        self.stale = self._unnamed([self.head.last])
        if self.own is not None and self.file is not State.REFUSED:
            ours, theirs = self.own, self.head
            if ours.revision < theirs.revision or (ours.revision == theirs.revision and ours.digest != theirs.digest):
                self._refuse()
            elif ours.revision == theirs.revision and self.file in (State.READ, State.PROPOSED):
                self._accept()
                if self.kept is State.IN_FORCE:
                    self.file = State.IN_FORCE
        self.obey()

    def look_at_clock(self, now: float) -> None:
        if now >= self.alone_at and self.kept is State.STORED:
            self._enforce()
            self.obey()

    def obey(self) -> None:
        assert self.head is not None
        revisions = [self.head.last] if self.kept is State.IN_FORCE else self.head.named
        try:
            texts = [self.text(revision) for revision in revisions]
        except (KeyError, ImportError, msgspec.DecodeError) as error:
            if not self.unreadable:
                self.unreadable = f"{type(error).__name__}: {error}"
                self._say(self.head, "unreadable", self.unreadable, True)
            return
        self.unreadable = ""
        if len(revisions) == 1 and not revisions[0].parts:
            texts = NOTHING
        if len(texts) != len(self.texts) or any(a is not b for a, b in zip(texts, self.texts, strict=True)):
            self.texts = texts
        self.compiled = {rev.digest: text for rev, text in zip(revisions, texts, strict=False)}

    def text(self, revision: Revision) -> msgspec.Struct:
        known = self.compiled.get(revision.digest)
        if known is None:
            raw = b"".join(self.pieces[key] for key in piece_keys(self.kind, revision))
            if revision.parts and digest_of(raw) != revision.digest:
                raise KeyError(f"the text is not {revision.digest}")
            known = compiled(self.kind, raw)
        return known

    def due(
        self, membership: Membership, labels: list[str], now: float, wall: float, room: int, value_bytes: int
    ) -> Proposal | None:
        self.look_at_clock(now)
        head, own = self.head, self.own
        if (
            own is not None
            and self.file in (State.READ, State.PROPOSED)
            and (head is None or (head.before is None and head.revision < own.revision))
        ):
            return self._due_revision(membership, labels, wall, room, value_bytes)
        if head is not None and self.kept is State.IN_FORCE and membership.is_leader(now):
            if head.before is not None or (self.stale and room > 1):
                settled = Head(head.revision, head.digest, head.parts, head.at)
                return Proposal(
                    self.kind,
                    {head_key(self.kind): self.store_revision},
                    {head_key(self.kind): settled},
                    self.stale[: room - 1],
                )
        return None

    def _due_revision(
        self, membership: Membership, labels: list[str], wall: float, room: int, value_bytes: int
    ) -> Proposal | None:
        """The texts that are not there yet, as many as have room; with the last of them, or after it, the head."""
        own, head = self.own, self.head
        assert own is not None
        missing = [label for label in labels if label not in membership.registered] if head is None else []
        if missing or not membership.all_support(constants.VERSION_WITH_CONFIGURATION):
            why = (
                f"{', '.join(missing)} not here"
                if missing
                else f"not all run generation {constants.VERSION_WITH_CONFIGURATION}"
            )
            if why != self.told:
                self.told = why
                self._say(own, "waits", why)
            return None
        self._propose()
        last = Revision(own.revision, own.digest, parts_of(own.text, value_bytes))
        keys = piece_keys(self.kind, last)
        # Nobody drops a text but with a change of the head: what the replica has at this stamp is there.
        proposal = Proposal(self.kind, {head_key(self.kind): self.store_revision})
        most = min(room, max(1, constants.MAX_BODY * 3 // 4 // value_bytes))
        left = [
            (key, piece)
            for key, piece in zip(keys, pieces(own.text, last.parts), strict=True)
            if key not in self.pieces
        ]
        proposal.puts |= left[:most]
        if len(left) < most:
            before = head.last if head is not None else Revision(0)
            proposal.puts[head_key(self.kind)] = Head(last.revision, last.digest, last.parts, wall, before)
            proposal.drops = self._unnamed([before, last])[: max(0, room - len(proposal.puts))]
        return proposal

    def _unnamed(self, named: list[Revision]) -> list[str]:
        """Keys of texts that such a head does not name."""
        if not self.pieces:
            return []
        keys = {key for revision in named for key in piece_keys(self.kind, revision)}
        return [key for key in self.pieces if key not in keys]


class Declarations:
    """All kinds. Pure: what has arrived in the replica goes in, what to obey and what to write come out."""

    def __init__(self, own: dict[str, Declared] | None, ttl_s: float, labels: list[str]) -> None:
        """``own``: by kind, of this process's files. ``ttl_s``: for so long a member acts without news, in s.

        ``labels``: of all controllers in the settings.
        """
        self.kinds = {kind: _Declaration(kind, declared) for kind, declared in (own or {}).items()}
        self.wait_s = ttl_s + constants.PROOF_MARGIN_S
        self.labels = labels
        self.changed = False  # something has arrived since the last ``look``
        self.unreadable = False  # a text that counts can't be read here: the replica is not understood
        self.rests_until = float("-inf")

    def apply(self, key: str, data: bytes | None, store_revision: int) -> None:
        """A change of the store, in order; ``data`` None: dropped. ``look`` follows when all of them are in."""
        kind, _, piece = key[len(DECLARED) :].partition("/")
        if kind not in KINDS:
            return  # of a later version
        declaration = self.kinds.get(kind)
        if declaration is None:
            declaration = self.kinds[kind] = _Declaration(kind, None)
        if piece and data is None:
            declaration.pieces.pop(key, None)
        elif piece:
            declaration.pieces[key] = _piece.decode(data)
        elif data is not None and store_revision > max(
            declaration.store_revision, declaration.arrived[1] if declaration.arrived else 0
        ):
            declaration.arrived = _head.decode(data), store_revision
        self.changed = True

    def reload(self) -> None:
        """All rows are read again: texts may have gone unseen."""
        for declaration in self.kinds.values():
            declaration.pieces.clear()

    def look(self, now: float) -> None:
        """``now``: no earlier than the arrival of what was applied."""
        self.changed = False
        for declaration in self.kinds.values():
            declaration.look(now, self.wait_s)
        self.unreadable = any(declaration.unreadable for declaration in self.kinds.values())

    def in_force(self, kind: str, now: float) -> list[msgspec.Struct]:
        """What is to be obeyed, the strictest of all in the list: [], [one], or [older, newer] while one replaces it.

        The same list until something changes, so ``is`` tells whether what was made of it still holds. In a change
        from or to nothing, ``Text()`` stands for nothing.
        """
        declaration = self.kinds.get(kind)
        if declaration is None:
            return NOTHING
        declaration.look_at_clock(now)
        return declaration.texts

    def obeyed(self, kind: str, now: float) -> list[int]:
        """The revisions of ``in_force``; 0 is nothing."""
        declaration = self.kinds.get(kind)
        if declaration is None or declaration.head is None:
            return [0]
        declaration.look_at_clock(now)
        head = declaration.head
        return [head.revision] if declaration.kept is State.IN_FORCE else [one.revision for one in head.named]

    def due(self, membership: Membership, now: float, wall: float, room: int, value_bytes: int) -> Proposal | None:
        """What to write next, with no more than ``room`` changes; one at a time: ``done`` or ``failed`` comes first.

        ``wall``: time of day, in s. ``value_bytes``: most that one value may have.
        """
        if not self.kinds or now < self.rests_until:
            return None
        for declaration in self.kinds.values():
            proposal = declaration.due(membership, self.labels, now, wall, room, value_bytes)
            if proposal is not None:
                return proposal
        return None

    def done(self, proposal: Proposal, store_revision: int, now: float) -> None:
        """Carried out: known here before the change comes back.

        Not where the replica has a newer head already: what was put may be dropped by it, and what was dropped put
        again. A text counted on that is not in the store would be named by a head that nobody can read.
        """
        declaration = self.kinds[proposal.kind]
        if max(declaration.store_revision, declaration.arrived[1] if declaration.arrived else 0) >= store_revision:
            return
        for key, value in proposal.puts.items():
            self.apply(key, msgspec.json.encode(value), store_revision)
        for key in proposal.drops:
            self.apply(key, None, store_revision)
        self.look(now)

    def failed(self, proposal: Proposal, now: float) -> None:
        """In conflict, refused or without an answer: once more when the replica had time to tell."""
        self.kinds[proposal.kind]._fall_back()
        self.rests_until = now + constants.CONFIGURATION_RETRY_S
