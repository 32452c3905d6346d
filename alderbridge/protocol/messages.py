"""What controllers say to each other: tagged tuples in frames.

Positions and tags go over the wire, names do not. A field may only be added at the end of a structure, with a default.
"""

from __future__ import annotations

import msgspec


class Message(msgspec.Struct, array_like=True, tag=True, frozen=True):
    """Base of all messages; each names its tag, which goes over the wire."""


class KeepAlive(Message, tag="Pulse"):
    """Nothing to say: carries the acknowledgement."""


class QueueRow(msgspec.Struct, array_like=True, frozen=True):
    """One waiting job at its home."""

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
    inherited: int = 0  # tasks behind the barrier: they may be on a machine that has not been heard
    priority_boost: int = 0  # 1: it goes first among its priority, 2: before all that is not guaranteed


class QueueSnapshot(Message, tag="Queue"):
    """A home's waiting jobs and what its teams hold; sent every round."""

    rows: list[QueueRow]
    used: dict[str, tuple[float, float]]
    reserved: dict[str, tuple[float, float]]  # the larger of what is used and what is allowed
    demand: dict[str, tuple[float, float]]
    allocations_received: int  # allotments received under this mandate
    suspected: list[str] = []  # members that the sender does not hear
    failed: list[str] = []  # of these, those that it hears no more under this mandate, whatever comes
    changes: int = -1  # of the store, that it made in a second lately; -1: it may make all of its share


class QueueDelta(Message, tag="QueueChanges"):
    """Rows of a home's queue that are news, in order after the ones before. Only among members of generation 6."""

    at: float  # when this was made, s of the sender's steady clock; the times of the rows are as they stood then
    rows: list[QueueRow]
    gone: list[str]  # jobs that have no row any more
    whole: bool  # all rows: what was told before is void


class TeamUsage(msgspec.Struct, array_like=True, frozen=True):
    """One team's sums at one home; each is cpus, gpus."""

    used: tuple[float, float]
    reserved: tuple[float, float]  # the larger of what is used and what is allowed
    demand: tuple[float, float]


class TeamUsageDelta(Message, tag="TeamChanges"):
    """A home's sums that differ from what the leader was told. Only among members of generation 6."""

    teams: dict[str, TeamUsage]  # nothing but zeros: the team has none any more
    allocations_received: int  # allowances received under this mandate, on which these sums rest
    whole: bool  # all teams: what was told before is void


class PeerStatus(Message, tag="Status"):
    """What each member needs to know of another in each round. Only among members of generation 6."""

    suspected: list[str]  # members that the sender does not hear
    failed: list[str]  # of these, those that it hears no more under this mandate, whatever comes
    changes: int  # of the store, that it made in a second lately


class QuotaDelta(Message, tag="AllotChanges"):
    """Allowances of one home that differ from the ones before. Only among members of generation 6."""

    teams: dict[str, tuple[float, float]]


class MachineSummary(msgspec.Struct, array_like=True, frozen=True):
    """One machine as its part sees it."""

    machine: str
    type: str
    zone: str
    spot: bool
    state: str
    idle_s: float
    free: tuple[float, float, float]  # cpus, memory, gpus
    ends: list[tuple[float, float, float, float]]  # remaining s, cpus, memory, gpus
    silent_s: float


class MachineSummaries(Message, tag="Room"):
    """A part's machines, for the leader."""

    rows: list[MachineSummary]


class TaskRequest(Message, tag="Take"):
    """A part with room asks a job's home for tasks."""

    request_id: int
    job: str
    machine: str
    zone: str
    count: int


class TaskGrant(Message, tag="Grant"):
    """The home's answer: tasks (index, attempt) for that machine; may be none."""

    request_id: int
    job: str
    machine: str
    tasks: list[tuple[int, int]]


class TaskStatusReport(msgspec.Struct, array_like=True, frozen=True):
    job: str
    index: int
    attempt: int
    status: str
    cause: str | None


class MachineTaskReport(Message, tag="Seen"):
    """All that is known of one home's tasks on one machine; a proof of absence.

    ``upto`` is the last message of the home that the part had handled.
    """

    machine: str
    zone: str
    processed_seq: int
    tasks: list[TaskStatusReport]
    pending: list[tuple[str, int, int]]  # granted, and not yet seen in a report


class AcknowledgeFinished(Message, tag="Clear"):
    machine: str
    job: str
    index: int
    attempt: int


class StopTask(Message, tag="Halt"):
    machine: str
    job: str
    index: int
    attempt: int
    wind_down_s: float


class QuotaAllocation(Message, tag="Allot"):
    """The leader's allowance for one home: team -> cpus, gpus."""

    teams: dict[str, tuple[float, float]]


class DrainMachines(Message, tag="Drain"):
    """The leader wants these machines back; nothing may be placed on them again."""

    machines: list[str]


class MachinesTerminated(Message, tag="Gone"):
    """The cloud has confirmed that these machines and all on them are gone."""

    machines: list[str]


class ListMachineTasks(Message, tag="Show"):
    """The leader may have to stop tasks: parts tell it of theirs, once. Only among members of generation 4."""


class MachineTasks(msgspec.Struct, array_like=True, frozen=True):
    """Tasks on one machine that might be stopped, or are victims of its claim."""

    machine: str
    free: tuple[float, float, float]  # cpus, memory, gpus
    tasks: list[tuple[str, int, int, float, bool]]  # job, index, attempt, s it ran, whether that is all it ran
    images: list[str] = []  # of a machine with GPUs: cached, or being fetched


class MachineTaskList(Message, tag="Tasks"):
    """A machine shard's tasks, for the leader: on machines with a claim, or on all that are up if it asked so."""

    rows: list[MachineTasks]
    whole: bool


class GpuReservation(Message, tag="Keep"):
    """GPUs that lending work leaves free, by machine, for a few seconds. Only among members of generation 4."""

    gpus: dict[str, float]


class JobQuery(Message, tag="Ask"):
    """A user's question, passed to the job's home."""

    query_id: int
    kind: str  # "status" or "withdraw"
    job: str


class JobQueryReply(Message, tag="Reply"):
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
    version: str
    sender: str
    fencing_token: int
    seq: int  # 0: not resent when lost
    ack: int
    body: Body
    sender_lease_id: int = 0  # under which the sender takes part in the mandate's view; 0: it does not, or is older
