"""What is sent and stored stays as it is, byte for byte, whatever classes, fields and modules are called.

The files of ``encoded_forms`` were written once and are never written anew for a rename: each is decoded to the value
that ``encoded_examples`` gives for it, and that value is encoded to the same bytes. ``.hex`` files hold a frame with
its length before it, ``.json`` files a value. Files of ``ONE_WAY`` are read, but no longer written so.
"""

from pathlib import Path
from types import SimpleNamespace
from typing import get_args

import curio
import encoded_examples as examples
import msgspec
import production
import pytest

from alderbridge import settings
from alderbridge.cloud import Cloud
from alderbridge.configuration import compiler
from alderbridge.jobs.job import Job
from alderbridge.jobs.record import Record
from alderbridge.protocol import messages, wire
from alderbridge.state.store import Store
from alderbridge.transport import mesh

FOLDER = Path(__file__).parent / "encoded_forms"
BOTH_WAYS = examples.RECORDS | examples.RECEIVED | {"settings-platform": examples.PLATFORM["settings-platform"]}
ONE_WAY = (
    examples.OLDER_RECORDS
    | examples.RECEIVED_REQUIRED
    | {"settings-platform-required": examples.PLATFORM["settings-platform-required"]}
)
MADE = examples.SENT | {name: wire.encode(value) for name, value in examples.TEXTS.items()}
REQUESTS = ("requests-store", "requests-cloud")
SPARSE = type(examples.RECORDS["declared-hours"].calendars[0])  # a calendar has hours, or is made of others
INI_FILES = {"operators", *settings.KINDS}


def content(file):
    """The one line of a file."""
    return (FOLDER / file).read_bytes().rstrip(b"\n")


def frame_bytes(name):
    return bytes.fromhex(content(f"{name}.hex").decode())


def decoded_frame(data):
    buffer = bytearray(data)
    (frame,) = mesh.split_frames(buffer)
    assert not buffer
    return frame


def decoded(name, value):
    return msgspec.json.decode(content(f"{name}.json"), type=type(value))


@pytest.mark.parametrize("name", examples.FRAMES)
def test_frames_are_read_and_written_as_they_were(name):
    data, frame = frame_bytes(name), examples.FRAMES[name]
    assert decoded_frame(data) == frame
    assert mesh.Encoder()(frame) == data
    assert mesh.Encoder()(decoded_frame(data)) == data


@pytest.mark.parametrize("name", examples.OLDER_FRAMES)
def test_frames_that_end_before_the_newest_fields_have_their_defaults(name):
    assert decoded_frame(frame_bytes(name)) == examples.OLDER_FRAMES[name]


@pytest.mark.parametrize("name", BOTH_WAYS)
def test_values_are_read_and_written_as_they_were(name):
    value = BOTH_WAYS[name]
    assert decoded(name, value) == value
    assert wire.encode(value) == content(f"{name}.json")
    assert wire.encode(decoded(name, value)) == content(f"{name}.json")


@pytest.mark.parametrize("name", ONE_WAY)
def test_values_that_lack_what_may_be_left_out_have_its_defaults(name):
    assert decoded(name, ONE_WAY[name]) == ONE_WAY[name]


@pytest.mark.parametrize("name", MADE)
def test_answers_requests_keys_and_texts_are_as_they_were(name):
    assert MADE[name] == content(f"{name}.json")


def test_what_users_and_workers_send_goes_through_the_parsers():
    assert wire.parse_job(content("received-job.json")) == examples.JOB
    assert wire.parse_heartbeat(content("received-heartbeat.json")) == examples.RECEIVED["received-heartbeat"]
    assert wire.parse_heartbeat(content("required-heartbeat.json")) == examples.RECEIVED_REQUIRED["required-heartbeat"]
    assert wire.split_task_id("wk-000017/5") == ("wk-000017", 5)


# -- requests --------------------------------------------------------------


def answering(client, answers):
    """Let a client of one service answer from ``answers``; what it is asked is collected in the result."""
    asked = []

    async def request(method, target, body=b"", timeout_s=0.0):
        asked.append(b" ".join([method.encode(), target.encode(), body]).rstrip())
        return 200, content(answers[len(asked) - 1])

    client.client = client.watch_client = SimpleNamespace(request=request)
    return asked


def lines(name):
    return content(f"{name}.txt").split(b"\n")


async def ask_store(store):
    """Each request once."""
    return [
        await store.get("ab/view"),
        await store.list_page("ab/j/", "ab/j/wk-000017"),
        await store.commit(
            {"ab/view": 21, "ab/n/vm-1": 0},
            {"ab/n/vm-1": wire.MachineRecord(address="10.0.0.7:7001", type="g4", zone="north-1", spot=True)},
            ["ab/n/vm-2"],
        ),
        await store.commit({}, {"ab/m/host-1": examples.RECORDS["record-presence"]}, lease_id=7),
        await store.grant_lease(4.5),
        await store.watch(77, 1.5),
        await store.renew_lease(7),
        await store.revoke_lease(7),
    ]


def test_requests_to_the_store_are_as_they_were_and_its_answers_are_read():
    store = Store("127.0.0.1:1")
    names = ["store-row", "store-rows", "store-committed", "store-committed", "store-hold", "store-changes"]
    asked = answering(store, [f"received-{name}.json" for name in [*names, "store-hold", "store-hold"]])
    answers = curio.run(ask_store, store)
    assert asked == lines("requests-store")
    expected = [examples.RECEIVED[f"received-{name}"] for name in names]
    expected[4] = expected[4].lease_id
    assert answers == [*expected, None, None]


async def ask_cloud(cloud):
    """Each request once."""
    return [
        await cloud.machine_types(),
        await cloud.rent("hire-1", "g4", "north-1", True, 6),
        await cloud.return_machines(["vm-1", "vm-2"]),
        await cloud.list_page("vm-1"),
    ]


def test_requests_to_the_cloud_are_as_they_were_and_its_answers_are_read():
    cloud = Cloud("127.0.0.1:1")
    names = ["cloud-types", "cloud-rented", "cloud-rented", "cloud-listing"]
    asked = answering(cloud, [f"received-{name}.json" for name in names])
    answers = curio.run(ask_cloud, cloud)
    assert asked == lines("requests-cloud")
    listing = examples.RECEIVED["received-cloud-listing"]
    assert answers == [{"g4": examples.MACHINE_TYPE}, ["vm-1", "vm-2"], None, listing]


# -- settings --------------------------------------------------------------


@pytest.mark.parametrize("name", examples.PLATFORM)
def test_each_key_of_the_platforms_settings_lands_in_its_value(name):
    assert settings.load_platform(str(FOLDER / f"{name}.json")) == examples.PLATFORM[name]


def test_each_key_of_the_operators_settings_lands_in_its_value():
    found = settings.load_tuning(str(FOLDER / "operators.ini"))
    files = {kind: str(FOLDER / file) for kind, file in examples.OPERATORS.declared.items()}
    assert found == msgspec.structs.replace(examples.OPERATORS, declared=files)


@pytest.mark.parametrize("kind", settings.KINDS)
def test_what_operators_declare_is_compiled_to_the_same_text(kind):
    found = compiler.load(str(FOLDER / f"{kind}.ini"), kind)
    text = content(f"declared-{kind}.json")
    assert (found.kind, found.revision, found.text) == (kind, 4, text)
    assert found.digest.encode() == content(f"digest-{kind}.txt")
    assert compiler.compiled(kind, text) == examples.RECORDS[f"declared-{kind}"]


# -- the files themselves --------------------------------------------------


def test_each_file_is_read_by_a_test_and_each_message_has_one():
    expected = {f"{name}.hex" for name in [*examples.FRAMES, *examples.OLDER_FRAMES]}
    expected |= {f"{name}.json" for name in [*BOTH_WAYS, *ONE_WAY, *MADE]}
    expected |= {f"{name}.txt" for name in [*REQUESTS, *(f"digest-{kind}" for kind in settings.KINDS)]}
    expected |= {f"{name}.ini" for name in INI_FILES}
    assert {path.name for path in FOLDER.iterdir()} == expected
    assert {type(body) for body in examples.MESSAGES.values()} == set(get_args(messages.Body))


def test_examples_of_frames_and_values_fill_in_every_field():
    for value in [*examples.FRAMES.values(), *BOTH_WAYS.values()]:
        for part in structs_in(value):
            if part != examples.RECORDS["record-job-ended"] and not isinstance(part, SPARSE):
                assert not fields_at_default(part), part


def structs_in(value):
    """The value, if it is a structure, and all structures within it."""
    if isinstance(value, msgspec.Struct):
        yield value
        value = msgspec.structs.asdict(value)
    if isinstance(value, dict):
        value = list(value.values())
    if isinstance(value, list):
        for part in value:
            yield from structs_in(part)


def fields_at_default(value):
    """Names of fields that hold their defaults."""
    found = []
    for field in msgspec.structs.fields(value):
        default = field.default if field.default_factory is msgspec.NODEFAULT else field.default_factory()
        if default is not msgspec.NODEFAULT and getattr(value, field.name) == default:
            found.append(field.name)
    return found


def test_a_record_that_a_job_writes_leaves_out_what_has_its_default():
    """The structure leaves out the very object that is its default, not whatever equals it."""
    stored = production.RECORDS[0]
    job = Job(msgspec.json.decode(stored, type=Record), 1, 10.0, 0.0)
    assert msgspec.json.encode(job.to_record(4096)) == stored
