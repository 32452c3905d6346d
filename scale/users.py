"""Users who submit jobs, ask about them and call some off, over real connections."""

from __future__ import annotations

import asyncio
import random
import time

import aiohttp
from hdrh.histogram import HdrHistogram

from .jobs import JobPlan

SUBMIT_S, ASK_S = 5.0, 2.0  # how long users wait for an answer
RETRY_S = 1.0
POLL_S = 5.0
HISTOGRAM = (1, 120_000_000, 3)  # microseconds


class Users:
    """All of them."""

    def __init__(self, plan: JobPlan, addresses: list[str], jobs_a_minute: float, cancelled_share: float) -> None:
        """``addresses``: of the controllers, any of which takes any request."""
        self.plan, self.addresses = plan, addresses
        self.jobs_a_minute, self.cancelled_share = jobs_a_minute, cancelled_share
        self.rng = random.Random(plan.seed)
        self.number = 0
        self.submitted: dict[str, float] = {}  # job -> first attempt
        self.accepted: dict[str, float] = {}
        self.cancelled: dict[str, float] = {}  # job -> when its user was told so
        self.ended: dict[str, str] = {}
        self.went_back: list[str] = []
        self.answers = HdrHistogram(*HISTOGRAM)  # of submissions, from the first attempt to the acceptance
        self.refused: dict[str, int] = {}
        self.tasks: set[asyncio.Task] = set()
        self.session: aiohttp.ClientSession | None = None

    async def run(self, at_start: int) -> None:
        """Some jobs at once, the others as they come; until cancelled."""
        self.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        try:
            for _ in range(at_start):
                self.begin()
            while True:
                if not self.jobs_a_minute:
                    await asyncio.Event().wait()
                await asyncio.sleep(self.rng.expovariate(self.jobs_a_minute / 60))
                self.begin()
        finally:
            for task in self.tasks:
                task.cancel()
            await self.session.close()

    def begin(self) -> None:
        """One more user with a job."""
        self.number += 1
        task = asyncio.create_task(self.user(self.plan.of(self.number)))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def ask(self, method: str, path: str, timeout_s: float, body: dict | None = None) -> tuple[int, dict]:
        """A request at any controller; (0, {}) where there was no answer."""
        url = f"http://{self.rng.choice(self.addresses)}{path}"
        try:
            timeout = aiohttp.ClientTimeout(total=timeout_s)
            async with self.session.request(method, url, json=body, timeout=timeout) as response:
                return response.status, await response.json(content_type=None) or {}
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return 0, {}

    async def user(self, job: dict) -> None:
        """Submit until it is taken, then watch it, or call it off."""
        name = job["id"]
        began = self.submitted[name] = time.monotonic()
        while True:
            status, _ = await self.ask("POST", "/v1/jobs", SUBMIT_S, job)
            if status in (200, 201):
                break
            self.refused[str(status)] = self.refused.get(str(status), 0) + 1
            await asyncio.sleep(RETRY_S)
        self.accepted[name] = time.monotonic()
        self.answers.record_value(int((self.accepted[name] - began) * 1e6))
        if self.rng.random() < self.cancelled_share:
            await asyncio.sleep(self.rng.uniform(0.0, 2 * self.plan.task_s))
            await self.withdraw(name)
        while name not in self.ended:
            await asyncio.sleep(POLL_S)
            await self.look(name)

    async def withdraw(self, name: str) -> None:
        """Call the job off, again and again until it is confirmed."""
        while True:
            status, answer = await self.ask("POST", f"/v1/jobs/{name}/withdraw", SUBMIT_S)
            if status == 200:
                self.ended[name] = answer["status"]
                if answer["status"] == "aborted":
                    self.cancelled[name] = time.monotonic()
                return
            await asyncio.sleep(RETRY_S)

    async def look(self, name: str) -> None:
        """Ask once."""
        status, answer = await self.ask("GET", f"/v1/jobs/{name}", ASK_S)
        if status == 404:
            self.went_back.append(f"forgotten: {name}")
        elif status == 200 and answer["status"] in ("done", "aborted"):
            self.ended[name] = answer["status"]
