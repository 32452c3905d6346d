"""Every constant of the service, each with its unit and its reason.

Values that the settings or ``/flavors`` give are derived where they are used.
"Ours" marks a default the design leaves open; the INI file may change those
listed in ``settings.Tuning``.
"""

# --- time and safety -------------------------------------------------------
CLOCK_DRIFT = 0.0005  # share; PROTOCOL: steady clocks drift apart by up to 0.05%
PROOF_MARGIN_S = 1.0  # s; timers go off late by a few steps, and a share of a core is slow
# s; a store lease lasts no less, where cancel_s allows it: longer than a usual outage of the store
STORE_LEASE_TTL_S = 12.0
TOTAL_LEASE_S = 37.0  # s; store lease and worker lease together: tasks outlast some 31 s without store or controllers
STORE_LEASE_MARGIN_S = 0.5  # s; a member stops this long before its store lease could end
STORE_LEASE_RENEWALS = 16  # renewals per ttl; the time between two is lost of it when the store goes down
CANCEL_SLACK_S = 4.0  # s; kept between ttl + worker lease and cancel_s
VERSION_WITH_DEPENDENCIES = 2  # protocol version that keeps dependencies between jobs
VERSION_WITH_CARRY_OVER = 3  # job owners understand what machine owners carry over from the view before
# members report whom they hear, stop without a quorum, and know views whose quorums may not overlap
VERSION_WITH_FAILURE_DETECTOR = 5
VERSION_WITH_CONFIGURATION = 4  # operator configuration and preemption claims are kept
VERSION_WITH_QUEUE_DELTAS = 6  # members send changes of their queues in place of the whole
PROTOCOL_VERSION = 6  # of this program
CONTACT_TIMEOUT_S = 8.0  # s; out of contact for this long, a member is replaced: its workers' leases outlast that
CONTACT_MIN_MEMBERS = 3  # members; of two, one that the other does not hear would have to stop, too
# s; a silent member is reported as suspected so long before it fails: the others then agree at once
SUSPICION_NOTICE_S = 1.0
CONTACT_WAIVER_AHEAD_S = 2.0  # s; so long before its contact ends a member that reaches the store may waive the rule
# s; not at once: a process that was only suspended hears the others again within some round trips
CONTACT_WAIVER_PATIENCE_S = 0.5
STORE_REACHABLE_S = 3.0  # s; an answer of the store that was asked for this long ago: more than one long poll
DISPUTED_FAILURE_S = 2.5  # s; after a member was failed by some and not by a quorum for this long, a new view is begun
CONTACT_RESUME_S = 60.0  # s; contact that was waived is required again when all members have been alive this long
# s; so long after the last newcomer a view is changed: controllers that fall together return together
JOIN_QUIET_S = 0.3
JOIN_MAX_S = 1.2  # s; a newcomer waits no longer than this for others
VIEW_SETTLE_S = 3.0  # s; a view is settled within this when its members are in reach: bounds what waits for it
LEADER_PRECEDENCE_S = 1.0  # s; lower labels get this head start in taking the lead

# --- rounds ----------------------------------------------------------------
ROUND_S = 0.2  # s; placement and mesh round: far below a worker's report interval
# s; which jobs lie within their guarantee is looked at this often: all active jobs are gone through
GUARANTEE_REFRESH_S = 0.6
LEADER_ROUND_S = 1.0  # s; renting decisions; DESIGN: one cloud call a second
WATCH_PAUSE_S = 0.1  # s; pause between follow calls: bounds requests at busy times
WATCH_WAIT_S = 2.0  # s; one long poll of the store; its answers keep the view fresh
WRITER_PAUSE_S = 0.02  # s; gathers the records of one round into one transaction
PROGRESS_WRITE_S = 0.8  # s; done ranges of a running job are written at most this often
# of a second's worth of changes; so far submissions, ends and start limits may run ahead of the write rate limit
WRITE_AHEAD_SHARE = 0.8
# s; what a member leaves unused of its share of changes is lent to others so long after its report
LENT_RATE_TTL_S = 3.0
START_LIMIT_AHEAD = 256  # tasks; written as possibly started with the job, saves a write per start
QUEUE_ROWS = 400  # jobs; waiting jobs that one job shard publishes in a round
QUEUE_EXACT = 32  # tasks; counts up to this are sent with every change: a machine takes about as many at one time
QUEUE_SHARE = 8  # larger counts are sent at once when they change by one part in so many, else after a second
QUEUE_TIME_S = 0.5  # s; a due time or run time that moves by more than this is sent: below what placement tells apart
QUEUE_REFRESH_S = 60.0  # s; a row is sent again after this, as clocks drift apart: by 0.03 s until then
QUEUE_ENDED_JOBS = 2000  # jobs; a member that lacks so many ends is sent the whole queue in place of them
QUEUE_BACKLOG = 32  # messages; a member that has not acknowledged so many is sent no more until it has

GRANT_WAIT_S = 0.1  # s; a heartbeat's response waits this long for requested grants: a peer takes a few ms

PROBES_AT_ONCE = 16  # workers probed for their acknowledgement at one time: bounds sockets, and work at once
PROBE_TIMEOUT_S = 1.5  # s; a worker that does not answer by then may hang, or be cut off
PROBE_TRIES = 4  # times; a worker that answers none of these is left to its heartbeats, its lease or its termination
PROBE_BACKOFF_S = 0.5  # s; first bound of the pause before a worker is probed again, drawn evenly below it; doubles
PROBE_BACKOFF_MAX_S = 4.0  # s; largest such bound

# s; for a task that has waited this long and fits no rest of a machine, one in each machine shard is reserved
RESERVE_AFTER_S = 20.0
RESERVE_IDLE_S = 10.0  # s; a machine reserved in vain for this time is free for others: some heartbeats
STARVED_JOB_S = 120.0  # s; of a job of which nothing ran by then one task goes first: half of users' four minutes
LATE_BOOST_S = 60.0  # s; a late job of which nothing was granted for this long has a turn among those in time
LATE_BOOST_SHARE = 8  # such a turn lasts until one in so many of its tasks is granted
ORDER_TRIES = 2  # answers; a start that none of so many has brought goes to another machine: this one may be deaf
ACKNOWLEDGE_WAIT_S = 10.0  # s; so long a task that has ended stays in the reports until there are other orders to send
ACKNOWLEDGE_MAX = 50  # ended tasks; these are cleared at once: they make reports long

PACKING_WAIT_S = 4.0  # s; so long an idle machine leaves tasks to busy ones with room: a report interval and a bit
CONFIGURATION_RETRY_S = 1.0  # s; after a proposal that failed: by then the replica says what came of it
# bytes; a longer compiled text is a mistake: some 300 values where these are small
CONFIGURATION_MAX_BYTES = 128 * 1024

# --- network ---------------------------------------------------------------
MAX_BODY = 64 * 1024  # bytes; PROTOCOL's limit for request bodies
MAX_FRAME = 4 * 1024 * 1024  # bytes; one mesh message, far above any real one
# s; sockets are looked at no more often: what comes together is cheaper, a start passes three of these
POLL_INTERVAL_S = 0.01
CACHED_HEAD_BYTES = 1024  # bytes; heads up to this are remembered once parsed: real ones have some 150
IDLE_S = 75.0  # s; a keep-alive connection without a request is closed
OVERDUE_CHECK_S = 1.0  # s; overdue connections are looked for this often
REQUEST_S = 5.0  # s; time to finish sending a request that has begun
SOCKET_RESERVE = 0.8  # share of max_sockets that may be accepted connections
QUERY_TIMEOUT_S = 1.2  # s; a question to another controller, users wait 2 s for a status
STATE_TIMEOUT_S = 2.0  # s; store calls usually take 10 ms, now and then some hundreds
CLOUD_TIMEOUT_S = 5.0  # s; cloud calls take some hundred ms
CONNECT_S = 1.0  # s; a connect that hangs longer meets a cut
MESH_RETRY_S = 0.5  # s; between attempts to reach another controller
MESH_RESEND_S = 0.6  # s; unacknowledged messages are sent again
MESH_SILENCE_S = 3.0  # s; a mesh connection without traffic is closed and renewed
MESH_PROBE_S = 1.0  # s; a channel without traffic that needs an answer sends some, to know that it is whole
MESH_STALL_S = 3.0  # s; a connection whose messages are not acknowledged for this long is renewed
MESH_BACKLOG = 5000  # messages; more than this unacknowledged closes the connection
UNANSWERED_S = 25.0  # s; a job about which nothing could be answered for this long is named in the log, and again
UNANSWERED_JOBS = 2000  # jobs; no more are counted so at one time
RETRY_AFTER_S = 2  # s; told to users when the service can't take a request
SUBMIT_WAIT_S = 3.5  # s; users give a submission up after 5 s
# s; a submission that has no place in the store by then is dropped: its user was told so after ``SUBMIT_WAIT_S``, and
# tries again, most likely elsewhere, ``RETRY_AFTER_S`` later
SUBMISSION_TTL_S = 5.0
STORE_BACKOFF_S = 1.0  # s; after a call that failed, submissions are refused at once this long
RATE_SHARE = 0.9  # share of a stated rate that all controllers together use

TASK_KEY_CACHE = 20_000  # names of tasks, split into job and index, that a part keeps: more than its machines can hold
# objects, and collections of the younger generation; the service makes and drops some ten thousand objects
# a second, nearly none of them in cycles, and Python's 700, 10, 10 spent a sixth of its time on looking for some
GC_THRESHOLDS = (50_000, 20, 50)

# --- jobs ------------------------------------------------------------------
MIN_VALUE_BYTES = 512  # bytes; records are never cut below this: the shortest description needs most of it
MAX_TASKS = 100_000  # tasks; PROTOCOL's limit for one job
ERROR_PAUSE_S = 2.0  # s; first pause of a task whose last run failed; doubles
ERROR_PAUSE_MAX_S = 30.0  # s; longest such pause
QUARANTINE_ERRORS = 3  # errors in a row, of two jobs or more, that quarantine a machine
QUARANTINE_S = 120.0  # s; a quarantined machine is tried again after this

DEPENDENCY_STEP_S = 5.0  # s; from a job's end to the start of those that need it: a record, a report, an image

# --- claims (ours) -----------------------------------------------------------
# s; beyond the victims' saving: heartbeats, the job owner's answer, the lease of a machine that dies meanwhile
CLAIM_GRACE_S = 30.0
CLAIM_UNUSED_S = 2.0  # s; a claim whose room is used, or not wanted, goes after this: queues and rooms are told in turn
PREEMPTION_STEP_S = 10.0  # s; stops are counted by the start of such a step, and for a minute after its end
PREEMPTION_MINUTE_S = 60.0  # s; what "a minute" of the declarations means
SPARED_REMAINING_S = 10.0  # s; a task expected to end within this is spared: its room comes by itself
SPARED_RUN_SHARE = 0.8  # of the estimate; a task that can't save and has run for more is spared
VICTIM_SPREAD = 0.25  # share by which a victim costs more for each one of the same job chosen before it

# --- lending (ours) ----------------------------------------------------------
LEND_S = 6.0  # s; from a need to the room that lending makes, beside the saving: claim, two reports, an answer
LEND_FIRST_S = 4.0  # s; so long no machine is rented for replicas that lending may serve: a look, an asking, a claim
# s; what the leader holds free counts so long after it was told: a round and some lost messages
GPU_RESERVATION_TTL_S = 4.0
LEND_RISK = 0.05  # of the work that is not saved yet: so much of it counts as lost when a task is told to save
LEND_OPEN_S = 5.0  # s of each GPU; what it costs to make room on one more machine: few machines, not a little on all
LEND_HEAVY_S = 20.0  # s; an image that takes longer to fetch is not fetched twice where one machine will do
LEND_AVOID_S = 1e6  # s; above any loss: taken only where nothing else is left

# --- hours -------------------------------------------------------------------
HOLIDAY_YEARS = 10  # years; holidays further ahead are not known
CALENDAR_AHEAD_DAYS = 400  # days; what does not open within a year and a month is called never
HOLIDAYS_SHORT_DAYS = 60  # days; a calendar whose holidays end sooner than that is spoken of in the log
CALENDAR_BACK_DAYS = 9  # days; a period open for longer than this has always been open
LEAST_BEFORE_STOP_S = 30.0  # s; no start sooner before the stop at closing: PROTOCOL counts none that is stopped then
OPENING_SPREAD_S = 60.0  # s; what waits at an opening starts over this time, if operators set no other
OPENING_PACE = 10.0  # tasks/s; of one job shard: a backlog that this serves in less time is not spread for longer
ORDER_DELIVERY_S = 4.5  # s; an order that leaves is carried out within it: PROTOCOL, a worker drops responses after 4 s

# --- policy (the paper's names; "ours" where the design says so) -----------
TARGET_RATIO = 0.5  # Maximum Queue Time / requested time; the paper's choice in 5.2
WORKLOAD_MULTIPLIER = 1.0  # Expected Run Time / requested time; the paper's 5.3
QUEUE_TIME_FLOOR_S = 120.0  # s; ours, the paper has 300
BID_SHARE = 0.9  # of the retail price; the paper's conclusion: close to retail
RUN_SAFETY = 1.4  # times the Expected Run Time; estimates are often wrong by half
RUN_OPTIMISM = 0.8  # times the Expected Run Time; less than that is not to be hoped for
WAIT_SHARE = 0.6  # of an objective on waiting; the rest goes to the report and the image
LEAST_SHARE = 0.1  # of an objective on finishing that always remains as queue time
HARD_CHECK_S = 15.0  # s; ours, the paper has 60
HARD_MARGIN_S = 15.0  # s; ours, added to the boot time
PAID_BLOCK_S = 60.0  # s; PROTOCOL: a deleted machine costs at least this
MAX_MACHINES = 10_000  # machines; operators may set less, by default the queue and the cloud bound renting
RENT_BATCH = 50  # machines; PROTOCOL: at most this many in one rental request
REFUSED_PAUSE_S = 10.0  # s; a kind that was refused is left alone this long
BOOT_PATIENCE = 3.0  # times ready_s until a machine that has not come up is returned
LIST_MISSES = 2  # listings; a list may be older than the one before it
SILENT_S = 7.0  # s; more than two report intervals: a recalled or unlisted machine is returned for proof
PROOF_SILENT_S = 4.0  # s; more than a report interval: silent for this, and asked twice, a machine is most likely dead
PROOF_SHARE = 0.01  # of the recorded machines; no more than these are returned so that others' work need not wait
PROOF_LEAST = 2  # machines; that many in any case
# of the recorded machines; fewer that have yet to be heard change no decision: some always boot
UNREPORTED_SHARE = 0.02
LOST_MACHINE_S = 60.0  # s; a machine silent this long, whose lease has expired, is returned
SERVICE_RUN_S = 3600.0  # s; Expected Run Time of a service or gang: slots side by side
UNKNOWN_RUN_S = 30.0  # s; Expected Run Time of an array with an estimate of 0
MACHINE_TYPES_REFRESH_S = 30.0  # s; spot prices are read again after this
MACHINE_LIST_S = 5.0  # s; pause between two readings of the lagging machine list
