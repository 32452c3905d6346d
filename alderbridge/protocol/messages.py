"""The messages between controllers: tagged arrays in frames.

Tags and the order of fields define the wire format; field names are not sent. A field may only be added at the end of
a structure, with a default. A message "since protocol version N" may only be sent to members of at least that version.
Amounts by team are (cpus, gpus).
"""

from __future__ import annotations

import msgspec


class Message(msgspec.Struct, array_like=True, tag=True, frozen=True):
    """Base of all messages; each states its tag on the wire."""


class KeepAlive(Message, frozen=True, tag="Pulse"):
    """Empty message, sent for the acknowledgement in its frame."""


class QueueRow(msgspec.Struct, array_like=True, frozen=True):
    """One waiting job of a job shard."""

    job: str
    waiting: int  # tasks
    offer: int  # waiting tasks that may be granted now
    due_in_s: float  # until Maximum Queue Time is breached
    run_s: float  # Expected Run Time
    zone: str | None  # the only zone that its tasks may run in now; None: any
    waited_s: float
    late: bool  # exceeds all of its Maximum Queue Times
    guaranteed: bool  # is within its team's guaranteed quota
    rank: int = -1  # highest priority of its dependents, where higher than its own
    inherited: int = 0  # tasks behind the recovery barrier: they may be on a machine that has not sent a heartbeat yet
    priority_boost: int = 0  # 1: first within its priority; 2: before all jobs that are not guaranteed


class QueueSnapshot(Message, frozen=True, tag="Queue"):
    """A job shard's waiting jobs and the usage of its teams; used while a member runs a protocol version below 6."""

    rows: list[QueueRow]
    used: dict[str, tuple[float, float]]
    reserved: dict[str, tuple[float, float]]  # the larger of used and allocated quota
    demand: dict[str, tuple[float, float]]
    allocations_received: int  # quota allocations received under this fencing token
    suspected: list[str] = []  # members from which the sender has received no frame lately
    failed: list[str] = []  # suspected members whose frames it rejects under this fencing token
    changes: int = -1  # its recent store changes per second; -1: unknown, it may use its whole share


class QueueDelta(Message, frozen=True, tag="QueueChanges"):
    """Rows of a job shard's queue that have changed since the previous delta. Since protocol version 6."""

    created_at: float  # time of creation by the sender's monotonic clock, in s; the times in the rows refer to it
    rows: list[QueueRow]
    removed_jobs: list[str]  # jobs whose rows are removed
    is_full: bool  # contains all rows, and replaces the previous ones


class TeamUsage(msgspec.Struct, array_like=True, frozen=True):
    """One team's usage and demand at one job shard."""

    used: tuple[float, float]
    reserved: tuple[float, float]  # the larger of used and allocated quota
    demand: tuple[float, float]


class TeamUsageDelta(Message, frozen=True, tag="TeamChanges"):
    """Usage of teams at a job shard that has changed since the previous delta. Since protocol version 6."""

    teams: dict[str, TeamUsage]  # all zeros: the team has no jobs left
    allocations_received: int  # quota allocations received under this fencing token and included here
    is_full: bool  # contains all teams, and replaces the previous ones


class PeerStatus(Message, frozen=True, tag="Status"):
    """A member's suspected and failed peers, and its store write rate. Since protocol version 6."""

    suspected: list[str]  # members from which the sender has received no frame lately
    failed: list[str]  # suspected members whose frames it rejects under this fencing token
    changes: int  # its recent store changes per second


class QuotaDelta(Message, frozen=True, tag="AllotChanges"):
    """Quota allocations of one job shard that have changed since the previous message. Since protocol version 6."""

    teams: dict[str, tuple[float, float]]


class MachineSummary(msgspec.Struct, array_like=True, frozen=True):
    """State of one machine, from its machine shard."""

    machine: str
    type: str
    zone: str
    spot: bool
    state: str
    idle_s: float
    free: tuple[float, float, float]  # cpus, memory, gpus
    ends: list[tuple[float, float, float, float]]  # by task: expected remaining time in s, cpus, memory, gpus
    silent_s: float


class MachineSummaries(Message, frozen=True, tag="Room"):
    """Summaries of a machine shard's machines, for the leader."""

    rows: list[MachineSummary]


class TaskRequest(Message, frozen=True, tag="Take"):
    """A machine shard with free capacity requests tasks from a job shard."""

    request_id: int
    job: str
    machine: str
    zone: str
    count: int


class TaskGrant(Message, frozen=True, tag="Grant"):
    """The job shard's response: tasks (index, attempt) for that machine; may be empty."""

    request_id: int
    job: str
    machine: str
    tasks: list[tuple[int, int]]


class TaskStatusReport(msgspec.Struct, array_like=True, frozen=True):
    """A task from the last heartbeat of its worker; ``cause``: why it ended, if it failed."""

    job: str
    index: int
    attempt: int
    status: str
    cause: str | None


class MachineTaskReport(Message, frozen=True, tag="Seen"):
    """All of one job shard's tasks on one machine; the job shard's other tasks are proven not to be there.

    ``processed_seq`` is the sequence of the last message of the job shard that the machine shard had processed.
    """

    machine: str
    zone: str
    processed_seq: int
    tasks: list[TaskStatusReport]
    pending: list[tuple[str, int, int]]  # job, index, attempt: granted, but not in a heartbeat yet


class AcknowledgeFinished(Message, frozen=True, tag="Clear"):
    """The job shard has stored the result of an attempt, so that the worker may forget it."""

    machine: str
    job: str
    index: int
    attempt: int


class StopTask(Message, frozen=True, tag="Halt"):
    """Request of a job shard to stop an attempt, which has ``wind_down_s`` to save a checkpoint."""

    machine: str
    job: str
    index: int
    attempt: int
    wind_down_s: float


class QuotaAllocation(Message, frozen=True, tag="Allot"):
    """All quota that the leader allocates to one job shard, by team."""

    teams: dict[str, tuple[float, float]]


class DrainMachines(Message, frozen=True, tag="Drain"):
    """The leader is about to return these machines: no tasks may be placed on them from now on."""

    machines: list[str]


class MachinesTerminated(Message, frozen=True, tag="Gone"):
    """The cloud has confirmed that these machines, and all tasks on them, are terminated."""

    machines: list[str]


class ListMachineTasks(Message, frozen=True, tag="Show"):
    """The leader plans preemptions and requests one ``MachineTaskList``. Since protocol version 4."""


class MachineTasks(msgspec.Struct, array_like=True, frozen=True):
    """Tasks on one machine that could be preempted, or are victims of its preemption claim."""

    machine: str
    free: tuple[float, float, float]  # cpus, memory, gpus
    # Job, index, attempt, run time in s, and whether that is the total run time of the attempt.
    tasks: list[tuple[str, int, int, float, bool]]
    images: list[str] = []  # cached or being fetched; only of machines with GPUs, if the leader requested the list


class MachineTaskList(Message, frozen=True, tag="Tasks"):
    """A machine shard's tasks on machines with a claim or, if the leader requested it, on all that are up."""

    rows: list[MachineTasks]
    whole: bool  # also contains the machines without a claim, as the leader requested


class GpuReservation(Message, frozen=True, tag="Keep"):
    """GPUs by machine that are reserved for lending for ``GPU_RESERVATION_TTL_S``. Since protocol version 4."""

    gpus: dict[str, float]


class JobQuery(Message, frozen=True, tag="Ask"):
    """A user's request about a job, forwarded to its job shard."""

    query_id: int
    kind: str  # "status" or "withdraw"
    job: str


class JobQueryReply(Message, frozen=True, tag="Reply"):
    """The response for the user: HTTP status and body."""

    query_id: int
    status: int
    body: bytes


Body = (
    KeepAlive
    | QueueSnapshot
    | QueueDelta
    | TeamUsageDelta
    | PeerStatus
    | QuotaDelta
    | MachineSummaries
    | TaskRequest
    | TaskGrant
    | MachineTaskReport
    | AcknowledgeFinished
    | StopTask
    | QuotaAllocation
    | DrainMachines
    | MachinesTerminated
    | ListMachineTasks
    | MachineTaskList
    | GpuReservation
    | JobQuery
    | JobQueryReply
)


class Frame(msgspec.Struct, array_like=True, frozen=True):
    """A message with its sequence number, and the acknowledgement for the other direction."""

    version: str
    sender: str
    fencing_token: int
    seq: int  # sequence of reliable messages under one fencing token; 0: not sent again when lost
    ack: int  # ``seq`` of the last reliable message that the sender has received
    body: Body
    sender_lease_id: int = 0  # store lease of the sender in this view; 0: not a member, or an older version
