"""A program whose turns come in through another zone for a while, and then again through the first.

The gateway of zone a grants four turns, and forgets the program while zone b serves it. When the
program starts another line of turns through zone a, the gateway grants it again what it had granted
before.
"""

import asyncio

import fleet
import programs
import runners

BUDGET = 2304
TURN_TOKENS = 288
PROGRAMS = 6
# When a turn is asked for, in seconds, and whether it comes in through zone b.
FIRST_LINE = [(0.0, False), (1.0, False), (2.0, False), (3.0, False)]
FIRST_LINE += [(10.0, True), (32.0, True), (54.0, True)]
SECOND_LINE_AT = 78.0
SECOND_LINE_TURNS = 6


def event_text(number):
    return f"word {number} of the answer"


async def run_program(own, has_trouble, index):
    program = programs.Program(own, "/lohu930/4b", BUDGET, TURN_TOKENS)
    zone_a, zone_b = own.gateways
    loop = asyncio.get_running_loop()
    begun = loop.time() + 0.2 * index
    previous = None
    for number, (at, in_zone_b) in enumerate(FIRST_LINE):
        await asyncio.sleep(max(begun + at - loop.time(), 0))
        gateway = zone_b if in_zone_b and has_trouble else zone_a
        turn = await program.turn(gateway, f"input {number}\n", previous)
        if not turn.is_whole():
            raise RuntimeError(f"turn {turn.id} was not answered whole: {turn.answer.outcome()}")
        previous = turn
    await asyncio.sleep(max(begun + SECOND_LINE_AT - loop.time(), 0))
    previous = None
    for number in range(SECOND_LINE_TURNS):
        turn = await program.turn(zone_a, f"second line {number}\n", previous, session="s2")
        if not turn.is_whole():
            break
        previous = turn
        await asyncio.sleep(0.6)
    tokens = sum(turn.event_count() for turn in program.turns.values()) * runners.EVENT_STRIDE
    held = tokens <= BUDGET + TURN_TOKENS
    own.record(
        f"{'' if held else 'BUDGET: '}program {program.id} got {tokens} tokens; its budget is "
        f"{BUDGET}, the most of one turn is {TURN_TOKENS}"
    )
    return held


async def case(own, has_trouble):
    model = [
        runners.ModelRunner(own.store, own.record, fleet.MODEL_SERVICE, zone, event_text, 0.005)
        for zone in own.zones
    ]
    await own.start([fleet.turn_route("r-chat", "/lohu930/")], model)
    held = await asyncio.gather(
        *(run_program(own, has_trouble, index) for index in range(PROGRAMS))
    )
    own.record(f"programs within their budget: {sum(held)} of {len(held)}")
    return all(held)


fleet.run_case(__file__, ["vestland-a", "vestland-b"], case)
