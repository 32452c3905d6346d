"""Serves the simulated state service and cloud to the controllers, and controls the hollow processes.

    python3 -m scale.platform_server SETUP.json

Each controller has its own port of the state service, so that it can be cut off separately. Prints the ports as one
line of JSON when it is ready.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from pathlib import Path

from aiohttp import web

from .cloud_model import CloudModel
from .state_model import Answer, StateModel

WATCH_POLL_S = 0.02
CUT_LINK_HANG_S = 5.0  # longer than any client's timeout
MAX_BODY_BYTES = 256 * 1024


def respond(answer: Answer) -> web.Response:
    """Encodes the answer as an HTTP response."""
    return web.Response(status=answer.status, body=json.dumps(answer.body).encode(), content_type="application/json")


class Platform:
    """The models of state service and cloud, and the faults injected into them."""

    def __init__(self, setup: dict) -> None:
        """``setup``: as ``scale.run`` writes it."""
        self.state = StateModel(setup["store_requests"], setup["store_changes"])
        self.cloud = CloudModel(setup["zones"], setup["workers"], setup["boot_s"], setup["list_lag_s"], setup["seed"])
        now = time.monotonic()
        for number in range(setup["workers_at_start"]):
            self.cloud.add(setup["zones"][number % len(setup["zones"])], number % 4 != 0, now, 0.0)
        self.cut_controllers: set[str] = set()
        self.cut_zones: set[str] = set()
        self.hollow: dict[int, dict] = {}

    async def on_state(self, label: str, request: web.Request) -> web.Response:
        """Handles a request of that controller to the state service."""
        body = await request.json() if request.can_read_body else {}
        if label in self.cut_controllers:
            await asyncio.sleep(CUT_LINK_HANG_S)
            return respond(Answer(503, {"error": "cut"}))
        now = time.monotonic()
        refused = self.state.admit(now)
        if refused is not None and not (request.path == "/follow" and refused.status == 503):
            return respond(refused)
        if request.path == "/follow":
            return respond(await self.watch(label, request))
        return respond(self.state_answer(request, body, now))

    def state_answer(self, request: web.Request, body: dict, now: float) -> Answer:
        """Answers every request but a watch."""
        method, path = request.method, request.path
        if method == "POST" and path == "/commit":
            return self.state.commit(body, now)
        if method == "POST" and path == "/holds":
            return self.state.new_hold(body["ttl_ms"], now)
        if path.startswith("/holds/"):
            lease_id = int(path.split("/")[2])
            return self.state.end_hold(lease_id) if method == "DELETE" else self.state.extend(lease_id, now)
        if path == "/kv":
            query = request.query
            return self.state.rows(query.get("starts", ""), query.get("from", ""), int(query.get("limit", "1000")))
        if path.startswith("/kv/"):
            return self.state.get(path[4:])
        return Answer(404, {"error": "no such path"})

    async def watch(self, label: str, request: web.Request) -> Answer:
        """Answers a watch: waits for a change; an outage delays the answer and does not end the watch."""
        query, revision = request.query, int(request.query["from"])
        end = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            if not self.state.down and label not in self.cut_controllers:
                changes = self.state.changes_since(query.get("starts", ""), revision)
                if changes is not None:
                    return changes
                if time.monotonic() >= end:
                    return Answer(200, {"epoch": self.state.revision, "log": []})
            await asyncio.sleep(WATCH_POLL_S)

    async def on_cloud(self, request: web.Request) -> web.Response:
        """Handles a request of any controller to the cloud."""
        body = await request.json() if request.can_read_body else {}
        self.cloud.calls += 1
        now, path = time.monotonic(), request.path
        if path == "/flavors":
            return respond(self.cloud.types())
        if path == "/rentals/return":
            return respond(self.cloud.return_machines(body["hosts"]))
        if path == "/rentals" and request.method == "POST":
            return respond(self.cloud.rent(body["hire"], body["site"], body["standby"], body["number"], now))
        query = request.query
        return respond(self.cloud.listed(query.get("from", ""), int(query.get("limit", "500")), now))

    async def on_control(self, request: web.Request) -> web.Response:
        """Handles a control request: status report of a hollow process, change of the faults, or the counters."""
        body = await request.json() if request.can_read_body else {}
        if request.path == "/hollow":
            return respond(self.on_hollow(body))
        if request.path == "/fault":
            return respond(self.on_fault(body))
        counts = {"state": self.state.counts, "keys": len(self.state.data), "cloud_calls": self.cloud.calls}
        return respond(Answer(200, counts | {"hosts": len(self.cloud.hosts), "hollow": list(self.hollow.values())}))

    def on_hollow(self, body: dict) -> Answer:
        """Records the status report of a hollow process; answers with its machines and the zones that are cut off."""
        number, count = body["process"], body["of"]
        self.hollow[number] = body["counts"]
        for name, address in body["addresses"].items():
            if name in self.cloud.hosts:
                self.cloud.hosts[name].address = address
        own = [host for host in self.cloud.up(time.monotonic()) if int(host.name[2:]) % count == number]
        hosts = [[host.name, host.zone, host.spot] for host in own]
        return Answer(200, {"hosts": hosts, "cut_zones": sorted(self.cut_zones)})

    def on_fault(self, body: dict) -> Answer:
        """Replaces the set of injected faults."""
        self.cut_controllers, self.cut_zones = set(body["cut_controllers"]), set(body["cut_zones"])
        if body["state_down"]:
            self.state.down = True
        elif self.state.down:
            self.state.end_outage(time.monotonic())
        return Answer(200, {})


async def listen(handler: web.RequestHandler) -> int:
    """Serves on a free local port; returns the port."""
    runner = web.ServerRunner(web.Server(handler))
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    return runner.addresses[0][1]


async def serve(setup: dict) -> None:
    """Serves all ports until the process is killed."""
    platform = Platform(setup)
    ports = {"state": {}}
    for label in setup["labels"]:
        ports["state"][label] = await listen(lambda request, label=label: platform.on_state(label, request))
    ports["cloud"] = await listen(platform.on_cloud)
    ports["control"] = await listen(platform.on_control)
    print(json.dumps(ports), flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(serve(json.loads(Path(sys.argv[1]).read_text())))
