"""This controller's copy of the store, kept by watching it in order of revision.

When the change of the view arrives here, every record written under the older view has arrived before it, and none
can follow: each write asserts the view.
"""

from __future__ import annotations

import bisect
import logging
from collections.abc import Callable
from typing import TypeVar

import msgspec

from alderbridge import constants
from alderbridge.claims.ledger import Ledger
from alderbridge.configuration import OperatorConfiguration
from alderbridge.jobs.dependencies import Graph
from alderbridge.jobs.record import JobState, Record
from alderbridge.membership.membership import Membership
from alderbridge.membership.records import MemberRecord, View
from alderbridge.protocol.cloud import MachineType, MachineTypes
from alderbridge.protocol.jobs import JobSpec
from alderbridge.protocol.keys import (
    BUDGETS,
    CLAIMS,
    DECLARED,
    JOBS,
    LISTS,
    MACHINES,
    MEMBERS,
    STOPS,
    TYPES,
    VIEW,
    list_keys,
    prefix_of,
)
from alderbridge.protocol.store import MachineRecord, WatchEvent
from alderbridge.state.errors import UnreadableRecordError

log = logging.getLogger("replica")

_T = TypeVar("_T")
_Handler = Callable[[str, msgspec.Raw | None, int], None]  # key, value (None: dropped), revision

_record = msgspec.json.Decoder(Record)
_view = msgspec.json.Decoder(View)
_member_record = msgspec.json.Decoder(MemberRecord)
_machine_types = msgspec.json.Decoder(MachineTypes)
_machine = msgspec.json.Decoder(MachineRecord)
_list = msgspec.json.Decoder(list[str])


def decode_or_none(decoder: msgspec.json.Decoder[_T], key: str, data: msgspec.Raw) -> _T | None:
    """The record under ``key``; None, with a line in the log, where it can't be read here."""
    try:
        return decoder.decode(data)
    except msgspec.DecodeError as error:
        log.error("record key=%s state=unreadable cause=%s", key, error)
        return None


def decode_strictly(decoder: msgspec.json.Decoder[_T], key: str, data: msgspec.Raw) -> _T:
    """The record under ``key``, for those that decide who may act; raises ``UnreadableRecordError``."""
    try:
        return decoder.decode(data)
    except msgspec.DecodeError as error:
        raise UnreadableRecordError(f"{key}: {error}") from error


class Replica:
    """What the store holds, as far as this controller has seen, and what follows from it.

    Times are times of day in s, as the records have them.
    """

    def __init__(self, membership: Membership, graph: Graph, declared: OperatorConfiguration | None = None) -> None:
        """Empty; what changes of the store mean for these three is passed on to them."""
        self.membership = membership
        self.graph = graph
        self.declared = declared or OperatorConfiguration(None, membership.store_lease.ttl_s, [membership.me])
        self.ledger = Ledger()  # preemption claims, their budget and the preemptions
        self.active: dict[str, tuple[Record, int]] = {}  # jobs that still have a spec, and their revisions
        self.left: dict[str, int] = {}  # of these, tasks that their records do not count as done
        self.by_age: list[tuple[float, str]] = []  # submission, job; some may have ended
        self.unreadable_jobs: set[str] = set()  # the store has them, and their records can't be decoded here
        self.ended: dict[str, JobState] = {}  # kept for as long as the process runs; one small entry a job
        self.done_at: dict[str, float] = {}  # where the record says it
        self.lists: dict[str, list[str]] = {}  # key -> dependencies of a job, beside its record
        self.machines: dict[str, int] = {}  # recorded machines and the revisions of their records
        self.records: dict[str, MachineRecord] = {}  # of these, what their records say
        self.types: dict[str, MachineType] = {}  # as the cloud last listed them: it may be out of reach
        self.types_revision = 0
        self.revision = 0
        self._handlers: dict[str, _Handler] = {
            TYPES: self._apply_types,
            MEMBERS: self._apply_member,
            JOBS: self._apply_job,
            LISTS: self._apply_list,
            MACHINES: self._apply_machine,
            CLAIMS: self._apply_preemption,
            STOPS: self._apply_preemption,
            BUDGETS: self._apply_preemption,
            DECLARED: self._apply_configuration,
        }

    # -- changes of the store ----------------------------------------------------

    def apply(self, change: WatchEvent) -> bool:
        """Apply one change; True if this was a newer view. Keys under no known prefix are of a later version."""
        if change.put is not None:
            key, data = change.put, change.data
        else:
            key, data = change.drop or "", None
        if key == VIEW:
            return data is not None and self.membership.observe_view(decode_strictly(_view, key, data), change.revision)
        handler = self._handlers.get(prefix_of(key))
        if handler is not None:
            handler(key, data, change.revision)
        return False

    def _apply_types(self, _key: str, data: msgspec.Raw | None, revision: int) -> None:
        types = None if data is None else decode_or_none(_machine_types, TYPES, data)
        if types is not None:
            self.types = {kind.name: kind for kind in types.types}
            self.types_revision = revision

    def _apply_member(self, key: str, data: msgspec.Raw | None, revision: int) -> None:
        member = None if data is None else decode_strictly(_member_record, key, data)
        self.membership.observe_member(key[len(MEMBERS) :], member, revision)

    def _apply_job(self, key: str, data: msgspec.Raw | None, revision: int) -> None:
        if data is None:
            return
        job = key[len(JOBS) :]
        known = self.active.get(job)
        if known is None or revision > known[1]:  # else it is this controller's own write
            record = decode_or_none(_record, key, data)
            if record is None:
                self.unreadable_jobs.add(job)
            else:
                self.unreadable_jobs.discard(job)
                self.observe_job(job, record, revision)

    def _apply_list(self, key: str, data: msgspec.Raw | None, _revision: int) -> None:
        names = None if data is None else decode_or_none(_list, key, data)
        if names is None:
            self.lists.pop(key, None)
        else:
            self.lists[key] = names

    def _apply_machine(self, key: str, data: msgspec.Raw | None, revision: int) -> None:
        name = key[len(MACHINES) :]
        if data is not None:
            # Whatever it says, views wait for the machine.
            self.records[name] = decode_or_none(_machine, key, data) or MachineRecord()
            self.machines[name] = max(revision, self.machines.get(name, 0))
        elif self.machines.get(name, 0) < revision:
            self.machines.pop(name, None)
            self.records.pop(name, None)

    def _apply_preemption(self, key: str, data: msgspec.Raw | None, revision: int) -> None:
        self.ledger.apply(key, data, revision)

    def _apply_configuration(self, key: str, data: msgspec.Raw | None, revision: int) -> None:
        self.declared.apply(key, None if data is None else bytes(data), revision)

    # -- jobs --------------------------------------------------------------------

    def observe_job(self, job: str, record: Record, revision: int) -> None:
        """A job's record, as of that revision of it; an older one than is known changes nothing."""
        known = self.active.get(job)
        if known is not None and revision <= known[1]:
            return
        if job not in self.ended:
            if record.state is not JobState.ACTIVE:
                self._observe_end(job, record)
            elif record.spec is not None and (record.spec.needs or record.dependency_digest):
                self.graph.add(record.spec, record.at, self.needs(job, record), self.over)
        if record.spec is None:
            self.active.pop(job, None)
            self.left.pop(job, None)
        elif job not in self.ended or record.state is not JobState.ACTIVE:
            if known is None:
                bisect.insort(self.by_age, (record.at, job))
            self.active[job] = (record, revision)
            self.left[job] = record.spec.tasks - sum(high - low for low, high in record.done)

    def _observe_end(self, job: str, record: Record) -> None:
        self.ended[job] = record.state
        if record.state is not JobState.DONE:
            self.graph.aborted(job)
            return
        if record.done_at:
            self.done_at[job] = record.done_at
        self.graph.done(job, record.done_at)

    def oldest_first(self) -> list[tuple[float, str]]:
        """Active jobs by their submission, some that have ended among them."""
        if len(self.by_age) > len(self.active) * 5 // 4 + constants.QUEUE_ROWS // 10:
            self.by_age = [entry for entry in self.by_age if entry[1] in self.active]
        return self.by_age

    def needs(self, job: str, record: Record) -> list[str]:
        """All dependencies of a job, from its record and the lists beside it."""
        result = list(record.spec.needs or ()) if record.spec is not None else []
        for key in list_keys(job, record.dependency_digest):
            # A list is written before the job's record, and dropped after its end: where one is missing, the end
            # has yet to be read. No job has the key's name, so the dependency on it is not fulfilled until then.
            result += self.lists.get(key, [key])
        return result

    def over(self, job: str) -> tuple[str, float] | None:
        """The state in which a job ended and the time it was done at (0: not known); None: it has not ended."""
        state = self.ended.get(job)
        return (state.value, self.done_at.get(job, 0.0)) if state is not None else None

    # -- what its records say ----------------------------------------------------

    def record(self, machine: str) -> MachineRecord:
        """What the store keeps of a machine; of one that it does not have, an empty record."""
        return self.records.get(machine, MachineRecord())

    def spec(self, job: str) -> JobSpec | None:
        """What the user submitted, of a job that still has a spec."""
        known = self.active.get(job)
        return known[0].spec if known is not None else None

    def accepted_by(self, job: str) -> str:
        """The label of the controller that accepted a job; "" of one without a spec."""
        known = self.active.get(job)
        return known[0].accepted_by if known else ""
