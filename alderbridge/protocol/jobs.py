"""Messages between users and a controller: submissions, job queries and their responses.

Fields whose names differ from those on the wire state the latter in ``name=``.
"""

from __future__ import annotations

import re
from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct, field

from alderbridge import constants
from alderbridge.protocol.encoding import DECODE_ERRORS, Amount, MalformedBodyError, Name, Positive, encode

JOB_ID = re.compile(r"wk-[0-9]{1,18}\Z")
PRIORITIES = ("best_effort", "standard", "high", "production")  # lowest first
_RANKS = {name: rank for rank, name in enumerate(PRIORITIES)}


class JobSpec(Struct, frozen=True, omit_defaults=True):
    """A submitted job; its record in the store has the same form."""

    id: str
    job_class: Name = field(name="workload")
    team: Name = field(name="owner")
    kind: Literal["sweep", "standing", "group"] = field(name="shape")
    priority: Literal["production", "high", "standard", "best_effort"] = field(name="urgency")
    tasks: Annotated[int, Meta(ge=1, le=constants.MAX_TASKS_PER_JOB)] = field(name="parts")
    cpus: Positive = field(name="vcpus")
    memory_gb: Amount = field(name="mem_gb")
    image: Name = field(name="bundle")
    image_gb: Amount
    estimate_s: Amount = field(name="expected_s")
    gpus: Amount = field(name="accelerators", default=0.0)
    checkpoint_s: Amount = field(name="snapshot_every_s", default=0.0)
    save_s: Amount = field(name="snapshot_s", default=0.0)
    types: list[Name] | None = field(name="flavours", default=None)
    zone: Name | None = field(name="site", default=None)
    one_zone: bool = field(name="together", default=False)
    spread: bool = field(name="apart", default=False)
    spot: bool = field(name="standby", default=False)
    due_s: Amount | None = None
    dependencies: list[str] | None = field(name="waits_on", default=None)

    @property
    def service(self) -> bool:
        """Whether the tasks run until the job is cancelled."""
        return self.kind == "standing"

    @property
    def gang(self) -> bool:
        """Whether the tasks run only together (gang scheduling)."""
        return self.kind == "group"

    @property
    def rank(self) -> int:
        """Priority as a number; a higher one is scheduled first."""
        return _RANKS[self.priority]


class _RequiredFields(Struct):
    """Fields that are required in a submission, but omitted from a record if they have their default."""

    gpus: msgspec.Raw = field(name="accelerators")
    checkpoint_s: msgspec.Raw = field(name="snapshot_every_s")
    save_s: msgspec.Raw = field(name="snapshot_s")
    one_zone: msgspec.Raw = field(name="together")
    spread: msgspec.Raw = field(name="apart")
    spot: msgspec.Raw = field(name="standby")


class _JobId(Struct):
    id: str


_spec_decoder = msgspec.json.Decoder(JobSpec)
_required_fields_decoder = msgspec.json.Decoder(_RequiredFields)
_job_id_decoder = msgspec.json.Decoder(_JobId)
_ID_IN_TEXT = re.compile(rb'"id"\s*:\s*"(wk-[0-9]{1,18})"')


def parse_job(body: bytes) -> JobSpec:
    """Decode and validate a submission; raises ``MalformedBodyError``."""
    try:
        spec = _spec_decoder.decode(body)
        _required_fields_decoder.decode(body)
    except DECODE_ERRORS as error:
        raise MalformedBodyError(str(error)) from error
    if not JOB_ID.match(spec.id):
        raise MalformedBodyError("id: expected wk- and digits")
    if not all(JOB_ID.match(dependency) for dependency in spec.dependencies or ()):
        raise MalformedBodyError("waits_on: expected ids of jobs")
    return spec


def job_id_in(body: bytes) -> str:
    """The job id in the body of an invalid submission; "" if there is none, or more than one."""
    try:
        job = _job_id_decoder.decode(body).id
        return job if JOB_ID.match(job) else ""
    except DECODE_ERRORS:
        found = set(_ID_IN_TEXT.findall(body))  # not JSON, or not an object
        return found.pop().decode() if len(found) == 1 else ""


def error_body(text: str) -> bytes:
    """The body of an error response."""
    return encode({"error": text})


def accepted_body(job: str, status: str) -> bytes:
    """The body of the response to a submission or a cancellation."""
    return encode({"id": job, "status": status})


def job_status_body(job: str, status: str, done: int, running: int) -> bytes:
    """The body of the response to a status query; ``done`` and ``running`` are numbers of tasks."""
    return encode({"id": job, "status": status, "done": done, "running": running})
