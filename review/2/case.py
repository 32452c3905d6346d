"""A controller that was down reads the store in pages while a pipeline's last job goes on; that job stops for ever."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "common"))
from deployment import LABELS, CannotRunError, Deployment, main, now

LAST = "wk-000001"  # the last job of the pipeline: needs all of NEEDED
NEEDED = [f"wk-{number:06d}" for number in range(101, 421)]
OTHERS = [f"wk-{number:06d}" for number in range(1001, 1186)]
TASKS = 8  # of the last job; one of them fills a machine
LIMIT_S = 48.0  # after the controller is back: the tasks that are left need less than 30 s, one after the other


class Case:
    """The run, and the few things that its stand-ins share."""

    def __init__(self, folder: Path, trouble: bool) -> None:
        """``trouble``: whether a controller is down for a while."""
        # The cloud has no machines to give besides those that are up.
        self.deployment = Deployment(folder, "mfrs-routing", 0)
        self.trouble = trouble
        self.released: set[str] = set()  # tasks that may end
        self.first_page_at = 0.0
        self.back = False
        self.deployment.fleet.run_s = self.run_s

    def run_s(self, part: str) -> float:
        """Run time of a task; the two that are waited for end when they are released."""
        if part in (f"{NEEDED[-1]}/0", f"{LAST}/0"):
            return 1e6
        return 3.0 if part.startswith(LAST) else 1.0

    def release(self, part: str) -> None:
        """Let a task end now."""
        self.released.add(part)
        for worker in self.deployment.workers.values():
            if part in worker.tasks:
                worker.tasks[part].until = 0.0

    def lists_are_stored(self) -> bool:
        """Whether the store holds the list of the jobs that the last one needs."""
        return any(LAST in key and not key.endswith(LAST) for key in self.deployment.state.data)

    async def before(self, label: str, method: str, path: str, body: Any) -> None:
        """The state service takes a few hundred milliseconds for the second page of the restarted controller."""
        if not self.back or label != LABELS[0] or path != "/kv":
            return
        if "from" not in body:
            self.first_page_at = self.first_page_at or now()
            asyncio.get_running_loop().call_soon(self.release, f"{LAST}/0")
            return
        asked_at = now()
        while self.lists_are_stored() and now() - asked_at < 0.4:
            await asyncio.sleep(0.005)
        self.deployment.note("second page answered after", round(now() - asked_at, 3), "s")

    async def submit_all(self, jobs: list[dict[str, Any]], labels: list[str]) -> None:
        """Submit jobs through these controllers, some at a time."""
        waiting = list(enumerate(jobs))

        async def user() -> None:
            while waiting:
                number, job = waiting.pop(0)
                if await self.deployment.submit(job, labels[number % len(labels)]) not in (200, 201):
                    raise CannotRunError("a job was not accepted")

        await asyncio.gather(*(user() for _ in range(12)))

    async def wait_for(self, condition: Any, seconds: float, what: str) -> None:
        """Wait until something holds."""
        end = now() + seconds
        while not condition():
            if now() > end:
                raise CannotRunError(what)
            await asyncio.sleep(0.02)

    def ended(self, part: str) -> bool:
        """Whether the task has ended with its result."""
        return part in self.deployment.fleet.results

    def is_running(self, part: str) -> bool:
        """Whether the task is running."""
        return any(
            part in worker.tasks and worker.tasks[part].status == "running"
            for worker in self.deployment.workers.values()
        )

    def job(self, name: str, team: str, site: str) -> dict[str, Any]:
        """A job of one task in this zone."""
        return self.deployment.job(int(name[3:]), team, 1, 1.0, 1.0, site=site, expected_s=1.0)

    async def prepare(self) -> None:
        """Submit the pipeline and other jobs, and let all that the last job needs but one be done."""
        deployment = self.deployment
        needed = [self.job(name, "waste-fleet", "nottingham") for name in NEEDED]
        await self.submit_all(needed, LABELS[1:])
        last = deployment.job(1, "network-data", TASKS, 20.0, 60.0, site="derby", waits_on=NEEDED, expected_s=3.0)
        if await deployment.submit(last, LABELS[0]) not in (200, 201):
            raise CannotRunError("the last job was not accepted")
        if self.trouble:
            deployment.kill(LABELS[0])
        for _ in range(4):
            deployment.cloud.add("standard-32", "nottingham")
        deployment.cloud.add("standard-32", "derby")
        await self.submit_all([self.job(name, "parcel-fleet", "coventry") for name in OTHERS], LABELS[1:])
        await self.wait_for(
            lambda: all(self.ended(f"{name}/0") for name in NEEDED[:-1]) and self.is_running(f"{NEEDED[-1]}/0"),
            40.0,
            "the jobs before the last one did not end in time",
        )

    async def play(self) -> list[str]:
        """Play the case; returns what broke the rule."""
        deployment = self.deployment
        deployment.state.before = self.before
        await deployment.start()
        await self.prepare()
        self.release(f"{NEEDED[-1]}/0")
        await self.wait_for(lambda: self.is_running(f"{LAST}/0"), 20.0, "the last job did not start")
        await asyncio.sleep(1.0)
        if self.trouble:
            self.back = True
            deployment.start_controller(LABELS[0])
            await self.wait_for(lambda: self.ended(f"{LAST}/0"), 10.0, "the store was not read in pages")
        else:
            self.release(f"{LAST}/0")
        calm_at = now()
        while now() < calm_at + LIMIT_S:
            _, answer = await deployment.poll(LAST, LABELS[int(now()) % 3])
            if answer.get("status") == "done":
                return []
            await asyncio.sleep(2.0)
        left = [index for index in range(TASKS) if not self.ended(f"{LAST}/{index}")]
        last_start = max(event.at for event in deployment.fleet.events if event.part.startswith(LAST))
        return [
            f"accepted work stands still: tasks {left} of {LAST} have not run, nothing of it has begun or ended for "
            f"{now() - last_start:.0f} s, though all that it needs is done and the machine that it needs is idle"
        ]


async def play(folder: Path, trouble: bool) -> list[str]:
    """Play the case and end all processes."""
    case = Case(folder, trouble)
    try:
        return await case.play()
    finally:
        case.deployment.stop()


if __name__ == "__main__":
    sys.exit(main(play, Path(__file__).resolve().parent))
