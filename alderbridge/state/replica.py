"""This controller's replica of the store, updated by a watch in order of revision.

Each write asserts the view. So when a new view arrives here, all records written under the older one have arrived, and
none can follow.
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
    CLAIMS,
    CONFIGURATIONS,
    DEPENDENCY_LISTS,
    JOB_PREEMPTIONS,
    JOBS,
    MACHINE_TYPES,
    MACHINES,
    MEMBERS,
    PREEMPTION_BUDGETS,
    VIEW,
    dependency_list_keys,
    prefix_of,
)
from alderbridge.protocol.store import MachineRecord, WatchEvent
from alderbridge.state.errors import UnreadableRecordError

log = logging.getLogger("replica")

_T = TypeVar("_T")
_Handler = Callable[[str, msgspec.Raw | None, int], None]  # key, value (None: deleted), revision

_record_decoder = msgspec.json.Decoder(Record)
_view_decoder = msgspec.json.Decoder(View)
_member_record_decoder = msgspec.json.Decoder(MemberRecord)
_machine_types_decoder = msgspec.json.Decoder(MachineTypes)
_machine_record_decoder = msgspec.json.Decoder(MachineRecord)
_list_decoder = msgspec.json.Decoder(list[str])


def decode_or_none(decoder: msgspec.json.Decoder[_T], key: str, data: msgspec.Raw) -> _T | None:
    """The record under ``key``; None, with a log line, if this version can't decode it."""
    try:
        return decoder.decode(data)
    except msgspec.DecodeError as error:
        log.error("record key=%s state=unreadable cause=%s", key, error)
        return None


def decode_strictly(decoder: msgspec.json.Decoder[_T], key: str, data: msgspec.Raw) -> _T:
    """The record under ``key``, of a kind that decides who may act. Raises ``UnreadableRecordError``."""
    try:
        return decoder.decode(data)
    except msgspec.DecodeError as error:
        raise UnreadableRecordError(f"{key}: {error}") from error


class Replica:
    """The store's contents up to ``revision``, and the state derived from them.

    Times are times of day in s, as in the records.
    """

    def __init__(self, membership: Membership, graph: Graph, declared: OperatorConfiguration | None = None) -> None:
        """An empty replica, which passes changes of views, dependencies and configuration on to these three."""
        self.membership = membership
        self.graph = graph
        self.declared = declared or OperatorConfiguration(None, membership.store_lease.ttl_s, [membership.me])
        self.ledger = Ledger()  # preemption claims, budgets and preemptions
        self.active_jobs: dict[
            str, tuple[Record, int]
        ] = {}  # job -> record and revision, of jobs that still have a spec
        self.remaining_tasks: dict[str, int] = {}  # of these, the number of tasks not recorded as done
        self.jobs_by_submission: list[tuple[float, str]] = []  # submission time and job, ascending; includes ended jobs
        self.unreadable_jobs: set[str] = set()  # jobs whose records this version can't decode
        self.ended: dict[str, JobState] = {}  # all ended jobs; kept until the process ends
        self.done_at: dict[str, float] = {}  # of jobs whose record has that time
        self.dependency_lists: dict[str, list[str]] = {}  # key -> dependencies of a job that its record does not hold
        self.machine_revisions: dict[str, int] = {}  # machine -> revision of its record
        self.machine_records: dict[str, MachineRecord] = {}  # machine -> its record
        self.machine_types: dict[str, MachineType] = {}  # as last listed by the cloud, which may be unreachable now
        self.types_revision = 0
        self.revision = 0
        self._handlers: dict[str, _Handler] = {
            MACHINE_TYPES: self._apply_types,
            MEMBERS: self._apply_member,
            JOBS: self._apply_job,
            DEPENDENCY_LISTS: self._apply_list,
            MACHINES: self._apply_machine,
            CLAIMS: self._apply_preemption,
            JOB_PREEMPTIONS: self._apply_preemption,
            PREEMPTION_BUDGETS: self._apply_preemption,
            CONFIGURATIONS: self._apply_configuration,
        }

    def apply(self, change: WatchEvent) -> bool:
        """Apply one change; true if it was a newer view. Ignores keys with the unknown prefix of a later version."""
        key, data = change.key, change.data if change.put is not None else None
        if key == VIEW:
            return data is not None and self.membership.observe_view(
                decode_strictly(_view_decoder, key, data), change.revision
            )
        handler = self._handlers.get(prefix_of(key))
        if handler is not None:
            handler(key, data, change.revision)
        return False

    def _apply_types(self, _key: str, data: msgspec.Raw | None, revision: int) -> None:
        types = None if data is None else decode_or_none(_machine_types_decoder, MACHINE_TYPES, data)
        if types is not None:
            self.machine_types = {kind.name: kind for kind in types.types}
            self.types_revision = revision

    def _apply_member(self, key: str, data: msgspec.Raw | None, revision: int) -> None:
        member = None if data is None else decode_strictly(_member_record_decoder, key, data)
        self.membership.observe_member(key[len(MEMBERS) :], member, revision)

    def _apply_job(self, key: str, data: msgspec.Raw | None, revision: int) -> None:
        if data is None:
            return
        job = key[len(JOBS) :]
        current = self.active_jobs.get(job)
        if current is None or revision > current[1]:  # else this controller's own write was already applied
            record = decode_or_none(_record_decoder, key, data)
            if record is None:
                self.unreadable_jobs.add(job)
            else:
                self.unreadable_jobs.discard(job)
                self.observe_job(job, record, revision)

    def _apply_list(self, key: str, data: msgspec.Raw | None, _revision: int) -> None:
        names = None if data is None else decode_or_none(_list_decoder, key, data)
        if names is None:
            self.dependency_lists.pop(key, None)
        else:
            self.dependency_lists[key] = names

    def _apply_machine(self, key: str, data: msgspec.Raw | None, revision: int) -> None:
        name = key[len(MACHINES) :]
        if data is not None:
            # Also if it can't be decoded: views must wait for the machine.
            self.machine_records[name] = decode_or_none(_machine_record_decoder, key, data) or MachineRecord()
            self.machine_revisions[name] = max(revision, self.machine_revisions.get(name, 0))
        elif self.machine_revisions.get(name, 0) < revision:
            self.machine_revisions.pop(name, None)
            self.machine_records.pop(name, None)

    def _apply_preemption(self, key: str, data: msgspec.Raw | None, revision: int) -> None:
        self.ledger.apply(key, data, revision)

    def _apply_configuration(self, key: str, data: msgspec.Raw | None, revision: int) -> None:
        self.declared.apply(key, None if data is None else bytes(data), revision)

    def observe_job(self, job: str, record: Record, revision: int) -> None:
        """Apply a job's record as of that revision; ignored unless it is newer than the current one."""
        current = self.active_jobs.get(job)
        if current is not None and revision <= current[1]:
            return
        if job not in self.ended:
            if record.state is not JobState.ACTIVE:
                self._observe_end(job, record)
            elif record.spec is not None and (record.spec.dependencies or record.dependency_digest):
                self.graph.add(record.spec, record.submitted_at, self.needs(job, record), self.final_state)
        if record.spec is None:
            self.active_jobs.pop(job, None)
            self.remaining_tasks.pop(job, None)
        elif job not in self.ended or record.state is not JobState.ACTIVE:
            if current is None:
                bisect.insort(self.jobs_by_submission, (record.submitted_at, job))
            self.active_jobs[job] = (record, revision)
            self.remaining_tasks[job] = record.spec.tasks - record.done_count

    def _observe_end(self, job: str, record: Record) -> None:
        self.ended[job] = record.state
        if record.state is not JobState.DONE:
            self.graph.aborted(job)
            return
        if record.done_at:
            self.done_at[job] = record.done_at
        self.graph.done(job, record.done_at)

    def oldest_first(self) -> list[tuple[float, str]]:
        """Active jobs in order of submission; ended ones may be among them."""
        if len(self.jobs_by_submission) > len(self.active_jobs) * 5 // 4 + constants.MAX_QUEUE_ROWS // 10:
            self.jobs_by_submission = [entry for entry in self.jobs_by_submission if entry[1] in self.active_jobs]
        return self.jobs_by_submission

    def has_dependency_lists(self, job: str, record: Record) -> bool:
        """Whether all dependency lists that the record refers to are here."""
        return all(key in self.dependency_lists for key in dependency_list_keys(job, record.dependency_digest))

    def needs(self, job: str, record: Record) -> list[str]:
        """All dependencies of a job, from its record and its dependency lists."""
        result = list(record.spec.dependencies or ()) if record.spec is not None else []
        for key in dependency_list_keys(job, record.dependency_digest):
            # A list is written before the record that refers to it, and deleted after a record that no longer does: at
            # any one revision it exists. If it is missing here or can't be decoded, its key stands in for its
            # dependencies: no job has that name, so it is a dependency that is not met.
            if key not in self.dependency_lists:
                log.warning("job=%s state=waiting cause=a list of its dependencies was not read list=%s", job, key)
            result += self.dependency_lists.get(key, [key])
        return result

    def final_state(self, job: str) -> tuple[str, float] | None:
        """The final state of a job and the time at which it was done (0: not recorded); None: it has not ended."""
        state = self.ended.get(job)
        return (state.value, self.done_at.get(job, 0.0)) if state is not None else None

    def machine_record(self, machine: str) -> MachineRecord:
        """The record of a machine; an empty one if the store has none."""
        return self.machine_records.get(machine, MachineRecord())

    def spec(self, job: str) -> JobSpec | None:
        """The submitted spec of a job; None if it no longer has one."""
        current = self.active_jobs.get(job)
        return current[0].spec if current is not None else None

    def accepted_by(self, job: str) -> str:
        """The label of the controller that accepted a job; "" for a job without a spec."""
        current = self.active_jobs.get(job)
        return current[0].accepted_by if current else ""
