"""The unanswered time that a controller logs for a job covers only times in which it could not respond."""

import pytest
from controller_clock import patch_now
from simulation import LABELS, platform

from alderbridge import constants
from alderbridge.controller.process import Controller
from alderbridge.controller.responses import Response
from alderbridge.protocol import wire
from alderbridge.settings import Tuning
from alderbridge.transport.selector import EpollSelector

JOB = "wk-000001"
POLL_S = 25.0  # interval of requests at one of five controllers: the user polls every 5 s, each time at the next one
OUTAGES = ((72.0, 130.0), (152.5, 210.5))


@pytest.fixture
def simulate(monkeypatch, caplog):
    """``simulate(request_times, refuses)``: the unanswered times logged; the store is unavailable in ``OUTAGES``."""
    controller, clock = Controller(platform("host-0", LABELS), Tuning(), EpollSelector()), [0.0]
    patch_now(monkeypatch, lambda: clock[0])
    caplog.set_level("INFO")

    def store_unavailable(now):
        return any(begin <= now < end for begin, end in OUTAGES)

    def run(request_times, refuses, slow=False):
        for step in range(2400):
            clock[0] = step / 10
            if not store_unavailable(clock[0]):  # the store responds to the watch
                controller.replica_loop.record_watch_answer(clock[0] - constants.STORE_TIMEOUT_S if slow else clock[0])
            if clock[0] in request_times:
                controller.users_api.status.finalize_status(
                    JOB,
                    Response(503, b"", [])
                    if refuses(clock[0]) or store_unavailable(clock[0])
                    else Response(200, wire.job_status_body(JOB, "pending", 0, 0), []),
                )
        return [record.args[1] for record in caplog.records]

    return run


@pytest.mark.parametrize("first", (53.0, 54.5, 77.5, 79.0))
def test_a_job_that_nobody_asks_about_between_two_outages_is_not_called_unanswered_through_both(simulate, first):
    """This controller got no request between the outages, but could have responded then."""
    request_times = [first + POLL_S * number for number in range(7)]
    assert not any(OUTAGES[0][1] <= time < OUTAGES[1][0] for time in request_times)
    logged_s = simulate(request_times, lambda time: False)
    assert logged_s == [25.0, 50.0] * 2, "each outage is logged separately and not beyond its length"


def test_a_job_unanswered_before_and_after_outages_is_logged_with_the_whole_time(simulate):
    """The 503 responses began while the store was available, so the outages are not their cause."""
    assert simulate([60.0 + 5.0 * number for number in range(36)], lambda time: True)[-1] == 175.0


def test_a_job_still_unanswered_after_an_outage_is_counted_from_its_end(simulate):
    assert simulate([80.0 + 5.0 * number for number in range(21)], lambda time: True) == [25.0, 25.0, 50.0]


def test_slow_watch_responses_do_not_reset_the_unanswered_time(simulate):
    assert simulate([80.0 + 5.0 * number for number in range(21)], lambda time: True, slow=True)[-1] == 100.0
