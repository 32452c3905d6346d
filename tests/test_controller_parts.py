"""Components around a controller's core: request routing, and the loops' handling of cloud errors."""

import logging

import curio
import pytest
from controller_clock import patch_now
from simulation import LABELS, platform

from alderbridge.cloud import CloudError, NoCapacityError
from alderbridge.controller.loops.machine_types import MachineTypesLoop
from alderbridge.controller.loops.memory import MemoryLoop, resident_memory_mb
from alderbridge.controller.loops.scaling import ScalingLoop
from alderbridge.controller.process import Controller
from alderbridge.settings import Tuning
from alderbridge.transport.errors import UnansweredError
from alderbridge.transport.selector import EpollSelector
from alderbridge.transport.token_bucket import TokenBucket


@pytest.fixture
def controller():
    return Controller(platform("host-0", LABELS), Tuning(), EpollSelector())


@pytest.mark.parametrize(
    "method, target, status, allowed",
    [
        ("GET", "/agent/beat", 405, "POST"),
        ("POST", "/healthz", 405, "GET"),
        ("GET", "/v1/jobs", 405, "POST"),
        ("GET", "/v1/jobs?x=1", 405, "POST"),
        ("POST", "/v1/jobs/wk-000001", 405, "GET"),
        ("POST", "/v1/jobs/", 405, "GET"),
        ("GET", "/v1/jobs/wk-000001/withdraw", 405, "POST"),
        ("GET", "/v1/jobs/wk-000001/withdraw?x=1", 405, "POST"),
        ("GET", "/v1/jobs/", 404, None),
        ("GET", "/v1/jobs/wk-000001/withdraw/", 404, None),
        ("GET", "/v1/jobs/wk-000001/other", 404, None),
        ("POST", "/agent/beat/", 404, None),
        ("GET", "/", 404, None),
        ("POST", "/agent/beat?x=1", 400, None),
        ("GET", "/healthz?x=1", 503, None),
    ],
)
def test_routes_accept_only_their_method_and_other_paths_are_not_found(controller, method, target, status, allowed):
    answer = controller.router.handle(method, target, b"", lambda answer: None)
    assert answer[0] == status and dict(answer[2]).get("Allow") == allowed


class FailingCloud:
    """A cloud whose requests all raise the given error."""

    def __init__(self, error: Exception) -> None:
        self.error = error

    async def machine_types(self):
        raise self.error

    async def list_page(self, after):
        raise self.error


class LoopStopped(Exception):
    """Ends a loop that has no exit."""


def run_until_second_sleep(monkeypatch, loop):
    iterations = []

    async def sleep(seconds):
        iterations.append(seconds)
        if len(iterations) == 2:
            raise LoopStopped

    monkeypatch.setattr(curio, "sleep", sleep)
    loop().send(None)  # completes without suspending


@pytest.fixture
def leader_controller(controller, monkeypatch):
    """A controller that is the leader and has a machine type."""
    patch_now(monkeypatch, lambda: 100.0)
    monkeypatch.setattr(controller.membership, "is_leader", lambda now: True)
    controller.core.machine_shard.capacity.types = {"large": None}
    return controller


@pytest.mark.parametrize(
    "error, ends_loop", [(NoCapacityError("x"), True), (CloudError("x"), False), (UnansweredError("x"), False)]
)
def test_no_capacity_error_outside_a_rental_ends_the_scaling_loop(leader_controller, monkeypatch, error, ends_loop):
    """For a machine list this error is unexpected: the loop ends, and its supervisor logs the exception."""
    loop = ScalingLoop(
        leader_controller.core, FailingCloud(error), TokenBucket(9.0, 9.0, 100.0), leader_controller.dispatch_effects
    )
    with pytest.raises(NoCapacityError if ends_loop else LoopStopped):
        run_until_second_sleep(monkeypatch, loop.keep_machines)


@pytest.mark.parametrize("error", [NoCapacityError("x"), CloudError("x"), UnansweredError("x")])
def test_machine_types_loop_continues_after_any_cloud_error(leader_controller, monkeypatch, error):
    loop = MachineTypesLoop(
        leader_controller.core, leader_controller.store, FailingCloud(error), TokenBucket(9.0, 9.0, 100.0)
    )
    with pytest.raises(LoopStopped):
        run_until_second_sleep(monkeypatch, loop.keep_types)


def test_memory_is_logged_only_when_it_has_changed_by_a_share_of_the_limit(caplog):
    loop = MemoryLoop(200.0)
    with caplog.at_level(logging.INFO):
        for resident_mb in (30.0, 49.0, None, 50.0, 69.0, 120.0, 101.0, 100.0):
            loop.observe(resident_mb)
    assert [record.args for record in caplog.records] == [(30.0, 200.0), (50.0, 200.0), (120.0, 200.0), (100.0, 200.0)]


def test_memory_of_this_process_is_readable_and_a_platform_without_it_is_not_an_error(tmp_path):
    assert 1.0 < resident_memory_mb() < 100_000.0
    assert resident_memory_mb(tmp_path / "missing") is None
    (tmp_path / "statm").write_text("other\n")
    assert resident_memory_mb(tmp_path / "statm") is None
