"""Three real controllers over loopback, while the store refuses the leader, then all, and then answers late.

Guards against a reported job state that reverts, a task on two machines at once, and requests that stay unanswered.
Worker and store leases are short, so that they expire while the store refuses requests.
"""

import contextlib
import http.client
import itertools
import json
import subprocess
import sys
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
from test_service import JOB, ROOT, CloudStub, free_port, serve, settings, store_stub

LABELS = ("host-0", "host-1", "host-2")
# The store lease is what CANCEL_S leaves after the worker lease and the 4 s that a worker waits for a response.
WORKER_LEASE_S, CANCEL_S, STORE_LEASE_S = 3.0, 9.0, 2.0
LEADER_REFUSED_S, OUTAGE_S, SLOW_S = 2.5, 2.5, 1.0
RECOVERY_S = 25.0  # limit for all requests to be answered again
LONG_RUNNING = range(3, 9)  # numbers of the jobs that do not end by themselves; some are cancelled
FAULTY_CONTROLLER = """
import sys
sys.path.insert(0, ".")
from alderbridge.controller.local_jobs import LocalJobs
real = LocalJobs.cancel
LocalJobs.cancel = lambda self, job, now: real(self, job, now) or (
    "aborted" if job in self.job_shard.jobs and self.state.may_act() else None)
from alderbridge.cli import main
sys.exit(main())
"""


class InvariantViolation(AssertionError):
    """The controllers violated an invariant."""


class StoreFaults:
    """Faults that the store shows to one controller."""

    refuses = loses_response = False  # answers 503; carries the write out, but does not answer
    delay_s = 0.0


def faulty_store():
    """One store with a server for each controller, and store leases that expire."""
    base, state = store_stub()
    faults, lease_ends = {label: StoreFaults() for label in LABELS}, {}
    lock = threading.Lock()

    def end_expired_leases(request):
        """Delete expired store leases. While the store refuses all controllers, its leases are prolonged instead."""
        with lock:
            if all(each.refuses for each in faults.values()):
                lease_ends.update(dict.fromkeys(lease_ends, time.monotonic() + STORE_LEASE_S))
            expired = [lease_id for lease_id, end in lease_ends.items() if end < time.monotonic()]
            for lease_id in expired:
                del lease_ends[lease_id]
        for lease_id in expired:
            path, request.path = request.path, f"/holds/{lease_id}"
            request.reply, reply = (lambda *response: None), request.reply
            base.do_DELETE(request)
            request.path, request.reply = path, reply

    def handler(own_faults):
        class FaultyStore(base):
            def serve_or_refuse(self, method):
                if own_faults.refuses:
                    self.read_body()
                    return super().reply(503, {})
                end_expired_leases(self)
                return method(self)

            def read_body(self):
                if not hasattr(self, "cached_body"):
                    self.cached_body = super().read_body()
                return self.cached_body

            def handle_one_request(self):
                self.__dict__.pop("cached_body", None)
                super().handle_one_request()

            def do_GET(self):
                self.serve_or_refuse(base.do_GET)

            def do_DELETE(self):
                lease_ends.pop(int(self.path.rpartition("/")[2]), None)
                self.serve_or_refuse(base.do_DELETE)

            def do_POST(self):
                self.serve_or_refuse(FaultyStore.handle_write)

            def handle_write(self):
                if self.path.endswith("/extend"):
                    lease_id = int(self.path.split("/")[2])
                    if lease_id not in lease_ends:
                        return self.reply(404, {})
                    lease_ends[lease_id] = time.monotonic() + STORE_LEASE_S
                return base.do_POST(self)

            def reply(self, status, value):
                if self.path == "/holds" and status == 200:
                    lease_ends[value["permit"]] = time.monotonic() + STORE_LEASE_S
                time.sleep(own_faults.delay_s)
                if own_faults.loses_response and self.path == "/commit":
                    self.close_connection = True  # the client sees a closed connection
                    return None
                return super().reply(status, value)

        return FaultyStore

    return [serve(handler(faults[label])) for label in LABELS], faults, state


class Machine(threading.Thread):
    """A worker: sends heartbeats, executes orders, and stops its tasks when its lease has expired."""

    def __init__(self, service, name):
        super().__init__(daemon=True)
        self.service, self.machine_name, self.tasks = service, name, {}
        self.incarnation, self.sequence, self.fencing_token = 1, 0, 0
        self.lease_renewed_at, self.label = time.monotonic(), LABELS[0]

    def run(self):
        while not self.service.stopping:
            time.sleep(0.1)
            self.step()

    def step(self):
        service, sent = self.service, time.monotonic()
        if sent - self.lease_renewed_at > WORKER_LEASE_S:
            for part in list(self.tasks):
                service.task_stopped(part, self)
            self.tasks.clear()
            self.incarnation, self.sequence, self.lease_renewed_at = self.incarnation + 1, 0, sent
        for part, task in self.tasks.items():
            if task["status"] == "running" and sent >= task["ends"]:
                service.task_stopped(part, self)
                service.completed.add(part)
                task |= {"status": "ended", "cause": "done"}
        self.sequence += 1
        parts = [
            {"part": part, "try": task["try"], "status": task["status"], "cause": task["cause"]}
            for part, task in self.tasks.items()
        ]
        status, answer = service.call(
            self.label,
            "POST",
            "/agent/beat",
            {
                "host": self.machine_name,
                "address": "x",
                "flavour": "c4",
                "site": "a",
                "standby": False,
                "tenure": self.incarnation,
                "counter": self.sequence,
                "mandate": self.fencing_token,
                "recall_s": None,
                "parts": parts,
            },
        )
        if status == 421 and answer["steward"] in LABELS:
            self.label = answer["steward"]
        elif status != 200:
            self.label = LABELS[(LABELS.index(self.label) + 1) % len(LABELS)]
        elif answer["mandate"] >= self.fencing_token and time.monotonic() - sent < 4.0:
            self.fencing_token, self.lease_renewed_at = answer["mandate"], sent
            for order in answer["orders"]:
                self.execute(order)

    def execute(self, order):
        part, current = order["part"], self.tasks.get(order["part"])
        if order["verb"] == "run" and current is None:
            self.service.task_started(part, self)
            ends = time.monotonic() + (1000.0 if int(part[3:9]) in LONG_RUNNING else 0.4)
            self.tasks[part] = {"try": order["try"], "status": "running", "cause": None, "ends": ends}
        elif current is not None and current["try"] == order["try"] and order["verb"] != "run":
            if order["verb"] == "halt" and current["status"] == "running":
                self.service.task_stopped(part, self)
                current |= {"status": "ended", "cause": "halted"}
            elif order["verb"] == "clear" and current["status"] == "ended":
                del self.tasks[part]


class Service:
    """The controllers, their workers and users, and the job states that users were sent."""

    def __init__(self, path, code):
        self.servers, self.faults, self.state = faulty_store()
        self.cloud = serve(CloudStub)
        self.stopping, self.violations, self.lock = False, [], threading.Lock()
        self.accepted, self.final_states, self.completed, self.running_on = set(), {}, set(), {}
        self.rotation = itertools.count()
        self.ports = {label: free_port() for label in LABELS}
        mesh = {label: f"127.0.0.1:{free_port()}" for label in LABELS}
        self.processes = []
        for label, server in zip(LABELS, self.servers, strict=True):
            value = settings(
                self.ports[label], f"127.0.0.1:{server.server_address[1]}", f"127.0.0.1:{self.cloud.server_address[1]}"
            )
            value |= {
                "label": label,
                "mesh_addr": mesh[label],
                "peers": [{"label": other, "location": "a", "addr": mesh[other]} for other in LABELS if other != label],
            }
            value["settings"]["workers"] = {"report_s": 0.5, "lease_s": WORKER_LEASE_S, "cancel_s": CANCEL_S}
            file = path / f"{label}.json"
            file.write_text(json.dumps(value))
            self.processes.append(
                subprocess.Popen([sys.executable, *code, "--config", str(file)], cwd=ROOT, stderr=subprocess.DEVNULL)
            )

    def stop(self):
        self.stopping = True
        for process in self.processes:
            process.kill()
            process.wait()
        for server in (*self.servers, self.cloud):
            server.shutdown()

    def call(self, label, method, path, body=None):
        """Status and body; status 0 if there is no response within the users' timeout."""
        conn = http.client.HTTPConnection("127.0.0.1", self.ports[label], timeout=5.0 if method == "POST" else 2.0)
        with contextlib.closing(conn):
            try:
                conn.request(method, path, None if body is None else json.dumps(body))
                response = conn.getresponse()
                return response.status, json.loads(response.read() or b"null")
            except (OSError, http.client.HTTPException):
                return 0, None

    def record_violation(self, text):
        self.violations.append(text)

    def task_started(self, part, machine):
        with self.lock:
            if self.running_on.setdefault(part, machine) is not machine:
                self.record_violation(f"ran_twice: {part}")
            job, started_at = part.partition("/")[0], time.monotonic()
            if (
                self.final_states.get(job, ("", started_at))[0] == "aborted"
                and started_at > self.final_states[job][1] + CANCEL_S
            ):
                self.record_violation(f"ran_cancelled: {part}")

    def task_stopped(self, part, machine):
        with self.lock:
            if self.running_on.get(part) is machine:
                del self.running_on[part]

    def send_request(self, label, job, method="GET", action="", body=None):
        """Send a request about a job; check that the response does not contradict any received before it was sent."""
        with self.lock:
            before, was_accepted = self.final_states.get(job), job in self.accepted
        status, answer = self.call(label, method, "/v1/jobs" + ("" if body else f"/{job}{action}"), body)
        with self.lock:
            if was_accepted and status in (400, 404, 422):
                self.record_violation(f"forgotten: {job} {status} at {label}")
            if status not in (200, 201):
                return None
            self.accepted.add(job)
            state = answer["status"]
            if before is not None and state != before[0]:
                self.record_violation(f"went_back: {job} {before[0]} -> {state} at {label}")
            if state == "done" and any(f"{job}/{index}" not in self.completed for index in range(JOB["parts"])):
                self.record_violation(f"not_done: {job}")
            if state in ("done", "aborted"):
                self.final_states.setdefault(job, (state, time.monotonic()))
            return state

    def run_user(self, number):
        """Submit a job, repeated until answered, then query its status at each controller in rotation."""
        job = f"wk-{number:06d}"
        while not self.stopping and self.send_request(LABELS[number % 3], job, "POST", body={**JOB, "id": job}) is None:
            time.sleep(0.1)
        while not self.stopping:
            self.send_request(LABELS[next(self.rotation) % 3], job)
            time.sleep(0.15)

    def cancel(self, job, label):
        while not self.stopping and self.send_request(label, job, "POST", "/withdraw") is None:
            time.sleep(0.1)
            label = LABELS[next(self.rotation) % 3]

    def wait_until(self, condition, timeout_s, description):
        end = time.monotonic() + timeout_s
        while not condition():
            if self.violations:
                raise InvariantViolation(self.violations[0])
            assert time.monotonic() < end, description
            time.sleep(0.05)

    def pause(self, duration_s):
        end = time.monotonic() + duration_s
        self.wait_until(lambda: time.monotonic() >= end, duration_s + RECOVERY_S, "pause")

    def leader(self):
        view = self.state.data.get("ab/view")
        return view[0]["leader"] if view is not None and len(view[0]["members"]) == len(LABELS) else None


def run_outages(path, code):
    """Run the outages and return the stopped service; ``code``: Python arguments that run a controller."""
    service = Service(path, code)
    users = ThreadPoolExecutor(48)
    try:
        service.wait_until(service.leader, 30.0, "a view with all controllers")
        for number in range(4):
            Machine(service, f"n-{number + 1}").start()
        jobs = [f"wk-{number:06d}" for number in range(18)]
        for number in range(15):
            users.submit(service.run_user, number)
        service.wait_until(
            lambda: len(service.accepted) == 15 and len(service.running_on) > 2,
            30.0,
            "all jobs accepted and some running",
        )
        leader = service.leader()
        leader_faults = service.faults[leader]
        leader_faults.loses_response = True  # its writes are carried out, but not answered
        # Job number n was submitted to the controller LABELS[n % 3].
        leader_index, next_index = LABELS.index(leader), (LABELS.index(leader) + 1) % 3
        users.submit(service.cancel, jobs[3 + leader_index], leader)
        time.sleep(0.2)
        leader_faults.refuses, leader_faults.loses_response = True, False
        for number in (6 + leader_index, 3 + next_index, 6 + next_index):
            users.submit(service.cancel, jobs[number], leader)
        for number in range(15, 18):
            users.submit(service.run_user, number)
        service.pause(LEADER_REFUSED_S)
        for controller_faults in service.faults.values():
            controller_faults.refuses = True
        service.pause(OUTAGE_S)
        for controller_faults in service.faults.values():
            controller_faults.refuses, controller_faults.delay_s = False, 0.4
        service.pause(SLOW_S)
        for controller_faults in service.faults.values():
            controller_faults.delay_s = 0.0
        queries = [(label, job) for job in jobs for label in LABELS]
        answers = {}

        def all_answered():
            for label, job in queries:
                if (label, job) not in answers and (state := service.send_request(label, job)) is not None:
                    answers[label, job] = state
            return len(answers) == len(queries)

        service.wait_until(all_answered, RECOVERY_S, "every query is answered")
        service.wait_until(
            lambda: all(job in service.final_states for job in jobs if int(job[3:]) not in LONG_RUNNING),
            RECOVERY_S,
            "short jobs end",
        )
        service.wait_until(
            lambda: len(service.final_states) >= len(jobs) - len(LONG_RUNNING) + 4,
            RECOVERY_S,
            "cancellations are reported",
        )
        return service
    finally:
        service.stop()
        users.shutdown(wait=True)
        if service.violations:
            raise InvariantViolation(service.violations[0])


def test_reported_states_never_revert_while_the_store_refuses_one_then_all_then_answers_late(tmp_path):
    service = run_outages(tmp_path, ["run.py"])
    ends = [state for state, _ in service.final_states.values()]
    assert (ends.count("aborted"), ends.count("done")) == (4, 12) and len(service.accepted) == 18


def test_a_cancellation_answered_before_it_is_stored_is_detected(tmp_path):
    with pytest.raises(InvariantViolation, match="went_back"):
        run_outages(tmp_path, ["-c", FAULTY_CONTROLLER])
