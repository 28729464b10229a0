"""A deregistration that one control daemon misses while it is cut off from the other two."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from lab2 import CONTACT_S, DRAIN_S, TROUBLE, Server, document, run_case

CUT_S = 5.5
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
    await asyncio.sleep(CONTACT_S + 0.5)

    cut_at = time.monotonic()
    if TROUBLE:
        lab.cut = "b"
        lab.record.say("core-b is partitioned from core-a and core-c")
    await asyncio.sleep(cut_at + 5.0 - time.monotonic())
    acked_at = await leaving.deregister("a")
    await asyncio.sleep(cut_at + CUT_S - time.monotonic())
    lab.cut = None
    healed_at = time.monotonic()
    if TROUBLE:
        lab.record.say("the partition is over")
    # It goes on serving for some seconds after the acknowledgement, and ends.
    await asyncio.sleep(acked_at + DRAIN_S + 4.0 - time.monotonic())
    leaving.stop()
    lab.record.say("leaving: ends")
    await asyncio.sleep(1.0)

    # From here on all machines are in touch again, and the time to drain is over.
    counted_from = max(acked_at + DRAIN_S, (healed_at + CONTACT_S) if TROUBLE else 0) + MARGIN_S
    late = [run for run in leaving.runs if run[0] > counted_from]
    cut_off = [run for run in leaving.runs if answers.get(run[1]) not in (None, 200)]
    total = sum(1 for run in leaving.runs if run[0] > acked_at + DRAIN_S)
    lab.record.say(
        f"{len(answers)} answers; {total} requests reach it later than drain_ms after the acknowledgement,"
        f" {len(late)} of them while all machines are in touch"
        f" (last {max((run[0] - acked_at for run in leaving.runs), default=0):.1f} s after it);"
        f" {len(cut_off)} bookings that it ran were answered with a failure"
    )
    return len(late) > 0


run_case(os.path.dirname(os.path.abspath(__file__)), case, proxied=True)
