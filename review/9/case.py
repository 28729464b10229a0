"""A deregistration that all control daemons forget when they are killed and start again."""

import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from lab2 import CONTACT_S, DRAIN_S, TROUBLE, Server, document, run_case

MARGIN_S = 0.2


async def case(lab):
    leaving = Server(lab, "leaving", "desk", "b", 50, beat_zones=["b", "a", "c"])
    others = [
        Server(lab, "other-b", "desk", "b", 51, beat_zones=["b", "a", "c"]),
        Server(lab, "other-a", "desk", "a", 50, beat_zones=["a", "b", "c"]),
        Server(lab, "other-c", "desk", "c", 50, beat_zones=["c", "a", "b"]),
    ]
    await asyncio.sleep(1.5)
    await lab.put(document(2, ["desk"], [("booking", "/book/", "non_idempotent", "desk", 2)]))
    for server in [leaving, *others]:
        await server.open()
    await lab.wait_ready()
    await asyncio.sleep(2.0)

    answers = {}

    async def ask(zone, number):
        request_id = f"{zone}{number:06d}"
        answer = await lab.request(zone, "/book/1", request_id)
        answers[request_id] = answer and answer[0]
        lab.record.write(f"client: {request_id} at edge-{zone}: {answers[request_id]}")

    async def traffic(zone):
        number = 0
        while True:
            number += 1
            lab.spawn(ask(zone, number))
            await asyncio.sleep(0.05)

    for zone in lab.zones:
        lab.spawn(traffic(zone))
    await asyncio.sleep(CONTACT_S)

    # The last check-in before the deregistration is on its way for some seconds.
    leaving.beating = False
    await asyncio.sleep(0.05)
    late_body = leaving.state()
    lab.record.say(f"leaving: sends check-in {late_body['sequence']}, which arrives late")
    acked_at = await leaving.deregister("a")
    await asyncio.sleep(1.0)
    if TROUBLE:
        for zone in lab.zones:
            lab.send_signal(f"core-{zone}", signal.SIGKILL)
        for zone in lab.zones:
            await lab.processes[f"core-{zone}"].wait()
        await asyncio.sleep(0.5)
        for zone in lab.zones:
            await lab.start("core", zone)
    started_at = time.monotonic()
    await asyncio.sleep(acked_at + 2.5 - time.monotonic())
    ok = await leaving.beat_late("b", late_body)
    lab.record.say(f"leaving: check-in {late_body['sequence']} arrives late at core-b: {ok}")
    await asyncio.sleep(acked_at + DRAIN_S + 5.0 - time.monotonic())
    leaving.stop()
    lab.record.say("leaving: ends")
    await asyncio.sleep(1.0)

    counted_from = max(acked_at + DRAIN_S, (started_at + CONTACT_S) if TROUBLE else 0) + MARGIN_S
    late = [run for run in leaving.runs if run[0] > counted_from]
    total = sum(1 for run in leaving.runs if run[0] > acked_at + DRAIN_S)
    lab.record.say(
        f"{len(answers)} answers; {total} requests reach it later than drain_ms after the acknowledgement,"
        f" {len(late)} of them while all machines are in touch"
    )
    return len(late) > 0


run_case(os.path.dirname(os.path.abspath(__file__)), case)
