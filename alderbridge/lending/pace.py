"""Rate limit of reclaimed GPUs: how many were reclaimed recently, and how many more may be."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Mapping
from typing import NamedTuple

from alderbridge import constants
from alderbridge.claims.records import PreemptionClaim
from alderbridge.lending.rules import LendingRules
from alderbridge.protocol.wire import JobSpec


class ReclaimedGpus(NamedTuple):
    """GPUs reclaimed by one claim."""

    claimed_at: float  # wall-clock time of the claim, in s
    team: str  # whose replicas they are reclaimed for
    gpus: float


class ReclaimPace:
    """Limits the GPUs reclaimed for each team, in a minute and at once; the store limits preemptions, in tasks."""

    def __init__(self, rules: LendingRules, previous: ReclaimPace | None = None) -> None:
        """``previous``: continue from its counts."""
        self.rules = rules
        self.reclaimed: deque[ReclaimedGpus] = previous.reclaimed if previous is not None else deque()
        # (machine, time of claim)
        self.counted: set[tuple[str, float]] = previous.counted if previous is not None else set()
        self.stopping: Counter[str] = Counter()  # team -> GPUs of victims that may still run

    def count_reclaimed(
        self, claims: Mapping[str, PreemptionClaim], specs: Mapping[str, JobSpec | None], wall_time: float
    ) -> None:
        """Count the GPUs of each stored lending claim once; ``specs``: of the victims' jobs, by job."""
        for machine, claim in claims.items():
            if (machine, claim.planned_at) in self.counted:
                continue
            self.counted.add((machine, claim.planned_at))
            gpus = sum(spec.gpus for job, _, _ in claim.victims if (spec := specs.get(job)) is not None)
            self.reclaimed.append(ReclaimedGpus(claim.planned_at, claim.team, gpus))
        oldest = wall_time - constants.PREEMPTION_WINDOW_S - constants.PREEMPTION_BUCKET_S
        self.reclaimed = deque(entry for entry in self.reclaimed if entry[0] > oldest)
        self.counted = {key for key in self.counted if key[1] > oldest or key[0] in claims}

    def remaining_gpus(self, team: str) -> float:
        """Return how many more GPUs may be reclaimed for the team now."""
        used = sum(gpus for _, owner, gpus in self.reclaimed if owner == team)
        return min(self.rules.gpus_per_minute - used, self.rules.max_stopping_gpus - self.stopping[team])
