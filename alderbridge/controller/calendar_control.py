"""Which calendars are in force here. Pure."""

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
    """Gives the shards the gate that is made from the calendars in force."""

    def __init__(
        self,
        state: ControllerState,
        declared: OperatorConfiguration,
        job_shard: JobShard,
        machine_shard: MachineShard,
        rank: Callable[[wire.JobSpec], int],
        skew_ms: float,
    ) -> None:
        """``rank``: the priority that jobs depending on a job give it; ``skew_ms``: of the members' clocks, at most."""
        self.state = state
        self.declared = declared
        self.job_shard = job_shard
        self.machine_shard = machine_shard
        self.rank = rank
        self.skew_ms = skew_ms
        self.gate: CalendarGate | None = None  # None: no calendar is declared

    def refresh(self) -> None:
        """Apply what is in force now: calendars come into force with what arrives, and with time."""
        if "hours" in self.declared.kinds:
            self.apply(cast(list[CalendarConfiguration], self.declared.in_force("hours", self.state.now)))

    def apply(self, texts: list[CalendarConfiguration]) -> None:
        """Apply the calendars that hold now: the one in force, and one that is about to be."""
        if self.gate is not None:
            texts = texts or [CalendarConfiguration()]  # withdrawn: no class is closed any more, and turns start anew
        if texts != (self.gate.configurations if self.gate is not None else []):
            # The clock's offset is from the last change that was followed, within the ttl while this member acts.
            skew = self.skew_ms / 1000 + constants.CLOCK_DRIFT * self.state.membership.store_lease.ttl_s
            self.gate = CalendarGate(texts, self.state.wall, skew, self.rank)
            self.job_shard.job_calendars.gate = self.machine_shard.order_builder.calendars = self.gate
            log.info(
                "calendars state=applied texts=%d classes=%d", len(texts), sum(len(text.classes) for text in texts)
            )
