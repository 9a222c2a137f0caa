"""AVAIL: after a hand-over the new holder uses servers that its predecessor has emptied for upkeep, and upkeep then ends what runs there."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins-3"))
from yard import BOUNDS, play  # noqa: E402

SHORT = "5c0e7a21d94b36f8"
LASTING = "7d1f8b32ea5c4709"
SHORT_STEP = {"count": 2, "cpu": 7500, "memMb": 22000, "gpu": 1, "estimatedMs": 2500, "requirements": "b", "antiAffinity": 1}
MAY_MISS = 1
STEP = {"count": 3, "cpu": 4000, "memMb": 1024, "gpu": 1, "estimatedMs": 1000, "longRunning": True, "mayMiss": MAY_MISS, "antiAffinity": 1,
        "requirements": "b"}
# The machine service answers 503 for this long.
DOWN_S = 5
NOTICE_S = BOUNDS["noticeMs"] / 1000


def is_at_work(yard, unit):
    found = yard.running(LASTING).get(f"{LASTING}.0.0.{unit}")
    return bool(found) and found[0].percent(found[1]) == 100


def run_of(yard, unit):
    found = yard.running(LASTING).get(f"{LASTING}.0.0.{unit}")
    return found[1]["run"] if found else None


async def service_is_down(path, message):
    return 503, {}


async def case(yard, trouble):
    await yard.open()
    for number in range(1, 6):
        await yard.add_runner(f"w{number}", f"m{number}", rack=f"r1-{number}")
    for number in range(6, 9):
        await yard.add_runner(f"w{number}", f"m{number}", rack=f"r1-{number}", kind="b")
    await yard.start_nodes()
    await yard.until(yard.holder, 10, "an instance schedules")
    await asyncio.sleep(2)
    await yard.submit(1, "work", SHORT, {"ms": 2500}, [SHORT_STEP])
    await yard.until(lambda: len(yard.running(SHORT)) == 2, 10, "two servers work")
    machines = sorted(runner.machine for runner, _ in yard.running(SHORT).values())
    yard.store.put("op/wave/1", {"wave": 1, "machines": machines, "durationS": 60, "cap": 2})
    yard.record(f"operator asks for the upkeep of {machines}")
    await asyncio.sleep(1.5)
    down_until = yard.record.now() + DOWN_S
    if trouble:
        yard.machines.hook = service_is_down
        yard.record("the machine service answers 503 from now on")
    await yard.until(lambda: not yard.running(SHORT), 5, "the short job ends")
    await asyncio.sleep(0.6)
    holder = yard.holder()
    yard.nodes[holder].terminate()
    yard.record(f"instance {holder} gets SIGTERM")
    await yard.until(lambda: yard.holder() not in (None, holder), 5, "another instance schedules")
    await yard.submit(yard.holder(), "work", LASTING, {"long": True}, [STEP])
    while yard.record.now() < down_until:
        await asyncio.sleep(0.01)
    yard.machines.hook = None
    yard.record(f"the machine service answers; running: {sorted(yard.running(LASTING))}")
    ended, broken, last_at_work = {}, False, {}
    end = yard.record.now() + 10
    while yard.record.now() < end and not broken:
        for unit in range(STEP["count"]):
            if is_at_work(yard, unit):
                last_at_work[unit] = yard.record.now()
                if ended.get(unit) != run_of(yard, unit):
                    ended.pop(unit, None)
        for event in [event for event in yard.events if event[1] == "stop-order" and event[3].startswith(LASTING)]:
            yard.events.remove(event)
            at, unit = event[0], int(event[3].rsplit(".", 1)[1])
            others = [other for other in range(STEP["count"]) if other != unit]
            away = [other for other in others if other in ended or at - last_at_work.get(other, at) >= NOTICE_S]
            yard.record(f"{event[3]} is ended by the system on {event[2]}; away: units {away}, `mayMiss` {MAY_MISS}")
            ended[unit] = event[4]
            broken = broken or len(away) >= MAY_MISS
        await asyncio.sleep(0.01)
    yard.record(f"status of the wave: {yard.store.read('status/wave/1')}")
    return broken


play(HERE, case, instances=2)
