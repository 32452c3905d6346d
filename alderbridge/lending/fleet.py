"""Where replicas and images are, as the machine shards reported last."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Mapping
from typing import NamedTuple

from alderbridge.protocol.wire import JobSpec


class MachineContents(NamedTuple):
    """What a shard reports of one machine beside its victims."""

    images: frozenset[str] = frozenset()  # cached, or being fetched
    replicas: Mapping[str, int] = {}  # job that serves -> its tasks there


_EMPTY = MachineContents()


class ServingFleet:
    """Images and replicas of all machines, and the machines' zones."""

    def __init__(self, before: ServingFleet | None = None) -> None:
        """Begin with what was known ``before``, until shards have reported."""
        self.contents: dict[str, MachineContents] = before.contents if before is not None else {}
        self.zone_of: dict[str, str] = before.zone_of if before is not None else {}

    def update(self, contents: Mapping[str, MachineContents], zone_of: Mapping[str, str]) -> None:
        """Replace what is known by a report of all machines."""
        self.contents, self.zone_of = dict(contents), dict(zone_of)

    def contents_of(self, machine: str) -> MachineContents:
        """Return what is on the machine."""
        return self.contents.get(machine, _EMPTY)

    def zones_of(self, spec: JobSpec) -> Counter[str]:
        """Return how many of the job's replicas run in each zone."""
        result: Counter[str] = Counter()
        for name, contents in self.contents.items():
            if spec.id in contents.replicas:
                result[self.zone_of[name]] += contents.replicas[spec.id]
        return result

    @staticmethod
    def quota(spec: JobSpec, by_zone: Counter[str], zone: str) -> int:
        """Return how many more replicas may be in the zone: of spread ones at most half (PROTOCOL, ``apart``)."""
        return max(0, math.ceil(spec.tasks / 2) - by_zone[zone]) if spec.spread else spec.tasks
