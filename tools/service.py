"""Service of each class and each team on a day, against a calm one, from what a bench run printed with its log.

    python3 tools/service.py CALM.log DAY.log ...      each: output of `fleetbench run SITE DAY --log info`

Service is the less of two shares. Done: jobs that ended as done, of those accepted. In time: jobs
done within the time in which nine of ten of the same class were done on the calm day, against that
day's nine of ten; for a team, over its jobs of all classes. Aims that name a class stand beside it, each
against the calm day's. A day on which any of these is below one half has failed: exit status 1.
"""

from __future__ import annotations

import collections
import re
import sys
from dataclasses import dataclass, field
from pathlib import Path

HALF = 0.5
LINE = re.compile(r"\s*(?P<at>[\d.]+) \S+ INFO \S+ job=(?P<job>\S+) state=(?P<state>accepted|done)(?P<more>.*)")
AIM = re.compile(r"\s+(?:met|missed) +(?P<aim>(?:wait|finished|deadline) (?P<cls>\S+) [\d.]+ \S+)"
                 r": (?P<value>[\d.]+) of")


@dataclass
class Day:
    name: str
    jobs: dict[str, tuple[str, str, float]] = field(default_factory=dict)  # id -> class, team, accepted at
    took: dict[str, float] = field(default_factory=dict)  # id -> seconds from accepted to done
    aims: dict[str, tuple[str, float]] = field(default_factory=dict)

    @classmethod
    def read(cls, path: str) -> Day:
        day = cls(Path(path).stem)
        for line in Path(path).read_text(errors="replace").splitlines():
            if found := LINE.match(line):
                if found["state"] == "accepted":
                    more = dict(pair.split("=", 1) for pair in found["more"].split() if "=" in pair)
                    day.jobs[found["job"]] = (more["class"], more["team"], float(found["at"]))
                elif found["job"] in day.jobs:
                    day.took.setdefault(found["job"], float(found["at"]) - day.jobs[found["job"]][2])
            elif found := AIM.match(line):
                day.aims[found["aim"]] = (found["cls"], float(found["value"]))
        if not day.jobs or not day.aims:
            raise ValueError(f"{path}: expected a run's output with --log info, to its end")
        return day


def within(calm: Day) -> dict[str, float]:
    """Per class, the time in which nine of ten of its jobs were done."""
    times = collections.defaultdict(list)
    for job, took in calm.took.items():
        times[calm.jobs[job][0]].append(took)
    return {name: sorted(took)[int(0.9 * (len(took) - 1))] for name, took in times.items()}


def service(day: Day, limit: dict[str, float], by: int) -> dict[str, tuple[int, float, float]]:
    """Per class (``by`` 0) or team (1): jobs, share done, share done in time of the calm day's."""
    groups = collections.defaultdict(list)
    for job, facts in day.jobs.items():
        groups[facts[by]].append(job)
    return {name: (len(jobs), sum(job in day.took for job in jobs) / len(jobs),
                   sum(day.took.get(job, float("inf")) <= limit.get(day.jobs[job][0], 0.0) for job in jobs)
                   / len(jobs) / 0.9) for name, jobs in sorted(groups.items())}


def main(paths: list[str]) -> int:
    try:
        days = [Day.read(path) for path in paths]
    except (OSError, ValueError) as error:
        print(f"service: {error}", file=sys.stderr)
        return 2
    if not days:
        print(__doc__, file=sys.stderr)
        return 2
    limit, failed = within(days[0]), False
    for day in days:
        print(f"{day.name}")
        for title, by in (("class", 0), ("team", 1)):
            for name, (jobs, done, timely) in service(day, limit, by).items():
                bad = min(done, timely) < HALF
                failed |= bad
                print(f"  {title} {name}: {jobs} jobs, done {done:.3f}, in time {min(1.0, timely):.2f}"
                      f"{' FAILED' if bad else ''}")
        for aim, (_, value) in day.aims.items():
            calm = days[0].aims.get(aim, ("", 0.0))[1]
            share = value / calm if calm else 1.0
            if share < HALF:
                failed = True
                print(f"  aim {aim}: {value:.3f}, {share:.2f} of the calm day's FAILED")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
