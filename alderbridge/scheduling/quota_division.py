"""How a team's limit is divided among the job shards. Pure."""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from typing import NamedTuple


class QuotaDemand(NamedTuple):
    """What a job's waiting tasks at a job shard would take of their team's limit."""

    owner: str
    amount: float
    each: float = 0.0  # of one task: less than that is of no use
    reserved: bool = False  # less than that is reserved for it all the same, until it holds a task


def divide_quota(
    limit: float,
    used: Mapping[str, float],
    reserved: Mapping[str, float],
    given: Mapping[str, float],
    demands: Sequence[QuotaDemand],
) -> dict[str, float]:
    """Shares of a team's limit; their sum with what is still reserved never exceeds it.

    ``reserved`` is what each job shard reported under its last quota ``given``; it counts until a smaller quota is
    confirmed.
    """
    owners = sorted(reserved)
    target = _targets(limit, used, owners, demands)
    free = limit - sum(max(reserved[owner], given.get(owner, 0.0)) for owner in owners)
    result = dict(given)
    for owner in owners:
        have = max(reserved[owner], given.get(owner, 0.0))
        if target[owner] < given.get(owner, 0.0) - 1e-9:
            result[owner] = target[owner]
        elif target[owner] > have + 1e-9 and free > 1e-9:
            more = min(target[owner] - have, free)
            result[owner] = have + more
            free -= more
    return result


def _targets(
    limit: float, used: Mapping[str, float], owners: Sequence[str], demands: Sequence[QuotaDemand]
) -> dict[str, float]:
    """Shares as they would be if every job shard gave back at once what it does not need.

    What is not used goes to the waiting tasks in their order, whichever shard they belong to, and what then remains
    evenly to all, so that new work can start at once.

    What holds none of a job's tasks goes on to the next: reserved at a shard that could not use it, it let smaller
    tasks of other shards wait beside free machines for as long as the first waited.
    """
    left = max(0.0, limit - sum(used.values()))
    target = dict(used)
    for owner, amount, each, reserved in demands:
        if amount > left:
            whole = math.floor(left / each + 1e-9) * each if each > 0 else left
            amount = left if reserved and not whole else whole
        target[owner] += amount
        left -= amount
    for owner in owners:
        target[owner] += left / len(owners)
    return target
