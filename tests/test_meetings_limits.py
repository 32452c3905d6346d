"""Teams at their limits: cancelled jobs' tasks on machines that can't be asked, while leaders and homes change."""

import msgspec
from test_machines import SPEC
from test_meetings_machines import Told

from alderbridge.config import Team
from alderbridge.jobs import Home, Job, JobState, Record, TaskState
from alderbridge.mesh import Seen, SeenTask
from alderbridge.recovery import TABLE, Known, Verdict
from alderbridge.recovery import Told as Column
from alderbridge.wire import MachineRecord

CPUS = 4.0
BOUND = msgspec.structs.replace(SPEC, tasks=2, cpus=CPUS, team="bound", spot=True)
LIMIT = Team("bound", cpus_max=2 * CPUS)


class Heir:
    """A home that inherits a cancelled job of a team at its limit, with a record that is not shrunk yet."""

    def __init__(self, machines=("n-1", "n-2"), state=JobState.ABORTED, spec=BOUND) -> None:
        self.sent: list = []
        self.home = Home([LIMIT], lambda label, body: self.sent.append(body) or len(self.sent), 4096)
        self.home.part_of = lambda machine: "host-0"
        self.records = {name: MachineRecord("x", "c4", "a") for name in machines}
        self.enter(6, state, spec)

    def enter(self, mandate, state=JobState.ABORTED, spec=BOUND):
        """A new view, and a process that knows nothing but the record."""
        self.job = Job(Record(state, "host-3", 0.0, spec.tasks, [], spec), 8, 0.0, 5.0)
        self.job.inherited = True
        self.home.enter(mandate, {spec.id: self.job}, self.records)
        self.home.settled = True

    def told(self, machine, live=(), held=(), now=1.0):
        tasks = [SeenTask(BOUND.id, index, 70 + index, "running", None) for index in live]
        held = [(BOUND.id, index, 70 + index) for index in held]
        self.home.on_seen("host-0", Seen(machine, "a", 0, tasks, held), now)

    @property
    def used(self):
        kept, counted = dict(self.home.tally.teams), self.home.used()
        assert kept.get("bound", (0.0, 0.0)) == counted.get("bound", (0.0, 0.0))
        return counted.get("bound", (0.0, 0.0))[0] / CPUS

    @property
    def shrinks(self):
        """Whether its record loses the description now: nobody would count its tasks from then on."""
        return any(job is self.job and rank == 3.0 for rank, job in self.home.due_writes(2.0))


def test_what_was_ordered_of_a_cancelled_job_counts_under_the_next_home_until_a_report_settles_it():
    """Its part goes on and knows of the order alone: a machine that hangs or is cut off may run it for a lease yet."""
    one, heir = Told(), Heir()
    one.beat(1.0, 1)
    one.grant(0, 70)
    assert one.orders() == [("run", "wk-1/0", 70)]
    one.part.cancelled = lambda job: True
    one.told_home()
    one.enter(6, 2.0, settle=False, carry=True)
    one.part.settle(2.5)
    (told, held), = one.told_home()
    assert (told, held) == ([], [("wk-1", 0, 70)])
    heir.told("n-2")
    assert heir.used == 2, "both may be on the machine that has not been heard"
    heir.told("n-1", held=[0])
    assert heir.used == 1 and not heir.shrinks, "it may be there"
    assert heir.home.usage.room("bound", heir.home.tally.teams["bound"], BOUND) == 0
    heir.enter(7)
    heir.told("n-1", held=[0])
    heir.told("n-2")
    assert heir.used == 1 and not heir.shrinks, "under the view after that, too"
    heir.told("n-1", live=[0])
    assert heir.used == 1 and heir.job.runs[0].state is TaskState.RUNNING
    heir.told("n-1")
    assert heir.used == 0 and heir.shrinks, "the report that lacks it"


def test_whatever_a_home_knows_of_a_task_an_order_that_no_report_has_settled_counts():
    for known in (Known.OVER, Known.WAITING, Known.POSSIBLE):
        assert TABLE[known][Column.HELD] is Verdict.ADOPT
