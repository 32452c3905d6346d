"""Guards the wire and storage formats, byte for byte, against changes by renames of classes, fields and modules.

The files of ``encoded_forms`` must not be regenerated. ``.hex`` files hold a frame with its length prefix, ``.json``
files a value. Files of ``DECODE_ONLY`` must be read, but are no longer written in that form.
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
ROUND_TRIP = examples.RECORDS | examples.RECEIVED | {"settings-platform": examples.PLATFORM["settings-platform"]}
DECODE_ONLY = (
    examples.OLDER_RECORDS
    | examples.RECEIVED_REQUIRED
    | {"settings-platform-required": examples.PLATFORM["settings-platform-required"]}
)
ENCODED = examples.SENT | {name: wire.encode(value) for name, value in examples.TEXTS.items()}
REQUEST_FILES = ("requests-store", "requests-cloud")
# A calendar has its own hours or combines other calendars, so that some of its fields always have their defaults.
CALENDAR = type(examples.RECORDS["declared-hours"].calendars[0])
INI_FILES = {"operators", *settings.KINDS}


def content(file):
    """Return the only line of a file."""
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
def test_frames_keep_their_encoding(name):
    data, frame = frame_bytes(name), examples.FRAMES[name]
    assert decoded_frame(data) == frame
    assert mesh.Encoder()(frame) == data
    assert mesh.Encoder()(decoded_frame(data)) == data


@pytest.mark.parametrize("name", examples.OLDER_FRAMES)
def test_frames_of_older_versions_decode_with_defaults_for_missing_fields(name):
    assert decoded_frame(frame_bytes(name)) == examples.OLDER_FRAMES[name]


@pytest.mark.parametrize("name", ROUND_TRIP)
def test_values_keep_their_encoding(name):
    value = ROUND_TRIP[name]
    assert decoded(name, value) == value
    assert wire.encode(value) == content(f"{name}.json")
    assert wire.encode(decoded(name, value)) == content(f"{name}.json")


@pytest.mark.parametrize("name", DECODE_ONLY)
def test_values_decode_with_defaults_for_omitted_fields(name):
    assert decoded(name, DECODE_ONLY[name]) == DECODE_ONLY[name]


@pytest.mark.parametrize("name", ENCODED)
def test_sent_bodies_keys_and_state_texts_are_unchanged(name):
    assert ENCODED[name] == content(f"{name}.json")


def test_parsers_decode_submissions_heartbeats_and_task_ids():
    assert wire.parse_job(content("received-job.json")) == examples.JOB
    assert wire.parse_heartbeat(content("received-heartbeat.json")) == examples.RECEIVED["received-heartbeat"]
    assert wire.parse_heartbeat(content("required-heartbeat.json")) == examples.RECEIVED_REQUIRED["required-heartbeat"]
    assert wire.split_task_id("wk-000017/5") == ("wk-000017", 5)


def stub_responses(client, responses):
    """Let a client return the contents of these files in order; the result collects its requests."""
    requests = []

    async def request(method, target, body=b"", timeout_s=0.0):
        requests.append(b" ".join([method.encode(), target.encode(), body]).rstrip())
        return 200, content(responses[len(requests) - 1])

    client.client = client.watch_client = SimpleNamespace(request=request)
    return requests


def lines(name):
    return content(f"{name}.txt").split(b"\n")


async def send_store_requests(store):
    """Send each request to the store once."""
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


def test_store_requests_are_unchanged_and_responses_are_decoded():
    store = Store("127.0.0.1:1")
    names = ["store-row", "store-rows", "store-committed", "store-committed", "store-hold", "store-changes"]
    requests = stub_responses(store, [f"received-{name}.json" for name in [*names, "store-hold", "store-hold"]])
    results = curio.run(send_store_requests, store)
    assert requests == lines("requests-store")
    expected = [examples.RECEIVED[f"received-{name}"] for name in names]
    expected[4] = expected[4].lease_id
    assert results == [*expected, None, None]


async def send_cloud_requests(cloud):
    """Send each request to the cloud once."""
    return [
        await cloud.machine_types(),
        await cloud.rent("hire-1", "g4", "north-1", True, 6),
        await cloud.return_machines(["vm-1", "vm-2"]),
        await cloud.list_page("vm-1"),
    ]


def test_cloud_requests_are_unchanged_and_responses_are_decoded():
    cloud = Cloud("127.0.0.1:1")
    names = ["cloud-types", "cloud-rented", "cloud-rented", "cloud-listing"]
    requests = stub_responses(cloud, [f"received-{name}.json" for name in names])
    results = curio.run(send_cloud_requests, cloud)
    assert requests == lines("requests-cloud")
    listing = examples.RECEIVED["received-cloud-listing"]
    assert results == [{"g4": examples.MACHINE_TYPE}, ["vm-1", "vm-2"], None, listing]


@pytest.mark.parametrize("name", examples.PLATFORM)
def test_platform_settings_are_decoded(name):
    assert settings.load_platform_settings(str(FOLDER / f"{name}.json")) == examples.PLATFORM[name]


def test_operator_settings_are_decoded():
    loaded = settings.load_tuning(str(FOLDER / "operators.ini"))
    files = {kind: str(FOLDER / file) for kind, file in examples.OPERATORS.declared.items()}
    assert loaded == msgspec.structs.replace(examples.OPERATORS, declared=files)


@pytest.mark.parametrize("kind", settings.KINDS)
def test_operator_configuration_compiles_to_the_same_text(kind):
    compiled = compiler.load(str(FOLDER / f"{kind}.ini"), kind)
    text = content(f"declared-{kind}.json")
    assert (compiled.kind, compiled.revision, compiled.text) == (kind, 4, text)
    assert compiled.digest.encode() == content(f"digest-{kind}.txt")
    assert compiler.compiled(kind, text) == examples.RECORDS[f"declared-{kind}"]


def test_each_file_is_tested_and_each_message_has_a_file():
    expected = {f"{name}.hex" for name in [*examples.FRAMES, *examples.OLDER_FRAMES]}
    expected |= {f"{name}.json" for name in [*ROUND_TRIP, *DECODE_ONLY, *ENCODED]}
    expected |= {f"{name}.txt" for name in [*REQUEST_FILES, *(f"digest-{kind}" for kind in settings.KINDS)]}
    expected |= {f"{name}.ini" for name in INI_FILES}
    assert {path.name for path in FOLDER.iterdir()} == expected
    assert {type(body) for body in examples.MESSAGES.values()} == set(get_args(messages.Body))


def test_examples_set_every_field_to_a_non_default_value():
    for value in [*examples.FRAMES.values(), *ROUND_TRIP.values()]:
        for part in structs_in(value):
            if part != examples.RECORDS["record-job-ended"] and not isinstance(part, CALENDAR):
                assert not fields_at_default(part), part


def structs_in(value):
    """Yield the value, if it is a structure, and all structures within it."""
    if isinstance(value, msgspec.Struct):
        yield value
        value = msgspec.structs.asdict(value)
    if isinstance(value, dict):
        value = list(value.values())
    if isinstance(value, list):
        for part in value:
            yield from structs_in(part)


def fields_at_default(value):
    """Return the names of the fields that have their default values."""
    found = []
    for field in msgspec.structs.fields(value):
        default = field.default if field.default_factory is msgspec.NODEFAULT else field.default_factory()
        if default is not msgspec.NODEFAULT and getattr(value, field.name) == default:
            found.append(field.name)
    return found


def test_job_record_omits_default_values():
    """``omit_defaults`` compares default objects by identity, so that an equal copy would be written."""
    stored = production.RECORDS[0]
    job = Job(msgspec.json.decode(stored, type=Record), 1, 10.0, 0.0)
    assert msgspec.json.encode(job.to_record(4096)) == stored
