"""Unreadable store records: each is logged with its key, and does not affect other records and requests.

A single such record must not stop the watch, the load of the replica or the controller's other transactions.
"""

import curio
import msgspec
import pytest
from simulation import LABELS, TYPES, World, platform
from test_bad_input import JOB as FIELDS
from test_capacity_under_faults import RateLimitedStoreWorld, array

from alderbridge.controller.process import Controller
from alderbridge.jobs.record import JobState, Record
from alderbridge.protocol import wire
from alderbridge.protocol.keys import DEPENDENCY_LISTS, JOBS, MACHINES, MEMBERS, VIEW
from alderbridge.protocol.keys import MACHINE_TYPES as TYPES_KEY
from alderbridge.settings import Tuning
from alderbridge.state import errors
from alderbridge.transport.selector import EpollSelector

JOB = "wk-000412"
GARBAGE = b'{"state": 17, "x": []}'


@pytest.fixture
def controller(monkeypatch):
    controller = Controller(platform("host-0", LABELS[:3]), Tuning(), EpollSelector())
    controller.core.state.loaded = True
    controller.core.machine_types.update(TYPES)
    monkeypatch.setattr(controller.core.membership, "may_act", lambda now: True)

    async def get(key: str):
        return wire.KeyValue(key, msgspec.Raw(GARBAGE), 5) if key == JOBS + JOB else None

    controller.store.get = get
    return controller


def body(job: str) -> bytes:
    return msgspec.json.encode({**FIELDS, "id": job})


def unreadable_lines(caplog) -> list[str]:
    return [record.getMessage() for record in caplog.records if "state=unreadable" in record.getMessage()]


@pytest.mark.parametrize("in_replica", (False, True))  # whether the replica has received the record
def test_requests_for_an_unreadable_job_get_503_and_other_jobs_are_served(controller, caplog, in_replica):
    if in_replica:
        controller.core.store_follower.apply_events(
            [wire.WatchEvent(put=JOBS + JOB, data=msgspec.Raw(GARBAGE), revision=5)], 1.0, 1.0
        )
    caplog.clear()
    users = controller.users_api
    assert curio.run(users.status.status, JOB)[0] == 503
    [line] = unreadable_lines(caplog)
    assert JOBS + JOB in line and "cause=" in line and "\n" not in line
    assert curio.run(users.cancellations.cancel, JOB)[0] == 503
    assert curio.run(users.submissions.submit, body(JOB)[:-3])[0] == 503, "not 400: the job may have been accepted"
    assert not controller.store_backoff.is_active(), "the store is reachable, so other jobs are accepted"
    assert curio.run(users.status.status, "wk-000413")[0] == 404
    if in_replica:
        assert curio.run(users.submissions.submit, body(JOB))[0] == 503


@pytest.mark.parametrize("key", (JOBS + JOB, MACHINES + "n-1", DEPENDENCY_LISTS + JOB + "/0", TYPES_KEY))
def test_an_unreadable_change_is_logged_and_later_changes_are_applied(controller, caplog, key):
    other = Record(JobState.DONE)
    events = [
        wire.WatchEvent(put=key, data=msgspec.Raw(b'"?"'), revision=5),
        wire.WatchEvent(put=JOBS + "wk-000001", data=msgspec.Raw(msgspec.json.encode(other)), revision=6),
    ]
    controller.core.store_follower.apply_events(events, 1.0, 1.0)
    replica = controller.core.replica
    assert replica.ended["wk-000001"] is JobState.DONE
    [line] = unreadable_lines(caplog)
    assert key in line and "cause=" in line
    if key.startswith(MACHINES):
        assert replica.machine_revisions == {"n-1": 5}, "views wait for this machine although its record is unreadable"
    if key.startswith(JOBS):
        assert controller.core.directory.knows_job(JOB), "not 404: the job may have been accepted"


@pytest.mark.parametrize("key", (VIEW, MEMBERS + "host-1"))
def test_an_unreadable_view_or_member_key_is_not_skipped(controller, key):
    event = wire.WatchEvent(put=key, data=msgspec.Raw(b'"?"'), revision=5)
    with pytest.raises(errors.UnreadableRecordError, match=key):
        controller.core.store_follower.apply_events([event], 1.0, 1.0)


def test_a_submission_that_conflicts_with_an_unreadable_record_does_not_block_others():
    world = RateLimitedStoreWorld(3)
    world.run(5.0)
    sim = world.controllers["host-1"]
    # Written by another controller; the watch has not delivered it yet.
    world.store.data[JOBS + "wk-000001"] = (GARBAGE, world.store.revision, None)
    outcomes: dict[int, str] = {}
    for _ in range(3):  # the user retries a submission whose transaction was refused
        submissions = {n: sim.core.submissions.submit(array(n), world.t, world.t) for n in (1, 2) if n not in outcomes}
        world.run(world.t + 3.0)
        outcomes |= {n: submission.outcome for n, submission in submissions.items() if submission.outcome != "refused"}
    assert outcomes == {1: "known", 2: "accepted"}


def test_controllers_serve_readable_records_after_all_of_them_restart():
    world = World(7, random_faults=False, jobs=6)
    world.run(60.0)
    world.store.revision += 1
    world.store.data[JOBS + JOB] = (GARBAGE, world.store.revision, None)
    world.store.data[MACHINES + "n-999999"] = (b'"?"', world.store.revision, None)
    for sim in world.controllers.values():
        sim.crash()
        world.after(1.0, world.restart, sim)
    world.run(400.0)
    assert all(sim.core.state.loaded for sim in world.controllers.values())
    assert world.accepted and {
        world.reported_ends.get(job) for job in world.accepted if not world.specs[job].service
    } <= {
        "done",
        "aborted",
    }
