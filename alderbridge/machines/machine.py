"""One machine of a shard: its state, the tasks observed on it, and its unconfirmed orders.

States and their transitions::

    EXPECTED --acknowledge--> UP --drain--> DRAINING
    EXPECTED ------------drain------------> DRAINING
    EXPECTED, UP, DRAINING --expire--> EXPIRED --acknowledge--> UP
    any state --terminate--> TERMINATED

* EXPECTED: recorded or sending heartbeats, but has not acknowledged this view's fencing token yet.
* UP: has acknowledged the fencing token; tasks may be placed on it.
* DRAINING: the cloud reclaims it or the leader drains it; no new tasks are placed on it.
* EXPIRED: its worker's lease has provably expired; no task is on it.
* TERMINATED: the cloud has confirmed its termination.
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
TaskLoad = tuple[
    float | None, float, float, float, float
]  # start time or None, run time in s, cpus, memory in GB, gpus
JobTaskReports = tuple[list[TaskStatusReport], list[tuple[str, int, int]]]  # observed; pending: job, index, attempt


class MachineState(str, Enum):
    """State of a machine under the current view; the values are sent to the leader in ``MachineSummary``."""

    EXPECTED = "expected"
    UP = "up"
    DRAINING = "draining"
    EXPIRED = "lapsed"
    TERMINATED = "gone"


class ObservedTask(msgspec.Struct, frozen=True):
    """A task as reported in the machine's latest heartbeat."""

    attempt: int
    status: str
    cause: str | None
    since: float
    report: TaskStatusReport = msgspec.field(name="seen")  # sent to job owners


class PendingTask(msgspec.Struct):
    """A task granted by its job owner that no heartbeat has shown yet."""

    attempt: int
    times_sent: int = 0  # number of responses that ordered it; a heartbeat that came after them does not show it


class LeaseEvidence:
    """Latest possible renewal of a worker's lease, as far as its heartbeats show.

    The lease may have been renewed at ``renewed_at``. A heartbeat with a fencing token of at least ``renewed_token``
    shows that the worker has accepted a response since then; one with an older token shows that it has not.
    """

    __slots__ = ("exclusive_since", "expired_incarnation", "renewed_at", "renewed_token")

    def __init__(self, renewed_at: float) -> None:
        """``renewed_at``: any controller may have renewed the lease until this time."""
        # Since when only this process could have answered the machine's heartbeats; None: not yet.
        self.exclusive_since: float | None = None
        self.renewed_at = renewed_at
        self.renewed_token = 0
        # Newest incarnation of the worker that has provably ended: its heartbeats show nothing any more.
        self.expired_incarnation = 0


class MachineOrders:
    """Orders for a machine that are unsent or not confirmed by a heartbeat yet."""

    __slots__ = ("acknowledgements", "acknowledgements_since", "claim_stops", "pending", "stops")

    def __init__(self, now: float) -> None:
        """Create an empty set of orders."""
        self.pending: dict[TaskKey, PendingTask] = {}
        self.stops: dict[TaskKey, StopOrder] = {}
        self.claim_stops: dict[TaskKey, StopOrder] = {}  # those of ``stops`` that belong to a preemption claim
        self.acknowledgements: set[tuple[str, int, int]] = set()  # finished tasks: job, index, attempt
        self.acknowledgements_since = now  # earliest time since which an acknowledgement may be unsent


class PriorViewState:
    """State inherited from the previous view, for use before the machine's first heartbeat under this view."""

    __slots__ = ("complete", "observed_since", "unconfirmed")

    def __init__(self, now: float) -> None:
        """Nothing is inherited; the machine is observed from ``now`` on."""
        # Whether ``Machine.tasks`` and ``unconfirmed`` together hold every task that may be on the machine. True only
        # if this process served the machine in the previous view.
        self.complete = False
        self.unconfirmed: dict[TaskKey, int] = {}  # ordered in the previous view, in no heartbeat yet: task -> attempt
        self.observed_since = now  # tasks already running at this time have run for longer than observed


class ReportHistory:
    """The last reports on a machine that were sent to job owners."""

    __slots__ = ("last_sent", "owners_due")

    def __init__(self) -> None:
        """Create a history without reports."""
        self.last_sent: dict[str, JobTaskReports] = {}  # job owner -> last report sent to it
        self.owners_due: set[str] = set()  # job owners that granted tasks since: due a report even if nothing changed


class MachineHealth:
    """Consecutive task errors on a machine, and the end of its quarantine for errors or lost orders."""

    __slots__ = ("consecutive_error_jobs", "quarantined_until")

    def __init__(self) -> None:
        """Create the state of a machine without errors or quarantine."""
        self.consecutive_error_jobs: list[str] = []  # one entry per error since the last successful task
        self.quarantined_until = 0.0


class Machine:
    """A machine under one view. Times are on the monotonic clock, in s."""

    def __init__(self, name: str, now: float) -> None:
        """Create a machine in state EXPECTED; ``now``: time of its first heartbeat, or start of the view."""
        self.name = name
        self.state = MachineState.EXPECTED
        self.type = self.zone = self.address = ""
        self.spot = False
        self.recorded = False  # the store holds its record; no ``run`` order is sent before that
        # The replica shows its record. This does not imply ``recorded``: a drop of the record may be in flight.
        self.seen_in_replica = False
        self.acknowledged = False  # a heartbeat has carried this view's fencing token
        self.prior_view = PriorViewState(now)
        self.last_heartbeat_at = now  # receipt of the latest heartbeat, or start of the view
        self.last_sequence = (0, 0)  # (incarnation, sequence) of the latest heartbeat
        self.lease = LeaseEvidence(now)
        self.free: Resources | None = None  # cache, see ``invalidate_cached_load``
        self.task_loads: list[TaskLoad] | None = None  # cache, see ``invalidate_cached_load``
        self.tasks: dict[TaskKey, ObservedTask] = {}
        self.reserved: dict[int, tuple[str, int]] = {}  # task request -> job, count
        self.orders = MachineOrders(now)
        self.reports = ReportHistory()
        self.images: OrderedDict[str, float] = OrderedDict()  # cached image -> size in GB, least recently used first
        self.idle_since: float | None = now
        self.health = MachineHealth()

    @classmethod
    def from_record(cls, name: str, record: MachineRecord, fencing_token: int, now: float) -> Machine:
        """Create a recorded machine in a view that starts at ``now``."""
        machine = cls(name, now)
        machine.lease.renewed_token = fencing_token
        machine.recorded = True
        machine.address, machine.type = record.address, record.type
        machine.zone, machine.spot = record.zone, record.spot
        return machine

    def inherit(self, previous: Machine) -> None:
        """Inherit the state from an older view that stays valid even if another controller served it in between."""
        if previous.type:
            self.type, self.zone, self.spot = previous.type, previous.zone, previous.spot
        self.address = previous.address or self.address
        self.images = previous.images
        self.last_sequence = previous.last_sequence
        self.lease.expired_incarnation = previous.lease.expired_incarnation
        self.idle_since = previous.idle_since
        if previous.state is MachineState.DRAINING:
            self.drain()

    def inherit_exclusivity(self, previous: Machine) -> None:
        """Inherit the lease evidence of the previous view, if only this process answered heartbeats then."""
        if previous.lease.exclusive_since is None:
            return
        self.lease.exclusive_since = previous.lease.exclusive_since
        self.last_heartbeat_at = self.lease.renewed_at = previous.last_heartbeat_at
        if not previous.acknowledged:  # it may have accepted no response under that view
            self.lease.renewed_at = previous.lease.renewed_at
            self.lease.renewed_token = previous.lease.renewed_token

    def inherit_tasks(self, previous: Machine) -> None:
        """Inherit tasks and unconfirmed orders; only if this process sent all orders under the previous view."""
        self.tasks = dict(previous.tasks)
        sent = {key: pending.attempt for key, pending in previous.orders.pending.items() if pending.times_sent}
        self.prior_view.complete = True
        self.prior_view.observed_since = previous.prior_view.observed_since
        self.prior_view.unconfirmed = previous.prior_view.unconfirmed | sent

    def acknowledge(self) -> None:
        """Record that a heartbeat has carried the view's fencing token."""
        self.acknowledged = True
        if self.state is not MachineState.DRAINING:
            self.state = MachineState.UP

    def drain(self) -> None:
        """Stop placing new tasks on the machine."""
        if self.state in (MachineState.UP, MachineState.EXPECTED):
            self.state = MachineState.DRAINING

    def expire(self, incarnation: int) -> None:
        """Record that the worker's lease has provably expired: no task is left on the machine.

        ``incarnation``: the newest one that this expiry has ended.
        """
        self.state = MachineState.EXPIRED
        self.lease.expired_incarnation = max(self.lease.expired_incarnation, incarnation)
        self.idle_since = None
        self._clear_tasks()

    def terminate(self) -> None:
        """Record that the cloud has confirmed the termination."""
        self.state = MachineState.TERMINATED
        self._clear_tasks()

    def invalidate_cached_load(self) -> None:
        """Discard the cached free capacity and task loads after a change of tasks or orders."""
        self.free = self.task_loads = None

    def _clear_tasks(self) -> None:
        self.tasks.clear()
        self.prior_view.unconfirmed.clear()
        self.orders.pending.clear()
        self.orders.stops.clear()
        self.orders.acknowledgements.clear()
        self.invalidate_cached_load()

    @property
    def has_complete_tasks(self) -> bool:
        """Whether every task that may be on the machine under this view is known."""
        return (
            self.acknowledged
            or self.prior_view.complete
            or self.state in (MachineState.EXPIRED, MachineState.TERMINATED)
        )

    @property
    def record(self) -> MachineRecord:
        """The machine's record in the store."""
        return MachineRecord(self.address, self.type, self.zone, self.spot)

    @property
    def idle(self) -> bool:
        """Whether the machine has no live task, granted task or reservation."""
        if self.orders.pending or self.reserved:
            return False
        return all(task.status == "ended" for task in self.tasks.values())
