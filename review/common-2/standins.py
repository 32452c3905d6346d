"""Stand-ins for the platform, in one asyncio process: state service, cloud, workers, users, and the controllers' host.

Written from the users' pages (PROTOCOL, DEPLOY); standard library only; all addresses are loopback.
"""

from __future__ import annotations

import asyncio
import bisect
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections import deque
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
HISTORY_CHANGES = 10_000
REPORT_TIMEOUT_S = 4.0
now = time.monotonic


# --- HTTP ---------------------------------------------------------------------------------------------------------


class NoAnswerError(Exception):
    """The request gets no answer: its connection hangs until it is closed."""


async def read_head(reader):
    """Start line and headers of one message; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """The body of a message with Content-Length."""
    return await reader.readexactly(int(headers.get("content-length", "0")))


class HttpServer:
    """Serves ``handler(method, target, body) -> (status, bytes)`` on a free loopback port."""

    def __init__(self, handler):
        """``handler`` is a coroutine function."""
        self.handler, self.server, self.port = handler, None, 0

    async def start(self):
        """Listen on a free port."""
        self.server = await asyncio.start_server(self.serve, HOST, 0, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader, writer):
        """Serve one connection."""
        try:
            while (head := await read_head(reader)) is not None:
                line, headers = head
                method, target, _ = line.split(" ", 2)
                body = await read_body(reader, headers)
                try:
                    status, answer = await self.handler(method, target, body)
                except NoAnswerError:
                    await asyncio.sleep(3600)
                    return
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                    % (status, len(answer))
                )
                writer.write(answer)
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    return
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            writer.close()

    def stop(self):
        """Stop listening."""
        self.server.close()


class HttpClient:
    """One keep-alive connection."""

    def __init__(self, address):
        """``address``: HOST:PORT."""
        self.address, self.reader, self.writer = address, None, None

    async def request(self, method, target, body, timeout_s):
        """Status and body; None without an answer in time."""
        try:
            return await asyncio.wait_for(self._request(method, target, body), timeout_s)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
            self.close()
            return None

    async def _request(self, method, target, body):
        if self.writer is None:
            host, _, port = self.address.rpartition(":")
            self.reader, self.writer = await asyncio.open_connection(host, int(port), limit=1 << 20)
        self.writer.write(
            b"%s %s HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
            % (method.encode(), target.encode(), len(body), body)
        )
        await self.writer.drain()
        head = await read_head(self.reader)
        if head is None:
            raise ConnectionError("closed")
        line, headers = head
        answer = await read_body(self.reader, headers)
        if headers.get("connection", "").lower() == "close":
            self.close()
        return int(line.split(" ")[1]), answer

    def close(self):
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


# --- state service ------------------------------------------------------------------------------------------------


class Bucket:
    """Token bucket with a burst of one second's worth."""

    def __init__(self, rate):
        """``rate``: tokens a second."""
        self.rate, self.tokens, self.at = rate, rate, now()

    def take(self, amount=1.0):
        """Take tokens; false if there are not enough."""
        current = now()
        self.tokens = min(self.rate, self.tokens + (current - self.at) * self.rate)
        self.at = current
        if self.tokens < amount:
            return False
        self.tokens -= amount
        return True


def encode(value):
    """Compact JSON."""
    return json.dumps(value, separators=(",", ":")).encode()


class StateService:
    """The state service; each controller has its own port, so that one alone can be refused, cut off or delayed."""

    def __init__(self, params, record):
        """``params``: ``settings.state`` of the controllers; ``record``: writes a line to the record."""
        self.params, self.record = params, record
        self.rows: dict[str, tuple[bytes, int, int | None]] = {}
        self.keys: list[str] = []
        self.history: deque[tuple[int, str, bytes]] = deque(maxlen=HISTORY_CHANGES)
        self.revision, self.oldest = 0, 0  # ``oldest``: changes after this revision are retained
        self.leases: dict[int, list[float]] = {}
        self.last_lease = 0
        self.requests, self.changes = Bucket(params["rps"]), Bucket(params["write_rps"])
        self.down = False
        self.refused: set[str] = set()  # labels that receive 503
        self.silent: set[str] = set()  # labels whose requests get no answer
        self.latency_s = 0.003
        self.counts: dict[str, int] = {}
        self.by_label: dict[tuple[str, str], int] = {}
        self.on_commit = None  # coroutine function(label, body) called before a transaction; may raise NoAnswerError
        self.changed = asyncio.Event()
        self.servers: dict[str, HttpServer] = {}

    async def start(self, labels):
        """Listen for each label."""
        for label in labels:
            handler = lambda method, target, body, label=label: self.handle(label, method, target, body)  # noqa: E731
            self.servers[label] = await HttpServer(handler).start()
        asyncio.create_task(self.expire_leases())

    def count(self, name, label=""):
        """Count an event."""
        self.counts[name] = self.counts.get(name, 0) + 1
        if label:
            self.by_label[(label, name)] = self.by_label.get((label, name), 0) + 1

    async def handle(self, label, method, target, body):
        """Serve a request of that controller."""
        path, _, query = target.partition("?")
        args = dict(part.split("=", 1) for part in query.split("&") if part)
        if label in self.silent:
            raise NoAnswerError
        is_watch = path == "/follow"
        if (self.down or label in self.refused) and not is_watch:
            return 503, b'{"error":"trouble"}'
        if not self.requests.take():
            self.count("429", label)
            return 429, b'{"error":"too many requests"}'
        self.count("requests", label)
        if is_watch:
            return await self.watch(label, args)
        await asyncio.sleep(self.latency_s)
        if path == "/commit":
            if self.on_commit is not None:
                await self.on_commit(label, body)
            return self.commit(json.loads(body))
        return self.answer(label, method, path, args, body)

    def answer(self, label, method, path, args, body):
        """Serve a read, or a request on a lease."""
        if path == "/kv":
            self.count("pages", label)
            if "from" not in args:
                self.count("first pages", label)
            return 200, self.page(args.get("starts", ""), args.get("from", ""), int(args.get("limit", "1000")))
        if path.startswith("/kv/"):
            return self.get(path[4:])
        if path == "/holds":
            self.last_lease += 1
            ttl = json.loads(body)["ttl_ms"] / 1000
            self.leases[self.last_lease] = [ttl, now() + ttl]
            return 200, encode({"permit": self.last_lease})
        if path.startswith("/holds/"):
            return self.hold(method, int(path.split("/")[2]))
        return 400, b'{"error":"malformed"}'

    def hold(self, method, lease):
        """Renew or end a lease."""
        if lease not in self.leases:
            return 404, b'{"error":"no such lease"}'
        if method == "DELETE":
            self.end_lease(lease)
        else:
            self.leases[lease][1] = now() + self.leases[lease][0]
        return 200, b"{}"

    def end_lease(self, lease):
        """End a lease, and delete the keys attached to it."""
        del self.leases[lease]
        keys = [key for key, row in self.rows.items() if row[2] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self.apply({"drop": key})
            self.wake()

    async def expire_leases(self):
        """End the leases that were not renewed."""
        while True:
            await asyncio.sleep(0.05)
            if not self.down:
                for lease in [lease for lease, (_, end) in self.leases.items() if now() > end]:
                    self.end_lease(lease)

    def end_outage(self):
        """All leases have their full time again."""
        self.down = False
        for lease in self.leases.values():
            lease[1] = now() + lease[0]
        self.wake()

    def wake(self):
        """Wake the watches."""
        self.changed.set()
        self.changed = asyncio.Event()

    def get(self, key):
        """One key."""
        row = self.rows.get(key)
        if row is None:
            return 404, encode({"epoch": self.revision})
        return 200, b'{"k":%s,"data":%s,"stamp":%d,"permit":%s}' % (encode(key), row[0], row[1], encode(row[2]))

    def page(self, starts, after, limit):
        """One page: at most 1,000 rows and 512 KiB."""
        begin = bisect.bisect_right(self.keys, after) if after >= starts else bisect.bisect_left(self.keys, starts)
        parts, size, has_next = [], 0, False
        for key in self.keys[begin : begin + min(limit, 1000) + 1]:
            if not key.startswith(starts):
                break
            data, revision, _ = self.rows[key]
            text = b'{"k":%s,"data":%s,"stamp":%d}' % (encode(key), data, revision)
            if len(parts) == min(limit, 1000) or size + len(text) > 500_000:
                has_next = True
                break
            parts.append(text)
            size += len(text) + 1
        return b'{"rows":[%s],"has_next":%s,"epoch":%d}' % (
            b",".join(parts),
            b"true" if has_next else b"false",
            self.revision,
        )

    def commit(self, body):
        """A transaction."""
        writes, conditions = body.get("writes") or [], body.get("if") or []
        if len(writes) > self.params["txn_ops"] or len(conditions) > 4 * self.params["txn_ops"]:
            return 400, b'{"error":"too many operations"}'
        if any(len(encode(write.get("data"))) > self.params["value_kb"] * 1024 for write in writes):
            return 400, b'{"error":"value too large"}'
        if not self.changes.take(len(writes)):
            self.count("429 changes")
            return 429, b'{"error":"too many changes"}'
        if any(write.get("permit") is not None and write["permit"] not in self.leases for write in writes):
            return 400, b'{"error":"no such lease"}'
        failed = [each["k"] for each in conditions if self.rows.get(each["k"], (0, 0, 0))[1] != each["stamp"]]
        if failed:
            return 409, encode({"failed": failed, "epoch": self.revision})
        if writes:
            self.revision += 1
            for write in writes:
                self.apply(write)
            self.wake()
        return 200, encode({"epoch": self.revision})

    def apply(self, write):
        """Apply one change under the current revision."""
        if "put" in write:
            key, data = write["put"], encode(write["data"])
            if key not in self.rows:
                bisect.insort(self.keys, key)
            self.rows[key] = (data, self.revision, write.get("permit"))
            self.note(key, b'{"put":%s,"data":%s,"stamp":%d}' % (encode(key), data, self.revision))
        elif write["drop"] in self.rows:
            key = write["drop"]
            del self.rows[key]
            self.keys.pop(bisect.bisect_left(self.keys, key))
            self.note(key, b'{"drop":%s,"stamp":%d}' % (encode(key), self.revision))

    def note(self, key, text):
        """Retain a change."""
        if len(self.history) == HISTORY_CHANGES:
            self.oldest = self.history[0][0]
        self.history.append((self.revision, key, text))

    async def watch(self, label, args):
        """A watch; it stays open while the service is down or refuses this controller."""
        starts, begin = args.get("starts", ""), int(args["from"])
        end = now() + min(60.0, int(args.get("wait_ms", "0")) / 1000)
        while True:
            if not self.down and label not in self.refused and label not in self.silent:
                if begin < self.oldest:
                    return 410, b'{"error":"too old"}'
                found = []
                for revision, key, text in reversed(self.history):
                    if revision <= begin:
                        break
                    if key.startswith(starts):
                        found.append(text)
                if found or now() >= end:
                    return 200, b'{"epoch":%d,"log":[%s]}' % (self.revision, b",".join(reversed(found)))
                wait_s = end - now()
            else:
                wait_s = 0.1
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), max(0.001, wait_s))
            except TimeoutError:
                pass


# --- cloud and workers --------------------------------------------------------------------------------------------


class Jobs:
    """What the users uploaded for the workers: a job's description, and the run time of its tasks."""

    def __init__(self):
        """Start without jobs."""
        self.specs: dict[str, dict] = {}
        self.run_s: dict[str, float] = {}
        self.mistaken: set[str] = set()  # jobs that were submitted with a mistake: their tasks fail on every machine


class Worker:
    """A worker by the protocol; its tasks are timers."""

    def __init__(self, platform, name, kind, zone, spot):
        """The machine is up."""
        self.platform, self.name, self.kind, self.zone, self.spot = platform, name, kind, zone, spot
        self.tenure, self.counter, self.mandate = 1, 0, 0
        self.renewed_at = now()
        self.tasks: dict[str, dict] = {}
        self.images: set[str] = set()
        self.changed = asyncio.Event()
        self.labels = list(platform.addresses)
        self.label = platform.rng.choice(self.labels)
        self.client = None
        self.server = None
        self.alive = True
        self.runners: list[asyncio.Task] = []

    async def start(self):
        """Listen for commands, and report."""
        self.server = await HttpServer(self.on_request).start()
        self.address = f"{HOST}:{self.server.port}"
        self.runners = [asyncio.create_task(self.report_forever()), asyncio.create_task(self.watch_lease())]

    def stop(self, cause):
        """The machine is gone, and all that was on it."""
        self.alive = False
        self.kill_all(cause)
        for runner in self.runners:
            runner.cancel()
        self.server.stop()

    def kill_all(self, cause):
        """Kill and forget all tasks."""
        for part, task in list(self.tasks.items()):
            self.leave(part, task, cause)
            if task.get("timer"):
                task["timer"].cancel()
        self.tasks.clear()

    def enter(self, part, task):
        """The task holds its image: it is on this machine."""
        task["on"] = True
        self.platform.on_task(self, part, task["try"], "start")

    def leave(self, part, task, cause):
        """The task is not on this machine any more."""
        if task.pop("on", False):
            self.platform.on_task(self, part, task["try"], cause)

    async def watch_lease(self):
        """Apply the end of the lease."""
        while True:
            await asyncio.sleep(0.05)
            if now() - self.renewed_at > self.platform.params["workers"]["lease_s"]:
                self.kill_all("lease expired")
                self.tenure, self.counter, self.renewed_at = self.tenure + 1, 0, now()
                self.platform.count("lease expired")
                self.changed.set()

    def body(self):
        """The next report."""
        self.counter += 1
        parts = []
        for part, task in self.tasks.items():
            row = {"part": part, "try": task["try"], "status": task["status"]}
            if task["status"] == "ended":
                row["cause"] = task["cause"]
            parts.append(row)
        return {
            "host": self.name,
            "address": self.address,
            "flavour": self.kind,
            "site": self.zone,
            "standby": self.spot,
            "tenure": self.tenure,
            "counter": self.counter,
            "mandate": self.mandate,
            "recall_s": None,
            "parts": parts,
        }

    async def report_forever(self):
        """Report to one controller at a time."""
        period = self.platform.params["workers"]["report_s"]
        await asyncio.sleep(self.platform.rng.uniform(0, 1.0))
        while True:
            began = now()
            self.changed.clear()
            pause = await self.report(period)
            try:
                await asyncio.wait_for(self.changed.wait(), pause)
                await asyncio.sleep(max(0.0, began + 0.5 - now()))
            except TimeoutError:
                pass

    async def report(self, period):
        """One report; returns the pause before the next."""
        tenure, sent_at = self.tenure, now()
        if self.client is None:
            self.client = self.platform.client_class(self.platform.addresses[self.label])
        answer = await self.client.request("POST", "/agent/beat", encode(self.body()), REPORT_TIMEOUT_S)
        self.platform.on_report(self, answer)
        if answer is not None and answer[0] == 200:
            response = json.loads(answer[1])
            if tenure == self.tenure and response.get("mandate", -1) >= self.mandate:
                if response["mandate"] > self.mandate:
                    self.mandate = response["mandate"]
                    self.changed.set()
                self.renewed_at = sent_at
                for order in response["orders"]:
                    self.carry_out(order)
            return period * self.platform.rng.uniform(0.75, 1.25)
        self.client.close()
        self.client = None
        steward = json.loads(answer[1]).get("steward") if answer is not None and answer[0] == 421 else None
        if steward in self.platform.addresses and steward != self.label:
            self.label = steward
            return self.platform.rng.uniform(0.0, 0.5)
        self.label = self.labels[(self.labels.index(self.label) + 1) % len(self.labels)]
        await asyncio.sleep(1.0)
        return 0.01

    async def on_request(self, method, target, body):
        """``/commands`` and ``/status``."""
        status = 200
        if target == "/commands":
            data = json.loads(body)
            if "mandate" not in data or "tenure" not in data:
                return 400, b"{}"
            if data["mandate"] < self.mandate or data["tenure"] != self.tenure:
                status = 409
            else:
                if data["mandate"] > self.mandate:
                    self.mandate = data["mandate"]
                    self.changed.set()
                for order in data["orders"]:
                    self.carry_out(order)
        return status, encode(self.body())

    def carry_out(self, order):
        """One command."""
        part, task = order["part"], self.tasks.get(order["part"])
        if order["verb"] == "run":
            if task is None:
                self.run(part, order["try"])
            elif task["try"] != order["try"] and task["status"] != "ended":
                self.platform.count("busy")
        elif task is not None and task["try"] == order["try"]:
            if order["verb"] == "halt" and task["status"] != "ended":
                self.end(part, task, "halted")
            elif order["verb"] == "clear" and task["status"] == "ended":
                del self.tasks[part]

    def run(self, part, attempt):
        """Start a task; fetch its image first."""
        job = part.rpartition("/")[0]
        spec = self.platform.jobs.specs.get(job)
        task = self.tasks[part] = {"try": attempt, "status": "fetching"}
        self.changed.set()
        if spec is None:
            task.update(status="ended", cause="unknown")
            return
        kind = self.platform.kinds[self.kind]
        live = [name for name, each in self.tasks.items() if each["status"] != "ended"]
        specs = [self.platform.jobs.specs[name.rpartition("/")[0]] for name in live]
        if (
            sum(each["vcpus"] for each in specs) > kind["vcpus"] + 1e-6
            or sum(each["mem_gb"] for each in specs) > kind["mem_gb"] + 1e-6
        ):
            task.update(status="ended", cause="full")
            return
        task["timer"] = asyncio.create_task(self.live(part, task, spec))

    async def live(self, part, task, spec):
        """The life of one task."""
        if spec["bundle"] not in self.images:
            await asyncio.sleep(spec["image_gb"] / self.platform.kinds[self.kind]["pull_gb_per_s"])
            self.images.add(spec["bundle"])
        self.enter(part, task)
        task["status"] = "running"
        self.changed.set()
        await asyncio.sleep(self.platform.jobs.run_s[spec["id"]])
        self.end(part, task, "error" if spec["id"] in self.platform.jobs.mistaken else "done")

    def end(self, part, task, cause):
        """The task exits."""
        if cause not in ("done", "error") and task.get("timer"):
            task["timer"].cancel()
        self.leave(part, task, cause)
        task.update(status="ended", cause=cause)
        self.changed.set()


KIND = {
    "name": "standard-32",
    "vcpus": 32.0,
    "accelerators": 0.0,
    "mem_gb": 128.0,
    "local_gb": 30.0,
    "pull_gb_per_s": 0.8,
    "rate": 1.38,
    "spot_price": 0.44,
    "ready_s": 50.0,
}

MFRS = {
    "zones": ["nottingham", "coventry", "derby"],
    "teams": [
        {"name": "waste-fleet", "cpus": 192.0, "cpus_max": 272.0, "gpus": 0.0, "gpus_max": 0.0},
        {"name": "parcel-fleet", "cpus": 160.0, "cpus_max": 272.0, "gpus": 0.0, "gpus_max": 0.0},
        {"name": "highways-crews", "cpus": 272.0, "cpus_max": 648.0, "gpus": 0.0, "gpus_max": 0.0},
        {"name": "network-data", "cpus": 160.0, "cpus_max": 376.0, "gpus": 0.0, "gpus_max": 0.0},
    ],
    "objectives": [
        {"kind": "finished", "class": "route-build", "within_s": 150.0, "share": 0.93},
        {"kind": "wait", "class": "closure-reroute", "within_s": 25.0, "share": 0.975},
    ],
    "workers": {"report_s": 3.0, "lease_s": 17.0, "gang_wait_s": 30.0, "gang_peer_s": 5.0, "cancel_s": 42.0},
    "state": {"rps": 100.0, "write_rps": 20.0, "value_kb": 4.0, "txn_ops": 12},
    "cloud": {"rps": 6.0, "list_lag_s": 8.0},
    "limits": {"cpu": 0.75, "memory_mb": 186.0, "max_sockets": 1000},
    "skew_ms": 250.0,
    "count": 3,
}


FJORDLINE = {
    "zones": ["trondheim-dc"],
    "teams": [
        {"name": name, "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}
        for name in ("booking-desk", "route-planning", "clinic-liaison", "finance-office")
    ],
    "objectives": [
        {"kind": "wait", "class": "urgent-rebook", "within_s": 20.0, "share": 0.96},
        {"kind": "finished", "class": "urgent-rebook", "within_s": 60.0, "share": 0.96},
        {"kind": "finished", "class": "notice-send", "within_s": 100.0, "share": 0.9},
    ],
    "workers": {"report_s": 3.0, "lease_s": 21.0, "gang_wait_s": 35.0, "gang_peer_s": 8.0, "cancel_s": 46.0},
    "state": {"rps": 250.0, "write_rps": 40.0, "value_kb": 8.0, "txn_ops": 24},
    "cloud": {"rps": 1.5, "list_lag_s": 12.0},
    "limits": {"cpu": 0.75, "memory_mb": 266.0, "max_sockets": 1800},
    "skew_ms": 250.0,
    "count": 3,
}

FJORDLINE_KINDS = {
    name: {
        "name": name,
        "vcpus": cpus,
        "accelerators": 0.0,
        "mem_gb": memory,
        "local_gb": cache,
        "pull_gb_per_s": fetch,
        "rate": rate,
        "spot_price": spot,
        "ready_s": boot,
    }
    for name, cpus, memory, cache, fetch, rate, spot, boot in (
        ("liten", 4.0, 16.0, 50.0, 0.4, 0.26, 0.08, 35.0),
        ("middels", 16.0, 128.0, 80.0, 0.3, 1.1, 0.34, 50.0),
        ("stor", 32.0, 128.0, 30.0, 0.2, 2.12, 0.69, 50.0),
    )
}


class Platform:
    """The whole stand-in: it starts controllers, state service, cloud, workers and users, and keeps the record."""

    def __init__(self, folder, params=None, kinds=None, machines=(), seed=1, boot_s=2.0):
        """``folder``: of ``record.txt``; ``machines``: (kind, zone, spot) of those that are up at the start."""
        self.params = params or MFRS
        self.rng = random.Random(seed)
        self.began = now()
        self.file = open(Path(folder) / "record.txt", "w", buffering=1)  # noqa: SIM115
        self.temp = Path(tempfile.mkdtemp(prefix="case-"))
        self.kinds = kinds or {KIND["name"]: KIND}
        self.jobs = Jobs()
        self.counts: dict[str, int] = {}
        self.state = StateService(self.params["state"], self.note)
        self.labels = [f"host-{number}" for number in range(self.params["count"])]
        self.addresses: dict[str, str] = {}
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.wanted: dict[str, bool] = {}
        self.clients: dict[str, HttpClient] = {}
        self.healthy: dict[str, bool] = {}
        self.workers: dict[str, Worker] = {}
        self.hosts: dict[str, dict] = {}
        self.hires: dict[str, list[str]] = {}
        self.machines, self.boot_s = machines, boot_s
        self.capacity = 12  # machines that the cloud has in all
        self.where: dict[str, set[str]] = {}  # task -> machines that it is on
        self.violations: list[str] = []
        self.jobs_done: set[str] = set()  # tasks that completed
        self.client_class = HttpClient  # of the workers
        self.restart_delay_s = 6.0
        self.peers_of: dict[str, dict[str, str]] = {}  # label -> peer -> address, where not the peer's own

    def note(self, text):
        """A line of the record."""
        self.file.write(f"{now() - self.began:8.3f} {text}\n")

    def count(self, name):
        """Count an event."""
        self.counts[name] = self.counts.get(name, 0) + 1

    def on_task(self, worker, part, attempt, event):
        """A task starts on a machine, or leaves it."""
        self.note(f"worker {worker.name} task={part} try={attempt} {event}")
        self.count("task " + event)
        there = self.where.setdefault(part, set())
        if event == "start":
            if there:
                self.violations.append(f"ran_twice: {part} starts on {worker.name} while on {sorted(there)}")
                self.note(self.violations[-1])
            there.add(worker.name)
        else:
            there.discard(worker.name)
            if event == "done":
                self.jobs_done.add(part)

    def on_report(self, worker, answer):
        """A worker's report was answered, or not."""
        status = "none" if answer is None else str(answer[0])
        orders = 0 if answer is None else answer[1].count(b'"verb"')
        self.note(
            f"worker {worker.name} reports to {worker.label} session={worker.tenure} number={worker.counter} "
            f"tasks={len(worker.tasks)} answer={status} commands={orders}"
        )
        self.count("report " + status)
        self.last_report_200 = now() if status == "200" else getattr(self, "last_report_200", 0.0)

    # cloud

    async def on_cloud(self, method, target, body):
        """The cloud's interface."""
        await asyncio.sleep(0.05)
        path, _, query = target.partition("?")
        if path == "/flavors":
            return 200, encode({"flavours": [kind | {"sites": self.params["zones"]} for kind in self.kinds.values()]})
        if path == "/rentals/return":
            for name in json.loads(body)["hosts"]:
                self.remove_machine(name, "returned")
            return 200, b"{}"
        if method == "POST":
            return self.rent(json.loads(body))
        after = dict(part.split("=", 1) for part in query.split("&") if part).get("from", "")
        lag = self.params["cloud"]["list_lag_s"]
        rows = [
            {key: host[key] for key in ("id", "address", "flavour", "site", "standby", "status")}
            | {"held_s": max(0.0, now() - lag - host["rented_at"])}
            for name, host in sorted(self.hosts.items())
            if name > after and host["rented_at"] <= now() - lag
        ]
        return 200, encode({"hosts": rows[:500], "has_next": len(rows) > 500})

    def rent(self, request):
        """Rent machines."""
        if request["hire"] in self.hires:
            return 200, encode({"hosts": self.hires[request["hire"]]})
        count = min(request["number"], 50, self.capacity - len(self.hosts))
        if count <= 0:
            return 503, b'{"error":"no capacity"}'
        names = [self.add_machine(request["flavour"], request["site"], request["standby"]) for _ in range(count)]
        self.hires[request["hire"]] = names
        self.note(f"cloud rented {names}")
        return 200, encode({"hosts": names})

    def add_machine(self, kind, zone, spot, boot_s=None):
        """A machine that is up after ``boot_s``."""
        name = f"n-{len(self.hosts) + self.counts.get('gone', 0) + 1:06d}"
        self.hosts[name] = {
            "id": name,
            "address": "",
            "flavour": kind,
            "site": zone,
            "standby": spot,
            "status": "booting",
            "rented_at": now(),
        }
        asyncio.create_task(self.boot(name, self.boot_s if boot_s is None else boot_s))
        return name

    async def boot(self, name, boot_s):
        """Boot a machine."""
        await asyncio.sleep(boot_s)
        host = self.hosts.get(name)
        if host is not None:
            worker = self.workers[name] = Worker(self, name, host["flavour"], host["site"], host["standby"])
            await worker.start()
            host.update(status="running", address=worker.address)
            self.note(f"worker {name} up")

    def remove_machine(self, name, cause):
        """The machine is gone."""
        if self.hosts.pop(name, None) is not None:
            self.count("gone")
            self.note(f"worker {name} gone cause={cause}")
        worker = self.workers.pop(name, None)
        if worker is not None:
            worker.stop(cause)

    # controllers

    def settings_of(self, label, number):
        """The settings file of a controller."""
        peers = [
            {
                "label": other,
                "location": self.location(index),
                "addr": self.peers_of.get(label, {}).get(other, f"{HOST}:{self.mesh_ports[other]}"),
            }
            for index, other in enumerate(self.labels)
            if other != label
        ]
        return {
            "label": label,
            "location": self.location(number),
            "listen": self.addresses[label],
            "mesh_addr": f"{HOST}:{self.mesh_ports[label]}",
            "peers": peers,
            "endpoints": {
                "cloud": f"{HOST}:{self.cloud_server.port}",
                "state": f"{HOST}:{self.state.servers[label].port}",
            },
            "settings": self.params,
        }

    def location(self, number):
        """The zone of a controller."""
        return self.params["zones"][number % len(self.params["zones"])]

    async def start(self, start_controllers=True):
        """Start everything."""
        ports = free_ports(2 * len(self.labels))
        self.addresses = {label: f"{HOST}:{ports.pop()}" for label in self.labels}
        self.mesh_ports = {label: ports.pop() for label in self.labels}
        await self.state.start(self.labels)
        self.cloud_server = await HttpServer(self.on_cloud).start()
        for kind, zone, spot in self.machines:
            self.add_machine(kind, zone, spot, 0.0)
        self.command = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())["run"].split()
        for number, label in enumerate(self.labels):
            (self.temp / f"{label}.json").write_text(json.dumps(self.settings_of(label, number)))
        if start_controllers:
            for label in self.labels:
                await self.spawn(label)
        asyncio.create_task(self.probe_health())

    async def spawn(self, label):
        """Start a controller with the command of the deploy file."""
        log = open(self.temp / f"{label}.log", "a")  # noqa: SIM115
        environment = dict(os.environ, LOG_LEVEL=os.environ.get("CASE_LOG", "info"))
        self.processes[label] = await asyncio.create_subprocess_exec(
            *self.command, str(self.temp / f"{label}.json"), cwd=ROOT, stderr=log, stdout=log, env=environment
        )
        log.close()
        self.wanted[label] = True
        self.note(f"controller {label} started pid={self.processes[label].pid}")

    async def kill(self, label, cause="crash"):
        """End a controller without a signal that it could handle."""
        process = self.processes.pop(label, None)
        if process is not None and process.returncode is None:
            process.send_signal(signal.SIGKILL)
            await process.wait()
        self.note(f"controller {label} killed cause={cause}")

    async def restart(self, label, cause="crash", delay_s=None):
        """Kill a controller, and start it again."""
        await self.kill(label, cause)
        await asyncio.sleep(self.restart_delay_s if delay_s is None else delay_s)
        await self.spawn(label)

    async def probe_health(self):
        """The load balancer's probes."""
        while True:
            for label in self.labels:
                client = self.clients.setdefault("health " + label, HttpClient(self.addresses[label]))
                answer = await client.request("GET", "/healthz", b"", 1.0)
                healthy = answer is not None and answer[0] == 200
                if healthy != self.healthy.get(label):
                    self.note(f"controller {label} healthy={healthy}")
                self.healthy[label] = healthy
            await asyncio.sleep(0.5)

    async def wait_healthy(self, limit_s=30.0, labels=None):
        """Wait until all controllers are healthy."""
        end = now() + limit_s
        while now() < end:
            if all(self.healthy.get(label) for label in labels or self.labels):
                return True
            await asyncio.sleep(0.1)
        return False

    # users

    async def ask(self, method, target, body=b"", timeout_s=2.0, label=None):
        """One user's request on a new connection, at a healthy controller; None: no answer."""
        labels = [label] if label else [each for each in self.labels if self.healthy.get(each)]
        if not labels:
            return None
        client = HttpClient(self.addresses[self.rng.choice(labels)])
        answer = await client.request(method, target, body, timeout_s)
        client.close()
        if answer is None:
            return None
        try:
            return answer[0], json.loads(answer[1])
        except ValueError:
            return answer[0], {}

    def job(self, name, run_s, **fields):
        """Upload a job's description for the workers; returns the body of its submission."""
        spec = {
            "id": name,
            "workload": "route-build",
            "owner": "waste-fleet",
            "shape": "sweep",
            "urgency": "standard",
            "parts": 1,
            "vcpus": 2.0,
            "accelerators": 0.0,
            "mem_gb": 4.0,
            "bundle": "img-1",
            "image_gb": 0.4,
            "flavours": None,
            "site": None,
            "together": False,
            "apart": False,
            "standby": False,
            "expected_s": float(run_s),
            "snapshot_every_s": 0.0,
            "snapshot_s": 0.0,
            "due_s": None,
        } | fields
        self.jobs.specs[name], self.jobs.run_s[name] = spec, run_s
        return encode(spec)

    async def submit(self, body, limit_s=60.0):
        """Submit a job, with retries; true once it is accepted."""
        name, end = json.loads(body)["id"], now() + limit_s
        while now() < end:
            answer = await self.ask("POST", "/v1/jobs", body, 5.0)
            self.note(f"user submits {name} answer={answer}")
            if answer is not None and answer[0] in (200, 201):
                return True
            await asyncio.sleep(1.0)
        return False

    async def status(self, name, label=None):
        """Ask for a job's status once."""
        answer = await self.ask("GET", f"/v1/jobs/{name}", label=label)
        self.note(f"user asks {name} answer={answer}")
        return answer

    async def wait_for(self, name, status, limit_s):
        """Poll until the job has that status."""
        end = now() + limit_s
        while now() < end:
            answer = await self.status(name)
            if answer is not None and answer[0] == 200 and answer[1].get("status") == status:
                return True
            await asyncio.sleep(0.5)
        return False

    async def watch_memory(self, most, ended):
        """Kill a process over its memory limit and start it again; ``most``: MB held; ``ended``: labels of those."""
        # In the service's favour: anonymous memory alone, and 2**20 bytes to the MB.
        limit = self.params["limits"]["memory_mb"] * 1.048576
        while True:
            await asyncio.sleep(0.05)
            for label, process in list(self.processes.items()):
                try:
                    held = memory_mb(process.pid) if process.returncode is None else 0.0
                except OSError:
                    continue
                most[label] = max(most.get(label, 0.0), held)
                if held > limit:
                    self.note(f"controller {label} holds {held:.0f} MB of {limit:.0f}")
                    ended.append(label)
                    await self.kill(label, "over its memory limit")
                    asyncio.create_task(self.start_later(label))

    async def start_later(self, label):
        """Start a controller that was killed again."""
        await asyncio.sleep(self.restart_delay_s)
        await self.spawn(label)

    async def stop(self):
        """End all processes that this started, and keep the ends of their logs."""
        for label in list(self.processes):
            await self.kill(label, "end of the case")
        for name in list(self.workers):
            self.workers[name].stop("end of the case")
        for label in self.labels:
            path = self.temp / f"{label}.log"
            if path.exists():
                lines = path.read_text().splitlines()
                for line in lines if os.environ.get("CASE_LOG") else lines[-25:]:
                    self.file.write(f"log {label} {line[:300]}\n")
        self.note(f"counts {self.counts} state {self.state.counts}")
        self.file.close()
        shutil.rmtree(self.temp, ignore_errors=True)


def free_ports(count):
    """Free loopback ports below the range that the system gives to connections."""
    ports = []
    while len(ports) < count:
        port = random.SystemRandom().randint(15000, 32000)
        with socket.socket() as sock:
            try:
                sock.bind((HOST, port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


def memory_mb(pid):
    """Anonymous memory of a process, in MB (of 1,000,000 bytes)."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("RssAnon:"):
            return int(line.split()[1]) * 1024 / 1e6
    return 0.0


def run_case(main, limit_s=115.0):
    """Run a case's coroutine function; exit with its result, 2 if it couldn't run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    folder = Path(sys.argv[0]).resolve().parent

    async def guarded():
        case = main(folder, trouble)
        try:
            return await asyncio.wait_for(case, limit_s)
        except TimeoutError:
            print("the case took too long")
            return 2

    try:
        code = asyncio.run(guarded())
    except Exception as error:
        print(f"the case couldn't run: {error!r}")
        code = 2
    print({0: "held", 1: "BROKEN", 2: "could not run"}[code])
    sys.exit(code)
