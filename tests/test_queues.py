"""Queue deltas: the members' copies match the job shard's queue when messages are delayed or members are slow."""

import random

import msgspec
import pytest
from simulation import InvariantViolation, SimController, World

from alderbridge import constants
from alderbridge.membership.records import MemberRecord
from alderbridge.protocol import messages
from alderbridge.protocol.wire import JobSpec
from alderbridge.queues import (
    DeltaTracker,
    OfferBook,
    PublishRound,
    QueuePublisher,
    QueueState,
    SenderClock,
    ShardQueue,
)
from alderbridge.state.write_rate_limit import WriteRateLimit

TEAMS = ("a", "b", "c")
OLDER_VERSION = constants.VERSION_WITH_QUEUE_DELTAS - 1
DELTA_MESSAGES = (messages.QueueDelta, messages.TeamUsageDelta, messages.PeerStatus, messages.QuotaDelta)


def row(job, waiting=5, offer=5, due=30.0, waited=1.0, **more):
    return messages.QueueRow(job, waiting, offer, due, 10.0, None, waited, False, False, **more)


def spec(job, cpus=2.0):
    return JobSpec(job, "x", "t", "sweep", "standard", 9, cpus, 1.0, "i", 1.0, 10.0)


class Link:
    """A channel as the publisher sees it."""

    def __init__(self):
        self.last_received_sequence, self.peer_fencing_token, self.unacknowledged = 0, 1, 0

    def backlog(self):
        return self.unacknowledged


class PublishingRun:
    """A job shard whose queue changes at random, with the leader and, after 4 s, a slow machine shard as members."""

    def __init__(self, seed):
        self.rng, self.now = random.Random(seed), 100.0
        self.queue_publisher = QueuePublisher("owner")
        self.jobs: dict[str, dict] = {}
        self.usage: dict[str, tuple[float, float]] = {}
        self.allocations_received = 0
        self.links = {"leader": Link(), "machine-shard": Link()}
        self.copies = {label: ShardQueue() for label in ("owner", *self.links)}
        self.clocks = {label: SenderClock() for label in self.copies}
        self.in_flight: dict[str, list[messages.Message]] = {label: [] for label in self.links}
        self.messages_received = 0

    def change(self):
        rng = self.rng
        for _ in range(rng.randint(0, 4)):
            job = f"wk-{rng.randint(0, 30)}"
            if rng.random() < 0.3:
                self.jobs.pop(job, None)
            else:
                waiting = rng.choice([1, 5, 40, 400])
                self.jobs[job] = {"waiting": waiting, "offer": rng.choice([0, 1, waiting]), "arrived": self.now}
        for one in self.jobs.values():
            if one["waiting"] > 1 and rng.random() < 0.3:
                one["waiting"] -= 1
                one["offer"] = min(one["offer"], one["waiting"])
        if rng.random() < 0.4:
            self.usage[rng.choice(TEAMS)] = (float(rng.choice([0, 0, 4, 8])), 0.0)
        self.allocations_received += rng.random() < 0.1

    def snapshot(self):
        rows = [
            row(job, one["waiting"], one["offer"], one["arrived"] + 60.0 - self.now, self.now - one["arrived"])
            for job, one in self.jobs.items()
        ]
        reserved = {team: amounts for team, amounts in self.usage.items() if amounts != (0.0, 0.0)}
        return QueueState(rows, reserved, reserved, {}, self.allocations_received)

    def step(self):
        self.now += constants.ROUND_INTERVAL_S
        self.change()
        round_ = PublishRound(self.now, 1, "leader", self.links, self.snapshot(), messages.PeerStatus([], [], 0))
        for outgoing in self.queue_publisher.publish(round_, True):
            if outgoing.label in self.links and outgoing.numbered:
                self.in_flight[outgoing.label].append(outgoing.message)
                self.links[outgoing.label].unacknowledged += 1
            elif outgoing.label == "owner":
                self.receive("owner", outgoing.message)
        self.deliver("leader", 1.0)
        self.deliver("machine-shard", 1.0 if self.now < 104.0 else 0.05)

    def deliver(self, label, share):
        """Deliver queued messages in order; each further one with the probability ``share``."""
        while self.in_flight[label] and self.rng.random() < share:
            self.receive(label, self.in_flight[label].pop(0))
            self.links[label].unacknowledged -= 1

    def receive(self, label, message):
        self.messages_received += 1
        if isinstance(message, messages.QueueDelta):
            self.copies[label].apply_row_delta(
                message, self.clocks[label].to_local_time(message.created_at + 7.0, self.now)
            )
        elif isinstance(message, messages.TeamUsageDelta):
            self.copies[label].apply_usage_delta(message)

    def check(self, label, offered_only):
        """The copy has the same jobs, rows within the tolerance, and for the leader exactly the same usage."""
        rows = {one.job: one for one in self.snapshot().rows if one.offer > 0 or not offered_only}
        received = {one.job: one for one in self.copies[label].aged_rows(self.now)}
        assert received.keys() == rows.keys()
        for job, current in rows.items():
            assert abs(received[job].due_in_s - current.due_in_s) <= constants.QUEUE_TIME_TOLERANCE_S + 1e-6
            assert abs(received[job].waiting - current.waiting) * constants.QUEUE_COUNT_CHANGE_DIVISOR <= max(
                received[job].waiting, constants.QUEUE_COUNT_CHANGE_DIVISOR
            )
        if not offered_only:
            snapshot = self.snapshot()
            assert (self.copies[label].used, self.copies[label].reserved) == (snapshot.used, snapshot.reserved)
            assert self.copies[label].allocations_received == snapshot.allocations_received


@pytest.mark.parametrize("seed", range(6))
def test_copies_match_the_queue_when_members_are_slow(seed):
    run = PublishingRun(seed)
    for _ in range(400):
        run.step()
        run.check("leader", offered_only=False)
        assert run.links["machine-shard"].unacknowledged <= constants.MAX_QUEUE_BACKLOG_MESSAGES
    run.deliver("machine-shard", 1.0)
    run.step()
    run.deliver("machine-shard", 1.0)
    run.check("machine-shard", offered_only=True)
    run.check("owner", offered_only=True)


def test_delayed_messages_are_dated_by_their_send_time():
    clock = SenderClock()
    assert clock.to_local_time(10.0, 500.0) == 500.0, "no earlier message"
    assert clock.to_local_time(20.0, 509.0) == 509.0, "shorter delay than before"
    assert clock.to_local_time(30.0, 527.0) == pytest.approx(519.0, abs=0.02), "delayed by 8 s"
    assert clock.to_local_time(630.0, 1119.5) == pytest.approx(1119.5, abs=0.7), "clock drift"


def test_a_lost_delta_is_detected(monkeypatch):
    """Guards the check of copies: it must fail when one message is lost."""
    run = PublishingRun(1)
    for _ in range(20):
        run.step()
    run.in_flight["leader"] = []
    receive = run.receive
    monkeypatch.setattr(run, "receive", lambda label, message: label == "leader" or receive(label, message))
    run.jobs["wk-99"] = {"waiting": 3, "offer": 3, "arrived": run.now}
    run.step()
    monkeypatch.setattr(run, "receive", receive)
    with pytest.raises(AssertionError):
        for _ in range(5):
            run.step()
            run.check("leader", offered_only=False)


def test_a_member_far_behind_is_sent_the_full_queue():
    delta_tracker = DeltaTracker()
    delta_tracker.update([row(f"wk-{number}") for number in range(3)], 0.0)
    assert delta_tracker.delta_for("slow", True).is_full and delta_tracker.delta_for("quick", True).is_full
    for second in range(1, constants.MAX_REMOVED_QUEUE_JOBS + 10):
        delta_tracker.update([row(f"wk-{3 + second}")], float(second))
        delta_tracker.delta_for("quick", True)
    assert len(delta_tracker.removed) <= constants.MAX_REMOVED_QUEUE_JOBS
    changes = delta_tracker.delta_for("slow", True)
    assert changes.is_full and len(changes.rows) == 1


def test_only_small_changes_are_delayed_by_a_second():
    delta_tracker = DeltaTracker()
    delta_tracker.update([row("wk-1", 400, 400), row("wk-2", 9, 9)], 0.0)
    delta_tracker.delta_for("a", True)
    delta_tracker.update([row("wk-1", 399, 399, due=29.8), row("wk-2", 8, 8, due=29.8)], 0.2)
    assert [one.job for one in delta_tracker.delta_for("a", True).rows] == ["wk-2"]
    delta_tracker.update([row("wk-1", 340, 340, due=29.6), row("wk-2", 8, 8, due=29.6)], 0.4)
    assert [one.job for one in delta_tracker.delta_for("a", True).rows] == ["wk-1"]
    delta_tracker.update([row("wk-1", 339, 339, due=28.5), row("wk-2", 8, 8, due=28.5)], 1.5)
    assert [one.job for one in delta_tracker.delta_for("a", True).rows] == ["wk-1"]
    delta_tracker.update([row("wk-1", 339, 339, due=28.3), row("wk-2", 8, 8, due=28.3)], 1.7)
    assert delta_tracker.delta_for("a", True) is None, "only time has passed"
    delta_tracker.resend_row("a", "wk-2")
    assert [one.job for one in delta_tracker.delta_for("a", True).rows] == ["wk-2"], "the member has reduced its copy"
    assert delta_tracker.delta_for("a", True) is None


def test_machine_shards_are_sent_offered_rows_and_the_leader_all_rows():
    delta_tracker = DeltaTracker()
    delta_tracker.update([row("wk-1"), row("wk-2", offer=0)], 0.0)
    assert [one.job for one in delta_tracker.delta_for("machine-shard", False).rows] == ["wk-1"]
    assert [one.job for one in delta_tracker.delta_for("leader", True).rows] == ["wk-1", "wk-2"]
    delta_tracker.update([row("wk-1", offer=0), row("wk-2")], 0.2)
    changes = delta_tracker.delta_for("machine-shard", False)
    assert [one.job for one in changes.rows] == ["wk-2"] and changes.removed_jobs == ["wk-1"]


def test_a_late_snapshot_does_not_replace_a_delta():
    queue, book = ShardQueue(), OfferBook(spec)
    stale = messages.QueueSnapshot([row("wk-1"), row("wk-2")], {"t": (4.0, 0.0)}, {"t": (4.0, 0.0)}, {}, 1)
    assert queue.apply_snapshot(stale, 1.0)
    book.apply_snapshot("a", stale, 1.0)
    changes = messages.QueueDelta(0.0, [row("wk-2", offer=1)], [], True)
    queue.apply_row_delta(changes, 2.0)
    book.apply_delta("a", changes, 2.0)
    queue.apply_usage_delta(
        messages.TeamUsageDelta({"t": messages.TeamUsage((9.0, 0.0), (9.0, 0.0), (9.0, 0.0))}, 2, True)
    )
    assert not queue.apply_snapshot(stale, 2.1)
    book.apply_snapshot("a", stale, 2.1)
    assert (
        [one.job for one in queue.rows] == ["wk-2"]
        and queue.reserved == {"t": (9.0, 0.0)}
        and queue.allocations_received == 2
    )
    assert [entry[-1].row.job for entry in book.offers.in_order()] == ["wk-2"]


def test_a_row_is_kept_until_its_job_record_arrives():
    """Guards against dropping a row, which is sent only once, when the job record arrives after it."""
    records = {}
    book = OfferBook(records.get)
    book.apply_delta("a", messages.QueueDelta(0.0, [row("wk-1"), row("wk-2")], [], True), 5.0)
    book.add_pending_rows()
    assert not book.offers.in_order()
    records["wk-1"] = spec("wk-1")
    book.add_pending_rows()
    assert [entry[-1].row.job for entry in book.offers.in_order()] == ["wk-1"]
    book.apply_delta("a", messages.QueueDelta(0.0, [], ["wk-2"], False), 6.0)
    records["wk-2"] = spec("wk-2")
    book.add_pending_rows()
    assert [entry[-1].row.job for entry in book.offers.in_order()] == ["wk-1"]


@pytest.mark.parametrize("seed", range(4))
def test_offers_updated_by_deltas_match_a_full_snapshot(seed):
    rng = random.Random(seed)
    from_deltas, from_snapshot, rows = OfferBook(spec), OfferBook(spec), {}
    from_deltas.apply_delta("a", messages.QueueDelta(0.0, [], [], True), 0.0)
    for step in range(200):
        job = f"wk-{rng.randint(0, 20)}"
        if rng.random() < 0.3:
            rows.pop(job, None)
            from_deltas.apply_delta("a", messages.QueueDelta(0.0, [], [job], False), 0.0)
        else:
            rows[job] = row(
                job, offer=rng.randint(0, 3), due=rng.choice([5.0, 9.0, 30.0]), priority_boost=rng.choice([0, 0, 1])
            )
            from_deltas.apply_delta("a", messages.QueueDelta(0.0, [rows[job]], [], False), 0.0)
        if step % 3 == 0:
            from_deltas.offers.in_order()  # builds the sorted list, which later deltas must keep in order
        from_snapshot.apply_snapshot("a", messages.QueueSnapshot(list(rows.values()), {}, {}, {}, 0), 0.0)
        entries = [entry[:5] for entry in from_deltas.offers.in_order()]
        assert entries == [entry[:5] for entry in from_snapshot.offers.in_order()]
        assert from_deltas.offers.min_cpus == from_snapshot.offers.min_cpus


def test_unused_write_rate_of_peers_is_borrowed():
    write_rate_limit = WriteRateLimit(90.0, 3, 0.0)
    assert write_rate_limit.budget.rate == 30.0
    write_rate_limit.users_waited = True
    write_rate_limit.refresh(0.1)
    write_rate_limit.record_peer_rate("a", 5, 0.1)
    write_rate_limit.record_peer_rate("b", 30, 0.1)
    write_rate_limit.refresh(0.2)
    assert write_rate_limit.reported_rate == 30 and write_rate_limit.budget.rate == 30.0 + 25.0 / 2
    write_rate_limit.refresh(0.2 + constants.UNUSED_RATE_TTL_S)
    assert write_rate_limit.budget.rate == 30.0, "expired reports of peers do not count"


class MixedVersionController(SimController):
    """The controllers in ``world.older`` publish the previous protocol version and cannot read delta messages."""

    def call(self, then, fail, method, *args, **more):
        if self.label in self.world.older:
            args = [self.as_older(argument) for argument in args]
        super().call(then, fail, method, *args, **more)

    @staticmethod
    def as_older(argument):
        if not isinstance(argument, dict):
            return argument
        return {
            key: msgspec.structs.replace(value, protocol_version=OLDER_VERSION)
            if isinstance(value, MemberRecord)
            else value
            for key, value in argument.items()
        }

    def flush(self):
        if self.core is not None:
            for label, frame in self.core.effects.outgoing_frames:
                self.world.sent_types.add(type(frame.body))
                peer_is_older = self.core.membership.protocol_versions.get(label) == OLDER_VERSION
                if (self.label in self.world.older or peer_is_older) and isinstance(frame.body, DELTA_MESSAGES):
                    raise InvariantViolation(
                        f"message format: {type(frame.body).__name__} from {self.label} to {label}"
                    )
        super().flush()


class MixedVersionWorld(World):
    controller_class = MixedVersionController

    def __init__(self, seed, older, **more):
        self.older, self.sent_types = set(older), set()
        super().__init__(seed, **more)


@pytest.mark.parametrize("seed", (41001, 41002))
def test_deltas_are_sent_only_while_no_controller_runs_an_older_version(seed):
    world = MixedVersionWorld(seed, ["host-2"], jobs=20, random_faults=False)
    world.run(60.0)
    assert messages.QueueSnapshot in world.sent_types and not world.sent_types & set(DELTA_MESSAGES)
    world.controllers["host-2"].crash()
    world.older.clear()
    world.restart(world.controllers["host-2"])
    world.run(100.0)
    assert {messages.QueueDelta, messages.TeamUsageDelta, messages.PeerStatus} <= world.sent_types
    assert all(sim.core.queue_round.publisher.format.name == "DELTAS" for sim in world.controllers.values())
    world.controllers["host-1"].crash()
    world.older.add("host-1")
    world.restart(world.controllers["host-1"])
    world.run(130.0)
    assert all(sim.core.queue_round.publisher.format.name == "SNAPSHOTS" for sim in world.controllers.values())
    world.run(700.0)
    assert all(world.reported_ends.get(job) or job in world.cancelled_at for job in world.accepted)


def test_deltas_sent_to_an_older_controller_are_detected(monkeypatch):
    from alderbridge.membership.membership import Membership

    all_support = Membership.all_support
    monkeypatch.setattr(
        Membership,
        "all_support",
        lambda self, protocol_version: (
            protocol_version == constants.VERSION_WITH_QUEUE_DELTAS or all_support(self, protocol_version)
        ),
    )
    with pytest.raises(InvariantViolation, match="message format"):
        MixedVersionWorld(41001, ["host-2"], jobs=20, random_faults=False).run(60.0)
