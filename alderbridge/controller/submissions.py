"""Jobs on their way into the store. Pure."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field

import msgspec

from alderbridge.jobs.shard import Job, Record
from alderbridge.state.replica import list_keys


def beside(record: Record, room: int) -> tuple[Record, dict[str, list[str]]]:
    """The record without what its job waits for, and that as lists that fit one value each."""
    assert record.spec is not None and record.spec.needs is not None
    needs = sorted(record.spec.needs)
    each = max(1, (room - 2) // (max(map(len, needs)) + 3))
    count = -(-len(needs) // each)
    more = f"{hashlib.blake2b(' '.join(needs).encode(), digest_size=8).hexdigest()}/{count}"
    parts = [needs[at : at + each] for at in range(0, len(needs), each)]
    spec = msgspec.structs.replace(record.spec, needs=None)
    return (
        msgspec.structs.replace(record, spec=spec, dependency_digest=more),
        dict(zip(list_keys(spec.id, more), parts, strict=True)),
    )


@dataclass(eq=False)
class Submission:
    """A job on its way into the store."""

    job: Job
    outcome: str = ""  # "accepted", "known", "refused" or "too long"; empty: not decided
    lists: dict[str, list[str]] = field(default_factory=dict)  # what has no room in its record, to be stored before it
