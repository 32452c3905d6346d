"""The orders of a response to a heartbeat: acknowledge finished tasks, stop tasks, run tasks."""

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
        """No hours are declared yet."""
        self.jobs = jobs
        self.calendars: CalendarGate | None = None  # None: no hours are declared

    def orders(self, machine: Machine) -> list[Order]:
        """The orders of a response; for a machine that has yet to acknowledge only stops of what is cancelled.

        Acknowledgements of finished tasks alone wait for other orders, up to a bound: a worker sends a heartbeat for
        each change, and an ended task takes nothing of a machine.
        """
        if not machine.acknowledged:
            return self._cancelled_stops(machine)
        due = machine.orders
        if (
            not due.stops
            and not due.pending
            and len(due.acknowledgements) < constants.ACKNOWLEDGE_MAX
            and machine.last_heartbeat_at - due.acknowledgements_since < constants.ACKNOWLEDGE_WAIT_S
        ):
            return []
        orders = [acknowledge_order(job, index, attempt) for job, index, attempt in sorted(due.acknowledgements)]
        orders += [
            stop_order(job, index, attempt, wind_down_s) for (job, index), (attempt, wind_down_s) in due.stops.items()
        ]
        if due.pending and machine.state is MachineState.UP and machine.recorded:
            orders += self._run_orders(machine)
        return orders

    def _cancelled_stops(self, machine: Machine) -> list[Order]:
        """Stops of what is cancelled, which nobody needs any more: nothing is concluded from its absence later."""
        return [
            stop_order(job, index, attempt, 0.0)
            for (job, index), (attempt, _) in machine.orders.stops.items()
            if self.jobs.cancelled(job)
        ]

    def _run_orders(self, machine: Machine) -> list[Order]:
        orders = []
        for (job, index), pending in machine.orders.pending.items():
            observed = machine.tasks.get((job, index))
            if observed is not None and observed.attempt != pending.attempt:
                continue  # the old attempt must be acknowledged as finished first
            if self.jobs.cancelled(job) or (self.calendars is not None and self._is_closed(job, self.calendars)):
                # Granted, but its job is cancelled, or its hours have closed, since. Whatever was sent of it was
                # not carried out, as the heartbeat that this answers would show it: the next one frees it.
                machine.orders.stops[(job, index)] = (pending.attempt, 0.0)
                continue
            pending.sent += 1
            orders.append(run_order(job, index, pending.attempt))
        return orders

    def _is_closed(self, job: str, calendars: CalendarGate) -> bool:
        """Asked for with each order: a response that leaves now is carried out within ``ORDER_S``, or never."""
        spec = self.jobs.spec_of(job)
        return spec is not None and not calendars.may_start(spec)

    def stop_cancelled(self, machine: Machine, reported: Mapping[TaskKey, tuple[int, str]]) -> None:
        """Stop what a heartbeat shows of cancelled jobs, task -> (attempt, status).

        Their owner says so, too, but its message may be lost for as long as it is cut off from here, and this response
        would go on renewing the lease. ``cancel_s`` is kept by this (docs/design.md, "Cancelled"): a member that acts
        has read all that was stored a lease's ttl ago.
        """
        cancelled = self.jobs.cancelled
        for job in {job for job, _ in reported if cancelled(job)}:
            for (other, index), (attempt, status) in reported.items():
                if other == job and status != "ended":
                    machine.orders.stops[(job, index)] = (attempt, 0.0)

    def stop_orphans(self, machine: Machine) -> None:
        """Tasks of jobs that are over for good have no owner to ask: stopped, or acknowledged as finished."""
        spec_of = self.jobs.spec_of
        over = [job for job in {job for job, _ in machine.tasks} if spec_of(job) is None]
        if not over:
            return
        for (job, index), task in machine.tasks.items():
            if job in over:
                if task.status == "ended":
                    machine.orders.acknowledgements.add((job, index, task.attempt))
                else:
                    machine.orders.stops[(job, index)] = (task.attempt, 0.0)
