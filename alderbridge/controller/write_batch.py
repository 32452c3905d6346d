"""One transaction of records that are due, and whose they are."""

from __future__ import annotations

from dataclasses import dataclass, field

from alderbridge.claims.ledger import ClaimTransaction
from alderbridge.configuration import ConfigurationProposal
from alderbridge.controller.submissions import Submission
from alderbridge.jobs.job import Job
from alderbridge.jobs.record import Record


@dataclass
class WriteBatch:
    """One transaction, and whose records it carries."""

    fencing_token: int
    conditions: dict[str, int]
    puts: dict[str, object] = field(default_factory=dict)
    drops: list[str] = field(default_factory=list)
    jobs: list[tuple[Job, Record, list[tuple[str, int, int]]]] = field(default_factory=list)
    submissions: list[tuple[Submission, Record]] = field(default_factory=list)
    machines: list[str] = field(default_factory=list)
    dropped_machines: list[str] = field(default_factory=list)
    lists: list[tuple[Submission, str]] = field(default_factory=list)
    dropped_lists: list[str] = field(default_factory=list)  # keys of lists that it drops
    proposal: ConfigurationProposal | None = None  # then nothing else
    size: int = 0  # bytes of its body, estimated
    claims: ClaimTransaction | None = None  # then nothing else is in it

    @property
    def changes(self) -> int:
        """How many changes of the store it makes."""
        return len(self.puts) + max(len(self.dropped_machines), len(self.drops))
