"""The largest job of a team at its limit begins within four minutes, though smaller ones take each CPU that comes free.

What happens: a job of 8-CPU tasks of a team limited to 16 CPUs never begins while small jobs of the team come. Why,
by the leader's rows and quotas: once it is late it is last in the order by which the leader divides the team's limit
(``QuotaAllocator._demands``), so jobs in time take what comes free and nothing is left to be reserved for it. Its job
shard has less than one task's quota, so it offers nothing (``offer`` 0), and a job without an offer gets no priority
boost (``JobQueue._priority_boost``), which is what would put it first. Nor is a machine rented for it: by the team's
limit it asks for none. And small jobs of its own shard use what the shard is given, whomever it was meant for.
"""

import pytest
from test_capacity_under_faults import Rooms, array

from alderbridge.protocol import wire

LARGE = "wk-900000"
SENT_AT = 30.0
BEGIN_WITHIN_S = 240.0  # the users' aim: the largest jobs of a class begin within four minutes


class SmallJobs(Rooms):
    """More one-CPU tasks of one team than its limit lets run, and one job of large tasks among them."""

    def __init__(self, seed: int, jobs_per_s: float = 2.0) -> None:
        super().__init__(seed)
        until = SENT_AT + BEGIN_WITHIN_S
        for number in range(int(until * jobs_per_s)):
            small = array(
                number,
                team="bound",
                tasks=self.rng.randint(1, 3),
                estimate_s=self.rng.uniform(3.0, 12.0),
                priority=self.rng.choice(wire.PRIORITIES[:2]),
            )
            self.after(10.0 + number / jobs_per_s, self.send, small)
        large = array(900000, team="bound", tasks=2, cpus=8.0, estimate_s=20.0, priority="high", types=["large"])
        self.after(SENT_AT, self.send, large)


@pytest.mark.parametrize("seed", (0, 1))
def test_a_large_job_of_a_team_at_its_limit_begins_within_four_minutes(seed):
    world = SmallJobs(seed)
    while world.t < SENT_AT + BEGIN_WITHIN_S and LARGE not in world.began:
        world.run(world.t + 5.0)
    assert LARGE in world.accepted
    assert LARGE in world.began and world.began[LARGE] - world.sent_at[LARGE] < BEGIN_WITHIN_S
