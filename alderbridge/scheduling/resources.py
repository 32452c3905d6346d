"""Amounts of resources: plain tuples, as they are computed with for each placement."""

from __future__ import annotations

import math

from alderbridge.protocol.wire import JobSpec

Resources = tuple[float, float, float]  # cpus, memory in GB, gpus
QuotaAmounts = tuple[float, float]  # cpus, gpus

NO_QUOTA: QuotaAmounts = (0.0, 0.0)


def fits(spec: JobSpec, room: Resources) -> int:
    """How many tasks of ``spec`` the room holds."""
    count = room[0] / spec.cpus
    if spec.memory_gb > 0:
        count = min(count, room[1] / spec.memory_gb)
    if spec.gpus > 0:
        count = min(count, room[2] / spec.gpus)
    return math.floor(count + 1e-9) if count > 0 else 0


def minus(room: Resources, spec: JobSpec, count: int) -> Resources:
    """What ``count`` tasks of ``spec`` leave of the room; below zero where they do not fit."""
    return (room[0] - spec.cpus * count, room[1] - spec.memory_gb * count, room[2] - spec.gpus * count)
