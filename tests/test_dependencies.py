"""Which jobs are ready, which are cascade-aborted, how urgent: against the plain definitions, over random histories."""

import random

import pytest

from alderbridge import constants
from alderbridge.jobs.dependencies import NO_DEADLINE, Graph
from alderbridge.protocol.messages import QueueRow
from alderbridge.protocol.wire import JobSpec, MalformedBodyError, parse_job
from alderbridge.scheduling import queue_times
from alderbridge.scheduling.offers import order
from alderbridge.settings import Objective, Tuning


def spec(job, priority="standard", estimate_s=10.0, due_s=None, **more):
    return JobSpec(
        id=job,
        job_class="x",
        team="t",
        kind="sweep",
        priority=priority,
        tasks=1,
        cpus=1.0,
        memory_gb=1.0,
        image="i",
        image_gb=1.0,
        estimate_s=estimate_s,
        due_s=due_s,
        **more,
    )


class History:
    """Jobs, ends and their times, with every answer worked out from scratch."""

    def __init__(self):
        self.specs, self.needs, self.at, self.ends = {}, {}, {}, {}

    def over(self, job):
        return self.ends.get(job)

    def waiting(self, job):
        return any(self.ends.get(need, ("",))[0] != "done" for need in self.needs[job])

    def cascade_aborted(self, job):
        return any(
            self.ends.get(need, ("",))[0] == "aborted" or need in self.needs and self.cascade_aborted(need)
            for need in self.needs[job]
        )

    def ready_at(self, job):
        return max([self.at[job], *(self.ends[need][1] for need in self.needs[job])])

    def asked(self, job):
        """(rank, due) that the jobs which need it ask for."""
        rank, due = -1, NO_DEADLINE
        for other, needs in self.needs.items():
            if job in needs:
                more = self.asked(other)
                own = self.at[other] + self.specs[other].due_s if self.specs[other].due_s else NO_DEADLINE
                rank = max(rank, self.specs[other].rank, more[0])
                due = min(due, min(own, more[1]) - self.specs[other].estimate_s - constants.DEPENDENCY_STEP_S)
        return rank, due


@pytest.mark.parametrize("seed", range(40))
def test_every_answer_is_that_of_the_definitions(seed):
    rng, past, graph = random.Random(seed), History(), Graph(lambda one: one.estimate_s)
    late = []  # records that arrive after those that name them, as when all are read by key
    for step in range(60):
        now, open_ones = float(step + 1), [job for job in past.needs if job not in past.ends]
        if rng.random() < 0.6 or not open_ones:
            job = f"wk-{step}"
            needs = rng.sample(sorted(past.needs), min(len(past.needs), rng.choice([0, 1, 1, 2, 3])))
            past.needs[job], past.at[job] = needs, now
            past.specs[job] = spec(
                job,
                rng.choice(["best_effort", "standard", "high"]),
                rng.uniform(1.0, 9.0),
                rng.choice([None, None, 50.0, 80.0]),
            )
            late.append(job)
        else:
            job = rng.choice(open_ones)
            if seed % 2 and past.waiting(job):
                continue
            how = "aborted" if past.waiting(job) or (rng.random() < 0.2 and not seed % 2) else "done"
            past.ends[job] = (how, now)
            (graph.done(job, now) if how == "done" else graph.aborted(job))
            late = [other for other in late if other != job]
        rng.shuffle(late)
        while late and rng.random() < 0.8:
            job = late.pop()
            if past.needs[job]:
                graph.add(past.specs[job], past.at[job], past.needs[job], past.over)
        for job in [one for one in past.needs if one not in past.ends and one not in late]:
            assert graph.waiting(job) == past.waiting(job), job
            if not late:
                assert (job in graph.cascade_aborted) == past.cascade_aborted(job), job
            if not late and seed % 2:  # an aborted job's haste is not taken back
                rank, due = past.asked(job)
                assert graph.dependents_rank(job) == rank
                assert graph.dependents_due(job) == ((pytest.approx(due),) if due < NO_DEADLINE else ())
            if past.needs[job] and not past.waiting(job):
                assert graph.ready_at(job) == past.ready_at(job)
    told = set(graph.newly_ready)
    assert told == {job for job in told if not past.needs[job] or not past.waiting(job)}


def test_long_chains_and_wide_fans_cost_what_they_touch():
    """Deep: no recursion. Wide: an abort touches each dependent once, an end only its own."""
    graph, over = Graph(lambda one: one.estimate_s), lambda job: None
    for number in range(1, 20_000):
        graph.add(spec(f"wk-{number}"), 1.0, [f"wk-{number - 1}"], over)
    graph.add(spec("wk-20000", "high", due_s=900.0), 1.0, ["wk-19999"], over)
    assert graph.dependents_rank("wk-0") == 2
    graph.aborted("wk-0")
    assert len(graph.cascade_aborted) == 20_000
    for number in range(20_000):
        graph.add(spec(f"wk-fan-{number}"), 1.0, ["wk-hub"], over)
    graph.done("wk-hub", 2.0)
    assert len(graph.newly_ready) == 20_000


def test_ended_jobs_leave_nothing_behind():
    graph = Graph(lambda one: one.estimate_s)
    graph.add(spec("wk-2"), 1.0, ["wk-1"], lambda job: None)
    graph.add(spec("wk-3"), 1.0, ["wk-2", "wk-9"], lambda job: None)
    graph.aborted("wk-1")
    for job in ("wk-2", "wk-3"):
        graph.aborted(job)
    assert not graph.cascade_aborted and not graph.waiting("wk-3") and set(graph.nodes) <= {"wk-9"}


def test_times_count_from_readiness_and_the_deadline_from_submission():
    objectives = [Objective("wait", "x", within_s=40.0), Objective("deadline", "x", times=1.0)]
    times = queue_times.queue_times(spec("wk-1", due_s=100.0), Tuning(), objectives, False, waited_s=30.0)
    assert times == sorted(
        [
            (40.0 * constants.WAIT_SHARE, 40.0),
            (100.0 - 10.0 * constants.RUN_SAFETY - 30.0, 100.0 - 10.0 * constants.RUN_OPTIMISM - 30.0),
        ]
    )
    asked = queue_times.queue_times(spec("wk-1"), Tuning(), [], False, needed_s=[60.0])
    assert asked == [(60.0 - 10.0 * constants.RUN_SAFETY, 60.0 - 10.0 * constants.RUN_OPTIMISM)]


def test_a_job_goes_with_the_priority_of_those_that_need_it():
    row = QueueRow("wk-1", 1, 1, 9.0, 1.0, None, 0.0, False, False)
    needed = QueueRow("wk-1", 1, 1, 9.0, 1.0, None, 0.0, False, False, 2)
    low = spec("wk-1", "best_effort")
    assert order(needed, low, 9.0) < order(row, spec("wk-2"), 1.0) < order(row, low, 1.0)


@pytest.mark.parametrize("waits_on", ['"wk-1"', "[1]", '["x"]', '["wk-1\\n"]', "{}", "[null]"])
def test_a_malformed_list_of_jobs_is_refused(waits_on):
    body = (
        '{"id":"wk-2","workload":"w","owner":"t","shape":"sweep","urgency":"high","parts":1,"vcpus":1.0,'
        '"accelerators":0.0,"mem_gb":1.0,"bundle":"i","image_gb":1.0,"together":false,"apart":false,'
        '"standby":true,"expected_s":5.0,"snapshot_every_s":0.0,"snapshot_s":0.0,"waits_on":%s}'
    )
    assert parse_job((body % "null").encode()).needs is None
    with pytest.raises(MalformedBodyError):
        parse_job((body % waits_on).encode())
