"""How many lent GPUs came back lately, and how many more may."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Mapping
from typing import NamedTuple

from alderbridge import constants
from alderbridge.claims.records import PreemptionClaim
from alderbridge.lending.rules import LendingRules
from alderbridge.protocol.wire import JobSpec


class ReturnedGpus(NamedTuple):
    """GPUs that one claim brought back."""

    at: float  # time of day of the claim, in s
    team: str  # for whose replicas
    gpus: float


class ReclaimPace:
    """Counts GPUs, where the store counts preemptions: those of a minute, and those of victims not gone yet."""

    def __init__(self, rules: LendingRules, before: ReclaimPace | None = None) -> None:
        """Go on from what was counted ``before``."""
        self.rules = rules
        self.returned: deque[ReturnedGpus] = before.returned if before is not None else deque()
        self.counted: set[tuple[str, float]] = before.counted if before is not None else set()  # machine, time of claim
        self.stopping: Counter[str] = Counter()  # team -> GPUs of its claims whose victims are not known to be gone

    def count_returned(
        self, claims: Mapping[str, PreemptionClaim], specs: Mapping[str, JobSpec | None], wall: float
    ) -> None:
        """Count the GPUs of claims of lending that are in the store, once each; ``specs``: of their victims' jobs."""
        for machine, claim in claims.items():
            if (machine, claim.at) in self.counted:
                continue
            self.counted.add((machine, claim.at))
            gpus = sum(spec.gpus for job, _, _ in claim.victims if (spec := specs.get(job)) is not None)
            self.returned.append(ReturnedGpus(claim.at, claim.team, gpus))
        least = wall - constants.PREEMPTION_MINUTE_S - constants.PREEMPTION_STEP_S
        self.returned = deque(one for one in self.returned if one[0] > least)
        self.counted = {key for key in self.counted if key[1] > least or key[0] in claims}

    def left(self, team: str) -> float:
        """Return how many GPUs may still come back for the team now."""
        spent = sum(gpus for _, other, gpus in self.returned if other == team)
        return min(self.rules.gpus_a_minute - spent, self.rules.gpus_at_once - self.stopping[team])
