"""Guards against stale answers and double ownership by partitioned controllers that users and workers still reach."""

import curio
import msgspec
import pytest
from controller_clock import patch_now
from simulation import InvariantViolation, World, platform
from test_failure_detector import ControllerFaultWorld
from test_flapping import ignore_lease_id_of_member

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
from alderbridge.transport.selector import EpollSelector


def isolate(world, labels, duration_s):
    """Cut controllers off from the store and from the others; workers and users still reach them."""
    world.cut(labels, duration_s)
    for label in labels:
        world.controllers[label].cut_store_until = world.t + duration_s


def run_to_next_view(world, until):
    """Run to the time at which the store applies the next view."""
    view_count, run_to = world.view_count, world.t
    while world.view_count == view_count and run_to < until:
        run_to += 0.01
        world.run(run_to)
    assert world.view_count == view_count + 1


def isolate_before_view_arrives(world, labels, duration_s):
    """Isolate members before they receive the view that has just been written; the others continue without them."""
    fencing_token = world.store.revision
    assert all(world.controllers[label].core.membership.fencing_token < fencing_token for label in labels)
    isolate(world, labels, duration_s)
    isolated_at = world.t
    world.run(isolated_at + duration_s + 20.0)
    assert all(sim.core.may_act() for sim in world.controllers.values())


def run_contact_restored(seed, nodes):
    """All members were isolated, and contact was waived; the view that restores it does not reach one member."""
    world = ControllerFaultWorld(seed, nodes=nodes, jobs=0)
    world.run(30.0)
    for label in world.labels:
        world.cut([label], 12.0)
    world.run(60.0)
    assert world.view.contact_timeout_s == 0.0 and len(world.view.members) == nodes
    run_to_next_view(world, 130.0)
    assert world.view.contact_timeout_s > 0
    isolate_before_view_arrives(world, [max(set(world.labels) - {world.view.leader})], 30.0)


def run_to_join(seed):
    """Two of five members rejoin the other three; stops when the next view is written, which may have four members."""
    world = ControllerFaultWorld(seed, nodes=5, jobs=0)
    world.run(30.0)
    for label in ("host-3", "host-4"):
        world.controllers[label].crash()
    world.run(60.0)
    assert len(world.view.members) == 3
    for label in ("host-3", "host-4"):
        world.restart(world.controllers[label])
    run_to_next_view(world, 70.0)
    return world


def run_missed_join():
    """Two of the three are isolated; they were a majority under their view, and are none of the five members now."""
    world = next(world for world in map(run_to_join, range(15002, 15020)) if len(world.view.members) == 5)
    isolate_before_view_arrives(world, sorted(set(world.labels[:3]) - {world.view.leader}), 30.0)


FAULT_COMBINATIONS = [lambda: run_contact_restored(15000, 3), lambda: run_contact_restored(15002, 5), run_missed_join]


@pytest.mark.parametrize("combination", FAULT_COMBINATIONS)
def test_member_without_the_view_is_not_removed_while_an_older_view_lets_it_act(combination):
    """Guards against removal after the contact timeout alone: a member without the view could act for seconds more."""
    combination()


def test_removal_without_quorum_overlap_is_detected(monkeypatch):
    monkeypatch.setattr(Membership, "mark_quorum_overlap", lambda self, view, settled: view)
    for combination in FAULT_COMBINATIONS:
        with pytest.raises(InvariantViolation, match="left_out"):
            combination()


def test_quorums_overlap_only_for_the_same_labels_after_a_settled_or_overlapping_view():
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
            "without contact, no member is declared failed"
        )
    assert b"loose" not in msgspec.json.encode(View("a", members, 8.0)), (
        "the default is not encoded, as in older versions"
    )


def test_member_without_store_lease_acknowledges_nothing():
    """Guards against acknowledgements that the others would count for its former lease id."""
    world = World(15020, random_faults=False, jobs=0)
    world.run(20.0)
    core, other = world.controllers["host-0"].core, world.controllers["host-1"].core
    assert core.state.is_member
    received = core.messenger.channels["host-1"].last_received_sequence
    core.membership.store_lease.mark_expired()
    for _ in range(2):
        core.on_frame(other.messenger.channels["host-0"].post(messages.KeepAlive(), world.t), world.t)
    assert core.messenger.channels["host-1"].last_received_sequence == received


class IsolatedLeaderWorld(World):
    """Users cancel jobs through the connected controllers, and poll all of them, the isolated one first."""

    isolated_label = ""

    def make_job(self, number):
        spec = super().make_job(number)
        return msgspec.structs.replace(spec, estimate_s=spec.estimate_s * 4.0)

    def cancel(self, job):
        if job in self.reported_ends:
            return
        for label, sim in self.controllers.items():
            if label != self.isolated_label and sim.core is not None and sim.core.directory.job_owner(job) == label:
                self.cancelled_at.setdefault(job, float("inf"))
                state = sim.core.local_jobs.cancel(job, self.t)
                if state:
                    self.check_state(job, state)
                    if state == "aborted":
                        self.cancelled_at[job] = min(self.cancelled_at[job], self.t)
                        return
        self.after(0.2, self.cancel, job)

    def poll_all(self):
        for job in sorted(self.accepted):
            for label in (self.isolated_label, *self.labels):
                state = self.status_at_once(self.controllers[label], job)
                if state is not None:
                    self.last_status_at[job] = self.t
                    self.check_state(job, state)
        self.after(0.4, self.poll_all)


def run_isolated_leader(seed, nodes, duration_s=45.0, from_peers=True):
    world = IsolatedLeaderWorld(seed, nodes=nodes, jobs=24, random_faults=False)
    world.run(60.0)
    world.isolated_label = next(iter(world.controllers.values())).core.membership.view.leader
    sim = world.controllers[world.isolated_label]
    sim.cut_store_until = world.t + duration_s
    if from_peers:
        sim.cut_mesh_until = world.t + duration_s
    world.poll_all()
    for number, job in enumerate(sorted(world.accepted - world.reported_ends.keys())[::2]):
        world.after(0.5 * number, world.cancel, job)
    world.run(60.0 + duration_s + 60.0)
    world.check_final_status_age()
    assert all(sim.core.may_act() for sim in world.controllers.values())
    return world


@pytest.mark.parametrize("nodes", (3, 5))
@pytest.mark.parametrize("waived", (False, True))
@pytest.mark.parametrize("from_peers", (True, False))
def test_leader_reached_only_by_users_and_workers_gives_no_stale_answers(monkeypatch, nodes, waived, from_peers):
    if waived:
        monkeypatch.setattr(Membership, "contact_timeout_for", lambda self, members: 0.0)
    world = run_isolated_leader(15100 + nodes + 2 * waived, nodes, from_peers=from_peers)
    assert "aborted" in world.reported_ends.values()


def run_refused_leader(seed, nodes, refused_s, outage_s):
    """The leader loses the store; the others cancel its jobs; then the store is down for all, and leases are kept."""
    world = IsolatedLeaderWorld(seed, nodes=nodes, jobs=24, random_faults=False)
    world.run(60.0)
    world.isolated_label = world.controllers[world.labels[0]].core.membership.view.leader
    world.controllers[world.isolated_label].cut_store_until = 60.0 + refused_s + outage_s
    world.poll_all()
    for number, job in enumerate(sorted(world.accepted - world.reported_ends.keys())[::2]):
        world.after(0.5 * number, world.cancel, job)
    world.after(refused_s, world.store.outage, outage_s)
    world.run(60.0 + refused_s + outage_s)
    acting = [sim.label for sim in world.controllers.values() if sim.core.may_act()]
    world.run(60.0 + refused_s + outage_s + 50.0)
    world.check_final_status_age()
    assert all(sim.core.may_act() for sim in world.controllers.values())
    return world, acting


@pytest.mark.parametrize(
    "nodes, refused_s, outage_s", [(3, 6.0, 45.0), (5, 15.0, 45.0), (5, 25.0, 12.0), (3, 19.0, 4.0)]
)
def test_leader_without_the_store_before_an_outage_for_all_does_not_act_on_stale_state(nodes, refused_s, outage_s):
    world, acting = run_refused_leader(15200, nodes, refused_s, outage_s)
    assert world.isolated_label not in acting and (not acting or outage_s < 20.0), "all replicas are stale"
    assert "aborted" in world.reported_ends.values()


def run_restarts(seed, nodes, first_back=None):
    """Controllers restart one by one, twice, then all at once; ``first_back`` returns seconds before the others."""
    world = World(seed, nodes=nodes, jobs=24, random_faults=False, pipelines=2)
    world.delayed_frame_share = 0.2  # frames also arrive after their sender or receiver has restarted
    for number, label in enumerate([*world.labels, *world.labels]):
        world.after(40.0 + 0.3 * number, world.crash_and_restart, world.controllers[label], 0.15)
    for label in world.labels:
        world.after(
            46.0,
            world.crash_and_restart,
            world.controllers[label],
            0.2 if label == first_back else 1.0 if first_back is None else 7.0,
        )
    if first_back is not None:  # during the election
        world.after(46.7, world.crash_and_restart, world.controllers[first_back], 0.15)
    world.run(53.0)
    world.delayed_frame_share, starts = 0.001, world.task_starts
    world.run(90.0)
    assert world.task_starts > starts and world.store.view_differs_since is None
    assert all(sim.core.may_act() for sim in world.controllers.values())
    world.run(200.0)
    world.check_final_status_age()
    assert not world.wrongly_halted


@pytest.mark.parametrize(
    "seed, nodes, first_back",
    [(15300, 3, None), (15301, 5, None), (15302, 3, "host-2"), (15303, 5, "host-0"), (15304, 5, "host-4")],
)
def test_restarts_within_a_second_stop_no_task_and_lose_no_job(seed, nodes, first_back):
    run_restarts(seed, nodes, first_back)


def test_process_that_ignores_its_changed_lease_id_is_detected(monkeypatch):
    ignore_lease_id_of_member(monkeypatch)
    with pytest.raises(AssertionError):
        run_restarts(15300, 3)


def ignore_contact(monkeypatch):
    monkeypatch.setattr(
        FailureDetector, "_compute_contact_until", lambda self: setattr(self, "contact_until", float("inf"))
    )


def ignore_expiry_without_contact(monkeypatch):
    """Contact is waived, and store lease and replica never expire."""
    monkeypatch.setattr(Membership, "contact_timeout_for", lambda self, members: 0.0)
    always_valid = property(lambda self: float("inf"), lambda self, valid_until: None)
    monkeypatch.setattr(Membership, "fresh_until", always_valid, raising=False)
    monkeypatch.setattr(StoreLease, "valid_until", always_valid, raising=False)


def answer_without_may_act(monkeypatch):
    original = LocalJobs.local_job_state

    def local_job_state(self, job, now):
        may_act, self.state.may_act = self.state.may_act, lambda: True
        try:
            return original(self, job, now)
        finally:
            self.state.may_act = may_act

    monkeypatch.setattr(LocalJobs, "local_job_state", local_job_state)


def test_refused_leader_acts_without_store_lease_and_freshness(monkeypatch):
    ignore_expiry_without_contact(monkeypatch)
    world, acting = run_refused_leader(15200, 3, 6.0, 45.0)
    assert world.isolated_label in acting


@pytest.mark.parametrize("fault", [ignore_contact, ignore_expiry_without_contact, answer_without_may_act])
def test_disabling_any_guard_of_the_isolated_leader_is_detected(monkeypatch, fault):
    fault(monkeypatch)
    with pytest.raises(InvariantViolation, match="went_back|ran_twice|ran_cancelled"):
        for seed in range(15100, 15104):
            run_isolated_leader(seed, 5)


LABELS = ["host-0", "host-1", "host-2"]


@pytest.fixture
def controller(monkeypatch):
    """One controller of three, with a clock that the test sets: ``clock[0]``."""
    clock = [100.0]
    patch_now(monkeypatch, lambda: clock[0])
    controller = Controller(platform("host-0", LABELS), Tuning(), EpollSelector())
    core = controller.core
    core.membership.store_lease.record_renewal(1, 100.0, 100.0)
    core.membership.record_sync(100.0)
    members = {label: number for number, label in enumerate(LABELS, 1)}
    core.store_follower.load(
        [wire.KeyValue("ab/view", msgspec.Raw(msgspec.json.encode(View("host-0", members))), 7)], [], 7, 100.0, 100.0
    )
    controller.clock = clock
    return controller


def test_isolated_controller_is_unhealthy_and_one_in_a_store_outage_is_healthy(controller):
    """Guards against an isolated controller that reports healthy, keeps its connections and can't answer its users."""
    failure_detector = controller.membership.failure_detector
    for label in LABELS[1:]:
        failure_detector.record_frame(label, 100.0, 100.0)
    assert controller.health.check()[0] == 200
    controller.clock[0] = 130.0  # the store is down for all; frames from the others arrive
    for label in LABELS[1:]:
        failure_detector.record_frame(label, 129.0, 129.0)
    assert controller.membership.status(130.0) is MemberStatus.EXPIRED and controller.health.check()[0] == 200
    controller.clock[0] = 140.0
    assert controller.health.check()[0] == 503


def test_reply_that_arrives_after_reading_the_store_is_discarded(controller):
    """Guards against a job owner's late reply that is older than the store's record."""
    responses, job = [], "wk-000001"
    controller.core.replica.active_jobs[job] = (
        msgspec.structs.replace(Record(JobState.ACTIVE, "host-1", 0.0, 1, [], None)),
        8,
    )

    async def get_aborted(key):
        return wire.KeyValue(key, msgspec.Raw(msgspec.json.encode(Record(JobState.ABORTED))), 9)

    async def scenario():
        controller.store.get = get_aborted
        assert controller.users_api.status.poll_status(job, responses.append) is None
        number = next(iter(controller.queries.pending_polls))
        controller.clock[0] += constants.QUERY_TIMEOUT_S + 0.1
        await controller.dispatch_effects()
        await curio.sleep(0.05)
        controller.core.effects.query_replies.append(
            messages.JobQueryReply(number, 200, wire.job_status_body(job, "running", 0, 1))
        )
        await controller.dispatch_effects()
        await curio.sleep(0.05)

    curio.run(scenario)
    assert len(responses) == 1 and b"aborted" in responses[0][1]


def test_heartbeat_is_answered_only_under_the_view_in_which_it_was_received(controller):
    """Guards against a late response, delayed for grants, under an older view or an expired store lease."""
    machine = Machine("n-1", 100.0)
    assert controller.workers_api.heartbeat_response(machine, 7)[0] == 200
    assert controller.workers_api.heartbeat_response(machine, 6)[0] == 503
    controller.clock[0] = 130.0
    assert controller.workers_api.heartbeat_response(machine, 7)[0] == 503
