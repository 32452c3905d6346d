"""Division of a team's limit among the job shards."""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from typing import NamedTuple


class QuotaDemand(NamedTuple):
    """The part of a team's limit that a job's waiting tasks at a job shard would use."""

    owner: str
    amount: float
    per_task: float = 0.0  # quota is useful only in multiples of this
    starved: bool = False  # reserve even less than one task needs, until the job has a running task


def divide_quota(
    limit: float,
    used: Mapping[str, float],
    reserved: Mapping[str, float],
    allocated: Mapping[str, float],
    demands: Sequence[QuotaDemand],
) -> dict[str, float]:
    """The next quota of each job shard.

    ``reserved`` is what each job shard last reported under the quota ``allocated`` to it. Until a shard confirms a
    smaller quota, it counts with the larger of the two; so counted, the sum over all shards never grows beyond the
    limit.
    """
    owners = sorted(reserved)
    target = _targets(limit, used, owners, demands)
    free = limit - sum(max(reserved[owner], allocated.get(owner, 0.0)) for owner in owners)
    result = dict(allocated)
    for owner in owners:
        current = max(reserved[owner], allocated.get(owner, 0.0))
        if target[owner] < allocated.get(owner, 0.0) - 1e-9:
            result[owner] = target[owner]
        elif target[owner] > current + 1e-9 and free > 1e-9:
            increase = min(target[owner] - current, free)
            result[owner] = current + increase
            free -= increase
    return result


def _targets(
    limit: float, used: Mapping[str, float], owners: Sequence[str], demands: Sequence[QuotaDemand]
) -> dict[str, float]:
    """The quotas to converge to, as if every job shard released at once what it does not use.

    Unused quota goes to the demands in their order, whichever shard they belong to. What then remains is split evenly
    among all shards, so that new jobs can start at once.

    An amount too small for one task of a job is passed on to the next demand: reserved for a job that cannot use it, it
    would block smaller tasks of other shards while machines stand free.
    """
    remaining = max(0.0, limit - sum(used.values()))
    target = dict(used)
    for owner, amount, per_task, starved in demands:
        if amount > remaining:
            whole_tasks = math.floor(remaining / per_task + 1e-9) * per_task if per_task > 0 else remaining
            amount = remaining if starved and not whole_tasks else whole_tasks
        target[owner] += amount
        remaining -= amount
    for owner in owners:
        target[owner] += remaining / len(owners)
    return target
