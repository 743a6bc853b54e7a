"""A request that crashes each runner that runs it, where the runners start again under the ids that they had."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins-2"))

import deployment as parts  # noqa: E402

RUNNERS = 2
SENDS = 10
SEND_EVERY_S = 5.0
AWAY_S = 3.0
BEAT_S = 1.2
STABLE_WINDOW_S = 4.0
CRASHES_BEFORE = 3
# The rule allows this many retries later than the stable window after the third crash.
MOST_RETRIES = 3
PATH, BODY = "/unsafe/order", b"a request that no runner survives"


class Runner(parts.Runner):
    """A runner of which the store drops the entry after three reports are missing."""

    async def beat(self):
        self.last_beat = time.monotonic()
        await super().beat()

    async def expire(self):
        await asyncio.sleep(max(0.0, self.last_beat + 3 * BEAT_S - time.monotonic()))
        if not any(runner.name == self.name for runner in self.deployment.runners):
            self.deployment.record(f"the store drops the entry of {self.name}")
            await self.deployment.store.put("keyed.servers", self.name, b"")


def let_crash(deployment, runner, crashes):
    """Lets `runner` crash when it begins to run the request; it starts again after a while, with the same id."""

    async def answer(line, fields, body, writer):
        if body != BODY:
            return await runner.sound_answer(line, fields, body, writer)
        runner.note_run(line, fields, body)
        crashes.append((time.monotonic(), fields["request-id"]))
        deployment.record(f"runner {runner.name}, start {runner.born}, crashes")
        deployment.runners.remove(runner)
        runner.stop()
        loop = asyncio.get_running_loop()
        loop.create_task(runner.expire())
        loop.create_task(start_again(deployment, runner, crashes))
        return False

    runner.answer = answer


async def start_again(deployment, crashed, crashes):
    await asyncio.sleep(AWAY_S)
    runner = Runner(deployment, crashed.service, crashed.name, slots=crashed.slots)
    let_crash(deployment, runner, crashes)
    deployment.runners.append(runner)
    await runner.start()
    deployment.record(f"runner {runner.name} starts again, start {runner.born}")


def headers():
    return {"Request-Id": parts.new_id(), "Deadline-Ms": "3000"}


async def send_ordinary(gateway, stop, served):
    """One ordinary client at each gateway."""
    client = gateway.client()
    while not stop.is_set():
        answer = await client.request("POST", "/unsafe/order", headers(), b"order", name="ordinary client")
        served[answer.status == 200] += 1
        await asyncio.sleep(0.25)
    client.close()


async def case(deployment, record):
    parts.Runner = Runner
    await deployment.start(gateways=2, engines=1, plain=RUNNERS)
    crashes = []
    if parts.is_troubled():
        for runner in deployment.ledgers():
            let_crash(deployment, runner, crashes)
    stop, served = asyncio.Event(), [0, 0]
    others = [asyncio.create_task(send_ordinary(gateway, stop, served)) for gateway in deployment.gateways]
    for number in range(SENDS):
        gateway = deployment.gateways[number % 2]
        await gateway.client().request("POST", PATH, headers(), BODY)
        await asyncio.sleep(SEND_EVERY_S)
    stop.set()
    await asyncio.gather(*others)
    record(f"ordinary requests: {served[True]} served, {served[False]} not")

    late = []
    if len(crashes) >= CRASHES_BEFORE:
        bound = crashes[CRASHES_BEFORE - 1][0] + STABLE_WINDOW_S
        late = {request for at, request in crashes if at > bound}
    record(f"crashes: {len(crashes)}; retries that reached a runner later than {STABLE_WINDOW_S} s after the third: {len(late)}")
    if len(late) > MOST_RETRIES:
        return f"BUDGET: {len(late)} retries reach a runner later than {STABLE_WINDOW_S} s after the third crash"
    return ""


parts.run_case(FOLDER, case)
