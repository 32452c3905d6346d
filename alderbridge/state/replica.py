"""This controller's copy of the store, kept by following it in order of epoch.

When the change of the view arrives here, every record written under the older
view has arrived before it, and none can follow: each write asserts the view.
"""

from __future__ import annotations

import bisect

import msgspec

from alderbridge import constants
from alderbridge.configuration import OperatorConfiguration
from alderbridge.jobs.dependencies import Graph
from alderbridge.jobs.shard import JobState, Record
from alderbridge.membership.view import MemberRecord, Membership, View
from alderbridge.preemption import Ledger
from alderbridge.protocol.wire import JobSpec, MachineRecord, MachineType, MachineTypes, WatchEvent
from alderbridge.state.store import BUDGETS, CLAIMS, DECLARED, JOBS, LISTS, MACHINES, MEMBERS, STOPS, TYPES, VIEW

_record = msgspec.json.Decoder(Record)
_view = msgspec.json.Decoder(View)
_member_record = msgspec.json.Decoder(MemberRecord)
_machine_types = msgspec.json.Decoder(MachineTypes)
_machine = msgspec.json.Decoder(MachineRecord)
_list = msgspec.json.Decoder(list[str])


def list_keys(job: str, dependency_digest: str) -> list[str]:
    """Keys of a job's lists; ``more`` is DIGEST/COUNT, so that what is under a key never changes."""
    digest, _, count = dependency_digest.partition("/")
    return [f"{LISTS}{job}/{digest}/{number}" for number in range(int(count or 0))]


class Replica:
    def __init__(self, membership: Membership, graph: Graph, declared: OperatorConfiguration | None = None) -> None:
        self.membership = membership
        self.graph = graph
        self.declared = declared or OperatorConfiguration(None, membership.store_lease.ttl_s, [membership.me])
        self.ledger = Ledger()  # claims, their budgets and the stops they caused
        self.active: dict[str, tuple[Record, int]] = {}  # jobs that still have a spec, and their stamps
        self.left: dict[str, int] = {}  # of these, tasks that their records do not count as done
        self.by_age: list[tuple[float, str]] = []  # time of day of the submission; some may be over
        self.ended: dict[str, JobState] = {}  # told for ever; one small entry a job
        self.done_at: dict[str, float] = {}  # time of day, where the record says it
        self.lists: dict[str, list[str]] = {}  # key -> what a job waits for, beside its record
        self.machines: dict[str, int] = {}  # recorded machines and their stamps
        self.records: dict[str, MachineRecord] = {}  # of these, what their records say
        self.types: dict[str, MachineType] = {}  # as the cloud last told them: it may be out of reach
        self.types_revision = 0
        self.revision = 0

    def apply(self, change: WatchEvent) -> bool:
        """True if this was a newer view."""
        key, gone = (change.put, False) if change.put is not None else (change.drop or "", True)
        if key == VIEW:
            return not gone and self.membership.observe_view(_view.decode(change.data), change.revision)
        if key == TYPES and not gone:
            self.types = {kind.name: kind for kind in _machine_types.decode(change.data).types}
            self.types_revision = change.revision
        if key.startswith(JOBS) and not gone:
            job = key[len(JOBS) :]
            known = self.active.get(job)
            if known is None or change.revision > known[1]:  # else this node's own write
                self.observe_job(job, _record.decode(change.data), change.revision)
        elif key.startswith(LISTS):
            if gone:
                self.lists.pop(key, None)
            else:
                self.lists[key] = _list.decode(change.data)
        elif key.startswith(MACHINES):
            name = key[len(MACHINES) :]
            if gone:
                if self.machines.get(name, 0) < change.revision:
                    self.machines.pop(name, None)
                    self.records.pop(name, None)
            else:
                self.records[name] = _machine.decode(change.data)
                self.machines[name] = max(change.revision, self.machines.get(name, 0))
        elif key.startswith((CLAIMS, STOPS, BUDGETS)):
            self.ledger.apply(key, None if gone else change.data, change.revision)
        elif key.startswith(MEMBERS):
            member = None if gone else _member_record.decode(change.data)
            self.membership.observe_member(key[len(MEMBERS) :], member, change.revision)
        elif key.startswith(DECLARED):
            self.declared.apply(key, None if gone else bytes(change.data), change.revision)
        return False

    def observe_job(self, job: str, record: Record, revision: int) -> None:
        known = self.active.get(job)
        if known is not None and revision <= known[1]:
            return
        if record.state is not JobState.ACTIVE and job not in self.ended:
            self.ended[job] = record.state
            if record.state is JobState.DONE:
                if record.done_at:
                    self.done_at[job] = record.done_at
                self.graph.done(job, record.done_at)
            else:
                self.graph.aborted(job)
        elif job not in self.ended and record.spec is not None and (record.spec.needs or record.dependency_digest):
            self.graph.add(record.spec, record.at, self.needs(job, record), self.over)
        if record.spec is None:
            self.active.pop(job, None)
            self.left.pop(job, None)
        elif job not in self.ended or record.state is not JobState.ACTIVE:
            if known is None:
                bisect.insort(self.by_age, (record.at, job))
            self.active[job] = (record, revision)
            self.left[job] = record.spec.tasks - sum(high - low for low, high in record.done)

    def oldest_first(self) -> list[tuple[float, str]]:
        """Active jobs by their submission, some that are over among them."""
        if len(self.by_age) > len(self.active) * 5 // 4 + constants.QUEUE_ROWS // 10:
            self.by_age = [entry for entry in self.by_age if entry[1] in self.active]
        return self.by_age

    def needs(self, job: str, record: Record) -> list[str]:
        """All that the job waits for, from its record and the lists beside it."""
        result = list(record.spec.needs or ()) if record.spec is not None else []
        for key in list_keys(job, record.dependency_digest):
            # Written before the record, and dropped after its end: a list that is missing here belongs
            # to an end that has yet to be read. No job has the key's name, so this one waits until then.
            result += self.lists.get(key, [key])
        return result

    def over(self, job: str) -> tuple[str, float] | None:
        state = self.ended.get(job)
        return (state.value, self.done_at.get(job, 0.0)) if state is not None else None

    def record(self, machine: str) -> MachineRecord:
        return self.records.get(machine, MachineRecord())

    def spec(self, job: str) -> JobSpec | None:
        known = self.active.get(job)
        return known[0].spec if known is not None else None

    def accepted_by(self, job: str) -> str:
        known = self.active.get(job)
        return known[0].accepted_by if known else ""
