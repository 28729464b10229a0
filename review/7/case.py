"""A check-in of another writer, with fields missing, that names the address of the head of a group."""

import asyncio
import json
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from lab2 import CONTROL_PORT, TROUBLE, CannotRun, ModelServer, call, document, run_case

ENGINE = {
    "slots": 26, "kv_capacity_tokens": 1400000, "kv_token_bytes": 35136, "link_mbps": 400000.0, "stride": 5,
    "models": [{"name": "m0", "size": 2, "share": 1.0, "pace": 1.0, "load_s": 16.0, "warm_s": 1.6}],
    "step_ms": 6.07, "per_seq_ms": 0.241, "context_per_k": 0.00488, "read_per_s": 46000.0, "pairs_per_m": 0.7,
    "chunk": 2048, "report_lag_ms": 200.0, "loads_per_s": 4.0, "loads_at_once": 6, "delays": [],
    "usual": {"prompt": 1076, "answer": 116}, "keeps": 1, "far_x": 2.5, "form_ms": 300.0,
}


def config():
    body = document(2, ["assist"], [("draft", "/draft/", "streaming", "assist", 2)])
    body["services"][0].update(max_connections=304, engine=ENGINE)
    body["routes"][0].update(timeout_ms=8000, target_latency_ms=500, sticky=True, resumable=False,
                             gap_target_ms=300)
    return body


async def case(lab):
    servers = [
        ModelServer(lab, f"engine-{number}", "assist", "a", 50 + number, "d0") for number in range(1, 6)
    ]
    await asyncio.sleep(1.5)
    await lab.put(config())
    for server in servers:
        await server.open()
    await lab.wait_ready()
    end = time.monotonic() + 20
    while sum(1 for server in servers if server.serves()) < 2:
        if time.monotonic() > end:
            raise CannotRun("the groups do not open")
        await asyncio.sleep(0.1)
    await asyncio.sleep(3.0)

    answers = {}

    async def ask(zone, number):
        request_id = f"{zone}{number:06d}"
        answer = await lab.request(
            zone, "/draft/1", request_id, timeout_ms=8000,
            **{"Dotterelhoist-Model": "m0", "Dotterelhoist-Token-Counts": "1460,80",
               "Dotterelhoist-Prompt-Prefix": f"5c1e07a2:800,{number:x}:660"},
        )
        whole = bool(answer) and answer[0] == 200 and answer[2].count(b"\n\n") == 27
        answers[request_id] = "whole" if whole else f"{answer and answer[0]}, not whole"
        lab.record.write(f"client: {request_id} at edge-{zone}: {answers[request_id]}")

    async def traffic(zone):
        number = 0
        while True:
            number += 1
            lab.spawn(ask(zone, number))
            await asyncio.sleep(0.4)

    for zone in lab.zones:
        lab.spawn(traffic(zone))
    await asyncio.sleep(6.0)

    head = next(server for server in servers if server.serves())
    if TROUBLE:
        # Without `version`, `slots`, `cold_remaining_ms`, `stage`, `models`, `domain`, `staged`.
        body = {
            "service": "assist", "address": f"{head.ip}:{head.port}", "zone": "a", "state": "ready",
            "sequence": 1, "born": int(time.time() * 1000),
        }
        answer = await call(
            lab.control_ip("a"), CONTROL_PORT, "POST", "/Instances.Heartbeat/i-other-writer",
            {"Content-Type": "application/json"}, json.dumps(body).encode(),
        )
        lab.record.say(f"another writer: check-in {body} -> {answer and answer[0]}")
    await asyncio.sleep(12.0)

    violations = [text for server in servers for text in server.violations]
    lost = [request_id for request_id, text in answers.items() if text != "whole"]
    lab.record.say(
        f"{len(violations)} joins of another group while the head of the group serves;"
        f" {len(lost)} of {len(answers)} requests were not answered whole"
    )
    return len(violations) > 0


run_case(os.path.dirname(os.path.abspath(__file__)), case)
