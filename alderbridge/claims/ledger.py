"""Claims as the store has them, and the next change of them. Pure; on every member.

States of a claim:

* PLANNED: chosen by the leader, its transaction is to be sent or on its way.
* HELD: in the store; the machine's shard preempts the victims and keeps the room for the job.
* CLEARED: held, and a report under this fencing token lacks all victims.
* DROPPED: the leader wants the record gone, or the store has lost it.

One transaction is under way at a time. One without an answer may be carried out late: before anything new is
planned the budgets' record is written again, whose revision it asserts. All assert the view (the controller adds it).
"""

from __future__ import annotations

import logging
import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

import msgspec

from alderbridge import constants
from alderbridge.claims.records import ClaimGroup, JobPreemptions, PreemptionClaim, PreemptionsSpent, budget_key
from alderbridge.protocol.keys import BUDGETS, CLAIMS, STOPS

log = logging.getLogger("preemption")
_claim = msgspec.json.Decoder(PreemptionClaim)
_spent = msgspec.json.Decoder(PreemptionsSpent)
_stops = msgspec.json.Decoder(JobPreemptions)


class ClaimState(str, Enum):
    """See the module."""

    PLANNED = "planned"
    HELD = "held"
    CLEARED = "cleared"
    DROPPED = "dropped"


@dataclass
class ClaimEntry:
    """A claim in the store, with the revision of its key."""

    claim: PreemptionClaim
    revision: int
    state: ClaimState = ClaimState.HELD

    def mark_cleared(self) -> None:
        """A report under this fencing token lacks all victims."""
        if self.state is ClaimState.HELD:
            self.state = ClaimState.CLEARED


@dataclass
class ClaimTransaction:
    """One change; ``groups`` are the claims that it makes."""

    conditions: dict[str, int] = field(default_factory=dict)
    puts: dict[str, object] = field(default_factory=dict)
    drops: list[str] = field(default_factory=list)
    groups: list[ClaimGroup] = field(default_factory=list)

    def takes(
        self,
        group: ClaimGroup,
        spent: PreemptionsSpent,
        stops: Mapping[str, JobPreemptions],
        most: int,
        value_bytes: int,
    ) -> bool:
        """Whether one more group fits, with the budgets and the jobs' records that go with it.

        ``most``: changes of a transaction. ``value_bytes``: size of one value.
        """
        values = [*group.values(), *stops.values(), spent]
        values_fit = all(len(msgspec.json.encode(value)) <= value_bytes for value in values)
        count = sum(map(len, self.groups)) + len(group) + len(stops) + 1
        # half of what the protocol allows for a transaction, as for other records
        size = sum(len(msgspec.json.encode(value)) for value in self.puts.values())
        return values_fit and count <= most and size <= constants.MAX_BODY // 2


class Ledger:
    """All claims, what was spent of budgets, and how often jobs were preempted; what of it is to be written."""

    def __init__(self) -> None:
        """Begin empty, until ``apply`` brings what the store has."""
        self.entries: dict[str, ClaimEntry] = {}  # machine -> its claim in the store
        self.stops: dict[str, tuple[JobPreemptions, int]] = {}  # job -> its stops, and their revision
        self.spent, self.spent_revision = PreemptionsSpent(), 0
        self.planned: list[ClaimGroup] = []
        self.dropping: dict[str, int] = {}  # machine -> revision of the claim that is to go
        self.forgetting: dict[str, int] = {}  # job that is over -> revision of its record
        self.sent: ClaimTransaction | None = None
        self.doubt: ClaimTransaction | None = None  # without an answer: it may yet be carried out

    # -- questions ---------------------------------------------------------

    def claim_of(self, machine: str) -> PreemptionClaim | None:
        """Return the machine's claim in the store."""
        entry = self.entries.get(machine)
        return entry.claim if entry is not None else None

    def all(self) -> Mapping[str, PreemptionClaim]:
        """Return the claims in the store by machine."""
        return {machine: entry.claim for machine, entry in self.entries.items()}

    def stops_of(self, job: str, index: int) -> int:
        """Return how often claims have preempted the task."""
        known = self.stops.get(job)
        return known[0].tasks.get(index, 0) if known is not None else 0

    def stopped_since(self, job: str, wall: float) -> float:
        """Seconds since a task of the job was first stopped by a claim; 0: none ever was."""
        known = self.stops.get(job)
        return max(1e-9, wall - known[0].first) if known is not None else 0.0

    @property
    def busy(self) -> bool:
        """Whether claims are on their way, so that no others may be planned."""
        return bool(self.planned) or self.sent is not None or self.doubt is not None

    @property
    def idle(self) -> bool:
        """Whether there is nothing to write."""
        return self.sent is not None or not (self.planned or self.dropping or self.forgetting or self.doubt)

    # -- facts of the store ------------------------------------------------

    def clear(self, revision: float = math.inf) -> None:
        """All is read anew, as it was at ``revision``: what went unseen until then must not stay.

        But what was stored since then is, and what is on its way or in doubt is so still, unless a newer view is among
        what is read: planned without either, jobs that were stopped asked for others' room.
        """
        self.entries = {machine: entry for machine, entry in self.entries.items() if entry.revision > revision}
        self.stops = {job: known for job, known in self.stops.items() if known[1] > revision}
        if self.spent_revision <= revision:
            self.spent, self.spent_revision = PreemptionsSpent(), 0
        self.planned, self.dropping, self.forgetting = [], {}, {}

    def enter(self) -> None:
        """A new view: what was on its way under the older one is in the replica by now, or never will be."""
        self.planned, self.dropping, self.forgetting, self.sent, self.doubt = [], {}, {}, None, None
        for entry in self.entries.values():
            entry.state = ClaimState.HELD

    def apply(self, key: str, data: bytes | msgspec.Raw | None, revision: int, now: float = 0.0) -> None:
        """One change of a key of claims, from the replica; ``data`` None: it went."""
        if key == BUDGETS:
            if revision > self.spent_revision:
                self.spent = PreemptionsSpent() if data is None else _spent.decode(data)
                self.spent_revision = revision
        elif key.startswith(STOPS):
            self._apply_stops(key[len(STOPS) :], data, revision)
        elif key.startswith(CLAIMS):
            self._apply_claim(key[len(CLAIMS) :], data, revision)

    def _apply_stops(self, job: str, data: bytes | msgspec.Raw | None, revision: int) -> None:
        known = self.stops.get(job)
        if known is not None and revision <= known[1]:
            return
        self.forgetting.pop(job, None)
        if data is None:
            self.stops.pop(job, None)
        else:
            self.stops[job] = (_stops.decode(data), revision)

    def _apply_claim(self, machine: str, data: bytes | msgspec.Raw | None, revision: int) -> None:
        known = self.entries.get(machine)
        if known is not None and revision <= known.revision:
            return
        if data is None:
            self.entries.pop(machine, None)
            self.dropping.pop(machine, None)
        else:
            self._hold(machine, _claim.decode(data), revision)

    # -- changes of state, one function each --------------------------------

    def plan(self, groups: list[ClaimGroup]) -> None:
        """The leader has chosen; claims of a group are stored together or not at all."""
        assert not self.busy
        self.planned = list(groups)

    def _hold(self, machine: str, claim: PreemptionClaim, revision: int) -> None:
        self.entries[machine] = ClaimEntry(claim, revision)
        self.dropping.pop(machine, None)

    def drop(self, machine: str, cause: str) -> None:
        """The leader wants the record gone."""
        entry = self.entries.get(machine)
        if entry is not None and entry.state is not ClaimState.DROPPED:
            entry.state = ClaimState.DROPPED
            self.dropping[machine] = entry.revision
            log.info("claim=%s state=dropped cause=%s for=%s", machine, cause, entry.claim.job)

    def forget(self, job: str) -> None:
        """The job is over: nobody asks any more how often it was stopped."""
        if job in self.stops:
            self.forgetting[job] = self.stops[job][1]

    # -- writing -------------------------------------------------------------

    def due(self, wall: float, most: int, value_bytes: int) -> ClaimTransaction | None:
        """The next change, of at most ``most`` puts and drops; None: nothing is due, or one is under way."""
        if self.sent is not None:
            return None
        if self.doubt is not None and self.doubt.conditions[BUDGETS] != self.spent_revision:
            self.doubt = None  # carried out, or never to be
        tx = ClaimTransaction()
        if self.doubt is not None:
            tx.conditions[BUDGETS], tx.puts[BUDGETS] = self.spent_revision, self.spent
        elif self.dropping or self.forgetting:
            keys = [(CLAIMS + machine, revision) for machine, revision in self.dropping.items()]
            keys += [(STOPS + job, revision) for job, revision in self.forgetting.items()]
            tx.conditions = dict(keys[:most])
            tx.drops = list(tx.conditions)
        else:
            self._add_claims(tx, wall, most, value_bytes)
        if not tx.puts and not tx.drops:
            return None
        self.sent = tx
        return tx

    def _add_claims(self, tx: ClaimTransaction, wall: float, most: int, value_bytes: int) -> None:
        """Add as many planned groups as one transaction takes; one that no transaction takes is given up."""
        spent = self.spent
        stops: dict[str, JobPreemptions] = {}
        while self.planned:
            group = self.planned[0]
            more_spent, more_stops = _with_group(group, spent, stops, self.stops, wall)
            if not tx.takes(group, more_spent, more_stops, most, value_bytes):
                if tx.groups:
                    break
                log.info("claim=%s state=dropped cause=takes more than one transaction", min(group))
                self.planned.pop(0)
                continue
            self.planned.pop(0)
            tx.groups.append(group)
            spent, stops = more_spent, more_stops
            tx.puts |= {CLAIMS + machine: claim for machine, claim in group.items()}
            tx.conditions |= dict.fromkeys((CLAIMS + machine for machine in group), 0)
        if tx.groups:
            tx.puts[BUDGETS], tx.conditions[BUDGETS] = spent, self.spent_revision
            for job, stopped in stops.items():
                tx.puts[STOPS + job] = stopped
                tx.conditions[STOPS + job] = self.stops[job][1] if job in self.stops else 0

    def done(self, tx: ClaimTransaction, revision: int, now: float = 0.0) -> None:
        """The store holds it; the replica may have said so before.

        One that a newer view has overtaken is left to the replica: what it made may be gone again.
        """
        if self.sent is not tx:
            return
        self.sent = None
        for key, value in tx.puts.items():
            self.apply(key, msgspec.json.encode(value), revision, now)
        for key in tx.drops:
            self.apply(key, None, revision, now)
        for group in tx.groups:
            for machine, claim in group.items():
                log.info(
                    "claim=%s state=held reason=%s for=%s team=%s tasks=%d stops=%s",
                    machine,
                    claim.reason,
                    claim.job,
                    claim.team,
                    claim.count,
                    ",".join(f"{job}/{index}" for job, index, _ in claim.victims),
                )

    def failed(self, tx: ClaimTransaction, now: float = 0.0) -> None:
        """In conflict, refused or without an answer: it may yet be carried out, and is not sent again."""
        if self.sent is not tx:
            return
        self.sent, self.planned = None, []
        if BUDGETS in tx.conditions:
            self.doubt = tx


def _with_group(
    group: ClaimGroup,
    spent: PreemptionsSpent,
    stops: Mapping[str, JobPreemptions],
    stored: Mapping[str, tuple[JobPreemptions, int]],
    wall: float,
) -> tuple[PreemptionsSpent, dict[str, JobPreemptions]]:
    """Return the budgets and the jobs' records with the preemptions of one more group.

    ``stops``: records that the transaction has already; ``stored``: those of the store. ``wall``: time of day, in s.
    """
    result = dict(stops)
    for claim in group.values():
        spent = spent.spend(budget_key(claim.team, claim.reason), len(claim.victims), claim.at)
        for job, index, _ in claim.victims:
            known = result.get(job) or (stored[job][0] if job in stored else JobPreemptions({}, wall))
            tasks = known.tasks | {index: known.tasks.get(index, 0) + 1}
            result[job] = JobPreemptions(tasks, known.first)
    return spent, result
