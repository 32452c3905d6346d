"""Guards against mixing up incarnations of controllers that restart at once, repeatedly."""

import curio
import msgspec
import pytest
from controller_clock import patch_now
from simulation import InvariantViolation, World, platform

from alderbridge import constants
from alderbridge.controller.core import ControllerCore
from alderbridge.controller.dependency_tracker import DependencyTracker
from alderbridge.controller.process import Controller
from alderbridge.controller.responses import Response
from alderbridge.jobs.job import Job
from alderbridge.jobs.record import JobState, Record
from alderbridge.jobs.shard import JobShard
from alderbridge.membership.membership import Membership, MemberStatus
from alderbridge.protocol import messages, wire
from alderbridge.scheduling.offers import Offer, Offers
from alderbridge.scheduling.placement import Candidate, fill
from alderbridge.settings import Tuning
from alderbridge.transport.selector import EpollSelector

# The longest time until a view that lacks a member is followed by another one, while the store answers: joining, the
# precedence of the four other labels, two rounds and the watch.
ELECTION_S = (
    constants.JOIN_DEBOUNCE_MAX_S
    + 4 * constants.ELECTION_STAGGER_S
    + 2 * constants.ROUND_INTERVAL_S
    + 2 * constants.WATCH_DELAY_S
    + 0.3
)
LOST_CALL_S = 2.5  # s; the timeout of a store call, of which the simulation loses some


def run_flapping(seed, times=6, until=200.0, **options):
    world = World(seed, nodes=5, random_faults=False, **options)
    for number in range(times):
        world.after(15.0 + 12.0 * number, world.flap)
    world.run(until)
    world.check_final_status_age()
    return world


def unfinished_jobs(world):
    return [
        job
        for job in world.accepted
        if job not in world.reported_ends and not world.specs[job].service and job not in world.cancelled_at
    ]


@pytest.mark.parametrize("seed", range(8500, 8504))
def test_no_task_or_job_is_lost_while_controllers_restart(seed):
    world = run_flapping(seed, until=330.0)
    assert world.task_starts > 0 and not unfinished_jobs(world) and not world.largest_started_late()
    assert not world.wrongly_halted, "the tasks of an earlier incarnation belong to the next one"


@pytest.mark.parametrize("seed", (8600, 8601, 8602))
def test_elections_converge_while_members_restart(seed):
    """All but one restart every 0.3 to 3 s for a minute; the stable one has the highest label, the last to propose."""
    world = World(seed, nodes=5, jobs=2, random_faults=False)
    for label in world.labels[:-1]:
        ends_at = 10.0
        while ends_at < 70.0:
            world.after(ends_at, world.crash_and_restart, world.controllers[label], world.rng.uniform(0.1, 0.25))
            ends_at += world.rng.uniform(0.3, 3.0)
    world.run(10.0)
    world.store.longest_view_lag_s = 0.0
    world.run(100.0)
    assert 1.0 < world.store.longest_view_lag_s < ELECTION_S + LOST_CALL_S
    assert world.store.view_differs_since is None, "the view has all running members"


def run_to_remote_task(world):
    """Run until a task runs on a machine that its job owner does not own; returns both owners and the task."""
    while True:
        world.run(world.t + 0.5)
        for label, sim in world.controllers.items():
            for name, job in sim.core.job_shard.jobs.items():
                for index, run in job.runs.items():
                    machine_owner = sim.core.membership.machine_owner(run.machine)
                    if machine_owner != label and run.state.value == "running":
                        return label, machine_owner, name, index, run


def test_restarted_process_ignores_messages_for_its_earlier_incarnation():
    """Guards against a restarted job owner that handles messages for its earlier incarnation, which are sent again."""
    world = World(8700, random_faults=False, jobs=30)
    job_owner, machine_owner, name, index, run = run_to_remote_task(world)
    sender = world.controllers[machine_owner].core
    sender.messenger.channels[job_owner].reset(sender.membership.fencing_token, world.t)  # as after a new view
    world.controllers[job_owner].crash()
    world.restart(world.controllers[job_owner])
    while not (core := world.controllers[job_owner].core).state.loaded:
        world.run(world.t + 0.01)
    assert not core.state.is_member and core.membership.fencing_token == sender.membership.fencing_token
    task_report = messages.MachineTaskReport(
        run.machine, run.zone, 0, [messages.TaskStatusReport(name, index, run.attempt, "running", None)], []
    )
    core.on_frame(sender.messenger.channels[job_owner].post(task_report, world.t), world.t)
    assert not [body for _, body in core.effects.outgoing_frames if not isinstance(body.body, messages.KeepAlive)], (
        "no halt of the tasks that its earlier incarnation ran"
    )
    assert core.messenger.channels[machine_owner].last_received_sequence == 0, "no acknowledgement"
    core.on_frame(sender.messenger.channels[job_owner].post_unreliable(messages.JobQuery(7, "status", name)), world.t)
    assert [query.query_id for _, query in core.effects.queries] == [7], (
        "queries are accepted; the sender reads the store after a 503"
    )


def test_view_may_arrive_before_the_store_lease():
    """Guards against a process that enters the view as a non-member and never loads the jobs that it owns."""
    world = World(8701, random_faults=False, jobs=30)
    job_owner, *_ = run_to_remote_task(world)
    world.controllers[job_owner].crash()
    world.restart(world.controllers[job_owner])
    core = world.controllers[job_owner].core
    original, delayed_calls = core.view_entry.lease_acquired, []
    core.view_entry.lease_acquired = lambda *args: delayed_calls.append(args)  # the store responds late
    fencing_token = max(sim.core.membership.fencing_token for sim in world.controllers.values() if sim.core)
    while core.membership.fencing_token <= fencing_token or not delayed_calls:
        world.run(world.t + 0.05)
    assert not core.state.is_member and not core.may_act()
    core.view_entry.lease_acquired = original
    core.view_entry.lease_acquired(*delayed_calls[0])
    assert core.may_act() and core.state.is_member and core.job_shard.jobs
    world.check_owned_jobs_served(core)


def refuse_unconfirmed_submission(world, label):
    """Refuse a submission whose transaction got no response; returns its spec and its write batch."""
    spec = msgspec.structs.replace(
        world.make_job(1), kind="sweep", tasks=2, cpus=1.0, types=None, zone=None, one_zone=False, spread=False
    )
    core = world.controllers[label].core
    world.specs[spec.id] = spec
    submission = core.submissions.submit(spec, world.t, world.t)
    batch = core.record_writer.next_batch(world.t)
    core.batch_results.on_failed(batch, world.t)
    core.submissions.refuse_all()
    assert submission.outcome == "refused"
    return spec, batch


@pytest.mark.parametrize("is_retried", (False, True))
def test_refused_submission_whose_transaction_is_applied_late_is_served(is_retried):
    """Guards against a stored job that nobody runs because its submission is no longer pending."""
    world = World(8702, random_faults=False, jobs=0)
    world.run(5.0)
    spec, batch = refuse_unconfirmed_submission(world, "host-1")
    core = world.controllers["host-1"].core
    if is_retried:  # the retry is pending when the first transaction is applied
        core.submissions.submit(spec, world.t + 1.0, world.t + 1.0)
    assert not world.store.commit(batch.conditions, batch.puts).failed
    world.accepted.add(spec.id)
    world.first_submitted_at[spec.id] = world.t
    world.poll(spec.id)
    world.run(90.0)
    assert world.reported_ends.get(spec.id) == "done"


def test_job_whose_record_has_all_tasks_done_ends():
    """Guards against a job that stays active if its owner failed between writing the last result and the end."""
    world = World(8703, random_faults=False, jobs=0)
    spec = msgspec.structs.replace(world.make_job(1), kind="sweep", tasks=3)
    world.specs[spec.id] = spec
    world.completed |= {f"{spec.id}/{index}" for index in range(3)}
    world.store.commit({}, {"ab/j/" + spec.id: Record(JobState.ACTIVE, "host-2", 0.0, 3, [(0, 3)], spec)})
    world.accepted.add(spec.id)
    world.poll(spec.id)
    world.run(40.0)
    assert world.reported_ends.get(spec.id) == "done"


def test_reply_to_an_earlier_incarnation_does_not_answer_another_query():
    first, second = (Controller(platform("host-0", ["host-0", "host-1"]), Tuning(), EpollSelector()) for _ in range(2))
    assert second.queries.query_count > first.queries.query_count + 100, (
        "query ids are not reused by later incarnations of a label"
    )

    async def query_with_reply(body):
        async def deliver():
            while not second.queries.pending_queries:
                await curio.sleep(0)
            second.core.effects.query_replies.append(
                messages.JobQueryReply(next(iter(second.queries.pending_queries)), 200, body)
            )
            await second.dispatch_effects()

        task = await curio.spawn(deliver)
        response = await second.queries.query("host-1", "status", "wk-000001")
        await task.join()
        return response

    assert curio.run(query_with_reply, wire.job_status_body("wk-000001", "done", 1, 0))[0] == 200
    assert curio.run(query_with_reply, wire.job_status_body("wk-000002", "done", 1, 0)) is None


def test_job_without_status_answers_is_logged_periodically(monkeypatch, caplog):
    controller, clock = Controller(platform("host-0", ["host-0", "host-1"]), Tuning(), EpollSelector()), [100.0]
    patch_now(monkeypatch, lambda: clock[0])
    caplog.set_level("INFO")
    for status in [503] * 20 + [200] + [503] * 5:
        controller.users_api.status.finalize_status("wk-000001", Response(status, b"", []))
        clock[0] += 5.0
    assert [record.args[1] for record in caplog.records] == [25.0, 50.0, 75.0]


SMALL = wire.JobSpec(
    id="wk-000001",
    job_class="small",
    team="free",
    kind="sweep",
    priority="standard",
    tasks=400,
    cpus=2.0,
    memory_gb=2.0,
    image="p",
    image_gb=1.0,
    estimate_s=20.0,
    types=["large"],
    zone=None,
    one_zone=False,
    spread=False,
    spot=True,
)
LARGE = msgspec.structs.replace(SMALL, id="wk-999999", job_class="big", tasks=8, cpus=16.0)


def row(spec, waited_s, due_s, **fields):
    return messages.QueueRow(spec.id, spec.tasks, spec.tasks, due_s, 20.0, None, waited_s, False, False, **fields)


def test_machines_are_reserved_for_a_task_that_fits_no_free_capacity():
    offers = Offers()
    offers.replace(
        "host-0",
        [
            Offer(
                "host-0", row(LARGE, constants.RESERVE_MACHINE_AFTER_S, 5.0), LARGE, 100.0, constants.PACKING_DELAY_S
            ),
            Offer("host-0", row(SMALL, 5.0, 50.0), SMALL, 100.0, constants.PACKING_DELAY_S),
        ],
    )

    def requested_tasks(cpus, is_reserved):
        machine = Candidate("n-1", "large", "a", True, (cpus, 64.0, 0.0), {})
        return [
            (request.job, request.count)
            for request in fill(machine, offers, lambda spec: 0.0, lambda offer: 0, is_reserved, 100.0)
        ]

    assert requested_tasks(4.0, lambda offer: True) == [] and requested_tasks(4.0, lambda offer: False) == [
        (SMALL.id, 2)
    ]
    assert requested_tasks(16.0, lambda offer: True) == [(LARGE.id, 1)]


def test_large_job_is_boosted_after_waiting():
    """Guards the priority boost: one task of a job that has not started, an eighth of the tasks of a late job."""
    job_shard = JobShard([], lambda label, body: 1, 4096)
    job_shard.enter_view(1, {}, {})
    job = Job(Record(JobState.ACTIVE, "host-0", 0.0, 400, [], SMALL), 1, 0.0, 0.0, never_started=True)
    job_shard.add(job)

    def offer_and_boost(now):
        row = job_shard.queue.rows(
            now, lambda job, now, guaranteed: (60.0, now > 40.0), lambda spec: 20.0, lambda spec: -1, (), {}
        )[0]
        return row.offer, row.priority_boost

    assert offer_and_boost(10.0) == (400, 0) and offer_and_boost(constants.STARVATION_TIMEOUT_S) == (1, 2)
    job_shard.grants.on_task_request("host-0", messages.TaskRequest(1, SMALL.id, "n-1", "a", 1), 121.0, True)
    job.has_started = True
    assert offer_and_boost(122.0) == (399, 0) and offer_and_boost(121.0 + constants.LATE_BOOST_AFTER_S) == (50, 1)
    job_shard.grants.on_task_request("host-0", messages.TaskRequest(2, SMALL.id, "n-1", "a", 20), 182.0, True)
    assert offer_and_boost(183.0) == (30, 1), "the boost lasts until its share is granted"
    job_shard.grants.on_task_request("host-0", messages.TaskRequest(3, SMALL.id, "n-1", "a", 30), 184.0, True)
    assert offer_and_boost(185.0) == (349, 0)
    offers, other = Offers(), msgspec.structs.replace(LARGE, priority="high")
    offers.replace(
        "host-0",
        [
            Offer("host-0", row(other, 5.0, 1.0), other, 100.0, 4.0),
            Offer("host-0", row(SMALL, 121.0, 60.0, priority_boost=2), SMALL, 100.0, 4.0),
        ],
    )
    assert [entry[-1].row.job for entry in offers.in_order()] == [SMALL.id, LARGE.id]


def large_job_starts(seed):
    """Whether a job whose task needs a whole machine starts, while small jobs more than fill two machines."""
    world = World(seed, jobs=0, random_faults=False, machines=2)
    numbers = iter(range(10**6))

    def submit_small_jobs():
        world.submit(msgspec.structs.replace(SMALL, id=f"wk-{next(numbers):06d}", tasks=4))
        world.after(world.rng.expovariate(0.2), submit_small_jobs)

    world.after(1.0, submit_small_jobs)
    world.after(45.0, world.submit, LARGE)
    world.run(46.0 + 240.0)
    return not world.largest_started_late()


def test_large_job_starts_while_small_jobs_fill_the_fleet(monkeypatch):
    assert large_job_starts(8805)
    for delay in ("RESERVE_MACHINE_AFTER_S", "STARVATION_TIMEOUT_S", "LATE_BOOST_AFTER_S"):
        monkeypatch.setattr(constants, delay, 1e9)
    assert not large_job_starts(8805)


def accept_frames_of_earlier_incarnations(monkeypatch):
    def on_frame(self, frame, now):
        self.state.now = now
        body = self.messenger.channels[frame.sender].receive(frame, now)
        if body is not None:
            self.messenger.dispatch(frame.sender, body)
            self.messenger.pump()

    monkeypatch.setattr(ControllerCore, "on_frame", on_frame)


def ignore_lease_id_of_member(monkeypatch):
    """A process counts as a member by its label alone, so its restart causes no new view."""

    def status(self, now):
        if self.me not in self.view.members or not self.store_lease.lease_id:
            return MemberStatus.OUTSIDE
        return (
            MemberStatus.MEMBER if now < min(self.store_lease.valid_until, self.fresh_until) else MemberStatus.EXPIRED
        )

    original = Membership.next_view
    monkeypatch.setattr(Membership, "status", status)
    monkeypatch.setattr(
        Membership,
        "next_view",
        lambda self, now, max_removed: (
            None if self.registered.keys() == self.view.members.keys() else original(self, now, max_removed)
        ),
    )


def skip_cascade_aborts(monkeypatch):
    original = Job.abort
    monkeypatch.setattr(
        Job, "abort", lambda self, now, cause="withdrawn": original(self, now, cause) if cause == "withdrawn" else None
    )
    monkeypatch.setattr(DependencyTracker, "is_cascade_abort_settled", lambda self, job: False)


@pytest.mark.parametrize(
    "fault, invariant, options",
    [
        (accept_frames_of_earlier_incarnations, "halted", {}),
        (ignore_lease_id_of_member, "unfinished_jobs", {}),
        (skip_cascade_aborts, "unanswered", {"pipelines": 5}),
    ],
)
def test_violation_of_each_invariant_is_detected(monkeypatch, fault, invariant, options):
    fault(monkeypatch)
    for seed in range(8900, 8940):
        try:
            world = run_flapping(seed, until=230.0, **options)
            violation = "halted" if world.wrongly_halted else "unfinished_jobs" if unfinished_jobs(world) else ""
        except InvariantViolation as error:
            violation = str(error)
        if violation.startswith(invariant):
            return
    pytest.fail(f"no run violated {invariant}")
