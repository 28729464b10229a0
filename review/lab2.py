"""Stand-ins for the cases 6 to 10: launcher of daemons, plain servers, operator, clients and link proxy.

Everything runs in one asyncio loop, on loopback addresses. Only the standard library is used.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(ROOT, "target", "release", "dotterelhoistd")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

CONTROL_PORT, LINK_PORT, RELAY_PORT, FRONT_PORT, READY_PORT = 8229, 7340, 7355, 8227, 8220
CONTACT_S, DRAIN_S, HEARTBEAT_S = 3.0, 2.0, 1.2

BOUNDS = """in_tolerance=true
limits.cpu_share=0.25
limits.cores=1
limits.memory_mb=260
limits.max_fds=4100
discovery=registry
entry=vip
heartbeat_interval_ms=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,gangs
fault_tolerance.machines=1
fault_tolerance.zones=1
fault_tolerance.regions=0
bounds.seed_lag_s=3
bounds.reuse_after_s=2
bounds.contact_ms=3000
bounds.ack_timeout_ms=4000
bounds.catch_up_s=4
bounds.drain_ms=2000
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.rollback_slack_ms=250
bounds.max_stretch_ms=5000
bounds.fail_closed=false
bounds.revoke_ms=5000
bounds.retry_budget_ratio=0.2
bounds.budget_window_s=10
bounds.retry_budget_slack=132
bounds.recovery_s=12
bounds.pass_ms=120
bounds.retry_after_s=0
bounds.stall_ms=4000
bounds.enforce_fencing=true
bounds.ceiling_window_s=5
bounds.ceiling_overage=1.1
config_mode=highest
"""


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """Lines of `record.txt`, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")

    def say(self, text):
        self.write(text)
        print(f"{self.now():8.3f} {text}", flush=True)


async def read_head(reader):
    """Reads the head of a message; returns its first line and its headers in lower case."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def call(ip, port, method, path, headers, body=b"", timeout=1.0, local=None):
    """One HTTP call on a new connection; returns status, headers and body, or None for no answer."""
    writer = None

    async def run():
        nonlocal writer
        local_addr = (local, 0) if local else None
        reader, writer = await asyncio.open_connection(ip, port, local_addr=local_addr)
        lines = [f"{method} {path} HTTP/1.1"]
        all_headers = {"Host": f"{ip}:{port}", **headers}
        if body or method == "POST":
            all_headers["Content-Length"] = str(len(body))
        lines += [f"{name}: {value}" for name, value in all_headers.items()]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await writer.drain()
        first, answer_headers = await read_head(reader)
        answer = await read_body(reader, answer_headers)
        return int(first.split()[1]), answer_headers, answer

    try:
        return await asyncio.wait_for(run(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
        return None
    finally:
        if writer is not None:
            writer.close()


class Lab:
    """A small deployment: three control daemons and entry daemons, one zone each."""

    def __init__(self, folder):
        self.folder = folder
        self.record = Record(folder)
        self.temp = tempfile.mkdtemp(prefix="review2-")
        self.net = self.find_net()
        self.processes = {}
        self.tasks = []
        self.zones = ["a", "b", "c"]
        self.proxied = False
        self.cut = None
        self.links = set()
        self.bounds = BOUNDS

    @staticmethod
    def find_net():
        """Second byte of a loopback network whose ports are free."""
        for _ in range(50):
            net = random.randint(20, 250)
            try:
                for last in ("1.1", "2.1", "3.1", "1.101", "1.4"):
                    for port in (CONTROL_PORT, LINK_PORT, FRONT_PORT, READY_PORT, 9464):
                        probe = socket.socket()
                        probe.bind((f"127.{net}.{last}", port))
                        probe.close()
                return net
            except OSError:
                continue
        raise CannotRun("no free loopback network")

    def ip(self, zone, last):
        return f"127.{self.net}.{self.zones.index(zone) + 1}.{last}"

    def control_ip(self, zone):
        """Address at which a control daemon listens."""
        return self.ip(zone, 101 if self.proxied else 1)

    def settings(self, role, zone, bootstrap):
        seeds = ",".join(f"{self.ip(z, 1)}:{CONTROL_PORT}" for z in self.zones)
        last = 1 if role == "core" else 4
        text = f"node={role}-{zone}-1\nrole={'control' if role == 'core' else 'entry'}\n"
        text += f"machine_class={role}\nip={self.ip(zone, last)}\nzone={zone}\nregion=r\n"
        text += "".join(f"zones.{z}=r\n" for z in self.zones)
        text += f"internal_ports={LINK_PORT},{RELAY_PORT}\nseeds={seeds}\n"
        text += f"bootstrap={'true' if bootstrap else 'false'}\n" + self.bounds
        if role == "core":
            text += f"serves=control\nlisten.control={self.control_ip(zone)}:{CONTROL_PORT}\n"
            text += f"data_dir={self.temp}/data-{zone}\nlimits.disk_mb=128\n"
        else:
            text += f"serves=edge\nlisten.front={self.ip(zone, 4)}:{FRONT_PORT}\n"
            text += f"listen.ready={self.ip(zone, 4)}:{READY_PORT}\nlimits.disk_mb=0\n"
        return text

    async def start(self, role, zone, bootstrap=False):
        """Starts a process with the command of the deploy file."""
        name = f"{role}-{zone}"
        path = f"{self.temp}/{name}.conf"
        with open(path, "w") as file:
            file.write(self.settings(role, zone, bootstrap))
        env = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        env["DOTTERELHOIST_NODE_FILE"] = path
        log = open(f"{self.temp}/{name}.log", "a")
        self.processes[name] = await asyncio.create_subprocess_exec(
            PROGRAM, "platform", cwd=ROOT, env=env, stdout=log, stderr=log
        )
        self.record.write(f"started {name}")

    def send_signal(self, name, number):
        self.processes[name].send_signal(number)
        self.record.say(f"{signal.Signals(number).name} to {name}")

    async def kill(self, name):
        self.send_signal(name, signal.SIGKILL)
        await self.processes[name].wait()

    async def open(self):
        if self.proxied:
            for zone in self.zones:
                await self.open_proxy(zone)
        for zone in self.zones:
            await self.start("core", zone, bootstrap=True)
        for zone in self.zones:
            await self.start("edge", zone, bootstrap=True)

    async def close(self):
        for task in self.tasks:
            task.cancel()
        for process in self.processes.values():
            if process.returncode is None:
                try:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                except ProcessLookupError:
                    pass
                await process.wait()
        if os.environ.get("KEEP"):
            print(self.temp)
        else:
            shutil.rmtree(self.temp, ignore_errors=True)

    def spawn(self, work):
        self.tasks.append(asyncio.get_running_loop().create_task(work))

    # Links between control daemons.

    async def open_proxy(self, zone):
        """Relays connections of daemons to the control daemon of a zone."""

        async def serve(reader, writer):
            try:
                first = await reader.read(4096)
                source = self.control_daemon_in(first)
                link = {"pair": {source, zone}, "held": self.is_cut({source, zone})}
                self.links.add((id(link), writer))
                other = None
                try:
                    if link["held"]:
                        await self.wait_healed()
                        return
                    other_reader, other = await asyncio.open_connection(
                        self.control_ip(zone), LINK_PORT
                    )
                    other.write(first)
                    await asyncio.gather(
                        self.pump(link, reader, other), self.pump(link, other_reader, writer)
                    )
                finally:
                    self.links.discard((id(link), writer))
                    writer.transport.abort()
                    if other:
                        other.transport.abort()
            except (OSError, asyncio.CancelledError):
                writer.transport.abort()

        await asyncio.start_server(serve, self.ip(zone, 1), LINK_PORT)

    def control_daemon_in(self, first):
        """Zone of the control daemon that names itself in a first frame; none of an entry daemon."""
        for zone in self.zones:
            name = self.ip(zone, 1).encode()
            at = first.find(name)
            if at >= 0 and not first[at + len(name) : at + len(name) + 1].isdigit():
                return zone
        return None

    def is_cut(self, pair):
        """Whether the control daemon `self.cut` is partitioned from the other one of the pair."""
        return self.cut is not None and self.cut in pair and len(pair) == 2 and None not in pair

    async def wait_healed(self):
        while self.cut is not None:
            await asyncio.sleep(0.01)

    async def pump(self, link, reader, writer):
        """Relays one direction. What arrives during a partition is dropped with the connection."""
        while True:
            data = await reader.read(65536)
            if self.is_cut(link["pair"]):
                link["held"] = True
                await self.wait_healed()
            if not data or link["held"]:
                writer.transport.abort()
                raise OSError("closed")
            writer.write(data)
            await writer.drain()

    # Operator.

    async def put(self, document, zone="a", timeout=8.0):
        body = json.dumps(document).encode()
        headers = {"Content-Type": "application/json"}
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            answer = await call(
                self.control_ip(zone), CONTROL_PORT, "POST", "/Config.Put", headers, body, 4.0
            )
            if answer and answer[0] == 200:
                self.record.say(f"operator: version {document['version']} acknowledged")
                return
            await asyncio.sleep(0.2)
        raise CannotRun("the configuration is not acknowledged")

    async def wait_ready(self, zones=None, timeout=15.0):
        end = time.monotonic() + timeout
        for zone in zones or self.zones:
            while True:
                answer = await call(self.ip(zone, 4), READY_PORT, "GET", "/ready", {})
                if answer and answer[0] == 200:
                    break
                if time.monotonic() > end:
                    raise CannotRun(f"edge-{zone} is not ready")
                await asyncio.sleep(0.1)

    # Clients.

    async def request(self, zone, path, request_id, method="POST", body=b"x", timeout_ms=1500, **more):
        headers = {
            "Host": "desk.example",
            "Dotterelhoist-Request-Id": request_id,
            "Dotterelhoist-Deadline-Ms": str(timeout_ms),
            **more,
        }
        return await call(
            self.ip(zone, 4), FRONT_PORT, method, path, headers, body, timeout_ms / 1000 + 0.5
        )


def document(version, services, routes):
    """A configuration with plain services and `(name, prefix, kind, service, attempts)` routes."""
    return {
        "version": version,
        "routes": [
            {
                "name": name, "host": "desk.example", "path_prefix": prefix, "route_type": kind,
                "timeout_ms": 3000, "target_latency_ms": 150, "priority": 2, "service": service,
                "attempts": attempts, "public": False,
            }
            for name, prefix, kind, service, attempts in routes
        ],
        "services": [
            {"name": name, "health_path": "/health", "max_connections": 100, "protocol": "h1", "tls": False}
            for name in services
        ],
        "limits": {
            "max_header_bytes": 16384, "max_body_bytes": 4194304,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
        },
    }


class Server:
    """A plain server: checks in, runs requests, and says in the record what it runs."""

    def __init__(self, lab, name, service, zone, last, beat_zones=None, slots=6, work_s=0.03):
        self.lab, self.name, self.service, self.zone = lab, name, service, zone
        self.ip, self.port = lab.ip(zone, last), 8120
        self.beat_zones = beat_zones or lab.zones
        self.slots, self.work_s = slots, work_s
        self.sequence, self.running = 0, 0
        self.beating, self.draining = True, False
        self.arrivals, self.runs, self.connections = [], [], set()
        self.listener, self.crash_on, self.on_crash = None, None, None
        self.born = int(time.time() * 1000)
        self.id = f"i-{name}-{random.getrandbits(32):08x}"

    async def open(self):
        self.listener = await asyncio.start_server(self.serve, self.ip, self.port, reuse_address=True)
        self.lab.spawn(self.beat_forever())

    def state(self):
        self.sequence += 1
        return {
            "service": self.service, "address": f"{self.ip}:{self.port}", "zone": self.zone,
            "version": "v1", "slots": self.slots, "state": "draining" if self.draining else "ready", "cold_remaining_ms": 0,
            "sequence": self.sequence, "born": self.born,
        }

    async def beat(self, zone):
        return await self.beat_late(zone, self.state())

    async def beat_late(self, zone, state):
        body = json.dumps(state).encode()
        answer = await call(
            self.lab.control_ip(zone), CONTROL_PORT, "POST", f"/Instances.Heartbeat/{self.id}",
            {"Content-Type": "application/json"}, body, 1.0,
        )
        ok = bool(answer) and 200 <= answer[0] < 300
        self.lab.record.write(f"{self.name}: check-in {state['sequence']} to core-{zone}: {ok}")
        return ok

    async def beat_forever(self):
        """Checks in with one daemon until that does not acknowledge it, then with the next one."""
        at = 0
        while self.beating:
            for _ in range(len(self.beat_zones)):
                if await self.beat(self.beat_zones[at % len(self.beat_zones)]):
                    break
                at += 1
            await asyncio.sleep(HEARTBEAT_S)

    async def deregister(self, zone):
        self.beating = False
        answer = await call(
            self.lab.control_ip(zone), CONTROL_PORT, "POST", f"/Instances.Deregister/{self.id}",
            {"Content-Type": "application/json"}, json.dumps({"born": self.born}).encode(), 1.0,
        )
        if not answer or answer[0] != 200:
            raise CannotRun("the deregistration is not acknowledged")
        self.lab.record.say(f"{self.name}: deregistration acknowledged by core-{zone}")
        return time.monotonic()

    def stop(self):
        """Ends: closes the listener and all connections."""
        self.beating = False
        if self.listener:
            self.listener.close()
            self.listener = None
        for writer in list(self.connections):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                method, path = first.split()[:2]
                body = await read_body(reader, headers)
                await self.answer(writer, method, path, headers, body)
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def answer(self, writer, method, path, headers, body):
        request_id = headers.get("dotterelhoist-request-id", "")
        extra = {"Dotterelhoist-Instance-Id": self.id}
        if path in ("/health", "/report"):
            state = {"stage": "both", "models": [], "busy": False, "sequence": 0, "born": self.born}
            return await self.respond(writer, 200, extra, json.dumps(state).encode())
        extra = {"Dotterelhoist-Request-Id": request_id}
        expected = headers.get("dotterelhoist-expect-instance")
        if expected and expected != self.id:
            extra["Dotterelhoist-Not-Run"] = "1"
            return await self.respond(writer, 421, extra, b"")
        if not request_id:
            return await self.respond(writer, 400, {"Dotterelhoist-Not-Run": "1"}, b"")
        self.arrivals.append((time.monotonic(), request_id, path))
        if self.running >= self.slots * 4:
            extra["Dotterelhoist-Not-Run"] = "1"
            return await self.respond(writer, 503, extra, b"")
        self.runs.append((time.monotonic(), request_id, path))
        self.lab.record.write(f"{self.name}: runs {request_id} {path}")
        if self.crash_on and self.crash_on(path, body):
            self.lab.record.say(f"{self.name}: crashes under {request_id} {path}")
            self.stop()
            if self.on_crash:
                self.on_crash(self)
            raise OSError("crashed")
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        extra["Dotterelhoist-Response-Seal"] = f"{self.id}.{request_id}"
        extra["Dotterelhoist-Server-Load"] = f"{self.running},0,{self.slots}"
        await self.respond(writer, 200, extra, f"answer to {request_id}".encode())

    async def respond(self, writer, status, headers, body):
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await writer.drain()


class ModelServer(Server):
    """An engine that is a member of groups: carries out orders, and streams events as the head of a group."""

    engines = {}
    # Whether it refuses orders with a lower fencing number than it has seen (`enforce_fencing`).
    enforces_fencing = True

    def __init__(self, lab, name, service, zone, last, domain, beat_zones=None, stall_s=4.0):
        super().__init__(lab, name, service, zone, last, beat_zones, slots=26)
        self.domain, self.stall_s = domain, stall_s
        self.group, self.staged, self.orders, self.epoch_seen = None, [], 0, 0
        self.last_model, self.fence, self.still_since = None, 0, None
        self.started_streams, self.was_ready, self.violations = 0, set(), []
        self.on_state = None
        ModelServer.engines[self.id] = self

    def state(self):
        body = super().state()
        body.update(self.report())
        return body

    def report(self):
        model = self.group and self.group["state"] != "joining" and self.group["model"]
        body = {
            "stage": "both", "domain": self.domain, "staged": list(self.staged), "born": self.born,
            "models": [{"name": model, "version": 1, "adapters": []}] if model else [],
        }
        if self.group:
            body["group"] = {key: self.group[key] for key in ("name", "epoch", "rank", "state")}
        return body

    def changed(self):
        """Reports a change at once."""
        self.lab.spawn(self.beat(self.beat_zones[0]))

    def is_complete(self):
        """Whether every member of its group is still in it."""
        group = self.group
        for member in group["members"]:
            other = ModelServer.engines.get(member)
            same = other and other.listener and other.group and other.group["epoch"] == group["epoch"]
            if not same or other.group["state"] == "joining":
                return False
        return True

    def serves(self):
        """Whether it is a head that is open or closing, or stands still and is not broken yet."""
        return self.listener and self.group and self.group["state"] in ("open", "closing")

    async def watch(self):
        """Breaks the group once a member has been missing for `stall_s`."""
        while True:
            await asyncio.sleep(0.02)
            if not self.serves() or self.is_complete():
                self.still_since = None
            elif self.still_since is None:
                self.still_since = time.monotonic()
                self.lab.record.say(f"{self.name}: stands still, a member of {self.group['name']} is missing")
            elif time.monotonic() - self.still_since > self.stall_s:
                self.lab.record.say(f"{self.name}: {self.group['name']} is broken")
                self.group["state"] = "broken"
                self.changed()

    async def open(self):
        await super().open()
        self.lab.spawn(self.watch())

    def head_of(self, group):
        return ModelServer.engines.get(group["members"][0])

    def order(self, body):
        """Carries out an order; returns the status."""
        op, fence = body.get("op"), body.get("fencing_token", 0)
        if self.enforces_fencing and fence < self.fence:
            return 412
        self.fence = max(self.fence, fence)
        if op == "join":
            return self.join(body)
        if op == "stage":
            if body["model"] in self.staged:
                return 200
            self.lab.spawn(self.stage(body["model"]))
            return 202
        group = self.group
        fits = group and group["name"] == body["group"] and group["epoch"] == body["epoch"]
        if not fits:
            return 409
        if op == "open":
            if group["state"] == "open":
                return 200
            if group["state"] != "ready" or group["rank"] != 0:
                return 409
            self.lab.spawn(self.serve_soon(group))
            return 202
        if op == "close":
            if group["state"] not in ("open", "closing"):
                return 200 if group["state"] == "ready" else 409
            group["state"] = "closing"
            self.lab.spawn(self.finish(group, body.get("close_mode") == "cancel"))
            return 202
        if op == "leave":
            self.leave()
            return 200
        return 400

    def leave(self):
        self.group = None
        self.changed()

    def join(self, body):
        epoch, name = body["epoch"], body["group"]
        old = self.group
        if epoch < self.epoch_seen:
            return 412
        if old and old["name"] == name and old["epoch"] == epoch:
            return 200 if old["members"] == body["members"] else 412
        if old and old["name"] != name:
            head = self.head_of(old)
            same = head and head.group and head.group["epoch"] == old["epoch"]
            if same and head.serves():
                text = f"{self.name}: takes a join of {name} while {head.name}, the head of its group"
                text += f" {old['name']}, is {head.group['state']} with {head.running} running requests"
                self.lab.record.say("TWO " + text)
                self.violations.append(text)
        self.epoch_seen = epoch
        self.group = {
            "name": name, "epoch": epoch, "model": body["model"], "members": body["members"],
            "rank": body["members"].index(self.id), "state": "joining",
        }
        self.lab.spawn(self.load(self.group))
        self.changed()
        return 202

    async def load(self, group):
        if group["model"] == self.last_model:
            wait = 0.2
        else:
            wait = 1.6
        await asyncio.sleep(wait)
        if self.group is group:
            self.last_model = group["model"]
            if group["model"] not in self.staged:
                self.staged = [group["model"]]
            group["state"] = "ready"
            self.changed()

    async def stage(self, model):
        await asyncio.sleep(1.6)
        self.staged = [model]
        self.changed()

    async def serve_soon(self, group):
        await asyncio.sleep(0.3)
        if self.group is group and group["state"] == "ready":
            group["state"] = "open"
            self.lab.record.say(f"{self.name}: {group['name']} is open, members "
                                + ",".join(ModelServer.engines[m].name for m in group["members"]))
            self.changed()

    async def finish(self, group, cancel):
        while self.running and not cancel:
            await asyncio.sleep(0.02)
        if self.group is group and group["state"] == "closing":
            group["state"] = "ready"
            self.changed()

    async def answer(self, writer, method, path, headers, body):
        request_id = headers.get("dotterelhoist-request-id", "")
        expected = headers.get("dotterelhoist-expect-instance")
        if expected and expected != self.id:
            return await self.respond(writer, 421, {"Dotterelhoist-Not-Run": "1"}, b"")
        if path == "/report":
            state = {"busy": False, "sequence": self.orders, "waiting": 0, "running": self.running,
                     "kv_used": 0, "kv_total": 1400000, "handles": 0, **self.report()}
            return await self.respond(writer, 200, {"Content-Type": "application/json"}, json.dumps(state).encode())
        if path == "/order":
            order = json.loads(body)
            status = self.order(order)
            self.orders += status == 202
            self.lab.record.write(f"{self.name}: order {order} -> {status}")
            return await self.respond(writer, status, {"Content-Type": "application/json"}, b"{}")
        if path == "/health":
            return await self.respond(writer, 200, {"Dotterelhoist-Instance-Id": self.id}, b"")
        extra = {"Dotterelhoist-Request-Id": request_id}
        self.arrivals.append((time.monotonic(), request_id, path))
        group = self.group
        if not group or group["rank"] != 0 or group["state"] != "open":
            extra["Dotterelhoist-Not-Run"] = "1"
            status = 503 if group and group["state"] == "broken" else 421
            return await self.respond(writer, status, extra, b"")
        self.running += 1
        try:
            await self.stream(writer, request_id, group)
        finally:
            self.running -= 1

    async def stream(self, writer, request_id, group):
        self.runs.append((time.monotonic(), request_id, group["name"]))
        self.lab.record.write(f"{self.name}: runs {request_id} in {group['name']}")
        head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
        head += f"Dotterelhoist-Request-Id: {request_id}\r\nDotterelhoist-Weight-Versions: 1\r\n"
        head += f"Dotterelhoist-Response-Seal: {self.id}.{request_id}\r\n\r\n"
        await asyncio.sleep(0.05)
        await self.while_still(group)
        writer.write(head.encode())
        for number in range(1, 28):
            event = f"id: {number}\ndata: {request_id} {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            self.event_sent(request_id, number)
            await asyncio.sleep(0.06)
            await self.while_still(group)
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    def event_sent(self, request_id, number):
        """Called after each event of a stream."""

    async def while_still(self, group):
        """Waits while a member is missing; the request is cut off once the group is broken or left."""
        while self.group is group and group["state"] != "broken" and not self.is_complete():
            await asyncio.sleep(0.02)
        if self.group is not group or group["state"] == "broken":
            raise OSError("cut off")


def run_case(folder, case, proxied=False, prepare=None):
    """Runs a case, and exits with 1 if it returns True (broken), 0 if False, 2 if it could not run."""

    async def main():
        lab = Lab(folder)
        lab.proxied = proxied
        if prepare:
            prepare(lab)
        try:
            await lab.open()
            return 1 if await case(lab) else 0
        except CannotRun as error:
            lab.record.say(f"could not run: {error}")
            return 2
        finally:
            await lab.close()
            lab.record.file.close()

    if not os.path.exists(PROGRAM):
        print("the program is not built")
        sys.exit(2)
    try:
        code = asyncio.run(asyncio.wait_for(main(), 115))
    except asyncio.TimeoutError:
        code = 2
    sys.exit(code)
