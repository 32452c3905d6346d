"""Encoded records and messages are readable in both directions between version 0.1.0 and this version."""

import msgspec
import production
import pytest

from alderbridge import constants
from alderbridge.jobs.dependencies import Graph
from alderbridge.jobs.record import JobState, Record
from alderbridge.membership.membership import Membership
from alderbridge.membership.records import MemberRecord, View
from alderbridge.protocol import messages
from alderbridge.protocol.keys import (
    CLAIMS,
    CONFIGURATIONS,
    DEPENDENCY_LISTS,
    JOB_PREEMPTIONS,
    JOBS,
    PREEMPTION_BUDGETS,
)
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
    dependencies=["wk-000001"],
)


def test_records_frames_and_views_of_the_old_version_are_read():
    for raw in production.RECORDS:
        old, new = msgspec.json.decode(raw, type=production.Record), msgspec.json.decode(raw, type=Record)
        assert (new.state.value, new.accepted_by, new.submitted_at, new.start_limit, new.done) == (
            old.state,
            old.home,
            old.at,
            old.mark,
            old.done,
        )
        assert msgspec.json.encode(new) == raw  # unchanged when written again
        assert (new.spec is None) == (old.spec is None)
    assert msgspec.json.decode(production.VIEW, type=View).members == {"host-0": 3, "host-1": 7}
    assert msgspec.json.decode(production.PRESENCE, type=MemberRecord) == MemberRecord(7, 1)
    tags = set()
    for raw in production.FRAMES:
        frame = msgspec.msgpack.decode(raw, type=messages.Frame)
        tags.add(frame.body.__struct_config__.tag)
        assert frame.version == "0.1.0" and frame.sender == "host-1"
    # not sent while an older version is a member
    new = {
        "Show",
        "Tasks",
        "Keep",
        "QueueChanges",
        "TeamChanges",
        "Status",
        "AllotChanges",
    }
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


def test_no_new_key_has_a_prefix_that_the_old_version_reads():
    """The old version decodes each key with one of its prefixes as a job, machine or member and ignores others."""
    for key in (
        f"{DEPENDENCY_LISTS}wk-000002/abc/0",
        f"{CONFIGURATIONS}hours",
        f"{CONFIGURATIONS}hours/abc-1/0",
        f"{CLAIMS}n-1",
        f"{JOB_PREEMPTIONS}wk-000002",
        PREEMPTION_BUDGETS,
    ):
        assert not any(key.startswith(prefix) for prefix in ("ab/j/", "ab/n/", "ab/m/", "ab/view", "ab/types"))


@pytest.mark.parametrize("protocols, accepted", [({}, True), ({"host-1": 1}, False), ({"host-2": 1}, False)])
def test_dependencies_are_accepted_only_if_no_old_version_can_inherit_them(protocols, accepted):
    """An old version would drop a job's dependencies; host-2 is registered but not yet in the view."""
    membership = Membership("host-0", 12.0)
    membership.observe_view(View("host-0", {"host-0": 1, "host-1": 2}), 5)
    for lease_id, label in enumerate(("host-0", "host-1", "host-2"), 1):
        membership.observe_member(
            label, MemberRecord(lease_id, protocols.get(label, constants.VERSION_WITH_DEPENDENCIES)), lease_id
        )
    assert membership.all_support(constants.VERSION_WITH_DEPENDENCIES) is accepted


def test_job_with_unknown_dependency_end_time_is_ready_since_its_submission():
    """The old version's record of a finished dependency has no end time, so the job is ready since its submission."""
    graph = Graph(lambda spec: 1.0)
    replica = Replica(Membership("host-0", 12.0), graph)
    record = Record(JobState.ACTIVE, "host-0", 50.0, 2, [], SPEC)
    replica.apply(WatchEvent(put=JOBS + SPEC.id, data=msgspec.Raw(msgspec.json.encode(record)), revision=3))
    assert graph.waiting(SPEC.id)
    replica.apply(WatchEvent(put=JOBS + "wk-000001", data=msgspec.Raw(b'{"state":"done"}'), revision=4))
    assert not graph.waiting(SPEC.id) and graph.ready_at(SPEC.id) == 50.0


def test_effective_state_limits_are_the_tighter_ones():
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
def test_too_large_value_is_not_an_expired_store_lease(text, error):
    store = Store("127.0.0.1:1")

    async def call(*args):
        return 400, text

    store._call = call
    with pytest.raises(error):
        store.commit({}, {"ab/x": 1}).send(None)


def test_members_act_no_longer_than_the_ttl_of_an_older_member():
    """An older member treats a view as settled after 12 s; acting longer would renew leases that it deems expired."""
    membership = Membership("host-0", 20.0, 12.0)
    membership.store_lease.record_renewal(1, 0.0)
    membership.record_sync(0.0)
    for label, lease_id, protocol_version in (("host-0", 1, constants.PROTOCOL_VERSION), ("host-1", 2, 1)):
        membership.observe_member(label, MemberRecord(lease_id, protocol_version), lease_id)
    membership.observe_view(View("host-0", {"host-0": 1, "host-1": 2}), 5)
    assert membership.may_act(11.0) and not membership.may_act(12.0)
    membership.observe_member("host-1", MemberRecord(3, constants.PROTOCOL_VERSION), 6)  # upgraded
    assert not membership.may_act(12.0), "the view still names the older process"
    membership.observe_view(View("host-0", {"host-0": 1, "host-1": 3}), 7)
    assert membership.may_act(19.0) and not membership.may_act(20.0)
