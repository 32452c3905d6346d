"""Scales the fleet out and in as the leader decides."""

from __future__ import annotations

import logging
import time
from collections.abc import Awaitable, Callable

import curio
import msgspec

from alderbridge import constants
from alderbridge.cloud import Cloud, CloudError, NoCapacityError
from alderbridge.controller.core import ControllerCore
from alderbridge.leader.scaling import ScalingDecision
from alderbridge.protocol import wire
from alderbridge.scheduling.demand import MachineKind
from alderbridge.transport.errors import UnansweredError
from alderbridge.transport.token_bucket import TokenBucket

log = logging.getLogger("controller")
now = time.monotonic

MAX_MACHINES_PER_RETURN = 100  # limit of one call to the cloud


class ScalingLoop:
    """The leader's scaling round: list the rented machines, decide, rent and return machines."""

    def __init__(
        self,
        core: ControllerCore,
        cloud: Cloud,
        rate_limit: TokenBucket,
        dispatch_effects: Callable[[], Awaitable[None]],
    ) -> None:
        """``cloud``: rents the machines; ``rate_limit``: of calls to it."""
        self.core = core
        self.membership = core.membership
        self.cloud = cloud
        self.rate_limit = rate_limit
        self.dispatch_effects = dispatch_effects
        self.rental_calls = 0  # part of each call's unique name
        self._listed_at = float("-inf")
        self._listing_fencing_token = 0  # of the view under which machines were last listed

    async def keep_machines(self) -> None:
        """Scale the fleet while this controller is the leader; failures of the cloud are logged."""
        self._listed_at, self._listing_fencing_token = float("-inf"), 0
        while True:
            await curio.sleep(constants.LEADER_ROUND_INTERVAL_S)
            if not self.membership.is_leader(now()) or not self.core.machine_shard.capacity.types:
                continue
            try:
                await self._run_round()
            except NoCapacityError:
                raise  # unexpected here: ``_rent`` handles it, and no other call may raise it
            except (CloudError, UnansweredError, msgspec.DecodeError) as error:
                log.info("cloud state=failed cause=%s", error)

    async def _run_round(self) -> None:
        if self._listing_fencing_token != self.membership.fencing_token:
            self._listing_fencing_token, self._listed_at = self.membership.fencing_token, float("-inf")
        if now() - self._listed_at >= constants.MACHINE_LIST_INTERVAL_S and self.rate_limit.try_take(now()):
            self._listed_at = now()
            await self.list_machines()
        # After a partial rental, decide again at once: another machine type or zone may have capacity.
        while await self.apply_decision(self.core.leader.decide(now())) and self.rate_limit.available(now()) >= 1:
            pass

    async def list_machines(self) -> None:
        """List all rented machines for the leader, except those confirmed as terminated."""
        hosts: list[wire.ListedMachine] = []
        after = ""
        while True:
            page = await self.cloud.list_page(after)
            hosts += page.hosts
            if not page.has_next or not page.hosts:
                break
            after = page.hosts[-1].id
        terminated = self.core.machine_shard.terminated
        self.core.leader.on_listing([host for host in hosts if host.id not in terminated], now())

    async def apply_decision(self, decision: ScalingDecision) -> bool:
        """Drain, rent and return machines; returns True if a rental was refused in part or completely."""
        self.core.drain_machines(decision.drain, now())
        await self.dispatch_effects()
        refused = False
        for kind, count in decision.scale_out:
            if not self.membership.is_leader(now()) or not self.rate_limit.try_take(now()):
                break
            if not await self._rent(kind, count):
                refused = True
        if decision.terminate and self.membership.is_leader(now()) and self.rate_limit.try_take(now()):
            names = decision.terminate[:MAX_MACHINES_PER_RETURN]
            await self.cloud.return_machines(names)
            self.core.on_terminated(names, now())
            await self.dispatch_effects()
        return refused

    async def _rent(self, kind: MachineKind, count: int) -> bool:
        """Rent ``count`` machines; returns True if all of them were granted."""
        leader = self.core.leader
        self.rental_calls += 1
        name = f"{self.core.me}-{self.membership.fencing_token}-{self.rental_calls}"
        try:
            names = await self.cloud.rent(name, kind.type, kind.zone, kind.spot, count)
        except NoCapacityError:
            log.info("scale_out type=%s zone=%s spot=%s state=refused", kind.type, kind.zone, kind.spot)
            leader.on_refused(kind, now())
            return False
        log.info(
            "scale_out type=%s zone=%s spot=%s requested=%d granted=%d",
            kind.type,
            kind.zone,
            kind.spot,
            count,
            len(names),
        )
        leader.on_scaled_out(kind, names, now())
        if len(names) < count:
            leader.on_refused(kind, now())
            return False
        return True
