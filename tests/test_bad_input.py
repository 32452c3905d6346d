"""Invalid submissions: one error line, nothing stored, and the status of the job if it was accepted before."""

import curio
import msgspec
import pytest
from simulation import LABELS, TYPES, platform

from alderbridge.controller import admission
from alderbridge.controller.process import Controller
from alderbridge.jobs.record import JobState, Record
from alderbridge.protocol import wire
from alderbridge.protocol.keys import JOBS
from alderbridge.settings import Tuning
from alderbridge.transport.errors import UnansweredError
from alderbridge.transport.selector import EpollSelector

JOB = {
    "id": "wk-000412",
    "workload": "train",
    "owner": "bound",
    "shape": "sweep",
    "urgency": "high",
    "parts": 16,
    "vcpus": 2.0,
    "accelerators": 0.0,
    "mem_gb": 4.0,
    "bundle": "img-07",
    "image_gb": 6.2,
    "flavours": ["small"],
    "site": "b",
    "together": True,
    "apart": False,
    "standby": True,
    "expected_s": 240.0,
    "snapshot_every_s": 30.0,
    "snapshot_s": 4.0,
    "due_s": 900.0,
}
MAY_BE_NULL = {"flavours", "site", "due_s", "waits_on"}
AMOUNTS = ["vcpus", "accelerators", "mem_gb", "image_gb", "expected_s", "snapshot_every_s", "snapshot_s", "due_s"]
TEXTS = ["id", "workload", "owner", "shape", "urgency", "bundle", "site"]
FLAGS = ["together", "apart", "standby"]


def body(change: dict, without: str = "", raw: str = "") -> bytes:
    """``raw``: replaces "RAW", for values such as NaN that the encoder does not write."""
    text = msgspec.json.encode({key: value for key, value in {**JOB, **change}.items() if key != without})
    return text.replace(b'"RAW"', raw.encode()) if raw else text


INVALID: dict[str, tuple[int, bytes]] = {}
for key in JOB.keys() - MAY_BE_NULL:
    INVALID[f"{key} missing"] = 400, body({}, key)
    INVALID[f"{key} null"] = 400, body({key: None})
for key in AMOUNTS:
    for value in ("5", True, [1.0], {}, -1.0, -1e-9, 1e10):
        INVALID[f"{key} {value!r}"] = 400, body({key: value})
    for raw in ("NaN", "Infinity", "-Infinity", "1e999"):
        INVALID[f"{key} {raw}"] = 400, body({key: "RAW"}, raw=raw)
for value in (0, -1, 100_001, 10**30, 2.5, "16", True, [16]):
    INVALID[f"parts {value!r}"] = 400, body({"parts": value})
for key in TEXTS:
    for value in (5, True, ["a"], {}, "", "x" * 101):
        INVALID[f"{key} {str(value)[:5]!r} {type(value).__name__}"] = 400, body({key: value})
for key in FLAGS:
    for value in (1, 0, "true", []):
        INVALID[f"{key} {value!r}"] = 400, body({key: value})
for value in ("small", [5], [None], [""], {"small": 1}):
    INVALID[f"flavours {value!r}"] = 400, body({"flavours": value})
for value in ("wk-1", [5], ["x"], [None], True):
    INVALID[f"waits_on {value!r}"] = 400, body({"waits_on": value})
for value in ("wk-", "wk-x", "job-1", "wk-1234567890123456789", "wk-1/0", "wk-1\n", " wk-1"):
    INVALID[f"id {value!r}"] = 400, body({"id": value})
INVALID |= {
    "vcpus 0": (400, body({"vcpus": 0})),
    "shape other": (400, body({"shape": "array"})),
    "urgency other": (400, body({"urgency": "Low"})),
    "truncated": (400, body({})[:-9]),
    "not UTF-8": (400, body({"bundle": "RAW"}, raw='"\xe9"').replace(b"\xc3\xa9", b"\xe9")),
    "nested": (400, body({"site": "RAW"}, raw="[" * 20_000 + "]" * 20_000)),
    "a list": (400, b"[" + body({}) + b"]"),
    "empty body": (400, b""),
    "null": (400, b"null"),
    "a string": (400, b'"wk-000412"'),
    "two objects": (400, body({}) * 2),
    "unknown team": (422, body({"owner": "nobody"})),
    "unknown type": (422, body({"flavours": ["huge"]})),
    "unknown zone": (422, body({"site": "z"})),
    "no type allowed": (422, body({"flavours": []})),
    "fits another type": (422, body({"vcpus": 8.0, "owner": "free"})),
    "fits no type": (422, body({"flavours": None, "mem_gb": 65.0})),
    "GPUs": (422, body({"accelerators": 1.0})),
    "fits in another zone": (422, body({"flavours": ["one_zone"], "owner": "free"})),
    "a task over the team's limit": (422, body({"flavours": ["wide"], "vcpus": 17.0, "parts": 1})),
    "a service over the team's limit": (422, body({"shape": "standing", "parts": 9})),
}
VALID = {
    "unchanged": body({}),
    "a service within its limit": body({"shape": "standing", "parts": 8}),
    "optional fields null": body({"flavours": None, "site": None, "due_s": None, "waits_on": None}),
    "optional fields omitted": msgspec.json.encode(
        {key: value for key, value in JOB.items() if key not in MAY_BE_NULL}
    ),
    "maximum number of tasks": body({"parts": 100_000}),
    "unknown field": body({"colour": [{}]}),
}


@pytest.fixture
def controller(monkeypatch):
    """A controller that may act; each test replaces ``get`` of its store."""
    result = Controller(platform("host-0", LABELS[:3]), Tuning(), EpollSelector())
    result.core.state.loaded = True
    wide = msgspec.structs.replace(TYPES["large"], name="wide", cpus=64.0)
    only_a = msgspec.structs.replace(TYPES["large"], name="one_zone", zones=["a"])
    result.core.machine_types.update({**TYPES, "wide": wide, "one_zone": only_a})
    monkeypatch.setattr(result.core.membership, "may_act", lambda now: True)
    return result


def submit(controller: Controller, raw: bytes, stored) -> tuple[int, dict]:
    """``stored``: the job's record in the store, None, or the exception that reading it raises."""
    read_keys = []

    async def get(key: str):
        read_keys.append(key)
        if isinstance(stored, Exception):
            raise stored
        return (
            wire.KeyValue(key, msgspec.Raw(msgspec.json.encode(stored)), 5)
            if stored and key == JOBS + JOB["id"]
            else None
        )

    controller.store.get = get
    controller.store_backoff.until = 0.0
    status, text, _ = curio.run(controller.users_api.submissions.submit, raw)
    assert not controller.core.submissions.pending, "an invalid submission must not be queued for the store"
    if status in (400, 422):
        line = msgspec.json.decode(text)["error"]
        assert 3 < len(line) < 200 and line.isprintable()
    return status, msgspec.json.decode(text)


def test_an_invalid_submission_is_refused_unless_its_job_was_accepted(controller):
    """One test for all cases, so that the controller is started only once."""
    ended = Record(JobState.DONE)
    expected = {"id": JOB["id"], "status": "done", "done": 0, "running": 0}
    for name, (status, raw) in INVALID.items():
        assert submit(controller, raw, None)[0] == status, name
        has_id = wire.job_id_in(raw) == JOB["id"]
        assert has_id or name.startswith("id ") or name in ("empty body", "null", "a string"), name
        if has_id:
            assert submit(controller, raw, ended) == (200, expected), name
            assert submit(controller, raw, UnansweredError("cut"))[0] == 503, name
        else:
            assert submit(controller, raw, ended)[0] == status, name


@pytest.mark.parametrize("name", VALID)
def test_a_valid_submission_is_queued(controller, name):
    spec = wire.parse_job(VALID[name])
    core = controller.core
    assert not admission.rejection_reason(spec, core.shared.teams, core.machine_shard.capacity.types.values())
    assert core.submissions.submit(spec, 0.0, 0.0) is not None


@pytest.mark.parametrize("request_kind", ("poll", "withdraw"))
def test_a_job_is_reported_as_unknown_only_after_a_read_of_the_store(controller, request_kind):
    async def send_request():
        if request_kind == "withdraw":
            return await controller.users_api.cancellations.cancel("wk-000777")
        return await controller.users_api.status.poll_status("wk-000777", None)

    for raised, status in ((None, 404), (UnansweredError("cut"), 503)):
        read_keys = []

        async def get(key, raised=raised, read_keys=read_keys):
            read_keys.append(key)
            if raised:
                raise raised

        controller.store.get = get
        assert curio.run(send_request)[0] == status and read_keys == [JOBS + "wk-000777"]
