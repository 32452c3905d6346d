"""The simulated deployment: controller labels, timeouts, machine types, teams and the settings of a controller."""

from __future__ import annotations

from alderbridge.protocol import wire
from alderbridge.settings import (
    CloudSettings,
    Endpoints,
    NextStateLimits,
    Objective,
    Peer,
    PlatformSettings,
    ProcessLimits,
    SharedSettings,
    StateLimits,
    Team,
    WorkerTimes,
)

LABELS = ["host-0", "host-1", "host-2", "host-3", "host-4"]
LEASE_S, CANCEL_S, HEARTBEAT_S = 17.0, 42.0, 3.0
ZONES = ["a", "b"]
TYPES = {
    "small": wire.MachineType(
        name="small", cpus=4.0, memory_gb=16.0, price=0.3, spot_price=0.1, boot_s=8.0, cache_gb=10.0, zones=ZONES
    ),
    "large": wire.MachineType(
        name="large", cpus=16.0, memory_gb=64.0, price=1.1, spot_price=0.4, boot_s=10.0, cache_gb=20.0, zones=ZONES
    ),
}
TEAMS = [Team("free"), Team("bound", cpus=8.0, cpus_max=16.0)]
OBJECTIVES = [
    Objective("wait", "soon", within_s=6.0),
    Objective("deadline", "last", times=1.0),
    Objective("deadline", "last", times=1.5),
]


def platform(label: str, labels: list[str], next_limits: NextStateLimits | None = None) -> PlatformSettings:
    peers = [Peer(other, "a", "127.0.0.1:1") for other in labels if other != label]
    shared = SharedSettings(
        ZONES,
        TEAMS,
        WorkerTimes(HEARTBEAT_S, LEASE_S, CANCEL_S),
        StateLimits(100.0, 60.0, 4.0, 12, next_limits),
        CloudSettings(6.0, 4.0),
        ProcessLimits(0.75, 186.0, 1000),
        OBJECTIVES,
    )
    return PlatformSettings(
        label, "a", "127.0.0.1:1", "127.0.0.1:2", peers, Endpoints("127.0.0.1:3", "127.0.0.1:4"), shared
    )
