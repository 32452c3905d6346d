"""A team's largest job starts within four minutes while the team is at its limit and submits smaller jobs.

Guards against starvation: a late large job sorts last for its team's quota, and with less quota than one task needs it
makes no offer, so it gets neither a priority boost nor a rented machine.
"""

import pytest
from test_capacity_under_faults import RateLimitedStoreWorld, array

from alderbridge.protocol import wire

LARGE = "wk-900000"
SENT_AT = 30.0
BEGIN_WITHIN_S = 240.0  # objective: the largest jobs of a class start within four minutes


class SmallJobs(RateLimitedStoreWorld):
    """One-CPU tasks of a team in excess of its limit, and one job of large tasks among them."""

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
    while world.t < SENT_AT + BEGIN_WITHIN_S and LARGE not in world.first_started_at:
        world.run(world.t + 5.0)
    assert LARGE in world.accepted
    assert LARGE in world.first_started_at and world.first_started_at[LARGE] - world.sent_at[LARGE] < BEGIN_WITHIN_S
