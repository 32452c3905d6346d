"""What a run's processes did, put together: the numbers of its results. Pure but for looking at processes."""

from __future__ import annotations

import subprocess
from collections import defaultdict

import psutil
from hdrh.histogram import HdrHistogram

from .experiment import Experiment
from .hollow import HISTOGRAM as REPORT_HISTOGRAM
from .jobs import JobPlan
from .judge import Judge
from .users import HISTOGRAM, Users
from .worker_model import Event

PERCENTILES = (50, 90, 99, 100)


def percentiles(histogram: HdrHistogram) -> dict[str, float]:
    """In seconds."""
    return {f"p{share}": histogram.get_value_at_percentile(share) / 1e6 for share in PERCENTILES}


class QuotaUsage:
    """Processor time and memory of one process, sampled while it runs."""

    def __init__(self, role: str, name: str, process: subprocess.Popen) -> None:
        """``role``: what is added up."""
        self.role, self.name, self.process = role, name, process
        self.watched = psutil.Process(process.pid)
        self.processor_s, self.memory_mb, self.connections = 0.0, 0.0, 0

    def sample(self) -> None:
        """Look once; a process that has ended keeps what was seen."""
        try:
            times = self.watched.cpu_times()
            self.processor_s = times.user + times.system
            self.memory_mb = max(self.memory_mb, self.watched.memory_info().rss / 2**20)
        except psutil.Error:
            pass

    def count_connections(self) -> None:
        """Open sockets; costly, so only once."""
        try:
            self.connections = self.watched.num_fds()
        except psutil.Error:
            pass

    def row(self, seconds: float) -> dict:
        """For the results."""
        return {
            "role": self.role,
            "name": self.name,
            "processor_s": round(self.processor_s, 2),
            "cores": round(self.processor_s / seconds, 4),
            "memory_mb": round(self.memory_mb, 1),
            "files": self.connections,
        }


class Results:
    """One run, after its end."""

    def __init__(
        self,
        experiment: Experiment,
        plan: JobPlan,
        began_at: float,
        users: Users,
        hollow: list[dict],
        usages: list[QuotaUsage],
    ) -> None:
        """``hollow``: what the hollow processes wrote."""
        self.experiment, self.plan, self.began_at = experiment, plan, began_at
        self.users, self.hollow, self.usages = users, hollow, usages

    def all(self, counts: dict) -> dict:
        """Everything that was measured, and whether a rule was broken; ``counts``: the platform's."""
        one, users, hollow = self.experiment, self.users, self.hollow
        events = [Event(*event) for process in hollow for event in process["events"]]
        broken = Judge(self.plan, one.team_cpus, one.cancel_s).judge(events, users.cancelled) + users.went_back
        totals: dict[str, float] = defaultdict(float)
        for process in hollow:
            for name, count in process["counts"].items():
                totals[name] += count
        refused: dict[str, int] = defaultdict(int)
        for process in hollow:
            for why, count in process["refused"].items():
                refused[why] += count
        reports = HdrHistogram(*REPORT_HISTOGRAM)
        for process in hollow:
            reports.decode_and_add(process["round_trips"])
        return {
            "experiment": {name: value for name, value in vars(one).items() if name != "faults"},
            "faults": [vars(fault) for fault in one.faults],
            "broken": broken,
            "jobs": self.jobs(),
            "starts_a_second": self.starts(events),
            "most_running": self.most_running(events),
            "submission_s": percentiles(users.answers),
            "start_s": {name: percentiles(found) for name, found in self.start_waits(events).items()},
            "report_s": percentiles(reports),
            "workers": dict(totals) | {"refused": dict(refused)},
            "state": counts["state"] | {"keys": counts["keys"]},
            "cloud_calls": counts["cloud_calls"],
            "processes": [usage.row(one.seconds) for usage in self.usages],
            "roles": self.roles(),
        }

    def jobs(self) -> dict:
        """What became of them."""
        users = self.users
        return {
            "submitted": len(users.submitted),
            "accepted": len(users.accepted),
            "done": sum(state == "done" for state in users.ended.values()),
            "cancelled": len(users.cancelled),
            "refusals": users.refused,
        }

    def starts(self, events: list[Event]) -> dict:
        """Of all seconds, the mean and the most."""
        by_second: dict[int, int] = defaultdict(int)
        for event in events:
            if event.what == "on":
                by_second[int(event.at - self.began_at)] += 1
        total = sum(by_second.values())
        return {"mean": round(total / self.experiment.seconds, 1), "most": max(by_second.values(), default=0)}

    @staticmethod
    def most_running(events: list[Event]) -> int:
        """The most tasks that ran at one time."""
        running = most = 0
        for event in sorted(events):
            running += 1 if event.what == "on" else -1
            most = max(most, running)
        return most

    def start_waits(self, events: list[Event]) -> dict[str, HdrHistogram]:
        """From a job's first submission to its first task's start, by class."""
        first: dict[str, float] = {}
        for event in sorted(events):
            if event.what == "on":
                first.setdefault(event.part.partition("/")[0], event.at)
        found = {"urgent": HdrHistogram(*HISTOGRAM), "routine": HdrHistogram(*HISTOGRAM)}
        for job, at in first.items():
            if job in self.users.submitted:
                job_class = self.plan.job_of(job)["workload"]
                found[job_class].record_value(max(1, int((at - self.users.submitted[job]) * 1e6)))
        return found

    def roles(self) -> dict[str, dict]:
        """Sums and largest shares of all processes of a role."""
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
