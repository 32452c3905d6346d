"""Keys and key prefixes of the controllers' records in the store."""

from __future__ import annotations

ROOT = "ab/"  # common prefix
VIEW = "ab/view"  # membership view
MEMBERS = "ab/m/"  # member records, by label
MACHINE_TYPES = "ab/types"  # machine types, as last read from the cloud
JOBS = "ab/j/"  # job records, by id
MACHINES = "ab/n/"  # machine records, by name
DEPENDENCY_LISTS = "ab/w/"  # lists of dependencies that are too long for the job record
CONFIGURATIONS = "ab/d/"  # operator configuration
CLAIMS = "ab/c/"  # preemption claims, by machine
PREEMPTION_BUDGETS = "ab/b"  # preemptions of the last minute, by budget
JOB_PREEMPTIONS = "ab/s/"  # numbers of preemptions by task, by job id


def prefix_of(key: str) -> str:
    """The prefix of a key; a key without one is its own prefix."""
    return key[: key.find("/", len(ROOT)) + 1] or key


def dependency_list_keys(job: str, dependency_digest: str) -> list[str]:
    """Keys of a job's lists of dependencies.

    ``dependency_digest`` is DIGEST/COUNT, or "" if there are none. The value of a key never changes, as the digest of
    the dependencies is part of the key.
    """
    digest, _, count = dependency_digest.partition("/")
    return [f"{DEPENDENCY_LISTS}{job}/{digest}/{number}" for number in range(int(count or 0))]
