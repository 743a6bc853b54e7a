"""One of two gateways is killed, and its programs go on at the other one.

The other gateway has read the first turn of some of them from the log long ago, beside turns of other
programs that it looked for. It has forgotten that turn, and takes it for one that never was.
"""

import asyncio
import random

import fleet
import programs
import runners

RETENTION_S = 60.0
BUDGET = 2304
TURN_TOKENS = 72
# Programs that use one gateway, and when each asks for its turns, in seconds after its beginning.
STEADY_PROGRAMS = 150
STEADY_TURNS_AT_S = (0, 25, 50)
STEADY_BEGIN_WITHIN_S = 12
# Lines of turns that come in through the other zone from turn to turn.
CHANGING_LINES = 20
CHANGING_TURNS = 8
KILL_AT_S = 85.0
BACK_AFTER_S = 2.7
# When the steady programs ask for their last turn, after the kill.
LAST_TURN_S = (0.3, 2.7)


def event_text(number):
    return f"word {number} of the answer"


class Plan:
    """The time since the case began, and what became of the last turns."""

    def __init__(self):
        self.loop = asyncio.get_running_loop()
        self.begun = self.loop.time()
        self.results = {}

    def now(self):
        return self.loop.time() - self.begun

    async def until(self, at):
        await asyncio.sleep(max(at - self.now(), 0))

    def count(self, result):
        self.results[result] = self.results.get(result, 0) + 1


async def run_changing_line(own, plan):
    while plan.now() < KILL_AT_S - 3:
        program = programs.Program(own, "/lohu930/4b", BUDGET, TURN_TOKENS)
        previous = None
        for number in range(CHANGING_TURNS):
            gateway = own.gateways[number % len(own.gateways)]
            turn = await program.turn(gateway, f"input {number}\n", previous)
            if not turn.is_whole() or plan.now() > KILL_AT_S - 3:
                break
            previous = turn
            await asyncio.sleep(random.uniform(0.6, 1.2))


async def run_steady_program(own, plan, has_trouble):
    zone_a, zone_b = own.gateways
    program = programs.Program(own, "/lohu930/4b", BUDGET, TURN_TOKENS)
    begin = random.uniform(0, STEADY_BEGIN_WITHIN_S)
    previous = None
    for at in STEADY_TURNS_AT_S:
        await plan.until(begin + at)
        turn = await program.turn(zone_b, f"input at {at}\n", previous)
        if not turn.is_whole():
            plan.count("failed before the kill")
            return
        previous = turn
    await plan.until(KILL_AT_S + random.uniform(*LAST_TURN_S))
    turn = await program.turn(zone_a if has_trouble else zone_b, "last input\n", previous)
    age = turn.answer.sent_at - previous.answer.ended_at
    if turn.answer.status in (404, 410) and age < RETENTION_S:
        plan.count("lost")
        own.record(
            f"LOST: turn {turn.id} is answered {turn.answer.status}; its previous turn "
            f"{previous.id} was answered whole {age:.1f} s before"
        )
    else:
        plan.count("went on" if turn.is_whole() else "failed")


async def kill_and_restart(own, plan):
    gateway = own.gateways[1]
    await plan.until(KILL_AT_S)
    own.record(f"{gateway.name} is killed")
    gateway.process.kill()
    gateway.process.wait()
    await asyncio.sleep(BACK_AFTER_S)
    gateway.start()


async def case(own, has_trouble):
    model = [
        runners.ModelRunner(own.store, own.record, fleet.MODEL_SERVICE, zone, event_text, 0.005)
        for zone in own.zones
        for _ in range(2)
    ]
    await own.start([fleet.turn_route("r-chat", "/lohu930/")], model)
    plan = Plan()
    tasks = [run_changing_line(own, plan) for _ in range(CHANGING_LINES)]
    tasks += [run_steady_program(own, plan, has_trouble) for _ in range(STEADY_PROGRAMS)]
    if has_trouble:
        tasks.append(kill_and_restart(own, plan))
    await asyncio.gather(*tasks)
    own.record(f"programs of the gateway of zone b: {plan.results}")
    if plan.results.get("went on", 0) < STEADY_PROGRAMS / 2:
        raise RuntimeError(f"too few programs went on: {plan.results}")
    return "lost" not in plan.results


fleet.run_case(__file__, ["vestland-a", "vestland-b"], case)
