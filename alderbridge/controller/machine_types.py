"""The machine types that the cloud offers, and their record in the store."""

from __future__ import annotations

import msgspec

from alderbridge.controller.state import ControllerState
from alderbridge.jobs.shard import JobShard
from alderbridge.leader.leader import Leader
from alderbridge.machines.shard import MachineShard
from alderbridge.protocol import wire
from alderbridge.state.replica import Replica


class MachineTypeRegistry:
    """Passes the machine types to the machine shard, which holds them, and to the leader."""

    def __init__(
        self,
        state: ControllerState,
        replica: Replica,
        leader: Leader,
        job_shard: JobShard,
        machine_shard: MachineShard,
    ) -> None:
        """``job_shard`` has the size limit of a value in the store."""
        self.state = state
        self.membership = state.membership
        self.replica = replica
        self.leader = leader
        self.job_shard = job_shard
        self.machine_shard = machine_shard

    def update(self, types: dict[str, wire.MachineType]) -> None:
        """Set the types, by name, as read from the cloud or the store."""
        self.machine_shard.capacity.types = types
        self.leader.on_types(types)

    def types_to_store(self) -> wire.MachineTypes | None:
        """The machine types to store, if the stored ones differ in more than their spot prices; otherwise None."""
        current = [
            msgspec.structs.replace(kind, spot_price=kind.price) for kind in self.machine_shard.capacity.types.values()
        ]
        stored = [msgspec.structs.replace(kind, spot_price=kind.price) for kind in self.replica.machine_types.values()]
        if not current or current == stored or not self.membership.is_leader(self.state.now):
            return None
        machine_types = wire.MachineTypes(list(self.machine_shard.capacity.types.values()))
        return machine_types if len(msgspec.json.encode(machine_types)) < self.job_shard.value_bytes else None
