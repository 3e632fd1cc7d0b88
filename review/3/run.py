"""All control VMs are killed and back within a second. An engine that none of
them has heard since says that it is gone; it is acknowledged and goes on
getting requests."""
import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from reviewsite import TROUBLE, config, plain_answer, play, route  # noqa: E402

DESK = "movement-desk"
SENT = 60  # requests a second
DRAIN_S = 2.0  # drain_ms
DOWN_S = 0.8  # of the control VMs: "back within a second"
CUT_S = 4.6  # the engine doesn't reach them, from just before the kill
SERVES_S = 2.6  # after its DELETE is acknowledged: drain_ms and a little
WORK_S = 0.1


async def work(engine, head, body, writer):
    await asyncio.sleep(WORK_S)
    return await plain_answer(engine, head, body, writer)


async def traffic(site, stop):
    n = 0
    asked = []
    while not stop.is_set():
        n += 1
        asked.append(asyncio.create_task(
            site.ask(1 + n % 2, "POST", "/lodge/%d" % n, body=b"x" * 100)))
        await asyncio.sleep(1 / SENT)
    return await asyncio.gather(*asked)


async def leave(site, engine):
    """DELETE first, as some engines do; until it is acknowledged."""
    n = 0
    while True:
        for control in site.rotated(n):
            status = await site.call(control, "DELETE",
                                     "/filberthall/instances/" + engine.id)
            if status and 200 <= status < 300:
                site.record("DELETE of engine %s is acknowledged by %s" % (
                    engine.id, control[0]))
                return time.monotonic()
        n += 1


async def scene(site):
    await site.open(config(7, [
        route("r-lodge", "/lodge/", "non_idempotent", DESK, max_attempts=1),
    ], [DESK]))
    for n in range(1, 6):
        await site.engine("desk-%d" % n, DESK, site.engine_address(n),
                          handler=work)
    for engine in site.engines:
        await asyncio.wait_for(engine.checked_in.wait(), 20)
    await site.all_ready()
    await asyncio.sleep(1)
    stop = asyncio.Event()
    sent = asyncio.create_task(traffic(site, stop))
    await asyncio.sleep(3)
    leaver = site.engines[4]
    if TROUBLE:
        for task in leaver.tasks:
            task.cancel()
        site.record("engine %s is cut off from the control VMs" % leaver.id)
        await asyncio.sleep(0.1)
        killed = time.monotonic()
        for n in range(1, 6):
            site.signal("control-%d" % n, signal.SIGKILL)
        await asyncio.sleep(DOWN_S)
        for n in range(1, 6):
            site.processes["control-%d" % n].wait()
            site.start_process("control", n)
        await asyncio.sleep(killed + CUT_S - time.monotonic())
        site.record("engine %s reaches the control VMs again" % leaver.id)
    else:
        await asyncio.sleep(CUT_S)
        for task in leaver.tasks:
            task.cancel()
    acknowledged = await leave(site, leaver)
    at = len(leaver.ran)
    late = []
    while time.monotonic() < acknowledged + SERVES_S:
        await asyncio.sleep(0.01)
        now = time.monotonic()
        new = leaver.ran[at:]
        at = len(leaver.ran)
        late += [(now - acknowledged, run) for run in new]
    running = {run[0] for run in leaver.ran[-leaver.running:]
               if leaver.running}
    leaver.crash()
    site.record("that was the end of engine %s, %d requests ran" % (
        leaver.id, len(running)))
    await asyncio.sleep(1)
    stop.set()
    answers = await sent
    lost = [a for a in answers if a.request in running and a.status != 200]
    site.record("%d requests ended with it and got %s" % (
        len(lost), sorted({a.status for a in lost}, key=str)))
    site.record("%d requests, %d served" % (
        len(answers), sum(a.whole and a.status == 200 for a in answers)))
    broken = [(after, run) for after, run in late if after > DRAIN_S + 0.02]
    for after, run in late:
        site.record("%s reached %s %.2f s after the acknowledgement" % (
            run[0], leaver.id, after))
    if broken:
        return ("DRAIN: %d requests reached %s later than %.1f s after its "
                "leaving was acknowledged, the last %.2f s after" % (
                    len(broken), leaver.id, DRAIN_S, broken[-1][0]))
    return None


play(__file__, scene)
