"""Two troubles at once, where machines are concerned: deaf ones, old reports, late commands, tasks that end far apart."""

from random import Random

import msgspec
import pytest
from test_machines import SPEC
from world import LEASE_S, SimWorker, World

from alderbridge import constants as c
from alderbridge.jobs import Home, Job, JobState, Record, TaskState
from alderbridge.machines import MachineState, Part
from alderbridge.mesh import Clear, Grant, Halt, Seen, SeenTask, Take
from alderbridge.recovery import State
from alderbridge.wire import Beat, MachineRecord, ReportedTask

OUT_S = LEASE_S * (1 + 2 * c.CLOCK_DRIFT) + c.PROOF_MARGIN_S  # from the last renewal to the proof that the lease is out
RUNNING = ReportedTask("wk-1/0", 70, "running")
SAME = object()


class Told:
    """A part with one recorded machine, and what it tells homes."""

    def __init__(self) -> None:
        self.sent: list = []
        self.part = Part("host-0", LEASE_S, lambda label, body: self.sent.append((label, body)) or len(self.sent),
                         lambda job: SPEC, lambda job: "host-1", Random(1))
        self.part.upto = lambda label: 7
        self.enter(5, 0.0, continued=False)

    def enter(self, mandate, now, continued=True, settle=True, carry=False):
        self.part.enter(mandate, ["host-0", "host-1"], {"n-1": MachineRecord("x", "c4", "a")}, now, continued, carry)
        if settle:
            self.part.settle(now)

    @property
    def machine(self):
        return self.part.machines["n-1"]

    def beat(self, now, counter, mandate=5, tenure=1, tasks=(), asked=False):
        beat = Beat("n-1", "x", "c4", tenure, counter, mandate, "a", tasks=list(tasks))
        return (self.part.on_asked if asked else self.part.on_beat)(beat, now)

    def grant(self, index, attempt, now=0.0):
        self.part.on_grant("host-1", Grant(self.part.reserve(self.machine, "wk-1", 1), "wk-1", "n-1",
                                           [(index, attempt)]), now)

    def orders(self):
        return [(order["verb"], order["part"], order["try"]) for order in self.part.orders(self.machine)]

    def told_home(self):
        """What its home was told since the last look."""
        told, self.sent[:] = [body for label, body in self.sent if label == "host-1"], []
        return [(sorted(task.index for task in body.tasks), body.held) for body in told]


# -- a change of view while machines are deaf -----------------------------------

def test_a_machine_that_accepts_no_answer_lapses_by_its_own_reports():
    """Each report renewed the wait for its silence: its tasks waited behind the barrier for as long as it was deaf."""
    one = Told()
    for counter, now in enumerate((3.0, 10.0, 17.0), 1):
        assert one.beat(now, counter, mandate=4, tasks=[RUNNING]) is not None, "its answer may be the one that it hears"
        one.part.check_leases(now)
        assert one.machine.state is MachineState.EXPECTED and not one.told_home()
    assert one.beat(OUT_S + 0.1, 4, mandate=4) is one.machine, "answered: else it could never acknowledge"
    assert one.machine.state is MachineState.LAPSED and one.part.squaring.states["n-1"] is State.LAPSED
    assert one.told_home() == [([], [])] and one.part.to_drop == ["n-1"]
    assert one.orders() == []
    one.beat(OUT_S + 1.0, 5, mandate=4)
    assert one.part.to_drop == ["n-1"] and not one.told_home(), "said once"
    one.beat(OUT_S + 2.0, 1, tenure=2)
    assert one.machine.state is MachineState.UP and one.machine.acked and one.part.to_record == ["n-1"]


def test_until_its_lease_is_provably_out_reports_of_a_deaf_machine_prove_nothing():
    one = Told()
    one.beat(OUT_S - 0.1, 1, mandate=4)
    assert one.machine.state is MachineState.EXPECTED
    one.beat(OUT_S - 0.05, 2, mandate=5, tasks=[RUNNING])  # it heard the last answer
    assert one.machine.state is MachineState.UP and one.told_home() == [([0], [])]
    one.beat(3 * OUT_S, 3, mandate=5, tasks=[RUNNING])  # heard seldom, and no look was taken in between
    assert one.machine.state is MachineState.UP


def test_before_the_view_has_settled_another_may_have_renewed_its_lease():
    one = Told()
    one.enter(6, 100.0, continued=False, settle=False)
    one.beat(100.0 + 2 * OUT_S, 1, mandate=5)
    assert one.machine.state is MachineState.EXPECTED, "whoever acts under the older view may answer it"
    one.part.settle(100.0 + 2 * OUT_S)
    one.beat(100.0 + 3 * OUT_S - 0.1, 2, mandate=5)
    assert one.machine.state is MachineState.EXPECTED
    one.beat(100.0 + 3 * OUT_S + 0.1, 3, mandate=5)
    assert one.machine.state is MachineState.LAPSED


def test_a_lease_counts_from_the_answers_of_the_view_before_that_a_machine_may_have_accepted():
    """This process answered it under mandate 5 until 30 s; a report with mandate 5 does not deny that."""
    one = Told()
    one.beat(10.0, 1, tasks=[RUNNING])
    one.beat(30.0, 2, tasks=[RUNNING])
    one.enter(6, 31.0)
    one.told_home()
    one.beat(30.0 + OUT_S - 0.1, 3, tasks=[RUNNING])
    assert one.machine.state is MachineState.EXPECTED
    one.beat(30.0 + OUT_S + 0.1, 4, tasks=[RUNNING])
    assert one.machine.state is MachineState.LAPSED and one.told_home() == [([], [])]


def test_changes_of_view_one_after_the_other_do_not_begin_its_lease_anew():
    """Deaf through three views, none of which lasts for a lease: each gave it time until it lapsed of its own."""
    one = Told()
    one.beat(1.0, 1)
    for mandate, now in ((6, 8.0), (7, 14.0)):
        one.enter(mandate, now)
        one.beat(now + 1.0, mandate, mandate=5)
        assert one.machine.state is MachineState.EXPECTED
    one.beat(1.0 + OUT_S + 0.1, 9, mandate=5)
    assert one.machine.state is MachineState.LAPSED


def test_an_answer_of_a_view_between_counts_as_accepted_when_a_report_shows_its_mandate():
    """Answered under 6 and 7 without a report in between; it has accepted 6, and so renewed its lease late."""
    one = Told()
    one.beat(1.0, 1)
    one.enter(6, 2.0)
    one.beat(15.0, 2, mandate=5)
    one.enter(7, 16.0)
    one.beat(1.0 + OUT_S + 0.1, 3, mandate=6)
    assert one.machine.state is MachineState.EXPECTED
    one.beat(1.0 + 2 * OUT_S, 4, mandate=6)
    assert one.machine.state is MachineState.EXPECTED, "the lease counts from when that report came"
    one.beat(1.0 + 2 * OUT_S + 0.3, 5, mandate=6)
    assert one.machine.state is MachineState.LAPSED


def test_a_deaf_machine_that_hears_a_command_acknowledges():
    """The command was held up, the machine lapsed meanwhile or not: what it shows then is all that is there."""
    one = Told()
    one.beat(5.0, 1, mandate=4, tasks=[RUNNING])
    one.beat(9.0, 2, mandate=5, tasks=[RUNNING], asked=True)
    assert one.machine.state is MachineState.UP and one.told_home() == [([0], [])]
    other = Told()
    other.beat(OUT_S + 1.0, 1, mandate=4)
    other.told_home()
    other.beat(OUT_S + 2.0, 2, mandate=5, asked=True)
    assert other.machine.state is MachineState.LAPSED and not other.machine.acked, "its lapse is told; a report ends it"


def test_a_carried_machine_that_is_deaf_frees_what_was_ordered_by_the_lapse_alone():
    one = Told()
    one.beat(1.0, 1)
    one.grant(3, 73)
    assert one.orders() == [("run", "wk-1/3", 73)]
    one.enter(6, 2.0, carry=True)
    assert one.told_home()[-1] == ([], [("wk-1", 3, 73)])
    one.beat(1.0 + OUT_S - 0.1, 2, mandate=5)
    assert not one.told_home()
    one.beat(1.0 + OUT_S + 0.1, 3, mandate=5)
    assert one.told_home() == [([], [])] and one.machine.state is MachineState.LAPSED


def test_copies_of_a_dead_machine_s_reports_keep_it_from_no_lapse():
    """Owned by another before: all copies are news to this part. Each moved the clock, for up to two leases."""
    one = Told()
    now, counter = 1.0, 0
    while one.machine.state is not MachineState.LAPSED and now < 3 * OUT_S:
        counter += 1
        one.beat(now, counter, mandate=4, tasks=[RUNNING])
        one.part.check_leases(now)
        now += 2.0
    assert one.machine.state is MachineState.LAPSED and now < OUT_S + 5.0
    assert one.told_home() == [([], [])]


def test_a_member_that_may_not_know_a_newer_view_declares_no_lease_run_out():
    """Cut off from the store at 5 s, it still acted: the newer view's owner may have renewed the lease since."""
    for deaf in (False, True):
        one = Told()
        one.part.newest_until = 5.0
        if not deaf:
            one.beat(1.0, 1, tasks=[RUNNING])
        one.beat(1.0 + OUT_S + 0.2, 2, mandate=4) if deaf else one.part.check_leases(1.0 + OUT_S + 0.2)
        assert one.machine.state is not MachineState.LAPSED
        one.part.newest_until = 1.0 + OUT_S
        one.beat(1.0 + OUT_S + 0.4, 3, mandate=4) if deaf else one.part.check_leases(1.0 + OUT_S + 0.4)
        assert one.machine.state is MachineState.LAPSED, "it stays due"
