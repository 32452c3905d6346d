"""The parts around a controller's core, one by one: routing, and how the loops take what the cloud answers."""

import curio
import pytest
from controller_clock import patch_now
from simulation import LABELS, platform

from alderbridge.cloud import CloudError, NoCapacityError
from alderbridge.controller.loops.machine_types import MachineTypesLoop
from alderbridge.controller.loops.scaling import ScalingLoop
from alderbridge.controller.process import Controller
from alderbridge.settings import Tuning
from alderbridge.transport.errors import UnansweredError
from alderbridge.transport.selector import Poll
from alderbridge.transport.token_bucket import TokenBucket


@pytest.fixture
def control():
    return Controller(platform("host-0", LABELS), Tuning(), Poll())


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
def test_each_path_has_its_method_and_all_others_are_not_found(control, method, target, status, allowed):
    answer = control.router.handle(method, target, b"", lambda answer: None)
    assert answer[0] == status and dict(answer[2]).get("Allow") == allowed


class Cloud:
    """Each of its requests raises what the test says."""

    def __init__(self, error: Exception) -> None:
        self.error = error

    async def machine_types(self):
        raise self.error

    async def list_page(self, after):
        raise self.error


class Stop(Exception):
    """Ends a loop that would go on for ever."""


def run_until_second_turn(monkeypatch, loop):
    turns = []

    async def sleep(seconds):
        turns.append(seconds)
        if len(turns) == 2:
            raise Stop

    monkeypatch.setattr(curio, "sleep", sleep)
    loop().send(None)  # nothing in it waits


@pytest.fixture
def leading(control, monkeypatch):
    """It is the leader, and knows of a machine type."""
    patch_now(monkeypatch, lambda: 100.0)
    monkeypatch.setattr(control.membership, "is_leader", lambda now: True)
    control.core.machine_shard.capacity.types = {"large": None}
    return control


@pytest.mark.parametrize(
    "error, ends", [(NoCapacityError("x"), True), (CloudError("x"), False), (UnansweredError("x"), False)]
)
def test_only_a_rental_may_lack_capacity(leading, monkeypatch, error, ends):
    """A list of machines refused so is no answer of the cloud's: the loop ends, and its supervisor logs the fault."""
    loop = ScalingLoop(leading.core, Cloud(error), TokenBucket(9.0, 9.0, 100.0), leading.dispatch_effects)
    with pytest.raises(NoCapacityError if ends else Stop):
        run_until_second_turn(monkeypatch, loop.keep_machines)


@pytest.mark.parametrize("error", [NoCapacityError("x"), CloudError("x"), UnansweredError("x")])
def test_machine_types_are_read_again_after_any_refusal(leading, monkeypatch, error):
    loop = MachineTypesLoop(leading.core, leading.store, Cloud(error), TokenBucket(9.0, 9.0, 100.0))
    with pytest.raises(Stop):
        run_until_second_turn(monkeypatch, loop.keep_types)
