"""Seeded random runs of three and five nodes in a bad world; the rules are checked after each step."""

import pytest
from world import Broken, World

from alderbridge import placement
from alderbridge.jobs import Home, Job, JobState, Record, Usage
from alderbridge.machines import Machine, Part
from alderbridge.node import Node


def play(seed, until=200.0, **more):
    world = World(seed, **more)
    world.run(until)
    return world


@pytest.mark.parametrize("seed", [*range(40), 816, 1319])
def test_rules_hold_whatever_fails(seed):
    world = play(seed)
    assert world.starts > 0


@pytest.mark.parametrize("seed", range(2000, 2010))
def test_rules_hold_with_five_controllers(seed):
    assert play(seed, nodes=5).starts > 0


@pytest.mark.parametrize("seed", (100, 101))
def test_quiet_world_completes_every_job(seed):
    world = play(seed, until=260.0, trouble=False)
    assert len(world.accepted) == 14
    lacking = [job for job in world.accepted if job not in world.said]
    assert not lacking


def test_an_end_on_its_way_to_the_store_is_not_denied_from_memory():
    """Its write may have had no answer and yet have told the others (seed 816, store cut off)."""
    world = play(1, until=5.0, jobs=0, trouble=False)
    node = world.nodes["host-0"].node
    spec = world.make_job(1)
    job = node.home.jobs[spec.id] = Job(Record(JobState.ACTIVE, "host-0", 0.0, 0, [], spec), 1, 5.0, 0.0)
    assert node.state_here(spec.id, 5.0)[0] == "pending"
    job.abort(5.0)
    assert node.state_here(spec.id, 5.0) is None


def no_barrier(monkeypatch):
    real = Home.enter
    monkeypatch.setattr(Home, "enter", lambda self, mandate, jobs, machines: real(self, mandate, jobs, ()))


def absence_without_proof(monkeypatch):
    """A part tells homes of machines that have not acknowledged the mandate."""
    monkeypatch.setattr(Machine, "proven", property(lambda self: True))
    real = Part.settle

    def settle(self, now):
        for machine in self.machines.values():
            self.tell_homes(machine)
        real(self, now)

    monkeypatch.setattr(Part, "settle", settle)


def lease_cut_short(monkeypatch):
    real = Part.check_leases

    def check(self, now):
        lease, self.lease_s = self.lease_s, 2.0
        real(self, now)
        self.lease_s = lease

    monkeypatch.setattr(Part, "check_leases", check)


def no_allowance(monkeypatch):
    monkeypatch.setattr(Usage, "room", lambda self, team, used, spec: spec.tasks)


def anywhere(monkeypatch):
    monkeypatch.setattr(Job, "room_in", lambda self, zone: self.spec.tasks)
    monkeypatch.setattr(placement, "allowed", lambda *args: True)


def told_before_stored(monkeypatch):
    monkeypatch.setattr(Node, "state_here", lambda self, job, now: (
        (self.home.jobs[job].state.value, 0, 0) if job in self.home.jobs and self.home.jobs[job].done.count
        else ("pending", 0, 0)))


def done_too_early(monkeypatch):
    real = Job.finish

    def finish(self, index, now):
        real(self, index, now)
        if self.state is JobState.ACTIVE and self.done.count >= self.spec.tasks - 1:
            self.state = JobState.DONE

    monkeypatch.setattr(Job, "finish", finish)


def never_halted(monkeypatch):
    monkeypatch.setattr(Part, "on_halt", lambda self, halt: None)
    monkeypatch.setattr(Part, "_orphans", lambda self, machine: None)


@pytest.mark.parametrize("fault, rule", [
    (no_barrier, "ran_twice"), (absence_without_proof, "ran_twice"), (lease_cut_short, "ran_twice"),
    (no_allowance, "quota"), (anywhere, "wrong_place"), (told_before_stored, "went_back"),
    (done_too_early, "not_done"), (never_halted, "ran_cancelled")])
def test_each_rule_is_seen_to_fail_when_the_code_is_broken(monkeypatch, fault, rule):
    fault(monkeypatch)
    for seed in range(200):
        try:
            play(seed, until=180.0)
        except Broken as broken:
            if str(broken).startswith(rule):
                return
    pytest.fail(f"no run showed {rule}")
