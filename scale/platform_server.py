"""One process that serves the state service and the cloud to controllers, and tells hollow processes what to do.

    python3 -m scale.platform_server SETUP.json

Each controller has a port of the state service of its own, so that one alone can be cut off. Prints its ports as one
line of JSON once it serves.
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

FOLLOW_LOOK_S = 0.02  # how often open watches are looked at
CUT_S = 5.0  # a request over a cut link hangs for longer than its client waits
MOST_BODY = 256 * 1024


def respond(answer: Answer) -> web.Response:
    """The answer as it goes over the wire."""
    return web.Response(status=answer.status, body=json.dumps(answer.body).encode(), content_type="application/json")


class Platform:
    """The models, and what is wrong with them now."""

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

    # -- the state service

    async def on_state(self, label: str, request: web.Request) -> web.Response:
        """A request of that controller."""
        body = await request.json() if request.can_read_body else {}
        if label in self.cut_controllers:
            await asyncio.sleep(CUT_S)
            return respond(Answer(503, {"error": "cut"}))
        now = time.monotonic()
        refused = self.state.admit(now)
        if refused is not None and not (request.path == "/follow" and refused.status == 503):
            return respond(refused)
        if request.path == "/follow":
            return respond(await self.follow(label, request))
        return respond(self.state_answer(request, body, now))

    def state_answer(self, request: web.Request, body: dict, now: float) -> Answer:
        """What needs no waiting."""
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

    async def follow(self, label: str, request: web.Request) -> Answer:
        """A watch: waits for a change, also through an outage."""
        query, revision = request.query, int(request.query["from"])
        end = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            if not self.state.down and label not in self.cut_controllers:
                changes = self.state.changes_since(query.get("starts", ""), revision)
                if changes is not None:
                    return changes
                if time.monotonic() >= end:
                    return Answer(200, {"epoch": self.state.revision, "log": []})
            await asyncio.sleep(FOLLOW_LOOK_S)

    # -- the cloud

    async def on_cloud(self, request: web.Request) -> web.Response:
        """A request of any controller."""
        body = await request.json() if request.can_read_body else {}
        self.cloud.calls += 1
        now, path = time.monotonic(), request.path
        if path == "/flavors":
            return respond(self.cloud.types())
        if path == "/rentals/return":
            return respond(self.cloud.give_back(body["hosts"]))
        if path == "/rentals" and request.method == "POST":
            return respond(self.cloud.rent(body["hire"], body["site"], body["standby"], body["number"], now))
        query = request.query
        return respond(self.cloud.listed(query.get("from", ""), int(query.get("limit", "500")), now))

    # -- hollow processes, and whoever runs the experiment

    async def on_control(self, request: web.Request) -> web.Response:
        """What is up and what is cut; or a change of either; or what was counted."""
        body = await request.json() if request.can_read_body else {}
        if request.path == "/hollow":
            return respond(self.on_hollow(body))
        if request.path == "/fault":
            return respond(self.on_fault(body))
        counts = {"state": self.state.counts, "keys": len(self.state.data), "cloud_calls": self.cloud.calls}
        return respond(Answer(200, counts | {"hosts": len(self.cloud.hosts), "hollow": list(self.hollow.values())}))

    def on_hollow(self, body: dict) -> Answer:
        """A hollow process tells of its workers, and hears which are its own."""
        number, count = body["process"], body["of"]
        self.hollow[number] = body["counts"]
        for name, address in body["addresses"].items():
            if name in self.cloud.hosts:
                self.cloud.hosts[name].address = address
        mine = [host for host in self.cloud.up(time.monotonic()) if int(host.name[2:]) % count == number]
        hosts = [[host.name, host.zone, host.spot] for host in mine]
        return Answer(200, {"hosts": hosts, "cut_zones": sorted(self.cut_zones)})

    def on_fault(self, body: dict) -> Answer:
        """Something goes wrong, or is mended."""
        self.cut_controllers, self.cut_zones = set(body["cut_controllers"]), set(body["cut_zones"])
        if body["state_down"]:
            self.state.down = True
        elif self.state.down:
            self.state.outage_over(time.monotonic())
        return Answer(200, {})


async def listen(handler: web.RequestHandler) -> int:
    """Serve on a free port of this machine."""
    runner = web.ServerRunner(web.Server(handler))
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    return runner.addresses[0][1]


async def serve(setup: dict) -> None:
    """All ports, until this process is ended."""
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
