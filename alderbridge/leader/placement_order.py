"""The order in which waiting jobs get machines and quota."""

from __future__ import annotations

import functools
from collections.abc import Callable

from alderbridge.leader.rented_machines import RentedMachines
from alderbridge.protocol.messages import QueueRow
from alderbridge.protocol.wire import JobSpec
from alderbridge.scheduling import offers, placement
from alderbridge.scheduling.demand import MachineKind
from alderbridge.scheduling.market import Market
from alderbridge.scheduling.resources import tasks_that_fit

RowKey = tuple[bool, tuple[bool, int, float]]  # whether no machine can be had, placement order
RowKeyFunction = Callable[[QueueRow, JobSpec], RowKey]


class PlacementOrder:
    """Placement order, with jobs last for which no machine exists or can be rented.

    Otherwise a team's limit would be reserved for a job whose machines the cloud refuses, while the team's other jobs
    wait although machines are free.
    """

    def __init__(self, market: Market, rented_machines: RentedMachines) -> None:
        """``market``: what can be rented now."""
        self.market = market
        self.rented_machines = rented_machines

    def obtainable_kinds(self, now: float) -> set[MachineKind] | None:
        """Kinds of which a machine is up, boots or can be rented; None, for all, if no kind was refused recently."""
        if not any(until > now for until in self.market.refused_until.values()):
            return None
        usable = {
            rented.kind
            for rented in self.rented_machines.values()
            if rented.is_usable and rented.kind.type in self.market.types
        }
        return usable | set(self.market.rentable_kinds(now))

    def key(self, kinds: set[MachineKind] | None, row: QueueRow, spec: JobSpec) -> RowKey:
        """The sort key of a row; ``kinds``: as ``obtainable_kinds`` returns them."""
        unobtainable = kinds is not None and not any(
            row.zone in (None, kind.zone)
            and placement.allowed(spec, kind.type, kind.zone, kind.spot)
            and tasks_that_fit(spec, self.market.capacity(kind))
            for kind in kinds
        )
        return unobtainable, offers.placement_key(row, spec, row.due_in_s)

    def key_at(self, now: float) -> RowKeyFunction:
        """The sort key function for the current availability of machines."""
        return functools.partial(self.key, self.obtainable_kinds(now))
