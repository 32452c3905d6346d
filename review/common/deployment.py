"""A small deployment: three controllers as the deploy file starts them, beside the stand-ins; users and records."""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from net import Proxy, free_port, request
from platform_standins import Cloud, Fleet, Host, State, Worker

ROOT = Path(__file__).resolve().parent.parent.parent
LABELS = ["host-0", "host-1", "host-2"]
now = time.monotonic

SITES: dict[str, dict[str, Any]] = {
    "fjordline-booking": {
        "zones": ["trondheim-dc"],
        "workers": {"report_s": 3.0, "lease_s": 21.0, "gang_wait_s": 35.0, "gang_peer_s": 8.0, "cancel_s": 46.0},
        "state": {"rps": 250.0, "write_rps": 40.0, "value_kb": 8.0, "txn_ops": 24},
        "cloud": {"rps": 1.5, "list_lag_s": 12.0},
        "limits": {"cpu": 0.75, "memory_mb": 266.0, "max_sockets": 1800},
        "teams": ["booking-desk", "route-planning", "clinic-liaison", "finance-office"],
        "flavours": [
            ("liten", 4.0, 16.0, 50.0, 0.4, 0.26, 0.08, 35.0),
            ("middels", 16.0, 128.0, 80.0, 0.3, 1.1, 0.34, 50.0),
            ("stor", 32.0, 128.0, 30.0, 0.2, 2.12, 0.69, 50.0),
        ],
        "restart_s": 3.0,
    },
    "mfrs-routing": {
        "zones": ["nottingham", "coventry", "derby"],
        "workers": {"report_s": 3.0, "lease_s": 17.0, "gang_wait_s": 30.0, "gang_peer_s": 5.0, "cancel_s": 42.0},
        "state": {"rps": 100.0, "write_rps": 20.0, "value_kb": 4.0, "txn_ops": 12},
        "cloud": {"rps": 6.0, "list_lag_s": 8.0},
        "limits": {"cpu": 0.75, "memory_mb": 186.0, "max_sockets": 1000},
        "teams": [
            ("waste-fleet", 192.0, 272.0),
            ("parcel-fleet", 160.0, 272.0),
            ("highways-crews", 272.0, 648.0),
            ("network-data", 160.0, 376.0),
        ],
        "flavours": [("standard-32", 32.0, 128.0, 30.0, 0.8, 1.38, 0.44, 50.0)],
        "restart_s": 6.0,
    },
}


def team_settings(team: str | tuple[str, float, float]) -> dict[str, Any]:
    """One entry of ``teams`` in the settings."""
    name, cpus, cpus_max = (team, 0.0, 0.0) if isinstance(team, str) else team
    return {"name": name, "cpus": cpus, "cpus_max": cpus_max, "gpus": 0.0, "gpus_max": 0.0}


class Deployment:
    """All processes and stand-ins of one run, and its record."""

    def __init__(self, folder: Path, site: str, capacity: int, **changes: Any) -> None:
        """``folder``: of the case; ``changes``: replace keys of the site."""
        self.site = SITES[site] | changes
        self.record = (folder / "record.txt").open("w", encoding="utf-8")
        self.started_at = now()
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.addresses = {label: f"127.0.0.1:{free_port()}" for label in LABELS}
        self.mesh = {label: f"127.0.0.1:{free_port()}" for label in LABELS}
        self.links: dict[tuple[str, str], Proxy] = {}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.state = State(self.site["state"]["rps"], self.site["state"]["write_rps"])
        flavours = [self._flavour(*values) for values in self.site["flavours"]]
        self.cloud = Cloud(flavours, capacity, self.site["cloud"]["list_lag_s"])
        self.fleet = Fleet(self.addresses, self.site["workers"]["report_s"], self.site["workers"]["lease_s"])
        self.fleet.note = self.note
        self.workers: dict[str, Worker] = {}
        self.cloud.on_up, self.cloud.on_gone = self._on_up, self._on_gone

    def _flavour(
        self, name: str, cpus: float, memory: float, disk: float, pull: float, rate: float, spot: float, boot: float
    ) -> dict[str, Any]:
        return {
            "name": name,
            "vcpus": cpus,
            "accelerators": 0,
            "mem_gb": memory,
            "local_gb": disk,
            "pull_gb_per_s": pull,
            "rate": rate,
            "spot_price": spot,
            "ready_s": boot,
            "sites": self.site["zones"],
        }

    def note(self, *words: Any) -> None:
        """Write a line to record.txt."""
        print(f"{now() - self.started_at:8.3f}", *words, file=self.record, flush=True)

    def _on_up(self, host: Host) -> None:
        kind = next(flavour for flavour in self.cloud.flavours if flavour["name"] == host.flavour)
        worker = self.workers[host.name] = Worker(self.fleet, host, kind)
        self.note("machine up", host.name, host.flavour, host.site)
        self.background = getattr(self, "background", [])
        self.background.append(asyncio.create_task(worker.start()))

    def _on_gone(self, name: str) -> None:
        self.note("machine returned", name)
        worker = self.workers.pop(name, None)
        if worker is not None:
            worker.stop()

    async def start(self) -> None:
        """Start the stand-ins and the controllers, and wait until these are healthy."""
        await self.state.start(LABELS)
        await self.cloud.start()
        for label in LABELS:
            for peer in LABELS:
                if peer != label:
                    self.links[label, peer] = await Proxy(self.mesh[peer]).start()
        for label in LABELS:
            self.start_controller(label)
        for label in LABELS:
            if not await self.wait_healthy(label, 20.0) or self.processes[label].poll() is not None:
                raise CannotRunError(f"{label} is not healthy")

    async def wait_healthy(self, label: str, seconds: float) -> bool:
        """Wait until the controller answers its health check."""
        end = now() + seconds
        while now() < end:
            if (await request(self.addresses[label], "GET", "/healthz", None, 1.0))[0] == 200:
                return True
            await asyncio.sleep(0.1)
        return False

    def settings(self, label: str) -> dict[str, Any]:
        """The settings file of one controller."""
        site, zones = self.site, self.site["zones"]
        zone = {each: zones[number % len(zones)] for number, each in enumerate(LABELS)}
        assert self.cloud.server is not None
        shared = {key: site[key] for key in ("zones", "workers", "state", "cloud", "limits")}
        return {
            "label": label,
            "location": zone[label],
            "listen": self.addresses[label],
            "mesh_addr": self.mesh[label],
            "peers": [
                {"label": peer, "location": zone[peer], "addr": f"127.0.0.1:{self.links[label, peer].port}"}
                for peer in LABELS
                if peer != label
            ],
            "endpoints": {
                "cloud": f"127.0.0.1:{self.cloud.server.port}",
                "state": f"127.0.0.1:{self.state.ports[label].port}",
            },
            "settings": {
                "count": 3,
                "teams": [team_settings(team) for team in site["teams"]],
                "objectives": site.get("objectives", []),
                "skew_ms": 250.0,
                **shared,
            },
        }

    def start_controller(self, label: str) -> None:
        """Start a controller with the command of the deploy file."""
        path = self.folder / f"{label}.json"
        path.write_text(json.dumps(self.settings(label)))
        with (self.folder / f"{label}.log").open("ab") as log:
            self.processes[label] = subprocess.Popen(
                ["python3", "run.py", "--config", str(path)],
                cwd=ROOT,
                stdout=subprocess.DEVNULL,
                stderr=log,
                env=os.environ | {"LOG_LEVEL": os.environ.get("LOG_LEVEL", "info")},
            )
        self.note("controller started", label)

    def kill(self, label: str) -> None:
        """Kill a controller."""
        self.note("controller killed", label)
        self.processes[label].kill()
        self.processes[label].wait()

    def freeze(self, label: str, stands_still: bool) -> None:
        """Stop or continue a controller's process."""
        self.note("controller", label, "stands still" if stands_still else "goes on")
        self.processes[label].send_signal(signal.SIGSTOP if stands_still else signal.SIGCONT)

    def stop(self) -> None:
        """End all processes and stand-ins; a controller that ended by itself, as for a port in use, spoils the run."""
        codes = {label: process.poll() for label, process in self.processes.items()}
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        for worker in self.workers.values():
            worker.stop()
        if os.environ.get("KEEP"):
            print(f"kept {self.folder}", file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        ended = [label for label, code in codes.items() if code not in (None, -signal.SIGKILL)]
        if ended:
            raise CannotRunError(f"ended by themselves: {ended}")

    # Users

    def job(self, number: int, team: str, parts: int, cpus: float, memory: float, **more: Any) -> dict[str, Any]:
        """A submission's body, with usual values for what is not given."""
        return {
            "id": f"wk-{number:06d}",
            "workload": "batch",
            "owner": team,
            "shape": "sweep",
            "urgency": "standard",
            "parts": parts,
            "vcpus": cpus,
            "accelerators": 0.0,
            "mem_gb": memory,
            "bundle": "image-1",
            "image_gb": 0.1,
            "flavours": None,
            "site": None,
            "together": False,
            "apart": False,
            "standby": True,
            "expected_s": 20.0,
            "snapshot_every_s": 0.0,
            "snapshot_s": 0.0,
            "due_s": None,
        } | more

    async def submit(self, job: dict[str, Any], label: str | None = None, tries: int = 60) -> int:
        """Submit a job until it is accepted; returns the last status."""
        self.fleet.jobs[job["id"]] = job
        status = 0
        for attempt in range(tries):
            target = label or LABELS[attempt % len(LABELS)]
            status, answer = await request(self.addresses[target], "POST", "/v1/jobs", job, 5.0)
            self.note("submit", job["id"], target, status, answer.get("status", answer))
            if status in (200, 201, 400, 422):
                break
            await asyncio.sleep(1.0)
        return status

    async def cancel(self, job: str, label: str | None = None, tries: int = 60) -> str:
        """Cancel a job until the cancellation is confirmed; returns the state told."""
        for attempt in range(tries):
            target = label or LABELS[attempt % len(LABELS)]
            status, answer = await request(self.addresses[target], "POST", f"/v1/jobs/{job}/withdraw", None, 5.0)
            self.note("cancel", job, target, status, answer.get("status", answer))
            if status == 200:
                return str(answer["status"])
            await asyncio.sleep(1.0)
        return ""

    async def poll(self, job: str, label: str) -> tuple[int, dict[str, Any]]:
        """Ask for a job's state once."""
        status, answer = await request(self.addresses[label], "GET", f"/v1/jobs/{job}", None, 2.0)
        self.note("poll", job, label, status, answer.get("status", answer), answer.get("done"), answer.get("running"))
        return status, answer


class CannotRunError(Exception):
    """The case could not be played."""


def main(play: Callable[[Path, bool], Awaitable[list[str]]], folder: Path) -> int:
    """Play a case; exit status 0: the rule held, 1: it was broken, 2: the case could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    signal.signal(signal.SIGTERM, signal.default_int_handler)  # so that a case that is ended ends its processes
    try:
        broken = asyncio.run(asyncio.wait_for(play(folder, trouble), 117.0))
    except (CannotRunError, TimeoutError, KeyboardInterrupt) as error:
        print(f"cannot run: {error!r}")
        return 2
    print("\n".join(broken) if broken else "held")
    return 1 if broken else 0
