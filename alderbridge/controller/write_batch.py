"""A transaction of due records, with the objects that they belong to."""

from __future__ import annotations

from dataclasses import dataclass, field

from alderbridge.claims.ledger import ClaimTransaction
from alderbridge.configuration import ConfigurationProposal
from alderbridge.controller.submissions import Submission
from alderbridge.jobs.job import Job
from alderbridge.jobs.record import Record


@dataclass
class WriteBatch:
    """One transaction of the record writer, with the objects whose records it writes."""

    fencing_token: int
    conditions: dict[str, int]
    puts: dict[str, object] = field(default_factory=dict)
    drops: list[str] = field(default_factory=list)
    jobs: list[tuple[Job, Record, list[tuple[str, int, int]]]] = field(default_factory=list)
    submissions: list[tuple[Submission, Record]] = field(default_factory=list)
    machines: list[str] = field(default_factory=list)
    dropped_machines: list[str] = field(default_factory=list)
    lists: list[tuple[Submission, str]] = field(default_factory=list)
    dropped_lists: list[str] = field(default_factory=list)  # keys
    proposal: ConfigurationProposal | None = None  # excludes all other records
    size: int = 0  # estimated size of the request body, bytes
    claims: ClaimTransaction | None = None  # excludes all other records

    @property
    def changes(self) -> int:
        """Number of puts and deletions."""
        return len(self.puts) + max(len(self.dropped_machines), len(self.drops))
