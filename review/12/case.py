"""LOST: after a change of the settings that holds a fraction no instance starts any more, and accepted jobs get no answer."""
import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins-3"))
from yard import BOUNDS, play  # noqa: E402

JOB = "5c0e7a21d94b36f8"
STEP = {"count": 4, "cpu": 7500, "memMb": 22000, "gpu": 1, "estimatedMs": 2500}
STOP_TIMEOUT_MS = 187
RESTART_S = 0.3
GRACE_S = BOUNDS["graceS"]


async def restart_ended(yard, ends):
    """Starts each process again that has ended, after a short delay, with the settings in effect."""
    while True:
        await asyncio.sleep(0.02)
        for number, process in list(yard.nodes.items()):
            if process.poll() is not None:
                ends.append(number)
                yard.record(f"instance {number} has ended with {process.returncode}")
                await asyncio.sleep(RESTART_S)
                yard.start_node(number)


async def case(yard, trouble):
    await yard.open()
    for number in range(1, 5):
        await yard.add_runner(f"w{number}", f"m{number}", rack=f"r1-{number}")
    await yard.start_nodes()
    await yard.submit(1, "lots", JOB, {"ms": 2500}, [STEP])
    ends = []
    asyncio.ensure_future(restart_ended(yard, ends))
    await asyncio.sleep(2)
    yard.bounds = {**BOUNDS, "stopTimeoutMs": STOP_TIMEOUT_MS + 0.5 if trouble else STOP_TIMEOUT_MS}
    for number, process in yard.nodes.items():
        yard.write_settings(number)
        process.send_signal(signal.SIGHUP)
    yard.record(f"the settings change: stopTimeoutMs is {yard.bounds['stopTimeoutMs']}; all instances get SIGHUP")
    for number in list(yard.nodes):
        await asyncio.sleep(2)
        yard.record(f"instance {number} gets SIGTERM")
        yard.nodes[number].terminate()
        await asyncio.sleep(GRACE_S)
    asked, answered = 0, 0
    end = yard.record.now() + BOUNDS["finish_s"]
    while yard.record.now() < end:
        for number in range(1, yard.instances + 1):
            status, _ = await yard.request(number, "GET", f"/lots/{JOB}", quiet=True)
            asked, answered = asked + 1, answered + (status == 200)
        await asyncio.sleep(0.5)
    yard.record(f"{answered} of {asked} calls for the accepted job were answered; processes have ended {len(ends)} times")
    return answered == 0


play(HERE, case, instances=2)
