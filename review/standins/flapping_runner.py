"""A stand-in for a runner that leaves orders unanswered and carries them out late, and that crashes and starts again under its id.

Usage: flapping_runner.py SETTINGS, as for runner.py; the settings may also hold `late_share`.

SIGUSR1: from now on, for `late_for_s`, the share `late_share` of the orders gets no answer and is carried out 2 to 12 s later, by
whichever lifetime of the runner is there then. SIGUSR2: the runner crashes, and starts again `down_s` later.
"""

import asyncio
import json
import random
import signal
import sys
import time

from http1 import NO_ANSWER, serve
from runner import Runner

MIN_DELAY_S = 2.0
MAX_DELAY_S = 12.0
ORDERS = ("/run-start", "/run-stop")


class FlappingRunner:
    def __init__(self, settings):
        self.settings = settings
        self.life = None
        self.server = None
        self.tasks = []
        self.connections = set()
        self.late_until = 0.0

    async def begin(self):
        self.life = Runner(self.settings)
        self.life.record(f"begins, born {self.life.born}")
        host, port = self.settings["address"].rsplit(":", 1)
        self.server = await serve(host, int(port), self.handle, self.connections)
        self.tasks = [asyncio.create_task(self.life.work()), asyncio.create_task(self.life.check_in_repeatedly())]

    async def crash(self):
        life, self.life = self.life, None
        if life is None:
            return
        life.record(f"crashes; ends with it: {' '.join(sorted(life.running)) or 'nothing'}")
        for task in self.tasks:
            task.cancel()
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()
        await asyncio.sleep(self.settings["down_s"])
        await self.begin()

    def be_late(self):
        self.late_until = time.monotonic() + self.settings["late_for_s"]
        self.life.record("from now on, leaves orders unanswered and carries them out late")

    async def carry_out_late(self, call):
        await asyncio.sleep(random.uniform(MIN_DELAY_S, MAX_DELAY_S))
        if self.life is None:
            return
        message = json.loads(call[3])
        status, _ = await self.life.handle(*call)
        self.life.record(f"late {call[1]} {message['task']} run {message['run']}: status {status}")

    async def handle(self, method, path, headers, body):
        if self.life is None:
            return NO_ANSWER
        is_late = path in ORDERS and time.monotonic() < self.late_until
        if is_late and random.random() < self.settings["late_share"]:
            asyncio.create_task(self.carry_out_late((method, path, headers, body)))
            return NO_ANSWER
        return await self.life.handle(method, path, headers, body)


async def main():
    with open(sys.argv[1], encoding="utf-8") as file:
        runner = FlappingRunner(json.load(file))
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGUSR1, runner.be_late)
    loop.add_signal_handler(signal.SIGUSR2, lambda: asyncio.ensure_future(runner.crash()))
    await runner.begin()
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
