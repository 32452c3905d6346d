"""What the store's changes mean for this controller. Pure."""

from __future__ import annotations

import logging
from collections.abc import Iterable

from alderbridge.controller.calendar_control import CalendarControl
from alderbridge.controller.dependency_tracker import DependencyTracker
from alderbridge.controller.job_directory import JobDirectory
from alderbridge.controller.machine_types import MachineTypeRegistry
from alderbridge.controller.state import ControllerState
from alderbridge.controller.submissions import Submissions
from alderbridge.controller.view_entry import ViewEntry
from alderbridge.jobs.record import JobState, Record
from alderbridge.machines.shard import MachineShard
from alderbridge.protocol import wire
from alderbridge.protocol.keys import JOBS, LISTS, MACHINES
from alderbridge.state.replica import Replica

log = logging.getLogger("core")


class StoreFollower:
    """Applies rows and changes to the replica, and has their consequences drawn."""

    def __init__(
        self,
        state: ControllerState,
        replica: Replica,
        machine_shard: MachineShard,
        machine_types: MachineTypeRegistry,
        directory: JobDirectory,
        dependencies: DependencyTracker,
        submissions: Submissions,
        calendars: CalendarControl,
        view_entry: ViewEntry,
    ) -> None:
        """The replica, and who is told what has changed in it."""
        self.state = state
        self.membership = state.membership
        self.replica = replica
        self.declared = replica.declared
        self.machine_shard = machine_shard
        self.machine_types = machine_types
        self.directory = directory
        self.dependencies = dependencies
        self.submissions = submissions
        self.calendars = calendars
        self.view_entry = view_entry

    def apply_events(self, changes: list[wire.WatchEvent], now: float, wall: float) -> None:
        """Apply changes of the store, in order; ``now``: steady clock, ``wall``: time of day, in seconds."""
        self.state.now, self.state.wall_offset_s = now, wall - now
        recorded: list[str] = []
        for change in changes:
            if self.replica.apply(change):
                self.view_entry.enter(now, wall)
            elif change.put is not None and change.put.startswith(JOBS):
                self.submissions.adopt_late_record(change.put[len(JOBS) :])
            elif change.put is not None and change.put.startswith(MACHINES):
                recorded.append(change.put[len(MACHINES) :])
        self._observe_recorded_machines(recorded)
        self.dependencies.process_events()
        self._process_configuration()

    def load(
        self, rows: list[wire.KeyValue], changes: list[wire.WatchEvent], revision: int, now: float, wall: float
    ) -> None:
        """Load all rows, whose pages may be of different store revisions, and the changes that followed the first page.

        Nothing is built on the rows before the changes have caught up with them.
        """
        self.state.now, self.state.wall_offset_s = now, wall - now
        newer = False
        self.view_entry.entered_lease_id = 0  # views may have passed unseen: nothing known under them holds any more
        self.replica.machines, self.replica.records = {}, {}
        self.membership.registered.clear()
        self.declared.reload()
        self.replica.ledger.clear(revision)
        for row in sorted(rows, key=lambda row: not row.key.startswith(LISTS)):  # before the records that name them
            newer = self.replica.apply(wire.WatchEvent(put=row.key, data=row.data, revision=row.revision)) or newer
        for change in changes:
            newer = self.replica.apply(change) or newer
        self.replica.revision = revision
        if newer:
            self.view_entry.enter(now, wall)
        # Read anew after trouble with following: what was carried out late meanwhile is among the rows, no change.
        for name in list(self.replica.active):
            self.submissions.adopt_late_record(name)
        self._observe_recorded_machines(self.replica.machines)
        self.dependencies.process_events()
        self._process_configuration()
        if not self.machine_shard.capacity.types:
            self.machine_types.update(self.replica.types)
        self.state.loaded = True
        log.info("replica state=loaded revision=%d jobs=%d", revision, len(self.replica.active))

    def observe_end(self, name: str, record: Record, revision: int) -> None:
        """A record that was read from the store ahead of the changes that bring it: an end is one under every view.

        Of an active one nothing is taken. It may be written under a newer view than the next that arrives here; by
        that one this member may own the jobs that the label accepted. It then answered for it, and could have started
        it, beside its owner (docs/incidents/read-ahead.md).
        """
        if record.state is not JobState.ACTIVE and not self.directory.knows_job(name):
            self.replica.observe_job(name, Record(record.state, done_at=record.done_at), revision)
            self.dependencies.process_events()

    def _observe_recorded_machines(self, names: Iterable[str]) -> None:
        """Records of machines that have arrived, some of them gone again."""
        for name in names:
            if name in self.replica.machines and self.membership.machine_owner(name) == self.state.me:
                self.machine_shard.records.on_observed(name)

    def _process_configuration(self) -> None:
        """Operator configuration has arrived, or something in the store that counts can't be read here."""
        if self.declared.changed:
            self.declared.refresh(self.state.now)
        if self.declared.unreadable:
            self.membership.mark_unreadable()
        self.calendars.refresh()
