"""Keeps the fleet at the size that the leader decides on."""

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

MAX_RETURNED = 100  # machines in one call to the cloud


class ScalingLoop:
    """The leader's round: list the rented machines, decide, rent and return."""

    def __init__(
        self,
        core: ControllerCore,
        cloud: Cloud,
        rate_limit: TokenBucket,
        dispatch_effects: Callable[[], Awaitable[None]],
    ) -> None:
        """``cloud``: rented from; ``rate_limit``: of calls to it."""
        self.core = core
        self.membership = core.membership
        self.cloud = cloud
        self.rate_limit = rate_limit
        self.dispatch_effects = dispatch_effects
        self.rentals = 0  # calls, of which each has a name of its own
        self._listed_at = float("-inf")
        self._listed_under = 0  # fencing token of the last listing

    async def keep_machines(self) -> None:
        """Scale while this controller is the leader; a failure of the cloud is logged."""
        self._listed_at, self._listed_under = float("-inf"), 0
        while True:
            await curio.sleep(constants.LEADER_ROUND_S)
            if not self.membership.is_leader(now()) or not self.core.machine_shard.capacity.types:
                continue
            try:
                await self._run_round()
            except NoCapacityError:
                raise  # only a rental may be refused so, and there it is handled
            except (CloudError, UnansweredError, msgspec.DecodeError) as error:
                log.info("cloud state=failed cause=%s", error)

    async def _run_round(self) -> None:
        if self._listed_under != self.membership.fencing_token:
            self._listed_under, self._listed_at = self.membership.fencing_token, float("-inf")
        if now() - self._listed_at >= constants.MACHINE_LIST_S and self.rate_limit.try_take(now()):
            self._listed_at = now()
            await self.list_machines()
        # What one call did not fill, another kind may: at once, while the budget lasts.
        while await self.apply_decision(self.core.leader.decide(now())) and self.rate_limit.available(now()) >= 1:
            pass

    async def list_machines(self) -> None:
        """Read all rented machines for the leader, without those that are known to be terminated."""
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
        """Drain, rent and return machines; True if a rental was refused in part or whole."""
        self.core.drain_machines(decision.drain, now())
        await self.dispatch_effects()
        refused = False
        for kind, count in decision.scale_out:
            if not self.membership.is_leader(now()) or not self.rate_limit.try_take(now()):
                break
            if not await self._rent(kind, count):
                refused = True
        if decision.terminate and self.membership.is_leader(now()) and self.rate_limit.try_take(now()):
            names = decision.terminate[:MAX_RETURNED]
            await self.cloud.return_machines(names)
            self.core.on_terminated(names, now())
            await self.dispatch_effects()
        return refused

    async def _rent(self, kind: MachineKind, count: int) -> bool:
        """Rent ``count`` machines; True if all of them were granted."""
        leader = self.core.leader
        self.rentals += 1
        name = f"{self.core.me}-{self.membership.fencing_token}-{self.rentals}"
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
