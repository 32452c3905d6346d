"""Tracks which revisions of the operator configuration are in force in this process, and proposes what to write."""

from __future__ import annotations

import logging
from dataclasses import dataclass, field
from enum import Enum

import msgspec

from alderbridge import constants
from alderbridge.configuration.compiler import ConfigurationRevision, compiled, digest_of
from alderbridge.configuration.records import ConfigurationHead, StoredRevision, head_key, parts_of, piece_keys, pieces
from alderbridge.membership.membership import Membership
from alderbridge.protocol.keys import CONFIGURATIONS
from alderbridge.settings import KINDS

log = logging.getLogger("configuration")
_head_decoder = msgspec.json.Decoder(ConfigurationHead)
_piece_decoder = msgspec.json.Decoder(bytes)  # base64, as msgspec keeps bytes in JSON
NO_CONFIGURATIONS: list[msgspec.Struct] = []


class RevisionState(str, Enum):
    """The state of a revision: that of this process's file, or that of the stored head."""

    UNREAD = "unread"  # file: this process has none. Store: no head received
    READ = "read"  # file: valid, and newer than the stored revision or not compared yet
    PROPOSED = "proposed"  # file: its records are being written
    STORED = "stored"  # the head is in the replica; the previous revision is applied as well
    IN_FORCE = "in force"  # the only revision that is applied
    REFUSED = "refused"  # file: older than the stored revision, or the same revision with another text


@dataclass(eq=False)
class ConfigurationProposal:
    """A transaction on one kind; the caller adds the view to its conditions."""

    kind: str
    conditions: dict[str, int]
    puts: dict[str, object] = field(default_factory=dict)
    drops: list[str] = field(default_factory=list)

    @property
    def changes(self) -> int:
        """Return the number of keys that the transaction changes."""
        return len(self.puts) + len(self.drops)


class _KindConfiguration:
    """The configuration of one kind. ``file_state`` is about this process's file, ``stored_state`` about the head."""

    def __init__(self, kind: str, own_file: ConfigurationRevision | None) -> None:
        self.kind, self.own_file = kind, own_file
        self.file_state = RevisionState.UNREAD
        self.stored_state = RevisionState.UNREAD
        self.head: ConfigurationHead | None = None
        self.store_revision = 0
        self.in_force_at = float("inf")  # when the current revision becomes the only one that is applied
        self.pieces: dict[str, bytes] = {}  # parts of texts in the replica by key, referenced by a head or not
        self.pending_head: tuple[ConfigurationHead, int] | None = None  # with its store revision, until ``refresh``
        self.in_force = NO_CONFIGURATIONS  # applied now, oldest first; a new list after each change
        self.compiled: dict[str, msgspec.Struct] = {}  # by digest
        self.unreferenced: list[str] = []  # keys of texts that the current revision does not use
        self.unreadable = ""  # why the revisions in force can't be read; empty: they can
        self.last_logged_wait = ""  # cause in the last log line about waiting
        if own_file is not None:
            self._read()

    def _read(self) -> None:
        self.file_state = RevisionState.READ
        self._log_state(self.own_file, "read")

    def _propose(self) -> None:
        if self.file_state is RevisionState.READ:
            self.file_state = RevisionState.PROPOSED
            self._log_state(self.own_file, "proposed")

    def _revert_proposal(self) -> None:
        """Propose the file again, after a proposal that failed or whose result is unknown."""
        if self.file_state is RevisionState.PROPOSED:
            self.file_state = RevisionState.READ

    def _accept(self) -> None:
        self.file_state = RevisionState.STORED

    def _refuse(self) -> None:
        self.file_state = RevisionState.REFUSED
        assert self.own_file is not None and self.head is not None
        if self.own_file.revision < self.head.revision:
            self._log_state(self.own_file, "refused", f"revision {self.head.revision} is in the store")
        else:
            self._log_state(
                self.own_file, "refused", f"the store has another text of this revision, {self.head.digest}", True
            )

    def _store(self, head: ConfigurationHead, store_revision: int, now: float, wait_s: float) -> None:
        """Store a received head; a repeated head of the same revision keeps its ``in_force_at``."""
        same = self.head is not None and self.head.last == head.last
        self.head, self.store_revision = head, store_revision
        if not same:
            self.stored_state, self.in_force_at = RevisionState.STORED, now + wait_s
            self._log_state(head, "stored")

    def _enforce(self) -> None:
        self.stored_state, self.in_force_at = RevisionState.IN_FORCE, float("-inf")
        if self.file_state is RevisionState.STORED:
            self.file_state = RevisionState.IN_FORCE
        self._log_state(self.head, "in force")

    def _log_state(
        self,
        revision: ConfigurationRevision | ConfigurationHead | None,
        state: str,
        cause: str = "",
        is_error: bool = False,
    ) -> None:
        assert revision is not None
        log.log(
            logging.ERROR if is_error else logging.INFO,
            "declaration=%s revision=%d digest=%s state=%s%s",
            self.kind,
            revision.revision,
            revision.digest,
            state,
            f" cause={cause}" if cause else "",
        )

    def refresh(self, now: float, wait_s: float) -> None:
        """Apply the changes that were received from the store."""
        if self.pending_head is not None:
            head, store_revision = self.pending_head
            self.pending_head = None
            self._store(head, store_revision, now, wait_s)
            if head.before is None and self.stored_state is RevisionState.STORED:
                self._enforce()
        if self.head is None:
            return
        self.unreferenced = self._unreferenced_keys([self.head.last])
        if self.own_file is not None and self.file_state is not RevisionState.REFUSED:
            self._compare(self.own_file, self.head)
        self.refresh_in_force()

    def _compare(self, own: ConfigurationRevision, stored: ConfigurationHead) -> None:
        """Accept or refuse this process's file by the stored revision."""
        if own.revision < stored.revision or (own.revision == stored.revision and own.digest != stored.digest):
            self._refuse()
        elif own.revision == stored.revision and self.file_state in (RevisionState.READ, RevisionState.PROPOSED):
            self._accept()
            if self.stored_state is RevisionState.IN_FORCE:
                self.file_state = RevisionState.IN_FORCE

    def enforce_if_due(self, now: float) -> None:
        """Put the current revision in force alone once every member that may act must have received it."""
        if now >= self.in_force_at and self.stored_state is RevisionState.STORED:
            self._enforce()
            self.refresh_in_force()

    def refresh_in_force(self) -> None:
        """Decode the revisions to apply now; if one can't be read, the earlier ones stay in force."""
        assert self.head is not None
        revisions = [self.head.last] if self.stored_state is RevisionState.IN_FORCE else self.head.named
        try:
            texts = [self.configuration_of(revision) for revision in revisions]
        except (KeyError, ImportError, msgspec.DecodeError) as error:
            if not self.unreadable:
                self.unreadable = f"{type(error).__name__}: {error}"
                self._log_state(self.head, "unreadable", self.unreadable, True)
            return
        self.unreadable = ""
        if len(revisions) == 1 and not revisions[0].parts:
            texts = NO_CONFIGURATIONS
        if len(texts) != len(self.in_force) or any(a is not b for a, b in zip(texts, self.in_force, strict=True)):
            self.in_force = texts
        self.compiled = {rev.digest: text for rev, text in zip(revisions, texts, strict=False)}

    def configuration_of(self, revision: StoredRevision) -> msgspec.Struct:
        """Return the decoded revision; raise ``KeyError`` if its text is incomplete."""
        configuration = self.compiled.get(revision.digest)
        if configuration is None:
            raw = b"".join(self.pieces[key] for key in piece_keys(self.kind, revision))
            if revision.parts and digest_of(raw) != revision.digest:
                raise KeyError(f"the text is not {revision.digest}")
            configuration = compiled(self.kind, raw)
        return configuration

    def due(
        self, membership: Membership, labels: list[str], now: float, wall: float, room: int, value_bytes: int
    ) -> ConfigurationProposal | None:
        """Return the next transaction for this kind; see ``OperatorConfiguration.due``.

        ``labels``: all controllers in the settings; the first revision waits until they are registered.
        """
        self.enforce_if_due(now)
        head, own = self.head, self.own_file
        if (
            own is not None
            and self.file_state in (RevisionState.READ, RevisionState.PROPOSED)
            and (head is None or (head.before is None and head.revision < own.revision))
        ):
            return self._propose_revision(membership, labels, wall, room, value_bytes)
        if head is not None and self.stored_state is RevisionState.IN_FORCE and membership.is_leader(now):
            if head.before is not None or (self.unreferenced and room > 1):
                settled = ConfigurationHead(head.revision, head.digest, head.parts, head.at)
                return ConfigurationProposal(
                    self.kind,
                    {head_key(self.kind): self.store_revision},
                    {head_key(self.kind): settled},
                    self.unreferenced[: room - 1],
                )
        return None

    def _propose_revision(
        self, membership: Membership, labels: list[str], wall: float, room: int, value_bytes: int
    ) -> ConfigurationProposal | None:
        """Propose the missing parts of the text, up to ``room`` changes; with or after the last of them, the head."""
        own, head = self.own_file, self.head
        assert own is not None
        cause = self._wait_cause(membership, labels)
        if cause:
            if cause != self.last_logged_wait:
                self.last_logged_wait = cause
                self._log_state(own, "waits", cause)
            return None
        self._propose()
        last = StoredRevision(own.revision, own.digest, parts_of(own.text, value_bytes))
        keys = piece_keys(self.kind, last)
        # Texts are dropped only together with a change of the head: while the head has this store revision, the texts
        # in the replica exist in the store.
        proposal = ConfigurationProposal(self.kind, {head_key(self.kind): self.store_revision})
        max_texts = min(room, max(1, constants.MAX_BODY_BYTES * 3 // 4 // value_bytes))
        missing = [
            (key, piece)
            for key, piece in zip(keys, pieces(own.text, last.parts), strict=True)
            if key not in self.pieces
        ]
        proposal.puts |= missing[:max_texts]
        if len(missing) < max_texts:
            before = head.last if head is not None else StoredRevision(0)
            proposal.puts[head_key(self.kind)] = ConfigurationHead(last.revision, last.digest, last.parts, wall, before)
            proposal.drops = self._unreferenced_keys([before, last])[: max(0, room - len(proposal.puts))]
        return proposal

    def _wait_cause(self, membership: Membership, labels: list[str]) -> str:
        """Return why nothing may be proposed yet; empty if it may."""
        missing = [label for label in labels if label not in membership.registered] if self.head is None else []
        if missing:
            return f"{', '.join(missing)} not here"
        if not membership.all_support(constants.VERSION_WITH_CONFIGURATION):
            return f"not all run generation {constants.VERSION_WITH_CONFIGURATION}"
        return ""

    def _unreferenced_keys(self, named: list[StoredRevision]) -> list[str]:
        """Return the keys of texts that do not belong to the revisions ``named``."""
        if not self.pieces:
            return []
        keys = {key for revision in named for key in piece_keys(self.kind, revision)}
        return [key for key in self.pieces if key not in keys]


class OperatorConfiguration:
    """The configuration of all kinds. Does no I/O: callers pass changes of the store and write the proposals."""

    def __init__(self, own: dict[str, ConfigurationRevision] | None, ttl_s: float, labels: list[str]) -> None:
        """``own``: this process's files by kind. ``labels``: all controllers in the settings.

        ``ttl_s``: how long a member may act after it last synchronized with the store.
        """
        self.kinds = {kind: _KindConfiguration(kind, declared) for kind, declared in (own or {}).items()}
        self.wait_s = ttl_s + constants.LEASE_EXPIRY_MARGIN_S
        self.labels = labels
        self.changed = False  # changes were applied since the last ``refresh``
        self.unreadable = False  # a revision to apply can't be read, so this controller must not act
        self.retry_at = float("-inf")

    def apply(self, key: str, data: bytes | None, store_revision: int) -> None:
        """Record a change of the store, in order; ``data`` None: dropped. Call ``refresh`` after the last change."""
        kind, _, piece = key[len(CONFIGURATIONS) :].partition("/")
        if kind not in KINDS:
            return  # declared by a later version
        entry = self.kinds.get(kind)
        if entry is None:
            entry = self.kinds[kind] = _KindConfiguration(kind, None)
        if piece:
            if data is None:
                entry.pieces.pop(key, None)
            else:
                entry.pieces[key] = _piece_decoder.decode(data)
        elif data is not None and store_revision > max(
            entry.store_revision, entry.pending_head[1] if entry.pending_head else 0
        ):
            entry.pending_head = _head_decoder.decode(data), store_revision
        self.changed = True

    def reload(self) -> None:
        """Forget all texts before all rows are read again: some may have been dropped meanwhile."""
        for entry in self.kinds.values():
            entry.pieces.clear()

    def refresh(self, now: float) -> None:
        """Evaluate the recorded changes; ``now``: not earlier than when they were received."""
        self.changed = False
        for entry in self.kinds.values():
            entry.refresh(now, self.wait_s)
        self.unreadable = any(entry.unreadable for entry in self.kinds.values())

    def in_force(self, kind: str, now: float) -> list[msgspec.Struct]:
        """Return the configurations to apply: [], [one], or [older, newer] while one replaces the other.

        With two, the stricter one decides in each case. The same list object is returned until something changes, so
        callers may compare with ``is``. While the first configuration comes into force or the last is withdrawn, an
        empty configuration stands for the missing one.
        """
        entry = self.kinds.get(kind)
        if entry is None:
            return NO_CONFIGURATIONS
        entry.enforce_if_due(now)
        return entry.in_force

    def revisions_in_force(self, kind: str, now: float) -> list[int]:
        """Return the revisions of ``in_force``; 0 stands for no configuration."""
        entry = self.kinds.get(kind)
        if entry is None or entry.head is None:
            return [0]
        entry.enforce_if_due(now)
        head = entry.head
        return (
            [head.revision]
            if entry.stored_state is RevisionState.IN_FORCE
            else [stored.revision for stored in head.named]
        )

    def due(
        self, membership: Membership, now: float, wall: float, room: int, value_bytes: int
    ) -> ConfigurationProposal | None:
        """Return the next transaction, with at most ``room`` changes; call ``done`` or ``failed`` before the next call.

        ``wall``: time of day, in s. ``value_bytes``: maximum size of a stored value.
        """
        if not self.kinds or now < self.retry_at:
            return None
        for entry in self.kinds.values():
            proposal = entry.due(membership, self.labels, now, wall, room, value_bytes)
            if proposal is not None:
                return proposal
        return None

    def done(self, proposal: ConfigurationProposal, store_revision: int, now: float) -> None:
        """Apply a committed proposal without waiting for the change to arrive from the store.

        It is ignored if the replica has a newer head already: later changes may have dropped or restored its texts,
        and a head that refers to a text missing from the store could not be read by any controller.
        """
        entry = self.kinds[proposal.kind]
        if max(entry.store_revision, entry.pending_head[1] if entry.pending_head else 0) >= store_revision:
            return
        for key, value in proposal.puts.items():
            self.apply(key, msgspec.json.encode(value), store_revision)
        for key in proposal.drops:
            self.apply(key, None, store_revision)
        self.refresh(now)

    def failed(self, proposal: ConfigurationProposal, now: float) -> None:
        """Retry after a delay: in a conflict, a refusal or a missing answer the replica is updated first."""
        self.kinds[proposal.kind]._revert_proposal()
        self.retry_at = now + constants.CONFIGURATION_RETRY_DELAY_S
