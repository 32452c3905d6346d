"""What lets a member act, taken out singly: store lease, freshness, contact; and late views and jumps in time.

``Membership.may_act`` rests on three terms. Each has a combination of faults here in which it alone
stops a member that others have replaced: the other two are still met then. With that one taken out a rule breaks, with
all in place none does.
"""

import functools

import pytest
from simulation import Broken
from test_failure_detector import Tied, Ties

from alderbridge import constants
from alderbridge.controller.record_writer import RecordWriter
from alderbridge.controller.view_entry import ViewEntry
from alderbridge.membership.failure_detector import FailureDetector, PeerState
from alderbridge.membership.membership import Membership
from alderbridge.membership.store_lease import StoreLease
from alderbridge.protocol import messages
from alderbridge.protocol.keys import JOBS, VIEW


class Dark(Tied):
    """Its watch of the store may hang while its hold is renewed, and its renewals be lost while it watches."""

    watch_hangs_until = renewals_lost_until = still_s = 0.0
    step = ""
    still_before = None  # key whose next transaction it stands still before, for 15 s

    def call(self, then, fail, method, *args, too_large=None):
        world = self.world
        if method == world.store.commit and self.still_before in args[1]:
            self.frozen_until, self.still_before = world.t + 15.0, None
            self.thawed(functools.partial(super().call, too_large=too_large), then, fail, method, *args)
            return
        if self.step == "follow" and world.t < self.watch_hangs_until:
            world.after(self.watch_hangs_until - world.t, super().call, then, fail, method, *args)
        elif self.step == "hold" and world.t < self.renewals_lost_until:
            world.after(2.0, fail)
        else:
            super().call(then, fail, method, *args, too_large=too_large)

    def follow(self):
        self.step = "follow"
        super().follow()
        self.step = ""

    def hold(self):
        self.step = "hold"
        super().hold()
        self.step = ""
        if self.still_s:  # between the sending of both and their answers
            self.follow()
            self.frozen_until, self.still_s = self.world.t + self.still_s, 0.0


class Terms(Ties):
    process = Dark

    def __init__(self, seed, nodes):
        super().__init__(seed, nodes=nodes, jobs=0)
        for number in range(12):
            spec = self.make_unbound_pair(number)  # drawn before its time, as the seeds below are chosen for
            self.after(self.rng.uniform(1.0, 10.0), self.submit, spec)

    def acts(self, label):
        return self.nodes[label].core.may_act()

    def follower(self):
        """The highest label that does not lead."""
        return max(set(self.labels) - {self.view.leader})

    def until(self, true, at_most):
        """Runs until that is so."""
        at, end = self.t, self.t + at_most
        while not true() and at < end:
            at += 0.05
            self.run(at)
        assert true()


def hold_ends(seed):
    """Its renewals are lost, its watch tells it all until just before the store ends its hold, and then nothing.

    Its peers hear it all the while, and it was fresh a second ago.
    """
    world = Terms(seed, 5)
    world.run(50.0)
    label = world.follower()
    sim = world.nodes[label]
    sim.renewals_lost_until = 200.0
    lease_id = sim.core.membership.store_lease.lease_id
    world.until(lambda: world.store.holds[lease_id] - world.t < 1.0, 30.0)
    sim.watch_hangs_until = world.t + 60.0
    world.until(lambda: label not in world.view.members, 10.0)
    membership = sim.core.membership
    assert world.t < min(membership.fresh_until, membership.failure_detector.contact_until), (
        "the other two terms would let it act"
    )
    return world, 12.0


def watch_hangs(seed):
    """Of three one was away; when it is back, one of the two others does not hear of the view with it.

    Its hold is renewed, and the view of two that it knows asks for no contact: it goes on as home of the third's jobs.
    """
    world = Terms(seed, 3)
    world.run(40.0)
    away = max(world.labels)
    world.nodes[away].crash()
    world.until(lambda: away not in world.view.members, 40.0)
    assert world.view.contact_timeout_s == 0.0
    world.run(world.t + 2.0)
    label = min(set(world.view.members) - {world.view.leader})
    sim = world.nodes[label]
    sim.watch_hangs_until = world.t + 120.0
    world.restart(world.nodes[away])
    world.until(lambda: away in world.view.members, 15.0)
    world.until(lambda: sim.core.membership.fresh_until < world.t, 25.0)
    membership = sim.core.membership
    assert world.t < min(membership.store_lease.valid_until, membership.failure_detector.contact_until), (
        "the other two terms let it act"
    )
    return world, 40.0


def contact_ends(seed):
    """It is cut off from its peers, and its watch hangs from just before they remove it; its hold is renewed."""
    world = Terms(seed, 5)
    world.run(50.0)
    label = world.follower()
    sim = world.nodes[label]
    world.cut([label], 60.0)
    world.run(world.t + constants.CONTACT_TIMEOUT_S - 2.0)
    sim.watch_hangs_until = world.t + 60.0
    world.until(lambda: label not in world.view.members, 10.0)
    membership = sim.core.membership
    assert world.t + 5.0 < min(membership.fresh_until, membership.store_lease.valid_until), "the other two let it act"
    return world, 10.0


def without_hold(monkeypatch):
    renewed = StoreLease.record_renewal

    def stays(self, *args):
        renewed(self, *args)
        self.valid_until = float("inf")

    monkeypatch.setattr(StoreLease, "record_renewal", stays)


def without_freshness(monkeypatch):
    followed = Membership.record_sync

    def stays(self, sent_at):
        followed(self, sent_at)
        self.fresh_until = float("inf")

    monkeypatch.setattr(Membership, "record_sync", stays)


def without_contact(monkeypatch):
    monkeypatch.setattr(
        FailureDetector, "_compute_contact_until", lambda self: setattr(self, "contact_until", float("inf"))
    )


TERMS = {hold_ends: without_hold, watch_hangs: without_freshness, contact_ends: without_contact}


@pytest.mark.parametrize("combination", TERMS)
def test_store_lease_freshness_and_contact_each_stop_a_member_that_the_others_would_let_act(combination):
    world, for_s = combination(31000)
    world.run(world.t + for_s)


@pytest.mark.parametrize("combination", TERMS)
def test_a_term_taken_out_singly_is_missed_in_its_combination_of_faults(monkeypatch, combination):
    TERMS[combination](monkeypatch)
    with pytest.raises(Broken, match="left_out"):
        world, for_s = combination(31000)
        world.run(world.t + for_s)


# -- views carried out late ---------------------------------------------------------


class LateViews(Tied):
    """From 30 s on its changes of view have no answer, and are carried out seconds later if what they assert holds."""

    def call(self, then, fail, method, *args, too_large=None):
        world = self.world
        if method != world.store.commit or VIEW not in args[1] or world.t < 30.0:
            super().call(then, fail, method, *args, too_large=too_large)
            return

        def late():
            before = world.view
            if world.t >= world.store.down_until and not world.store.commit(*args).failed:
                world.late.append((before, args[1][VIEW]))

        world.after(world.rng.uniform(*world.late_by), late)
        super().call(lambda _: None, lambda: None, lambda: None)
        world.after(2.0, fail)


class Late(Ties):
    process = LateViews

    late_by = (2.0, 12.0)  # s

    def __init__(self, seed, apart=2, **more):
        self.late = []  # views before and after one that was carried out late
        super().__init__(seed, **more)
        for number in range(apart):  # all lose each other: contact is waived
            self.after(self.rng.uniform(40.0, 70.0) + 60.0 * number, self.apart)

    def apart(self):
        for label in self.labels:
            self.cut([label], self.rng.uniform(4.0, 20.0), self.rng.random() < 0.5)

    def waived(self):
        return sum(before.contact_timeout_s > after.contact_timeout_s == 0.0 for before, after in self.late)


def late(seed):
    world = Late(seed, nodes=3 + 2 * (seed % 2), mishaps=4)
    world.run(150.0)
    return world


@pytest.mark.parametrize("seed", (32013, 32018, 32019))
def test_a_removal_or_a_view_that_waives_contact_harms_nobody_however_late_it_is_carried_out(seed):
    world = late(seed)
    assert world.waived() and world.early and len(world.late) > 2


def removed_late(seed):
    """One is given up, heard again a second later, and removed seconds after that; it can't learn of that."""
    world = Late(seed, apart=0, nodes=5, jobs=0)
    world.late_by = (3.0, 7.0)
    world.run(50.0)
    label = max(set(world.labels) - {world.view.leader})
    world.nodes[label].cut_store_until = world.t + 40.0
    world.cut([label], constants.CONTACT_TIMEOUT_S + 1.0)
    world.run(50.0 + constants.CONTACT_TIMEOUT_S + 1.0)
    assert (
        label in world.view.members
        and label in world.nodes[world.view.leader].core.membership.failure_detector.failed_by_quorum()
    )
    world.run(50.0 + constants.CONTACT_TIMEOUT_S + 8.0)
    membership = world.nodes[label].core.membership
    assert label not in world.view.members and world.late
    assert world.t < min(membership.fresh_until, membership.store_lease.valid_until)


def test_who_was_given_up_acts_no_more_though_it_is_heard_again_before_it_is_removed(monkeypatch):
    for seed in (32100, 32101):
        removed_late(seed)
    heard_again(monkeypatch)
    with pytest.raises(Broken, match="left_out"):
        for seed in (32100, 32101):
            removed_late(seed)


def heard_again(monkeypatch):
    """Giving a member up is not final under its mandate."""
    real = FailureDetector.record_frame

    def hear(self, label, acknowledged, now):
        self.peers[label].state = PeerState.ALIVE
        real(self, label, acknowledged, now)

    monkeypatch.setattr(FailureDetector, "accepts", lambda self, label: True)
    monkeypatch.setattr(FailureDetector, "record_frame", hear)


def older_view_not_asserted(monkeypatch):
    """A late view takes the place of a newer one."""
    real = ViewEntry.next_view

    def next_view(self, now):
        change = real(self, now)
        if change is not None:
            del change[1][VIEW]
        return change

    monkeypatch.setattr(ViewEntry, "next_view", next_view)


def test_a_late_view_that_takes_the_place_of_a_newer_one_is_seen(monkeypatch):
    older_view_not_asserted(monkeypatch)
    with pytest.raises(Broken, match="left_out"):
        for seed in range(32000, 32010):
            late(seed)


# -- time that jumps ------------------------------------------------------------------


class Jumping(Tied):
    """It may stand still for seconds at any line: a call, frames or an answer decided before are sent after it."""

    def jump(self, share):
        world = self.world
        if world.t > 25.0 and world.t >= self.frozen_until and world.rng.random() < share:
            self.frozen_until = world.t + world.rng.choice([world.rng.uniform(0.5, 4.0), world.rng.uniform(4.0, 25.0)])
            world.jumps += 1

    def call(self, then, fail, method, *args, too_large=None):
        self.jump(0.04 if method == self.world.store.commit else 0.002)
        self.thawed(functools.partial(super().call, too_large=too_large), then, fail, method, *args)

    def flush(self):
        if self.core is not None and any(
            isinstance(frame.body, messages.TaskGrant) for _, frame in self.core.effects.outgoing_frames
        ):
            self.jump(0.1)
        super().flush()

    def heartbeat(self, raw, reply):
        def late(status, body):
            if status == 200:
                self.jump(0.01)
            self.world.after(max(0.0, self.frozen_until - self.world.t), reply, status, body)

        super().heartbeat(raw, late)


class Jumps(Ties):
    process = Jumping

    def __init__(self, seed, **more):
        self.jumps = 0
        super().__init__(seed, **more)
        for number in range(6):
            self.after(35.0 + 12.0 * number, self.cancel_any)


def jumps(seed):
    world = Jumps(seed, nodes=3 + 2 * (seed % 2), mishaps=3)
    world.run(130.0)
    return world


@pytest.mark.parametrize("seed", (33001, 33012, 33013))
def test_a_jump_in_time_between_a_decision_and_its_sending_breaks_no_rule(seed):
    """Between the look at ``may_act`` and a transaction, a grant or a 200: of each what it rests on goes with it."""
    assert jumps(seed).jumps > 5


def still_between_question_and_answer(seed):
    """Of three one is away, and no contact is asked for; one of the two stands still until it was replaced.

    When it goes on, the answers of a good renewal and of the watch are there, sent 25 s ago.
    """
    world = Terms(seed, 3)
    world.run(40.0)
    away = max(world.labels)
    world.nodes[away].crash()
    world.until(lambda: away not in world.view.members, 40.0)
    world.run(world.t + 2.0)
    label = min(set(world.view.members) - {world.view.leader})
    sim = world.nodes[label]
    sim.still_s = 25.0
    world.until(lambda: sim.still_s == 0.0, 5.0)
    world.until(lambda: label not in world.view.members, 24.0)
    world.run(sim.frozen_until + 1.0)


def test_store_lease_and_replica_are_as_old_as_the_question_that_was_sent(monkeypatch):
    """Counted from the answer, a process acts after its jump, though others have taken its place."""
    still_between_question_and_answer(33102)
    loop, renewed, followed = Dark.loop, StoreLease.record_renewal, Membership.record_sync
    clock = []

    def loop_with_clock(self, life, step, pause):
        clock[:] = [self.world]
        loop(self, life, step, pause)

    monkeypatch.setattr(Dark, "loop", loop_with_clock)
    monkeypatch.setattr(
        StoreLease, "record_renewal", lambda self, lease_id, sent_at, *more: renewed(self, lease_id, clock[0].t, *more)
    )
    monkeypatch.setattr(Membership, "record_sync", lambda self, sent_at: followed(self, clock[0].t))
    with pytest.raises(Broken, match="left_out"):
        still_between_question_and_answer(33102)


def still_before_an_end_is_sent(seed):
    """A home is about to write that a job is cancelled, stands still and is replaced; then all are asked."""
    world = Terms(seed, 5)
    world.run(50.0)
    job, label = next(
        (job, label)
        for job in sorted(world.accepted)
        for label in world.labels
        if world.nodes[label].core.directory.job_owner(job) == label != world.view.leader
    )
    sim = world.nodes[label]
    sim.still_before = JOBS + job
    world.cancelled_at[job] = float("inf")
    sim.withdraw(job, lambda state: None)
    world.until(lambda: sim.still_before is None, 3.0)
    world.until(lambda: label not in world.view.members, 14.0)
    goes_on = sim.frozen_until
    for step in range(100):
        world.run(goes_on - 0.1 + 0.01 * step)
        for one in world.nodes.values():
            state = world.question(one, job)
            if state is not None:
                world.answer(job, state)


def test_an_end_that_is_sent_after_its_job_shard_was_replaced_is_not_written(monkeypatch):
    still_before_an_end_is_sent(33200)
    real = RecordWriter.next_batch

    def next_batch(self, now):
        batch = real(self, now)
        if batch is not None:
            batch.conditions.pop(VIEW)
        return batch

    monkeypatch.setattr(RecordWriter, "next_batch", next_batch)
    with pytest.raises(Broken, match="went_back"):
        for seed in range(33200, 33204):
            still_before_an_end_is_sent(seed)
