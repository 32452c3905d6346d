"""The machines that one controller serves.

``MachineShard`` composes the components below and enters views. Each component serves all machines:

* ``heartbeats``: applies heartbeats and probe responses.
* ``order_builder``: builds the orders in a response.
* ``owner_reports``: sends job owners the tasks on a machine.
* ``leases``: expires machines whose worker lease has provably expired.
* ``records``: the machines' records in the store.
* ``capacity``: free capacity for placement, and machine summaries for the leader.
* ``claims``: preemption claims on machines.
* ``prober``: schedules the probes that request acknowledgements of a new view.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable, Mapping
from random import Random
from typing import NamedTuple

from alderbridge import constants
from alderbridge.machines.capacity import MachineCapacity
from alderbridge.machines.claims import MachineClaims
from alderbridge.machines.context import JobLookups, MachineTable, Outbox, ShardView
from alderbridge.machines.heartbeats import HeartbeatHandler
from alderbridge.machines.leases import WorkerLeases
from alderbridge.machines.machine import Machine, MachineState, PendingTask
from alderbridge.machines.orders import OrderBuilder
from alderbridge.machines.owner_reports import OwnerReports
from alderbridge.machines.records import MachineRecords
from alderbridge.machines.task_outcomes import TaskOutcomes
from alderbridge.protocol.messages import MachineTaskReport, StopTask, TaskGrant
from alderbridge.protocol.wire import MachineRecord
from alderbridge.reconciliation import HeartbeatProber

log = logging.getLogger("machines")


class ProbeTarget(NamedTuple):
    """A machine to probe for its acknowledgement."""

    name: str
    address: str
    incarnation: int  # last known incarnation of its worker; at least 1


class MachineShard:
    """The machines that the view assigns to this controller. Times are on the monotonic clock, in s."""

    def __init__(
        self,
        lease_s: float,
        jobs: JobLookups,
        outbox: Outbox,
        cancel_drop: Callable[[str], bool],
        rng: Random,
    ) -> None:
        """``lease_s``: worker lease; ``cancel_drop``: see ``MachineRecords``; ``rng``: for the jitter of probes."""
        self.outbox = outbox
        self.jobs = jobs
        table = MachineTable()  # shared by the components
        self.machines, self.terminated, self.pending_drains = table.machines, table.terminated, table.pending_drains
        self.last_request_id = 0
        self.view = ShardView()
        self.prober = HeartbeatProber(rng)
        self.owner_reports = OwnerReports(jobs, outbox, self.view)
        self.records = MachineRecords(table, self.view, cancel_drop)
        self.leases = WorkerLeases(lease_s, self.machines, self.view, self.records, self.owner_reports)
        self.order_builder = OrderBuilder(jobs)
        self.capacity = MachineCapacity(self.machines, jobs, self.view)
        self.claims = MachineClaims(self.machines, jobs, self.capacity)
        self.heartbeats = HeartbeatHandler(
            table,
            self.view,
            self.records,
            self.leases,
            self.order_builder,
            self.owner_reports,
            TaskOutcomes(jobs, self.capacity),
        )

    def enter_view(
        self,
        fencing_token: int,
        members: list[str],
        recorded: Mapping[str, MachineRecord],
        now: float,
        continued: bool = False,
        inherit_tasks: bool = False,
    ) -> None:
        """Enter a new view with the ``recorded`` machines of this shard; all of them must acknowledge it.

        ``continued``: this process was a member of the previous view, so no other controller has answered the machines
        that it served there. ``inherit_tasks``: the tasks it recorded for such a machine are all that may be on it.
        They are reported to job owners when the view has settled, without waiting for the acknowledgement; otherwise
        a dead machine would delay inherited tasks on every planned restart.
        """
        previous = dict(self.machines)
        self.machines.clear()
        self.view.enter_view(fencing_token, members, now)
        self.records.enter_view()
        self.leases.enter_view()
        for name, record in recorded.items():
            machine = self.machines[name] = Machine.from_record(name, record, fencing_token, now)
            self.view.reconciliation.add_recorded(name)
            if name in previous:
                _inherit(machine, previous[name], continued, inherit_tasks)
        # The view began before the record's drop, or a late put restored it: job owners need not wait a lease for a
        # terminated machine.
        self.records.to_drop = self.on_terminated([name for name in recorded if name in self.terminated])
        self._enter_prober(previous, now)

    def _enter_prober(self, previous: Mapping[str, Machine], now: float) -> None:
        """Queue probes of the new view's machines, those with the most recent heartbeat first."""
        last_heartbeats = {name: previous[name].last_heartbeat_at for name in self.machines if name in previous}
        self.prober.enter_view(
            sorted(
                (name for name, machine in self.machines.items() if machine.address),
                key=lambda name: (-last_heartbeats.get(name, 0.0), name),
            ),
            now,
        )

    def next_to_probe(self, now: float) -> ProbeTarget | None:
        """The next machine to probe for its acknowledgement; None if no probe is due."""
        name = self.prober.next_machine(now, self._needs_no_probe)
        if name is None:
            return None
        machine = self.machines[name]
        return ProbeTarget(name, machine.address, max(1, machine.last_sequence[0]))

    def _needs_no_probe(self, name: str) -> bool:
        machine = self.machines.get(name)
        return (
            machine is None or machine.acknowledged or machine.state in (MachineState.EXPIRED, MachineState.TERMINATED)
        )

    def update_reconciliation(self, now: float) -> None:
        """Mark silent machines and log the reconciliation progress until no machine is in a transient state."""
        reconciliation = self.view.reconciliation
        is_unsettled = not reconciliation.is_settled
        for machine in self.machines.values():
            if not machine.acknowledged and now - machine.last_heartbeat_at > constants.MACHINE_SILENCE_TIMEOUT_S:
                reconciliation.mark_silent(machine.name)
        if is_unsettled:
            log.info("machine_shard fencing_token=%d %s", self.view.fencing_token, reconciliation.summary(now))

    def reserve(self, machine: Machine, job: str, count: int) -> int:
        """Reserve capacity for a task request until its grant arrives; returns the request id."""
        self.last_request_id += 1
        machine.reserved[self.last_request_id] = (job, count)
        machine.invalidate_cached_load()
        machine.idle_since = None
        return self.last_request_id

    def on_task_grant(self, label: str, grant: TaskGrant, now: float) -> Machine | None:
        """Apply a grant, also an empty one, and return its machine; None if this shard no longer has it."""
        machine = self.machines.get(grant.machine)
        if machine is None:
            if grant.tasks and grant.machine in self.terminated:  # terminated while the grant was in flight
                processed_seq = self.outbox.processed_seq_of(label)
                self.outbox.send(label, MachineTaskReport(grant.machine, "", processed_seq, [], []))
            return None
        machine.reserved.pop(grant.request_id, None)
        machine.invalidate_cached_load()
        if not grant.tasks:
            if machine.idle and machine.idle_since is None:
                machine.idle_since = now
            return machine
        machine.reports.owners_due.add(label)
        if machine.state is not MachineState.UP:
            self.owner_reports.send(machine)  # the tasks are never ordered: the report lets the job owner requeue them
            return machine
        for index, attempt in grant.tasks:
            machine.orders.pending[(grant.job, index)] = PendingTask(attempt)
        machine.idle_since = None
        return machine

    def on_stop_task(self, stop: StopTask) -> None:
        """Request the stop of a task; a granted task that has not been ordered yet is only removed."""
        machine = self.machines.get(stop.machine)
        if machine is None:
            return
        key = (stop.job, stop.index)
        pending = machine.orders.pending.get(key)
        if pending is not None and pending.attempt == stop.attempt and not pending.times_sent:
            del machine.orders.pending[key]
            machine.invalidate_cached_load()
            self.owner_reports.send(machine)
            return
        machine.orders.stops[key] = (stop.attempt, stop.wind_down_s)

    def on_acknowledge_finished(self, machine_name: str, job: str, index: int, attempt: int) -> None:
        """Request the acknowledgement of a finished task, whose result is now stored."""
        machine = self.machines.get(machine_name)
        if machine is not None:
            machine.orders.acknowledgements.add((job, index, attempt))

    def drain(self, names: Iterable[str]) -> None:
        """Drain machines on behalf of the leader: no new tasks are placed on them."""
        for name in names:
            self.pending_drains.add(name)
            machine = self.machines.get(name)
            if machine is not None:
                machine.drain()
                self._cancel_unsent(machine)

    def _cancel_unsent(self, machine: Machine) -> None:
        """Remove granted tasks that have not been ordered yet, and report this to their job owners."""
        unsent = [key for key, pending in machine.orders.pending.items() if not pending.times_sent]
        for key in unsent:
            del machine.orders.pending[key]
        if unsent:
            machine.invalidate_cached_load()
            self.owner_reports.send(machine)

    def on_terminated(self, names: Iterable[str]) -> list[str]:
        """Handle confirmed terminations; returns the machines of this shard, whose records may be dropped."""
        terminated = []
        for name in names:
            self.terminated.add(name)
            self.pending_drains.discard(name)
            machine = self.machines.pop(name, None)
            self.records.cancel_write(name)
            if machine is not None:
                machine.terminate()
                self.view.reconciliation.mark_terminated(name)
                self.owner_reports.send(machine)
                log.info("machine=%s state=terminated cause=confirmed by the cloud", name)
                terminated.append(name)
        return terminated


def _inherit(machine: Machine, previous: Machine, continued: bool, inherit_tasks: bool) -> None:
    """Inherit the still valid state of the machine; for the parameters see ``MachineShard.enter_view``."""
    machine.inherit(previous)
    if continued:
        machine.inherit_exclusivity(previous)
    if inherit_tasks and previous.has_complete_tasks:
        machine.inherit_tasks(previous)
