"""Compares the service of classes, teams and the largest jobs on a day with a calm day, from the logs of bench runs.

    python3 tools/service.py [--cancel-s S] CALM.log DAY.log ...    each: output of `fleetbench run SITE DAY --log info`

Service is the smaller of two shares. Done: jobs that ended as done, of those accepted and not cancelled. In time: jobs
done within the 90th percentile of the times of their class on the calm day, divided by 0.9; for a team, over its jobs
of all classes. Objectives of a class are compared with those of the calm day as well. A day has failed if one of these
is below one half, or if

* fewer than half of the largest jobs of a class are done: a tenth of its jobs, by CPUs times tasks;
* one of these started later than four minutes after it was accepted, or after the jobs that it depends on were done;
* a job was forgotten: at least two controllers, or the only one, could not answer queries for it for 75 s. The log has
  queries only if a controller could not answer them for at least 25 s;
* a job was accepted that can't run or lacks a field: no class, no team, no tasks or too many, no CPUs;
* a cancelled job started later than ``--cancel-s`` after its cancellation. Those that started earlier, but after the
  cancellation, are counted. The log has the time of the decision to cancel, shortly before the response to the user,
  and only the first start of a job, when its job shard received the report.

Jobs that wait although free capacity fits them are checked in ``tests/simulation/``: the log does not have capacity.

Exit status: 0 no day failed, 1 a day failed, 2 a log could not be read. The calm day is checked like the others.
"""

from __future__ import annotations

import collections
import math
import re
import sys
from dataclasses import dataclass, field
from pathlib import Path

MIN_SERVICE = 0.5
LARGEST_SHARE = 0.1  # of the jobs of a class
MAX_START_DELAY_S, FORGOTTEN_AFTER_S = 240.0, 75.0
CANCEL_S = 42.0  # default of --cancel-s
MAX_TASKS_PER_JOB = 100_000
JOB_LINE = re.compile(
    r"\s*(?P<at>[\d.]+) (?P<who>\S+) INFO \S+ job=(?P<job>\S+) "
    r"state=(?P<state>accepted|ready|started|done|aborted|unanswered)(?P<more>.*)"
)
OBJECTIVE_LINE = re.compile(
    r"\s+(?:met|missed) +(?P<aim>(?:wait|finished|deadline) (?P<cls>\S+) [\d.]+ \S+)"
    r": (?P<value>[\d.]+) of"
)


@dataclass
class JobRecord:
    """The log's record of one job; times in s since the start of the day."""

    job_class: str
    team: str
    cpus: float
    accepted_at: float
    ready_at: float  # when it was accepted or its dependencies were done
    started_at: float = math.inf
    last_start: float = -math.inf  # without starts that a new job owner logs for tasks that already run
    done_at: float = math.inf
    aborted_at: float = math.inf  # when its cancellation was first decided
    defect: str = ""  # reason why it should not have been accepted
    unanswered_s: dict[str, float] = field(default_factory=dict)  # controller -> longest time without an answer

    @property
    def cancelled(self) -> bool:
        return self.aborted_at < math.inf

    @property
    def duration_s(self) -> float:
        return self.done_at - self.accepted_at


@dataclass
class Day:
    name: str
    jobs: dict[str, JobRecord] = field(default_factory=dict)
    objectives: dict[str, tuple[str, float]] = field(default_factory=dict)
    controllers: set[str] = field(default_factory=set)

    @classmethod
    def read(cls, path: str) -> Day:
        day = cls(Path(path).stem)
        for line in Path(path).read_text(errors="replace").splitlines():
            if match := JOB_LINE.match(line):
                day.controllers.add(match["who"])
                day.record(match["job"], match["state"], float(match["at"]), match["who"], match["more"])
            elif match := OBJECTIVE_LINE.match(line):
                day.objectives[match["aim"]] = (match["cls"], float(match["value"]))
        if not day.jobs or not day.objectives:
            raise ValueError(f"{path}: expected a run's output with --log info, to its end")
        return day

    def record(self, job_id: str, state: str, time_s: float, controller: str, rest: str) -> None:
        job = self.jobs.get(job_id)
        if state == "accepted":
            if job is None:
                fields = dict(pair.split("=", 1) for pair in rest.split() if "=" in pair)
                cpus_per_task = float(fields.get("cpus", 1.0))  # missing in logs of earlier versions
                tasks = int(fields.get("tasks") or 0)
                missing = [name for name in ("class", "team", "tasks") if not fields.get(name)]
                defect = (
                    f"lacks {', '.join(missing)}"
                    if missing
                    else f"{tasks} tasks"
                    if not 1 <= tasks <= MAX_TASKS_PER_JOB
                    else ""
                    if cpus_per_task > 0  # false for NaN
                    else f"{cpus_per_task:g} CPUs"
                )
                self.jobs[job_id] = JobRecord(
                    fields.get("class", ""),
                    fields.get("team", ""),
                    0.0 if defect else tasks * cpus_per_task,
                    time_s,
                    time_s,
                    defect=defect,
                )
        elif job is None:
            return
        elif state == "ready":
            job.ready_at = max(job.ready_at, time_s) if job.started_at == math.inf else job.ready_at
        elif state == "started":
            job.started_at = min(job.started_at, time_s)
            if "runs already" not in rest:
                job.last_start = max(job.last_start, time_s)
        elif state == "done":
            job.done_at = min(job.done_at, time_s)
        elif state == "aborted":
            job.aborted_at = min(job.aborted_at, time_s)
        elif match := re.search(r"for ([\d.]+) s", rest):
            job.unanswered_s[controller] = max(job.unanswered_s.get(controller, 0.0), float(match[1]))

    def groups(self, key: str) -> dict[str, list[JobRecord]]:
        """Jobs that were not cancelled before they were done, by class or team."""
        groups: dict[str, list[JobRecord]] = collections.defaultdict(list)
        for job in self.jobs.values():
            if not job.cancelled or job.done_at < math.inf:
                groups[getattr(job, key)].append(job)
        return dict(sorted(groups.items()))

    def forgotten(self) -> list[str]:
        return [
            job_id
            for job_id, job in self.jobs.items()
            if sum(wait >= FORGOTTEN_AFTER_S for wait in job.unanswered_s.values()) >= min(2, len(self.controllers))
        ]


def time_limits(calm: Day) -> dict[str, float]:
    """Per class, the 90th percentile of the time from acceptance to done."""
    result = {}
    for name, jobs in calm.groups("job_class").items():
        times = sorted(job.duration_s for job in jobs if job.done_at < math.inf)
        if times:
            result[name] = times[int(0.9 * (len(times) - 1))]
    return result


def largest(jobs: list[JobRecord]) -> list[JobRecord]:
    return sorted(jobs, key=lambda job: -job.cpus)[: math.ceil(len(jobs) * LARGEST_SHARE)]


def report(day: Day, calm: Day, limits: dict[str, float], cancel_s: float = CANCEL_S) -> bool:
    """Prints the results of the day; returns whether it has failed."""
    failed = False

    def print_result(text: str, is_failure: bool) -> None:
        nonlocal failed
        failed |= is_failure
        print(f"  {text}{' FAILED' if is_failure else ''}")

    print(day.name)
    for title, key in (("class", "job_class"), ("team", "team")):
        for name, jobs in day.groups(key).items():
            done = sum(job.done_at < math.inf for job in jobs) / len(jobs)
            in_time = sum(job.duration_s <= limits.get(job.job_class, 0.0) for job in jobs) / len(jobs) / 0.9
            print_result(
                f"{title} {name}: {len(jobs)} jobs, done {done:.3f}, in time {min(1.0, in_time):.2f}",
                min(done, in_time) < MIN_SERVICE,
            )
    for name, jobs in day.groups("job_class").items():
        largest_jobs = largest(jobs)
        done = sum(job.done_at < math.inf for job in largest_jobs) / len(largest_jobs)
        waits = sorted(job.started_at - job.ready_at for job in largest_jobs)
        late_count = sum(wait > MAX_START_DELAY_S for wait in waits)
        print_result(
            f"largest of {name}: {len(largest_jobs)} jobs of {min(job.cpus for job in largest_jobs):g} CPUs or more, "
            f"done {done:.3f}, begun after {waits[len(waits) // 2]:.0f} s in the middle, {waits[-1]:.0f} s at most, "
            f"{late_count} too late",
            done < MIN_SERVICE or late_count > 0,
        )
    forgotten = day.forgotten()
    longest = max((max(job.unanswered_s.values(), default=0.0) for job in day.jobs.values()), default=0.0)
    print_result(
        f"questions: {sum(bool(job.unanswered_s) for job in day.jobs.values())} jobs unanswered for a time at some "
        f"controller, {longest:.0f} s at most; {len(forgotten)} forgotten",
        bool(forgotten),
    )
    defects = [f"{job_id}: {job.defect}" for job_id, job in day.jobs.items() if job.defect]
    print_result(
        f"submissions: {len(day.jobs)} accepted, {len(defects)} that can't run or lack a field"
        f"{' (' + defects[0] + ')' if defects else ''}",
        bool(defects),
    )
    start_delays = [job.last_start - job.aborted_at for job in day.jobs.values() if job.last_start > job.aborted_at]
    late_count = sum(delay > cancel_s for delay in start_delays)
    print_result(
        f"cancelled: {sum(job.cancelled for job in day.jobs.values())} jobs, {len(start_delays)} begun after that, "
        f"{max(start_delays, default=0.0):.1f} s at most, {late_count} beyond {cancel_s:g} s",
        late_count > 0,
    )
    for objective, (_, value) in day.objectives.items():
        calm_value = calm.objectives.get(objective, ("", 0.0))[1]
        if calm_value and value / calm_value < MIN_SERVICE:
            print_result(f"aim {objective}: {value:.3f}, {value / calm_value:.2f} of the calm day's", True)
    return failed


def main(paths: list[str]) -> int:
    cancel_s = CANCEL_S
    if paths[:1] == ["--cancel-s"] and len(paths) > 1:
        cancel_s, paths = float(paths[1]), paths[2:]
    try:
        days = [Day.read(path) for path in paths]
    except (OSError, ValueError, KeyError) as error:
        print(f"service: {error}", file=sys.stderr)
        return 2
    if not days:
        print(__doc__, file=sys.stderr)
        return 2
    limits = time_limits(days[0])
    failed = [report(day, days[0], limits, cancel_s) for day in days]  # no short cut: all are printed
    return 1 if any(failed) else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
