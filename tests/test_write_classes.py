"""Records of machines, ends of jobs and submissions each get a part of the store's changes, whichever floods.

What happened: on a site of 3,601 machines with 16 controllers and 50 changes of the store a second no task started in
200 s, though 1,771 jobs were accepted; a machine may run nothing before the store holds its record. Why: submissions
and ends were let run ahead of the write budget, so while they were waiting its level stayed below zero, and records of
machines were only written from a level of one or more. Shown by the store's keys: 1,301 jobs accepted and 1,351 keys
at 60 s, so hardly one of 3,573 rented machines was recorded. Submissions that their users had given up stayed in the
queue, and were written again by the controllers that the users tried next.
"""

import math
from types import SimpleNamespace

import msgspec
import pytest
from test_capacity_under_faults import Rooms, array

from alderbridge import constants
from alderbridge.controller import admission
from alderbridge.controller.admission import Admission
from alderbridge.jobs.record import JobState, Record
from alderbridge.protocol.keys import JOBS, MACHINES
from alderbridge.protocol.store import MachineRecord
from alderbridge.state.write_classes import ASSURED_SHARES, AssuredRates, WriteClass

START_WITHIN_S = 60.0  # the aim: work starts within a minute of a first machine that is up
WINDOW_S = 10.0  # "some seconds": within each such window every class that waits makes progress
USER_PATIENCE_S = 60.0  # users send a submission again for so long
FLOOD_AT, FLOOD_S = 10.0, 70.0


class Flood(Rooms):
    """More submissions than the store takes changes, on a fleet that has to be rented from nothing."""

    def __init__(self, seed, rate=16.0, write_rps=10.0, for_s=FLOOD_S, **more) -> None:
        super().__init__(seed, write_rps=write_rps, machines=80, **more)
        self.first_up = self.first_start = math.inf
        self.submissions_written: list[float] = []
        self.machines_written: list[float] = []
        self.ends_written: list[float] = []
        self.waiting: dict[str, list[tuple[float, bool]]] = {"machines": [], "submissions": [], "ends": []}
        commit = self.store.commit

        def observed(conditions, puts, drops=(), lease_id=None):
            answer = commit(conditions, puts, drops, lease_id)
            if answer.revision >= 0 and not answer.failed:
                self.note(conditions, puts)
            return answer

        self.store.commit = observed
        for number in range(int(for_s * rate)):
            self.after(FLOOD_AT + number / rate, self.send, array(number, tasks=2, estimate_s=5.0))
        self.after(FLOOD_AT, self.look)

    def attempt(self, spec) -> None:
        """At a controller drawn from all, for a minute; it may say 503 at once."""
        if self.t - self.first_asked[spec.id] > USER_PATIENCE_S:
            return
        label = self.rng.choice(list(self.nodes))
        core = self.nodes[label].core
        if core is None or admission.decide(core, spec, self.t, False).admission is Admission.UNAVAILABLE:
            self.after(constants.RETRY_AFTER_S, self.attempt, spec)
            return
        self.takes_users = [label]
        super().attempt(spec)

    def note(self, conditions, puts) -> None:
        for key, value in puts.items():
            if key.startswith(MACHINES):
                self.machines_written.append(self.t)
            elif key.startswith(JOBS):
                is_new = conditions.get(key) == 0
                ended = value.state != "active"
                (self.submissions_written if is_new else self.ends_written if ended else []).append(self.t)

    def look(self) -> None:
        """What waits for the store now."""
        cores = [sim.core for sim in self.nodes.values() if sim.core is not None and sim.core.may_act()]
        waiting = {
            "machines": any(core.machine_shard.records.to_write for core in cores),
            "submissions": any(core.submissions.pending for core in cores),
            "ends": any(
                job.state is not job.stored_state and core.job_shard.may_end(job)
                for core in cores
                for job in core.job_shard.jobs.values()
            ),
        }
        for name, waits in waiting.items():
            self.waiting[name].append((self.t, waits))
        self.after(0.5, self.look)

    def boot(self, name, kind) -> None:
        super().boot(name, kind)
        self.first_up = min(self.first_up, self.t)

    def entered(self, part, worker) -> None:
        super().entered(part, worker)
        self.first_start = min(self.first_start, self.t)

    def longest_standstill(self, name: str, since: float = FLOOD_AT, until: float = math.inf) -> float:
        """The longest time for which something of a class waited throughout and none of it was written."""
        written = {
            "machines": self.machines_written,
            "submissions": self.submissions_written,
            "ends": self.ends_written,
        }
        marks = [(at, False) for at in written[name]] + self.waiting[name]
        longest, began = 0.0, None
        for at, waits in sorted(mark for mark in marks if since <= mark[0] <= until):
            if not waits:
                began = None
            elif began is None:
                began = at
            else:
                longest = max(longest, at - began)
        return longest

    def check_progress(self, since: float = FLOOD_AT, until: float = math.inf) -> None:
        found = {name: self.longest_standstill(name, since, until) for name in self.waiting}
        assert max(found.values()) < WINDOW_S, found

    def unfinished(self) -> list[str]:
        """Accepted jobs that the store does not hold as done."""
        stored = {job: msgspec.json.decode(self.store.data[JOBS + job][0], type=Record) for job in self.accepted}
        return [job for job, record in stored.items() if record.state is not JobState.DONE]

    def check_nothing_forgotten(self) -> None:
        """Whatever was accepted is done once the flood is over and its rest has been worked off."""
        while self.t < FLOOD_AT + FLOOD_S + 400.0 and self.unfinished():
            self.run(self.t + 10.0)
        assert self.unfinished() == []


@pytest.mark.parametrize("seed", range(4))
def test_work_starts_while_more_is_submitted_than_the_store_takes(seed):
    world = Flood(seed)
    world.run(FLOOD_AT + FLOOD_S)
    assert world.first_start - world.first_up < START_WITHIN_S
    world.check_progress()
    world.check_nothing_forgotten()


def test_work_goes_on_after_the_store_was_away_in_a_flood():
    world = Flood(10, for_s=150.0)
    world.run(60.0)
    world.store.outage(12.0)
    world.run(FLOOD_AT + 150.0)
    world.check_progress(since=72.0 + constants.VIEW_SETTLE_S)
    assert [at for at in world.machines_written if at > 72.0]
    world.check_nothing_forgotten()


def check_work_goes_on(world: Flood, fell_at: float) -> None:
    """A controller ended at ``fell_at``: from the view without it on every class makes progress."""
    world.run(FLOOD_AT + FLOOD_S)
    assert world.first_start - world.first_up < START_WITHIN_S
    world.check_progress(since=fell_at + constants.CONTACT_TIMEOUT_S + constants.VIEW_SETTLE_S)
    world.check_nothing_forgotten()


def test_work_goes_on_after_a_failover_in_a_flood():
    world = Flood(11)
    world.run(40.0)
    world.leader.crash()
    check_work_goes_on(world, fell_at=40.0)


def test_work_goes_on_as_a_controller_ends_and_comes_back_in_a_flood():
    world = Flood(12)
    world.run(40.0)
    sim = next(sim for sim in world.nodes.values() if sim is not world.leader)
    sim.crash()
    world.after(6.0, world.restart, sim)
    check_work_goes_on(world, fell_at=40.0)


def test_submissions_and_machines_make_progress_in_a_flood_of_ends():
    world = Flood(13)
    world.run(45.0)
    active = [job for sim in world.nodes.values() for job in sim.core.job_shard.jobs]
    assert len(active) > 60, "more than five seconds of all changes"
    for job in active:
        world.withdraw(job)
    world.run(75.0)
    world.check_progress(since=45.0)


def test_assured_rates_are_in_proportion_and_not_saved_up():
    now, rates = 100.0, AssuredRates(10.0, 100.0)
    made = dict.fromkeys(WriteClass, 0)
    for _ in range(2000):  # 20 s in which all classes wait
        now += 0.01
        for write_class in WriteClass:
            count = rates.available(write_class, True, now)
            rates.spend(write_class, now, count)
            made[write_class] += count
    for write_class, share in ASSURED_SHARES.items():
        assert abs(made[write_class] - 200 * share) <= 2, made
    assert sum(ASSURED_SHARES.values()) <= 1.0, "what is assured can be kept"
    assert rates.available(WriteClass.SUBMISSION, False, now + 60.0) == 0, "it did not wait"
    assert rates.available(WriteClass.SUBMISSION, True, now + 60.1) == 0
    assert rates.available(WriteClass.SUBMISSION, True, now + 120.0) == 1, "no burst of what others had meanwhile"


def test_a_submission_that_could_not_be_stored_in_time_is_answered_at_once():
    world = Rooms(14, write_rps=10.0)
    world.run(5.0)
    core = world.nodes["host-1"].core
    answers = []
    for number in range(20):
        decision = admission.decide(core, array(number), world.t, False)
        answers.append(decision.admission)
        if decision.admission is Admission.ADMITTED:
            core.submissions.submit(array(number), world.t, world.t)
    taken = answers.count(Admission.ADMITTED)
    assert 4 <= taken <= 7 and answers[taken:] == [Admission.UNAVAILABLE] * (20 - taken)
    assert admission.decide(core, array(0), world.t, False).admission is Admission.ADMITTED, "it waits here already"
    world.run(world.t + constants.SUBMIT_WAIT_S)
    assert admission.decide(core, array(19), world.t, False).admission is Admission.ADMITTED


@pytest.mark.parametrize("level", (1.0, 6.0, 12.0, 30.0))
def test_no_transaction_makes_more_changes_than_there_is_room_for(level):
    """What is assured came on top of the machines' room: 14 changes where the store takes 12."""
    world = Rooms(15)
    world.run(5.0)
    core = world.nodes["host-1"].core
    writer, now = core.record_writer, world.t
    for number in range(20):
        core.machine_shard.machines[f"n-9{number:05d}"] = SimpleNamespace(record=MachineRecord())
        core.machine_shard.records.to_write.append(f"n-9{number:05d}")
        core.machine_records.to_drop.append(f"n-8{number:05d}")
    for number in range(5):
        core.submissions.submit(array(number), now, now)
    for bucket in writer.write_rate_limit.assured._buckets.values():  # all have waited for long
        bucket.level, bucket.at = 1.0, now
    writer.write_rate_limit.budget.change(level, level, now)
    writer.write_rate_limit.budget.level = level
    ahead = int(level + constants.WRITE_AHEAD_SHARE * level)
    batch = writer.next_batch(now)
    assert batch is not None and batch.machines and (batch.submissions or level == 1.0)
    assert batch.changes == len(batch.puts) + len(batch.drops) <= min(writer.max_changes, ahead)
