"""HTTP interface of one real controller process over loopback, with stub servers for the store and the cloud."""

import contextlib
import http.client
import json
import socket
import subprocess
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from urllib.parse import parse_qs, urlparse

import pytest

from scale.state_model import StateModel

ROOT = Path(__file__).resolve().parent.parent
JOB = {
    "id": "wk-000001",
    "workload": "w",
    "owner": "t",
    "shape": "sweep",
    "urgency": "high",
    "parts": 2,
    "vcpus": 1.0,
    "accelerators": 0.0,
    "mem_gb": 1.0,
    "bundle": "i",
    "image_gb": 1.0,
    "together": False,
    "apart": False,
    "standby": False,
    "expected_s": 5.0,
    "snapshot_every_s": 0.0,
    "snapshot_s": 0.0,
}


class StubHandler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *args):
        pass

    def finish(self):
        with contextlib.suppress(OSError):  # tests kill the controller, which resets its connections
            super().finish()

    def reply(self, status, value):
        body = json.dumps(value).encode()
        self.send_response(status)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        with contextlib.suppress(OSError):
            self.wfile.write(body)

    def read_body(self):
        return json.loads(self.rfile.read(int(self.headers.get("Content-Length", 0))) or b"{}")


def store_stub():
    lock = threading.Lock()
    state = StateModel()

    class Store(StubHandler):
        def do_GET(self):
            self.read_body()
            url = urlparse(self.path)
            query = {key: values[0] for key, values in parse_qs(url.query).items()}
            if state.down:
                return self.reply(503, {})
            if url.path == "/follow":
                return self.reply(*self.follow(int(query["from"]), int(query["wait_ms"])))
            with lock:
                if url.path == "/kv":
                    answer = state.rows(query.get("starts", ""), query.get("from", ""), 1000)
                else:
                    answer = state.get(url.path[4:])
            return self.reply(*answer)

        def follow(self, revision, wait_ms):
            end = time.monotonic() + min(0.3, wait_ms / 1000)
            while True:
                with lock:
                    changes = state.changes_since("", revision)
                    if changes is not None or time.monotonic() >= end:
                        return changes or (200, {"epoch": state.revision, "log": []})
                time.sleep(0.01)

        def do_POST(self):
            body = self.read_body()
            if state.down:
                return self.reply(503, {})
            with lock:
                if self.path == "/holds":
                    return self.reply(*state.new_hold(body["ttl_ms"], time.monotonic()))
                if self.path != "/commit":
                    return self.reply(*state.extend(int(self.path.split("/")[2]), time.monotonic()))
                return self.reply(*state.commit(body, time.monotonic()))

        def do_DELETE(self):
            self.read_body()
            with lock:
                return self.reply(*state.end_hold(int(self.path.rpartition("/")[2])))

    return Store, state


class CloudStub(StubHandler):
    def do_GET(self):
        self.read_body()
        if self.path == "/flavors":
            machine_type = {
                "name": "c4",
                "vcpus": 4,
                "accelerators": 0,
                "mem_gb": 16,
                "local_gb": 10,
                "pull_gb_per_s": 1.0,
                "rate": 1.0,
                "spot_price": 0.3,
                "ready_s": 10,
                "sites": ["a"],
            }
            return self.reply(200, {"flavours": [machine_type]})
        return self.reply(200, {"hosts": [], "has_next": False})

    def do_POST(self):
        self.read_body()
        return self.reply(200, {"hosts": []})


def free_port():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def serve(handler):
    server = ThreadingHTTPServer(("127.0.0.1", 0), handler)
    server.daemon_threads = True
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


def settings(port, store, cloud):
    shared = {
        "zones": ["a"],
        "teams": [{"name": "t"}, {"name": "small", "cpus_max": 1.0}],
        "workers": {"report_s": 3.0, "lease_s": 20.0, "cancel_s": 45.0},
        "state": {"rps": 500.0, "write_rps": 200.0, "value_kb": 4.0, "txn_ops": 12},
        "cloud": {"rps": 5.0, "list_lag_s": 5.0},
        "limits": {"cpu": 1.0, "memory_mb": 200.0, "max_sockets": 50},
    }
    return {
        "label": "host-0",
        "location": "a",
        "listen": f"127.0.0.1:{port}",
        "mesh_addr": f"127.0.0.1:{free_port()}",
        "peers": [],
        "endpoints": {"cloud": cloud, "state": store},
        "settings": shared,
        "unknown": 1,
    }


class ControllerProcess:
    def __init__(self, path, port):
        self.path, self.port, self.process = path, port, None
        self.start()

    def start(self):
        self.process = subprocess.Popen(
            [sys.executable, "run.py", "--config", str(self.path)], cwd=ROOT, stderr=subprocess.DEVNULL
        )
        for _ in range(400):
            with contextlib.suppress(OSError, http.client.HTTPException):
                if self.call("GET", "/healthz")[0] == 200:
                    return
            time.sleep(0.05)
        raise AssertionError("the controller did not become healthy")

    def stop(self):
        self.process.kill()
        self.process.wait()

    def call(self, method, path, body=None):
        conn = http.client.HTTPConnection("127.0.0.1", self.port, timeout=10)
        raw = body if isinstance(body, bytes | None) else json.dumps(body)
        conn.request(method, path, raw)
        response = conn.getresponse()
        data = response.read()
        conn.close()
        return response.status, json.loads(data or b"null"), dict(response.getheaders())

    def submit_until(self, job, status):
        for _ in range(200):
            answer = self.call("POST", "/v1/jobs", job)
            if answer[0] == status:
                return answer
            time.sleep(0.05)
        raise AssertionError(f"expected status {status}, last answer: {answer}")


@pytest.fixture(scope="module")
def controller_and_store(tmp_path_factory):
    handler, state = store_stub()
    store, cloud, port = serve(handler), serve(CloudStub), free_port()
    path = tmp_path_factory.mktemp("conf") / "settings.json"
    path.write_text(json.dumps(settings(port, *(f"127.0.0.1:{server.server_address[1]}" for server in (store, cloud)))))
    service = ControllerProcess(path, port)
    yield service, state
    service.stop()
    store.shutdown()
    cloud.shutdown()


def test_a_submission_is_idempotent_and_a_withdrawal_is_final(controller_and_store):
    service, state = controller_and_store
    service.submit_until(JOB, 201)
    assert "ab/j/wk-000001" in state.data
    assert service.call("POST", "/v1/jobs", JOB)[0] == 200
    assert service.call("GET", "/v1/jobs/wk-000001")[1] == {
        "id": "wk-000001",
        "status": "pending",
        "done": 0,
        "running": 0,
    }
    assert service.call("POST", "/v1/jobs/wk-000001/withdraw")[1]["status"] == "aborted"
    assert state.data["ab/j/wk-000001"].data["state"] == "aborted"
    service.stop()
    service.start()
    assert service.call("GET", "/v1/jobs/wk-000001")[1]["status"] == "aborted"
    assert service.call("POST", "/v1/jobs", JOB)[1]["status"] == "aborted"


@pytest.mark.parametrize(
    "method, path, body, status",
    [
        ("POST", "/v1/jobs", b"{", 400),
        ("POST", "/v1/jobs", b"[]", 400),
        ("POST", "/v1/jobs", b"\xff\xfe", 400),
        ("POST", "/v1/jobs", b"[" * 60000, 400),
        ("POST", "/v1/jobs", {**JOB, "id": "x"}, 400),
        ("POST", "/v1/jobs", {**JOB, "id": "wk-000009", "parts": 0}, 400),
        ("POST", "/v1/jobs", {**JOB, "id": "wk-000009", "vcpus": -1.0}, 400),
        ("POST", "/v1/jobs", {**JOB, "id": None}, 400),
        ("POST", "/v1/jobs", {**JOB, "id": "wk-000009", "parts": 10**30}, 400),
        ("POST", "/v1/jobs", b"x" * 70000, 413),
        ("POST", "/v1/jobs", {**JOB, "id": "wk-000009", "owner": "nobody"}, 422),
        ("POST", "/v1/jobs", {**JOB, "id": "wk-000009", "vcpus": 64.0}, 422),
        ("POST", "/v1/jobs", {**JOB, "id": "wk-000009", "owner": "small", "vcpus": 2.0}, 422),
        ("GET", "/v1/jobs/wk-777777", None, 404),
        ("GET", "/v1/jobs/%00", None, 404),
        ("GET", "/nowhere", None, 404),
        ("POST", "/v1/jobs/wk-777777/withdraw", None, 404),
        ("DELETE", "/v1/jobs", None, 405),
        ("POST", "/agent/beat", b"{}", 400),
        ("GET", "/agent/beat", None, 405),
    ],
)
def test_an_invalid_request_is_rejected_with_its_status(controller_and_store, method, path, body, status):
    service, _ = controller_and_store
    service.submit_until({**JOB, "id": "wk-000009", "owner": "nobody"}, 422)  # wait until the machine types are loaded
    assert service.call(method, path, body)[0] == status


def test_a_worker_gets_orders_only_after_acknowledging_the_fencing_token(controller_and_store):
    service, state = controller_and_store
    service.submit_until({**JOB, "id": "wk-000002"}, 201)
    heartbeat = {
        "host": "n-1",
        "address": "x",
        "flavour": "c4",
        "site": "a",
        "standby": False,
        "tenure": 1,
        "counter": 1,
        "mandate": 0,
        "recall_s": None,
        "parts": [],
    }
    status, answer, _ = service.call("POST", "/agent/beat", heartbeat)
    assert status == 200 and answer["orders"] == [] and answer["mandate"] > 0
    assert service.call("POST", "/agent/beat", heartbeat)[0] == 503  # its sequence is not newer than the last
    newer_token = {**heartbeat, "counter": 2, "mandate": answer["mandate"] + 1}
    # A worker would drop a 200 with the older token, and keep sending its heartbeats to this controller.
    assert service.call("POST", "/agent/beat", newer_token)[0] == 503
    for sequence in range(2, 60):
        orders = service.call("POST", "/agent/beat", {**heartbeat, "counter": sequence, "mandate": answer["mandate"]})[
            1
        ]["orders"]
        if orders:
            break
        time.sleep(0.05)
    assert {(order["verb"], order["part"]) for order in orders} == {("run", "wk-000002/0"), ("run", "wk-000002/1")}
    assert "ab/n/n-1" in state.data  # the record is written before the first order


def test_a_submission_is_refused_at_once_while_the_store_is_unavailable(controller_and_store):
    service, state = controller_and_store
    state.down = True
    try:
        status, _, headers = service.call("POST", "/v1/jobs", {**JOB, "id": "wk-000003"})
        assert status == 503
        assert int(headers["Retry-After"]) > 0
        assert service.call("GET", "/healthz")[0] == 200
    finally:
        state.down = False
    service.submit_until({**JOB, "id": "wk-000003"}, 201)


def test_dependencies_are_validated_and_a_cancellation_reaches_dependent_jobs(controller_and_store):
    service, state = controller_and_store
    first, second, third, fourth = ({**JOB, "id": f"wk-00001{n}"} for n in range(1, 5))
    service.submit_until(first, 201)
    unknown_dependency = {**second, "waits_on": ["wk-000011", "wk-888888"]}
    assert service.call("POST", "/v1/jobs", unknown_dependency)[0] == 422
    assert service.call("POST", "/v1/jobs", {**second, "waits_on": [second["id"]]})[0] == 422
    assert service.call("POST", "/v1/jobs", {**second, "waits_on": "wk-000011"})[0] == 400
    assert service.call("POST", "/v1/jobs", {**second, "waits_on": ["wk-000011", "wk-000011"]})[0] == 201
    assert service.call("POST", "/v1/jobs", {**third, "waits_on": ["wk-000012"]})[0] == 201
    # The job is already recorded: its status is returned.
    assert service.call("POST", "/v1/jobs", {**unknown_dependency, "id": third["id"]})[0] == 200
    assert state.data["ab/j/wk-000012"][0]["spec"]["waits_on"] == ["wk-000011"]
    assert service.call("GET", "/v1/jobs/wk-000013")[1]["status"] == "pending"
    assert service.call("POST", "/v1/jobs/wk-000011/withdraw")[1]["status"] == "aborted"
    for job in ("wk-000012", "wk-000013"):
        for _ in range(100):
            answer = service.call("GET", f"/v1/jobs/{job}")
            if answer[0] == 200 and answer[1]["status"] == "aborted":
                break
            time.sleep(0.05)
        assert answer[1]["status"] == "aborted" and state.data[f"ab/j/{job}"][0] == {"state": "aborted"}
    assert service.call("POST", "/v1/jobs", {**fourth, "waits_on": ["wk-000013"]})[1]["status"] == "aborted"
    state.down = True
    try:
        status, _, headers = service.call("POST", "/v1/jobs", {**JOB, "id": "wk-000019", "waits_on": ["wk-888888"]})
        assert status == 503 and int(headers["Retry-After"]) > 0
    finally:
        state.down = False


def test_incomplete_requests_do_not_block_other_clients(controller_and_store):
    service, _ = controller_and_store
    socks = [socket.create_connection(("127.0.0.1", service.port)) for _ in range(20)]
    try:
        for sock in socks:
            sock.sendall(b"POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{")
        assert service.call("GET", "/healthz")[0] == 200
    finally:
        for sock in socks:
            sock.close()


@pytest.mark.parametrize(
    "change, expected",
    [
        ({"listen": "nowhere"}, "listen: expected HOST:PORT"),
        ({"label": 5}, "$.label"),
    ],
)
def test_an_invalid_settings_file_is_reported_in_one_line_with_exit_status_2(tmp_path, change, expected):
    path = tmp_path / "s.json"
    path.write_text(json.dumps({**settings(1, "a:1", "b:2"), **change}))
    completed = subprocess.run(
        [sys.executable, "run.py", "--check", "--config", str(path)],
        cwd=ROOT,
        text=True,
        capture_output=True,
        check=False,
    )
    assert completed.returncode == 2 and expected in completed.stderr and completed.stderr.count("\n") == 1


def test_announced_store_limits_are_checked_and_shown(tmp_path):
    path, value = tmp_path / "s.json", settings(1, "a:1", "b:2")
    for announced, exit_status, expected in (
        ({"value_kb": 2.0}, 0, "value_kb 2, txn_ops 12"),
        ({"txn_ops": 0}, 2, "state.next.txn_ops"),
    ):
        value["settings"]["state"]["next"] = announced
        path.write_text(json.dumps(value))
        completed = subprocess.run(
            [sys.executable, "run.py", "--check", "--config", str(path)],
            cwd=ROOT,
            text=True,
            capture_output=True,
            check=False,
        )
        assert completed.returncode == exit_status and expected in completed.stdout + completed.stderr


@pytest.mark.parametrize(
    "text, expected",
    [
        ("[policy]\nbid = 1\n", "[policy] bid: no such setting"),
        ("[policy]\nbid_share = much\n", "bid_share: expected a number from 0.0 to 10.0"),
        ("bid_share\n", "not an INI file"),
        ("[policy]\nbid_share = 0.7\n", None),
    ],
)
def test_operator_settings_are_checked(tmp_path, text, expected):
    path, ini = tmp_path / "s.json", tmp_path / "a.ini"
    path.write_text(json.dumps(settings(1, "a:1", "b:2")))
    ini.write_text(text)
    completed = subprocess.run(
        [sys.executable, "run.py", "--check", "--config", str(path), "--settings", str(ini)],
        cwd=ROOT,
        text=True,
        capture_output=True,
        check=False,
    )
    assert completed.returncode == (2 if expected else 0) and (expected or "") in completed.stderr
