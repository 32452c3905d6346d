"""The machines that one controller serves.

``MachineShard`` is the composition of the parts, and enters views; each part does one job for all machines:

* ``heartbeats``: what a heartbeat or the answer to a probe shows.
* ``order_builder``: the orders of the response.
* ``owner_reports``: what job owners are told of a machine.
* ``leases``: when a worker's lease has run out for certain.
* ``records``: the machines' records in the store.
* ``capacity``: free room for placement, and the summaries for the leader.
* ``claims``: preemption claims on machines.
* ``prober``: which machines to ask for their acknowledgement of a new view.
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
from alderbridge.machines.machine import Machine, MachineState, Pending
from alderbridge.machines.orders import OrderBuilder
from alderbridge.machines.owner_reports import OwnerReports
from alderbridge.machines.records import MachineRecords
from alderbridge.machines.task_outcomes import TaskOutcomes
from alderbridge.protocol.messages import MachineTaskReport, StopTask, TaskGrant
from alderbridge.protocol.wire import MachineRecord
from alderbridge.reconciliation import HeartbeatProber

log = logging.getLogger("machines")


class ProbeTarget(NamedTuple):
    """Where a machine is asked for its acknowledgement."""

    name: str
    address: str
    incarnation: int  # the likeliest one of its worker


class MachineShard:
    """The machines that the view gives to this controller. Times are of the steady clock, in s."""

    def __init__(
        self,
        lease_s: float,
        jobs: JobLookups,
        outbox: Outbox,
        keep_record: Callable[[str], bool],
        rng: Random,
    ) -> None:
        """``lease_s``: of the workers; ``keep_record``: see ``MachineRecords``; ``rng``: for the pauses of probes."""
        self.outbox = outbox
        self.jobs = jobs
        table = MachineTable()  # shared by the parts
        self.machines, self.terminated, self.pending_drains = table.machines, table.terminated, table.pending_drains
        self.last_request_id = 0
        self.view = ShardView()
        self.prober = HeartbeatProber(rng)
        self.owner_reports = OwnerReports(jobs, outbox, self.view)
        self.records = MachineRecords(table, self.view, keep_record)
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

    # -- views -------------------------------------------------------------

    def enter(
        self,
        fencing_token: int,
        members: list[str],
        recorded: Mapping[str, MachineRecord],
        now: float,
        continued: bool = False,
        inherit_tasks: bool = False,
    ) -> None:
        """A new view: these recorded machines are ours; all must acknowledge.

        ``continued``: this same process took part in the view just before, so what was its own then has been answered
        by nobody else in between. ``inherit_tasks``: what it knew of such a machine is all that may be on it: job
        owners are told so when the view has settled, and need not wait for the acknowledgement. Without that one dead
        machine held up the inherited tasks of every planned restart.
        """
        before = dict(self.machines)
        self.machines.clear()
        self.view.enter(fencing_token, members, now)
        self.records.enter()
        self.leases.enter()
        for name, record in recorded.items():
            machine = self.machines[name] = Machine.from_record(name, record, fencing_token, now)
            self.view.reconciliation.add_recorded(name)
            if name in before:
                _inherit(machine, before[name], continued, inherit_tasks)
        # Its drop was overtaken by the view, or a late put brought the record back: no job owner need wait a lease for
        # it.
        self.records.to_drop = self.on_terminated([name for name in recorded if name in self.terminated])
        self._enter_prober(before, now)

    def _enter_prober(self, before: Mapping[str, Machine], now: float) -> None:
        """Probe the machines of the new view, those that this process heard from last first."""
        last_heartbeats = {name: before[name].last_heartbeat_at for name in self.machines if name in before}
        self.prober.enter(
            sorted(
                (name for name, machine in self.machines.items() if machine.address),
                key=lambda name: (-last_heartbeats.get(name, 0.0), name),
            ),
            now,
        )

    def next_to_probe(self, now: float) -> ProbeTarget | None:
        """A machine to be asked for its acknowledgement now."""
        name = self.prober.next(now, self._needs_no_probe)
        if name is None:
            return None
        machine = self.machines[name]
        return ProbeTarget(name, machine.address, max(1, machine.last_sequence[0]))

    def _needs_no_probe(self, name: str) -> bool:
        machine = self.machines.get(name)
        return (
            machine is None or machine.acknowledged or machine.state in (MachineState.EXPIRED, MachineState.TERMINATED)
        )

    def check_silence(self, now: float) -> None:
        """Log the progress, one line a second, until every machine is reconciled, gone or known to be silent."""
        reconciliation = self.view.reconciliation
        waits = not reconciliation.over
        for machine in self.machines.values():
            if not machine.acknowledged and now - machine.last_heartbeat_at > constants.SILENT_S:
                reconciliation.mark_silent(machine.name)
        if waits:
            log.info("machine_shard fencing_token=%d %s", self.view.fencing_token, reconciliation.line(now))

    # -- messages of job owners --------------------------------------------

    def reserve(self, machine: Machine, job: str, count: int) -> int:
        """Keep room for a task request until its grant; the number of the request."""
        self.last_request_id += 1
        machine.reserved[self.last_request_id] = (job, count)
        machine.changed()
        machine.idle_since = None
        return self.last_request_id

    def on_task_grant(self, label: str, grant: TaskGrant, now: float) -> Machine | None:
        """The machine that it is for, if that is still here."""
        machine = self.machines.get(grant.machine)
        if machine is None:
            if grant.tasks and grant.machine in self.terminated:  # gone while the grant was on its way
                processed_seq = self.outbox.processed_seq_of(label)
                self.outbox.send(label, MachineTaskReport(grant.machine, "", processed_seq, [], []))
            return None
        machine.reserved.pop(grant.request_id, None)
        machine.changed()
        if not grant.tasks:
            if machine.idle and machine.idle_since is None:
                machine.idle_since = now
            return machine
        machine.reports.due.add(label)
        if machine.state is not MachineState.UP:
            self.owner_reports.send(machine)  # never ordered: the job owner takes them back
            return machine
        for index, attempt in grant.tasks:
            machine.orders.pending[(grant.job, index)] = Pending(attempt)
        machine.idle_since = None
        return machine

    def on_stop_task(self, stop: StopTask) -> None:
        """Stop a task; one that was not ordered yet is only forgotten."""
        machine = self.machines.get(stop.machine)
        if machine is None:
            return
        key = (stop.job, stop.index)
        pending = machine.orders.pending.get(key)
        if pending is not None and pending.attempt == stop.attempt and not pending.sent:
            del machine.orders.pending[key]
            machine.changed()
            self.owner_reports.send(machine)
            return
        machine.orders.stops[key] = (stop.attempt, stop.wind_down_s)

    def on_acknowledge_finished(self, machine_name: str, job: str, index: int, attempt: int) -> None:
        """The result of a finished task is stored: its worker may forget it."""
        machine = self.machines.get(machine_name)
        if machine is not None:
            machine.orders.acknowledgements.add((job, index, attempt))

    # -- messages of the leader --------------------------------------------

    def drain(self, names: Iterable[str]) -> None:
        """The leader wants these machines back: nothing new is placed on them."""
        for name in names:
            self.pending_drains.add(name)
            machine = self.machines.get(name)
            if machine is not None:
                machine.drain()
                self._cancel_unsent(machine)

    def _cancel_unsent(self, machine: Machine) -> None:
        """Granted tasks that were not ordered yet go back to their job owners."""
        unsent = [key for key, pending in machine.orders.pending.items() if not pending.sent]
        for key in unsent:
            del machine.orders.pending[key]
        if unsent:
            machine.changed()
            self.owner_reports.send(machine)

    def on_terminated(self, names: Iterable[str]) -> list[str]:
        """The cloud has confirmed that these are gone; those of this shard, whose records may be dropped."""
        result = []
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
                result.append(name)
        return result


def _inherit(machine: Machine, before: Machine, continued: bool, inherit_tasks: bool) -> None:
    """What this process knew of the machine, as far as it still holds; see ``MachineShard.enter``."""
    machine.inherit(before)
    if continued:
        machine.inherit_exclusivity(before)
    if inherit_tasks and before.is_proven:
        machine.inherit_tasks(before)
