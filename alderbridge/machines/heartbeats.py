"""Applies the heartbeats of a shard's machines, including those returned by probes."""

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

# Cached because consecutive heartbeats report the same task ids.
_task_key = functools.lru_cache(constants.TASK_KEY_CACHE_SIZE)(split_task_id)


class HeartbeatHandler:
    """Applies heartbeats to the machines of a shard.

    Runs for every heartbeat of every machine: work per reported task must stay small.
    """

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
        """All arguments are components of the same shard."""
        self.machines = table.machines
        self.terminated = table.terminated
        self.pending_drains = table.pending_drains
        self.view = view
        self.records = records
        self.leases = leases
        self.order_builder = order_builder
        self.owner_reports = owner_reports
        self.task_outcomes = task_outcomes
        self.expired_heartbeats = 0  # heartbeats refused since the process started, as their incarnation had ended

    def on_heartbeat(self, heartbeat: Heartbeat, now: float) -> Machine | None:
        """Apply a heartbeat and return its machine; None if the heartbeat must not be answered with 200.

        Heartbeats that are not newer than the last one, those of terminated machines, and those of an incarnation whose
        lease has expired are rejected.
        """
        machine = self.machines.get(heartbeat.machine)
        if machine is None:
            if heartbeat.machine in self.terminated:
                return None
            machine = self._add_machine(heartbeat.machine, now)
        sequence_key = (heartbeat.incarnation, heartbeat.sequence)
        if sequence_key <= machine.last_sequence or machine.state is MachineState.TERMINATED:
            log.debug(
                "machine=%s state=refused cause=outdated heartbeat incarnation=%d sequence=%d newest=%s",
                machine.name,
                *sequence_key,
                machine.last_sequence,
            )
            return None
        if self._refuse_if_expired(machine, heartbeat):
            return None
        machine.last_sequence, machine.last_heartbeat_at = sequence_key, now
        machine.type, machine.zone, machine.spot = heartbeat.type, heartbeat.zone, heartbeat.spot
        machine.address = heartbeat.address
        if heartbeat.fencing_token < self.view.fencing_token:
            self._apply_stale_token(machine, heartbeat, now)
            return machine
        is_first = not machine.acknowledged or machine.state is MachineState.EXPIRED
        if is_first:
            self._acknowledge(machine, now)
        if heartbeat.recall_s is not None or heartbeat.machine in self.pending_drains:
            machine.drain()
        self._apply(machine, heartbeat, is_first, now)
        return machine

    def _refuse_if_expired(self, machine: Machine, heartbeat: Heartbeat) -> bool:
        """Refuse a heartbeat that was sent before the lease of its incarnation expired; returns whether it was.

        No task is ordered on an expired machine before a heartbeat of a newer incarnation. So one that shows tasks is
        of an ended incarnation, also if this process has not heard that one before.
        """
        lease = machine.lease
        if machine.state is MachineState.EXPIRED and heartbeat.tasks:
            lease.expired_incarnation = max(lease.expired_incarnation, heartbeat.incarnation)
        if heartbeat.incarnation > lease.expired_incarnation:
            return False
        self.expired_heartbeats += 1
        log.info(
            "machine=%s state=refused cause=heartbeat of an expired incarnation incarnation=%d sequence=%d refused=%d",
            machine.name,
            heartbeat.incarnation,
            heartbeat.sequence,
            self.expired_heartbeats,
        )
        return True

    def on_probe_answer(self, heartbeat: Heartbeat, now: float) -> None:
        """Apply the heartbeat that answers a probe (an empty ``/commands`` request).

        Only the first acknowledgement under this view counts. After that, a response with orders may be in flight,
        and this heartbeat does not prove that the worker has not received it.
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
        """Add a machine that has no record, on its first heartbeat."""
        machine = self.machines[name] = Machine(name, now)
        machine.lease.exclusive_since = self.view.settled_at
        machine.lease.renewed_token = self.view.fencing_token
        log.info("machine=%s state=expected cause=first report", name)
        return machine

    def _apply_stale_token(self, machine: Machine, heartbeat: Heartbeat, now: float) -> None:
        """Handle a heartbeat with an older fencing token; the tasks it reports are not evidence under this view.

        The response carries the view's fencing token, which a later heartbeat acknowledges. The response also renews
        the lease, so it has to stop cancelled tasks: otherwise each of several views in quick succession would let
        them run for one more heartbeat.
        """
        self.view.reconciliation.record_report(machine.name)
        self.leases.check_unrenewed(machine, heartbeat, now)
        tasks = ((_task_key(task.task_id), task) for task in heartbeat.tasks)
        self.order_builder.stop_cancelled(machine, {key: (task.attempt, task.status) for key, task in tasks if key[0]})

    def _acknowledge(self, machine: Machine, now: float) -> None:
        """Handle the first heartbeat with the view's fencing token, or the first one after lease expiry."""
        if not machine.prior_view.complete:
            machine.prior_view.observed_since = now
        machine.acknowledge()
        machine.prior_view.unconfirmed.clear()  # this heartbeat shows whether the older orders were carried out
        self.view.reconciliation.acknowledge(machine.name)
        self.records.request_write(machine)
        log.debug(
            "machine=%s state=up cause=acknowledged fencing_token=%d incarnation=%d sequence=%d",
            machine.name,
            self.view.fencing_token,
            *machine.last_sequence,
        )

    def _apply(self, machine: Machine, heartbeat: Heartbeat, is_first: bool, now: float) -> None:
        """Update tasks and orders from a heartbeat with the view's fencing token.

        ``is_first``: send reports to job owners even if no task has changed.
        """
        previous_tasks, orders = machine.tasks, machine.orders
        tasks: dict[TaskKey, ObservedTask] = {}
        machine.tasks = tasks
        changed = urgent = is_first
        still_reported = 0
        for task in heartbeat.tasks:
            key = _task_key(task.task_id)
            if not key[0]:
                continue
            observed = previous_tasks.get(key)
            still_reported += observed is not None
            if (
                observed is None
                or observed.attempt != task.attempt
                or observed.status != task.status
                or observed.cause != task.cause
            ):
                changed = True
                urgent = urgent or task.status == "ended" and task.cause != "done"
                observed = self._observe_change(machine, key, task, observed, now)
            tasks[key] = observed
        lost = still_reported < len(previous_tasks)
        changed = changed or lost
        urgent = urgent or lost and _lost_live_task(previous_tasks, tasks)
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
        if changed:  # urgent only if a task may have to be restarted: lost, failed or not started
            machine.invalidate_cached_load()
            self.owner_reports.send(machine, urgent)
            self.view.reconciliation.mark_reconciled(machine.name)

    def _observe_change(
        self, machine: Machine, key: TaskKey, task: ReportedTask, previous: ObservedTask | None, now: float
    ) -> ObservedTask:
        """Record a task that is new on the machine or differs from ``previous``."""
        job, index = key
        if previous is not None and previous.attempt == task.attempt:
            # A gang task can restart under the same attempt: an acknowledgement of its old result must not be sent
            # for the new one.
            machine.orders.acknowledgements.discard((job, index, task.attempt))
        report = TaskStatusReport(job, index, task.attempt, task.status, task.cause)
        log.debug("machine=%s task=%s status=%s cause=%s", machine.name, task.task_id, task.status, task.cause)
        self.task_outcomes.record(machine, job, task.status, task.cause, now)
        return ObservedTask(task.attempt, task.status, task.cause, now, report)

    def _settle_pending(self, machine: Machine, now: float) -> tuple[bool, bool]:
        """Remove the granted tasks that this heartbeat settles; returns whether any was, and any was not, started."""
        tasks, orders = machine.tasks, machine.orders
        orders_lost = False
        for key, pending in orders.pending.items():
            orders_lost = orders_lost or pending.times_sent >= constants.MAX_START_ORDER_ATTEMPTS and key not in tasks
        if orders_lost and now >= machine.health.quarantined_until:
            # Responses do not reach the worker: quarantine the machine so that tasks are placed elsewhere.
            machine.health.quarantined_until = now + self.leases.lease_s
            log.info("machine=%s state=quarantined cause=orders do not arrive", machine.name)
        started = not_started = False
        for key, pending in list(orders.pending.items()):
            observed = tasks.get(key)
            if observed is not None and observed.attempt == pending.attempt:
                del orders.pending[key]
                started = True
            elif machine.state is not MachineState.UP or key in orders.stops or orders_lost:
                # Not sent, or sent before this heartbeat, which does not show it: it was not started.
                del orders.pending[key]
                not_started = True
        return started, not_started

    @staticmethod
    def _settle_stop_orders(machine: Machine) -> None:
        """Remove the stop orders of tasks that have ended or are no longer reported."""
        for key, (attempt, _) in list(machine.orders.stops.items()):
            observed = machine.tasks.get(key)
            if observed is None or observed.attempt != attempt or observed.status == "ended":
                del machine.orders.stops[key]

    @staticmethod
    def _settle_acknowledgements(machine: Machine) -> bool:
        """Remove acknowledgements of tasks that the worker no longer reports.

        True if any was removed: acknowledgements are sent together, so all of them have been sent.
        """
        tasks, orders = machine.tasks, machine.orders
        unsettled = len(orders.acknowledgements)
        orders.acknowledgements = {
            (job, index, attempt)
            for job, index, attempt in orders.acknowledgements
            if (task := tasks.get((job, index))) is not None and task.attempt == attempt
        }
        return len(orders.acknowledgements) < unsettled


def _lost_live_task(previous_tasks: dict[TaskKey, ObservedTask], tasks: dict[TaskKey, ObservedTask]) -> bool:
    """Whether a task that had not ended is no longer reported."""
    return any(task.status != "ended" for key, task in previous_tasks.items() if key not in tasks)
