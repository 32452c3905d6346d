"""The state service is down for 20 s, after three days of work: do the controllers come back?"""

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))
from standins import Platform, now, run_case

RECORDS = 115_000  # three days: 26.8 jobs a minute (BRIEF: 11, 12 and 3.8)
OUTAGE_S = 20.0


async def grow(platform, key, data, count):
    """Time lapse: the records of ended jobs, each a copy of one that the service wrote itself."""
    state = platform.state
    for number in range(count):
        if number % 5000 == 0:
            state.wake()
            await asyncio.sleep(0.25)
        state.revision += 1
        state.apply({"put": f"{key}{900000 + number}", "data": data})
    state.wake()
    await asyncio.sleep(2.0)


async def case(folder, trouble):
    """Play the case."""
    machines = [("standard-32", zone, False) for zone in ("nottingham", "coventry", "derby")]
    platform = Platform(folder, machines=machines)
    state = platform.state
    try:
        await platform.start()
        if not await platform.wait_healthy():
            return 2
        if not await platform.submit(platform.job("wk-000001", 1.0, parts=2)):
            return 2
        if not await platform.wait_for("wk-000001", "done", 25.0):
            return 2
        await asyncio.sleep(3.0)
        key = next(key for key in state.keys if key.endswith("wk-000001"))
        data = json.loads(state.rows[key][0])
        platform.note(f"record of an ended job: {key} {data}")
        await grow(platform, key[: -len("000001")], data, RECORDS)
        platform.note(f"state service has {len(state.keys)} keys")
        if not await platform.submit(platform.job("wk-000002", 12.0, parts=6)):
            return 2
        await asyncio.sleep(4.0)
        for name in ("first pages", "pages", "429"):
            state.counts[name] = 0
        platform.counts.clear()
        if trouble:
            state.down = True
            platform.note("state service down")
            await asyncio.sleep(OUTAGE_S)
            state.end_outage()
            platform.note("state service up again")
        up_at = now()
        body = platform.job("wk-000003", 1.0, parts=2)
        new_job = asyncio.create_task(platform.submit(body, 60.0))
        done = await platform.wait_for("wk-000002", "done", 60.0)
        accepted = await new_job
        last_200 = getattr(platform, "last_report_200", 0.0) - up_at
        platform.note(
            f"accepted job done={done}; new job accepted={accepted}; last report answered 200 at {last_200:+.1f} s "
            f"after the outage; reports {platform.counts}; since then pages={state.counts['pages']} "
            f"reads begun={state.counts['first pages']} refused with 429={state.counts['429']}"
        )
        return 0 if done and accepted else 1
    finally:
        await platform.stop()


run_case(case)
