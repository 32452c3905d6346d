"""The keys and prefixes under which the controllers keep their records in the store."""

from __future__ import annotations

ROOT = "ab/"  # before all of them
VIEW = "ab/view"  # the membership view
MEMBERS = "ab/m/"  # a member's own key, by label
TYPES = "ab/types"  # machine types as the cloud last listed them
JOBS = "ab/j/"  # a job's record, by id
MACHINES = "ab/n/"  # a machine's record, by name
LISTS = "ab/w/"  # dependencies of a job for which its record has no room
DECLARED = "ab/d/"  # operator configuration
CLAIMS = "ab/c/"  # the preemption claim of a machine: for which job, and its victims
BUDGETS = "ab/b"  # preemptions of the running minute
STOPS = "ab/s/"  # a job's tasks that were preempted, and how often


def prefix_of(key: str) -> str:
    """The prefix that a key lies under; a key that stands alone is its own."""
    return key[: key.find("/", len(ROOT)) + 1] or key


def list_keys(job: str, dependency_digest: str) -> list[str]:
    """Keys of a job's lists of dependencies.

    ``dependency_digest`` is DIGEST/COUNT, "" where there are none; with the digest in it, what is under a key never
    changes.
    """
    digest, _, count = dependency_digest.partition("/")
    return [f"{LISTS}{job}/{digest}/{number}" for number in range(int(count or 0))]
