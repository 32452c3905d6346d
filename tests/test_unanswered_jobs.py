"""The time without an answer that a controller names is one in which none could be had there."""

import pytest
from controller_clock import patch_now
from simulation import LABELS, platform

from alderbridge import constants
from alderbridge.controller.process import Controller
from alderbridge.controller.responses import Response
from alderbridge.protocol import wire
from alderbridge.settings import Tuning
from alderbridge.transport.selector import Poll

JOB = "wk-000001"
POLL_S = 25.0  # from one question about a job to the next at the same of five controllers: users ask each 5 s
OUTAGES = ((72.0, 130.0), (152.5, 210.5))


@pytest.fixture
def day(monkeypatch, caplog):
    """``day(asked, refuses)``: for how long a controller calls a job unanswered; the store is away in ``OUTAGES``."""
    control, clock = Controller(platform("host-0", LABELS), Tuning(), Poll()), [0.0]
    patch_now(monkeypatch, lambda: clock[0])
    caplog.set_level("INFO")

    def away(at):
        return any(begin <= at < end for begin, end in OUTAGES)

    def play(asked, refuses, slow=False):
        for step in range(2400):
            clock[0] = step / 10
            if not away(clock[0]):  # the watch is answered at once where the store can be reached
                control.replica_loop.record_watch_answer(clock[0] - constants.STATE_TIMEOUT_S if slow else clock[0])
            if clock[0] in asked:
                control.users_api.status.finalize_status(
                    JOB,
                    Response(503, b"", [])
                    if refuses(clock[0]) or away(clock[0])
                    else Response(200, wire.job_status_body(JOB, "pending", 0, 0), []),
                )
        return [record.args[1] for record in caplog.records]

    return play


@pytest.mark.parametrize("first", (53.0, 54.5, 77.5, 79.0))
def test_a_job_that_nobody_asks_about_between_two_outages_is_not_called_unanswered_through_both(day, first):
    """Another controller has answered its user in between, and this one could have."""
    asked = [first + POLL_S * number for number in range(7)]
    assert not any(OUTAGES[0][1] <= at < OUTAGES[1][0] for at in asked)
    named = day(asked, lambda at: False)
    assert named == [25.0, 50.0] * 2, "each outage on its own, and none of them for longer than it was"


def test_a_job_whose_job_shard_tells_nothing_is_named_for_all_of_that_time_outages_included(day):
    """It began while the store was there, and goes on when it is there again: the job's own fault."""
    assert day([60.0 + 5.0 * number for number in range(36)], lambda at: True)[-1] == 175.0


def test_what_goes_on_after_an_outage_is_counted_from_its_end(day):
    assert day([80.0 + 5.0 * number for number in range(21)], lambda at: True) == [25.0, 25.0, 50.0]


def test_a_store_that_answers_its_watch_alone_and_slowly_ends_nothing(day):
    assert day([80.0 + 5.0 * number for number in range(21)], lambda at: True, slow=True)[-1] == 100.0
