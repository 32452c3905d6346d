"""Whether a rule was broken, by the workers' own account of what was on them. Pure."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from .jobs import JobPlan
from .worker_model import Event

SLACK_S = 0.05  # processes of one machine read the same clock; what they tell is written a moment later


class Judge:
    """Goes through all events in the order of time."""

    def __init__(self, plan: JobPlan, most_cpus: float, cancel_s: float) -> None:
        """``most_cpus``: each team's limit; 0: none."""
        self.plan, self.most_cpus, self.cancel_s = plan, most_cpus, cancel_s
        self.broken: list[str] = []

    def judge(self, events: Iterable[Event], cancelled: dict[str, float]) -> list[str]:
        """``cancelled``: job -> when its user was told so. What was broken, a line each."""
        there: dict[str, tuple[str, float]] = {}
        used: dict[str, float] = defaultdict(float)
        for event in sorted(events):
            job = self.plan.job_of(event.part)
            if event.what == "on":
                self._on(event, job, there, used, cancelled)
            elif there.get(event.part, ("", 0.0))[0] == event.machine:
                del there[event.part]
                used[job["owner"]] -= job["vcpus"]
                self._gone(event, cancelled)
        return self.broken

    def _on(
        self,
        event: Event,
        job: dict,
        there: dict[str, tuple[str, float]],
        used: dict[str, float],
        cancelled: dict[str, float],
    ) -> None:
        if event.part in there:
            self.broken.append(f"ran_twice: {event.part} on {there[event.part][0]} and {event.machine}")
            return
        there[event.part] = (event.machine, event.at)
        used[job["owner"]] += job["vcpus"]
        if self.most_cpus and used[job["owner"]] > self.most_cpus + 1e-6:
            self.broken.append(f"quota: {job['owner']} uses {used[job['owner']]:g} of {self.most_cpus:g} CPUs")
        self._gone(event, cancelled)

    def _gone(self, event: Event, cancelled: dict[str, float]) -> None:
        told_at = cancelled.get(event.part.partition("/")[0])
        if told_at is not None and event.at > told_at + self.cancel_s + SLACK_S:
            self.broken.append(f"ran_cancelled: {event.part} {event.at - told_at:.1f} s after its user was told")
