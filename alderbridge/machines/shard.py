"""A part's machines: reports, orders, leases, and proof of what is not there.

States of a machine in its part:

* EXPECTED: recorded or reporting, not yet seen with this view's mandate.
* UP: has acknowledged the mandate; tasks may be placed on it.
* DRAINING: the cloud or the leader wants it back; nothing new goes there.
* LAPSED: its lease has provably run out; nothing is on it.
* GONE: the cloud has confirmed its end.
"""

from __future__ import annotations

import functools
import logging
import math
from collections import OrderedDict
from collections.abc import Callable, Container, Iterable, Mapping
from enum import Enum
from random import Random

import msgspec

from alderbridge import constants
from alderbridge.calendars.gate import CalendarGate
from alderbridge.protocol.messages import (
    MachineSummary,
    MachineTaskReport,
    MachineTasks,
    StopTask,
    TaskGrant,
    TaskStatusReport,
)
from alderbridge.protocol.wire import (
    Heartbeat,
    JobSpec,
    MachineRecord,
    MachineType,
    acknowledge_order,
    run_order,
    split_task_id,
    stop_order,
)
from alderbridge.reconciliation import HeartbeatProber, ReconciliationProgress
from alderbridge.scheduling import placement
from alderbridge.scheduling.placement import Candidate

log = logging.getLogger("machines")

TaskKey = tuple[str, int]  # job, index
Load = tuple[float, float, float, float]  # Expected Run Time, cpus, memory, gpus
_task_key = functools.lru_cache(constants.TASK_KEY_CACHE)(split_task_id)  # the same tasks are reported again and again


class MachineState(str, Enum):
    EXPECTED = "expected"
    UP = "up"
    DRAINING = "draining"
    EXPIRED = "lapsed"  # the value goes to the leader, see ``MachineSummary``
    TERMINATED = "gone"


class ObservedTask(msgspec.Struct, frozen=True):
    """A task as a machine last reported it."""

    attempt: int
    status: str
    cause: str | None
    since: float
    report: TaskStatusReport = msgspec.field(name="seen")  # what homes are told of it


class Pending(msgspec.Struct):
    """Granted by its home, and not yet seen in a report."""

    attempt: int
    sent: int = 0  # in so many answers; a report that came after them has it not


class Machine:
    def __init__(self, name: str, now: float) -> None:
        self.name = name
        self.state = MachineState.EXPECTED
        self.type = self.zone = self.address = ""
        self.spot = False
        self.recorded = False  # the store holds its record; no ``run`` before that
        self.seen_in_replica = False  # the replica has it; who wrote it, and what else is on its way, is not known yet
        self.acknowledged = False  # a report of it has borne this view's mandate
        # All that may be on it is known from the view before, in which this same process had it: ``tasks``, and
        # what was ordered and not yet seen in a report.
        self.carried_over = False
        self.ordered_before: dict[TaskKey, int] = {}  # of a carried machine: task -> attempt
        self.observed_since = now  # what ran here when this process first heard of it ran for longer than is known
        self.claim_stops: dict[TaskKey, tuple[int, float]] = {}  # of ``halts``, those for the machine's claim
        self.last_heartbeat_at = now  # receipt of the newest report, or the view's start
        # What reports with an older mandate leave open of its lease: renewed at this moment, or by an answer whose
        # mandate was at least that. Later reports bear the mandate of an answer that was accepted.
        self.lease_renewed_at, self.lease_renewed_token = now, 0
        self.last_sequence = (0, 0)  # (tenure, counter) of the newest report
        # Since when only this process could have answered its reports; None: not yet.
        self.exclusive_since: float | None = None
        self.free: placement.Resources | None = None  # what is free, until something changes here
        # of each task: since when it runs or None, Expected Run Time, cpus, memory, gpus; as ``free``, until a change
        self.busy: list[tuple[float | None, float, float, float, float]] | None = None
        self.tasks: dict[TaskKey, ObservedTask] = {}
        self.pending: dict[TaskKey, Pending] = {}
        self.reserved: dict[int, tuple[str, int]] = {}  # take -> job, count
        self.stop_orders: dict[TaskKey, tuple[int, float]] = {}
        self.acknowledgements: set[tuple[str, int, int]] = set()
        self.acknowledgements_since = now  # since when the oldest of them may have waited unsent
        self.last_reports: dict[str, tuple[list, list]] = {}  # home -> what it was last told
        self.owed_reports: set[str] = set()  # homes whose grants came since
        self.images: OrderedDict[str, float] = OrderedDict()
        self.idle_since: float | None = now
        self.errors: list[str] = []  # jobs of the errors in a row
        self.quarantined_until = 0.0

    # -- changes of state, one method each ---------------------------------

    def acknowledge(self) -> None:
        self.acknowledged = True
        if self.state is not MachineState.DRAINING:
            self.state = MachineState.UP

    def carry(self, before: Machine) -> None:
        """This process gave it all its orders under the view before, and knows the reports that answered them."""
        self.carried_over = True
        self.tasks, self.observed_since = dict(before.tasks), before.observed_since
        sent = {key: pending.attempt for key, pending in before.pending.items() if pending.sent}
        self.ordered_before = before.ordered_before | sent

    def drain(self) -> None:
        if self.state in (MachineState.UP, MachineState.EXPECTED):
            self.state = MachineState.DRAINING

    def expire(self) -> None:
        self.state = MachineState.EXPIRED
        self.idle_since = None
        self._forget()

    def terminate(self) -> None:
        self.state = MachineState.TERMINATED
        self._forget()

    def changed(self) -> None:
        """What is on it, or on its way there, is no longer what was summed up."""
        self.free = self.busy = None

    def _forget(self) -> None:
        self.tasks.clear()
        self.ordered_before.clear()
        self.pending.clear()
        self.stop_orders.clear()
        self.acknowledgements.clear()
        self.changed()

    @property
    def is_proven(self) -> bool:
        """What is known of its tasks is complete under this view."""
        return self.acknowledged or self.carried_over or self.state in (MachineState.EXPIRED, MachineState.TERMINATED)

    @property
    def record(self) -> MachineRecord:
        """What the store keeps of it."""
        return MachineRecord(self.address, self.type, self.zone, self.spot)

    @property
    def idle(self) -> bool:
        if self.pending or self.reserved:
            return False
        return all(on.status == "ended" for on in self.tasks.values())


class MachineShard:
    """The machines that the hash gives to this controller."""

    def __init__(
        self,
        me: str,
        lease_s: float,
        send: Callable[[str, object], int],
        spec_of: Callable[[str], JobSpec | None],
        job_owner: Callable[[str], str],
        rng: Random,
    ) -> None:
        self.me = me
        self.lease_s = lease_s
        self.send = self.send_deferred = send  # later: with the next message to that member, or the next round
        self.spec_of = spec_of  # None: unknown, or ended for good
        self.job_owner = job_owner
        self.processed_seq_of: Callable[[str], int] = lambda label: 0
        self.cancelled: Callable[[str], bool] = lambda job: False  # the store says so, as far as this process has read
        self.keep_record: Callable[[str], bool] = lambda name: False  # whether no drop of its record has been sent yet
        self.answering_since: float | None = None  # since when reports could be answered; None: not now
        self.machines: dict[str, Machine] = {}
        self.terminated: set[str] = set()  # confirmed gone; late reports mean nothing
        self.pending_drains: set[str] = set()  # wanted back before they ever reported
        self.records_to_write: list[str] = []
        self.prober = HeartbeatProber(rng)  # machines to be asked for their acknowledgement
        self.reconciliation = ReconciliationProgress(0.0)
        self.records_to_drop: list[str] = []  # nothing is on them: no new view need wait for them
        self.fencing_token = 0
        self.calendars: CalendarGate | None = None  # None: no hours are declared
        self.members: list[str] = []
        self._types: dict[str, MachineType] = {}
        self.settled_at: float | None = None  # since when all members act under this view
        self.no_newer_view_until = math.inf  # no newer view had begun by then: its parts renew leases, too
        self.last_request_id = 0
        self.oldest_lease_start = -math.inf  # no lease counts from before this

    @property
    def types(self) -> dict[str, MachineType]:
        return self._types

    @types.setter
    def types(self, types: dict[str, MachineType]) -> None:
        self._types = types
        for machine in self.machines.values():
            machine.changed()

    def enter(
        self,
        fencing_token: int,
        members: list[str],
        machines: Mapping[str, MachineRecord],
        now: float,
        continued: bool = False,
        carry: bool = False,
    ) -> None:
        """A new view: these recorded machines are ours; all must acknowledge.

        ``continued``: this same process took part in the view just before, so what
        was its own then has been answered by nobody else in between. ``carry``: what it knew of such a
        machine is all that may be on it: homes are told so when the view has settled, and need not wait for the
        acknowledgement. Without that one dead machine held up the inherited tasks of every planned restart.
        """
        old, self.machines = self.machines, {}
        self.fencing_token, self.members, self.settled_at = fencing_token, members, None
        self.records_to_write, self.records_to_drop = [], []
        self.reconciliation = ReconciliationProgress(now)
        self.oldest_lease_start = -math.inf
        for name, record in machines.items():
            machine = self.machines[name] = Machine(name, now)
            machine.lease_renewed_token = fencing_token
            machine.recorded = True
            machine.address, machine.type, machine.zone, machine.spot = (
                record.address,
                record.type,
                record.zone,
                record.spot,
            )
            self.reconciliation.add_recorded(name)
            if name in old:
                before = old[name]
                if before.type:
                    machine.type, machine.zone, machine.spot = before.type, before.zone, before.spot
                machine.address = before.address or machine.address
                machine.images, machine.last_sequence, machine.idle_since = (
                    before.images,
                    before.last_sequence,
                    before.idle_since,
                )
                if before.state is MachineState.DRAINING:
                    machine.drain()
                if continued and before.exclusive_since is not None:
                    machine.exclusive_since, machine.last_heartbeat_at = (
                        before.exclusive_since,
                        before.last_heartbeat_at,
                    )
                    machine.lease_renewed_at = before.last_heartbeat_at
                    if not before.acknowledged:  # deaf for longer than that view lasted, it may be
                        machine.lease_renewed_at, machine.lease_renewed_token = (
                            before.lease_renewed_at,
                            before.lease_renewed_token,
                        )
                if carry and before.is_proven:
                    machine.carry(before)
        # Its drop was overtaken by the view, or a late put brought the record back: no home need wait a lease for it.
        self.records_to_drop = self.on_terminated([name for name in machines if name in self.terminated])
        heard = {name: old[name].last_heartbeat_at for name in self.machines if name in old}
        self.prober.enter(
            sorted(
                (name for name, machine in self.machines.items() if machine.address),
                key=lambda name: (-heard.get(name, 0.0), name),
            ),
            now,
        )

    def next_to_probe(self, now: float) -> tuple[str, str, int] | None:
        """Name, address and likeliest tenure of a machine to be asked for its acknowledgement now."""
        name = self.prober.next(
            now,
            lambda name: (
                (machine := self.machines.get(name)) is None
                or machine.acknowledged
                or machine.state in (MachineState.EXPIRED, MachineState.TERMINATED)
            ),
        )
        if name is None:
            return None
        machine = self.machines[name]
        return name, machine.address, max(1, machine.last_sequence[0])

    def on_probe_answer(self, heartbeat: Heartbeat, now: float) -> None:
        """The answer to an empty ``/commands``: proof only as the first acknowledgement of this view.

        Later, a response with orders may be on its way to the worker, and this report know nothing of it.
        """
        machine = self.machines.get(heartbeat.machine)
        if (
            machine is not None
            and not machine.acknowledged
            and machine.state is not MachineState.EXPIRED
            and heartbeat.fencing_token >= self.fencing_token
        ):
            self.on_heartbeat(heartbeat, now)

    def settle(self, now: float) -> None:
        """Every member acts under this view: earlier answers are all older than now."""
        if self.settled_at is None:
            self.settled_at = now
            self.oldest_lease_start = -math.inf
            for machine in self.machines.values():
                if machine.exclusive_since is None:
                    machine.exclusive_since = now
                if machine.carried_over and not machine.acknowledged and machine.state is not MachineState.EXPIRED:
                    self.reconciliation.mark_reconciled(machine.name)
                    self.report_to_job_owners(machine)

    # -- reports -----------------------------------------------------------

    def on_heartbeat(self, heartbeat: Heartbeat, now: float) -> Machine | None:
        """The machine; None where the report must not be answered with 200."""
        machine = self.machines.get(heartbeat.machine)
        if machine is None:
            if heartbeat.machine in self.terminated:
                return None
            machine = self.machines[heartbeat.machine] = Machine(heartbeat.machine, now)
            machine.exclusive_since, machine.lease_renewed_token = self.settled_at, self.fencing_token
            log.info("machine=%s state=expected cause=first report", heartbeat.machine)
        sequence_key = (heartbeat.incarnation, heartbeat.sequence)
        if sequence_key <= machine.last_sequence or machine.state is MachineState.TERMINATED:
            return None
        machine.last_sequence, machine.last_heartbeat_at = sequence_key, now
        machine.type, machine.zone, machine.spot = heartbeat.type, heartbeat.zone, heartbeat.spot
        machine.address = heartbeat.address
        if heartbeat.fencing_token < self.fencing_token:
            self.reconciliation.record_report(machine.name)
            self._check_unrenewed_lease(machine, heartbeat.fencing_token, now)
            # The answer brings the mandate; only a later report proves what is there. It renews the lease, too: of
            # views in quick succession each would keep what is cancelled for one report more.
            seen_in_replica = ((_task_key(task.task_id), task) for task in heartbeat.tasks)
            self._stop_cancelled(machine, {key: (task.attempt, task.status) for key, task in seen_in_replica if key[0]})
            return machine
        first = not machine.acknowledged or machine.state is MachineState.EXPIRED
        if first:
            if not machine.carried_over:
                machine.observed_since = now
            machine.acknowledge()
            machine.ordered_before.clear()  # under an older view: this report shows what came of it
            self.reconciliation.acknowledge(machine.name)
            if not machine.recorded and machine.name not in self.records_to_write:
                # All lapse when the store was away for longer than a lease, and are back before their records are
                # dropped: to drop and write 600 of them again took all changes of the store for half a minute, in
                # which nothing could be started.
                machine.recorded = self.keep_record(machine.name)
                if not machine.recorded:
                    self.records_to_write.append(machine.name)
            log.debug("machine=%s state=up cause=acknowledged fencing_token=%d", machine.name, self.fencing_token)
        if heartbeat.recall_s is not None or heartbeat.machine in self.pending_drains:
            machine.drain()
        self._apply_heartbeat(machine, heartbeat, first, now)
        return machine

    def _check_unrenewed_lease(self, machine: Machine, fencing_token: int, now: float) -> None:
        """A report with an older mandate, newer than all before, and not answered yet.

        Whenever it was written, no answer with a higher mandate to a report before it was accepted, nor will be: it
        would show here, and a worker has one report in flight. So the lease has not been renewed since. A machine that
        does not hear its answers reports for as long as that lasts, and held up all that it might have run.
        """
        if fencing_token >= machine.lease_renewed_token:  # an answer of a view between was accepted
            machine.lease_renewed_at, machine.lease_renewed_token = now, self.fencing_token
        elif (
            not machine.acknowledged
            and machine.state is not MachineState.EXPIRED
            and machine.exclusive_since is not None
        ):
            since = max(machine.lease_renewed_at, machine.exclusive_since)
            if self._lease_expired(since, now):
                self._expire(machine, f"no answer accepted for {now - since:.1f} s")

    def _apply_heartbeat(self, machine: Machine, heartbeat: Heartbeat, tell: bool, now: float) -> None:
        """``tell``: homes are told, whatever it shows. What frees no task is told with the next other message."""
        old, tasks = machine.tasks, {}
        machine.tasks = tasks
        urgent, kept = tell, 0
        for task in heartbeat.tasks:
            key = _task_key(task.task_id)
            job, index = key
            if not job:
                continue
            on = old.get(key)
            kept += on is not None
            if on is None or on.attempt != task.attempt or on.status != task.status or on.cause != task.cause:
                if on is not None and on.attempt == task.attempt:  # of a gang: started again under this attempt,
                    machine.acknowledgements.discard(
                        (job, index, task.attempt)
                    )  # and its new result is not to be cleared
                tell = True
                urgent = urgent or task.status == "ended" and task.cause != "done"
                on = ObservedTask(
                    task.attempt,
                    task.status,
                    task.cause,
                    now,
                    TaskStatusReport(job, index, task.attempt, task.status, task.cause),
                )
                log.debug("machine=%s task=%s status=%s cause=%s", machine.name, task.task_id, task.status, task.cause)
                self._record_task_outcome(machine, job, task.status, task.cause, now)
            tasks[key] = on
        if kept < len(old):
            tell = True
            urgent = urgent or any(on.status != "ended" for key, on in old.items() if key not in tasks)
        deaf = False
        for key, pending in machine.pending.items():
            deaf = deaf or pending.sent >= constants.ORDER_TRIES and key not in tasks
        if (
            deaf and now >= machine.quarantined_until
        ):  # what it is sent does not arrive: tasks wait elsewhere, not on it
            machine.quarantined_until = now + self.lease_s
            log.info("machine=%s state=quarantined cause=orders do not arrive", machine.name)
        for key, pending in list(machine.pending.items()) if machine.pending else ():
            on = tasks.get(key)
            if on is not None and on.attempt == pending.attempt:
                del machine.pending[key]
                tell = True
            elif machine.state is not MachineState.UP or key in machine.stop_orders or deaf:
                # Never sent, or settled by this newer report: it was not started.
                del machine.pending[key]
                tell = urgent = True
        for key, (attempt, _) in list(machine.stop_orders.items()) if machine.stop_orders else ():
            on = tasks.get(key)
            if on is None or on.attempt != attempt or on.status == "ended":
                del machine.stop_orders[key]
        waiting = len(machine.acknowledgements)
        if waiting:
            machine.acknowledgements = {
                (job, index, attempt)
                for job, index, attempt in machine.acknowledgements
                if (on := tasks.get((job, index))) is not None and on.attempt == attempt
            }
        if len(machine.acknowledgements) < waiting or not waiting:  # all that waited were sent
            machine.acknowledgements_since = now
        self._stop_orphans(machine)
        self._stop_cancelled(machine, {key: (on.attempt, on.status) for key, on in tasks.items()})
        if not machine.idle:
            machine.idle_since = None
        elif machine.idle_since is None:
            machine.idle_since = now
        if tell:
            machine.changed()
            self.report_to_job_owners(machine, self.send if urgent else self.send_deferred)
            self.reconciliation.mark_reconciled(machine.name)

    def _stop_cancelled(self, machine: Machine, seen_in_replica: Mapping[TaskKey, tuple[int, str]]) -> None:
        """What a report shows of cancelled jobs is told to stop by whoever answers it, if that has read of their end.

        Their home says so, too, but its word may be lost for as long as it is cut off from here, and this answer would
        go on renewing the lease. ``cancel_s`` is kept by this (docs/design.md, "Cancelled"): who acts has read all
        that was stored a ttl ago.
        """
        for job in {job for job, _ in seen_in_replica if self.cancelled(job)}:
            for (of, index), (attempt, status) in seen_in_replica.items():
                if of == job and status != "ended":
                    machine.stop_orders[(job, index)] = (attempt, 0.0)

    def _stop_orphans(self, machine: Machine) -> None:
        """Tasks of jobs that are over for good have no home to ask."""
        over = [job for job in {job for job, _ in machine.tasks} if self.spec_of(job) is None]
        if not over:
            return
        for (job, index), on in machine.tasks.items():
            if job in over:
                if on.status == "ended":
                    machine.acknowledgements.add((job, index, on.attempt))
                else:
                    machine.stop_orders[(job, index)] = (on.attempt, 0.0)

    def _record_task_outcome(self, machine: Machine, job: str, status: str, cause: str | None, now: float) -> None:
        spec = self.spec_of(job)
        if spec is not None and (status in ("running", "saving") or cause == "done"):
            machine.images[spec.image] = spec.image_gb
            machine.images.move_to_end(spec.image)
            kind = self.types.get(machine.type)
            while kind and kind.cache_gb and len(machine.images) > 1 and sum(machine.images.values()) > kind.cache_gb:
                machine.images.popitem(last=False)
        if cause == "done":
            machine.errors.clear()
        elif cause == "error":
            machine.errors.append(job)
            if len(machine.errors) >= constants.QUARANTINE_ERRORS and len(set(machine.errors)) > 1:
                machine.quarantined_until = now + constants.QUARANTINE_S
                machine.errors.clear()
                log.info("machine=%s state=quarantined cause=errors in a row", machine.name)

    def orders(self, machine: Machine) -> list[dict]:
        """The orders of a response; for a machine that has yet to acknowledge only the end of what is cancelled.

        Clears alone wait for other orders, up to a bound: a worker reports anew for each change, and an ended
        task takes nothing of a machine.
        """
        if (
            not machine.acknowledged
        ):  # what a halt ends here is of use to nobody, so nothing is concluded from its absence
            return [
                stop_order(job, index, attempt, 0.0)
                for (job, index), (attempt, _) in machine.stop_orders.items()
                if self.cancelled(job)
            ]
        if (
            not machine.stop_orders
            and not machine.pending
            and len(machine.acknowledgements) < constants.ACKNOWLEDGE_MAX
            and machine.last_heartbeat_at - machine.acknowledgements_since < constants.ACKNOWLEDGE_WAIT_S
        ):
            return []
        orders = [acknowledge_order(job, index, attempt) for job, index, attempt in sorted(machine.acknowledgements)]
        orders += [
            stop_order(job, index, attempt, wind_down)
            for (job, index), (attempt, wind_down) in machine.stop_orders.items()
        ]
        if machine.state is MachineState.UP and machine.recorded:
            for (job, index), pending in machine.pending.items():
                on = machine.tasks.get((job, index))
                if on is not None and on.attempt != pending.attempt:
                    continue  # the old attempt must be cleared first
                if self.cancelled(job) or (self.calendars is not None and self._closed(job)):
                    # Granted, but its job is cancelled, or its hours have closed, since. Whatever was sent of it was
                    # not carried out, as the report that this answers would show it: the next one frees it.
                    machine.stop_orders[(job, index)] = (pending.attempt, 0.0)
                    continue
                pending.sent += 1
                orders.append(run_order(job, index, pending.attempt))
        return orders

    def _closed(self, job: str) -> bool:
        """Asked for with each order: a response that leaves now is carried out within ``ORDER_S``, or never."""
        spec = self.spec_of(job)
        return spec is not None and not self.calendars.may_start(spec)

    def report_to_job_owners(self, machine: Machine, send: Callable[[str, object], int] | None = None) -> None:
        """To every home, what of its tasks is on the machine: silence would prove nothing.

        A home that knows it all, and has granted nothing since, has nothing to learn.
        """
        if not machine.is_proven:
            return
        sequence_key: dict[str, tuple[list[TaskStatusReport], list[tuple[str, int, int]]]] = {
            label: ([], []) for label in self.members
        }
        of: dict[str, tuple[list, list] | None] = {}  # job -> what its home is told; None: no member is its home
        for (job, _), on in machine.tasks.items():
            lists = of[job] if job in of else of.setdefault(job, sequence_key.get(self.job_owner(job)))
            if lists is not None:
                lists[0].append(on.report)
        for (job, index), attempt in self._held(machine):
            lists = of[job] if job in of else of.setdefault(job, sequence_key.get(self.job_owner(job)))
            if lists is not None:
                lists[1].append((job, index, attempt))
        for label, lists in sequence_key.items():
            if label in machine.owed_reports or machine.last_reports.get(label) != lists:
                machine.last_reports[label] = lists
                (send or self.send)(
                    label, MachineTaskReport(machine.name, machine.zone, self.processed_seq_of(label), *lists)
                )
        machine.owed_reports.clear()

    @staticmethod
    def _held(machine: Machine) -> Iterable[tuple[TaskKey, int]]:
        """Granted or ordered, and not yet seen in a report: neither proof of being there nor of not being there."""
        yield from machine.ordered_before.items()
        for key, pending in machine.pending.items():
            yield key, pending.attempt

    # -- messages of homes -------------------------------------------------

    def on_task_grant(self, label: str, grant: TaskGrant, now: float) -> Machine | None:
        """The machine that it is for, if that is still here."""
        machine = self.machines.get(grant.machine)
        if machine is None:
            if grant.tasks and grant.machine in self.terminated:  # gone while the grant was on its way
                self.send(label, MachineTaskReport(grant.machine, "", self.processed_seq_of(label), [], []))
            return None
        machine.reserved.pop(grant.request_id, None)
        machine.changed()
        if not grant.tasks:
            if machine.idle and machine.idle_since is None:
                machine.idle_since = now
            return machine
        machine.owed_reports.add(label)
        if machine.state is not MachineState.UP:
            self.report_to_job_owners(machine)  # never ordered: the home takes them back
            return machine
        for index, attempt in grant.tasks:
            machine.pending[(grant.job, index)] = Pending(attempt)
        machine.idle_since = None
        return machine

    def on_stop_task(self, halt: StopTask) -> None:
        machine = self.machines.get(halt.machine)
        if machine is None:
            return
        key = (halt.job, halt.index)
        pending = machine.pending.get(key)
        if pending is not None and pending.attempt == halt.attempt and not pending.sent:
            del machine.pending[key]
            machine.changed()
            self.report_to_job_owners(machine)
            return
        machine.stop_orders[key] = (halt.attempt, halt.wind_down_s)

    def execute_claim(self, machine: Machine, victims: Iterable[tuple[str, int, int]], wind_down_s: float) -> None:
        """Stop the victims that the newest report shows; what is not there is passed over."""
        for job, index, attempt in victims:
            on = machine.tasks.get((job, index))
            if (
                on is not None
                and on.attempt == attempt
                and on.status not in ("saving", "ended")
                and (job, index) not in machine.stop_orders
            ):
                machine.stop_orders[(job, index)] = machine.claim_stops[(job, index)] = (attempt, wind_down_s)

    def drop_claim(self, machine: Machine) -> None:
        """The claim is gone: its halts are not repeated."""
        for key, halt in machine.claim_stops.items():
            if machine.stop_orders.get(key) == halt:
                del machine.stop_orders[key]
        machine.claim_stops.clear()

    def machine_tasks(
        self, now: float, claimed: Container[str], may_stop: Callable[[JobSpec], bool] | None
    ) -> list[MachineTasks]:
        """Machines that are up: all tasks of claimed ones; of others those that may stop, or no row without that."""
        rows = []
        for machine in self.machines.values():
            if machine.state is not MachineState.UP or not machine.acknowledged or not machine.recorded:
                continue
            whole = machine.name in claimed
            if not whole and (may_stop is None or now < machine.quarantined_until):
                continue
            tasks = []
            for (job, index), on in machine.tasks.items():
                spec = self.spec_of(job) if on.status != "ended" else None
                if spec is not None and (whole or on.status in ("fetching", "running") and may_stop(spec)):
                    ran = now - on.since if on.status == "running" else 0.0
                    tasks.append((job, index, on.attempt, ran, ran == 0.0 or on.since > machine.observed_since))
            images: set[str] = set()
            if may_stop is not None and (kind := self.types.get(machine.type)) is not None and kind.gpus > 0:
                images.update(
                    machine.images,
                    (
                        spec.image
                        for job, _ in (*machine.tasks, *machine.pending)
                        if (spec := self.spec_of(job)) is not None
                    ),
                )
            rows.append(MachineTasks(machine.name, self.free(machine), tasks, sorted(images)))
        return rows

    def on_acknowledge_finished(self, machine_name: str, job: str, index: int, attempt: int) -> None:
        machine = self.machines.get(machine_name)
        if machine is not None:
            machine.acknowledgements.add((job, index, attempt))

    def reserve(self, machine: Machine, job: str, count: int) -> int:
        self.last_request_id += 1
        machine.reserved[self.last_request_id] = (job, count)
        machine.changed()
        machine.idle_since = None
        return self.last_request_id

    # -- time --------------------------------------------------------------

    def set_answering(self, now: float, acts: bool) -> None:
        """Whether this process answers reports now."""
        if not acts:
            self.answering_since = None
        elif self.answering_since is None:
            self.answering_since = now

    def silence_s(self, machine: Machine, now: float) -> float:
        """How long it has been silent while somebody listened: else it says nothing of the machine.

        After 80 s without the store the leader returned the whole fleet as lost, a second before it reported again.
        """
        return now - max(machine.last_heartbeat_at, now if self.answering_since is None else self.answering_since)

    def due_record_drops(self, now: float) -> list[str]:
        """Records to be dropped: of lapsed machines none until they had time to report again, somebody listening."""
        if self.answering_since is not None and now - self.answering_since >= constants.SILENT_S:
            return self.records_to_drop
        return [name for name in self.records_to_drop if name in self.terminated]

    def check_leases(self, now: float) -> None:
        """Machines whose lease has provably run out. While they report, a look is due once in most of a lease."""
        wait = self.lease_s * (1 + 2 * constants.CLOCK_DRIFT) + constants.PROOF_MARGIN_S
        if now - self.oldest_lease_start <= wait:
            return
        self.oldest_lease_start = now  # who comes later counts from later; a view, and its settling, look anew
        for machine in self.machines.values():
            if machine.state is MachineState.EXPIRED or machine.state is MachineState.TERMINATED:
                continue
            if machine.exclusive_since is None:
                continue
            since = (
                machine.last_heartbeat_at
                if machine.acknowledged
                else max(machine.last_heartbeat_at, machine.exclusive_since)
            )
            if not self._lease_expired(since, now):
                self.oldest_lease_start = min(self.oldest_lease_start, since)
            else:
                self._expire(machine, f"silent for {now - machine.last_heartbeat_at:.1f} s")

    def _lease_expired(self, since: float, now: float) -> bool:
        """Whether a lease that nobody under this view has renewed after ``since`` has provably run out.

        A newer view's part may have renewed it, unknown to a member that is cut off: so none had begun by its end.
        """
        lease = self.lease_s * (1 + 2 * constants.CLOCK_DRIFT)
        return now - since > lease + constants.PROOF_MARGIN_S and self.no_newer_view_until - since > lease

    def _expire(self, machine: Machine, cause: str) -> None:
        log.info("machine=%s state=expired cause=%s", machine.name, cause)
        machine.expire()
        self.reconciliation.mark_expired(machine.name)
        self.report_to_job_owners(machine)
        self._drop_record(machine)

    def _drop_record(self, machine: Machine) -> None:
        """Nothing is on it: no later view need wait for it, and none is to be made to."""
        if machine.name in self.records_to_write:
            self.records_to_write.remove(machine.name)
        # Shown, too: its put was carried out, the answer lost, and nobody tries again. Left behind, that record held up
        # every later view for a lease.
        if machine.recorded or machine.seen_in_replica:
            machine.recorded = machine.seen_in_replica = False
            self.records_to_drop.append(machine.name)

    def on_recorded(self, name: str) -> None:
        """The store holds its record. One that lapsed or went while it was written goes again at once.

        Left behind, it held up every later view for a lease: nobody would ever report for it.
        """
        machine = self.machines.get(name)
        if name in self.records_to_write:
            self.records_to_write.remove(name)
        if machine is not None:
            machine.recorded = True
            if machine.state is MachineState.EXPIRED:
                self._drop_record(machine)
        elif name in self.terminated:
            self.records_to_drop.append(name)

    def on_record_observed(self, name: str) -> None:
        """The replica shows its record; where nothing is on the machine, a put was carried out late: it goes again.

        Never taken for the word that it is recorded: a drop may be on its way, and no ``run`` before that is settled.
        """
        machine = self.machines.get(name)
        if name in self.terminated if machine is None else machine.state is MachineState.EXPIRED:
            self.records_to_drop.append(name)
        elif machine is not None:
            machine.seen_in_replica = True

    def check_silence(self, now: float) -> None:
        """One line a second until every machine is squared, given up or known to be silent."""
        waits = not self.reconciliation.over
        for machine in self.machines.values():
            if not machine.acknowledged and now - machine.last_heartbeat_at > constants.SILENT_S:
                self.reconciliation.mark_silent(machine.name)
        if waits:
            log.info("machine_shard fencing_token=%d %s", self.fencing_token, self.reconciliation.line(now))

    def drain(self, names: Iterable[str]) -> None:
        for name in names:
            self.pending_drains.add(name)
            machine = self.machines.get(name)
            if machine is not None:
                machine.drain()
                self._cancel_unsent(machine)

    def _cancel_unsent(self, machine: Machine) -> None:
        unsent = [key for key, pending in machine.pending.items() if not pending.sent]
        for key in unsent:
            del machine.pending[key]
        if unsent:
            machine.changed()
            self.report_to_job_owners(machine)

    def on_terminated(self, names: Iterable[str]) -> list[str]:
        """Confirmed returns; the names whose records may be dropped."""
        result = []
        for name in names:
            self.terminated.add(name)
            self.pending_drains.discard(name)
            machine = self.machines.pop(name, None)
            if name in self.records_to_write:
                self.records_to_write.remove(name)
            if machine is not None:
                machine.terminate()
                self.reconciliation.mark_terminated(name)
                self.report_to_job_owners(machine)
                log.info("machine=%s state=terminated cause=confirmed by the cloud", name)
                result.append(name)
        return result

    def fetch_s(self, machine: Machine, spec: JobSpec) -> float:
        """How long the machine would fetch the image; 0 if it has it."""
        kind = self.types.get(machine.type)
        if kind is None or spec.image in machine.images or kind.fetch_gb_per_s <= 0:
            return 0.0
        return spec.image_gb / kind.fetch_gb_per_s

    def candidate(self, machine: Machine, now: float) -> Candidate | None:
        """The machine for placement, if tasks may go there."""
        if machine.state is not MachineState.UP or not machine.recorded or now < machine.quarantined_until:
            return None
        return Candidate(machine.name, machine.type, machine.zone, machine.spot, self.free(machine), machine.images)

    def busy(self, now: float) -> placement.BusyMachines:
        """Machines that run something and may have room left."""
        found = [self.candidate(machine, now) for machine in self.machines.values() if not machine.idle]
        return placement.BusyMachines(
            candidate for candidate in found if candidate is not None and candidate.free[0] > 0
        )

    # -- for placement and the leader ----------------------------------------

    def free(self, machine: Machine) -> placement.Resources:
        if machine.free is not None:
            return machine.free
        kind = self.types.get(machine.type)
        if kind is None:
            return (0.0, 0.0, 0.0)
        counts: dict[str, int] = {}
        for (job, _), on in machine.tasks.items():
            if on.status != "ended":
                counts[job] = counts[job] + 1 if job in counts else 1
        for job, _ in machine.pending:
            counts[job] = counts.get(job, 0) + 1
        for job, count in machine.reserved.values():
            counts[job] = counts.get(job, 0) + count
        room, known, spec_of = (kind.cpus, kind.memory_gb, kind.gpus), True, self.spec_of
        for job, count in counts.items():
            spec = spec_of(job)
            if spec is not None:
                room = placement.minus(room, spec, count)
            else:
                known = False  # over for good, or yet to arrive here: looked at again next time
        if known:
            machine.free = room
        return room

    def _busy(
        self, machine: Machine, loads: dict[str, Load | None], run_time: Callable[[JobSpec], float]
    ) -> list[tuple[float | None, float, float, float, float]]:
        """Of each task on it, or to be: since when it runs or None, and its load. ``loads``: found so far, now."""
        tasks = [
            (job, on.since if on.status == "running" else None)
            for (job, _), on in machine.tasks.items()
            if on.status != "ended"
        ]
        tasks += [(job, None) for job, _ in machine.pending]
        found = []
        for job, since in tasks:
            if job not in loads:
                spec = self.spec_of(job)
                loads[job] = None if spec is None else (run_time(spec), spec.cpus, spec.memory_gb, spec.gpus)
            load = loads[job]
            if load is not None:
                found.append((since, *load))
        if len(found) == len(tasks):  # else one is over for good, or yet to arrive here
            machine.busy = found
        return found

    def summaries(self, now: float, run_time: Callable[[JobSpec], float]) -> list[MachineSummary]:
        rows, ceil, nothing = [], math.ceil, (0.0, 0.0, 0.0)
        loads: dict[str, Load | None] = {}
        for machine in self.machines.values():
            ends: dict[int, placement.Resources] = {}  # whole seconds: what ends together is one entry
            busy = machine.busy if machine.busy is not None else self._busy(machine, loads, run_time)
            for since, run_s, cpus, memory, gpus in busy:
                left = run_s if since is None else run_s - (now - since)
                end = ceil(left) if left > 0.0 else 0
                freed = ends.get(end, nothing)
                ends[end] = (freed[0] + cpus, freed[1] + memory, freed[2] + gpus)
            idle = 0.0 if machine.idle_since is None else now - machine.idle_since
            state = machine.state.value
            if now < machine.quarantined_until and machine.state is MachineState.UP:
                state = "aside"
            rows.append(
                MachineSummary(
                    machine.name,
                    machine.type,
                    machine.zone,
                    machine.spot,
                    state,
                    idle,
                    self.free(machine),
                    [(float(end), *freed) for end, freed in ends.items()],
                    self.silence_s(machine, now),
                )
            )
        return rows
