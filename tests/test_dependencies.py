"""Readiness, cascading aborts and urgency of the dependency graph, compared with a naive model."""

import random

import pytest

from alderbridge import constants
from alderbridge.jobs.dependencies import NO_DEADLINE, Graph
from alderbridge.protocol.messages import QueueRow
from alderbridge.protocol.wire import JobSpec, MalformedBodyError, parse_job
from alderbridge.scheduling import queue_times
from alderbridge.scheduling.offers import placement_key
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


class NaiveGraph:
    """Naive model of the graph: each result is computed from all jobs, ends and times."""

    def __init__(self):
        self.specs, self.dependencies, self.submitted_at, self.ends = {}, {}, {}, {}

    def end_of(self, job):
        return self.ends.get(job)

    def waiting(self, job):
        return any(self.ends.get(dependency, ("",))[0] != "done" for dependency in self.dependencies[job])

    def cascade_aborted(self, job):
        return any(
            self.ends.get(dependency, ("",))[0] == "aborted"
            or dependency in self.dependencies
            and self.cascade_aborted(dependency)
            for dependency in self.dependencies[job]
        )

    def ready_at(self, job):
        return max([self.submitted_at[job], *(self.ends[dependency][1] for dependency in self.dependencies[job])])

    def required_by_dependents(self, job):
        """The (rank, due) that the dependents of the job require."""
        rank, due = -1, NO_DEADLINE
        for dependent, dependencies in self.dependencies.items():
            if job in dependencies:
                required = self.required_by_dependents(dependent)
                own = (
                    self.submitted_at[dependent] + self.specs[dependent].due_s
                    if self.specs[dependent].due_s
                    else NO_DEADLINE
                )
                rank = max(rank, self.specs[dependent].rank, required[0])
                due = min(due, min(own, required[1]) - self.specs[dependent].estimate_s - constants.START_OVERHEAD_S)
        return rank, due


@pytest.mark.parametrize("seed", range(40))
def test_the_graph_agrees_with_the_model_over_random_histories(seed):
    rng, model, graph = random.Random(seed), NaiveGraph(), Graph(lambda job_spec: job_spec.estimate_s)
    unread = []  # records that arrive after those of their dependents, as when all are loaded by key
    for step in range(60):
        now, active_jobs = float(step + 1), [job for job in model.dependencies if job not in model.ends]
        if rng.random() < 0.6 or not active_jobs:
            job = f"wk-{step}"
            dependencies = rng.sample(
                sorted(model.dependencies), min(len(model.dependencies), rng.choice([0, 1, 1, 2, 3]))
            )
            model.dependencies[job], model.submitted_at[job] = dependencies, now
            model.specs[job] = spec(
                job,
                rng.choice(["best_effort", "standard", "high"]),
                rng.uniform(1.0, 9.0),
                rng.choice([None, None, 50.0, 80.0]),
            )
            unread.append(job)
        else:
            job = rng.choice(active_jobs)
            if seed % 2 and model.waiting(job):
                continue
            state = "aborted" if model.waiting(job) or (rng.random() < 0.2 and not seed % 2) else "done"
            model.ends[job] = (state, now)
            (graph.done(job, now) if state == "done" else graph.aborted(job))
            unread = [other for other in unread if other != job]
        rng.shuffle(unread)
        while unread and rng.random() < 0.8:
            job = unread.pop()
            if model.dependencies[job]:
                graph.add(model.specs[job], model.submitted_at[job], model.dependencies[job], model.end_of)
        for job in [name for name in model.dependencies if name not in model.ends and name not in unread]:
            assert graph.waiting(job) == model.waiting(job), job
            if not unread:
                assert (job in graph.cascade_aborted) == model.cascade_aborted(job), job
            if not unread and seed % 2:  # urgency is compared only without aborts, which do not withdraw it
                rank, due = model.required_by_dependents(job)
                assert graph.dependents_rank(job) == rank
                assert graph.dependents_due(job) == ((pytest.approx(due),) if due < NO_DEADLINE else ())
            if model.dependencies[job] and not model.waiting(job):
                assert graph.ready_at(job) == model.ready_at(job)
    newly_ready = set(graph.newly_ready)
    assert newly_ready == {job for job in newly_ready if not model.dependencies[job] or not model.waiting(job)}


def test_deep_chains_and_wide_fans_finish_without_recursion_or_repeated_traversals():
    """Guards against recursion in deep chains and against quadratic traversals in wide fans."""
    graph, end_of = Graph(lambda job_spec: job_spec.estimate_s), lambda job: None
    for number in range(1, 20_000):
        graph.add(spec(f"wk-{number}"), 1.0, [f"wk-{number - 1}"], end_of)
    graph.add(spec("wk-20000", "high", due_s=900.0), 1.0, ["wk-19999"], end_of)
    assert graph.dependents_rank("wk-0") == 2
    graph.aborted("wk-0")
    assert len(graph.cascade_aborted) == 20_000
    for number in range(20_000):
        graph.add(spec(f"wk-fan-{number}"), 1.0, ["wk-hub"], end_of)
    graph.done("wk-hub", 2.0)
    assert len(graph.newly_ready) == 20_000


def test_ended_jobs_are_removed_from_the_graph():
    graph = Graph(lambda job_spec: job_spec.estimate_s)
    graph.add(spec("wk-2"), 1.0, ["wk-1"], lambda job: None)
    graph.add(spec("wk-3"), 1.0, ["wk-2", "wk-9"], lambda job: None)
    graph.aborted("wk-1")
    for job in ("wk-2", "wk-3"):
        graph.aborted(job)
    assert not graph.cascade_aborted and not graph.waiting("wk-3") and set(graph.nodes) <= {"wk-9"}


def test_waiting_counts_from_readiness_and_the_deadline_from_submission():
    objectives = [Objective("wait", "x", within_s=40.0), Objective("deadline", "x", times=1.0)]
    times = queue_times.queue_times(spec("wk-1", due_s=100.0), Tuning(), objectives, False, waited_s=30.0)
    assert times == sorted(
        [
            (40.0 * constants.OBJECTIVE_QUEUE_TIME_SHARE, 40.0),
            (
                100.0 - 10.0 * constants.RUN_TIME_SAFETY_FACTOR - 30.0,
                100.0 - 10.0 * constants.MIN_RUN_TIME_FACTOR - 30.0,
            ),
        ]
    )
    times_for_dependents = queue_times.queue_times(spec("wk-1"), Tuning(), [], False, needed_s=[60.0])
    assert times_for_dependents == [
        (60.0 - 10.0 * constants.RUN_TIME_SAFETY_FACTOR, 60.0 - 10.0 * constants.MIN_RUN_TIME_FACTOR)
    ]


def test_a_job_is_ordered_by_the_highest_priority_of_its_dependents():
    row = QueueRow("wk-1", 1, 1, 9.0, 1.0, None, 0.0, False, False)
    with_dependents = QueueRow("wk-1", 1, 1, 9.0, 1.0, None, 0.0, False, False, 2)
    low = spec("wk-1", "best_effort")
    assert (
        placement_key(with_dependents, low, 9.0) < placement_key(row, spec("wk-2"), 1.0) < placement_key(row, low, 1.0)
    )


@pytest.mark.parametrize("waits_on", ['"wk-1"', "[1]", '["x"]', '["wk-1\\n"]', "{}", "[null]"])
def test_a_malformed_list_of_dependencies_is_rejected(waits_on):
    body = (
        '{"id":"wk-2","workload":"w","owner":"t","shape":"sweep","urgency":"high","parts":1,"vcpus":1.0,'
        '"accelerators":0.0,"mem_gb":1.0,"bundle":"i","image_gb":1.0,"together":false,"apart":false,'
        '"standby":true,"expected_s":5.0,"snapshot_every_s":0.0,"snapshot_s":0.0,"waits_on":%s}'
    )
    assert parse_job((body % "null").encode()).dependencies is None
    with pytest.raises(MalformedBodyError):
        parse_job((body % waits_on).encode())
