"""Assured write rates: a flood of one class of store changes must not starve the other classes.

In particular, tasks start only on machines whose records are stored, so submissions must not delay these records.
"""

import math
from types import SimpleNamespace

import msgspec
import pytest
from test_capacity_under_faults import RateLimitedStoreWorld, array

from alderbridge import constants
from alderbridge.controller import admission
from alderbridge.controller.admission import Admission
from alderbridge.jobs.record import JobState, Record
from alderbridge.protocol.keys import JOBS, MACHINES
from alderbridge.protocol.store import MachineRecord
from alderbridge.state.write_classes import ASSURED_SHARES, AssuredRates, WriteClass

START_WITHIN_S = 60.0  # maximum time from the first machine up to the first task start
MAX_STARVATION_S = 10.0  # maximum time without a write of a class that has writes due
USER_RETRY_S = 60.0  # users retry a submission for this long
FLOOD_AT, FLOOD_S = 10.0, 70.0


class Flood(RateLimitedStoreWorld):
    """Submissions exceed the store's write rate while the fleet is scaled out from zero."""

    def __init__(self, seed, rate=16.0, write_rps=10.0, duration_s=FLOOD_S, **more) -> None:
        super().__init__(seed, write_rps=write_rps, machines=80, **more)
        self.first_machine_up_at = self.first_task_started_at = math.inf
        self.submissions_written: list[float] = []
        self.machines_written: list[float] = []
        self.ends_written: list[float] = []
        self.waiting: dict[str, list[tuple[float, bool]]] = {"machines": [], "submissions": [], "ends": []}
        commit = self.store.commit

        def recording_commit(conditions, puts, drops=(), lease_id=None):
            answer = commit(conditions, puts, drops, lease_id)
            if answer.revision >= 0 and not answer.failed:
                self.record_commit(conditions, puts)
            return answer

        self.store.commit = recording_commit
        for number in range(int(duration_s * rate)):
            self.after(FLOOD_AT + number / rate, self.send, array(number, tasks=2, estimate_s=5.0))
        self.after(FLOOD_AT, self.look)

    def try_submit(self, spec) -> None:
        """Submit at a random controller, which may refuse with 503; retry for ``USER_RETRY_S``."""
        if self.t - self.first_submitted_at[spec.id] > USER_RETRY_S:
            return
        label = self.rng.choice(list(self.controllers))
        core = self.controllers[label].core
        if core is None or admission.decide(core, spec, self.t, False).admission is Admission.UNAVAILABLE:
            self.after(constants.RETRY_AFTER_S, self.try_submit, spec)
            return
        self.submission_controllers = [label]
        super().try_submit(spec)

    def record_commit(self, conditions, puts) -> None:
        for key, value in puts.items():
            if key.startswith(MACHINES):
                self.machines_written.append(self.t)
            elif key.startswith(JOBS):
                is_new = conditions.get(key) == 0
                ended = value.state != "active"
                (self.submissions_written if is_new else self.ends_written if ended else []).append(self.t)

    def look(self) -> None:
        """Sample which classes have writes due."""
        cores = [sim.core for sim in self.controllers.values() if sim.core is not None and sim.core.may_act()]
        waiting = {
            "machines": any(core.machine_shard.records.to_write for core in cores),
            "submissions": any(core.submissions.pending for core in cores),
            "ends": any(
                job.state is not job.stored_state and core.job_shard.may_end(job)
                for core in cores
                for job in core.job_shard.jobs.values()
            ),
        }
        for name, has_due_writes in waiting.items():
            self.waiting[name].append((self.t, has_due_writes))
        self.after(0.5, self.look)

    def boot(self, name, kind) -> None:
        super().boot(name, kind)
        self.first_machine_up_at = min(self.first_machine_up_at, self.t)

    def on_task_started(self, part, worker) -> None:
        super().on_task_started(part, worker)
        self.first_task_started_at = min(self.first_task_started_at, self.t)

    def longest_starvation(self, name: str, since: float = FLOOD_AT, until: float = math.inf) -> float:
        """The longest time during which a class had writes due and none was committed."""
        written = {
            "machines": self.machines_written,
            "submissions": self.submissions_written,
            "ends": self.ends_written,
        }
        samples = [(written_at, False) for written_at in written[name]] + self.waiting[name]
        longest, started_at = 0.0, None
        for sampled_at, is_starved in sorted(sample for sample in samples if since <= sample[0] <= until):
            if not is_starved:
                started_at = None
            elif started_at is None:
                started_at = sampled_at
            else:
                longest = max(longest, sampled_at - started_at)
        return longest

    def check_progress(self, since: float = FLOOD_AT, until: float = math.inf) -> None:
        starvation_s = {name: self.longest_starvation(name, since, until) for name in self.waiting}
        assert max(starvation_s.values()) < MAX_STARVATION_S, starvation_s

    def unfinished_jobs(self) -> list[str]:
        """Accepted jobs that the store does not hold as done."""
        stored = {job: msgspec.json.decode(self.store.data[JOBS + job][0], type=Record) for job in self.accepted}
        return [job for job, record in stored.items() if record.state is not JobState.DONE]

    def check_all_jobs_complete(self) -> None:
        """All accepted jobs are done once the backlog of the flood has been processed."""
        while self.t < FLOOD_AT + FLOOD_S + 400.0 and self.unfinished_jobs():
            self.run(self.t + 10.0)
        assert self.unfinished_jobs() == []


@pytest.mark.parametrize("seed", range(4))
def test_tasks_start_while_submissions_exceed_the_store_write_rate(seed):
    world = Flood(seed)
    world.run(FLOOD_AT + FLOOD_S)
    assert world.first_task_started_at - world.first_machine_up_at < START_WITHIN_S
    world.check_progress()
    world.check_all_jobs_complete()


def test_progress_resumes_after_a_store_outage_during_a_flood():
    world = Flood(10, duration_s=150.0)
    world.run(60.0)
    world.store.outage(12.0)
    world.run(FLOOD_AT + 150.0)
    world.check_progress(since=72.0 + constants.VIEW_SETTLE_TIMEOUT_S)
    assert [at for at in world.machines_written if at > 72.0]
    world.check_all_jobs_complete()


def check_progress_resumes(world: Flood, crashed_at: float) -> None:
    """After a controller crashed at ``crashed_at``, every class makes progress from the next view on."""
    world.run(FLOOD_AT + FLOOD_S)
    assert world.first_task_started_at - world.first_machine_up_at < START_WITHIN_S
    world.check_progress(since=crashed_at + constants.CONTACT_TIMEOUT_S + constants.VIEW_SETTLE_TIMEOUT_S)
    world.check_all_jobs_complete()


def test_progress_resumes_after_a_leader_failover_during_a_flood():
    world = Flood(11)
    world.run(40.0)
    world.leader.crash()
    check_progress_resumes(world, crashed_at=40.0)


def test_progress_resumes_after_a_controller_restart_during_a_flood():
    world = Flood(12)
    world.run(40.0)
    sim = next(sim for sim in world.controllers.values() if sim is not world.leader)
    sim.crash()
    world.after(6.0, world.restart, sim)
    check_progress_resumes(world, crashed_at=40.0)


def test_submissions_and_machine_records_progress_during_a_flood_of_job_ends():
    world = Flood(13)
    world.run(45.0)
    active = [job for sim in world.controllers.values() for job in sim.core.job_shard.jobs]
    assert len(active) > 60, "more than the store commits in five seconds"
    for job in active:
        world.cancel(job)
    world.run(75.0)
    world.check_progress(since=45.0)


def test_assured_rates_match_their_shares_and_do_not_accumulate():
    now, rates = 100.0, AssuredRates(10.0, 100.0)
    changes_by_class = dict.fromkeys(WriteClass, 0)
    for _ in range(2000):  # 20 s in which all classes have writes due
        now += 0.01
        for write_class in WriteClass:
            count = rates.available(write_class, True, now)
            rates.consume(write_class, now, count)
            changes_by_class[write_class] += count
    for write_class, share in ASSURED_SHARES.items():
        assert abs(changes_by_class[write_class] - 200 * share) <= 2, changes_by_class
    assert sum(ASSURED_SHARES.values()) <= 1.0, "the assured shares fit into the budget"
    assert rates.available(WriteClass.SUBMISSION, False, now + 60.0) == 0, "the class had nothing due"
    assert rates.available(WriteClass.SUBMISSION, True, now + 60.1) == 0
    assert rates.available(WriteClass.SUBMISSION, True, now + 120.0) == 1, (
        "unused rate does not accumulate into a burst"
    )


def test_a_submission_that_cannot_be_stored_in_time_is_refused_at_once():
    world = RateLimitedStoreWorld(14, write_rps=10.0)
    world.run(5.0)
    core = world.controllers["host-1"].core
    answers = []
    for number in range(20):
        decision = admission.decide(core, array(number), world.t, False)
        answers.append(decision.admission)
        if decision.admission is Admission.ADMITTED:
            core.submissions.submit(array(number), world.t, world.t)
    admitted = answers.count(Admission.ADMITTED)
    assert 4 <= admitted <= 7 and answers[admitted:] == [Admission.UNAVAILABLE] * (20 - admitted)
    assert admission.decide(core, array(0), world.t, False).admission is Admission.ADMITTED, "already queued here"
    world.run(world.t + constants.SUBMIT_TIMEOUT_S)
    assert admission.decide(core, array(19), world.t, False).admission is Admission.ADMITTED


@pytest.mark.parametrize("level", (1.0, 6.0, 12.0, 30.0))
def test_no_transaction_exceeds_the_limit_of_changes(level):
    """Assured changes count towards the limit of the transaction."""
    world = RateLimitedStoreWorld(15)
    world.run(5.0)
    core = world.controllers["host-1"].core
    writer, now = core.record_writer, world.t
    for number in range(20):
        core.machine_shard.machines[f"n-9{number:05d}"] = SimpleNamespace(record=MachineRecord())
        core.machine_shard.records.to_write.append(f"n-9{number:05d}")
        core.machine_records.to_drop.append(f"n-8{number:05d}")
    for number in range(5):
        core.submissions.submit(array(number), now, now)
    for bucket in writer.write_rate_limit.assured._buckets.values():  # each class has its full assured burst
        bucket.tokens, bucket.refilled_at = 1.0, now
    writer.write_rate_limit.budget.set_rate(level, level, now)
    writer.write_rate_limit.budget.tokens = level
    with_overdraft = int(level + constants.WRITE_OVERDRAFT_SHARE * level)
    batch = writer.next_batch(now)
    assert batch is not None and batch.machines and (batch.submissions or level == 1.0)
    assert batch.changes == len(batch.puts) + len(batch.drops) <= min(writer.max_changes, with_overdraft)
