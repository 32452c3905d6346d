"""Amounts of resources, as plain tuples: placement computes with them too often for classes."""

from __future__ import annotations

import math

from alderbridge.protocol.wire import JobSpec

Resources = tuple[float, float, float]  # CPUs, memory in GB, GPUs
QuotaAmounts = tuple[float, float]  # CPUs, GPUs

NO_QUOTA: QuotaAmounts = (0.0, 0.0)


def tasks_that_fit(spec: JobSpec, free: Resources) -> int:
    """How many tasks of ``spec`` fit into the free capacity."""
    count = free[0] / spec.cpus
    if spec.memory_gb > 0:
        count = min(count, free[1] / spec.memory_gb)
    if spec.gpus > 0:
        count = min(count, free[2] / spec.gpus)
    return math.floor(count + 1e-9) if count > 0 else 0


def remaining_after(free: Resources, spec: JobSpec, count: int) -> Resources:
    """The free capacity minus ``count`` tasks of ``spec``; negative where they do not fit."""
    return (free[0] - spec.cpus * count, free[1] - spec.memory_gb * count, free[2] - spec.gpus * count)
