"""Worker leases: when one has run out for certain, so that nothing is left on its machine.

A worker stops all its tasks when no response has renewed its lease for ``lease_s``. What proves that none did:

* ``check``: the machine is silent for a lease, a bound for clock drift, and a margin.
* ``check_unrenewed``: it reports, but with a fencing token that shows that no response was accepted for as long.

Both count only from when this process alone could answer the machine (``LeaseEvidence.exclusive_since``): in a new view
that is when the view has settled.
"""

from __future__ import annotations

import logging
import math

from alderbridge import constants
from alderbridge.machines.context import ShardView
from alderbridge.machines.machine import Machine, MachineState
from alderbridge.machines.owner_reports import OwnerReports
from alderbridge.machines.records import MachineRecords

log = logging.getLogger("machines")


class WorkerLeases:
    """Expires the machines whose worker's lease has provably run out."""

    def __init__(
        self,
        lease_s: float,
        machines: dict[str, Machine],
        view: ShardView,
        records: MachineRecords,
        owner_reports: OwnerReports,
    ) -> None:
        """``lease_s``: of the workers."""
        self.lease_s = lease_s
        self.machines = machines
        self.view = view
        self.records = records
        self.owner_reports = owner_reports
        self.no_newer_view_until = math.inf  # no newer view had begun by then: its members renew leases, too
        self.oldest_start = -math.inf  # no lease counts from before this

    def enter(self) -> None:
        """A new view: all machines are to be checked anew."""
        self.oldest_start = -math.inf

    def settle(self, now: float) -> None:
        """Every member acts under this view: earlier responses are all older than now."""
        view = self.view
        if view.settled_at is not None:
            return
        view.settled_at = now
        self.oldest_start = -math.inf
        for machine in self.machines.values():
            if machine.lease.exclusive_since is None:
                machine.lease.exclusive_since = now
            if machine.prior.complete and not machine.acknowledged and machine.state is not MachineState.EXPIRED:
                view.reconciliation.mark_reconciled(machine.name)
                self.owner_reports.send(machine)

    def check(self, now: float) -> None:
        """Expire silent machines. While all report, they are gone through once in most of a lease."""
        wait = self.lease_s * (1 + 2 * constants.CLOCK_DRIFT) + constants.PROOF_MARGIN_S
        if now - self.oldest_start <= wait:
            return
        self.oldest_start = now  # who comes later counts from later; a view, and its settling, check anew
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
            if not self._has_run_out(since, now):
                self.oldest_start = min(self.oldest_start, since)
            else:
                self._expire(machine, f"silent for {now - machine.last_heartbeat_at:.1f} s")

    def check_unrenewed(self, machine: Machine, fencing_token: int, now: float) -> None:
        """A heartbeat with an older fencing token, newer than all before, and not answered yet.

        Whenever it was written, no response with a higher token to an earlier heartbeat was accepted, nor will be: it
        would show here, and a worker has one heartbeat in flight. So the lease has not been renewed since. A machine
        that does not hear its responses reports for as long as that lasts, and held up all that it might have run.
        """
        lease = machine.lease
        if fencing_token >= lease.renewed_token:  # a response of a view between was accepted
            lease.renewed_at, lease.renewed_token = now, self.view.fencing_token
        elif (
            not machine.acknowledged
            and machine.state is not MachineState.EXPIRED
            and machine.lease.exclusive_since is not None
        ):
            since = max(lease.renewed_at, machine.lease.exclusive_since)
            if self._has_run_out(since, now):
                self._expire(machine, f"no answer accepted for {now - since:.1f} s")

    def _has_run_out(self, since: float, now: float) -> bool:
        """Whether a lease that nobody under this view has renewed after ``since`` has provably run out.

        A member of a newer view may have renewed it, unknown to one that is cut off: so none had begun by its end.
        """
        lease = self.lease_s * (1 + 2 * constants.CLOCK_DRIFT)
        return now - since > lease + constants.PROOF_MARGIN_S and self.no_newer_view_until - since > lease

    def _expire(self, machine: Machine, cause: str) -> None:
        log.info("machine=%s state=expired cause=%s", machine.name, cause)
        machine.expire()
        self.view.reconciliation.mark_expired(machine.name)
        self.owner_reports.send(machine)
        self.records.drop(machine)
