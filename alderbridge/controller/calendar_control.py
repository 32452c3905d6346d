"""Applies the calendars in force to the shards. No I/O."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import cast

from alderbridge import constants
from alderbridge.calendars.gate import CalendarGate
from alderbridge.calendars.model import CalendarConfiguration
from alderbridge.configuration import OperatorConfiguration
from alderbridge.controller.state import ControllerState
from alderbridge.jobs.shard import JobShard
from alderbridge.machines.shard import MachineShard
from alderbridge.protocol import wire

log = logging.getLogger("core")


class CalendarControl:
    """Builds the gate from the calendars in force and sets it on the shards."""

    def __init__(
        self,
        state: ControllerState,
        declared: OperatorConfiguration,
        job_shard: JobShard,
        machine_shard: MachineShard,
        rank: Callable[[wire.JobSpec], int],
        skew_ms: float,
    ) -> None:
        """``rank``: the priority a job inherits from its dependents; ``skew_ms``: maximum clock skew of members."""
        self.state = state
        self.declared = declared
        self.job_shard = job_shard
        self.machine_shard = machine_shard
        self.rank = rank
        self.skew_ms = skew_ms
        self.gate: CalendarGate | None = None  # None until a calendar is declared

    def refresh(self) -> None:
        """Apply the calendars in force now; they change with declarations from the store and with time."""
        if "hours" in self.declared.kinds:
            self.apply(cast(list[CalendarConfiguration], self.declared.in_force("hours", self.state.now)))

    def apply(self, configurations: list[CalendarConfiguration]) -> None:
        """Apply these calendars: the one in force and, if there is one, the next."""
        if self.gate is not None:
            # An empty list means that the calendars were withdrawn: no class is closed, and turns start again.
            configurations = configurations or [CalendarConfiguration()]
        if configurations != (self.gate.configurations if self.gate is not None else []):
            # While this member may act, its clock offset is at most one store lease TTL old, so the clocks can have
            # drifted for that long.
            skew = self.skew_ms / 1000 + constants.MAX_CLOCK_DRIFT * self.state.membership.store_lease.ttl_s
            self.gate = CalendarGate(configurations, self.state.wall, skew, self.rank)
            self.job_shard.job_calendars.gate = self.machine_shard.order_builder.calendars = self.gate
            log.info(
                "calendars state=applied texts=%d classes=%d",
                len(configurations),
                sum(len(configuration.classes) for configuration in configurations),
            )
