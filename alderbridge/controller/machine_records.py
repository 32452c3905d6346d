"""Pending deletions of machine records, and the store's answers to writes of machine records."""

from __future__ import annotations

from alderbridge.controller.write_batch import WriteBatch
from alderbridge.machines.shard import MachineShard
from alderbridge.protocol.keys import MACHINES
from alderbridge.state.replica import Replica


class MachineRecordTracker:
    """Updates the replica and the machine shard when machine records are written or deleted."""

    def __init__(self, replica: Replica, machine_shard: MachineShard) -> None:
        """Start without pending deletions."""
        self.replica = replica
        self.machine_shard = machine_shard
        self.to_drop: list[str] = []  # machines whose records are to be deleted
        self.drops_in_flight: set[str] = set()  # machines whose deletion was sent, without a newer put since

    def enter_view(self) -> None:
        """Enter a new view: keep pending deletions only of machines that are confirmed as terminated.

        Transactions are conditional on the view, so one of an older view has committed already or never will.
        """
        self.to_drop = [name for name in self.to_drop if name in self.machine_shard.terminated]
        self.drops_in_flight.clear()

    def collect_drops(self, now: float) -> None:
        """Move due deletions from the machine shard to ``to_drop``."""
        if drops := self.machine_shard.records.due_drops(now):
            self.to_drop = list(dict.fromkeys(self.to_drop + drops))
            self.machine_shard.records.to_drop = [
                name for name in self.machine_shard.records.to_drop if name not in drops
            ]

    def cancel_drop(self, name: str) -> bool:
        """Keep the record of a machine that reports again after its lease expired; returns whether it is kept.

        It is not kept once a deletion was sent under this view. An unanswered deletion may commit when tasks run on the
        machine again. After an answered one the replica shows the record until the watch delivers the deletion;
        trusting it would run tasks that no later view waits for (docs/incidents/record-shown-late.md). Only a newer put
        confirms that the machine is recorded.
        """
        if name in self.drops_in_flight or not (name in self.machine_shard.records.to_drop or name in self.to_drop):
            return False
        self.machine_shard.records.to_drop = [other for other in self.machine_shard.records.to_drop if other != name]
        self.to_drop = [other for other in self.to_drop if other != name]
        return True

    def on_recorded(self, name: str, revision: int) -> None:
        """Apply a put of the current view.

        One of an older view must not be applied: the replica had it when that view ended, and the machine's new owner
        may have deleted the record since. Restored here only, it would block every later view's barrier, because no
        owner would delete it.
        """
        self.replica.machine_revisions[name] = max(revision, self.replica.machine_revisions.get(name, 0))
        # Deletions sent before have committed, or are conditional on an older record.
        self.drops_in_flight.discard(name)
        self.machine_shard.records.on_recorded(name)

    def has_newer_record(self, name: str, batch: WriteBatch) -> bool:
        """Whether the replica has a newer record than the one that the batch was to delete.

        The answer may arrive after the next view, under which the new owner has recorded the machine again. If the
        machine counted as unrecorded, a later view would not wait for its tasks and would start them elsewhere.
        """
        return self.replica.machine_revisions.get(name, 0) > batch.conditions[MACHINES + name]

    def on_dropped(self, name: str) -> None:
        """The store has deleted the record."""
        self.replica.machine_revisions.pop(name, None)
        self.replica.machine_records.pop(name, None)
        self.to_drop = [other for other in self.to_drop if other != name]
