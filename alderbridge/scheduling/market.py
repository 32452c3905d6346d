"""What the cloud rents out now, and at which price. Pure."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from alderbridge.protocol.wire import MachineType
from alderbridge.scheduling.demand import Demand, MachineKind, may_use
from alderbridge.scheduling.resources import Resources, fits


@dataclass
class Market:
    """What may be rented now."""

    types: dict[str, MachineType]
    zones: Sequence[str]
    bid_share: float
    refused_until: dict[MachineKind, float] = field(default_factory=dict)

    def price(self, kind: MachineKind) -> float:
        """Per hour, as the cloud asks it now."""
        machine = self.types[kind.type]
        return machine.spot_price if kind.spot and machine.spot_price is not None else machine.price

    def kinds(self, now: float) -> list[MachineKind]:
        """All kinds not lately refused; spot only below the bid."""
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

    def room(self, kind: MachineKind) -> Resources:
        """Of one machine with nothing on it."""
        machine = self.types[kind.type]
        return (machine.cpus, machine.memory_gb, machine.gpus)

    def serves(self, kind: MachineKind, demand: Demand) -> bool:
        """Whether a machine of this kind could run tasks of the demand."""
        return may_use(demand, kind) and fits(demand.spec, self.room(kind)) > 0

    def options(self, demand: Demand, kinds: Iterable[MachineKind]) -> list[tuple[float, MachineKind]]:
        """Of ``kinds``, what a demand may be rented, and its price per slot that is of use; the cheapest first."""
        result = []
        for kind in kinds:
            slots = fits(demand.spec, self.room(kind))
            if slots and may_use(demand, kind):
                result.append((self.price(kind) / min(slots, demand.count), kind))
        return sorted(result)

    def best(self, demand: Demand, now: float, count: Mapping[MachineKind, int] | None = None) -> MachineKind | None:
        """The cheapest for a demand; ``count``: machines that are there already."""
        return cheapest(self.options(demand, self.kinds(now)), count or {})


def cheapest(options: Sequence[tuple[float, MachineKind]], count: Mapping[MachineKind, int]) -> MachineKind | None:
    """The cheapest per slot; among equals, where fewest machines are."""
    equals = [kind for price, kind in options if price == options[0][0]]
    return min(equals, key=lambda kind: (count.get(kind, 0), kind)) if equals else None
