"""The cloud is unavailable for some seconds; meanwhile the operator asks for the upkeep of machines
that have just been added."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
from bed import main, now  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DOWN_S, DEADLINE_S = 4.8, 20


async def case(bed):
    await bed.start([("depot", "r%d" % (number // 2)) for number in range(8)])
    bed.configure([("r-intake", "/intake/", "depot", 4)])
    if not await bed.ready_nodes():
        return False
    # A wave of machines that have long been there, as a check of the stand-ins.
    old = [executor.machine for executor in bed.executors[:2]]
    bed.ask_for_wave(1, old, DEADLINE_S, 1)
    until = now() + DEADLINE_S
    while bed.wave_state(1) != "complete" and now() < until:
        await asyncio.sleep(0.1)
    if any((1, machine) not in bed.upkeeps for machine in old):
        return False
    await asyncio.sleep(3)
    if TROUBLE:
        bed.note("the cloud answers 503")
        bed.cloud_down = True
    down_at = now()
    await asyncio.sleep(0.5)
    added = [await bed.add_executor("depot", "r9", "m-new-%d" % number) for number in range(2)]
    bed.note("executors %s join" % ", ".join(executor.name for executor in added))
    await asyncio.sleep(2)
    machines = [executor.machine for executor in added]
    bed.ask_for_wave(2, machines, DEADLINE_S, 1)
    asked_at, said = now(), None
    while now() < asked_at + DEADLINE_S + 15:
        await asyncio.sleep(0.05)
        if bed.cloud_down and now() >= down_at + DOWN_S:
            bed.note("the cloud answers again")
            bed.cloud_down = False
        if bed.wave_state(2) == "complete" and said is None:
            said = now()
            bed.note("status/wave/2 says complete")
            left = [machine for machine in machines if (2, machine) not in bed.upkeeps]
            if left:
                bed.break_rule("MIXED: wave 2 is said to be complete, and %s, which stay, haven't "
                               "begun their upkeep" % ", ".join(left))
        if said is not None and now() >= said + 12:
            break
    if not bed.cloud_down:
        for machine in machines:
            bed.note("%s %s" % (machine, "had its upkeep" if (2, machine) in bed.upkeeps
                                else "had no upkeep until the end"))
    return said is not None


main(case, os.path.join(HERE, "record.txt"), nodes=3, services=["depot"], subnet=(86, 8))
