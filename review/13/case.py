"""Case 13: a deregistration is forgotten when all processes are killed; a late check-in lists the engine again."""

import asyncio
import json
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from lab3 import CONTROL, TROUBLE, Engine, document, exchange, request, route, run

DRAIN_S = 2.0
CONTACT_S = 3.0
DOWN_S = 0.5
LATE_S = 3.5
LINGER_S = 12.0


async def case(lab):
    controls = [lab.ip(1), lab.ip(2), lab.ip(3)]
    entries = [lab.ip(21), lab.ip(22)]
    for ip in controls:
        lab.start_daemon(ip, True, controls, True)
    for ip in entries:
        lab.start_daemon(ip, False, controls, True)
    engines = [Engine(lab, f"i-{number}", lab.ip(41 + number), "desk") for number in range(3)]
    for engine in engines:
        await engine.start()
    await lab.put(document(7, [route("r", "/book/", "desk")], ["desk"], {"t": ["key"]}))
    for ip in entries:
        await lab.until(f"entry daemon {ip} is ready", lambda: lab.is_ready(ip))
    await asyncio.sleep(4.0)
    number = 0

    async def traffic():
        nonlocal number
        while True:
            for ip in entries:
                number += 1
                asyncio.ensure_future(request(ip, f"book-{number}", "/book/x", "key"))
            await asyncio.sleep(0.05)

    background = asyncio.ensure_future(traffic())
    await asyncio.sleep(1.0)
    leaving = engines[0]
    leaving.beating.cancel()
    # The last check-in is sent before, and arrives late.
    leaving.sequence += 1
    check_in, sent = json.dumps(leaving.check_in()).encode(), time.monotonic()
    await asyncio.sleep(0.2)
    control = await leaving.call_registry("Deregister")
    acked = time.monotonic()
    lab.say(f"{leaving.id} deregisters; acknowledged by {control}")
    await asyncio.sleep(0.5)
    if TROUBLE:
        for ip in controls + entries:
            lab.kill(ip)
        lab.say("platform: all processes are killed")
        for ip in controls + entries:
            lab.write_settings(ip, ip in controls, controls, False)
    await asyncio.sleep(DOWN_S)
    back = time.monotonic()
    if TROUBLE:
        for ip in controls + entries:
            lab.launch(ip)
        lab.say("platform: all processes are started, with their disks")
    await asyncio.sleep(sent + LATE_S - time.monotonic())
    answer = await exchange(controls[0], CONTROL, "POST", f"/Instances.Heartbeat/{leaving.id}",
                            {"Content-Type": "application/json"}, check_in, 1.0)
    lab.say(f"{leaving.id}: a check-in from before the deregistration arrives {LATE_S} s late: {answer}")
    await asyncio.sleep(acked + LINGER_S - time.monotonic())
    background.cancel()
    # Twice contact_ms after the fault, all machines are in touch again.
    in_touch = [at for at, *_ in leaving.runs if at > acked + DRAIN_S and at > back + 2 * CONTACT_S]
    lab.say(f"{leaving.id} got {sum(at > acked + DRAIN_S for at, *_ in leaving.runs)} requests later than drain_ms after "
            f"the ack, {len(in_touch)} of them from machines in touch, the last {max(in_touch, default=acked) - acked:.1f} s after it")
    return bool(in_touch)


run(case, HERE)
