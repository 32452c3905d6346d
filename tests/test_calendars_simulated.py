"""Seeded random runs with hours declared: three and five controllers that fail, clocks off by up to the bound."""

import math

import msgspec
import pytest
import simulation as w

from alderbridge import constants
from alderbridge.calendars import CalendarConfiguration, Timetable
from alderbridge.calendars.model import Calendar, CalendarRule
from alderbridge.calendars.timetable import DAY, NEVER
from alderbridge.controller.calendar_control import CalendarControl
from alderbridge.jobs.job_calendars import JobCalendars
from alderbridge.protocol import wire
from alderbridge.protocol.messages import TaskRequest

BASE = 20752 * DAY - 180.0  # three minutes before midnight, UTC
SKEW_S, KEY, TTL_S = 2.0, "ab/hours", constants.TOTAL_LEASE_S - w.LEASE_S
LATE_S = 5.0  # s; a report interval and the way


class HoursWorld(w.World):
    """Texts are stored one after the other; each node obeys the one before as well for the ttl and a second."""

    def __init__(self, seed: int, falls: bool = True, **more) -> None:
        super().__init__(seed, **more)
        self.is_quiet = not (falls or more.get("random_faults", True))
        rng = self.rng
        self.texts, self.stored = [CalendarConfiguration()], [-math.inf]
        for at in (rng.uniform(2.0, 15.0), rng.uniform(50.0, 110.0)):
            self.after(at, self.declare, self.text())
        self.after(210.0, self.declare, CalendarConfiguration())
        off = rng.choice([-SKEW_S, SKEW_S, None])  # all at one end of the bound, or anywhere in it
        for sim in self.nodes.values():
            sim.ahead_s = BASE + (rng.uniform(-SKEW_S, SKEW_S) if off is None else off)
        for number in range(6):
            self.after(rng.uniform(40.0, 200.0), self.submit, self.make_job(60 + number))
        if not self.is_quiet:
            self.late_share = 0.03
            for minute in range(1, 4):  # what was asked for or granted before closing arrives after it
                self.after(60.0 * minute - rng.uniform(4.0, 12.0), self.cut, rng.uniform(6.0, 20.0))
        for _ in range(rng.randint(2, 5) if falls else 0):
            self.after(rng.uniform(10.0, 190.0), self.some_fall)

    def make_job(self, number: int) -> wire.JobSpec:
        """Small ones, so that room is there whenever the hours allow a start."""
        spec = super().make_job(number)
        return msgspec.structs.replace(
            spec, cpus=1.0, save_s=self.rng.choice([0.0, 1.0]), estimate_s=spec.estimate_s * self.rng.choice([1.0, 1.5])
        )

    def text(self) -> CalendarConfiguration:
        """Minutes that are open or closed, over midnight, a calendar a team."""
        rng, calendars, classes = self.rng, [], []
        for team in ("free", "bound"):
            days = []
            for day, minutes in ((20751, range(1437, 1440)), (20752, range(0, 4))):
                days.append((day, [(m, m + 1) for m in minutes if rng.random() < 0.6]))
            calendars.append(Calendar(team, "UTC", [[(0, 1440)]] * 7, days))
            classes.append(
                CalendarRule(
                    team,
                    rng.choice(["x", "*"]),
                    team,
                    rng.random() < 0.3,
                    1.0,
                    rng.random() < 0.5,
                    rng.choice([0.0, 30.0, 30.0]),
                    rng.choice([0.0, 5.0, 20.0]),
                )
            )
        return CalendarConfiguration(calendars, classes)

    def declare(self, text: CalendarConfiguration) -> None:
        if self.t < self.store.down_until:
            self.after(1.0, self.declare, text)
            return
        self.texts.append(text)
        self.stored.append(self.t)
        self.store.commit({}, {KEY: len(self.texts) - 1})

    def followed(self, sim, rows) -> None:
        for row in rows:
            if KEY in (getattr(row, "key", None), getattr(row, "put", None)):
                number, life = msgspec.json.decode(row.data), sim.life
                sim.core.calendars.apply(self.texts[number - 1 : number + 1])
                self.after(TTL_S + constants.PROOF_MARGIN_S, self.enforce, sim, life, number)

    def enforce(self, sim, life: int, number: int) -> None:
        known = sim.core is not None and sim.life == life and sim.core.calendars.gate is not None
        if known and sim.core.calendars.gate.configurations[-1] is self.texts[number]:
            sim.core.calendars.apply([self.texts[number]])

    def cut(self, for_s: float) -> None:
        self.rng.choice(list(self.nodes.values())).cut_mesh_until = self.t + for_s

    def some_fall(self) -> None:
        sims = list(self.nodes.values())
        for sim in self.rng.choice([sims, self.rng.sample(sims, 1), self.rng.sample(sims, 2)]):
            sim.crash()
            self.after(
                self.rng.uniform(0.1, 60.0) if self.rng.random() < 0.2 else self.rng.uniform(0.1, 5.0),
                self.restart,
                sim,
            )

    def in_force(self) -> list[CalendarConfiguration]:
        """What nobody may act against by now: known for a ttl to all who act, and dropped by none before a ttl."""
        after = [*self.stored[1:], math.inf]
        return [
            text
            for text, since, until in zip(self.texts, self.stored, after, strict=True)
            if since + TTL_S + constants.ORDER_DELIVERY_S <= self.t < until + TTL_S + constants.PROOF_MARGIN_S
        ]

    def open_until(
        self, text: CalendarConfiguration, spec: wire.JobSpec, ago_s: float = 0.0
    ) -> tuple[CalendarRule | None, float]:
        table, wall = Timetable(text), BASE + self.t - ago_s
        rule = table.rule(spec)
        if rule is None:
            return None, NEVER
        begin, end = next(table.hours[rule.calendar].periods(wall), (NEVER, 0.0))
        return rule, end if begin <= wall else 0.0

    def ordered(self, part: str) -> None:
        spec = self.specs[wire.split_task_id(part)[0]]
        for text in self.in_force():
            rule, until = self.open_until(text, spec)
            run_s = spec.estimate_s * rule.run_factor if rule is not None and rule.ends else 0.0
            if BASE + self.t + run_s >= until:
                raise w.Broken(f"closed: {part} started at {self.t:.2f}")

    def watch(self) -> None:
        super().watch()
        for part in self.on if self.is_quiet else ():
            spec, text = self.specs[wire.split_task_id(part)[0]], self.texts[-1]
            rule, until = self.open_until(text, spec, LATE_S)
            since = self.open_until(text, spec)[1]
            if rule is not None and rule.stops and not until and not since and self.t > self.stored[-1] + LATE_S:
                raise w.Broken(f"not stopped: {part} runs at {self.t:.2f}")


@pytest.fixture(autouse=True)
def clocks_may_be_off(monkeypatch):
    plain = w.platform

    def platform(*args):
        made = plain(*args)
        return msgspec.structs.replace(made, settings=msgspec.structs.replace(made.settings, skew_ms=SKEW_S * 1000))

    monkeypatch.setattr(w.deployment, "platform", platform)


def play(seed: int, until: float = 600.0, **more) -> HoursWorld:
    world = HoursWorld(seed, **more)
    world.run(until)
    return world


def lacking(world) -> list[str]:
    return [job for job in world.accepted if job not in world.said and not world.specs[job].service]


@pytest.mark.parametrize("seed", range(9000, 9006))
def test_no_start_in_closed_hours_and_every_job_ends_once_open(seed):
    world = play(seed, nodes=3 + 2 * (seed % 2), random_faults=False, falls=seed % 3 > 0)
    assert len(world.accepted) == 20 and not lacking(world)


@pytest.mark.parametrize("seed", range(9100, 9105))
def test_no_start_in_closed_hours_whatever_fails(seed):
    assert play(seed, 260.0, nodes=3 + 2 * (seed % 2), pipelines=2, groups=seed % 2 == 0).starts > 0


def test_what_was_granted_and_not_sent_at_closing_is_freed():
    """Between the grant and the report whose answer brings the order a machine may hang for as long as its lease."""
    world = w.World(1, jobs=6, random_faults=False)
    world.run(100.0)
    shut = CalendarConfiguration([Calendar("never", "UTC", [[]] * 7)], [CalendarRule("*", "*", "never", stops=True)])
    spec = msgspec.structs.replace(world.make_job(90), kind="sweep", tasks=1, types=None, zone=None, one_zone=False)
    world.submit(spec)
    for step in range(90_000):
        world.run(100.0 + 0.001 * step)
        pending = [
            (sim, machine)
            for sim in world.nodes.values()
            for machine in sim.core.machine_shard.machines.values()
            if (spec.id, 0) in machine.orders.pending
        ]
        if pending:
            break
    (sim, machine), part = pending[0], f"{spec.id}/0"
    for other in world.nodes.values():
        other.core.calendars.apply([shut])
    assert not [order for order in sim.core.machine_shard.order_builder.orders(machine) if order["verb"] == "run"]
    world.run(world.t + 8.0)
    home = next(other.core.job_shard for other in world.nodes.values() if spec.id in other.core.job_shard.jobs)
    home.grants.on_task_request(
        sim.label, TaskRequest(0, spec.id, machine.name, machine.zone, 1), world.t, True
    )  # of an older offer
    assert not home.jobs[spec.id].runs
    assert part not in world.on and home.jobs[spec.id].waiting == 1 and not machine.orders.pending
    for other in world.nodes.values():
        assert (other.core.local_jobs.local_job_state(spec.id, world.t) or ("pending",))[0] == "pending"
        other.core.calendars.apply([])
    world.run(world.t + 200.0)  # its team is at its limit
    assert part in world.completed


def broken(monkeypatch, what: str) -> None:
    declare = CalendarControl.apply
    if what == "no cautious clock":

        def careless(calendars, texts):
            declare(calendars, texts)
            calendars.gate.skew_s = 0.0

        monkeypatch.setattr(CalendarControl, "apply", careless)
    elif what == "nothing stopped":
        monkeypatch.setattr(JobCalendars, "stop_tasks", lambda home: None)
    else:
        monkeypatch.setattr(CalendarControl, "apply", lambda calendars, texts: declare(calendars, texts[:1]))


@pytest.mark.parametrize(
    "what, seeds",
    (("no cautious clock", (9008, 9009)), ("the older text alone", (9000, 9003)), ("nothing stopped", (9011,))),
)
def test_each_guard_broken_on_purpose_is_caught(what, seeds, monkeypatch):
    """The checks at the grant and with the order have a test of their own above, which fails without either."""
    broken(monkeypatch, what)
    with pytest.raises(w.Broken, match="not stopped: " if what == "nothing stopped" else "closed: "):
        for seed in seeds:
            play(seed, 220.0, nodes=3 + 2 * (seed % 2), random_faults=False, falls=what != "nothing stopped")
