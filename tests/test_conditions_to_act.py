"""Guards the three conditions of ``Membership.may_act``: valid store lease, fresh replica, contact with a quorum.

For each there is a combination of faults in which it alone stops a member that has been replaced. Also covered are
views that are written late, and pauses between a decision and the request that carries it.
"""

import functools

import pytest
from simulation import InvariantViolation
from test_failure_detector import ControllerFaultWorld, PausableController

from alderbridge import constants
from alderbridge.controller.record_writer import RecordWriter
from alderbridge.controller.view_entry import ViewEntry
from alderbridge.membership.failure_detector import FailureDetector, PeerState
from alderbridge.membership.membership import Membership
from alderbridge.membership.store_lease import StoreLease
from alderbridge.protocol import messages
from alderbridge.protocol.keys import JOBS, VIEW


class WatchFaultController(PausableController):
    """Its watch may hang while its store lease is renewed, or its renewals may be lost while it watches."""

    watch_hangs_until = renewals_lost_until = pause_s = 0.0
    active_loop = ""
    pause_before_key = None  # it pauses for 15 s before its next transaction that asserts this key

    def call(self, on_response, on_failure, method, *args, too_large=None):
        world = self.world
        if method == world.store.commit and self.pause_before_key in args[1]:
            self.paused_until, self.pause_before_key = world.t + 15.0, None
            self.run_when_resumed(
                functools.partial(super().call, too_large=too_large), on_response, on_failure, method, *args
            )
            return
        if self.active_loop == "watch" and world.t < self.watch_hangs_until:
            world.after(self.watch_hangs_until - world.t, super().call, on_response, on_failure, method, *args)
        elif self.active_loop == "renew" and world.t < self.renewals_lost_until:
            world.after(2.0, on_failure)
        else:
            super().call(on_response, on_failure, method, *args, too_large=too_large)

    def follow(self):
        self.active_loop = "watch"
        super().follow()
        self.active_loop = ""

    def hold(self):
        self.active_loop = "renew"
        super().hold()
        self.active_loop = ""
        if self.pause_s:  # after sending both requests and before their responses
            self.follow()
            self.paused_until, self.pause_s = self.world.t + self.pause_s, 0.0


class ActConditionsWorld(ControllerFaultWorld):
    controller_class = WatchFaultController

    def __init__(self, seed, nodes):
        super().__init__(seed, nodes=nodes, jobs=0)
        for number in range(12):
            # Drawn here and not on submission: the seeds below depend on the order of draws.
            spec = self.make_unlimited_pair(number)
            self.after(self.rng.uniform(1.0, 10.0), self.submit, spec)

    def acts(self, label):
        return self.controllers[label].core.may_act()

    def follower(self):
        """The highest label other than the leader's."""
        return max(set(self.labels) - {self.view.leader})

    def until(self, condition, timeout_s):
        """Run until the condition holds; fail if it does not within the timeout."""
        run_to, deadline = self.t, self.t + timeout_s
        while not condition() and run_to < deadline:
            run_to += 0.05
            self.run(run_to)
        assert condition()


def store_lease_expires(seed):
    """Its renewals are lost; its watch works until just before its store lease expires, and then hangs.

    It keeps contact with its peers, and its replica is still fresh.
    """
    world = ActConditionsWorld(seed, 5)
    world.run(50.0)
    label = world.follower()
    sim = world.controllers[label]
    sim.renewals_lost_until = 200.0
    lease_id = sim.core.membership.store_lease.lease_id
    world.until(lambda: world.store.leases[lease_id] - world.t < 1.0, 30.0)
    sim.watch_hangs_until = world.t + 60.0
    world.until(lambda: label not in world.view.members, 10.0)
    membership = sim.core.membership
    assert world.t < min(membership.fresh_until, membership.failure_detector.contact_until), (
        "the other two conditions are met"
    )
    return world, 12.0


def replica_becomes_stale(seed):
    """One of three members returns after an absence, and one of the other two does not receive the view with it.

    That one's store lease is renewed, and its view of two does not require contact. It owns the third's jobs there.
    """
    world = ActConditionsWorld(seed, 3)
    world.run(40.0)
    away = max(world.labels)
    world.controllers[away].crash()
    world.until(lambda: away not in world.view.members, 40.0)
    assert world.view.contact_timeout_s == 0.0
    world.run(world.t + 2.0)
    label = min(set(world.view.members) - {world.view.leader})
    sim = world.controllers[label]
    sim.watch_hangs_until = world.t + 120.0
    world.restart(world.controllers[away])
    world.until(lambda: away in world.view.members, 15.0)
    world.until(lambda: sim.core.membership.fresh_until < world.t, 25.0)
    membership = sim.core.membership
    assert world.t < min(membership.store_lease.valid_until, membership.failure_detector.contact_until), (
        "the other two conditions are met"
    )
    return world, 40.0


def contact_is_lost(seed):
    """It loses its peers, and its watch hangs from just before they remove it; its store lease is renewed."""
    world = ActConditionsWorld(seed, 5)
    world.run(50.0)
    label = world.follower()
    sim = world.controllers[label]
    world.cut([label], 60.0)
    world.run(world.t + constants.CONTACT_TIMEOUT_S - 2.0)
    sim.watch_hangs_until = world.t + 60.0
    world.until(lambda: label not in world.view.members, 10.0)
    membership = sim.core.membership
    assert world.t + 5.0 < min(membership.fresh_until, membership.store_lease.valid_until), (
        "the other two conditions are met"
    )
    return world, 10.0


def without_store_lease(monkeypatch):
    original = StoreLease.record_renewal

    def record_renewal(self, *args):
        original(self, *args)
        self.valid_until = float("inf")

    monkeypatch.setattr(StoreLease, "record_renewal", record_renewal)


def without_freshness(monkeypatch):
    original = Membership.record_sync

    def record_sync(self, sent_at):
        original(self, sent_at)
        self.fresh_until = float("inf")

    monkeypatch.setattr(Membership, "record_sync", record_sync)


def without_contact(monkeypatch):
    monkeypatch.setattr(
        FailureDetector, "_compute_contact_until", lambda self: setattr(self, "contact_until", float("inf"))
    )


DISABLED_CONDITIONS = {
    store_lease_expires: without_store_lease,
    replica_becomes_stale: without_freshness,
    contact_is_lost: without_contact,
}


@pytest.mark.parametrize("combination", DISABLED_CONDITIONS)
def test_each_condition_alone_stops_a_replaced_member(combination):
    world, for_s = combination(31000)
    world.run(world.t + for_s)


@pytest.mark.parametrize("combination", DISABLED_CONDITIONS)
def test_disabling_any_condition_lets_a_replaced_member_act(monkeypatch, combination):
    DISABLED_CONDITIONS[combination](monkeypatch)
    with pytest.raises(InvariantViolation, match="left_out"):
        world, for_s = combination(31000)
        world.run(world.t + for_s)


class LateViewController(PausableController):
    """From 30 s on its changes of view get no response; the store executes them seconds later, if they still apply."""

    def call(self, on_response, on_failure, method, *args, too_large=None):
        world = self.world
        if method != world.store.commit or VIEW not in args[1] or world.t < 30.0:
            super().call(on_response, on_failure, method, *args, too_large=too_large)
            return

        def commit_late():
            before = world.view
            if world.t >= world.store.down_until and not world.store.commit(*args).failed:
                world.late_views.append((before, args[1][VIEW]))

        world.after(world.rng.uniform(*world.delay_range_s), commit_late)
        super().call(lambda _: None, lambda: None, lambda: None)
        world.after(2.0, on_failure)


class LateViewWorld(ControllerFaultWorld):
    controller_class = LateViewController

    delay_range_s = (2.0, 12.0)

    def __init__(self, seed, isolations=2, **options):
        self.late_views = []  # (view before, view that was written late)
        super().__init__(seed, **options)
        for number in range(isolations):  # each makes the members waive contact
            self.after(self.rng.uniform(40.0, 70.0) + 60.0 * number, self.isolate_all)

    def isolate_all(self):
        for label in self.labels:
            self.cut([label], self.rng.uniform(4.0, 20.0), self.rng.random() < 0.5)

    def waiver_count(self):
        return sum(before.contact_timeout_s > after.contact_timeout_s == 0.0 for before, after in self.late_views)


def run_late_views(seed):
    world = LateViewWorld(seed, nodes=3 + 2 * (seed % 2), controller_faults=4)
    world.run(150.0)
    return world


@pytest.mark.parametrize("seed", (32013, 32018, 32019))
def test_views_that_are_written_late_do_not_let_removed_members_act(seed):
    world = run_late_views(seed)
    assert world.waiver_count() and world.early_removals and len(world.late_views) > 2


def run_late_removal(seed):
    """A member is declared failed, reachable again after a second, then removed; it can't read the new view."""
    world = LateViewWorld(seed, isolations=0, nodes=5, jobs=0)
    world.delay_range_s = (3.0, 7.0)
    world.run(50.0)
    label = max(set(world.labels) - {world.view.leader})
    world.controllers[label].cut_store_until = world.t + 40.0
    world.cut([label], constants.CONTACT_TIMEOUT_S + 1.0)
    world.run(50.0 + constants.CONTACT_TIMEOUT_S + 1.0)
    assert (
        label in world.view.members
        and label in world.controllers[world.view.leader].core.membership.failure_detector.failed_by_quorum()
    )
    world.run(50.0 + constants.CONTACT_TIMEOUT_S + 8.0)
    membership = world.controllers[label].core.membership
    assert label not in world.view.members and world.late_views
    assert world.t < min(membership.fresh_until, membership.store_lease.valid_until)


def test_failed_member_does_not_act_if_reachable_again_before_its_removal(monkeypatch):
    for seed in (32100, 32101):
        run_late_removal(seed)
    revive_failed_peers(monkeypatch)
    with pytest.raises(InvariantViolation, match="left_out"):
        for seed in (32100, 32101):
            run_late_removal(seed)


def revive_failed_peers(monkeypatch):
    """Failed peers become alive again under the same fencing token."""
    original = FailureDetector.record_frame

    def record_frame(self, label, acknowledged_at, now):
        self.peers[label].state = PeerState.ALIVE
        original(self, label, acknowledged_at, now)

    monkeypatch.setattr(FailureDetector, "accepts", lambda self, label: True)
    monkeypatch.setattr(FailureDetector, "record_frame", record_frame)


def do_not_assert_older_view(monkeypatch):
    """A view that is written late may replace a newer one."""
    original = ViewEntry.next_view

    def next_view(self, now):
        change = original(self, now)
        if change is not None:
            del change[1][VIEW]
        return change

    monkeypatch.setattr(ViewEntry, "next_view", next_view)


def test_late_view_that_replaces_a_newer_one_is_detected(monkeypatch):
    do_not_assert_older_view(monkeypatch)
    with pytest.raises(InvariantViolation, match="left_out"):
        for seed in range(32000, 32010):
            run_late_views(seed)


class RandomPauseController(PausableController):
    """It may pause for seconds between deciding on a request, frames or a response, and sending them."""

    def maybe_pause(self, probability):
        world = self.world
        if world.t > 25.0 and world.t >= self.paused_until and world.rng.random() < probability:
            self.paused_until = world.t + world.rng.choice([world.rng.uniform(0.5, 4.0), world.rng.uniform(4.0, 25.0)])
            world.pause_count += 1

    def call(self, on_response, on_failure, method, *args, too_large=None):
        self.maybe_pause(0.04 if method == self.world.store.commit else 0.002)
        self.run_when_resumed(
            functools.partial(super().call, too_large=too_large), on_response, on_failure, method, *args
        )

    def flush(self):
        if self.core is not None and any(
            isinstance(frame.body, messages.TaskGrant) for _, frame in self.core.effects.outgoing_frames
        ):
            self.maybe_pause(0.1)
        super().flush()

    def heartbeat(self, raw, reply):
        def reply_late(status, body):
            if status == 200:
                self.maybe_pause(0.01)
            self.world.after(max(0.0, self.paused_until - self.world.t), reply, status, body)

        super().heartbeat(raw, reply_late)


class RandomPauseWorld(ControllerFaultWorld):
    controller_class = RandomPauseController

    def __init__(self, seed, **options):
        self.pause_count = 0
        super().__init__(seed, **options)
        for number in range(6):
            self.after(35.0 + 12.0 * number, self.cancel_any)


def run_with_pauses(seed):
    world = RandomPauseWorld(seed, nodes=3 + 2 * (seed % 2), controller_faults=3)
    world.run(130.0)
    return world


@pytest.mark.parametrize("seed", (33001, 33012, 33013))
def test_pause_between_a_decision_and_its_sending_breaks_no_invariant(seed):
    """Guards against sending a transaction, a grant or a 200 under a view or lease that ended after ``may_act``."""
    assert run_with_pauses(seed).pause_count > 5


def pause_between_request_and_response(seed):
    """One of three members is down, so contact is not required; one of the other two pauses until it is replaced.

    When it resumes, it gets successful responses to a renewal and a watch request that it sent 25 s before.
    """
    world = ActConditionsWorld(seed, 3)
    world.run(40.0)
    away = max(world.labels)
    world.controllers[away].crash()
    world.until(lambda: away not in world.view.members, 40.0)
    world.run(world.t + 2.0)
    label = min(set(world.view.members) - {world.view.leader})
    sim = world.controllers[label]
    sim.pause_s = 25.0
    world.until(lambda: sim.pause_s == 0.0, 5.0)
    world.until(lambda: label not in world.view.members, 24.0)
    world.run(sim.paused_until + 1.0)


def test_store_lease_and_replica_count_from_the_request(monkeypatch):
    """Guards against counting validity from the response: after a pause, a replaced member would act."""
    pause_between_request_and_response(33102)
    loop, record_renewal, record_sync = WatchFaultController.loop, StoreLease.record_renewal, Membership.record_sync
    worlds = []

    def loop_noting_world(self, incarnation, step, interval_s):
        worlds[:] = [self.world]
        loop(self, incarnation, step, interval_s)

    monkeypatch.setattr(WatchFaultController, "loop", loop_noting_world)
    monkeypatch.setattr(
        StoreLease,
        "record_renewal",
        lambda self, lease_id, sent_at, *args: record_renewal(self, lease_id, worlds[0].t, *args),
    )
    monkeypatch.setattr(Membership, "record_sync", lambda self, sent_at: record_sync(self, worlds[0].t))
    with pytest.raises(InvariantViolation, match="left_out"):
        pause_between_request_and_response(33102)


def pause_before_end_is_written(seed):
    """A job owner pauses before it writes a cancellation, and is replaced; then all are asked for the job's status."""
    world = ActConditionsWorld(seed, 5)
    world.run(50.0)
    job, label = next(
        (job, label)
        for job in sorted(world.accepted)
        for label in world.labels
        if world.controllers[label].core.directory.job_owner(job) == label != world.view.leader
    )
    sim = world.controllers[label]
    sim.pause_before_key = JOBS + job
    world.cancelled_at[job] = float("inf")
    sim.withdraw(job, lambda state: None)
    world.until(lambda: sim.pause_before_key is None, 3.0)
    world.until(lambda: label not in world.view.members, 14.0)
    resumes_at = sim.paused_until
    for step in range(100):
        world.run(resumes_at - 0.1 + 0.01 * step)
        for node in world.controllers.values():
            state = world.status_at_once(node, job)
            if state is not None:
                world.check_state(job, state)


def test_end_sent_by_a_replaced_job_owner_is_not_written(monkeypatch):
    pause_before_end_is_written(33200)
    original = RecordWriter.next_batch

    def next_batch(self, now):
        batch = original(self, now)
        if batch is not None:
            batch.conditions.pop(VIEW)
        return batch

    monkeypatch.setattr(RecordWriter, "next_batch", next_batch)
    with pytest.raises(InvariantViolation, match="went_back"):
        for seed in range(33200, 33204):
            pause_before_end_is_written(seed)
