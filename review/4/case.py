"""A configuration moves the route of running turns to another service.

The service that the route had is in the new configuration no more. The gateway looks up the tokens
of an event when a turn ends, doesn't find the turn's service, and counts one token for each event.
"""

import asyncio
import json

import fleet
import programs
import runners

BUDGET = 2304
TURN_TOKENS = 288
# A turn takes about 3 s.
EVENT_PAUSE_S = 0.08
HELPERS = 4
LAST_LINE_TURNS = 9
PROGRAMS = 4
CHANGE_AFTER_S = 1.0
NEXT_SERVICE = "dele69c"


def event_text(number):
    return f"word {number} of the answer"


def next_configuration():
    route = fleet.turn_route("r-chat", "/lohu930/")
    route["service"] = NEXT_SERVICE
    services = [
        dict(service, name=NEXT_SERVICE) if service["name"] == fleet.MODEL_SERVICE else service
        for service in fleet.SERVICES
    ]
    return {"version": 9, "routes": [route], "services": services, "limits": fleet.LIMITS}


async def run_program(own, helpers_run):
    program = programs.Program(own, "/lohu930/4b", BUDGET, TURN_TOKENS)
    gateway = own.gateways[0]
    first = await program.turn(gateway, "first input\n")
    if not first.is_whole():
        raise RuntimeError(f"turn {first.id} was not answered whole: {first.answer.outcome()}")
    helpers_run.set()
    helpers = [programs.Program(own, program.path, BUDGET, TURN_TOKENS) for _ in range(HELPERS)]
    for helper in helpers:
        # The same program; each helper has a channel of its own.
        helper.id = program.id
    turns = await asyncio.gather(
        *(
            helper.turn(gateway, f"helper {number}\n", first, session=f"h{number}")
            for number, helper in enumerate(helpers)
        )
    )
    if not all(turn.is_whole() for turn in turns):
        raise RuntimeError("a helper's turn was not answered whole")
    await asyncio.sleep(1.5)
    previous = first
    for number in range(LAST_LINE_TURNS):
        turn = await program.turn(gateway, f"input {number}\n", previous)
        if not turn.is_whole():
            break
        previous = turn
        await asyncio.sleep(0.6)
    handed = list(program.turns.values()) + turns
    tokens = sum(turn.event_count() for turn in handed) * runners.EVENT_STRIDE
    held = tokens <= BUDGET + TURN_TOKENS
    own.record(
        f"{'' if held else 'BUDGET: '}program {program.id} got {tokens} tokens; its budget is "
        f"{BUDGET}, the most of one turn is {TURN_TOKENS}"
    )
    return held


async def case(own, has_trouble):
    zone = next(iter(own.zones))
    model = [
        runners.ModelRunner(own.store, own.record, service, zone, event_text, EVENT_PAUSE_S)
        for service in (fleet.MODEL_SERVICE, NEXT_SERVICE)
        for _ in range(2)
    ]
    await own.start([fleet.turn_route("r-chat", "/lohu930/")], model)
    helpers_run = asyncio.Event()
    tasks = [asyncio.ensure_future(run_program(own, helpers_run)) for _ in range(PROGRAMS)]
    await helpers_run.wait()
    await asyncio.sleep(CHANGE_AFTER_S)
    if has_trouble:
        await own.store.put("keyed.op", "config", json.dumps(next_configuration()).encode())
        own.record(f"configuration 9: the route moves to {NEXT_SERVICE}")
    held = await asyncio.gather(*tasks)
    own.record(f"programs within their budget: {sum(held)} of {len(held)}")
    return all(held)


fleet.run_case(__file__, ["vestland-a"], case)
