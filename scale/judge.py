"""Checks the scheduling invariants against the task events recorded by the workers. Does no I/O."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from .jobs import JobPlan
from .worker_model import Event

CLOCK_SLACK_S = 0.05  # all processes read the same clock, but record an event slightly after it happens


class InvariantChecker:
    """Replays all task events in order of time: no task runs twice, within quota, none long after its cancellation."""

    def __init__(self, plan: JobPlan, max_cpus: float, cancel_s: float) -> None:
        """``max_cpus``: CPU limit of each team; 0: no limit."""
        self.plan, self.max_cpus, self.cancel_s = plan, max_cpus, cancel_s
        self.violations: list[str] = []

    def find_violations(self, events: Iterable[Event], cancelled: dict[str, float]) -> list[str]:
        """Returns one line per violation. ``cancelled``: job -> when the cancellation was confirmed to its user."""
        running: dict[str, tuple[str, float]] = {}
        used: dict[str, float] = defaultdict(float)
        for event in sorted(events):
            job = self.plan.job_of(event.task_id)
            if event.kind == "on":
                self._on_start(event, job, running, used, cancelled)
            elif running.get(event.task_id, ("", 0.0))[0] == event.machine:
                del running[event.task_id]
                used[job["owner"]] -= job["vcpus"]
                self._check_cancelled(event, cancelled)
        return self.violations

    def _on_start(
        self,
        event: Event,
        job: dict,
        running: dict[str, tuple[str, float]],
        used: dict[str, float],
        cancelled: dict[str, float],
    ) -> None:
        if event.task_id in running:
            self.violations.append(f"ran_twice: {event.task_id} on {running[event.task_id][0]} and {event.machine}")
            return
        running[event.task_id] = (event.machine, event.occurred_at)
        used[job["owner"]] += job["vcpus"]
        if self.max_cpus and used[job["owner"]] > self.max_cpus + 1e-6:
            self.violations.append(f"quota: {job['owner']} uses {used[job['owner']]:g} of {self.max_cpus:g} CPUs")
        self._check_cancelled(event, cancelled)

    def _check_cancelled(self, event: Event, cancelled: dict[str, float]) -> None:
        confirmed_at = cancelled.get(event.task_id.partition("/")[0])
        if confirmed_at is not None and event.occurred_at > confirmed_at + self.cancel_s + CLOCK_SLACK_S:
            self.violations.append(
                f"ran_cancelled: {event.task_id} {event.occurred_at - confirmed_at:.1f} s after its cancellation"
            )
