"""Constants of the service. Times are in seconds where the name does not say otherwise.

Values that depend on the platform's settings or on the machine types are derived where they are used. Those that
``settings.Tuning`` takes as defaults can be changed in the operators' settings file. "Platform limit" marks a value
that the platform's protocol prescribes.
"""

# Membership, leases and views
MAX_CLOCK_DRIFT = 0.0005  # platform limit: drift between steady clocks, as a share of the elapsed time
LEASE_EXPIRY_MARGIN_S = 1.0  # added before another process's lease is taken for expired: its timers may fire late
STORE_LEASE_TTL_S = 12.0  # minimum ttl, unless ``cancel_s`` requires a shorter one; outlasts a usual store outage
# sum of store lease and worker lease: tasks outlast some 31 s without store or controllers
COMBINED_LEASE_S = 37.0
STORE_LEASE_MARGIN_S = 0.5  # a member stops acting this long before its store lease or its contact could end
# per ttl; a store outage can begin just before a renewal, which costs that part of the ttl
STORE_LEASE_RENEWALS_PER_TTL = 16
CANCEL_MARGIN_S = 4.0  # minimum difference between ``cancel_s`` and the sum of store lease and worker lease
VERSION_WITH_DEPENDENCIES = 2  # first protocol version with dependencies between jobs
VERSION_WITH_CARRY_OVER = 3  # job owners accept the state that machine owners carry over from the previous view
# Members report which peers they receive frames from, stop without a quorum, and read views whose quorums may not
# overlap with those of the view before.
VERSION_WITH_FAILURE_DETECTOR = 5
VERSION_WITH_CONFIGURATION = 4  # operator configuration and preemption claims
VERSION_WITH_QUEUE_DELTAS = 6  # members send changes of their queues instead of whole queues
PROTOCOL_VERSION = 6  # of this program
CONTACT_TIMEOUT_S = 8.0  # a member without contact is replaced after this; must be shorter than the workers' leases
CONTACT_MIN_MEMBERS = 3  # with two members, either would have to stop when the other one fails
SUSPICION_LEAD_S = 1.0  # a peer is reported as suspected this long before its timeout, so that a quorum can agree
CONTACT_WAIVER_LEAD_S = 2.0  # a member that reaches the store may waive the contact rule this long before it must stop
CONTACT_WAIVER_DELAY_S = 0.5  # delay of the waiver: a process that was suspended receives frames again by this time
# the store is reachable if it answered a request sent within this; above ``WATCH_POLL_TIMEOUT_S``
STORE_REACHABLE_WINDOW_S = 3.0
# a new view starts if some peers, but no quorum, consider a member failed for this long
DISPUTED_FAILURE_TIMEOUT_S = 2.5
CONTACT_RESUME_DELAY_S = 60.0  # a waived contact rule applies again when all members have been alive this long
JOIN_DEBOUNCE_S = 0.3  # the view changes this long after the last new member, so that a common restart makes one view
JOIN_DEBOUNCE_MAX_S = 1.2  # upper bound of that delay
VIEW_SETTLE_TIMEOUT_S = 3.0  # time for a new view to reach its members, allowed for before scale in
ELECTION_STAGGER_S = 1.0  # election delay per position in the order of labels

# Periodic work and the store
ROUND_INTERVAL_S = 0.2  # placement and messages between controllers; must be far below the heartbeat interval
GUARANTEE_REFRESH_INTERVAL_S = 0.6  # a refresh visits all active jobs
LEADER_ROUND_INTERVAL_S = 1.0  # scaling and preemption decisions, quota counts and reports to the leader
MEMORY_CHECK_INTERVAL_S = 1.0
MEMORY_LOG_SHARE = 0.1  # of the memory limit: a smaller change of the memory held is not logged
WATCH_DELAY_S = 0.1  # between two watch requests: bounds their rate while the store changes often
WATCH_POLL_TIMEOUT_S = 2.0  # duration of a long poll; its responses also keep the view fresh
WRITE_BATCH_DELAY_S = 0.02  # collects the records of one round into one transaction
PROGRESS_WRITE_INTERVAL_S = 0.8  # minimum interval between two writes of a job's progress
# Share of one second's changes by which submissions, job ends and start limits may run ahead of the write rate limit.
WRITE_OVERDRAFT_SHARE = 0.8
UNUSED_RATE_TTL_S = 3.0  # other members may use a member's unused write rate this long after it was reported
# tasks that are recorded in advance as possibly started: saves a write for each start
START_LIMIT_HEADROOM_TASKS = 256
# tasks of a large array that may be recorded so at a time, or as many as are on machines if these are more
START_LIMIT_STEP_TASKS = 4096

# Queues that job shards publish
MAX_QUEUE_ROWS = 400  # maximum number of waiting jobs that a job shard publishes; sizes some caches, too
MAX_EXACT_QUEUE_COUNT = 32  # a count up to this is sent at every change: a machine takes about as many tasks at a time
# a larger count is sent at once if it changed by more than 1/8, otherwise after a second
QUEUE_COUNT_CHANGE_DIVISOR = 8
QUEUE_TIME_TOLERANCE_S = 0.5  # a larger change of a due time or run time is sent; placement does not distinguish less
# rows are sent again after this, which bounds the error from clock drift to 0.03 s
QUEUE_ROW_REFRESH_INTERVAL_S = 60.0
MAX_REMOVED_QUEUE_JOBS = 2000  # with more removed jobs recorded, members that are behind receive the whole queue
MAX_QUEUE_BACKLOG_MESSAGES = 32  # a member with this many unacknowledged messages is sent no queue messages

# Workers, probes and orders
# a heartbeat's response waits this long for the grants that were requested from peers: a peer takes a few ms
GRANT_TIMEOUT_S = 0.1

MAX_CONCURRENT_PROBES = 16  # bounds sockets, and work at one time
PROBE_TIMEOUT_S = 1.5  # a worker that does not answer by then may hang or be partitioned
MAX_PROBE_ATTEMPTS = 4  # after these, the machine is left to its heartbeats, its lease expiry or its termination
PROBE_BACKOFF_BASE_S = 0.5  # the pause before the next try is random, between 0 and this times 2**tries
PROBE_BACKOFF_MAX_S = 4.0  # largest upper bound of that pause

# a task that fits no free capacity this long has one machine reserved in each machine shard
RESERVE_MACHINE_AFTER_S = 20.0
RESERVATION_TTL_S = 10.0  # a reservation that was not renewed for this long may move to another machine
# a job of which no task has started has a priority boost after this: half of the four minutes that users allow
STARVATION_TIMEOUT_S = 120.0
LATE_BOOST_AFTER_S = 60.0  # a late job that was granted no task for this long has a priority boost
LATE_BOOST_DIVISOR = 8  # that boost lasts until 1/8 of the job's tasks are granted
MAX_START_ORDER_ATTEMPTS = 2  # a machine on which a task does not appear after this many start orders is quarantined
ACKNOWLEDGE_DELAY_S = 10.0  # acknowledgements of ended tasks wait this long for other orders to be sent with
MAX_DELAYED_ACKNOWLEDGEMENTS = 50  # this many are sent without delay, because ended tasks make heartbeats long

PACKING_DELAY_S = 4.0  # idle machines leave a new task to busy ones this long: more than one heartbeat interval
CONFIGURATION_RETRY_DELAY_S = 1.0  # after a failed proposal; the replica shows its outcome by this time
# limit for the compiled text; a longer one is a mistake: it takes some 300 values where these are small
MAX_CONFIGURATION_BYTES = 128 * 1024

# Network
MAX_BODY_BYTES = 64 * 1024  # bytes; platform limit for request bodies
MAX_FRAME_BYTES = 4 * 1024 * 1024  # bytes; far above any real frame
# minimum time between two polls of the sockets: handling events in batches costs less, and a task's start passes three
POLL_INTERVAL_S = 0.01
MAX_CACHED_HEAD_BYTES = 1024  # longer heads of requests and responses are not cached; real ones have some 150
KEEP_ALIVE_TIMEOUT_S = 75.0  # a keep-alive connection without a request is closed after this
OVERDUE_CHECK_INTERVAL_S = 1.0
REQUEST_TIMEOUT_S = 5.0  # limit for receiving a request that has begun, and for writing its response
ACCEPTED_SOCKET_SHARE = 0.8  # share of ``max_sockets`` for accepted connections
QUERY_TIMEOUT_S = 1.2  # for another controller's answer; users wait 2 s for a job's status
STORE_TIMEOUT_S = 2.0  # store calls usually take 10 ms, now and then some hundreds
CLOUD_TIMEOUT_S = 5.0  # cloud calls take some hundred ms
CONNECT_TIMEOUT_S = 1.0  # a connect that hangs longer meets a partition
MESH_RECONNECT_DELAY_S = 0.5  # between attempts to connect to a peer
MESH_RESEND_TIMEOUT_S = 0.6  # messages are sent again after this time without progress of the acknowledgements
MESH_SILENCE_TIMEOUT_S = 3.0  # limit for one write; incoming connections close after twice this silence
MESH_KEEP_ALIVE_INTERVAL_S = 1.0  # an idle channel sends a message that must be acknowledged
MESH_STALL_TIMEOUT_S = 3.0  # a connection whose messages are not acknowledged for this long is renewed
MAX_MESH_QUEUE_FRAMES = 5000  # frames; further ones for the same peer are dropped
UNANSWERED_LOG_INTERVAL_S = 25.0  # interval at which a job whose users get no answer is logged
MAX_UNANSWERED_JOBS = 2000  # limit for the jobs tracked for that; above it, all are forgotten
RETRY_AFTER_S = 2  # value of the Retry-After header
SUBMIT_TIMEOUT_S = 3.5  # must be below the 5 s after which users give up a submission
# A submission that is not stored within this is dropped. Its user was answered 503 after ``SUBMIT_TIMEOUT_S``, and
# repeats it after ``RETRY_AFTER_S``, most likely to another controller.
SUBMISSION_TTL_S = 5.0
STORE_BACKOFF_S = 1.0  # submissions are refused at once for this long after a failed request to the store
RATE_LIMIT_SHARE = 0.9  # share of a rate limit of the platform that all controllers together use

TASK_KEY_CACHE_SIZE = 20_000  # parsed task ids; exceeds the number of tasks on the machines of one machine shard
# The service creates and deletes some ten thousand objects a second, nearly none of them in cycles; looking for some
# took a sixth of the time with Python's defaults of 700, 10, 10.
GC_THRESHOLDS = (50_000, 20, 50)

# Jobs
MIN_VALUE_BYTES = 512  # records are never limited to less: the shortest job description needs most of it
MAX_TASKS_PER_JOB = 100_000  # platform limit for one job
ERROR_BACKOFF_S = 2.0  # first pause of a job whose tasks fail; doubles
ERROR_BACKOFF_MAX_S = 30.0
# consecutive ones, from at least two jobs, quarantine a machine; a job with more errors pauses
QUARANTINE_ERROR_COUNT = 3
QUARANTINE_DURATION_S = 120.0

START_OVERHEAD_S = 5.0  # from a job's end to the start of its dependents: record, heartbeat, image; cost of a restart

# Preemption claims
CLAIM_GRACE_S = 30.0  # beyond the victims' checkpoints: heartbeats, the job owner's answer, lease of a failed machine
# before an unused claim is dropped: queues and free capacity are not reported at the same time
UNUSED_CLAIM_TTL_S = 2.0
PREEMPTION_BUCKET_S = 10.0  # preemptions are counted by steps of this length, each until a minute after its end
PREEMPTION_WINDOW_S = 60.0  # the period that "a minute" means in the operator configuration
MIN_VICTIM_REMAINING_S = 10.0  # a task that is expected to end within this is no victim: its capacity frees itself
MAX_VICTIM_RUN_SHARE = 0.8  # a task without checkpoints that ran for this share of its estimate is no victim
# additional cost of a victim, as a share, for each one of the same job that is already chosen
SAME_JOB_VICTIM_COST_SHARE = 0.25

# Lending of GPUs
LENDING_DELAY_S = 6.0  # from a demand to free capacity, without the checkpoint: claim, two heartbeats, an answer
LENDING_HEAD_START_S = 4.0  # no machines are rented for replicas that lending may serve until this has passed
GPU_RESERVATION_TTL_S = 4.0  # must outlast a round and some lost messages of the leader
# share of the work since the last checkpoint that counts as lost: the final checkpoint may fail
UNSAVED_WORK_LOSS_SHARE = 0.05
ADDITIONAL_MACHINE_COST_S = 5.0  # cost, per GPU, of preempting on one more machine: favours few machines
SLOW_IMAGE_FETCH_S = 20.0  # an image that takes longer to fetch is not fetched twice where one machine is enough
AVOIDED_MACHINE_COST_S = 1e6  # cost above any real one: chosen only if nothing else remains

# Calendars
MAX_HOLIDAY_YEARS = 10  # maximum number of years that holidays are computed for
CALENDAR_LOOKAHEAD_DAYS = 400  # a calendar that does not open within a year and a month is reported as never open
HOLIDAYS_ENDING_WARNING_DAYS = 60  # a calendar whose last holiday is nearer than this is logged
CALENDAR_LOOKBACK_DAYS = 9  # a period that has been open for longer counts as always open
MIN_RUN_BEFORE_STOP_S = 30.0  # platform limit: no start counts that is stopped at closing sooner than this
OPENING_SPREAD_S = 60.0  # default period over which the tasks that wait for an opening start
# minimum number of starts per second and job shard: a small backlog is spread over less time
MIN_OPENING_STARTS_PER_S = 10.0
MAX_ORDER_DELIVERY_S = 4.5  # an order in a response is carried out within this: workers drop responses after 4 s

# Scheduling and scaling. The names Maximum Queue Time, Expected Run Time, Target Ratio and Workload Multiplier, and
# the sections, are those of the paper that the policy follows.
TARGET_RATIO = 0.5  # Maximum Queue Time / requested time; the paper's value (5.2)
WORKLOAD_MULTIPLIER = 1.0  # Expected Run Time / requested time; the paper's value (5.3)
QUEUE_TIME_FLOOR_S = 120.0  # minimum of Maximum Queue Time; the paper has 300
BID_SHARE = 0.9  # of the retail price; the paper recommends bids close to it
# times the Expected Run Time: estimates are often wrong by half; default of ``run factor`` in calendars
RUN_TIME_SAFETY_FACTOR = 1.4
MIN_RUN_TIME_FACTOR = 0.8  # times the Expected Run Time; the shortest run that is planned for
OBJECTIVE_QUEUE_TIME_SHARE = 0.6  # of an objective's waiting time; the rest is for the heartbeat and the image
MIN_QUEUE_TIME_SHARE = 0.1  # minimum queue time, as a share of an objective's time to finish
# interval of the check for jobs that are about to breach their queue time; the paper has 60
HARD_CHECK_INTERVAL_S = 15.0
HARD_MARGIN_S = 15.0  # a job that is due within a boot time plus this is about to breach
PAID_BLOCK_S = 60.0  # platform limit: minimum paid time; idle machines are returned at the end of such a block
MAX_MACHINES = 10_000  # default of the limit that operators may set
MAX_MACHINES_PER_RENTAL = 50  # platform limit for one rental request
NO_CAPACITY_BACKOFF_S = 10.0  # a refused combination of type, zone and spot is not requested again for this long
BOOT_TIMEOUT_FACTOR = 3.0  # multiple of ``boot_s`` after which a machine that has not come up is returned
MIN_MISSED_LISTINGS = 2  # a listing may be older than the one before it, so that missing from one proves nothing
# more than two heartbeat intervals; a silent machine is returned if it is recalled or not listed
MACHINE_SILENCE_TIMEOUT_S = 7.0
EMPTY_PROOF_SILENCE_S = 4.0  # longer than a heartbeat interval and two probes: the machine has most likely failed
# of the recorded machines: with more silent ones, none is returned to release inherited tasks early
EMPTY_PROOF_MAX_SHARE = 0.01
EMPTY_PROOF_MIN_MACHINES = 2  # lower bound of that limit, in machines
# of the recorded machines: so many without a heartbeat do not delay scale in, as some boot
MAX_UNREPORTED_SHARE = 0.02
LOST_MACHINE_TIMEOUT_S = 60.0  # an expired machine that is silent this long is returned
SERVICE_RUN_TIME_S = 3600.0  # Expected Run Time of a service or gang, whose tasks need their slots at the same time
DEFAULT_RUN_TIME_S = 30.0  # Expected Run Time of a job array whose estimate is 0
MACHINE_TYPES_REFRESH_INTERVAL_S = 30.0  # spot prices change
MACHINE_LIST_INTERVAL_S = 5.0  # pause between two readings of the list of machines, which lags behind
