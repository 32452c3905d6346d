"""Service of each class, team and of the largest jobs on a day, against a calm one, from a bench run's printed log.

    python3 tools/service.py [--cancel-s S] CALM.log DAY.log ...    each: output of `fleetbench run SITE DAY --log info`

Service is the less of two shares. Done: jobs that ended as done, of those accepted and not cancelled. In time: jobs
done within the time in which nine of ten of the same class were done on the calm day, against that
day's nine of ten; for a team, over its jobs of all classes. Aims that name a class stand beside it, each
against the calm day's. Below one half, the day has failed; so it has

* where less than half of a class's largest jobs are done: its tenth by CPUs, tasks times what each takes;
* where one of these began later than four minutes after it was accepted, or after what it waits for was done;
* where two controllers or more, or the only one that was asked, could tell nothing of a job for 75 s: forgotten.
  The log tells of questions only where a controller could not answer for 25 s and more;
* where a job was accepted that can't run, or lacks a field: no class, no team, no tasks or too many, no CPUs;
* where a job that was cancelled began later than ``--cancel-s`` after that. Those that began earlier, but
  after it, are counted. The log says when the end was decided, a moment before its user was told, and of a job's
  first start alone, when its home heard of it.

Who waits beside room that fits is judged in ``tests/simulation/``: the log does not tell of room.

Exit status: 0 no day failed, 1 one did, 2 an output could not be read. The calm day itself is held to the same.
"""

from __future__ import annotations

import collections
import math
import re
import sys
from dataclasses import dataclass, field
from pathlib import Path

HALF = 0.5
LARGEST = 0.1  # share of a class's jobs
BEGIN_S, KNOWN_S = 240.0, 75.0
CANCEL_S = 42.0  # where no other is given
MOST_TASKS = 100_000
LINE = re.compile(
    r"\s*(?P<at>[\d.]+) (?P<who>\S+) INFO \S+ job=(?P<job>\S+) "
    r"state=(?P<state>accepted|ready|started|done|aborted|unanswered)(?P<more>.*)"
)
AIM = re.compile(
    r"\s+(?:met|missed) +(?P<aim>(?:wait|finished|deadline) (?P<cls>\S+) [\d.]+ \S+)"
    r": (?P<value>[\d.]+) of"
)


@dataclass
class Facts:
    """What the log tells of one job; times in s of the day."""

    job_class: str
    team: str
    cpus: float
    accepted: float
    ready: float  # when it was accepted, or what it waits for was done
    begun: float = math.inf
    last_start: float = -math.inf  # not where a home has inherited it, and learns that it runs already
    done: float = math.inf
    aborted: float = math.inf  # when its end was first decided
    flaw: str = ""  # why it should not have been accepted
    unanswered: dict[str, float] = field(default_factory=dict)  # controller -> longest time without an answer there

    @property
    def cancelled(self) -> bool:
        return self.aborted < math.inf

    @property
    def took(self) -> float:
        return self.done - self.accepted


@dataclass
class Day:
    name: str
    jobs: dict[str, Facts] = field(default_factory=dict)
    aims: dict[str, tuple[str, float]] = field(default_factory=dict)
    controllers: set[str] = field(default_factory=set)

    @classmethod
    def read(cls, path: str) -> Day:
        day = cls(Path(path).stem)
        for line in Path(path).read_text(errors="replace").splitlines():
            if found := LINE.match(line):
                day.controllers.add(found["who"])
                day.note(found["job"], found["state"], float(found["at"]), found["who"], found["more"])
            elif found := AIM.match(line):
                day.aims[found["aim"]] = (found["cls"], float(found["value"]))
        if not day.jobs or not day.aims:
            raise ValueError(f"{path}: expected a run's output with --log info, to its end")
        return day

    def note(self, job: str, state: str, at: float, who: str, more: str) -> None:
        facts = self.jobs.get(job)
        if state == "accepted":
            if facts is None:
                told = dict(pair.split("=", 1) for pair in more.split() if "=" in pair)
                each = float(told.get("cpus", 1.0))  # earlier versions did not say it
                tasks = int(told.get("tasks") or 0)
                lacks = [name for name in ("class", "team", "tasks") if not told.get(name)]
                flaw = (
                    f"lacks {', '.join(lacks)}"
                    if lacks
                    else f"{tasks} tasks"
                    if not 1 <= tasks <= MOST_TASKS
                    else ""
                    if each > 0
                    else f"{each:g} CPUs"
                )  # NaN is not
                self.jobs[job] = Facts(
                    told.get("class", ""), told.get("team", ""), 0.0 if flaw else tasks * each, at, at, flaw=flaw
                )
        elif facts is None:
            return
        elif state == "ready":
            facts.ready = max(facts.ready, at) if facts.begun == math.inf else facts.ready
        elif state == "started":
            facts.begun = min(facts.begun, at)
            if "runs already" not in more:
                facts.last_start = max(facts.last_start, at)
        elif state == "done":
            facts.done = min(facts.done, at)
        elif state == "aborted":
            facts.aborted = min(facts.aborted, at)
        elif found := re.search(r"for ([\d.]+) s", more):
            facts.unanswered[who] = max(facts.unanswered.get(who, 0.0), float(found[1]))

    def groups(self, by: str) -> dict[str, list[Facts]]:
        """Jobs that were not cancelled, by class or team."""
        groups: dict[str, list[Facts]] = collections.defaultdict(list)
        for facts in self.jobs.values():
            if not facts.cancelled or facts.done < math.inf:
                groups[getattr(facts, by)].append(facts)
        return dict(sorted(groups.items()))

    def forgotten(self) -> list[str]:
        return [
            job
            for job, facts in self.jobs.items()
            if sum(wait >= KNOWN_S for wait in facts.unanswered.values()) >= min(2, len(self.controllers))
        ]


def within(calm: Day) -> dict[str, float]:
    """Per class, the time in which nine of ten of its jobs were done."""
    result = {}
    for name, jobs in calm.groups("job_class").items():
        times = sorted(facts.took for facts in jobs if facts.done < math.inf)
        if times:
            result[name] = times[int(0.9 * (len(times) - 1))]
    return result


def largest(jobs: list[Facts]) -> list[Facts]:
    return sorted(jobs, key=lambda facts: -facts.cpus)[: math.ceil(len(jobs) * LARGEST)]


def report(day: Day, calm: Day, limit: dict[str, float], cancel_s: float = CANCEL_S) -> bool:
    """Prints the day; whether it has failed."""
    failed = False

    def say(text: str, bad: bool) -> None:
        nonlocal failed
        failed |= bad
        print(f"  {text}{' FAILED' if bad else ''}")

    print(day.name)
    for title, by in (("class", "job_class"), ("team", "team")):
        for name, jobs in day.groups(by).items():
            done = sum(facts.done < math.inf for facts in jobs) / len(jobs)
            timely = sum(facts.took <= limit.get(facts.job_class, 0.0) for facts in jobs) / len(jobs) / 0.9
            say(
                f"{title} {name}: {len(jobs)} jobs, done {done:.3f}, in time {min(1.0, timely):.2f}",
                min(done, timely) < HALF,
            )
    for name, jobs in day.groups("job_class").items():
        large = largest(jobs)
        done = sum(facts.done < math.inf for facts in large) / len(large)
        waits = sorted(facts.begun - facts.ready for facts in large)
        late = sum(wait > BEGIN_S for wait in waits)
        say(
            f"largest of {name}: {len(large)} jobs of {min(f.cpus for f in large):g} CPUs or more, done {done:.3f}, "
            f"begun after {waits[len(waits) // 2]:.0f} s in the middle, {waits[-1]:.0f} s at most, {late} too late",
            done < HALF or late > 0,
        )
    forgotten = day.forgotten()
    longest = max((max(facts.unanswered.values(), default=0.0) for facts in day.jobs.values()), default=0.0)
    say(
        f"questions: {sum(bool(facts.unanswered) for facts in day.jobs.values())} jobs unanswered for a time at some "
        f"controller, {longest:.0f} s at most; {len(forgotten)} forgotten",
        bool(forgotten),
    )
    flawed = [f"{job}: {facts.flaw}" for job, facts in day.jobs.items() if facts.flaw]
    say(
        f"submissions: {len(day.jobs)} accepted, {len(flawed)} that can't run or lack a field"
        f"{' (' + flawed[0] + ')' if flawed else ''}",
        bool(flawed),
    )
    after = [facts.last_start - facts.aborted for facts in day.jobs.values() if facts.last_start > facts.aborted]
    late = sum(by > cancel_s for by in after)
    say(
        f"cancelled: {sum(facts.cancelled for facts in day.jobs.values())} jobs, {len(after)} begun after that, "
        f"{max(after, default=0.0):.1f} s at most, {late} beyond {cancel_s:g} s",
        late > 0,
    )
    for aim, (_, value) in day.aims.items():
        before = calm.aims.get(aim, ("", 0.0))[1]
        if before and value / before < HALF:
            say(f"aim {aim}: {value:.3f}, {value / before:.2f} of the calm day's", True)
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
    limit = within(days[0])
    failed = [report(day, days[0], limit, cancel_s) for day in days]  # all of them are printed
    return 1 if any(failed) else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
