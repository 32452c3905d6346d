"""Records of this member's machines that are to be dropped, and what the store's answers say of the others. Pure."""

from __future__ import annotations

from alderbridge.controller.write_batch import WriteBatch
from alderbridge.machines.shard import MachineShard
from alderbridge.protocol.keys import MACHINES
from alderbridge.state.replica import Replica


class MachineRecordTracker:
    """Keeps the replica and the machine shard in step with what was written of machines."""

    def __init__(self, replica: Replica, machine_shard: MachineShard) -> None:
        """Nothing is to be dropped."""
        self.replica = replica
        self.machine_shard = machine_shard
        self.to_drop: list[str] = []  # machines whose records go
        self.drops_in_flight: set[str] = set()  # machines whose drop was sent, and that were not recorded since

    def enter(self) -> None:
        """A new view: only machines that are terminated for certain still lose their records.

        What was sent under an older view was carried out before this one, or never will be.
        """
        self.to_drop = [name for name in self.to_drop if name in self.machine_shard.terminated]
        self.drops_in_flight.clear()

    def collect_drops(self, now: float) -> None:
        """Add the drops that are due in the machine shard."""
        if drops := self.machine_shard.records.due_drops(now):
            self.to_drop = list(dict.fromkeys(self.to_drop + drops))
            self.machine_shard.records.to_drop = [
                name for name in self.machine_shard.records.to_drop if name not in drops
            ]

    def keep(self, name: str) -> bool:
        """A machine whose lease expired is back: its record stays, if no drop of it was ever sent under this view.

        One that was sent may be carried out late, when tasks are on the machine again. One that was answered may yet
        have to arrive in the replica, which shows the record until then: taken for recorded by that, the machine ran
        tasks that no later view waited for (docs/incidents/record-shown-late.md). So only a newer put is an answer.
        """
        if name in self.drops_in_flight or not (name in self.machine_shard.records.to_drop or name in self.to_drop):
            return False
        self.machine_shard.records.to_drop = [other for other in self.machine_shard.records.to_drop if other != name]
        self.to_drop = [other for other in self.to_drop if other != name]
        return True

    def recorded(self, name: str, revision: int) -> None:
        """Under the view in force: what was written under an older one the replica had when that ended.

        Since then the machine's new owner may have dropped the record. Kept here alone it stayed in the barrier of
        later views, from which no owner would ever remove it.
        """
        self.replica.machines[name] = max(revision, self.replica.machines.get(name, 0))
        self.drops_in_flight.discard(name)  # all of them are settled, or assert an older record
        self.machine_shard.records.on_recorded(name)

    def written_since(self, name: str, batch: WriteBatch) -> bool:
        """Whether the replica has a newer record than the one that the batch was to drop.

        An answer may come after the next view, whose owner has recorded the machine anew. Taken for unrecorded, what
        runs on it was free under the view after that, and started elsewhere.
        """
        return self.replica.machines.get(name, 0) > batch.conditions[MACHINES + name]

    def dropped(self, name: str) -> None:
        """The store has dropped the record."""
        self.replica.machines.pop(name, None)
        self.replica.records.pop(name, None)
        self.to_drop = [other for other in self.to_drop if other != name]
