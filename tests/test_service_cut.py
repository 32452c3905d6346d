"""Three real controllers over loopback: the store refuses one alone, then all, and then answers late.

What a user was told is never taken back by anyone, tasks run on one machine at a time, and all is answered after it.
Lease and hold are a few seconds here, so that each of them ends while the store is away.
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
from test_service import JOB, ROOT, Cloud, free_port, serve, settings, store_stand

LABELS = ("host-0", "host-1", "host-2")
LEASE_S, CANCEL_S, TTL_S = 3.0, 9.0, 2.0  # the ttl is what cancel_s leaves beside the lease and 4 s
ALONE_S, AWAY_S, SLOW_S = 2.5, 2.5, 1.0
AFTER_S = 25.0  # by then all is answered: some 3 s are enough on an idle machine
LONG = range(3, 9)  # jobs that go on running; of these some are cancelled
FAULTY = """
import sys
sys.path.insert(0, ".")
from alderbridge.controller.local_jobs import LocalJobs
real = LocalJobs.cancel
LocalJobs.cancel = lambda self, job, now: real(self, job, now) or (
    "aborted" if job in self.job_shard.jobs and self.state.may_act() else None)
from alderbridge.cli import main
sys.exit(main())
"""


class Broken(AssertionError):
    """A rule of the protocol was broken."""


class Gate:
    """What one controller meets at the store."""

    refused = lost = False  # 503; carried out, and no answer
    slow_s = 0.0


def gated_store():
    """Servers of one store, one for each controller, whose holds end."""
    base, state = store_stand()
    gates, holds = {label: Gate() for label in LABELS}, {}
    lock = threading.Lock()

    def ended(self):
        """Ends holds whose time is over; those of a store that is away for all last, as the store's own do."""
        with lock:
            if all(gate.refused for gate in gates.values()):
                holds.update(dict.fromkeys(holds, time.monotonic() + TTL_S))
            over = [lease_id for lease_id, end in holds.items() if end < time.monotonic()]
            for lease_id in over:
                del holds[lease_id]
        for lease_id in over:
            path, self.path = self.path, f"/holds/{lease_id}"
            self.reply, reply = (lambda *answer: None), self.reply
            base.do_DELETE(self)
            self.path, self.reply = path, reply

    def handler(gate):
        class Gated(base):
            def meets(self, method):
                if gate.refused:
                    self.body()
                    return super().reply(503, {})
                ended(self)
                return method(self)

            def body(self):
                if not hasattr(self, "read"):
                    self.read = super().body()
                return self.read

            def handle_one_request(self):
                self.__dict__.pop("read", None)
                super().handle_one_request()

            def do_GET(self):
                self.meets(base.do_GET)

            def do_DELETE(self):
                holds.pop(int(self.path.rpartition("/")[2]), None)
                self.meets(base.do_DELETE)

            def do_POST(self):
                self.meets(Gated.write)

            def write(self):
                if self.path.endswith("/extend"):
                    lease_id = int(self.path.split("/")[2])
                    if lease_id not in holds:
                        return self.reply(404, {})
                    holds[lease_id] = time.monotonic() + TTL_S
                return base.do_POST(self)

            def reply(self, status, value):
                if self.path == "/holds" and status == 200:
                    holds[value["permit"]] = time.monotonic() + TTL_S
                time.sleep(gate.slow_s)
                if gate.lost and self.path == "/commit":
                    self.close_connection = True  # the client sees its connection end
                    return None
                return super().reply(status, value)

        return Gated

    return [serve(handler(gates[label])) for label in LABELS], gates, state


class Machine(threading.Thread):
    """Reports, carries out orders, and drops what runs when its lease is over."""

    def __init__(self, service, name):
        super().__init__(daemon=True)
        self.service, self.name_, self.tasks = service, name, {}
        self.incarnation, self.sequence, self.fencing_token = 1, 0, 0
        self.renewed, self.label = time.monotonic(), LABELS[0]

    def run(self):
        while not self.service.over:
            time.sleep(0.1)
            self.step()

    def step(self):
        service, sent = self.service, time.monotonic()
        if sent - self.renewed > LEASE_S:
            for part in list(self.tasks):
                service.left(part, self)
            self.tasks.clear()
            self.incarnation, self.sequence, self.renewed = self.incarnation + 1, 0, sent
        for part, task in self.tasks.items():
            if task["status"] == "running" and sent >= task["ends"]:
                service.left(part, self)
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
                "host": self.name_,
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
            self.fencing_token, self.renewed = answer["mandate"], sent
            for order in answer["orders"]:
                self.carry_out(order)

    def carry_out(self, order):
        part, held = order["part"], self.tasks.get(order["part"])
        if order["verb"] == "run" and held is None:
            self.service.entered(part, self)
            ends = time.monotonic() + (1000.0 if int(part[3:9]) in LONG else 0.4)
            self.tasks[part] = {"try": order["try"], "status": "running", "cause": None, "ends": ends}
        elif held is not None and held["try"] == order["try"] and order["verb"] != "run":
            if order["verb"] == "halt" and held["status"] == "running":
                self.service.left(part, self)
                held |= {"status": "ended", "cause": "halted"}
            elif order["verb"] == "clear" and held["status"] == "ended":
                del self.tasks[part]


class Service:
    """The controllers, their machines and their users, and what these were told."""

    def __init__(self, path, code):
        self.servers, self.gates, self.state = gated_store()
        self.cloud = serve(Cloud)
        self.over, self.broken, self.lock = False, [], threading.Lock()
        self.accepted, self.said, self.completed, self.on = set(), {}, set(), {}
        self.turn = itertools.count()
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
            value["settings"]["workers"] = {"report_s": 0.5, "lease_s": LEASE_S, "cancel_s": CANCEL_S}
            file = path / f"{label}.json"
            file.write_text(json.dumps(value))
            self.processes.append(
                subprocess.Popen([sys.executable, *code, "--config", str(file)], cwd=ROOT, stderr=subprocess.DEVNULL)
            )

    def stop(self):
        self.over = True
        for process in self.processes:
            process.kill()
            process.wait()
        for server in (*self.servers, self.cloud):
            server.shutdown()

    def call(self, label, method, path, body=None):
        """Status and answer; 0 where none came within what users wait."""
        conn = http.client.HTTPConnection("127.0.0.1", self.ports[label], timeout=5.0 if method == "POST" else 2.0)
        with contextlib.closing(conn):
            try:
                conn.request(method, path, None if body is None else json.dumps(body))
                answer = conn.getresponse()
                return answer.status, json.loads(answer.read() or b"null")
            except (OSError, http.client.HTTPException):
                return 0, None

    # -- rules

    def fail(self, text):
        self.broken.append(text)

    def entered(self, part, machine):
        with self.lock:
            if self.on.setdefault(part, machine) is not machine:
                self.fail(f"ran_twice: {part}")
            job, at = part.partition("/")[0], time.monotonic()
            if self.said.get(job, ("", at))[0] == "aborted" and at > self.said[job][1] + CANCEL_S:
                self.fail(f"ran_cancelled: {part}")

    def left(self, part, machine):
        with self.lock:
            if self.on.get(part) is machine:
                del self.on[part]

    def ask(self, label, job, method="GET", action="", body=None):
        """A question, or a request whose answer tells the same; what was told before it was sent is not taken back."""
        with self.lock:
            before, known = self.said.get(job), job in self.accepted
        status, answer = self.call(label, method, "/v1/jobs" + ("" if body else f"/{job}{action}"), body)
        with self.lock:
            if known and status in (400, 404, 422):
                self.fail(f"forgotten: {job} {status} at {label}")
            if status not in (200, 201):
                return None
            self.accepted.add(job)
            state = answer["status"]
            if before is not None and state != before[0]:
                self.fail(f"went_back: {job} {before[0]} -> {state} at {label}")
            if state == "done" and any(f"{job}/{index}" not in self.completed for index in range(JOB["parts"])):
                self.fail(f"not_done: {job}")
            if state in ("done", "aborted"):
                self.said.setdefault(job, (state, time.monotonic()))
            return state

    # -- users

    def user(self, number):
        """Submits, asks all in turn, a third cancels when told to; repeats each until it is answered."""
        job = f"wk-{number:06d}"
        while not self.over and self.ask(LABELS[number % 3], job, "POST", body={**JOB, "id": job}) is None:
            time.sleep(0.1)
        while not self.over:
            self.ask(LABELS[next(self.turn) % 3], job)
            time.sleep(0.15)

    def cancel(self, job, label):
        while not self.over and self.ask(label, job, "POST", "/withdraw") is None:
            time.sleep(0.1)
            label = LABELS[next(self.turn) % 3]

    def until(self, true, for_s, what):
        end = time.monotonic() + for_s
        while not true():
            if self.broken:
                raise Broken(self.broken[0])
            assert time.monotonic() < end, what
            time.sleep(0.05)

    def pause(self, for_s):
        end = time.monotonic() + for_s
        self.until(lambda: time.monotonic() >= end, for_s + AFTER_S, "time passes")

    def leader(self):
        view = self.state.data.get("ab/view")
        return view[0]["leader"] if view is not None and len(view[0]["members"]) == len(LABELS) else None


def cut(path, code):
    """The service after it, stopped; ``code``: what runs a controller."""
    service = Service(path, code)
    users = ThreadPoolExecutor(48)
    try:
        service.until(service.leader, 30.0, "a view of all")
        for number in range(4):
            Machine(service, f"n-{number + 1}").start()
        jobs = [f"wk-{number:06d}" for number in range(18)]
        for number in range(15):
            users.submit(service.user, number)
        service.until(lambda: len(service.accepted) == 15 and len(service.on) > 2, 30.0, "jobs run")
        leader = service.leader()
        gate = service.gates[leader]
        gate.lost = True  # what it writes now is carried out, and it does not hear so
        mine, next_one = LABELS.index(leader), (LABELS.index(leader) + 1) % 3  # what each accepted
        users.submit(service.cancel, jobs[3 + mine], leader)
        time.sleep(0.2)
        gate.refused, gate.lost = True, False
        for number in (6 + mine, 3 + next_one, 6 + next_one):
            users.submit(service.cancel, jobs[number], leader)
        for number in range(15, 18):
            users.submit(service.user, number)
        service.pause(ALONE_S)
        for one in service.gates.values():
            one.refused = True
        service.pause(AWAY_S)
        for one in service.gates.values():
            one.refused, one.slow_s = False, 0.4
        service.pause(SLOW_S)
        for one in service.gates.values():
            one.slow_s = 0.0
        asked = [(label, job) for job in jobs for label in LABELS]
        answers = {}

        def answered():
            for label, job in asked:
                if (label, job) not in answers and (state := service.ask(label, job)) is not None:
                    answers[label, job] = state
            return len(answers) == len(asked)

        service.until(answered, AFTER_S, "all is answered")
        service.until(
            lambda: all(job in service.said for job in jobs if int(job[3:]) not in LONG), AFTER_S, "short jobs end"
        )
        service.until(lambda: len(service.said) >= len(jobs) - len(LONG) + 4, AFTER_S, "cancellations are told")
        return service
    finally:
        service.stop()
        users.shutdown(wait=True)
        if service.broken:
            raise Broken(service.broken[0])


def test_nothing_told_is_taken_back_when_the_store_refuses_one_then_all_and_answers_late(tmp_path):
    service = cut(tmp_path, ["run.py"])
    ends = [state for state, _ in service.said.values()]
    assert (ends.count("aborted"), ends.count("done")) == (4, 12) and len(service.accepted) == 18


def test_a_cancellation_told_before_it_is_stored_is_seen(tmp_path):
    with pytest.raises(Broken, match="went_back"):
        cut(tmp_path, ["-c", FAULTY])
