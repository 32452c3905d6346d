"""Replicas and cached images of the machines, as last reported by the machine shards."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Mapping
from typing import NamedTuple

from alderbridge.protocol.wire import JobSpec


class MachineContents(NamedTuple):
    """What a machine shard reports about one machine in addition to its preemptible tasks."""

    images: frozenset[str] = frozenset()  # cached, or being fetched
    replicas: Mapping[str, int] = {}  # service job -> its tasks on the machine


_EMPTY = MachineContents()


class ServingFleet:
    """Images and replicas of all machines, and the machines' zones."""

    def __init__(self, previous: ServingFleet | None = None) -> None:
        """``previous``: its contents are used until the shards have reported."""
        self.contents: dict[str, MachineContents] = previous.contents if previous is not None else {}
        self.zone_of: dict[str, str] = previous.zone_of if previous is not None else {}

    def update(self, contents: Mapping[str, MachineContents], zone_of: Mapping[str, str]) -> None:
        """Replace the contents by a report on all machines."""
        self.contents, self.zone_of = dict(contents), dict(zone_of)

    def contents_of(self, machine: str) -> MachineContents:
        """Return the images and replicas of the machine."""
        return self.contents.get(machine, _EMPTY)

    def zones_of(self, spec: JobSpec) -> Counter[str]:
        """Return how many of the job's replicas run in each zone."""
        result: Counter[str] = Counter()
        for name, contents in self.contents.items():
            if spec.id in contents.replicas:
                result[self.zone_of[name]] += contents.replicas[spec.id]
        return result

    @staticmethod
    def remaining_in_zone(spec: JobSpec, by_zone: Counter[str], zone: str) -> int:
        """Return how many more replicas the zone may hold: at most half of a spread job's (PROTOCOL, ``apart``)."""
        return max(0, math.ceil(spec.tasks / 2) - by_zone[zone]) if spec.spread else spec.tasks
