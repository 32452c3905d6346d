"""In which order waiting jobs get machines and quota. Pure."""

from __future__ import annotations

import functools
from collections.abc import Callable

from alderbridge.leader.rented_machines import RentedMachines
from alderbridge.protocol.messages import QueueRow
from alderbridge.protocol.wire import JobSpec
from alderbridge.scheduling import offers, placement
from alderbridge.scheduling.demand import MachineKind
from alderbridge.scheduling.market import Market
from alderbridge.scheduling.resources import fits

RowKey = tuple[bool, tuple[bool, int, float]]  # out of reach, order of placement
RowOrder = Callable[[QueueRow, JobSpec], RowKey]


class ReachableOrder:
    """The order of placement, but last what no machine is there for and none can be had for.

    A team's limit is not kept, as quota or for a rental, for a job that can't use it as long as the cloud refuses what
    it needs, while others of the team wait beside room (test_a_team_does_not_stand_still_...).
    """

    def __init__(self, market: Market, rented_machines: RentedMachines) -> None:
        """``market``: what may be rented now."""
        self.market = market
        self.rented_machines = rented_machines

    def kinds_in_reach(self, now: float) -> set[MachineKind] | None:
        """Kinds of which a machine is there, on its way or may be rented; None where nothing was lately refused."""
        if not any(until > now for until in self.market.refused_until.values()):
            return None
        usable = {
            rented.kind
            for rented in self.rented_machines.values()
            if rented.is_usable and rented.kind.type in self.market.types
        }
        return usable | set(self.market.kinds(now))

    def key(self, kinds: set[MachineKind] | None, row: QueueRow, spec: JobSpec) -> RowKey:
        """By what rows are sorted; ``kinds``: those in reach."""
        out_of_reach = kinds is not None and not any(
            row.zone in (None, kind.zone)
            and placement.allowed(spec, kind.type, kind.zone, kind.spot)
            and fits(spec, self.market.room(kind))
            for kind in kinds
        )
        return out_of_reach, offers.order(row, spec, row.due_in_s)

    def at(self, now: float) -> RowOrder:
        """The order as it stands at that time."""
        return functools.partial(self.key, self.kinds_in_reach(now))
