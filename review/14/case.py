"""LOST: jobs whose server is lost for good have nothing running for seconds after the end of the traffic, since two takeovers wait anew."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins-3"))
from yard import BOUNDS, play  # noqa: E402

JOBS = [f"a{number:015x}" for number in range(4)]
STEP = {"count": 1, "cpu": 7500, "memMb": 22000, "gpu": 1, "estimatedMs": 30000}
# The server is lost this long after the end of the traffic, and the holder is killed then and once more.
LOST_AFTER_S = 4
KILLS = 2
RESTART_S = 0.3
NOT_RUNNING_S = 3
WATCHED_S = 8


async def kill_holder(yard):
    """Kills the process that schedules, starts it again after a short delay and waits for the next holder."""
    holder, term = yard.holder(), yard.store.items["scheduler"]["revision"]
    yard.nodes[holder].kill()
    yard.nodes[holder].wait()
    yard.record(f"instance {holder}, which schedules, is killed")
    await asyncio.sleep(RESTART_S)
    yard.start_node(holder)
    await yard.until(lambda: yard.holder() and yard.store.items["scheduler"]["revision"] != term, 8, "another term")
    yard.record(f"instance {yard.holder()} schedules")


async def case(yard, trouble):
    await yard.open()
    for number in range(1, 9):
        await yard.add_runner(f"w{number}", f"m{number}", rack=f"r1-{number}")
    await yard.start_nodes()
    await asyncio.sleep(3)
    for number, job in enumerate(JOBS):
        await yard.submit(1 + number % yard.instances, "lots", job, {"ms": 30000}, [STEP])
    await yard.until(lambda: len(yard.running()) == len(JOBS), 10, "all work units run")
    end_of_traffic = yard.record.now()
    yard.record("the end of the traffic")
    await asyncio.sleep(LOST_AFTER_S)
    if trouble:
        await yard.running()[f"{JOBS[0]}.0.0.0"][0].crash(dark=True)
        for _ in range(KILLS):
            await kill_holder(yard)
            await asyncio.sleep(RESTART_S)
        yard.record("no more disturbance from here on")
    await asyncio.sleep(end_of_traffic + BOUNDS["finish_s"] - yard.record.now())
    since, longest = {}, {}
    while yard.record.now() < end_of_traffic + BOUNDS["finish_s"] + WATCHED_S:
        now = yard.record.now()
        for job in JOBS:
            if yard.running(job):
                since.pop(job, None)
            else:
                longest[job] = max(longest.get(job, 0), now - since.setdefault(job, now))
        await asyncio.sleep(0.01)
    for job, seconds in longest.items():
        state = await yard.state(1, "lots", job)
        yard.record(f"{job}, shown as {state}, had nothing running for {seconds:.3f} s on end from {BOUNDS['finish_s']} s after the end of the traffic")
    return any(seconds >= NOT_RUNNING_S for seconds in longest.values())


play(HERE, case, instances=3)
