"""The jobs of an experiment. Any process works out a job from its number, as users would upload it. Pure."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

IMAGES = 8
IMAGE_GB = 1.0
MEMORY_GB = 4.0
CPUS = (1.0, 2.0, 4.0)
SPREAD = (0.5, 1.5)  # of the median


@dataclass(frozen=True)
class JobPlan:
    """How jobs are drawn."""

    seed: int
    teams: int
    tasks: int  # a job's, in the middle
    task_s: float
    urgent_share: float

    def of(self, number: int) -> dict:
        """A job's submission."""
        rng = Random(self.seed * 1_000_003 + number)
        urgent = rng.random() < self.urgent_share
        return {
            "id": f"wk-{number:06d}",
            "workload": "urgent" if urgent else "routine",
            "owner": f"team-{rng.randrange(self.teams):03d}",
            "shape": "sweep",
            "urgency": "high" if urgent else "standard",
            "parts": max(1, round(self.tasks * rng.uniform(*SPREAD))),
            "vcpus": rng.choice(CPUS),
            "accelerators": 0.0,
            "mem_gb": MEMORY_GB,
            "bundle": f"image-{rng.randrange(IMAGES)}",
            "image_gb": IMAGE_GB,
            "together": False,
            "apart": False,
            "standby": True,
            "expected_s": self.task_s,
            "snapshot_every_s": 0.0,
            "snapshot_s": 0.0,
        }

    def run_s(self, part: str) -> float:
        """How long a task runs."""
        return self.task_s * Random(f"{self.seed}/{part}").uniform(*SPREAD)

    def job_of(self, part: str) -> dict:
        """The submission of the job that a task belongs to."""
        return self.of(int(part.partition("/")[0].removeprefix("wk-")))
