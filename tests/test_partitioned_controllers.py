"""Concurrent faults of controllers: cut, refused, handed over and back, with users and workers still in reach."""

import curio
import msgspec
import pytest
from controller_clock import patch_now
from simulation import Broken, World, platform
from test_failure_detector import Ties
from test_flapping import takes_itself_for_the_one_before

from alderbridge import constants
from alderbridge.controller.local_jobs import LocalJobs
from alderbridge.controller.process import Controller
from alderbridge.jobs.record import JobState, Record
from alderbridge.machines.machine import Machine
from alderbridge.membership.failure_detector import FailureDetector
from alderbridge.membership.membership import Membership, MemberStatus
from alderbridge.membership.records import View
from alderbridge.membership.store_lease import StoreLease
from alderbridge.protocol import messages, wire
from alderbridge.settings import Tuning
from alderbridge.transport.selector import Poll


def dark(world, ones, for_s):
    """Cut from the store and from the other controllers; workers and users still reach them."""
    world.cut(ones, for_s)
    for one in ones:
        world.nodes[one].cut_store_until = world.t + for_s


def next_view(world, until):
    """Runs to the moment at which the store takes the next view."""
    before, at = world.fencing_tokens, world.t
    while world.fencing_tokens == before and at < until:
        at += 0.01
        world.run(at)
    assert world.fencing_tokens == before + 1


def ignorant(world, ones, for_s):
    """They are cut before the view that has just been written arrives there, and the rest goes on without them."""
    fencing_token = world.store.revision
    assert all(world.nodes[one].core.membership.fencing_token < fencing_token for one in ones)
    dark(world, ones, for_s)
    at = world.t
    world.run(at + for_s + 20.0)
    assert all(sim.core.may_act() for sim in world.nodes.values())


def contact_asked_for_again(seed, nodes):
    """All lost each other, and the view waived contact; the next one asks for it, and a member can't hear of that."""
    world = Ties(seed, nodes=nodes, jobs=0)
    world.run(30.0)
    for label in world.labels:
        world.cut([label], 12.0)
    world.run(60.0)
    assert world.view.contact_timeout_s == 0.0 and len(world.view.members) == nodes
    next_view(world, 130.0)
    assert world.view.contact_timeout_s > 0
    ignorant(world, [max(set(world.labels) - {world.view.leader})], 30.0)


def joined(seed):
    """Three have gone on alone, two are back: the moment at which the view has all five, seldom four."""
    world = Ties(seed, nodes=5, jobs=0)
    world.run(30.0)
    for label in ("host-3", "host-4"):
        world.nodes[label].crash()
    world.run(60.0)
    assert len(world.view.members) == 3
    for label in ("host-3", "host-4"):
        world.restart(world.nodes[label])
    next_view(world, 70.0)
    return world


def two_joined():
    """Two of the three, cut off together, were a majority, and don't know that they are none of five."""
    world = next(world for world in map(joined, range(15002, 15020)) if len(world.view.members) == 5)
    ignorant(world, sorted(set(world.labels[:3]) - {world.view.leader}), 30.0)


FAULT_COMBINATIONS = [lambda: contact_asked_for_again(15000, 3), lambda: contact_asked_for_again(15002, 5), two_joined]


@pytest.mark.parametrize("combination", FAULT_COMBINATIONS)
def test_who_does_not_know_the_view_is_not_removed_while_an_older_one_lets_it_act(combination):
    """It acted on for 11 s after its removal: others ended its jobs, and freed its machines' tasks, meanwhile."""
    combination()


def test_that_is_seen_when_contact_alone_decides(monkeypatch):
    monkeypatch.setattr(Membership, "mark_quorum_overlap", lambda self, view, settled: view)
    for combination in FAULT_COMBINATIONS:
        with pytest.raises(Broken, match="left_out"):
            combination()


def test_a_view_is_firm_only_between_the_same_labels_and_after_a_settled_or_firm_one():
    members = {"a": 1, "b": 2, "c": 3}
    cases = [
        (View("a", members, 8.0), members | {"b": 9}, False, False),
        (View("a", members, 8.0, True), members, True, False),
        (View("a", members, 8.0, True), members, False, True),
        (View("a", members), members, True, True),
        (View("a", members, 8.0), members | {"d": 4}, True, True),
        (View("a", members | {"d": 4}, 8.0), members, True, True),
    ]
    for before, after, settled, quorum_may_not_overlap in cases:
        membership = Membership("a", 20.0)
        membership.observe_view(before, 1)
        assert (
            membership.mark_quorum_overlap(View("a", after, 8.0), settled).quorum_may_not_overlap
            is quorum_may_not_overlap
        ), (before, after, settled)
        assert not membership.mark_quorum_overlap(View("a", after), settled).quorum_may_not_overlap, (
            "nothing is asked, nobody is given up"
        )
    assert b"loose" not in msgspec.json.encode(View("a", members, 8.0)), "what older versions wrote stays as it was"


def test_who_has_lost_its_store_lease_acknowledges_nothing_more():
    """It enters anew under a view that it may be late to know; till then others counted it as who it was."""
    world = World(15020, random_faults=False, jobs=0)
    world.run(20.0)
    one, other = world.nodes["host-0"].core, world.nodes["host-1"].core
    assert one.state.is_member
    before = one.messenger.channels["host-1"].received
    one.membership.store_lease.mark_expired()
    for _ in range(2):
        one.on_frame(other.messenger.channels["host-0"].post(messages.KeepAlive(), world.t), world.t)
    assert one.messenger.channels["host-1"].received == before


# -- a leader that users and workers still reach, and nobody else -------------------


class Severed(World):
    """Users cancel through the others, and ask all of them, the cut one above all, all the time."""

    cut = ""

    def make_job(self, number):
        spec = super().make_job(number)
        return msgspec.structs.replace(spec, estimate_s=spec.estimate_s * 4.0)

    def withdraw(self, job):
        if job in self.said:
            return
        for label, sim in self.nodes.items():
            if label != self.cut and sim.core is not None and sim.core.directory.job_owner(job) == label:
                self.cancelled_at.setdefault(job, float("inf"))
                state = sim.core.local_jobs.cancel(job, self.t)
                if state:
                    self.answer(job, state)
                    if state == "aborted":
                        self.cancelled_at[job] = min(self.cancelled_at[job], self.t)
                        return
        self.after(0.2, self.withdraw, job)

    def ask_all(self):
        for job in sorted(self.accepted):
            for label in (self.cut, *self.labels):
                state = self.question(self.nodes[label], job)
                if state is not None:
                    self.answered_at[job] = self.t
                    self.answer(job, state)
        self.after(0.4, self.ask_all)


def severed(seed, nodes, for_s=45.0, from_peers=True):
    world = Severed(seed, nodes=nodes, jobs=24, random_faults=False)
    world.run(60.0)
    world.cut = next(iter(world.nodes.values())).core.membership.view.leader
    sim = world.nodes[world.cut]
    sim.cut_store_until = world.t + for_s
    if from_peers:
        sim.cut_mesh_until = world.t + for_s
    world.ask_all()
    for number, job in enumerate(sorted(world.accepted - world.said.keys())[::2]):
        world.after(0.5 * number, world.withdraw, job)
    world.run(60.0 + for_s + 60.0)
    world.remembered()
    assert all(sim.core.may_act() for sim in world.nodes.values())
    return world


@pytest.mark.parametrize("nodes", (3, 5))
@pytest.mark.parametrize("waived", (False, True))
@pytest.mark.parametrize("from_peers", (True, False))
def test_a_leader_that_only_users_and_workers_reach_tells_nothing_older(monkeypatch, nodes, waived, from_peers):
    if waived:
        monkeypatch.setattr(Membership, "contact_timeout_for", lambda self, members: 0.0)
    world = severed(15100 + nodes + 2 * waived, nodes, from_peers=from_peers)
    assert "aborted" in world.said.values()


# -- the store refuses the leader alone, and then everybody ---------------------------


def refused(seed, nodes, alone_s, all_s):
    """Its follow hangs, its calls are refused; the others cancel its jobs; then the store is down, and holds last."""
    world = Severed(seed, nodes=nodes, jobs=24, random_faults=False)
    world.run(60.0)
    world.cut = world.nodes[world.labels[0]].core.membership.view.leader
    world.nodes[world.cut].cut_store_until = 60.0 + alone_s + all_s
    world.ask_all()
    for number, job in enumerate(sorted(world.accepted - world.said.keys())[::2]):
        world.after(0.5 * number, world.withdraw, job)
    world.after(alone_s, world.store.outage, all_s)
    world.run(60.0 + alone_s + all_s)
    acted = [sim.label for sim in world.nodes.values() if sim.core.may_act()]
    world.run(60.0 + alone_s + all_s + 50.0)
    world.remembered()
    assert all(sim.core.may_act() for sim in world.nodes.values())
    return world, acted


@pytest.mark.parametrize("nodes, alone_s, all_s", [(3, 6.0, 45.0), (5, 15.0, 45.0), (5, 25.0, 12.0), (3, 19.0, 4.0)])
def test_a_leader_refused_alone_and_then_all_tell_and_run_nothing_older(nodes, alone_s, all_s):
    world, acted = refused(15200, nodes, alone_s, all_s)
    assert world.cut not in acted and (not acted or all_s < 20.0), "each copy of the store is too old by then"
    assert "aborted" in world.said.values()


# -- handed over and back within a second ---------------------------------------------


def handed_over(seed, nodes, stay=None):
    """All end one after the other, twice, and once together; with ``stay`` alone back at first, a second later."""
    world = World(seed, nodes=nodes, jobs=24, random_faults=False, pipelines=2)
    world.late_share = 0.2  # frames of each life arrive in the next ones
    for number, label in enumerate([*world.labels, *world.labels]):
        world.after(40.0 + 0.3 * number, world.end, world.nodes[label], 0.15)
    for label in world.labels:
        world.after(46.0, world.end, world.nodes[label], 0.2 if label == stay else 1.0 if stay is None else 7.0)
    if stay is not None:  # in the middle of the election
        world.after(46.7, world.end, world.nodes[stay], 0.15)
    world.run(53.0)
    world.late_share, starts = 0.001, world.starts
    world.run(90.0)
    assert world.starts > starts and world.store.differs_since is None
    assert all(sim.core.may_act() for sim in world.nodes.values())
    world.run(200.0)
    world.remembered()
    assert not world.halted_needed


@pytest.mark.parametrize(
    "seed, nodes, stay",
    [(15300, 3, None), (15301, 5, None), (15302, 3, "host-2"), (15303, 5, "host-0"), (15304, 5, "host-4")],
)
def test_controllers_that_hand_over_and_back_within_a_second_stop_and_forget_nothing(seed, nodes, stay):
    handed_over(seed, nodes, stay)


def test_that_is_seen_when_a_process_takes_itself_for_its_earlier_life(monkeypatch):
    takes_itself_for_the_one_before(monkeypatch)
    with pytest.raises(AssertionError):
        handed_over(15300, 3)


# -- each guard is seen to be needed ---------------------------------------------------


def no_contact_needed(monkeypatch):
    monkeypatch.setattr(
        FailureDetector, "_compute_contact_until", lambda self: setattr(self, "contact_until", float("inf"))
    )


def stale_for_ever(monkeypatch):
    """Waived, its copy of the store and its hold alone stop it."""
    monkeypatch.setattr(Membership, "contact_timeout_for", lambda self, members: 0.0)
    ever = property(lambda self: float("inf"), lambda self, at: None)
    monkeypatch.setattr(Membership, "fresh_until", ever, raising=False)
    monkeypatch.setattr(StoreLease, "valid_until", ever, raising=False)


def memory_without_entitlement(monkeypatch):
    real = LocalJobs.local_job_state

    def local_job_state(self, job, now):
        kept, self.state.may_act = self.state.may_act, lambda: True
        try:
            return real(self, job, now)
        finally:
            self.state.may_act = kept

    monkeypatch.setattr(LocalJobs, "local_job_state", local_job_state)


def test_a_refused_leader_is_seen_to_act_on_when_store_lease_and_freshness_are_away(monkeypatch):
    stale_for_ever(monkeypatch)
    world, acted = refused(15200, 3, 6.0, 45.0)
    assert world.cut in acted


@pytest.mark.parametrize("fault", [no_contact_needed, stale_for_ever, memory_without_entitlement])
def test_each_guard_of_the_cut_leader_is_seen_to_be_needed(monkeypatch, fault):
    fault(monkeypatch)
    with pytest.raises(Broken, match="went_back|ran_twice|ran_cancelled"):
        for seed in range(15100, 15104):
            severed(seed, 5)


# -- the whole controller -----------------------------------------------------------------

LABELS = ["host-0", "host-1", "host-2"]


@pytest.fixture
def control(monkeypatch):
    """One of three, with a clock that the test moves: ``clock[0]``."""
    clock = [100.0]
    patch_now(monkeypatch, lambda: clock[0])
    one = Controller(platform("host-0", LABELS), Tuning(), Poll())
    core = one.core
    core.membership.store_lease.record_renewal(1, 100.0, 100.0)
    core.membership.record_sync(100.0)
    members = {label: number for number, label in enumerate(LABELS, 1)}
    core.store_follower.load(
        [wire.KeyValue("ab/view", msgspec.Raw(msgspec.json.encode(View("host-0", members))), 7)], [], 7, 100.0, 100.0
    )
    one.clock = clock
    return one


def test_who_is_cut_off_from_all_leaves_its_users_to_the_others_and_who_shares_an_outage_stays(control):
    """Connections stay with a node that is called healthy: their users would be told nothing for as long as the cut."""
    failure_detector = control.membership.failure_detector
    for label in LABELS[1:]:
        failure_detector.record_frame(label, 100.0, 100.0)
    assert control.health.check()[0] == 200
    control.clock[0] = 130.0  # the store is down for all, the others are heard
    for label in LABELS[1:]:
        failure_detector.record_frame(label, 129.0, 129.0)
    assert control.membership.status(130.0) is MemberStatus.EXPIRED and control.health.check()[0] == 200
    control.clock[0] = 140.0
    assert control.health.check()[0] == 503


def test_a_reply_that_comes_after_the_store_was_asked_is_told_to_nobody(control):
    """The home's answer is older than the store's by then."""
    told, job = [], "wk-000001"
    control.core.replica.active[job] = (msgspec.structs.replace(Record(JobState.ACTIVE, "host-1", 0.0, 1, [], None)), 8)

    async def store_says(key):
        return wire.KeyValue(key, msgspec.Raw(msgspec.json.encode(Record(JobState.ABORTED))), 9)

    async def play():
        control.store.get = store_says
        assert control.users_api.status.poll_status(job, told.append) is None
        number = next(iter(control.queries.pending_polls))
        control.clock[0] += constants.QUERY_TIMEOUT_S + 0.1
        await control.dispatch_effects()
        await curio.sleep(0.05)
        control.core.effects.query_replies.append(
            messages.JobQueryReply(number, 200, wire.job_status_body(job, "running", 0, 1))
        )
        await control.dispatch_effects()
        await curio.sleep(0.05)

    curio.run(play)
    assert len(told) == 1 and b"aborted" in told[0][1]


def test_a_heartbeat_is_answered_under_the_view_it_was_taken_in_or_not_at_all(control):
    """Its answer waited for grants; a newer view arrives, or the hold ends, before they do."""
    machine = Machine("n-1", 100.0)
    assert control.workers_api.heartbeat_response(machine, 7)[0] == 200
    assert control.workers_api.heartbeat_response(machine, 6)[0] == 503
    control.clock[0] = 130.0
    assert control.workers_api.heartbeat_response(machine, 7)[0] == 503
