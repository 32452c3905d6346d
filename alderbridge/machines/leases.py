"""Worker leases: determines when a lease has provably expired, so that no task is left on the machine.

A worker stops all its tasks when no response has renewed its lease for ``lease_s``. Expiry is proven in two ways:

* ``check``: the machine has sent no heartbeat for the lease, a bound for clock drift, and a margin.
* ``check_unrenewed``: it sends heartbeats, but their fencing token shows that it accepted no response for as long.

Both count only from the time when this process alone could answer the machine (``LeaseEvidence.exclusive_since``): in
a new view, unless inherited, from when the view has settled.
"""

from __future__ import annotations

import logging
import math

from alderbridge import constants
from alderbridge.machines.context import ShardView
from alderbridge.machines.machine import Machine, MachineState
from alderbridge.machines.owner_reports import OwnerReports
from alderbridge.machines.records import MachineRecords
from alderbridge.protocol.wire import Heartbeat

log = logging.getLogger("machines")


class WorkerLeases:
    """Expires machines whose worker lease has provably expired."""

    def __init__(
        self,
        lease_s: float,
        machines: dict[str, Machine],
        view: ShardView,
        records: MachineRecords,
        owner_reports: OwnerReports,
    ) -> None:
        """``lease_s``: duration of a worker's lease."""
        self.lease_s = lease_s
        self.machines = machines
        self.view = view
        self.records = records
        self.owner_reports = owner_reports
        self.no_newer_view_until = math.inf  # no newer view, whose members would renew leases too, began before this
        self.oldest_lease_start = -math.inf  # lower bound of the times that leases are counted from

    def enter_view(self) -> None:
        """Enter a new view: the next ``check`` examines all machines."""
        self.oldest_lease_start = -math.inf

    def settle(self, now: float) -> None:
        """Mark the view as settled: all members act under it, so no older view's response is sent after ``now``."""
        view = self.view
        if view.settled_at is not None:
            return
        view.settled_at = now
        self.oldest_lease_start = -math.inf
        for machine in self.machines.values():
            if machine.lease.exclusive_since is None:
                machine.lease.exclusive_since = now
            if machine.prior_view.complete and not machine.acknowledged and machine.state is not MachineState.EXPIRED:
                view.reconciliation.mark_reconciled(machine.name)
                self.owner_reports.send(machine)

    def check(self, now: float) -> None:
        """Expire silent machines.

        ``oldest_lease_start`` lets calls return early until the oldest lease may have expired, so that not every call
        iterates over all machines.
        """
        proof_s = self.lease_s * (1 + 2 * constants.MAX_CLOCK_DRIFT) + constants.LEASE_EXPIRY_MARGIN_S
        if now - self.oldest_lease_start <= proof_s:
            return
        self.oldest_lease_start = now  # machines added later start later; a new view and its settling reset it
        for machine in self.machines.values():
            if machine.state is MachineState.EXPIRED or machine.state is MachineState.TERMINATED:
                continue
            if machine.lease.exclusive_since is None:
                continue
            since = (
                machine.last_heartbeat_at
                if machine.acknowledged
                else max(machine.last_heartbeat_at, machine.lease.exclusive_since)
            )
            if not self._has_expired(since, now):
                self.oldest_lease_start = min(self.oldest_lease_start, since)
            else:
                cause = f"silent for {now - machine.last_heartbeat_at:.1f} s"
                self._expire(machine, cause, machine.last_sequence[0])

    def check_unrenewed(self, machine: Machine, heartbeat: Heartbeat, now: float) -> None:
        """Expire a machine whose heartbeats show that no response has renewed its lease.

        Called for a new ``heartbeat`` with an older fencing token, before it is answered. A worker has only one
        heartbeat in flight and sends the highest token it has accepted, so no response with a higher token to an
        earlier heartbeat has been or will be accepted. This covers machines that send heartbeats but receive no
        responses: they never become silent, and their tasks could otherwise not be restarted elsewhere.
        """
        lease = machine.lease
        if heartbeat.fencing_token >= lease.renewed_token:  # it accepted a response of a view since then
            lease.renewed_at, lease.renewed_token = now, self.view.fencing_token
        elif (
            not machine.acknowledged
            and machine.state is not MachineState.EXPIRED
            and machine.lease.exclusive_since is not None
        ):
            since = max(lease.renewed_at, machine.lease.exclusive_since)
            if self._has_expired(since, now):
                # Without an accepted response it can't have been given a task since: one that shows none may already be
                # of the incarnation that followed.
                incarnation = heartbeat.incarnation if heartbeat.tasks else heartbeat.incarnation - 1
                self._expire(machine, f"no answer accepted for {now - since:.1f} s", incarnation)

    def _has_expired(self, since: float, now: float) -> bool:
        """Whether a lease that no member of this view has renewed after ``since`` has provably expired.

        A newer view may exist without this process knowing it, and its members may have renewed the lease: so it must
        be certain that no newer view began before the lease's end.
        """
        lease_s = self.lease_s * (1 + 2 * constants.MAX_CLOCK_DRIFT)
        return now - since > lease_s + constants.LEASE_EXPIRY_MARGIN_S and self.no_newer_view_until - since > lease_s

    def _expire(self, machine: Machine, cause: str, incarnation: int) -> None:
        log.info("machine=%s state=expired cause=%s", machine.name, cause)
        machine.expire(incarnation)
        self.view.reconciliation.mark_expired(machine.name)
        self.owner_reports.send(machine)
        self.records.drop(machine)
