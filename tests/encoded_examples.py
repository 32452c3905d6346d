"""The values that the files of ``encoded_forms`` encode.

Values are built by keyword, so that a test fails if two fields of the same type are swapped. A rename of a class or
field changes this module, but none of the files.
"""

from msgspec import Raw

from alderbridge import settings
from alderbridge.calendars import configuration as hours
from alderbridge.claims.records import JobPreemptions, PreemptionClaim, PreemptionUsage
from alderbridge.configuration.records import ConfigurationHead, StoredRevision, head_key, piece_keys
from alderbridge.jobs.record import JobState, Record
from alderbridge.jobs.task_states import TaskState
from alderbridge.lending import configuration as lending
from alderbridge.lending import lender
from alderbridge.machines.machine import MachineState
from alderbridge.membership.records import MemberRecord, View
from alderbridge.priorities import configuration as priorities
from alderbridge.priorities import policy
from alderbridge.protocol import messages, wire
from alderbridge.protocol.keys import (
    CLAIMS,
    CONFIGURATIONS,
    DEPENDENCY_LISTS,
    JOB_PREEMPTIONS,
    JOBS,
    MACHINE_TYPES,
    MACHINES,
    MEMBERS,
    PREEMPTION_BUDGETS,
    ROOT,
    VIEW,
    dependency_list_keys,
)

JOB = wire.JobSpec(
    id="wk-000017",
    job_class="batch-fit",
    team="forecasts",
    kind="group",
    priority="production",
    tasks=12,
    cpus=2.5,
    memory_gb=6.25,
    image="fit-3",
    image_gb=1.75,
    estimate_s=340.5,
    gpus=0.5,
    checkpoint_s=45.5,
    save_s=3.5,
    types=["g4", "m8"],
    zone="north-1",
    one_zone=True,
    spread=True,
    spot=True,
    due_s=7200.5,
    dependencies=["wk-000003", "wk-000004"],
)
JOB_REQUIRED = wire.JobSpec(
    id="wk-000018",
    job_class="batch-fit",
    team="forecasts",
    kind="sweep",
    priority="best_effort",
    tasks=3,
    cpus=1.5,
    memory_gb=2.5,
    image="fit-3",
    image_gb=0.75,
    estimate_s=60.5,
)
MACHINE_TYPE = wire.MachineType(
    name="g4",
    cpus=16.5,
    memory_gb=64.5,
    price=3.25,
    boot_s=40.5,
    gpus=4.5,
    cache_gb=200.5,
    fetch_gb_per_s=0.75,
    spot_price=1.25,
    zones=["north-1", "south-2"],
)
MACHINE_TYPE_REQUIRED = wire.MachineType(name="m8", cpus=8.5, memory_gb=32.5, price=1.5, boot_s=30.5)

QUEUE_ROW = messages.QueueRow(
    job="wk-000017",
    waiting=9,
    offer=8,
    due_in_s=71.5,
    run_s=340.5,
    zone="north-1",
    waited_s=12.5,
    late=True,
    guaranteed=False,
    rank=3,
    inherited=2,
    priority_boost=1,
)
QUEUE_ROW_OLDER = messages.QueueRow(
    job="wk-000017",
    waiting=9,
    offer=8,
    due_in_s=71.5,
    run_s=340.5,
    zone=None,
    waited_s=12.5,
    late=False,
    guaranteed=True,
)

# Messages between controllers; ``FRAMES`` holds one frame for each.
MESSAGES = {
    "message-pulse": messages.KeepAlive(),
    "message-queue": messages.QueueSnapshot(
        rows=[QUEUE_ROW],
        used={"forecasts": (1.5, 2.5)},
        reserved={"forecasts": (3.5, 4.5)},
        demand={"forecasts": (5.5, 6.5)},
        allocations_received=7,
        suspected=["host-2"],
        failed=["host-3"],
        changes=55,
    ),
    "message-queue-changes": messages.QueueDelta(
        created_at=812.5, rows=[QUEUE_ROW], removed_jobs=["wk-000009"], is_full=True
    ),
    "message-team-changes": messages.TeamUsageDelta(
        teams={"forecasts": messages.TeamUsage(used=(1.5, 2.5), reserved=(3.5, 4.5), demand=(5.5, 6.5))},
        allocations_received=7,
        is_full=True,
    ),
    "message-status": messages.PeerStatus(suspected=["host-2"], failed=["host-3"], changes=55),
    "message-allot-changes": messages.QuotaDelta(teams={"forecasts": (7.5, 8.5)}),
    "message-room": messages.MachineSummaries(
        rows=[
            messages.MachineSummary(
                machine="vm-1",
                type="g4",
                zone="north-1",
                spot=True,
                state=MachineState.DRAINING,
                idle_s=1.5,
                free=(2.5, 3.5, 4.5),
                ends=[(5.5, 6.5, 7.5, 8.5)],
                silent_s=9.5,
            )
        ]
    ),
    "message-take": messages.TaskRequest(request_id=4, job="wk-000017", machine="vm-1", zone="north-1", count=6),
    "message-grant": messages.TaskGrant(request_id=4, job="wk-000017", machine="vm-1", tasks=[(5, 2)]),
    "message-seen": messages.MachineTaskReport(
        machine="vm-1",
        zone="north-1",
        processed_seq=31,
        tasks=[messages.TaskStatusReport(job="wk-000017", index=5, attempt=2, status="ended", cause="error")],
        pending=[("wk-000018", 6, 3)],
    ),
    "message-clear": messages.AcknowledgeFinished(machine="vm-1", job="wk-000017", index=5, attempt=2),
    "message-halt": messages.StopTask(machine="vm-1", job="wk-000017", index=5, attempt=2, wind_down_s=3.5),
    "message-allot": messages.QuotaAllocation(teams={"forecasts": (7.5, 8.5)}),
    "message-drain": messages.DrainMachines(machines=["vm-1", "vm-2"]),
    "message-gone": messages.MachinesTerminated(machines=["vm-1", "vm-2"]),
    "message-show": messages.ListMachineTasks(),
    "message-tasks": messages.MachineTaskList(
        rows=[
            messages.MachineTasks(
                machine="vm-1",
                free=(2.5, 3.5, 4.5),
                tasks=[("wk-000017", 5, 2, 61.5, True)],
                images=["fit-3"],
            )
        ],
        whole=True,
    ),
    "message-keep": messages.GpuReservation(gpus={"vm-1": 2.5}),
    "message-ask": messages.JobQuery(query_id=14, kind="withdraw", job="wk-000017"),
    "message-reply": messages.JobQueryReply(query_id=14, status=404, body=b'{"error":"no such job"}'),
}
FRAMES = {
    name: messages.Frame(
        version="0.9.1", sender="host-1", fencing_token=21, seq=33, ack=32, body=body, sender_lease_id=5
    )
    for name, body in MESSAGES.items()
}

# Frames of older versions, without the fields that were added later.
OLDER_FRAMES = {
    name: messages.Frame(version="0.1.0", sender="host-1", fencing_token=21, seq=33, ack=32, body=body)
    for name, body in {
        "older-message-pulse": messages.KeepAlive(),
        "older-message-queue": messages.QueueSnapshot(
            rows=[QUEUE_ROW_OLDER],
            used={"forecasts": (1.5, 2.5)},
            reserved={"forecasts": (3.5, 4.5)},
            demand={"forecasts": (5.5, 6.5)},
            allocations_received=7,
        ),
        "older-message-tasks": messages.MachineTaskList(
            rows=[messages.MachineTasks(machine="vm-1", free=(2.5, 3.5, 4.5), tasks=[("wk-000017", 5, 2, 61.5, True)])],
            whole=True,
        ),
    }.items()
}

# Stored values, as this version writes them.
RECORDS = {
    "record-job": Record(
        state=JobState.ACTIVE,
        accepted_by="host-1",
        submitted_at=1700000000.25,
        start_limit=8,
        done=[(0, 3), (5, 6)],
        spec=JOB,
        dependency_digest="8a7b6c5d/2",
        ready_at=1700000100.5,
        done_at=1700000200.75,
    ),
    "record-job-ended": Record(state=JobState.DONE, done_at=1700000200.75),
    "record-waits-for": ["wk-000003", "wk-000004"],
    "record-view": View(
        leader="host-1", members={"host-0": 3, "host-1": 7}, contact_timeout_s=4.5, quorum_may_not_overlap=True
    ),
    "record-presence": MemberRecord(lease_id=7, protocol_version=6),
    "record-machine": wire.MachineRecord(address="10.0.0.7:7001", type="g4", zone="north-1", spot=True),
    "record-machine-types": wire.MachineTypes(types=[MACHINE_TYPE]),
    "record-claim": PreemptionClaim(
        reason="serving",
        job="wk-000017",
        count=3,
        victims=[("wk-000018", 6, 2)],
        wind_down_s=3.5,
        expires_at=1700000060.5,
        team="forecasts",
        planned_at=1700000000.25,
    ),
    "record-stops": JobPreemptions(preemptions_by_index={4: 2, 6: 1}, first_preempted_at=1700000000.25),
    "record-spent": PreemptionUsage(preemptions={"forecasts/serving": [(1700000000, 3)]}),
    "record-declaration": ConfigurationHead(
        revision=4,
        digest="d4",
        parts=2,
        at=1700000000.25,
        before=StoredRevision(revision=3, digest="d3", parts=1),
    ),
    "record-declaration-piece": b"part of a text",
    "declared-hours": hours.CalendarConfiguration(
        calendars=[
            hours.Calendar(
                name="desk",
                zone="Europe/Oslo",
                week=[[(450, 945)], [(450, 945)], [(450, 945)], [(450, 945)], [(450, 945)], [(540, 720)], []],
                dates=[(20811, [(480, 720)])],
                holidays=[20454, 20545, 20546, 20548, 20549, 20574, 20587, 20590, 20597, 20598, 20812, 20813],
                on_holidays=[(600, 660)],
            ),
            hours.Calendar(name="either", of="any", parts=["desk"]),
        ],
        classes=[
            hours.CalendarRule(
                owner="forecasts",
                workload="batch-*",
                calendar="desk",
                ends=True,
                run_factor=1.75,
                stops=True,
                warm_up_s=120.5,
                spread_s=90.5,
            )
        ],
    ),
    "declared-lending": lending.LendingConfiguration(
        serving_classes=[lending.ServingClass(team_pattern="forecasts", workload_pattern="llm-*")],
        lending_classes=[
            lending.LendingClass(
                team_pattern="*",
                workload_pattern="fine-tune",
                min_run_s=21.5,
                max_preemptions_per_task=4,
                preemptible_for_s=901.5,
            ),
        ],
        reserved_gpus={"forecasts": 5.5},
        gpus_per_minute=65,
        max_stopping_gpus=33,
        retention_s=31.5,
    ),
    "declared-priorities": priorities.PriorityConfiguration(
        classes=[
            priorities.PriorityClass(
                owner="forecasts",
                name="urgent",
                workloads=["storm-*", "flood"],
                urgency=["high", "production"],
                may_preempt=["urgent"],
                preemptible=True,
                max_preemptions_per_minute=61,
                max_concurrent_preemptions=21,
                max_share_of_running=0.25,
                min_run_s=11.5,
                max_preemptions_per_task=3,
                preemptible_for_s=601.5,
            )
        ]
    ),
}

# Stored values of older versions, or with their required fields only.
OLDER_RECORDS = {
    "older-record-job": Record(state=JobState.ABORTED),
    "older-record-job-with-spec": Record(
        state=JobState.ACTIVE, accepted_by="host-1", submitted_at=1700000000.25, spec=JOB_REQUIRED
    ),
    "older-record-view": View(leader="host-1", members={"host-0": 3}),
    "older-record-presence": MemberRecord(lease_id=7, protocol_version=1),
    "older-record-machine": wire.MachineRecord(address="", type="", zone="", spot=False),
    "older-record-machine-types": wire.MachineTypes(types=[MACHINE_TYPE_REQUIRED]),
    "older-record-spent": PreemptionUsage(preemptions={}),
    "older-record-declaration": ConfigurationHead(revision=4, digest="d4", parts=2, at=1700000000.25, before=None),
    "older-record-declaration-first": ConfigurationHead(
        revision=4, digest="d4", parts=2, at=1700000000.25, before=StoredRevision(revision=0, digest="", parts=0)
    ),
    "older-declared-hours": hours.CalendarConfiguration(
        calendars=[hours.Calendar(name="always")],
        classes=[
            hours.CalendarRule(owner="forecasts", workload="batch-*", calendar="always", run_factor=1.4, spread_s=60.0)
        ],
    ),
    "older-declared-lending": lending.LendingConfiguration(
        serving_classes=[],
        lending_classes=[],
        reserved_gpus={},
        gpus_per_minute=0,
        max_stopping_gpus=0,
        retention_s=0.0,
    ),
    "older-declared-priorities": priorities.PriorityConfiguration(classes=[]),
}

# Bodies that a controller receives, with all fields.
RECEIVED = {
    "received-job": JOB,
    "received-heartbeat": wire.Heartbeat(
        machine="vm-1",
        address="10.0.0.7:7001",
        type="g4",
        incarnation=3,
        sequence=41,
        fencing_token=21,
        zone="north-1",
        spot=True,
        recall_s=25.5,
        tasks=[wire.ReportedTask(task_id="wk-000017/5", attempt=2, status="ended", cause="error")],
    ),
    "received-store-row": wire.KeyValue(key="ab/view", data=Raw(b'{"leader":"host-1"}'), revision=21),
    "received-store-rows": wire.KeyValuePage(
        rows=[wire.KeyValue(key="ab/view", data=Raw(b'{"leader":"host-1"}'), revision=21)], revision=77, has_next=True
    ),
    "received-store-changes": wire.WatchResponse(
        revision=77,
        events=[wire.WatchEvent(put="ab/n/vm-1", drop="ab/n/vm-2", data=Raw(b'{"spot":true}'), revision=76)],
    ),
    "received-store-committed": wire.TransactionResult(revision=78, failed=["ab/view"]),
    "received-store-hold": wire.LeaseGranted(lease_id=7),
    "received-cloud-listing": wire.MachineListing(
        hosts=[wire.ListedMachine(id="vm-1", type="g4", status="failed", held_s=61.5, zone="north-1", spot=True)],
        has_next=True,
    ),
    "received-cloud-rented": wire.RentalResponse(hosts=["vm-1", "vm-2"]),
    "received-cloud-types": wire.MachineTypes(types=[MACHINE_TYPE]),
}

# Bodies that a controller receives, with their required fields only.
RECEIVED_REQUIRED = {
    "required-job": JOB_REQUIRED,
    "required-heartbeat": wire.Heartbeat(
        machine="vm-1",
        address="10.0.0.7:7001",
        type="g4",
        incarnation=3,
        sequence=41,
        fencing_token=21,
        zone="",
        spot=False,
        recall_s=None,
        tasks=[],
    ),
    "required-heartbeat-task": wire.ReportedTask(task_id="wk-000017/5", attempt=2, status="running", cause=None),
    "required-store-rows": wire.KeyValuePage(rows=[], revision=77, has_next=False),
    "required-store-changes": wire.WatchResponse(
        revision=77,
        events=[
            wire.WatchEvent(put="ab/n/vm-1", drop=None, data=Raw(b'{"spot":true}'), revision=76),
            wire.WatchEvent(put=None, drop="ab/n/vm-2", data=Raw(b"null"), revision=0),
        ],
    ),
    "required-store-committed": wire.TransactionResult(revision=0, failed=[]),
    "required-cloud-listing": wire.MachineListing(
        hosts=[wire.ListedMachine(id="vm-1", type="g4", status="up", held_s=61.5, zone="", spot=False)], has_next=False
    ),
}

# Bodies that a controller sends, from the functions that build them.
SENT = {
    "sent-heartbeat-answer": wire.heartbeat_response(
        21,
        [
            wire.run_order("wk-000017", 5, 2),
            wire.stop_order("wk-000017", 6, 3, 3.5),
            wire.acknowledge_order("wk-000017", 7, 4),
        ],
    ),
    "sent-acknowledgement": wire.acknowledge_request(21, 3),
    "sent-accepted": wire.accepted_body("wk-000017", "pending"),
    "sent-job-status": wire.job_status_body("wk-000017", JobState.ACTIVE.value, 4, 2),
    "sent-error": wire.error_body("no such job"),
    "sent-rental": wire.rental_request("hire-1", "g4", "north-1", True, 6),
}

# Keys of the store, and texts of states.
TEXTS = {
    "store-keys": {
        "all": ROOT,
        "view": VIEW,
        "presence": MEMBERS + "host-1",
        "machine types": MACHINE_TYPES,
        "job": JOBS + "wk-000017",
        "machine": MACHINES + "vm-1",
        "what a job waits for": DEPENDENCY_LISTS,
        "lists of one job": dependency_list_keys("wk-000017", "8a7b6c5d/2"),
        "no lists": dependency_list_keys("wk-000017", ""),
        "declarations": CONFIGURATIONS,
        "declaration": head_key("hours"),
        "pieces of a declaration": piece_keys("hours", StoredRevision(revision=4, digest="d4", parts=2)),
        "claim": CLAIMS + "vm-1",
        "budgets": PREEMPTION_BUDGETS,
        "stops": JOB_PREEMPTIONS + "wk-000017",
    },
    "texts": {
        "job: active, done, aborted": [JobState.ACTIVE, JobState.DONE, JobState.ABORTED],
        "task: waiting, granted, fetching, running, saving, unknown, done": [
            TaskState.WAITING,
            TaskState.GRANTED,
            TaskState.FETCHING,
            TaskState.RUNNING,
            TaskState.SAVING,
            TaskState.UNKNOWN,
            TaskState.DONE,
        ],
        "machine: expected, up, draining, lapsed, gone": [
            MachineState.EXPECTED,
            MachineState.UP,
            MachineState.DRAINING,
            MachineState.EXPIRED,
            MachineState.TERMINATED,
        ],
        "priorities, lowest first": wire.PRIORITIES,
        "reasons of claims, for priority and for lent GPUs": [policy.REASON, lender.REASON],
        "kinds of declarations": list(settings.KINDS),
    },
}

# The platform's settings, and the operators'.
PLATFORM = {
    "settings-platform": settings.PlatformSettings(
        label="host-1",
        location="north-1",
        listen="10.0.0.1:8001",
        mesh_addr="10.0.0.1:9001",
        peers=[settings.Peer(label="host-2", location="south-2", addr="10.0.0.2:9001")],
        endpoints=settings.Endpoints(cloud="10.0.1.1:8100", state="10.0.1.2:8200"),
        settings=settings.SharedSettings(
            zones=["north-1", "south-2"],
            teams=[settings.Team(name="forecasts", cpus=10.5, cpus_max=20.5, gpus=1.5, gpus_max=2.5)],
            workers=settings.WorkerTimes(report_s=1.5, lease_s=12.5, cancel_s=5.5),
            state=settings.StateLimits(
                rps=50.5,
                write_rps=20.5,
                value_kb=64.5,
                txn_ops=32,
                next=settings.NextStateLimits(rps=40.5, write_rps=10.5, value_kb=16.5, txn_ops=24),
            ),
            cloud=settings.CloudSettings(rps=5.5, list_lag_s=3.5),
            limits=settings.ProcessLimits(cpu=1.5, memory_mb=512.5, max_sockets=256),
            objectives=[settings.Objective(kind="wait", job_class="batch-fit", within_s=60.5, share=0.95, times=1.25)],
            skew_ms=200.5,
        ),
    ),
    "settings-platform-required": settings.PlatformSettings(
        label="host-1",
        location="north-1",
        listen="10.0.0.1:8001",
        mesh_addr="10.0.0.1:9001",
        peers=[],
        endpoints=settings.Endpoints(cloud="10.0.1.1:8100", state="10.0.1.2:8200"),
        settings=settings.SharedSettings(
            zones=["north-1"],
            teams=[settings.Team(name="forecasts", cpus=0.0, cpus_max=0.0, gpus=0.0, gpus_max=0.0)],
            workers=settings.WorkerTimes(report_s=1.5, lease_s=12.5, cancel_s=5.5),
            state=settings.StateLimits(rps=50.5, write_rps=20.5, value_kb=64.5, txn_ops=32, next=None),
            cloud=settings.CloudSettings(rps=5.5, list_lag_s=3.5),
            limits=settings.ProcessLimits(cpu=1.5, memory_mb=512.5, max_sockets=256),
            objectives=[settings.Objective(kind="wait", job_class=None, within_s=None, share=0.0, times=None)],
            skew_ms=0.0,
        ),
    ),
}
OPERATORS = settings.Tuning(
    target_ratio=0.55,
    workload_multiplier=1.75,
    queue_time_floor_s=4.5,
    bid_share=0.65,
    max_machines=123,
    log_format="%(message)s",
    declared={"priorities": "priorities.ini", "hours": "hours.ini", "lending": "lending.ini"},
)
