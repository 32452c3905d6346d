"""This controller's copy of the store, kept by following it in order of epoch.

When the change of the view arrives here, every record written under the older
view has arrived before it, and none can follow: each write asserts the view.
"""

from __future__ import annotations

import msgspec

from .jobs import JobState, Record
from .store import JOBS, MACHINES, MEMBERS, TYPES, VIEW
from .view import Membership, Presence, View
from .wire import Change, Flavours, JobSpec, MachineType

_record = msgspec.json.Decoder(Record)
_view = msgspec.json.Decoder(View)
_presence = msgspec.json.Decoder(Presence)
_flavours = msgspec.json.Decoder(Flavours)


class Replica:
    def __init__(self, membership: Membership) -> None:
        self.membership = membership
        self.active: dict[str, tuple[Record, int]] = {}  # jobs that still have a spec, and their stamps
        self.ended: dict[str, JobState] = {}  # told for ever; one small entry a job
        self.machines: dict[str, int] = {}  # recorded machines and their stamps
        self.types: dict[str, MachineType] = {}  # as the cloud last told them: it may be out of reach
        self.types_stamp = 0
        self.epoch = 0

    def apply(self, change: Change) -> bool:
        """True if this was a newer view."""
        key, gone = (change.put, False) if change.put is not None else (change.drop or "", True)
        if key == VIEW:
            return not gone and self.membership.saw_view(_view.decode(change.data), change.stamp)
        if key == TYPES and not gone:
            self.types = {kind.name: kind for kind in _flavours.decode(change.data).flavours}
            self.types_stamp = change.stamp
        if key.startswith(JOBS) and not gone:
            self.saw_job(key[len(JOBS):], _record.decode(change.data), change.stamp)
        elif key.startswith(MACHINES):
            name = key[len(MACHINES):]
            if gone:
                if self.machines.get(name, 0) < change.stamp:
                    self.machines.pop(name, None)
            else:
                self.machines[name] = max(change.stamp, self.machines.get(name, 0))
        elif key.startswith(MEMBERS):
            presence = None if gone else _presence.decode(change.data)
            self.membership.saw_presence(key[len(MEMBERS):], presence, change.stamp)
        return False

    def saw_job(self, job: str, record: Record, stamp: int) -> None:
        known = self.active.get(job)
        if known is not None and stamp <= known[1]:
            return
        if record.state is not JobState.ACTIVE:
            self.ended[job] = record.state
        if record.spec is None:
            self.active.pop(job, None)
        elif job not in self.ended or record.state is not JobState.ACTIVE:
            self.active[job] = (record, stamp)

    def spec(self, job: str) -> JobSpec | None:
        known = self.active.get(job)
        return known[0].spec if known else None

    def home_label(self, job: str) -> str:
        known = self.active.get(job)
        return known[0].home if known else ""
