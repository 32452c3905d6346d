"""The messages between controllers: tagged arrays in frames.

Positions and tags go over the wire, names do not. A field may only be added at the end of a structure, with a default.
Amounts of teams are (cpus, gpus); a number of protocol version says which members a message may be sent to.
"""

from __future__ import annotations

import msgspec


class Message(msgspec.Struct, array_like=True, tag=True, frozen=True):
    """Base of all messages; each states its tag, which goes over the wire."""


class KeepAlive(Message, frozen=True, tag="Pulse"):
    """No content: its frame carries an acknowledgement."""


class QueueRow(msgspec.Struct, array_like=True, frozen=True):
    """One waiting job of a job shard."""

    job: str
    waiting: int  # tasks that wait
    offer: int  # of these, tasks that may be granted now
    due_in_s: float  # until Maximum Queue Time is breached
    run_s: float  # Expected Run Time
    zone: str | None  # the only zone it may use now, if any
    waited_s: float
    late: bool  # has missed every Maximum Queue Time
    guaranteed: bool  # lies within its team's guarantee
    rank: int = -1  # priority of the jobs that need it, where higher than its own
    inherited: int = 0  # tasks behind the recovery barrier: they may be on a machine that has not reported yet
    priority_boost: int = 0  # 1: it goes first among its priority, 2: before all that is not guaranteed


class QueueSnapshot(Message, frozen=True, tag="Queue"):
    """A job shard's waiting jobs and the usage of its teams; sent every round."""

    rows: list[QueueRow]
    used: dict[str, tuple[float, float]]
    reserved: dict[str, tuple[float, float]]  # the larger of what is used and what is allocated
    demand: dict[str, tuple[float, float]]
    allocations_received: int  # quota allocations received under this fencing token
    suspected: list[str] = []  # members of which the sender has no frame lately
    failed: list[str] = []  # of these, those whose frames it accepts no more under this fencing token
    changes: int = -1  # of the store, that it made in a second lately; -1: it may make all of its share


class QueueDelta(Message, frozen=True, tag="QueueChanges"):
    """Rows of a job shard's queue that have changed since the delta before. Since protocol version 6."""

    at: float  # when this was made, s of the sender's steady clock; the times of the rows are as they stood then
    rows: list[QueueRow]
    gone: list[str]  # jobs whose rows are to be removed
    whole: bool  # all rows: they replace the ones before


class TeamUsage(msgspec.Struct, array_like=True, frozen=True):
    """One team's sums at one job shard."""

    used: tuple[float, float]
    reserved: tuple[float, float]  # the larger of what is used and what is allocated
    demand: tuple[float, float]


class TeamUsageDelta(Message, frozen=True, tag="TeamChanges"):
    """A job shard's sums that have changed since the delta before. Since protocol version 6."""

    teams: dict[str, TeamUsage]  # nothing but zeros: the team has no jobs any more
    allocations_received: int  # quota allocations received under this fencing token, which these sums include
    whole: bool  # all teams: they replace the ones before


class PeerStatus(Message, frozen=True, tag="Status"):
    """What each member needs to know of another in each round. Since protocol version 6."""

    suspected: list[str]  # members of which the sender has no frame lately
    failed: list[str]  # of these, those whose frames it accepts no more under this fencing token
    changes: int  # of the store, that it made in a second lately


class QuotaDelta(Message, frozen=True, tag="AllotChanges"):
    """Quota allocations of one job shard that have changed since the ones before. Since protocol version 6."""

    teams: dict[str, tuple[float, float]]


class MachineSummary(msgspec.Struct, array_like=True, frozen=True):
    """One machine as its machine shard sees it."""

    machine: str
    type: str
    zone: str
    spot: bool
    state: str
    idle_s: float
    free: tuple[float, float, float]  # cpus, memory, gpus
    ends: list[tuple[float, float, float, float]]  # of its tasks: expected remaining s, cpus, memory, gpus
    silent_s: float


class MachineSummaries(Message, frozen=True, tag="Room"):
    """The machines of a machine shard, for the leader."""

    rows: list[MachineSummary]


class TaskRequest(Message, frozen=True, tag="Take"):
    """A machine shard with room asks a job shard for tasks."""

    request_id: int
    job: str
    machine: str
    zone: str
    count: int


class TaskGrant(Message, frozen=True, tag="Grant"):
    """The job shard's answer: tasks (index, attempt) for that machine; may be none."""

    request_id: int
    job: str
    machine: str
    tasks: list[tuple[int, int]]


class TaskStatusReport(msgspec.Struct, array_like=True, frozen=True):
    """A task as the worker last reported it; ``cause``: why it ended, if it failed."""

    job: str
    index: int
    attempt: int
    status: str
    cause: str | None


class MachineTaskReport(Message, frozen=True, tag="Seen"):
    """All that is known of one job shard's tasks on one machine: also proof of which are not there.

    ``processed_seq`` is the sequence of the job shard's last message that the machine shard had processed.
    """

    machine: str
    zone: str
    processed_seq: int
    tasks: list[TaskStatusReport]
    pending: list[tuple[str, int, int]]  # job, index, attempt: granted, and not in a heartbeat yet


class AcknowledgeFinished(Message, frozen=True, tag="Clear"):
    """A job shard has stored the result of that attempt: the worker may forget it."""

    machine: str
    job: str
    index: int
    attempt: int


class StopTask(Message, frozen=True, tag="Halt"):
    """A job shard wants that attempt stopped; it has ``wind_down_s`` to save a checkpoint."""

    machine: str
    job: str
    index: int
    attempt: int
    wind_down_s: float


class QuotaAllocation(Message, frozen=True, tag="Allot"):
    """All quota that the leader allocates to one job shard, by team."""

    teams: dict[str, tuple[float, float]]


class DrainMachines(Message, frozen=True, tag="Drain"):
    """The leader is about to return these machines: nothing may be placed on them again."""

    machines: list[str]


class MachinesTerminated(Message, frozen=True, tag="Gone"):
    """The cloud has confirmed that these machines, and all tasks on them, are terminated."""

    machines: list[str]


class ListMachineTasks(Message, frozen=True, tag="Show"):
    """The leader may have to preempt: machine shards answer with their tasks, once. Since protocol version 4."""


class MachineTasks(msgspec.Struct, array_like=True, frozen=True):
    """Tasks on one machine that might be preempted, or are victims of its claim."""

    machine: str
    free: tuple[float, float, float]  # cpus, memory, gpus
    tasks: list[tuple[str, int, int, float, bool]]  # job, index, attempt, s it ran, whether that is all it ran
    images: list[str] = []  # of a machine with GPUs: cached, or being fetched


class MachineTaskList(Message, frozen=True, tag="Tasks"):
    """A machine shard's tasks, for the leader: on machines with a claim, or on all that are up if it asked so."""

    rows: list[MachineTasks]
    whole: bool


class GpuReservation(Message, frozen=True, tag="Keep"):
    """GPUs by machine that lending keeps free for ``GPU_RESERVATION_TTL_S``. Since protocol version 4."""

    gpus: dict[str, float]


class JobQuery(Message, frozen=True, tag="Ask"):
    """A user's question, passed on to the job shard."""

    query_id: int
    kind: str  # "status" or "withdraw"
    job: str


class JobQueryReply(Message, frozen=True, tag="Reply"):
    """The answer: status and body as the user gets them."""

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
    """A message on its way, and the acknowledgement of the other direction."""

    version: str
    sender: str
    fencing_token: int
    seq: int  # counts the messages that must arrive, under one fencing token; 0: not resent when lost
    ack: int  # the last ``seq`` that the sender has received
    body: Body
    sender_lease_id: int = (
        0  # under which the sender takes part in this view; 0: it does not, or is of an older version
    )
