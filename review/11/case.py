"""Case 11: a head whose sealing orders are late too is freed, and opens again by late orders."""

import asyncio
import json
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
# The stand-ins of the second review.
from lab2 import TROUBLE, CannotRun, ModelServer, document, run_case

ENGINE = {
    "slots": 26, "kv_capacity_tokens": 1400000, "kv_token_bytes": 35136, "link_mbps": 400000.0, "stride": 5,
    "models": [{"name": "m0", "size": 3, "share": 1.0, "pace": 1.0, "load_s": 16.0, "warm_s": 1.6}],
    "step_ms": 6.07, "per_seq_ms": 0.241, "context_per_k": 0.00488, "read_per_s": 46000.0, "pairs_per_m": 0.7,
    "chunk": 2048, "report_lag_ms": 200.0, "loads_per_s": 4.0, "loads_at_once": 6, "delays": [],
    "usual": {"prompt": 1076, "answer": 116}, "keeps": 1, "far_x": 2.5, "form_ms": 300.0,
}
# `applied_late`: orders are carried out 2 to 12 s later.
JOIN_LATE_S, OPEN_LATE_S, SEAL_LATE_S = 11.5, 9.5, 12.0
CHECK_IN_LATE_S = 3.0


class Engine(ModelServer):
    """Leaves its first orders as a head unanswered and carries them out late; then checks in late."""

    orders, late = [], set()
    late_orders = False
    late_check_ins = False
    left_late = frozenset()

    def lateness(self, order):
        """How many seconds later an order is carried out; none if at once."""
        if not self.late_orders or order["op"] not in ("join", "open"):
            return None
        if order["op"] == "join" and order["members"] == [self.id] and self.left_late:
            return SEAL_LATE_S
        as_head = order["op"] == "open" or order["members"][0] == self.id
        if not as_head or order["group"].startswith("standby") or order["op"] in self.left_late:
            return None
        self.left_late = self.left_late | {order["op"]}
        return JOIN_LATE_S if order["op"] == "join" else OPEN_LATE_S

    async def answer(self, writer, method, path, headers, body):
        if path == "/order" and headers.get("dotterelhoist-expect-instance") == self.id:
            order = json.loads(body)
            Engine.orders.append((time.monotonic(), self.name, order["op"], order.get("group")))
            late_s = self.lateness(order)
            if late_s is not None:
                Engine.late.add(Engine.orders[-1][:2])
                self.lab.record.say(f"{self.name}: {order['op']} of {order['group']} is carried out {late_s} s later")
                self.lab.spawn(self.carry_out_late(order, late_s))
                await asyncio.sleep(2.0)
                raise OSError("unanswered")
        await super().answer(writer, method, path, headers, body)

    async def carry_out_late(self, order, late_s):
        await asyncio.sleep(late_s)
        again = self.group is None and order["op"] == "join"
        if again:
            self.late_check_ins = True
        self.lab.record.say(f"{self.name}: {order['op']} of {order['group']} is carried out late: {self.order(order)}")

    async def beat_late(self, zone, state):
        if not self.late_check_ins:
            return await super().beat_late(zone, state)

        async def arrive():
            await asyncio.sleep(CHECK_IN_LATE_S)
            await ModelServer.beat_late(self, zone, state)

        self.lab.spawn(arrive())
        return True


def config():
    body = document(2, ["assist"], [("draft", "/draft/", "streaming", "assist", 2)])
    body["services"][0].update(max_connections=304, engine=ENGINE)
    body["routes"][0].update(timeout_ms=8000, target_latency_ms=500, sticky=True, resumable=False, gap_target_ms=300)
    return body


async def case(lab):
    def new_engine(number, domain="d0"):
        engine = Engine(lab, f"engine-{number}", "assist", "a", 50 + number, domain)
        ModelServer.engines.pop(engine.id)
        engine.id = f"i-{number}" + engine.id[-9:]
        ModelServer.engines[engine.id] = engine
        return engine

    head, member, leaving = engines = [new_engine(number) for number in range(3)]
    head.late_orders = TROUBLE
    others = [new_engine(number, f"d{number // 10}") for number in (10, 11, 12, 20, 21, 22)]
    await asyncio.sleep(1.5)
    await lab.put(config())
    for engine in engines + others:
        await engine.open()
    await lab.wait_ready()
    end = time.monotonic() + 20
    while not head.serves():
        if time.monotonic() > end:
            raise CannotRun("the group does not open")
        await asyncio.sleep(0.05)
    opened_at = time.monotonic()

    async def traffic(zone):
        number = 0
        while True:
            number += 1
            lab.spawn(lab.request(zone, "/draft/1", f"{zone}{number:06d}", timeout_ms=3000, **{
                "Dotterelhoist-Model": "m0", "Dotterelhoist-Token-Counts": "1460,80",
                "Dotterelhoist-Prompt-Prefix": f"5c1e07a2:800,{number:x}:660"}))
            await asyncio.sleep(0.5)

    for zone in lab.zones:
        lab.spawn(traffic(zone))
    await asyncio.sleep(0.5)
    # Planned work: a member drains and leaves.
    lab.record.say(f"{leaving.name}: drains")
    leaving.draining = True
    await leaving.beat(leaving.beat_zones[0])
    await asyncio.sleep(2.5)
    await leaving.deregister("a")
    leaving.group = None
    leaving.stop()
    # Planned work: an engine is added, soon after the late orders.
    if TROUBLE:
        end = time.monotonic() + 12
        while not (head.late_check_ins and head.serves()) and time.monotonic() < end:
            await asyncio.sleep(0.02)
        lab.record.say(f"{head.name}: serves again: {bool(head.serves())}")
    else:
        await asyncio.sleep(opened_at + 11 - time.monotonic())
    await asyncio.sleep(0.3)
    added = new_engine(3)
    await added.open()
    lab.record.say(f"{added.name}: is added")
    await asyncio.sleep(8.0)
    violations = [text for engine in ModelServer.engines.values() for text in engine.violations]
    last = max((at for at, _ in Engine.late), default=0.0)
    in_time = [order for order in Engine.orders if order[0] <= last]
    lab.record.say(f"{len(Engine.late)} of {len(in_time)} orders until the last late one are late")
    for at, name, op, group in Engine.orders:
        late = " (late)" if (at, name) in Engine.late else ""
        lab.record.say(f"order{late} at {at - opened_at:.2f} s after the group opened: {name} {op} {group}")
    lab.record.say(f"{len(violations)} joins of another group while the head of the group serves")
    return len(violations) > 0


run_case(HERE, case)
