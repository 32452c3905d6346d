"""Heartbeats of a shard's machines, and the answers to probes: what each one shows, and what follows from it."""

from __future__ import annotations

import functools
import logging

from alderbridge import constants
from alderbridge.machines.context import MachineTable, ShardView
from alderbridge.machines.leases import WorkerLeases
from alderbridge.machines.machine import Machine, MachineState, ObservedTask, TaskKey
from alderbridge.machines.orders import OrderBuilder
from alderbridge.machines.owner_reports import OwnerReports
from alderbridge.machines.records import MachineRecords
from alderbridge.machines.task_outcomes import TaskOutcomes
from alderbridge.protocol.messages import TaskStatusReport
from alderbridge.protocol.wire import Heartbeat, ReportedTask, split_task_id

log = logging.getLogger("machines")

# The same tasks are reported again and again.
_task_key = functools.lru_cache(constants.TASK_KEY_CACHE)(split_task_id)


class HeartbeatHandler:
    """Applies heartbeats to the machines of a shard; the hottest code of a controller."""

    def __init__(
        self,
        table: MachineTable,
        view: ShardView,
        records: MachineRecords,
        leases: WorkerLeases,
        order_builder: OrderBuilder,
        owner_reports: OwnerReports,
        task_outcomes: TaskOutcomes,
    ) -> None:
        """All parts are the shard's own."""
        self.machines = table.machines
        self.terminated = table.terminated
        self.pending_drains = table.pending_drains
        self.view = view
        self.records = records
        self.leases = leases
        self.order_builder = order_builder
        self.owner_reports = owner_reports
        self.task_outcomes = task_outcomes

    def on_heartbeat(self, heartbeat: Heartbeat, now: float) -> Machine | None:
        """The machine; None where the heartbeat must not be answered with 200."""
        machine = self.machines.get(heartbeat.machine)
        if machine is None:
            if heartbeat.machine in self.terminated:
                return None
            machine = self._add_machine(heartbeat.machine, now)
        sequence_key = (heartbeat.incarnation, heartbeat.sequence)
        if sequence_key <= machine.last_sequence or machine.state is MachineState.TERMINATED:
            return None
        machine.last_sequence, machine.last_heartbeat_at = sequence_key, now
        machine.type, machine.zone, machine.spot = heartbeat.type, heartbeat.zone, heartbeat.spot
        machine.address = heartbeat.address
        if heartbeat.fencing_token < self.view.fencing_token:
            self._apply_older_token(machine, heartbeat, now)
            return machine
        first = not machine.acknowledged or machine.state is MachineState.EXPIRED
        if first:
            self._acknowledge(machine, now)
        if heartbeat.recall_s is not None or heartbeat.machine in self.pending_drains:
            machine.drain()
        self._apply(machine, heartbeat, first, now)
        return machine

    def on_probe_answer(self, heartbeat: Heartbeat, now: float) -> None:
        """The answer to an empty ``/commands``: proof only as the first acknowledgement of this view.

        Later, a response with orders may be on its way to the worker, and this heartbeat know nothing of it.
        """
        machine = self.machines.get(heartbeat.machine)
        if (
            machine is not None
            and not machine.acknowledged
            and machine.state is not MachineState.EXPIRED
            and heartbeat.fencing_token >= self.view.fencing_token
        ):
            self.on_heartbeat(heartbeat, now)

    def _add_machine(self, name: str, now: float) -> Machine:
        """The first heartbeat of a machine that is not recorded."""
        machine = self.machines[name] = Machine(name, now)
        machine.lease.exclusive_since = self.view.settled_at
        machine.lease.renewed_token = self.view.fencing_token
        log.info("machine=%s state=expected cause=first report", name)
        return machine

    def _apply_older_token(self, machine: Machine, heartbeat: Heartbeat, now: float) -> None:
        """The response brings the view's fencing token; only a later heartbeat proves what is there.

        The response renews the lease, too: of views in quick succession each would keep what is cancelled for one
        heartbeat more, so it stops that.
        """
        self.view.reconciliation.record_report(machine.name)
        self.leases.check_unrenewed(machine, heartbeat.fencing_token, now)
        tasks = ((_task_key(task.task_id), task) for task in heartbeat.tasks)
        self.order_builder.stop_cancelled(machine, {key: (task.attempt, task.status) for key, task in tasks if key[0]})

    def _acknowledge(self, machine: Machine, now: float) -> None:
        """The first heartbeat with the view's fencing token, also after the lease had expired."""
        if not machine.prior.complete:
            machine.prior.observed_since = now
        machine.acknowledge()
        machine.prior.ordered.clear()  # under an older view: this heartbeat shows what came of it
        self.view.reconciliation.acknowledge(machine.name)
        self.records.request_write(machine)
        log.debug("machine=%s state=up cause=acknowledged fencing_token=%d", machine.name, self.view.fencing_token)

    # -- what a heartbeat with the view's fencing token shows ----------------

    def _apply(self, machine: Machine, heartbeat: Heartbeat, first: bool, now: float) -> None:
        """Take over the tasks that it shows, and settle orders; ``first``: job owners are told, whatever it shows."""
        before, orders = machine.tasks, machine.orders
        tasks: dict[TaskKey, ObservedTask] = {}
        machine.tasks = tasks
        changed = urgent = first
        still_there = 0
        for task in heartbeat.tasks:
            key = _task_key(task.task_id)
            if not key[0]:
                continue
            seen = before.get(key)
            still_there += seen is not None
            if seen is None or seen.attempt != task.attempt or seen.status != task.status or seen.cause != task.cause:
                changed = True
                urgent = urgent or task.status == "ended" and task.cause != "done"
                seen = self._observe_change(machine, key, task, seen, now)
            tasks[key] = seen
        lost = still_there < len(before)
        changed = changed or lost
        urgent = urgent or lost and _lost_live_task(before, tasks)
        if orders.pending:
            started, not_started = self._settle_pending(machine, now)
            changed = changed or started or not_started
            urgent = urgent or not_started
        if orders.stops:
            self._settle_stop_orders(machine)
        if not orders.acknowledgements or self._settle_acknowledgements(machine):
            orders.acknowledgements_since = now
        self.order_builder.stop_orphans(machine)
        self.order_builder.stop_cancelled(machine, {key: (task.attempt, task.status) for key, task in tasks.items()})
        if not machine.idle:
            machine.idle_since = None
        elif machine.idle_since is None:
            machine.idle_since = now
        if changed:  # what frees no task is not urgent
            machine.changed()
            self.owner_reports.send(machine, urgent)
            self.view.reconciliation.mark_reconciled(machine.name)

    def _observe_change(
        self, machine: Machine, key: TaskKey, task: ReportedTask, before: ObservedTask | None, now: float
    ) -> ObservedTask:
        """A task that is new on the machine, or reported otherwise than ``before``."""
        job, index = key
        if before is not None and before.attempt == task.attempt:
            # Of a gang: started again under this attempt, and its new result is not to be acknowledged with the old.
            machine.orders.acknowledgements.discard((job, index, task.attempt))
        report = TaskStatusReport(job, index, task.attempt, task.status, task.cause)
        log.debug("machine=%s task=%s status=%s cause=%s", machine.name, task.task_id, task.status, task.cause)
        self.task_outcomes.record(machine, job, task.status, task.cause, now)
        return ObservedTask(task.attempt, task.status, task.cause, now, report)

    def _settle_pending(self, machine: Machine, now: float) -> tuple[bool, bool]:
        """Remove the granted tasks that this heartbeat settles: whether some were started, and some were not."""
        tasks, orders = machine.tasks, machine.orders
        orders_lost = False
        for key, pending in orders.pending.items():
            orders_lost = orders_lost or pending.sent >= constants.ORDER_TRIES and key not in tasks
        if orders_lost and now >= machine.health.quarantined_until:
            # What it is sent does not arrive: tasks wait elsewhere, not on it.
            machine.health.quarantined_until = now + self.leases.lease_s
            log.info("machine=%s state=quarantined cause=orders do not arrive", machine.name)
        started = not_started = False
        for key, pending in list(orders.pending.items()):
            observed = tasks.get(key)
            if observed is not None and observed.attempt == pending.attempt:
                del orders.pending[key]
                started = True
            elif machine.state is not MachineState.UP or key in orders.stops or orders_lost:
                # Never sent, or settled by this newer heartbeat: it was not started.
                del orders.pending[key]
                not_started = True
        return started, not_started

    @staticmethod
    def _settle_stop_orders(machine: Machine) -> None:
        """Remove the stops of what has ended, or is not there."""
        for key, (attempt, _) in list(machine.orders.stops.items()):
            observed = machine.tasks.get(key)
            if observed is None or observed.attempt != attempt or observed.status == "ended":
                del machine.orders.stops[key]

    @staticmethod
    def _settle_acknowledgements(machine: Machine) -> bool:
        """Remove the acknowledgements of what the worker has forgotten; True if there were any, so all were sent."""
        tasks, orders = machine.tasks, machine.orders
        waiting = len(orders.acknowledgements)
        orders.acknowledgements = {
            (job, index, attempt)
            for job, index, attempt in orders.acknowledgements
            if (task := tasks.get((job, index))) is not None and task.attempt == attempt
        }
        return len(orders.acknowledgements) < waiting


def _lost_live_task(before: dict[TaskKey, ObservedTask], tasks: dict[TaskKey, ObservedTask]) -> bool:
    """Whether a task that had not ended is no longer there."""
    return any(task.status != "ended" for key, task in before.items() if key not in tasks)
