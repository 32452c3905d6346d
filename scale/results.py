"""Combines the records of a run's processes into its results."""

from __future__ import annotations

import subprocess
from collections import defaultdict

import psutil
from hdrh.histogram import HdrHistogram

from .experiment import Experiment
from .hollow import HISTOGRAM as REPORT_HISTOGRAM
from .jobs import JobPlan
from .judge import InvariantChecker
from .users import HISTOGRAM, Users
from .worker_model import Event

PERCENTILES = (50, 90, 99, 100)


def percentiles(histogram: HdrHistogram) -> dict[str, float]:
    """Percentiles in seconds of a histogram in microseconds."""
    return {f"p{share}": histogram.get_value_at_percentile(share) / 1e6 for share in PERCENTILES}


class ProcessUsage:
    """CPU time, memory and open files of one process, sampled while it runs."""

    def __init__(self, role: str, name: str, process: subprocess.Popen) -> None:
        """``role``: group of processes whose usage is summed up."""
        self.role, self.name, self.process = role, name, process
        self.psutil_process = psutil.Process(process.pid)
        self.processor_s, self.memory_mb, self.open_files = 0.0, 0.0, 0

    def sample(self) -> None:
        """Takes a sample; after the end of the process the last sample stays."""
        try:
            times = self.psutil_process.cpu_times()
            self.processor_s = times.user + times.system
            self.memory_mb = max(self.memory_mb, self.psutil_process.memory_info().rss / 2**20)
        except psutil.Error:
            pass

    def count_open_files(self) -> None:
        """Counts open file descriptors; expensive, so called less often than ``sample``."""
        try:
            self.open_files = self.psutil_process.num_fds()
        except psutil.Error:
            pass

    def row(self, seconds: float) -> dict:
        """The process's row in the results."""
        return {
            "role": self.role,
            "name": self.name,
            "processor_s": round(self.processor_s, 2),
            "cores": round(self.processor_s / seconds, 4),
            "memory_mb": round(self.memory_mb, 1),
            "files": self.open_files,
        }


class Results:
    """Computes the results of a run after its end."""

    def __init__(
        self,
        experiment: Experiment,
        plan: JobPlan,
        started_at: float,
        users: Users,
        hollow: list[dict],
        usages: list[ProcessUsage],
    ) -> None:
        """``hollow``: results written by the hollow processes."""
        self.experiment, self.plan, self.started_at = experiment, plan, started_at
        self.users, self.hollow, self.usages = users, hollow, usages

    def summary(self, counts: dict) -> dict:
        """All measurements and invariant violations; ``counts``: the platform's counters."""
        experiment, users, hollow = self.experiment, self.users, self.hollow
        events = [Event(*event) for process in hollow for event in process["events"]]
        broken = (
            InvariantChecker(self.plan, experiment.team_cpus, experiment.cancel_s).find_violations(
                events, users.cancelled
            )
            + users.lost_jobs
        )
        totals: dict[str, float] = defaultdict(float)
        for process in hollow:
            for name, count in process["counts"].items():
                totals[name] += count
        rejections: dict[str, int] = defaultdict(int)
        for process in hollow:
            for reason, count in process["refused"].items():
                rejections[reason] += count
        reports = HdrHistogram(*REPORT_HISTOGRAM)
        for process in hollow:
            reports.decode_and_add(process["round_trips"])
        return {
            "experiment": {name: value for name, value in vars(experiment).items() if name != "faults"},
            "faults": [vars(fault) for fault in experiment.faults],
            "broken": broken,
            "jobs": self.jobs(),
            "starts_a_second": self.starts(events),
            "most_running": self.max_running(events),
            "submission_s": percentiles(users.acceptance_times),
            "start_s": {name: percentiles(histogram) for name, histogram in self.start_waits(events).items()},
            "report_s": percentiles(reports),
            "workers": dict(totals) | {"refused": dict(rejections)},
            "state": counts["state"] | {"keys": counts["keys"]},
            "cloud_calls": counts["cloud_calls"],
            "processes": [usage.row(experiment.seconds) for usage in self.usages],
            "roles": self.roles(),
        }

    def jobs(self) -> dict:
        """Number of jobs by outcome."""
        users = self.users
        return {
            "submitted": len(users.submitted),
            "accepted": len(users.accepted),
            "done": sum(state == "done" for state in users.ended.values()),
            "cancelled": len(users.cancelled),
            "refusals": users.refusals,
        }

    def starts(self, events: list[Event]) -> dict:
        """Mean and maximum number of task starts per second."""
        by_second: dict[int, int] = defaultdict(int)
        for event in events:
            if event.kind == "on":
                by_second[int(event.occurred_at - self.started_at)] += 1
        total = sum(by_second.values())
        return {"mean": round(total / self.experiment.seconds, 1), "most": max(by_second.values(), default=0)}

    @staticmethod
    def max_running(events: list[Event]) -> int:
        """Maximum number of tasks running at the same time."""
        running = maximum = 0
        for event in sorted(events):
            running += 1 if event.kind == "on" else -1
            maximum = max(maximum, running)
        return maximum

    def start_waits(self, events: list[Event]) -> dict[str, HdrHistogram]:
        """Time from a job's first submission to the start of its first task, by class."""
        first_start: dict[str, float] = {}
        for event in sorted(events):
            if event.kind == "on":
                first_start.setdefault(event.task_id.partition("/")[0], event.occurred_at)
        waits = {"urgent": HdrHistogram(*HISTOGRAM), "routine": HdrHistogram(*HISTOGRAM)}
        for job, first_started_at in first_start.items():
            if job in self.users.submitted:
                job_class = self.plan.job_of(job)["workload"]
                waits[job_class].record_value(max(1, int((first_started_at - self.users.submitted[job]) * 1e6)))
        return waits

    def roles(self) -> dict[str, dict]:
        """Total and largest usage of the processes of each role."""
        result: dict[str, dict] = {}
        for role in ("controller", "hollow", "platform"):
            rows = [usage.row(self.experiment.seconds) for usage in self.usages if usage.role == role]
            result[role] = {
                "processes": len(rows),
                "cores": round(sum(row["cores"] for row in rows), 3),
                "largest_cores": max((row["cores"] for row in rows), default=0.0),
                "largest_memory_mb": max((row["memory_mb"] for row in rows), default=0.0),
                "most_files": max((row["files"] for row in rows), default=0),
            }
        return result
