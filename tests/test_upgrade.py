"""What passes between the version in production and this one: bytes, both ways."""

import msgspec
import production
import pytest

from alderbridge import constants
from alderbridge.jobs.dependencies import Graph
from alderbridge.jobs.record import JobState, Record
from alderbridge.membership.membership import Membership
from alderbridge.membership.records import MemberRecord, View
from alderbridge.protocol import messages
from alderbridge.protocol.keys import BUDGETS, CLAIMS, DECLARED, JOBS, LISTS, STOPS
from alderbridge.protocol.wire import JobSpec, WatchEvent
from alderbridge.settings import NextStateLimits, StateLimits
from alderbridge.state.errors import LeaseExpiredError, TransactionTooLargeError
from alderbridge.state.replica import Replica
from alderbridge.state.store import Store

SPEC = JobSpec(
    id="wk-000002",
    job_class="x",
    team="t",
    kind="sweep",
    priority="high",
    tasks=2,
    cpus=1.0,
    memory_gb=1.0,
    image="i",
    image_gb=1.0,
    estimate_s=5.0,
    needs=["wk-000001"],
)


def test_records_frames_and_views_of_the_old_version_are_read():
    for raw in production.RECORDS:
        old, new = msgspec.json.decode(raw, type=production.Record), msgspec.json.decode(raw, type=Record)
        assert (new.state.value, new.accepted_by, new.at, new.start_limit, new.done) == (
            old.state,
            old.home,
            old.at,
            old.mark,
            old.done,
        )
        assert msgspec.json.encode(new) == raw  # and written again as they were
        assert (new.spec is None) == (old.spec is None)
    assert msgspec.json.decode(production.VIEW, type=View).members == {"host-0": 3, "host-1": 7}
    assert msgspec.json.decode(production.PRESENCE, type=MemberRecord) == MemberRecord(7, 1)
    tags = set()
    for raw in production.FRAMES:
        frame = msgspec.msgpack.decode(raw, type=messages.Frame)
        tags.add(frame.body.__struct_config__.tag)
        assert frame.version == "0.1.0" and frame.sender == "host-1"
    new = {
        "Show",
        "Tasks",
        "Keep",
        "QueueChanges",
        "TeamChanges",
        "Status",
        "AllotChanges",
    }  # which no controller sends while an older one takes part
    assert tags == {kind.__struct_config__.tag for kind in messages.Body.__args__} - new


def test_what_this_version_writes_is_read_by_the_old_one():
    record = Record(JobState.ACTIVE, "host-2", 9.0, 5, [(0, 2)], SPEC, "abc/2", 7.0)
    old = msgspec.json.decode(msgspec.json.encode(record), type=production.Record)
    assert (old.state, old.home, old.at, old.mark, old.done, old.spec.id) == (
        "active",
        "host-2",
        9.0,
        5,
        [(0, 2)],
        "wk-000002",
    )
    done = msgspec.json.encode(Record(JobState.DONE, done_at=12.5))
    assert production.value(JOBS + "wk-1", done) == b'{"state":"done"}'
    assert (
        msgspec.json.decode(
            msgspec.json.encode(MemberRecord(7, constants.VERSION_WITH_DEPENDENCIES)), type=production.Presence
        ).permit
        == 7
    )
    row = messages.QueueRow("wk-1", 3, 2, 1.5, 2.0, "a", 0.5, True, False, 2)
    frame = messages.Frame("0.2.0", "host-0", 5, 0, 0, messages.QueueSnapshot([row, row], {}, {}, {}, 1))
    seen = msgspec.msgpack.decode(msgspec.msgpack.encode(frame), type=production.Frame)
    assert len(seen.body.rows) == 2 and seen.body.rows[1].guaranteed is False and seen.body.allots == 1


def test_no_new_key_is_taken_for_one_that_the_old_version_reads():
    """It takes what begins with its own prefixes for a job, a machine or a member, and passes over the rest."""
    for key in (
        f"{LISTS}wk-000002/abc/0",
        f"{DECLARED}hours",
        f"{DECLARED}hours/abc-1/0",
        f"{CLAIMS}n-1",
        f"{STOPS}wk-000002",
        BUDGETS,
    ):
        assert not any(key.startswith(prefix) for prefix in ("ab/j/", "ab/n/", "ab/m/", "ab/view", "ab/types"))


@pytest.mark.parametrize("protocols, kept", [({}, True), ({"host-1": 1}, False), ({"host-2": 1}, False)])
def test_dependencies_are_taken_only_where_no_old_version_could_inherit_them(protocols, kept):
    """It would lose what a job waits for; host-2 is about to take part."""
    membership = Membership("host-0", 12.0)
    membership.observe_view(View("host-0", {"host-0": 1, "host-1": 2}), 5)
    for lease_id, label in enumerate(("host-0", "host-1", "host-2"), 1):
        membership.observe_member(
            label, MemberRecord(lease_id, protocols.get(label, constants.VERSION_WITH_DEPENDENCIES)), lease_id
        )
    assert membership.all_support(constants.VERSION_WITH_DEPENDENCIES) is kept


def test_a_lost_moment_of_readiness_costs_only_time():
    """An old version ends a needed job: the record does not say when, so the times count from the submission."""
    graph = Graph(lambda spec: 1.0)
    replica = Replica(Membership("host-0", 12.0), graph)
    record = Record(JobState.ACTIVE, "host-0", 50.0, 2, [], SPEC)
    replica.apply(WatchEvent(put=JOBS + SPEC.id, data=msgspec.Raw(msgspec.json.encode(record)), revision=3))
    assert graph.waiting(SPEC.id)
    replica.apply(WatchEvent(put=JOBS + "wk-000001", data=msgspec.Raw(b'{"state":"done"}'), revision=4))
    assert not graph.waiting(SPEC.id) and graph.ready_at(SPEC.id) == 50.0


def test_the_tighter_limits_hold_from_the_start():
    state = StateLimits(100.0, 20.0, 4.0, 12, NextStateLimits(value_kb=2.0, txn_ops=40))
    assert state.effective == StateLimits(100.0, 20.0, 2.0, 12)
    assert StateLimits(100.0, 20.0, 4.0, 12).effective == StateLimits(100.0, 20.0, 4.0, 12)


@pytest.mark.parametrize(
    "text, error",
    [
        (b'{"error":"the value is too large"}', TransactionTooLargeError),
        (b'{"error":"no such lease"}', LeaseExpiredError),
    ],
)
def test_a_value_that_is_too_large_is_not_a_lost_store_lease(text, error):
    store = Store("127.0.0.1:1")

    async def call(*args):
        return 400, text

    store._call = call
    with pytest.raises(error):
        store.commit({}, {"ab/x": 1}).send(None)


def test_nobody_acts_longer_than_an_older_member_believes():
    """It takes a view for settled after 12 s: who acted for 20 s would renew leases that it holds for lapsed."""
    membership = Membership("host-0", 20.0, 12.0)
    membership.store_lease.record_renewal(1, 0.0)
    membership.record_sync(0.0)
    for label, lease_id, protocol_version in (("host-0", 1, constants.PROTOCOL_VERSION), ("host-1", 2, 1)):
        membership.observe_member(label, MemberRecord(lease_id, protocol_version), lease_id)
    membership.observe_view(View("host-0", {"host-0": 1, "host-1": 2}), 5)
    assert membership.may_act(11.0) and not membership.may_act(12.0)
    membership.observe_member("host-1", MemberRecord(3, constants.PROTOCOL_VERSION), 6)  # it is back as the newer one
    assert not membership.may_act(12.0), "the view still names the older one"
    membership.observe_view(View("host-0", {"host-0": 1, "host-1": 3}), 7)
    assert membership.may_act(19.0) and not membership.may_act(20.0)
