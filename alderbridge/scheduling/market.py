"""Which kinds of machine the cloud offers for rent now, and their prices."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from alderbridge.protocol.wire import MachineType
from alderbridge.scheduling.demand import Demand, MachineKind, may_use
from alderbridge.scheduling.resources import Resources, tasks_that_fit


@dataclass
class Market:
    """The cloud's machine types and prices, the spot bid, and recent refusals."""

    types: dict[str, MachineType]
    zones: Sequence[str]  # zones of the types that list none themselves
    bid_share: float  # highest accepted spot price, as a share of the on-demand price
    refused_until: dict[MachineKind, float] = field(default_factory=dict)

    def price(self, kind: MachineKind) -> float:
        """Current price per hour."""
        machine = self.types[kind.type]
        return machine.spot_price if kind.spot and machine.spot_price is not None else machine.price

    def rentable_kinds(self, now: float) -> list[MachineKind]:
        """All kinds that were not refused recently; spot kinds only while their price is within the bid."""
        result = []
        for machine in self.types.values():
            for zone in machine.zones or self.zones:
                for spot in (True, False):
                    if spot and (machine.spot_price is None or machine.spot_price > machine.price * self.bid_share):
                        continue
                    kind = MachineKind(machine.name, zone, spot)
                    if self.refused_until.get(kind, 0.0) <= now:
                        result.append(kind)
        return result

    def capacity(self, kind: MachineKind) -> Resources:
        """Total resources of one machine."""
        machine = self.types[kind.type]
        return (machine.cpus, machine.memory_gb, machine.gpus)

    def can_serve(self, kind: MachineKind, demand: Demand) -> bool:
        """Whether an empty machine of this kind could run a task of the demand."""
        return may_use(demand, kind) and tasks_that_fit(demand.spec, self.capacity(kind)) > 0

    def options(self, demand: Demand, kinds: Iterable[MachineKind]) -> list[tuple[float, MachineKind]]:
        """Those of ``kinds`` that can serve the demand, cheapest first, each with its price per slot used."""
        result = []
        for kind in kinds:
            slots = tasks_that_fit(demand.spec, self.capacity(kind))
            if slots and may_use(demand, kind):
                result.append((self.price(kind) / min(slots, demand.count), kind))
        return sorted(result)

    def cheapest_kind(
        self, demand: Demand, now: float, machine_counts: Mapping[MachineKind, int] | None = None
    ) -> MachineKind | None:
        """The cheapest kind for a demand; ``machine_counts``: existing machines of each kind."""
        return cheapest(self.options(demand, self.rentable_kinds(now)), machine_counts or {})


def cheapest(
    options: Sequence[tuple[float, MachineKind]], machine_counts: Mapping[MachineKind, int]
) -> MachineKind | None:
    """The cheapest kind per slot; at equal price, the one with the fewest existing machines."""
    candidates = [kind for price, kind in options if price == options[0][0]]
    return min(candidates, key=lambda kind: (machine_counts.get(kind, 0), kind)) if candidates else None
