"""The jobs of an experiment. A job is derived from its number and the seed alone, so every process computes it."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

IMAGES = 8
IMAGE_GB = 1.0
MEMORY_GB = 4.0
CPUS = (1.0, 2.0, 4.0)
SPREAD_FACTORS = (0.5, 1.5)  # range of task counts and run times, relative to the median


@dataclass(frozen=True)
class JobPlan:
    """Parameters of the random jobs."""

    seed: int
    teams: int
    tasks: int  # median per job
    task_s: float
    urgent_share: float

    def submission(self, number: int) -> dict:
        """The submission body of a job."""
        rng = Random(self.seed * 1_000_003 + number)
        urgent = rng.random() < self.urgent_share
        return {
            "id": f"wk-{number:06d}",
            "workload": "urgent" if urgent else "routine",
            "owner": f"team-{rng.randrange(self.teams):03d}",
            "shape": "sweep",
            "urgency": "high" if urgent else "standard",
            "parts": max(1, round(self.tasks * rng.uniform(*SPREAD_FACTORS))),
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

    def run_s(self, task_id: str) -> float:
        """Run time of a task."""
        return self.task_s * Random(f"{self.seed}/{task_id}").uniform(*SPREAD_FACTORS)

    def job_of(self, task_id: str) -> dict:
        """The submission body of the job that the task belongs to."""
        return self.submission(int(task_id.partition("/")[0].removeprefix("wk-")))
