"""After open channels to the store have gone silent, a gateway acts on an old list of runners for many seconds."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins-2"))

import deployment as parts  # noqa: E402

PROGRAMS = 3
SUB_AGENTS = 10
STABLE_WINDOW_S = 4.0
DRAIN_S = 3.0
# How long the runner serves after its report: drain_ms and a little longer.
LEAVES_AFTER_S = DRAIN_S + 3.0
WORK_S = 0.1


def turn_headers(program, previous=None):
    headers = {
        "Request-Id": parts.new_id(), "Program-Id": program, "Session-Id": parts.new_id(),
        "Program-Deadline-Ms": "20000", "Token-Budget": "4608", "Token-Usage": "100,32", "Deadline-Ms": "4000",
    }
    if previous is not None:
        headers["Previous-Turn"] = previous
    return headers


async def run_programs(gateway):
    """Runs programs that start their sub-agents at once, like those of the sheets."""
    programs = [parts.new_id() for _ in range(PROGRAMS)]
    first = [turn_headers(program) for program in programs]
    await asyncio.gather(
        *(gateway.client().request("POST", "/turn/a", headers, b"first input") for headers in first)
    )
    rest = [
        turn_headers(program, headers["Request-Id"])
        for program, headers in zip(programs, first)
        for _ in range(SUB_AGENTS)
    ]
    answers = await asyncio.gather(
        *(gateway.client().request("POST", "/turn/a", headers, b"input") for headers in rest)
    )
    if any(answer.status != 200 for answer in answers):
        raise RuntimeError("the turns before the disruption were not served")


async def case(deployment, record):
    store = deployment.store
    store.answer_s = 0.004
    await deployment.start(gateways=2, engines=3, plain=3)
    for runner in deployment.ledgers():
        runner.pause_s = WORK_S
    gateway = deployment.gateways[0]
    await run_programs(gateway)
    await asyncio.sleep(1.0)

    record(f"{len(store.channels[gateway.name])} channels of {gateway.name} to the store are open")
    if parts.is_troubled():
        store.silence()
    await asyncio.sleep(STABLE_WINDOW_S + 0.5)

    leaving = deployment.ledgers()[0]
    leaving.state = "draining"
    await leaving.beat()
    acked = time.monotonic()
    record(f"the store has accepted that {leaving.name} is draining")

    lost = []

    async def call():
        client = gateway.client()
        while time.monotonic() < acked + LEAVES_AFTER_S + 1.0:
            request = parts.new_id()
            headers = {"Request-Id": request, "Deadline-Ms": "3000"}
            answer = await client.request("POST", "/unsafe/booking", headers, b"stall 12")
            if answer.status != 200:
                lost.append(request)
            await asyncio.sleep(0.02)

    async def leave():
        await asyncio.sleep(max(0.0, acked + LEAVES_AFTER_S - time.monotonic()))
        record(f"{leaving.name} leaves")
        leaving.stop()

    await asyncio.gather(leave(), *(call() for _ in range(4)))

    late = [(at - acked, request) for at, request, *_ in leaving.runs if at > acked + DRAIN_S]
    ran = {request for _, request, *_ in leaving.runs}
    lost = [request for request in lost if request in ran]
    record(f"requests at {leaving.name} later than {DRAIN_S} s after the ack: {len(late)}")
    record(f"unsafe requests that {leaving.name} had begun and whose clients got no answer of it: {len(lost)}")
    if late:
        at, request = late[-1]
        return (
            f"DRAIN: {len(late)} requests reached {leaving.name} later than drain_ms after the ack, the last one, "
            f"{request}, {at:.2f} s after it; {len(lost)} of its requests were lost when it left"
        )
    return ""


parts.run_case(FOLDER, case)
