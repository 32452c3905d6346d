"""Applies changes of the store to the replica and to the components that depend on it."""

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
from alderbridge.protocol.keys import JOBS, MACHINES
from alderbridge.state.replica import Replica
from alderbridge.state.snapshot import snapshot

log = logging.getLogger("core")


class StoreFollower:
    """Applies rows and changes to the replica, and notifies the components that depend on them."""

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
        """The replica, and the components to notify of its changes."""
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
        """Apply changes of the store in order; ``now``: monotonic, ``wall``: wall-clock time, both in seconds."""
        self.state.now, self.state.wall_offset_s = now, wall - now
        machine_names: list[str] = []
        for change in changes:
            if self.replica.apply(change):
                self.view_entry.enter_view(now, wall)
            elif change.put is not None and change.put.startswith(JOBS):
                self.submissions.adopt_late_record(change.put[len(JOBS) :])
            elif change.put is not None and change.put.startswith(MACHINES):
                machine_names.append(change.put[len(MACHINES) :])
        self._observe_recorded_machines(machine_names)
        self.dependencies.apply_graph_changes()
        self._process_configuration()

    def load(
        self, rows: list[wire.KeyValue], changes: list[wire.WatchEvent], revision: int, now: float, wall: float
    ) -> None:
        """Load all rows, whose pages may be of different store revisions, and the changes since the first page.

        Both are merged first, and no component is notified before all is applied: rows of different revisions, or only
        some of them, may be inconsistent.
        """
        self.state.now, self.state.wall_offset_s = now, wall - now
        view_changed = False
        self.view_entry.entered_lease_id = 0  # views may have been missed: shards must not carry over state
        self.replica.machine_revisions, self.replica.machine_records = {}, {}
        self.membership.registered.clear()
        self.declared.reload()
        self.replica.ledger.discard_up_to(revision)
        for change in snapshot(rows, changes):
            view_changed = self.replica.apply(change) or view_changed
        self.replica.revision = revision
        if view_changed:
            self.view_entry.enter_view(now, wall)
        # After a reload, transactions that committed late appear among the rows and not among the changes.
        for name in list(self.replica.active_jobs):
            self.submissions.adopt_late_record(name)
        self._observe_recorded_machines(self.replica.machine_revisions)
        self.dependencies.apply_graph_changes()
        self._process_configuration()
        if not self.machine_shard.capacity.types:
            self.machine_types.update(self.replica.machine_types)
        self.state.loaded = True
        log.info("replica state=loaded revision=%d jobs=%d", revision, len(self.replica.active_jobs))

    def observe_end(self, name: str, record: Record, revision: int) -> None:
        """Apply a record that was read from the store before the watch delivered it, if it is a final state.

        A final state holds under every view. An active record is ignored: it may be of a newer view than this member
        has entered, and under an older view this member may own the job, answer for it and start its tasks while
        another member owns it (docs/incidents/read-ahead.md).
        """
        if record.state is not JobState.ACTIVE and not self.directory.knows_job(name):
            self.replica.observe_job(name, Record(record.state, done_at=record.done_at), revision)
            self.dependencies.apply_graph_changes()

    def _observe_recorded_machines(self, names: Iterable[str]) -> None:
        """Notify the machine shard of its machines' new records, except those already deleted again."""
        for name in names:
            if name in self.replica.machine_revisions and self.membership.machine_owner(name) == self.state.me:
                self.machine_shard.records.on_observed(name)

    def _process_configuration(self) -> None:
        """Apply changed operator configuration, and mark the member if configuration is unreadable here."""
        if self.declared.changed:
            self.declared.refresh(self.state.now)
        if self.declared.unreadable:
            self.membership.mark_unreadable()
        self.calendars.refresh()
