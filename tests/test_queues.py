"""Queues told as changes: what a member knows is what the home told, whatever is lost, late or slow."""

import random

import msgspec
import pytest
from simulation import Broken, SimController, World

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
OLDER = constants.VERSION_WITH_QUEUE_DELTAS - 1
NEW_MESSAGES = (messages.QueueDelta, messages.TeamUsageDelta, messages.PeerStatus, messages.QuotaDelta)


def row(job, waiting=5, offer=5, due=30.0, waited=1.0, **more):
    return messages.QueueRow(job, waiting, offer, due, 10.0, None, waited, False, False, **more)


def spec(job, cpus=2.0):
    return JobSpec(job, "x", "t", "sweep", "standard", 9, cpus, 1.0, "i", 1.0, 10.0)


class Link:
    """A channel as the teller sees it."""

    def __init__(self):
        self.received, self.peer_fencing_token, self.unacknowledged = 0, 1, 0

    def backlog(self):
        return self.unacknowledged


class Run:
    """A home whose queue changes at random, and two members of which the second is slow after its first seconds."""

    def __init__(self, seed):
        self.rng, self.now = random.Random(seed), 100.0
        self.queue_publisher = QueuePublisher("home")
        self.jobs: dict[str, dict] = {}
        self.sums: dict[str, tuple[float, float]] = {}
        self.allocations_received = 0
        self.links = {"leader": Link(), "part": Link()}
        self.known = {label: ShardQueue() for label in ("home", *self.links)}
        self.clocks = {label: SenderClock() for label in self.known}
        self.in_flight: dict[str, list[messages.Message]] = {label: [] for label in self.links}
        self.messages = 0

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
            self.sums[rng.choice(TEAMS)] = (float(rng.choice([0, 0, 4, 8])), 0.0)
        self.allocations_received += rng.random() < 0.1

    def snapshot(self):
        rows = [
            row(job, one["waiting"], one["offer"], one["arrived"] + 60.0 - self.now, self.now - one["arrived"])
            for job, one in self.jobs.items()
        ]
        reserved = {team: amounts for team, amounts in self.sums.items() if amounts != (0.0, 0.0)}
        return QueueState(rows, reserved, reserved, {}, self.allocations_received)

    def step(self):
        self.now += constants.ROUND_S
        self.change()
        one = PublishRound(self.now, 1, "leader", self.links, self.snapshot(), messages.PeerStatus([], [], 0))
        for told in self.queue_publisher.publish(one, True):
            if told.label in self.links and told.numbered:
                self.in_flight[told.label].append(told.message)
                self.links[told.label].unacknowledged += 1
            elif told.label == "home":
                self.take("home", told.message)
        self.arrive("leader", 1.0)
        self.arrive("part", 1.0 if self.now < 104.0 else 0.05)

    def arrive(self, label, share):
        """Messages reach a member in order, after a while."""
        while self.in_flight[label] and self.rng.random() < share:
            self.take(label, self.in_flight[label].pop(0))
            self.links[label].unacknowledged -= 1

    def take(self, label, message):
        self.messages += 1
        if isinstance(message, messages.QueueDelta):
            self.known[label].apply_row_delta(message, self.clocks[label].local_time(message.at + 7.0, self.now))
        elif isinstance(message, messages.TeamUsageDelta):
            self.known[label].apply_usage_delta(message)

    def check(self, label, offered_only):
        """Rows within what may wait, and no other job; sums to the letter."""
        rows = {one.job: one for one in self.snapshot().rows if one.offer > 0 or not offered_only}
        known = {one.job: one for one in self.known[label].aged_rows(self.now)}
        assert known.keys() == rows.keys()
        for job, now in rows.items():
            assert abs(known[job].due_in_s - now.due_in_s) <= constants.QUEUE_TIME_S + 1e-6
            assert abs(known[job].waiting - now.waiting) * constants.QUEUE_SHARE <= max(
                known[job].waiting, constants.QUEUE_SHARE
            )
        if not offered_only:
            snapshot = self.snapshot()
            assert (self.known[label].used, self.known[label].reserved) == (snapshot.used, snapshot.reserved)
            assert self.known[label].allocations_received == snapshot.allocations_received


@pytest.mark.parametrize("seed", range(6))
def test_members_know_what_the_job_shard_told_however_slow_they_are(seed):
    run = Run(seed)
    for _ in range(400):
        run.step()
        run.check("leader", offered_only=False)
        assert run.links["part"].unacknowledged <= constants.QUEUE_BACKLOG
    run.arrive("part", 1.0)
    run.step()
    run.arrive("part", 1.0)
    run.check("part", offered_only=True)
    run.check("home", offered_only=True)


def test_what_was_held_up_counts_from_when_it_was_made():
    clock = SenderClock()
    assert clock.local_time(10.0, 500.0) == 500.0, "nothing better is known"
    assert clock.local_time(20.0, 509.0) == 509.0, "it was quicker"
    assert clock.local_time(30.0, 527.0) == pytest.approx(519.0, abs=0.02), "held up for 8 s"
    assert clock.local_time(630.0, 1119.5) == pytest.approx(1119.5, abs=0.7), "clocks drift apart"


def test_a_lost_change_is_seen_by_that(monkeypatch):
    """The check above fails where one message does not arrive: the channel's order is what all of it rests on."""
    run = Run(1)
    for _ in range(20):
        run.step()
    run.in_flight["leader"] = []
    real = run.take
    monkeypatch.setattr(run, "take", lambda label, message: label == "leader" or real(label, message))
    run.jobs["wk-99"] = {"waiting": 3, "offer": 3, "arrived": run.now}
    run.step()
    monkeypatch.setattr(run, "take", real)
    with pytest.raises(AssertionError):
        for _ in range(5):
            run.step()
            run.check("leader", offered_only=False)


def test_who_is_far_behind_is_told_the_whole_queue():
    delta_tracker = DeltaTracker()
    delta_tracker.update([row(f"wk-{number}") for number in range(3)], 0.0)
    assert delta_tracker.delta_for("slow", True).whole and delta_tracker.delta_for("quick", True).whole
    for at in range(1, constants.QUEUE_ENDED_JOBS + 10):
        delta_tracker.update([row(f"wk-{3 + at}")], float(at))
        delta_tracker.delta_for("quick", True)
    assert len(delta_tracker.gone) <= constants.QUEUE_ENDED_JOBS
    changes = delta_tracker.delta_for("slow", True)
    assert changes.whole and len(changes.rows) == 1


def test_small_differences_wait_for_a_second_and_large_ones_do_not():
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
    assert delta_tracker.delta_for("a", True) is None, "nothing but the time has passed"
    delta_tracker.resend_row("a", "wk-2")
    assert [one.job for one in delta_tracker.delta_for("a", True).rows] == ["wk-2"], "its copy was counted down"
    assert delta_tracker.delta_for("a", True) is None


def test_machine_shards_are_told_what_is_on_offer_and_the_leader_all():
    delta_tracker = DeltaTracker()
    delta_tracker.update([row("wk-1"), row("wk-2", offer=0)], 0.0)
    assert [one.job for one in delta_tracker.delta_for("part", False).rows] == ["wk-1"]
    assert [one.job for one in delta_tracker.delta_for("leader", True).rows] == ["wk-1", "wk-2"]
    delta_tracker.update([row("wk-1", offer=0), row("wk-2")], 0.2)
    changes = delta_tracker.delta_for("part", False)
    assert [one.job for one in changes.rows] == ["wk-2"] and changes.gone == ["wk-1"]


def test_a_late_whole_queue_hides_no_change():
    known, book = ShardQueue(), OfferBook(spec)
    stale = messages.QueueSnapshot([row("wk-1"), row("wk-2")], {"t": (4.0, 0.0)}, {"t": (4.0, 0.0)}, {}, 1)
    assert known.apply_snapshot(stale, 1.0)
    book.apply_snapshot("a", stale, 1.0)
    changes = messages.QueueDelta(0.0, [row("wk-2", offer=1)], [], True)
    known.apply_row_delta(changes, 2.0)
    book.apply_delta("a", changes, 2.0)
    known.apply_usage_delta(
        messages.TeamUsageDelta({"t": messages.TeamUsage((9.0, 0.0), (9.0, 0.0), (9.0, 0.0))}, 2, True)
    )
    assert not known.apply_snapshot(stale, 2.1)
    book.apply_snapshot("a", stale, 2.1)
    assert (
        [one.job for one in known.rows] == ["wk-2"]
        and known.reserved == {"t": (9.0, 0.0)}
        and known.allocations_received == 2
    )
    assert [entry[-1].row.job for entry in book.offers.in_order()] == ["wk-2"]


def test_a_row_waits_for_its_jobs_record():
    """It is told once: passed over, its job would have waited until something of it changed."""
    records = {}
    book = OfferBook(records.get)
    book.apply_delta("a", messages.QueueDelta(0.0, [row("wk-1"), row("wk-2")], [], True), 5.0)
    book.resolve_unknown_jobs()
    assert not book.offers.in_order()
    records["wk-1"] = spec("wk-1")
    book.resolve_unknown_jobs()
    assert [entry[-1].row.job for entry in book.offers.in_order()] == ["wk-1"]
    book.apply_delta("a", messages.QueueDelta(0.0, [], ["wk-2"], False), 6.0)
    records["wk-2"] = spec("wk-2")
    book.resolve_unknown_jobs()
    assert [entry[-1].row.job for entry in book.offers.in_order()] == ["wk-1"]


@pytest.mark.parametrize("seed", range(4))
def test_offers_that_change_stand_in_the_order_of_all_told_anew(seed):
    rng = random.Random(seed)
    changed, anew, rows = OfferBook(spec), OfferBook(spec), {}
    changed.apply_delta("a", messages.QueueDelta(0.0, [], [], True), 0.0)
    for step in range(200):
        job = f"wk-{rng.randint(0, 20)}"
        if rng.random() < 0.3:
            rows.pop(job, None)
            changed.apply_delta("a", messages.QueueDelta(0.0, [], [job], False), 0.0)
        else:
            rows[job] = row(
                job, offer=rng.randint(0, 3), due=rng.choice([5.0, 9.0, 30.0]), priority_boost=rng.choice([0, 0, 1])
            )
            changed.apply_delta("a", messages.QueueDelta(0.0, [rows[job]], [], False), 0.0)
        if step % 3 == 0:
            changed.offers.in_order()  # from here on it is kept in order
        anew.apply_snapshot("a", messages.QueueSnapshot(list(rows.values()), {}, {}, {}, 0), 0.0)
        told = [entry[:5] for entry in changed.offers.in_order()]
        assert told == [entry[:5] for entry in anew.offers.in_order()]
        assert changed.offers.least_cpus == anew.offers.least_cpus


def test_a_member_lends_what_others_left_of_their_share():
    share = WriteRateLimit(90.0, 3, 0.0)
    assert share.budget.rate == 30.0
    share.is_short = True
    share.refresh(0.1)
    share.record_peer_rate("a", 5, 0.1)
    share.record_peer_rate("b", 30, 0.1)
    share.refresh(0.2)
    assert share.reported_rate == 30 and share.budget.rate == 30.0 + 25.0 / 2
    share.refresh(0.2 + constants.LENT_RATE_TTL_S)
    assert share.budget.rate == 30.0, "what was told long ago is not lent"


# -- versions side by side -----------------------------------------------------------------


class Mixed(SimController):
    """The controllers in ``world.older`` run the version before: they write its generation and read no new form."""

    def call(self, then, fail, method, *args, **more):
        if self.label in self.world.older:
            args = [self.as_older(one) for one in args]
        super().call(then, fail, method, *args, **more)

    @staticmethod
    def as_older(argument):
        if not isinstance(argument, dict):
            return argument
        return {
            key: msgspec.structs.replace(value, protocol_version=OLDER) if isinstance(value, MemberRecord) else value
            for key, value in argument.items()
        }

    def flush(self):
        if self.core is not None:
            for label, frame in self.core.effects.outgoing_frames:
                self.world.sent.add(type(frame.body))
                known_older = self.core.membership.protocol_versions.get(label) == OLDER
                if (self.label in self.world.older or known_older) and isinstance(frame.body, NEW_MESSAGES):
                    raise Broken(f"form: {type(frame.body).__name__} from {self.label} to {label}")
        super().flush()


class MixedWorld(World):
    process = Mixed

    def __init__(self, seed, older, **more):
        self.older, self.sent = set(older), set()
        super().__init__(seed, **more)


@pytest.mark.parametrize("seed", (41001, 41002))
def test_changes_are_told_once_the_last_older_controller_has_gone_and_not_again_when_one_is_back(seed):
    world = MixedWorld(seed, ["host-2"], jobs=20, random_faults=False)
    world.run(60.0)
    assert messages.QueueSnapshot in world.sent and not world.sent & set(NEW_MESSAGES)
    world.nodes["host-2"].crash()
    world.older.clear()
    world.restart(world.nodes["host-2"])
    world.run(100.0)
    assert {messages.QueueDelta, messages.TeamUsageDelta, messages.PeerStatus} <= world.sent
    assert all(sim.core.queue_round.publisher.form.name == "CHANGES" for sim in world.nodes.values())
    world.nodes["host-1"].crash()
    world.older.add("host-1")
    world.restart(world.nodes["host-1"])
    world.run(130.0)
    assert all(sim.core.queue_round.publisher.form.name == "WHOLE_QUEUES" for sim in world.nodes.values())
    world.run(700.0)
    assert all(world.said.get(job) or job in world.cancelled_at for job in world.accepted)


def test_an_older_controller_that_is_told_changes_is_seen(monkeypatch):
    from alderbridge.membership.membership import Membership

    real = Membership.all_support
    monkeypatch.setattr(
        Membership,
        "all_support",
        lambda self, protocol_version: (
            protocol_version == constants.VERSION_WITH_QUEUE_DELTAS or real(self, protocol_version)
        ),
    )
    with pytest.raises(Broken, match="form"):
        MixedWorld(41001, ["host-2"], jobs=20, random_faults=False).run(60.0)
