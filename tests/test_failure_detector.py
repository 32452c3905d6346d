"""Guards against a member that acts after a view removed it, under lost or delayed links, pauses and restarts."""

import itertools

import msgspec
import pytest
from simulation import InvariantViolation, SimController, World

from alderbridge import constants
from alderbridge.controller.core import ControllerCore
from alderbridge.controller.state import ControllerState
from alderbridge.membership.failure_detector import FailureDetector, PeerState
from alderbridge.membership.membership import Membership
from alderbridge.membership.records import MemberRecord, View
from alderbridge.protocol.keys import VIEW


class PausableController(SimController):
    """A controller that can be paused, and whose links to other controllers can fail in one or both directions."""

    def __init__(self, world, label):
        self.paused_until = 0.0
        super().__init__(world, label)

    def run_when_resumed(self, call, *args):
        """Make the call once the process is no longer paused; drop it if the process has restarted since."""

        def retry(incarnation):
            if incarnation == self.life:
                self.run_when_resumed(call, *args)

        if self.world.t < self.paused_until:
            self.world.after(self.paused_until - self.world.t, retry, self.life)
        else:
            call(*args)

    def loop(self, incarnation, step, interval_s):
        self.run_when_resumed(super().loop, incarnation, step, interval_s)

    def frame(self, data):
        self.run_when_resumed(super().frame, data)

    def heartbeat(self, raw, reply):
        self.run_when_resumed(super().heartbeat, raw, reply)

    def call(self, on_response, on_failure, method, *args, too_large=None):
        super().call(
            lambda response: self.run_when_resumed(on_response, response),
            lambda: self.run_when_resumed(on_failure),
            method,
            *args,
            too_large=too_large,
        )

    def flush(self):
        """Frames for a failed link are lost, or delayed until the link works again."""
        if self.core is None or self.world.t < self.paused_until:
            return
        deliverable = []
        for label, frame in self.core.effects.outgoing_frames:
            until, delayed = self.world.failed_links.get((self.label, label), (0.0, False))
            if self.world.t >= until:
                deliverable.append((label, frame))
            elif delayed:
                self.world.after(
                    until - self.world.t, self.world.controllers[label].frame, msgspec.msgpack.encode(frame)
                )
        self.core.effects.outgoing_frames = deliverable
        super().flush()


class ControllerFaultWorld(World):
    """Link failures, pauses, crashes and outages; checks after each event that no removed member acts."""

    controller_class = PausableController

    def __init__(self, seed, controller_faults=0, **options):
        self.failed_links = {}  # (from, to) -> end of the failure, whether frames are delayed
        self.view, self.removed_members, self.early_removals, self.view_count = None, set(), 0, 0
        super().__init__(seed, random_faults=False, **options)
        for _ in range(controller_faults):
            self.after(self.rng.uniform(10.0, 130.0), self.inject_controller_fault)

    def run(self, until):
        while self.events and self.events[0][0] <= until:
            log_length = len(self.store.log)
            super().run(self.events[0][0])
            for change in self.store.log[log_length:]:
                if change.put == VIEW:
                    self.on_view_written(msgspec.json.decode(change.data, type=View))
            for label, sim in self.controllers.items():
                if sim.core is not None and (label, sim.core.membership.store_lease.lease_id) in self.removed_members:
                    if sim.core.membership.may_act(self.t):
                        raise InvariantViolation(f"left_out: {label} acts at {self.t:.2f}")

    def on_view_written(self, view):
        old = self.view.members if self.view else {}
        removed = {(label, lease_id) for label, lease_id in old.items() if view.members.get(label) != lease_id}
        self.early_removals += sum(
            lease_id in self.store.leases and label not in view.members for label, lease_id in removed
        )
        self.removed_members |= removed
        self.view, self.view_count = view, self.view_count + 1

    def cut(self, labels, duration_s, delayed=False, direction="both"):
        others = [label for label in self.labels if label not in labels]
        for label, other in itertools.product(labels, others):
            for link in {
                "both": [(label, other), (other, label)],
                "out": [(label, other)],
                "in": [(other, label)],
            }[direction]:
                self.failed_links[link] = (self.t + duration_s, delayed)

    def inject_controller_fault(self):
        rng = self.rng
        labels = rng.sample(self.labels, rng.choice([1, 1, 2, len(self.labels) // 2 + 1]))
        kind, duration_s = (
            rng.choice(["cut", "cut", "link", "isolate", "isolate", "pause", "crash", "crash", "outage"]),
            0.0,
        )
        if kind == "cut":
            self.cut(
                labels,
                rng.uniform(2.0, 30.0),
                rng.random() < 0.5,
                rng.choice(["both", "both", "in", "out"]),
            )
        elif kind == "link":
            label, other = rng.sample(self.labels, 2)
            self.failed_links[label, other] = self.failed_links[other, label] = (
                self.t + rng.uniform(2.0, 30.0),
                rng.random() < 0.5,
            )
        elif kind == "isolate":  # from the store as well, and longer, so that it does not learn of new views
            duration_s = rng.uniform(5.0, 18.0)
            self.cut(labels, duration_s, rng.random() < 0.7)
            for label in labels:
                self.controllers[label].cut_store_until = self.t + duration_s + rng.uniform(0.0, 20.0)
            if rng.random() < 0.5:
                self.after(rng.uniform(0.0, duration_s), self.store.outage, rng.uniform(2.0, 15.0))
        elif kind == "pause":
            for label in labels:
                self.controllers[label].paused_until = self.t + rng.uniform(4.0, 20.0)
        elif kind == "crash":
            for label in labels:
                self.controllers[label].crash()
                self.after(rng.choice([0.2, 3.0, rng.uniform(0.1, 25.0)]), self.restart, self.controllers[label])
        else:
            self.store.outage(rng.uniform(2.0, 25.0))


def unfinished_jobs(world):
    return [job for job in world.accepted if job not in world.reported_ends and not world.specs[job].service]


@pytest.mark.parametrize("seed", range(11000, 11012))
def test_removed_members_do_not_act_and_all_members_recover(seed):
    world = ControllerFaultWorld(seed, nodes=3 + 2 * (seed % 2), controller_faults=6)
    world.run(230.0)
    assert all(sim.core.may_act() for sim in world.controllers.values())
    world.run(400.0)
    assert world.task_starts > 0 and not unfinished_jobs(world) and world.view.contact_timeout_s > 0


def accept_frames_of_failed_peers(monkeypatch):
    def record_frame(self, label, acknowledged_at, now):
        self.peers[label].state = PeerState.ALIVE
        original(self, label, acknowledged_at, now)

    original = FailureDetector.record_frame
    monkeypatch.setattr(FailureDetector, "accepts", lambda self, label: True)
    monkeypatch.setattr(FailureDetector, "record_frame", record_frame)


def count_contact_from_receipt(monkeypatch):
    original = FailureDetector.record_frame
    monkeypatch.setattr(
        FailureDetector, "record_frame", lambda self, label, acknowledged_at, now: original(self, label, now, now)
    )


def ignore_contact(monkeypatch):
    monkeypatch.setattr(
        FailureDetector, "_compute_contact_until", lambda self: setattr(self, "contact_until", float("inf"))
    )


def declare_failed_too_soon(monkeypatch):
    def refresh(self, now):
        contact_timeout_s, self.contact_timeout_s = self.contact_timeout_s, min(self.contact_timeout_s, 3.0)
        original(self, now)
        self.contact_timeout_s = contact_timeout_s

    original = FailureDetector.refresh
    monkeypatch.setattr(FailureDetector, "refresh", refresh)


def count_contact_from_after_the_view(monkeypatch):
    original = FailureDetector.enter_view
    monkeypatch.setattr(
        FailureDetector,
        "enter_view",
        lambda self, members, timeout_s, written_after: original(self, members, timeout_s, written_after + 6.0),
    )


@pytest.mark.parametrize(
    "fault",
    [
        accept_frames_of_failed_peers,
        count_contact_from_receipt,
        ignore_contact,
        declare_failed_too_soon,
        count_contact_from_after_the_view,
    ],
)
def test_violation_of_each_contact_rule_is_detected(monkeypatch, fault):
    fault(monkeypatch)
    for seed in range(12000, 12040):
        try:
            ControllerFaultWorld(seed, nodes=3 + 2 * (seed % 2), controller_faults=6).run(170.0)
        except InvariantViolation as error:
            assert str(error).startswith("left_out")
            return
    pytest.fail("no run broke the invariant")


def run_restarted_peer(seed):
    """host-1 declares host-0 failed, restarts, and gets frames from host-0 before the view without it is written.

    The new process does not know of the declaration. None of host-0's frames had been acknowledged under this view, so
    it sends all of them again, and they are received in order.
    """
    world = ControllerFaultWorld(seed, jobs=0)
    isolated, peer, other = (world.controllers[label] for label in ("host-0", "host-1", "host-2"))
    world.run(20.0)
    world.failed_links = dict.fromkeys((("host-0", "host-1"), ("host-1", "host-0")), (43.0, False))
    other.crash()
    world.after(0.2, world.restart, other)
    world.run(30.0)
    world.failed_links |= dict.fromkeys((("host-0", "host-2"), ("host-2", "host-0")), (90.0, False))
    world.run(32.0)
    isolated.cut_store_until = 90.0
    world.run(36.9)
    world.store.outage(6.0)  # no member can be removed until its end
    world.run(42.5)
    assert peer.core.membership.failure_detector.failed_by_quorum() == {"host-0"}
    other.paused_until = 45.0
    peer.crash()
    world.restart(peer)
    world.run(56.0)
    return world


def test_acknowledgements_of_a_restarted_peer_do_not_count(monkeypatch):
    for seed in range(13000, 13004):
        world = run_restarted_peer(seed)
        assert "host-0" not in world.view.members or world.view.contact_timeout_s == 0.0
    original = ControllerCore.observe_frame

    def observe_frame(self, frame, newest_acked_sent_at, now):
        lease_id = self.membership.view.members.get(frame.sender, 0)
        original(self, msgspec.structs.replace(frame, sender_lease_id=lease_id), newest_acked_sent_at, now)

    monkeypatch.setattr(ControllerCore, "observe_frame", observe_frame)
    monkeypatch.setattr(
        ControllerState, "is_member", property(lambda self: True, lambda self, value: None), raising=False
    )
    with pytest.raises(
        InvariantViolation, match="left_out: host-0"
    ):  # a non-member accepts frames of members, and counts as the member
        for seed in range(13000, 13004):
            run_restarted_peer(seed)


def test_two_isolated_members_of_five_are_replaced_before_worker_leases_expire():
    """Guards against waiting for the expiry of their store leases: their workers' leases expire before that."""
    world = ControllerFaultWorld(14000, nodes=5, jobs=30)
    world.run(60.0)
    for label in ("host-0", "host-3"):  # one of them is the leader
        sim = world.controllers[label]
        sim.cut_store_until = sim.cut_mesh_until = sim.cut_workers_until = 90.0
    world.run(60.0 + constants.CONTACT_TIMEOUT_S + 2.0)
    assert sorted(world.view.members) == ["host-1", "host-2", "host-4"] and world.early_removals == 2
    world.run(89.0)
    assert not any(worker.incarnation > 1 for worker in world.machines.values() if worker is not None and worker.alive)
    world.run(100.0)
    assert len(world.view.members) == 5 and all(sim.core.may_act() for sim in world.controllers.values())


def test_worker_is_redirected_to_an_alive_member_while_its_owner_is_suspected():
    membership = Membership("host-1", 20.0)
    membership.store_lease.record_renewal(2, 0.0)
    members = {f"host-{number}": number + 1 for number in range(4)}
    membership.observe_view(View("host-0", members, contact_timeout_s=8.0), 10)
    machine = next(f"n-{number}" for number in range(99) if membership.machine_owner(f"n-{number}") == "host-2")
    assert membership.heartbeat_target(machine) == "host-2"
    membership.failure_detector.peers["host-2"].suspect()
    assert membership.heartbeat_target(machine) == "host-3", "the next alive member"
    membership.failure_detector.peers["host-3"].suspect()
    assert membership.heartbeat_target(machine) == "host-0"
    membership.failure_detector.peers["host-0"].suspect()
    assert membership.heartbeat_target(machine) == "host-2", "no other member is alive: this one may be isolated itself"
    own = next(f"n-{number}" for number in range(99) if membership.machine_owner(f"n-{number}") == "host-1")
    assert membership.heartbeat_target(own) == "host-1"


def test_contact_is_waived_when_all_members_are_isolated_and_restored_later():
    world = ControllerFaultWorld(14004, nodes=5, jobs=0)
    world.run(30.0)
    for label in world.labels:
        world.cut([label], 40.0)
    while world.t < 45.0:
        world.run(world.t + 0.1)
        assert all(sim.core.may_act() for sim in world.controllers.values())
    assert world.view.contact_timeout_s == 0.0 and len(world.view.members) == 5
    world.run(70.0 + constants.CONTACT_RESUME_DELAY_S + 5.0)
    assert world.view.contact_timeout_s > 0 and world.view_count == 3


def test_member_declared_failed_by_a_minority_is_accepted_under_a_new_fencing_token():
    world = ControllerFaultWorld(14002, jobs=0)
    world.run(30.0)
    failure_detector = world.controllers["host-1"].core.membership.failure_detector
    failure_detector.peers["host-2"].mark_failed()
    failure_detector.failed_by["host-2"].add("host-1")
    view_count = world.view_count
    world.run(30.0 + constants.DISPUTED_FAILURE_TIMEOUT_S + 1.0)
    assert world.view_count == view_count + 1 and len(world.view.members) == 3 and not world.early_removals
    assert world.controllers["host-1"].core.membership.failure_detector.accepts("host-2")


def test_paused_member_declares_nobody_failed():
    failure_detector = FailureDetector("a")
    failure_detector.enter_view({"a": 1, "b": 2, "c": 3}, 8.0, 0.0)
    failure_detector.refresh(0.0)
    failure_detector.refresh(20.0)
    assert (
        failure_detector.contact_lost_at == 20.0
        and failure_detector.unreachable_peers() == ["b", "c"]
        and not failure_detector.failed_peers()
    )
    failure_detector.record_frame("b", 19.5, 20.1)
    failure_detector.record_peer_report("b", ["c"], [])
    failure_detector.refresh(20.2)
    assert failure_detector.failed_peers() == ["c"] and failure_detector.contact_until > 26.9, "b suspects it as well"


@pytest.mark.parametrize(
    "protocol_versions, required",
    [
        ([constants.VERSION_WITH_FAILURE_DETECTOR] * 3, True),
        (
            [
                constants.VERSION_WITH_FAILURE_DETECTOR,
                constants.VERSION_WITH_FAILURE_DETECTOR,
                constants.VERSION_WITH_FAILURE_DETECTOR - 1,
            ],
            False,
        ),
        ([constants.VERSION_WITH_FAILURE_DETECTOR] * 2, False),
    ],
)
def test_view_requires_contact_only_of_three_members_that_all_support_it(protocol_versions, required):
    membership = Membership("host-0", 20.0)
    membership.store_lease.record_renewal(1, 0.0)
    for number, protocol_version in enumerate(protocol_versions, 1):
        membership.observe_member(f"host-{number - 1}", MemberRecord(number, protocol_version), number)
    membership.next_view(0.0)
    view, _ = membership.next_view(2.0)
    assert (view.contact_timeout_s > 0) is required
    assert (b"contact_s" in msgspec.json.encode(view)) is required, (
        "the encoding without contact is that of older versions"
    )


@pytest.mark.parametrize("seed", (14006, 14009, 14016, 14025))
def test_two_isolated_members_with_different_last_frames_are_replaced_in_one_view(seed):
    """Guards against removing only one of two members isolated together, if their last frames differ by up to a second.

    The second one sends no frame under the new view, so it can be removed only after ``older_view_grace_s``. Until then
    the members redirect its workers to each other, and the worker leases expire.
    """
    world = ControllerFaultWorld(seed, nodes=5, jobs=30)
    world.run(60.0)
    for label in ("host-0", "host-3"):
        sim = world.controllers[label]
        sim.cut_store_until = sim.cut_mesh_until = sim.cut_workers_until = 90.0
    world.run(60.0 + constants.CONTACT_TIMEOUT_S + constants.VIEW_SETTLE_TIMEOUT_S)
    assert sorted(world.view.members) == ["host-1", "host-2", "host-4"]
    world.run(89.0)
    assert not any(worker.incarnation > 1 for worker in world.machines.values() if worker is not None and worker.alive)
