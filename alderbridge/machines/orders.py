"""Builds the orders in a response to a heartbeat: acknowledge finished tasks, stop tasks, run tasks."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from alderbridge import constants
from alderbridge.calendars.gate import CalendarGate
from alderbridge.machines.context import JobLookups
from alderbridge.machines.machine import Machine, MachineState, TaskKey
from alderbridge.protocol.wire import acknowledge_order, run_order, stop_order

Order = dict[str, Any]


class OrderBuilder:
    """Decides which tasks a machine has to stop, and builds the orders of its responses."""

    def __init__(self, jobs: JobLookups) -> None:
        """Create a builder without calendars."""
        self.jobs = jobs
        self.calendars: CalendarGate | None = None  # None: no calendars are configured

    def orders(self, machine: Machine) -> list[Order]:
        """The orders of a response; before the machine acknowledges the view, only stops of cancelled tasks.

        Acknowledgements of finished tasks are delayed, up to a bound, to be sent with other orders: each change makes
        the worker send a heartbeat, and an ended task uses no resources of the machine.
        """
        if not machine.acknowledged:
            return self._cancelled_stops(machine)
        unsent = machine.orders
        if (
            not unsent.stops
            and not unsent.pending
            and len(unsent.acknowledgements) < constants.MAX_DELAYED_ACKNOWLEDGEMENTS
            and machine.last_heartbeat_at - unsent.acknowledgements_since < constants.ACKNOWLEDGE_DELAY_S
        ):
            return []
        orders = [acknowledge_order(job, index, attempt) for job, index, attempt in sorted(unsent.acknowledgements)]
        orders += [
            stop_order(job, index, attempt, wind_down_s)
            for (job, index), (attempt, wind_down_s) in unsent.stops.items()
        ]
        if unsent.pending and machine.state is MachineState.UP and machine.recorded:
            orders += self._run_orders(machine)
        return orders

    def _cancelled_stops(self, machine: Machine) -> list[Order]:
        """Stops of cancelled tasks; safe before the acknowledgement, as no controller restarts a cancelled task."""
        return [
            stop_order(job, index, attempt, 0.0)
            for (job, index), (attempt, _) in machine.orders.stops.items()
            if self.jobs.is_aborted(job)
        ]

    def _run_orders(self, machine: Machine) -> list[Order]:
        orders = []
        for (job, index), pending in machine.orders.pending.items():
            observed = machine.tasks.get((job, index))
            if observed is not None and observed.attempt != pending.attempt:
                continue  # the older attempt has to be acknowledged as finished first
            if self.jobs.is_aborted(job) or (self.calendars is not None and self._is_closed(job, self.calendars)):
                # The job was cancelled or its calendar closed after the grant. Run orders sent earlier were not
                # carried out, as the heartbeat being answered does not show the task: the next heartbeat releases it.
                machine.orders.stops[(job, index)] = (pending.attempt, 0.0)
                continue
            pending.times_sent += 1
            orders.append(run_order(job, index, pending.attempt))
        return orders

    def _is_closed(self, job: str, calendars: CalendarGate) -> bool:
        """Whether the job's calendar is closed now.

        Checked for every order: a response sent now is carried out within ``ORDER_S`` or not at all.
        """
        spec = self.jobs.spec_of(job)
        return spec is not None and not calendars.may_start(spec)

    def stop_cancelled(self, machine: Machine, reported: Mapping[TaskKey, tuple[int, str]]) -> None:
        """Request stops of cancelled tasks in a heartbeat; ``reported``: task -> (attempt, status).

        The job owner requests these stops as well, but its messages may be lost during a network partition, while the
        responses sent here keep renewing the lease. This bounds the time until cancelled tasks stop by ``cancel_s``
        (docs/design.md, "Cancelled"): an active member has read all that was stored more than a lease TTL ago.
        """
        cancelled = self.jobs.is_aborted
        for job in {job for job, _ in reported if cancelled(job)}:
            for (reported_job, index), (attempt, status) in reported.items():
                if reported_job == job and status != "ended":
                    machine.orders.stops[(job, index)] = (attempt, 0.0)

    def stop_orphans(self, machine: Machine) -> None:
        """Stop, or acknowledge as finished, the tasks of jobs that have ended and so have no job owner."""
        spec_of = self.jobs.spec_of
        ended_jobs = [job for job in {job for job, _ in machine.tasks} if spec_of(job) is None]
        if not ended_jobs:
            return
        for (job, index), task in machine.tasks.items():
            if job in ended_jobs:
                if task.status == "ended":
                    machine.orders.acknowledgements.add((job, index, task.attempt))
                else:
                    machine.orders.stops[(job, index)] = (task.attempt, 0.0)
