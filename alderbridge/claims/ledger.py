"""Stored preemption claims, and the transactions that change them. Does no I/O; each member has one ledger.

States of a claim:

* PLANNED: selected by the leader; its transaction is not sent yet or is in flight.
* HELD: in the store; the machine's shard preempts the victims and reserves the capacity for the job.
* CLEARED: held, and a report under this fencing token lists none of the victims.
* DROPPED: the leader has requested deletion of the record, or it is no longer in the store.

At most one transaction is in flight. A transaction without an answer may still commit later. It is conditional on the
revision of the budgets' record, so that record is rewritten before anything new is planned. The controller adds a
condition on the view to each transaction.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

import msgspec

from alderbridge import constants
from alderbridge.claims.records import ClaimGroup, JobPreemptions, PreemptionClaim, PreemptionUsage, budget_key
from alderbridge.protocol.keys import CLAIMS, JOB_PREEMPTIONS, PREEMPTION_BUDGETS

log = logging.getLogger("preemption")
_claim_decoder = msgspec.json.Decoder(PreemptionClaim)
_spent_decoder = msgspec.json.Decoder(PreemptionUsage)
_stops_decoder = msgspec.json.Decoder(JobPreemptions)


class ClaimState(str, Enum):
    """State of a claim; described in the docstring of this module."""

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
        """Record that a report under this fencing token lists none of the victims."""
        if self.state is ClaimState.HELD:
            self.state = ClaimState.CLEARED


@dataclass
class ClaimTransaction:
    """One compare-and-swap on the store; ``groups`` are the claims that it creates."""

    conditions: dict[str, int] = field(default_factory=dict)
    puts: dict[str, object] = field(default_factory=dict)
    drops: list[str] = field(default_factory=list)
    groups: list[ClaimGroup] = field(default_factory=list)

    def can_add(
        self,
        group: ClaimGroup,
        spent: PreemptionUsage,
        stops: Mapping[str, JobPreemptions],
        max_changes: int,
        value_bytes: int,
    ) -> bool:
        """Whether the transaction can hold one more group along with the updated records of budgets and jobs.

        ``max_changes``: limit of changes in a transaction. ``value_bytes``: maximum size of one value.
        """
        values = [*group.values(), *stops.values(), spent]
        values_fit = all(len(msgspec.json.encode(value)) <= value_bytes for value in values)
        count = sum(map(len, self.groups)) + len(group) + len(stops) + 1
        # At most half of the protocol's limit on a transaction.
        size = sum(len(msgspec.json.encode(value)) for value in self.puts.values())
        return values_fit and count <= max_changes and size <= constants.MAX_BODY_BYTES // 2


class Ledger:
    """Stored claims, usage of budgets and preemptions by job, with the changes that are still to be written."""

    def __init__(self) -> None:
        """Create an empty ledger; ``apply`` fills it from the store."""
        self.entries: dict[str, ClaimEntry] = {}  # machine -> its stored claim
        self.preemptions: dict[str, tuple[JobPreemptions, int]] = {}  # job -> its preemptions, revision of the record
        self.usage, self.usage_revision = PreemptionUsage(), 0
        self.planned_groups: list[ClaimGroup] = []
        self.dropping: dict[str, int] = {}  # machine -> revision of the claim to delete
        self.ended_jobs: dict[str, int] = {}  # ended job -> revision of its record, which is to be deleted
        self.in_flight: ClaimTransaction | None = None
        self.unconfirmed: ClaimTransaction | None = None  # without an answer: it may still commit

    def claim_of(self, machine: str) -> PreemptionClaim | None:
        """Return the machine's stored claim."""
        entry = self.entries.get(machine)
        return entry.claim if entry is not None else None

    def claims(self) -> Mapping[str, PreemptionClaim]:
        """Return the stored claims by machine."""
        return {machine: entry.claim for machine, entry in self.entries.items()}

    def preemption_count(self, job: str, index: int) -> int:
        """Return how often the task was preempted."""
        record = self.preemptions.get(job)
        return record[0].preemptions_by_index.get(index, 0) if record is not None else 0

    def seconds_since_first_preemption(self, job: str, wall: float) -> float:
        """Return the seconds since a task of the job was first preempted; 0: none was."""
        record = self.preemptions.get(job)
        return max(1e-9, wall - record[0].first_preempted_at) if record is not None else 0.0

    @property
    def busy(self) -> bool:
        """Whether claims are being written, so that no others may be planned."""
        return bool(self.planned_groups) or self.in_flight is not None or self.unconfirmed is not None

    @property
    def nothing_to_send(self) -> bool:
        """Whether no transaction can be sent now: there is nothing to write, or one is in flight."""
        return self.in_flight is not None or not (
            self.planned_groups or self.dropping or self.ended_jobs or self.unconfirmed
        )

    def discard_up_to(self, revision: float = math.inf) -> None:
        """Discard what was stored up to ``revision``, before the store is read again as it was at that revision.

        Records with a newer revision stay, and so do transactions in flight or unconfirmed: without them, jobs that
        were preempted could preempt others. A newer view resets the transactions (``enter_view``).
        """
        self.entries = {machine: entry for machine, entry in self.entries.items() if entry.revision > revision}
        self.preemptions = {job: record for job, record in self.preemptions.items() if record[1] > revision}
        if self.usage_revision <= revision:
            self.usage, self.usage_revision = PreemptionUsage(), 0
        self.planned_groups, self.dropping, self.ended_jobs = [], {}, {}

    def enter_view(self) -> None:
        """Enter a new view: a transaction of the previous one is either already in the replica or can't commit."""
        self.planned_groups, self.dropping, self.ended_jobs, self.in_flight, self.unconfirmed = [], {}, {}, None, None
        for entry in self.entries.values():
            entry.state = ClaimState.HELD

    def apply(self, key: str, data: bytes | msgspec.Raw | None, revision: int, now: float = 0.0) -> None:
        """Apply one change from the replica; other keys are ignored. ``data`` None: the key was deleted."""
        if key == PREEMPTION_BUDGETS:
            if revision > self.usage_revision:
                self.usage = PreemptionUsage() if data is None else _spent_decoder.decode(data)
                self.usage_revision = revision
        elif key.startswith(JOB_PREEMPTIONS):
            self._apply_stops(key[len(JOB_PREEMPTIONS) :], data, revision)
        elif key.startswith(CLAIMS):
            self._apply_claim(key[len(CLAIMS) :], data, revision)

    def _apply_stops(self, job: str, data: bytes | msgspec.Raw | None, revision: int) -> None:
        existing = self.preemptions.get(job)
        if existing is not None and revision <= existing[1]:
            return
        self.ended_jobs.pop(job, None)
        if data is None:
            self.preemptions.pop(job, None)
        else:
            self.preemptions[job] = (_stops_decoder.decode(data), revision)

    def _apply_claim(self, machine: str, data: bytes | msgspec.Raw | None, revision: int) -> None:
        existing = self.entries.get(machine)
        if existing is not None and revision <= existing.revision:
            return
        if data is None:
            self.entries.pop(machine, None)
            self.dropping.pop(machine, None)
        else:
            self._hold(machine, _claim_decoder.decode(data), revision)

    def plan(self, groups: list[ClaimGroup]) -> None:
        """Queue the claims that the leader selected; those of a group are stored together or not at all."""
        assert not self.busy
        self.planned_groups = list(groups)

    def _hold(self, machine: str, claim: PreemptionClaim, revision: int) -> None:
        self.entries[machine] = ClaimEntry(claim, revision)
        self.dropping.pop(machine, None)

    def drop(self, machine: str, cause: str) -> None:
        """Request deletion of the machine's claim."""
        entry = self.entries.get(machine)
        if entry is not None and entry.state is not ClaimState.DROPPED:
            entry.state = ClaimState.DROPPED
            self.dropping[machine] = entry.revision
            log.info("claim=%s state=dropped cause=%s for=%s", machine, cause, entry.claim.job)

    def forget(self, job: str) -> None:
        """Request deletion of the ended job's record of preemptions."""
        if job in self.preemptions:
            self.ended_jobs[job] = self.preemptions[job][1]

    def next_transaction(self, wall: float, max_changes: int, value_bytes: int) -> ClaimTransaction | None:
        """Return the next transaction, of at most ``max_changes`` puts and drops, and mark it as in flight.

        Returns None if there is nothing to write or one is in flight already.
        """
        if self.in_flight is not None:
            return None
        if self.unconfirmed is not None and self.unconfirmed.conditions[PREEMPTION_BUDGETS] != self.usage_revision:
            self.unconfirmed = None  # it has committed, or its condition can't hold any more
        tx = ClaimTransaction()
        if self.unconfirmed is not None:
            tx.conditions[PREEMPTION_BUDGETS], tx.puts[PREEMPTION_BUDGETS] = self.usage_revision, self.usage
        elif self.dropping or self.ended_jobs:
            keys = [(CLAIMS + machine, revision) for machine, revision in self.dropping.items()]
            keys += [(JOB_PREEMPTIONS + job, revision) for job, revision in self.ended_jobs.items()]
            tx.conditions = dict(keys[:max_changes])
            tx.drops = list(tx.conditions)
        else:
            self._add_claims(tx, wall, max_changes, value_bytes)
        if not tx.puts and not tx.drops:
            return None
        self.in_flight = tx
        return tx

    def _add_claims(self, tx: ClaimTransaction, wall: float, max_changes: int, value_bytes: int) -> None:
        """Add as many planned groups as fit; a group too large for any transaction is discarded."""
        spent = self.usage
        stops: dict[str, JobPreemptions] = {}
        while self.planned_groups:
            group = self.planned_groups[0]
            new_spent, new_stops = _with_group(group, spent, stops, self.preemptions, wall)
            if not tx.can_add(group, new_spent, new_stops, max_changes, value_bytes):
                if tx.groups:
                    break
                log.info("claim=%s state=dropped cause=takes more than one transaction", min(group))
                self.planned_groups.pop(0)
                continue
            self.planned_groups.pop(0)
            tx.groups.append(group)
            spent, stops = new_spent, new_stops
            tx.puts |= {CLAIMS + machine: claim for machine, claim in group.items()}
            tx.conditions |= dict.fromkeys((CLAIMS + machine for machine in group), 0)
        if tx.groups:
            tx.puts[PREEMPTION_BUDGETS], tx.conditions[PREEMPTION_BUDGETS] = spent, self.usage_revision
            for job, stopped in stops.items():
                tx.puts[JOB_PREEMPTIONS + job] = stopped
                tx.conditions[JOB_PREEMPTIONS + job] = self.preemptions[job][1] if job in self.preemptions else 0

    def mark_committed(self, tx: ClaimTransaction, revision: int, now: float = 0.0) -> None:
        """Apply a transaction that has committed; the replica may already have applied it.

        A transaction of an earlier view is ignored: its claims may already be deleted, and the replica has the result.
        """
        if self.in_flight is not tx:
            return
        self.in_flight = None
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

    def mark_unconfirmed(self, tx: ClaimTransaction, now: float = 0.0) -> None:
        """Handle a conflict, a refusal or a missing answer: the transaction may still commit and is not resent."""
        if self.in_flight is not tx:
            return
        self.in_flight, self.planned_groups = None, []
        if PREEMPTION_BUDGETS in tx.conditions:
            self.unconfirmed = tx


def _with_group(
    group: ClaimGroup,
    spent: PreemptionUsage,
    stops: Mapping[str, JobPreemptions],
    stored: Mapping[str, tuple[JobPreemptions, int]],
    wall: float,
) -> tuple[PreemptionUsage, dict[str, JobPreemptions]]:
    """Return the records of budgets and jobs with the preemptions of one more group added.

    ``stops``: job records already in the transaction; ``stored``: those in the store. ``wall``: Unix time in s.
    """
    result = dict(stops)
    for claim in group.values():
        spent = spent.add(budget_key(claim.team, claim.reason), len(claim.victims), claim.planned_at)
        for job, index, _ in claim.victims:
            existing = result.get(job) or (stored[job][0] if job in stored else JobPreemptions({}, wall))
            tasks = existing.preemptions_by_index | {index: existing.preemptions_by_index.get(index, 0) + 1}
            result[job] = JobPreemptions(tasks, existing.first_preempted_at)
    return spent, result
