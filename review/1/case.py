"""A line of turns that goes through another zone for a while, and comes back.

Each turn follows the one before by far less than `retention_s`. The line starts at the gateway of
zone a; two turns come in through zone b; the last one comes in through zone a again, where the
gateway has forgotten the start of the line.
"""

import asyncio

import fleet
import programs
import runners

RETENTION_S = 60.0
PROGRAMS = 6
# When each turn is asked for, in seconds from the first one, and whether zone b gets it.
TURNS = [(0.0, False), (26.0, True), (52.0, True), (73.0, False)]


def event_text(number):
    return f"word {number} of the answer"


async def run_program(own, has_trouble, index):
    program = programs.Program(own, "/lohu930/4b", budget=2304, max_tokens=288)
    zone_a, zone_b = own.gateways
    loop = asyncio.get_running_loop()
    begun = loop.time() + 0.2 * index
    previous = None
    for number, (at, in_zone_b) in enumerate(TURNS):
        await asyncio.sleep(max(begun + at - loop.time(), 0))
        gateway = zone_b if in_zone_b and has_trouble else zone_a
        turn = await program.turn(gateway, f"input {number}\n", previous)
        if previous is not None and turn.answer.status in (404, 410):
            age = turn.answer.sent_at - previous.answer.ended_at
            own.record(
                f"LOST: turn {turn.id} is answered {turn.answer.status}; its previous turn "
                f"{previous.id} was answered whole {age:.1f} s before"
            )
            return age >= RETENTION_S
        if not turn.is_whole():
            raise RuntimeError(f"turn {turn.id} was not answered whole: {turn.answer.outcome()}")
        previous = turn
    return True


async def case(own, has_trouble):
    model = [
        runners.ModelRunner(own.store, own.record, fleet.MODEL_SERVICE, zone, event_text, 0.005)
        for zone in own.zones
    ]
    await own.start([fleet.turn_route("r-chat", "/lohu930/")], model)
    held = await asyncio.gather(
        *(run_program(own, has_trouble, index) for index in range(PROGRAMS))
    )
    own.record(f"lines that went on: {sum(held)} of {len(held)}")
    return all(held)


fleet.run_case(__file__, ["vestland-a", "vestland-b"], case)
