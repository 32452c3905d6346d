"""Submissions that can't be taken: one clear line, nothing stored, and the state of a job that was accepted before."""

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
from alderbridge.transport.selector import Poll

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
    """``raw``: NaN and the like, which no encoder writes, in place of "RAW"."""
    text = msgspec.json.encode({key: value for key, value in {**JOB, **change}.items() if key != without})
    return text.replace(b'"RAW"', raw.encode()) if raw else text


BAD: dict[str, tuple[int, bytes]] = {}
for key in JOB.keys() - MAY_BE_NULL:
    BAD[f"{key} missing"] = 400, body({}, key)
    BAD[f"{key} null"] = 400, body({key: None})
for key in AMOUNTS:
    for value in ("5", True, [1.0], {}, -1.0, -1e-9, 1e10):
        BAD[f"{key} {value!r}"] = 400, body({key: value})
    for raw in ("NaN", "Infinity", "-Infinity", "1e999"):
        BAD[f"{key} {raw}"] = 400, body({key: "RAW"}, raw=raw)
for value in (0, -1, 100_001, 10**30, 2.5, "16", True, [16]):
    BAD[f"parts {value!r}"] = 400, body({"parts": value})
for key in TEXTS:
    for value in (5, True, ["a"], {}, "", "x" * 101):
        BAD[f"{key} {str(value)[:5]!r} {type(value).__name__}"] = 400, body({key: value})
for key in FLAGS:
    for value in (1, 0, "true", []):
        BAD[f"{key} {value!r}"] = 400, body({key: value})
for value in ("small", [5], [None], [""], {"small": 1}):
    BAD[f"flavours {value!r}"] = 400, body({"flavours": value})
for value in ("wk-1", [5], ["x"], [None], True):
    BAD[f"waits_on {value!r}"] = 400, body({"waits_on": value})
for value in ("wk-", "wk-x", "job-1", "wk-1234567890123456789", "wk-1/0", "wk-1\n", " wk-1"):
    BAD[f"id {value!r}"] = 400, body({"id": value})
BAD |= {
    "vcpus 0": (400, body({"vcpus": 0})),
    "shape other": (400, body({"shape": "array"})),
    "urgency other": (400, body({"urgency": "Low"})),
    "cut short": (400, body({})[:-9]),
    "not UTF-8": (400, body({"bundle": "RAW"}, raw='"\xe9"').replace(b"\xc3\xa9", b"\xe9")),
    "nested": (400, body({"site": "RAW"}, raw="[" * 20_000 + "]" * 20_000)),
    "a list": (400, b"[" + body({}) + b"]"),
    "nothing": (400, b""),
    "null": (400, b"null"),
    "a text": (400, b'"wk-000412"'),
    "two": (400, body({}) * 2),
    "unknown team": (422, body({"owner": "nobody"})),
    "unknown type": (422, body({"flavours": ["huge"]})),
    "unknown zone": (422, body({"site": "z"})),
    "no type allowed": (422, body({"flavours": []})),
    "fits another type": (422, body({"vcpus": 8.0, "owner": "free"})),
    "fits no type": (422, body({"flavours": None, "mem_gb": 65.0})),
    "GPUs": (422, body({"accelerators": 1.0})),
    "fits in another zone": (422, body({"flavours": ["one_zone"], "owner": "free"})),
    "a task beyond the limit": (422, body({"flavours": ["wide"], "vcpus": 17.0, "parts": 1})),
    "a service beyond the limit": (422, body({"shape": "standing", "parts": 9})),
}
GOOD = {
    "as it is": body({}),
    "a service within its limit": body({"shape": "standing", "parts": 8}),
    "nulls": body({"flavours": None, "site": None, "due_s": None, "waits_on": None}),
    "left out": msgspec.json.encode({key: value for key, value in JOB.items() if key not in MAY_BE_NULL}),
    "the most parts": body({"parts": 100_000}),
    "another field": body({"colour": [{}]}),
}


@pytest.fixture
def control(monkeypatch):
    """A controller at work; what its store holds is the test's."""
    one = Controller(platform("host-0", LABELS[:3]), Tuning(), Poll())
    one.core.state.loaded = True
    wide = msgspec.structs.replace(TYPES["large"], name="wide", cpus=64.0)
    only_a = msgspec.structs.replace(TYPES["large"], name="one_zone", zones=["a"])
    one.core.machine_types.update({**TYPES, "wide": wide, "one_zone": only_a})
    monkeypatch.setattr(one.core.membership, "may_act", lambda now: True)
    return one


def submit(control: Controller, raw: bytes, holds) -> tuple[int, dict]:
    """``holds``: the record of a job that the store has, None, or what it raises."""
    asked = []

    async def get(key: str):
        asked.append(key)
        if isinstance(holds, Exception):
            raise holds
        return (
            wire.KeyValue(key, msgspec.Raw(msgspec.json.encode(holds)), 5)
            if holds and key == JOBS + JOB["id"]
            else None
        )

    control.store.get = get
    control.store_backoff.until = 0.0
    status, text, _ = curio.run(control.users_api.submissions.submit, raw)
    assert not control.core.submissions.pending, "nothing of it goes to the store"
    if status in (400, 422):
        line = msgspec.json.decode(text)["error"]
        assert 3 < len(line) < 200 and line.isprintable()
    return status, msgspec.json.decode(text)


def test_what_is_no_good_submission_is_refused_unless_its_job_was_accepted(control):
    """All in one: a case each is a second of start-up for nothing."""
    ended = Record(JobState.DONE)
    told = {"id": JOB["id"], "status": "done", "done": 0, "running": 0}
    for name, (status, raw) in BAD.items():
        assert submit(control, raw, None)[0] == status, name
        known = wire.job_id_in(raw) == JOB["id"]
        assert known or name.startswith("id ") or name in ("nothing", "null", "a text"), name
        if known:
            assert submit(control, raw, ended) == (200, told), name
            assert submit(control, raw, UnansweredError("cut"))[0] == 503, name
        else:
            assert submit(control, raw, ended)[0] == status, name


@pytest.mark.parametrize("name", GOOD)
def test_what_is_good_is_taken_up(control, name):
    spec = wire.parse_job(GOOD[name])
    core = control.core
    assert not admission.rejection_reason(spec, core.shared.teams, core.machine_shard.capacity.types.values())
    assert core.submissions.submit(spec, 0.0, 0.0) is not None


@pytest.mark.parametrize("what", ("poll", "withdraw"))
def test_an_unknown_job_is_called_so_only_by_the_store(control, what):
    async def ask():
        if what == "withdraw":
            return await control.users_api.cancellations.cancel("wk-000777")
        return await control.users_api.status.poll_status("wk-000777", None)

    for raised, status in ((None, 404), (UnansweredError("cut"), 503)):
        asked = []

        async def get(key, raised=raised, asked=asked):
            asked.append(key)
            if raised:
                raise raised

        control.store.get = get
        assert curio.run(ask)[0] == status and asked == [JOBS + "wk-000777"]
