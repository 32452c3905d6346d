"""One machine as its shard knows it: its state, the tasks observed on it, and what is on its way there.

States and their transitions::

    EXPECTED --acknowledge--> UP --drain--> DRAINING
    EXPECTED ------------drain------------> DRAINING
    EXPECTED, UP, DRAINING --expire--> EXPIRED --acknowledge--> UP
    any state --terminate--> TERMINATED

* EXPECTED: recorded or reporting, not yet heard from with this view's fencing token.
* UP: has acknowledged the fencing token; tasks may be placed on it.
* DRAINING: the cloud or the leader wants it back; nothing new is placed there.
* EXPIRED: its worker's lease has provably run out; nothing is on it.
* TERMINATED: the cloud has confirmed that it is gone.
"""

from __future__ import annotations

from collections import OrderedDict
from enum import Enum

import msgspec

from alderbridge.protocol.messages import TaskStatusReport
from alderbridge.protocol.wire import MachineRecord
from alderbridge.scheduling.resources import Resources

TaskKey = tuple[str, int]  # job, index
StopOrder = tuple[int, float]  # attempt, wind-down in s
TaskLoad = tuple[float | None, float, float, float, float]  # running since or None, run time in s, cpus, memory, gpus
JobTaskReports = tuple[list[TaskStatusReport], list[tuple[str, int, int]]]  # observed; pending: job, index, attempt


class MachineState(str, Enum):
    """State of a machine under the current view; the values go to the leader, see ``MachineSummary``."""

    EXPECTED = "expected"
    UP = "up"
    DRAINING = "draining"
    EXPIRED = "lapsed"
    TERMINATED = "gone"


class ObservedTask(msgspec.Struct, frozen=True):
    """A task as a machine last reported it."""

    attempt: int
    status: str
    cause: str | None
    since: float
    report: TaskStatusReport = msgspec.field(name="seen")  # what job owners are told of it


class Pending(msgspec.Struct):
    """A task granted by its job owner, and not yet seen in a heartbeat."""

    attempt: int
    sent: int = 0  # in how many responses it was ordered; a heartbeat that came after them does not show it


class LeaseEvidence:
    """What is known of a worker's lease.

    Heartbeats with an older fencing token leave open that it was renewed at ``renewed_at``, or by a response whose
    token was at least ``renewed_token``: later heartbeats bear the token of a response that was accepted.
    """

    __slots__ = ("exclusive_since", "renewed_at", "renewed_token")

    def __init__(self, renewed_at: float) -> None:
        """Renewed by whoever served the machine until then."""
        # Since when only this process could have answered its heartbeats; None: not yet.
        self.exclusive_since: float | None = None
        self.renewed_at = renewed_at
        self.renewed_token = 0


class MachineOrders:
    """What is to be ordered of a machine, or was ordered and has not shown in a heartbeat yet."""

    __slots__ = ("acknowledgements", "acknowledgements_since", "claim_stops", "pending", "stops")

    def __init__(self, now: float) -> None:
        """Nothing is to be ordered."""
        self.pending: dict[TaskKey, Pending] = {}
        self.stops: dict[TaskKey, StopOrder] = {}
        self.claim_stops: dict[TaskKey, StopOrder] = {}  # of ``stops``, those for the machine's claim
        self.acknowledgements: set[tuple[str, int, int]] = set()  # finished tasks: job, index, attempt
        self.acknowledgements_since = now  # since when the oldest of them may have waited unsent


class PriorKnowledge:
    """What this process knows of a machine from before its first heartbeat under the view."""

    __slots__ = ("complete", "observed_since", "ordered")

    def __init__(self, now: float) -> None:
        """Nothing is known until ``now``."""
        # All that may be on it is known from the view before, in which this same process served it: the tasks of the
        # machine, and ``ordered``, what was ordered then and not yet seen in a heartbeat.
        self.complete = False
        self.ordered: dict[TaskKey, int] = {}  # task -> attempt
        self.observed_since = now  # what ran here when this process first heard of it ran for longer than is known


class ReportHistory:
    """What the job owners were told of a machine."""

    __slots__ = ("last", "due")

    def __init__(self) -> None:
        """They were told nothing."""
        self.last: dict[str, JobTaskReports] = {}  # job owner -> its last report
        self.due: set[str] = set()  # job owners that granted tasks since: they get a report even if nothing changed


class MachineHealth:
    """Failures of tasks on a machine, and until when it is quarantined for them or for lost orders."""

    __slots__ = ("error_jobs", "quarantined_until")

    def __init__(self) -> None:
        """Not quarantined."""
        self.error_jobs: list[str] = []  # jobs of the errors in a row
        self.quarantined_until = 0.0


class Machine:
    """A machine under one view. Times are of the steady clock, in s."""

    def __init__(self, name: str, now: float) -> None:
        """A machine that nothing is known of; ``now``: when this process first heard of it, or the view began."""
        self.name = name
        self.state = MachineState.EXPECTED
        self.type = self.zone = self.address = ""
        self.spot = False
        self.recorded = False  # the store holds its record; no ``run`` order before that
        # The replica shows its record; who wrote it, and what else is on its way, is not known yet.
        self.seen_in_replica = False
        self.acknowledged = False  # a heartbeat has borne this view's fencing token
        self.prior = PriorKnowledge(now)
        self.last_heartbeat_at = now  # receipt of the newest heartbeat, or the view's start
        self.last_sequence = (0, 0)  # (incarnation, sequence) of the newest heartbeat
        self.lease = LeaseEvidence(now)
        self.free: Resources | None = None  # cached until ``changed``
        self.busy: list[TaskLoad] | None = None  # cached until ``changed``
        self.tasks: dict[TaskKey, ObservedTask] = {}
        self.reserved: dict[int, tuple[str, int]] = {}  # task request -> job, count
        self.orders = MachineOrders(now)
        self.reports = ReportHistory()
        self.images: OrderedDict[str, float] = OrderedDict()  # cached images -> GB, the least recently used first
        self.idle_since: float | None = now
        self.health = MachineHealth()

    # -- entering a view ---------------------------------------------------

    @classmethod
    def from_record(cls, name: str, record: MachineRecord, fencing_token: int, now: float) -> Machine:
        """A machine that the store has recorded, in a view that begins ``now``."""
        machine = cls(name, now)
        machine.lease.renewed_token = fencing_token
        machine.recorded = True
        machine.address, machine.type = record.address, record.type
        machine.zone, machine.spot = record.zone, record.spot
        return machine

    def inherit(self, before: Machine) -> None:
        """Take over what this process knew of the machine under an older view, whoever served it in between."""
        if before.type:
            self.type, self.zone, self.spot = before.type, before.zone, before.spot
        self.address = before.address or self.address
        self.images = before.images
        self.last_sequence = before.last_sequence
        self.idle_since = before.idle_since
        if before.state is MachineState.DRAINING:
            self.drain()

    def inherit_exclusivity(self, before: Machine) -> None:
        """Nobody but this process has answered its heartbeats since, if that held in the view just before."""
        if before.lease.exclusive_since is None:
            return
        self.lease.exclusive_since = before.lease.exclusive_since
        self.last_heartbeat_at = self.lease.renewed_at = before.last_heartbeat_at
        if not before.acknowledged:  # it may have heard no response for longer than that view lasted
            self.lease.renewed_at = before.lease.renewed_at
            self.lease.renewed_token = before.lease.renewed_token

    def inherit_tasks(self, before: Machine) -> None:
        """This process gave it all its orders under the view before, and knows the reports that answered them."""
        self.tasks = dict(before.tasks)
        sent = {key: pending.attempt for key, pending in before.orders.pending.items() if pending.sent}
        self.prior.complete = True
        self.prior.observed_since = before.prior.observed_since
        self.prior.ordered = before.prior.ordered | sent

    # -- changes of state, one method each ---------------------------------

    def acknowledge(self) -> None:
        """A heartbeat bore the view's fencing token."""
        self.acknowledged = True
        if self.state is not MachineState.DRAINING:
            self.state = MachineState.UP

    def drain(self) -> None:
        """Nothing new is to be placed on it."""
        if self.state in (MachineState.UP, MachineState.EXPECTED):
            self.state = MachineState.DRAINING

    def expire(self) -> None:
        """Its lease has run out for certain."""
        self.state = MachineState.EXPIRED
        self.idle_since = None
        self._clear_tasks()

    def terminate(self) -> None:
        """The cloud has confirmed that it is gone."""
        self.state = MachineState.TERMINATED
        self._clear_tasks()

    def changed(self) -> None:
        """What is on it, or on its way there, has changed: the cached sums are void."""
        self.free = self.busy = None

    def _clear_tasks(self) -> None:
        self.tasks.clear()
        self.prior.ordered.clear()
        self.orders.pending.clear()
        self.orders.stops.clear()
        self.orders.acknowledgements.clear()
        self.changed()

    # -- questions ---------------------------------------------------------

    @property
    def is_proven(self) -> bool:
        """Whether what is known of its tasks is complete under this view."""
        return self.acknowledged or self.prior.complete or self.state in (MachineState.EXPIRED, MachineState.TERMINATED)

    @property
    def record(self) -> MachineRecord:
        """What the store keeps of it."""
        return MachineRecord(self.address, self.type, self.zone, self.spot)

    @property
    def idle(self) -> bool:
        """Whether nothing runs on it, nor is on its way there."""
        if self.orders.pending or self.reserved:
            return False
        return all(task.status == "ended" for task in self.tasks.values())
