"""The simulated key-value store: leases, outages, delayed and lost responses."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

import msgspec

from alderbridge import constants
from alderbridge.jobs.record import JobState
from alderbridge.membership.records import View
from alderbridge.protocol import wire
from alderbridge.protocol.keys import JOBS, MEMBERS, ROOT, VIEW
from simulation.deployment import LEASE_S
from simulation.errors import StoreRefusedError, TransactionTooLargeError

if TYPE_CHECKING:
    from simulation.world import World

STORE_S = 2.0  # timeout of a call to the store


class SimStore:
    def __init__(self, world: World) -> None:
        self.world = world
        self.data: dict[str, tuple[bytes, int, int | None]] = {}
        self.revision = 0
        self.log: list[wire.WatchEvent] = []
        self.leases: dict[int, float] = {}
        self.lease_ids = itertools.count(1)
        self.down_until = self.slow_until = 0.0
        self.latency_factor = 25.0  # factor on the latency until ``slow_until``
        self.delayed_write_share, self.delayed_writes_until = (
            0.0,
            0.0,
        )  # share of writes applied late, without a response
        self.lost_response_share, self.lost_responses_until = (
            0.0,
            0.0,
        )  # share of writes applied at once, without a response
        self.max_changes, self.value_bytes = 12, 4 * 1024
        self.on_view_change = lambda: None  # called after each new view is stored
        self.on_job_ended = lambda job: None  # called with the job ID when the end of a job is stored
        self.rejected_as_too_large = 0  # transactions rejected for their size
        self.view_differs_since: float | None = None  # since when the view does not match the members that hold a lease
        self.longest_view_lag_s = 0.0  # longest time that the view has not matched the members present

    def expire_leases(self) -> None:
        if self.world.t < self.down_until:
            raise StoreRefusedError
        for lease_id in [i for i, expires_at in self.leases.items() if expires_at < self.world.t]:
            self.revoke_lease(lease_id)

    def outage(self, duration_s: float) -> None:
        self.down_until = max(self.down_until, self.world.t + duration_s)
        for lease_id in self.leases:
            self.leases[lease_id] = self.down_until + constants.COMBINED_LEASE_S - LEASE_S

    def revoke_lease(self, lease_id: int) -> None:
        if self.leases.pop(lease_id, None) is None:
            return
        self.revision += 1
        for key in [k for k, v in self.data.items() if v[2] == lease_id]:
            del self.data[key]
            self.log.append(wire.WatchEvent(drop=key, revision=self.revision))
        self.measure_view_lag(False)

    def measure_view_lag(self, has_new_view: bool) -> None:
        """Records for how long the view differs from the members that are present."""
        view = msgspec.json.decode(self.data[VIEW][0], type=View) if VIEW in self.data else View("", {})
        present = {key[len(MEMBERS) :]: value[2] for key, value in self.data.items() if key.startswith(MEMBERS)}
        if self.view_differs_since is not None:
            self.longest_view_lag_s = max(self.longest_view_lag_s, self.world.t - self.view_differs_since)
        if present == view.members:
            self.view_differs_since = None
        elif has_new_view or self.view_differs_since is None:
            self.view_differs_since = self.world.t

    def commit(
        self, conditions: dict[str, int], puts: dict[str, object], drops=(), lease_id=None
    ) -> wire.TransactionResult:
        self.expire_leases()
        encoded = {key: msgspec.json.encode(record) for key, record in puts.items()}
        if len(puts) + len(drops) > self.max_changes or any(
            len(value) > self.value_bytes for value in encoded.values()
        ):
            self.rejected_as_too_large += 1
            raise TransactionTooLargeError
        if lease_id is not None and lease_id not in self.leases:
            raise StoreRefusedError  # unknown or expired lease
        failed = [k for k, revision in conditions.items() if (self.data[k][1] if k in self.data else 0) != revision]
        if failed:
            return wire.TransactionResult(self.revision, failed)
        self.revision += 1
        for key, value in encoded.items():
            self.data[key] = (value, self.revision, lease_id)
            self.log.append(wire.WatchEvent(put=key, data=msgspec.Raw(value), revision=self.revision))
        for key in drops:
            if self.data.pop(key, None) is not None:
                self.log.append(wire.WatchEvent(drop=key, revision=self.revision))
        if VIEW in puts or lease_id is not None:
            self.measure_view_lag(VIEW in puts)
        if VIEW in puts:
            self.on_view_change()
        for key, record in puts.items():
            if key.startswith(JOBS) and getattr(record, "state", JobState.ACTIVE) is not JobState.ACTIVE:
                self.on_job_ended(key[len(JOBS) :])
        return wire.TransactionResult(self.revision)

    def rows(self) -> list[wire.KeyValue]:
        return [wire.KeyValue(k, msgspec.Raw(v), s) for k, (v, s, _) in sorted(self.data.items()) if k.startswith(ROOT)]

    def events_after(self, revision: int) -> list[wire.WatchEvent]:
        return [event for event in self.log if event.revision > revision]
