"""Case 12: a running entry daemon never learns of control machines that came while it stood still."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from lab3 import TROUBLE, Engine, document, request, route, run

# catch_up_s: after that a removed machine no longer counts as lost.
CATCH_UP_S = 4.0
CONTACT_S = 3.0
APPLY_S = 2.0


async def replace(lab, old, new):
    """Removes a machine of the core for good; an empty one comes at another address."""
    lab.say(f"platform: {old} is removed for good, {new} is added with an empty disk")
    lab.remove_control(old)
    lab.start_daemon(new, True, lab.controls + [old], False)
    await asyncio.sleep(CATCH_UP_S + 1.0)
    # The operator's list, as written to settings files from now on.
    await lab.operate("GET", "/Config.Get")


async def case(lab):
    first = [lab.ip(1), lab.ip(2), lab.ip(3)]
    second = [lab.ip(4), lab.ip(5), lab.ip(6)]
    entry, other = lab.ip(21), lab.ip(22)
    for ip in first:
        lab.start_daemon(ip, True, first, True)
    for ip in (entry, other):
        lab.start_daemon(ip, False, first, True)
    old, new = Engine(lab, "i-old", lab.ip(41), "desk-old"), Engine(lab, "i-new", lab.ip(42), "desk-new")
    await old.start()
    await new.start()
    services = ["desk-old", "desk-new"]
    await lab.put(document(7, [route("r", "/book/", "desk-old")], services, {"t1": ["key-1"], "t2": ["key-2"]}))
    for ip in (entry, other):
        await lab.until(f"entry daemon {ip} is ready", lambda: lab.is_ready(ip))

        async def serves():
            answer = await request(ip, f"first-{ip}-{len(old.runs)}", "/book/x", "key-2")
            return answer.status == 200
        await lab.until(f"entry daemon {ip} serves", serves)

    if TROUBLE:
        lab.say(f"platform: {entry} is suspended")
        lab.signal(entry, signal.SIGSTOP)
    await asyncio.sleep(4.0)
    for before, after in zip(first, second):
        await replace(lab, before, after)
    if TROUBLE:
        lab.signal(entry, signal.SIGCONT)
        lab.say(f"platform: {entry} goes on")
    # The settings file names the present machines, and the daemon is told so.
    lab.write_settings(entry, False, second, False)
    lab.signal(entry, signal.SIGHUP)
    lab.say(f"platform: the settings of {entry} name the seeds {second}, SIGHUP")
    # The core is calm, and all processes run: after contact_ms all machines are in touch.
    await asyncio.sleep(CONTACT_S + 3.0)
    await lab.put(document(9, [route("r", "/book/", "desk-new")], services, {"t1": ["key-1"]}))
    await asyncio.sleep(APPLY_S + 1.0)
    broken = 0
    for ip in (other, entry):
        for number in range(10):
            for key in ("key-1", "key-2"):
                id = f"after-{ip}-{key}-{number}"
                runs = len(old.runs)
                answer = await request(ip, id, "/book/x", key)
                by_old = len(old.runs) > runs
                stale = by_old or (key == "key-2" and answer.status == 200)
                lab.say(f"requester: {id} at {ip}: {answer} {'STALE' if stale else ''}")
                broken += stale
            await asyncio.sleep(0.3)
    lab.say(f"requests handled as only version 7 allows, later than config_apply_ms after the ack of 9: {broken}")
    return broken > 0


run(case, HERE)
