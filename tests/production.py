"""What version 0.1.0, in production when the upgrade began, writes and reads.

Frozen copies of its structs, and bytes as it wrote them: it can't be changed any
more, so neither may these. What a struct of it does not name it does not see, and
loses when it writes the record again.
"""

from __future__ import annotations

from typing import Literal

import msgspec
from msgspec import Struct, field

from alderbridge.protocol.keys import JOBS, MEMBERS


class JobSpec(Struct, frozen=True, omit_defaults=True):
    id: str
    job_class: str = field(name="workload")
    team: str = field(name="owner")
    kind: Literal["sweep", "standing", "group"] = field(name="shape")
    priority: Literal["production", "high", "standard", "best_effort"] = field(name="urgency")
    tasks: int = field(name="parts")
    cpus: float = field(name="vcpus")
    memory_gb: float = field(name="mem_gb")
    image: str = field(name="bundle")
    image_gb: float
    estimate_s: float = field(name="expected_s")
    gpus: float = field(name="accelerators", default=0.0)
    checkpoint_s: float = field(name="snapshot_every_s", default=0.0)
    save_s: float = field(name="snapshot_s", default=0.0)
    types: list[str] | None = field(name="flavours", default=None)
    zone: str | None = field(name="site", default=None)
    one_zone: bool = field(name="together", default=False)
    spread: bool = field(name="apart", default=False)
    spot: bool = field(name="standby", default=False)
    due_s: float | None = None


class Record(Struct, frozen=True, omit_defaults=True):
    state: Literal["active", "done", "aborted"]
    home: str = ""
    at: float = 0.0
    mark: int = 0
    done: list[tuple[int, int]] = []
    spec: JobSpec | None = None


class View(Struct, frozen=True):
    leader: str
    members: dict[str, int]


class Presence(Struct, frozen=True):
    permit: int


class Message(Struct, array_like=True, tag=True, frozen=True):
    pass


class Pulse(Message):
    pass


class QueueRow(Struct, array_like=True, frozen=True):
    job: str
    waiting: int
    offer: int
    due_in_s: float
    run_s: float
    zone: str | None
    waited_s: float
    late: bool
    guaranteed: bool


class Queue(Message):
    rows: list[QueueRow]
    used: dict[str, tuple[float, float]]
    held: dict[str, tuple[float, float]]
    want: dict[str, tuple[float, float]]
    allots: int


class RoomRow(Struct, array_like=True, frozen=True):
    machine: str
    type: str
    zone: str
    spot: bool
    state: str
    idle_s: float
    free: tuple[float, float, float]
    ends: list[tuple[float, float, float, float]]
    silent_s: float


class Room(Message):
    rows: list[RoomRow]


class Take(Message):
    take: int
    job: str
    machine: str
    zone: str
    count: int


class Grant(Message):
    take: int
    job: str
    machine: str
    tasks: list[tuple[int, int]]


class SeenTask(Struct, array_like=True, frozen=True):
    job: str
    index: int
    attempt: int
    status: str
    cause: str | None


class Seen(Message):
    machine: str
    zone: str
    upto: int
    tasks: list[SeenTask]
    held: list[tuple[str, int, int]]


class Clear(Message):
    machine: str
    job: str
    index: int
    attempt: int


class Halt(Message):
    machine: str
    job: str
    index: int
    attempt: int
    wind_down_s: float


class Allot(Message):
    teams: dict[str, tuple[float, float]]


class Drain(Message):
    machines: list[str]


class Gone(Message):
    machines: list[str]


class Ask(Message):
    ask: int
    what: str
    job: str


class Reply(Message):
    ask: int
    status: int
    body: bytes


Body = Pulse | Queue | Room | Take | Grant | Seen | Clear | Halt | Allot | Drain | Gone | Ask | Reply


class Frame(Struct, array_like=True, frozen=True):
    version: str
    sender: str
    mandate: int
    seq: int
    ack: int
    body: Body


def frame(data: bytes) -> bytes:
    """What the old version sees of a frame, or sends of one; an unknown tag is a DecodeError."""
    return msgspec.msgpack.encode(msgspec.msgpack.decode(data, type=Frame))


def value(key: str, data: bytes) -> bytes:
    """What it sees of a value in the store, or writes back of one."""
    if key.startswith(JOBS):
        return msgspec.json.encode(msgspec.json.decode(data, type=Record))
    if key.startswith(MEMBERS):
        return msgspec.json.encode(msgspec.json.decode(data, type=Presence))
    return data


# Bytes as the old version wrote them.
RECORDS = [
    b'{"state":"active","home":"host-1","at":1764598000.25,"mark":256,"done":[[0,7],[9,12]],"spec":{"id":"wk-000412",'
    b'"workload":"route-build","owner":"waste-fleet","shape":"sweep","urgency":"standard","parts":300,"vcpus":2.0,'
    b'"mem_gb":4.2,"bundle":"img-07","image_gb":1.8,"expected_s":20.0,"standby":true,"due_s":150.0}}',
    b'{"state":"done"}',
    b'{"state":"aborted","home":"host-0","at":5.5,"mark":3,"spec":{"id":"wk-000001","workload":"w","owner":"t",'
    b'"shape":"standing","urgency":"high","parts":2,"vcpus":1.0,"mem_gb":1.0,"bundle":"i","image_gb":1.0,'
    b'"expected_s":0.0}}',
]
VIEW = b'{"leader":"host-0","members":{"host-0":3,"host-1":7}}'
PRESENCE = b'{"permit":7}'
FRAMES = [
    bytes.fromhex(text)
    for text in (
        "96a5302e312e30a6686f73742d310c000491a550756c7365",
        "96a5302e312e30a6686f73742d310c000496a551756575659199a9776b2d3030303431321004cb4024cccccccccccdcb4034000000"
        "000000c0cb3ff8000000000000c2c381a17492cb4000000000000000cb0000000000000000808002",
        "96a5302e312e30a6686f73742d310c000492a4526f6f6d9199a86e2d303030323331a26738a161c3a27570cb000000000000000093"
        "cb4010000000000000cb4020000000000000cb00000000000000009194cb4008000000000000cb4000000000000000cb4010000000"
        "000000cb0000000000000000cb3fe0000000000000",
        "96a5302e312e30a6686f73742d310c050496a454616b6501a9776b2d303030343132a86e2d303030323331a16103",
        "96a5302e312e30a6686f73742d310c060495a54772616e7401a9776b2d303030343132a86e2d3030303233319192044d",
        "96a5302e312e30a6686f73742d310c070496a45365656ea86e2d303030323331a161099195a9776b2d303030343132044da5656e64"
        "6564a4646f6e659193a9776b2d303030343132054e",
        "96a5302e312e30a6686f73742d310c080495a5436c656172a86e2d303030323331a9776b2d303030343132044d",
        "96a5302e312e30a6686f73742d310c090496a448616c74a86e2d303030323331a9776b2d303030343132044dcb0000000000000000",
        "96a5302e312e30a6686f73742d310c0a0492a5416c6c6f7481a17492cb4010000000000000cb0000000000000000",
        "96a5302e312e30a6686f73742d310c0b0492a5447261696e91a86e2d303030323331",
        "96a5302e312e30a6686f73742d310c0c0492a4476f6e6591a86e2d303030323331",
        "96a5302e312e30a6686f73742d310c000494a341736b03a6737461747573a9776b2d303030343132",
        "96a5302e312e30a6686f73742d310c000494a55265706c7903ccc8c4027b7d",
    )
]
