"""Refreshes the cloud's machine types and their prices."""

from __future__ import annotations

import logging
import time

import curio
import msgspec

from alderbridge import constants
from alderbridge.cloud import Cloud, CloudError
from alderbridge.controller.core import ControllerCore
from alderbridge.protocol import wire
from alderbridge.protocol.keys import MACHINE_TYPES, VIEW
from alderbridge.state.errors import LeaseExpiredError, StoreRefusedError, TransactionTooLargeError
from alderbridge.state.store import Store
from alderbridge.transport.errors import UnansweredError
from alderbridge.transport.token_bucket import TokenBucket

log = logging.getLogger("controller")
now = time.monotonic


class MachineTypesLoop:
    """Reads the machine types: periodically on the leader, for current prices, and once on other members."""

    def __init__(self, core: ControllerCore, store: Store, cloud: Cloud, rate_limit: TokenBucket) -> None:
        """``cloud``: source of the types; ``rate_limit``: of calls to it; ``store``: where the leader records them."""
        self.core = core
        self.membership = core.membership
        self.store = store
        self.cloud = cloud
        self.rate_limit = rate_limit

    async def keep_types(self) -> None:
        """Run the loop; a failure is logged, and the read is repeated in the next iteration."""
        loaded = False
        while True:
            if not loaded or self.membership.is_leader(now()):
                try:
                    if self.rate_limit.try_take(now()):
                        self.core.machine_types.update(await self.cloud.machine_types())
                        loaded = True
                        await self.store_types()
                except (
                    CloudError,
                    StoreRefusedError,
                    LeaseExpiredError,
                    UnansweredError,
                    msgspec.DecodeError,
                ) as error:
                    log.info("cloud state=failed cause=%s", error)
            await curio.sleep(
                constants.MACHINE_TYPES_REFRESH_INTERVAL_S if loaded else constants.LEADER_ROUND_INTERVAL_S
            )

    async def store_types(self) -> None:
        """Store the types for controllers that start while the cloud is unavailable."""
        machine_types = self.core.machine_types.types_to_store()
        if machine_types is not None:
            conditions = {VIEW: self.membership.fencing_token, MACHINE_TYPES: self.core.replica.types_revision}
            try:
                await self.store.commit(conditions, {MACHINE_TYPES: machine_types})
            except TransactionTooLargeError:
                self.core.batch_results.reduce_value_limit(len(wire.encode(machine_types)))
