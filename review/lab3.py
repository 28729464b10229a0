"""Stand-ins for the scripts of the third review: daemons of the project as processes, and engines,
requesters and an operator that follow the users' pages. Only Python's standard library is used, and
only loopback addresses."""

import asyncio
import json
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(ROOT, "target", "release", "dotterelhoistd")
CONTROL, LINK, RELAY, FRONT, READY, ENGINE = 20001, 20002, 20007, 20003, 20004, 20008
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BOUNDS = {"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_timeout_ms": 4000,
          "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200,
          "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_stretch_ms": 5000,
          "fail_closed": "false", "revoke_ms": 5000, "retry_budget_ratio": 0.2,
          "budget_window_s": 10, "retry_budget_slack": 132, "recovery_s": 12, "pass_ms": 120,
          "retry_after_s": 0, "stall_ms": 4000, "enforce_fencing": "true", "ceiling_window_s": 5,
          "ceiling_overage": 1.1}


class CannotRun(Exception):
    """The case could not be brought about."""


class Record:
    """What was sent, answered and run, with the seconds since the start of the script."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def say(self, text):
        line = f"{time.monotonic() - self.started:8.3f} {text}"
        self.file.write(line + "\n")
        self.file.flush()
        print(line, flush=True)


class Lab:
    """One deployment on addresses of its own."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.say = self.record.say
        self.temp = tempfile.mkdtemp(prefix="review3-")
        self.net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self.daemons = {}
        self.controls = []
        self.engines = []
        self.cuts = Cuts()
        self.born = int(time.time() * 1000)

    def ip(self, last):
        return f"{self.net}.{last}"

    def start_daemon(self, ip, control, seeds, bootstrap, zone="za"):
        """Writes the settings file of a daemon and starts it with the command of the deploy file."""
        self.write_settings(ip, control, seeds, bootstrap, zone)
        self.launch(ip)
        if control and ip not in self.controls:
            self.controls.append(ip)

    def write_settings(self, ip, control, seeds, bootstrap, zone="za"):
        lines = [f"ip={ip}", f"zone={zone}", "region=r", f"zones.{zone}=r",
                 f"internal_ports={LINK},{RELAY}", "heartbeat_interval_ms=1200",
                 "seeds=" + ",".join(f"{seed}:{CONTROL}" for seed in seeds),
                 f"bootstrap={'true' if bootstrap else 'false'}",
                 "fault_tolerance.machines=1", "fault_tolerance.zones=1"]
        lines += [f"bounds.{name}={value}" for name, value in BOUNDS.items()]
        if control:
            lines += [f"listen.control={ip}:{CONTROL}", f"data_dir={self.temp}/data-{ip}"]
        else:
            lines += [f"listen.front={ip}:{FRONT}", f"listen.ready={ip}:{READY}"]
        with open(self.settings_path(ip), "w") as file:
            file.write("\n".join(lines) + "\n")

    def settings_path(self, ip):
        return os.path.join(self.temp, f"{ip}.conf")

    def launch(self, ip):
        env = {"PATH": os.environ.get("PATH", ""), "HOME": self.temp,
               "DOTTERELHOIST_NODE_FILE": self.settings_path(ip)}
        log = open(os.path.join(self.temp, f"{ip}.log"), "a")
        child = subprocess.Popen([PROGRAM, "platform"], env=env, cwd=ROOT, stdout=log, stderr=log,
                                 stdin=subprocess.DEVNULL)
        self.daemons[ip] = child

    def signal(self, ip, number):
        self.daemons[ip].send_signal(number)

    def kill(self, ip):
        self.daemons[ip].kill()
        self.daemons[ip].wait()

    def remove_control(self, ip):
        """Removes a machine for good."""
        self.kill(ip)
        self.controls.remove(ip)
        shutil.rmtree(f"{self.temp}/data-{ip}", ignore_errors=True)

    def log_of(self, ip):
        with open(os.path.join(self.temp, f"{ip}.log")) as file:
            return file.read()

    def close(self):
        for child in self.daemons.values():
            if child.poll() is None:
                child.send_signal(signal.SIGCONT)
                child.kill()
                child.wait()
        if os.environ.get("KEEP") == "1":
            print("kept", self.temp)
        else:
            shutil.rmtree(self.temp, ignore_errors=True)

    async def operate(self, method, path, body=None, tries=40):
        """A call of the operator: moves on to another daemon after a failure or a second."""
        data = b"" if body is None else json.dumps(body).encode()
        for attempt in range(tries):
            control = self.controls[attempt % len(self.controls)]
            answer = await exchange(control, CONTROL, method, path, {"Content-Type": "application/json"},
                                    data, timeout=1.0)
            if answer.status == 200:
                return answer.body
            if answer.status in (400, 409, 412, 413, 422):
                raise CannotRun(f"{method} {path} was answered {answer.status} {answer.body!r}")
            await asyncio.sleep(0.2)
        raise CannotRun(f"{method} {path} got no answer")

    async def put(self, document):
        await self.operate("POST", "/Config.Put", document)
        self.say(f"operator: version {document['version']} acknowledged")

    async def until(self, what, check, timeout=30.0):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            if await check():
                self.say(f"reached: {what}")
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"not reached in {timeout} s: {what}")

    async def is_ready(self, entry):
        answer = await exchange(entry, READY, "GET", "/ready", {}, b"", timeout=0.5)
        return answer.status == 200


class Answer:
    """What came back on a channel. `end` says how it ended: complete, closed, reset, late, refused."""

    def __init__(self, status=0, headers=None, body=b"", end="closed"):
        self.status, self.headers, self.body, self.end = status, headers or {}, body, end

    def __repr__(self):
        seal = "sealed" if "dotterelhoist-response-seal" in self.headers else "unsealed"
        return f"<{self.status} {seal} {self.end} {self.body[:60]!r}>"


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunks(reader, parts):
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return
        parts.append(data[:-2])


async def read_answer(reader, method):
    answer = Answer()
    parts = []
    try:
        line, answer.headers = await read_head(reader)
        answer.status = int(line.split()[1])
        if "transfer-encoding" in answer.headers:
            await read_chunks(reader, parts)
        elif method != "HEAD" and answer.status not in (204, 304):
            parts.append(await reader.readexactly(int(answer.headers.get("content-length", 0))))
        answer.end = "complete"
    except asyncio.IncompleteReadError as error:
        parts.append(error.partial)
        answer.end = "closed"
    except ValueError:
        answer.end = "closed"
    except (ConnectionError, OSError):
        answer.end = "reset"
    answer.body = b"".join(parts)
    return answer


def encode(method, path, headers, body):
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def exchange(host, port, method, path, headers, body, timeout):
    """One request on a new channel."""
    headers = {"Host": f"{host}:{port}", **headers}
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(host, port), min(timeout, 1.0))
        writer.write(encode(method, path, headers, body))
        return await asyncio.wait_for(read_answer(reader, method), timeout)
    except asyncio.TimeoutError:
        return Answer(end="late")
    except (ConnectionError, OSError):
        return Answer(end="refused")
    finally:
        if writer is not None:
            writer.close()


class Engine:
    """An engine of a plain service. `behave` is called with each request that it begins to run."""

    def __init__(self, lab, id, ip, service, zone="za", slots=6, behave=None):
        self.lab, self.id, self.ip, self.service, self.zone = lab, id, ip, service, zone
        self.slots, self.behave = slots, behave
        self.sequence, self.state, self.runs = 0, "ready", []
        self.born = lab.born + len(lab.engines)
        # Where it checks in: at one daemon until that fails, then at the next one.
        self.registry = None
        self.deregistered = False
        lab.engines.append(self)

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, ENGINE, limit=1 << 23)
        self.beating = asyncio.ensure_future(self.beat())

    async def beat(self):
        while True:
            await self.call_registry("Heartbeat")
            await asyncio.sleep(1.2)

    def check_in(self):
        return {**self.state_of_models(), "service": self.service, "address": f"{self.ip}:{ENGINE}",
                "zone": self.zone, "version": "v1", "slots": self.slots, "state": self.state,
                "cold_remaining_ms": 0, "sequence": self.sequence, "born": self.born}

    async def call_registry(self, verb):
        self.sequence += 1
        body = self.check_in()
        for control in list(self.registry or self.lab.controls):
            answer = await exchange(control, CONTROL, "POST", f"/Instances.{verb}/{self.id}",
                                    {"Content-Type": "application/json"}, json.dumps(body).encode(), 1.0)
            if 200 <= answer.status < 300:
                return control
            if self.registry:
                self.registry.append(self.registry.pop(0))
        return None

    def state_of_models(self):
        return {}

    def seal(self, headers):
        return f"{self.id}.{headers.get('dotterelhoist-request-id', '')}"

    async def serve(self, reader, writer):
        opener = self.lab.cuts.opened_by(writer) if self.lab.cuts.watched else None
        try:
            while True:
                line, headers = await read_head(reader)
                while opener in self.lab.cuts.cut:
                    await asyncio.sleep(0.2)
                method, path, _ = line.split(" ", 2)
                length = int(headers.get("content-length", 0))
                body = await reader.readexactly(length)
                if await self.answer(method, path, headers, body, reader, writer) is False:
                    break
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, OSError):
            pass
        finally:
            writer.close()

    async def answer(self, method, path, headers, body, reader, writer):
        if path == "/report":
            text = json.dumps({"stage": "both", "models": [], "busy": False, "sequence": 0, "waiting": 0,
                               "running": 0, "kv_used": 0, "kv_total": 0, "handles": 0,
                               "born": self.born, **self.state_of_models()})
            echo = headers.get("dotterelhoist-request-id")
            echo = f"Dotterelhoist-Request-Id: {echo}\r\n" if echo else ""
            writer.write(f"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n{echo}"
                         f"Dotterelhoist-Instance-Id: {self.id}\r\n"
                         f"Content-Length: {len(text)}\r\n\r\n{text}".encode())
            return "close" not in headers.get("connection", "")
        expected = headers.get("dotterelhoist-expect-instance", self.id)
        if expected != self.id:
            writer.write(f"HTTP/1.1 421 Misdirected Request\r\nDotterelhoist-Instance-Id: {self.id}\r\n"
                         "Content-Length: 0\r\n\r\n".encode())
            return True
        self.runs.append((time.monotonic(), method, path, headers, body))
        if self.behave is not None:
            return await self.behave(self, method, path, headers, body, reader, writer)
        self.lab.say(f"engine {self.id} ({self.service}) runs {headers.get('dotterelhoist-request-id')}")
        self.reply(writer, headers, f"run by {self.id}".encode())
        return True

    def reply(self, writer, headers, text, status="200 OK"):
        head = (f"HTTP/1.1 {status}\r\nDotterelhoist-Request-Id: {headers['dotterelhoist-request-id']}\r\n"
                f"Dotterelhoist-Response-Seal: {self.seal(headers)}\r\nContent-Length: {len(text)}\r\n\r\n")
        writer.write(head.encode() + text)


class ModelEngine(Engine):
    """An engine of a service with models, which carries out orders at once."""

    def __init__(self, lab, id, ip, service, domain, **more):
        super().__init__(lab, id, ip, service, slots=26, **more)
        self.domain, self.group, self.staged = domain, None, []
        self.seen_epoch = self.seen_fence = self.orders = 0

    def state_of_models(self):
        group = self.group and {name: self.group[name] for name in ("name", "epoch", "rank", "state")}
        return {"stage": "both", "models": [], "domain": self.domain, "staged": self.staged,
                "group": group or None}

    def order(self, order):
        if order.get("fencing_token", self.seen_fence) < self.seen_fence:
            return 412
        self.seen_fence = order.get("fencing_token", self.seen_fence)
        if order["op"] == "stage":
            self.staged = [order["model"]]
            return 200
        key = (order["group"], order["epoch"])
        if order["op"] == "join":
            if order["epoch"] < self.seen_epoch:
                return 412
            if self.group and (self.group["name"], self.group["epoch"]) == key:
                return 200 if self.group["members"] == order["members"] else 412
            self.seen_epoch = order["epoch"]
            self.staged = [order["model"]]
            self.group = {"name": key[0], "epoch": key[1], "members": order["members"],
                          "rank": order["members"].index(self.id), "state": "ready"}
        elif not self.group or (self.group["name"], self.group["epoch"]) != key:
            return 409
        elif order["op"] == "open":
            self.group["state"] = "open"
        elif order["op"] == "close":
            self.group["state"] = "ready"
        elif order["op"] == "leave":
            self.group = None
        else:
            return 400
        self.orders += 1
        return 200

    async def answer(self, method, path, headers, body, reader, writer):
        if path == "/order":
            status = self.order(json.loads(body))
            writer.write(f"HTTP/1.1 {status} Done\r\nContent-Length: 2\r\n\r\n{{}}".encode())
            asyncio.ensure_future(self.call_registry("Heartbeat"))
            return False
        if path != "/report" and not (self.group and self.group["rank"] == 0 and self.group["state"] == "open"):
            writer.write(f"HTTP/1.1 421 Misdirected Request\r\nDotterelhoist-Instance-Id: {self.id}\r\n"
                         "Content-Length: 0\r\n\r\n".encode())
            return True
        return await super().answer(method, path, headers, body, reader, writer)


class Cuts:
    """The network between daemons and engines: a connection that a daemon opened while it is cut off from
    the engines carries nothing. Which daemon opened one is looked up among the sockets of its process."""

    def __init__(self):
        self.watched, self.cut = set(), set()

    def opened_by(self, writer):
        """The process of `watched` that opened a connection, or none."""
        port = writer.get_extra_info("peername")[1]
        with open("/proc/net/tcp") as table:
            rows = [row.split() for row in table.readlines()[1:]]
        wanted = {f"socket:[{row[9]}]" for row in rows if row[1].endswith(f":{port:04X}")}
        for child in self.watched:
            folder = f"/proc/{child.pid}/fd"
            for name in os.listdir(folder):
                try:
                    if os.readlink(f"{folder}/{name}") in wanted:
                        return child
                except OSError:
                    pass
        return None


def route(name, prefix, service, kind="non_idempotent", attempts=1, timeout_ms=4000, **more):
    return {"name": name, "host": "lab.example", "path_prefix": prefix, "route_type": kind,
            "timeout_ms": timeout_ms, "target_latency_ms": 500, "priority": 1, "service": service,
            "attempts": attempts, "public": False, **more}


ENGINE_OF_MODEL = {
    "slots": 26, "models": [{"name": "model", "size": 1, "share": 1.0, "pace": 1.0, "load_s": 1.0, "warm_s": 0.1}],
    "step_ms": 6.0, "per_seq_ms": 0.2, "read_per_s": 46000.0, "loads_per_s": 40.0, "loads_at_once": 6,
    "usual": {"prompt": 1000, "answer": 100}}


def document(version, routes, services, keys):
    return {"version": version, "routes": routes,
            "services": [{"name": name, "health_path": "/health", "max_connections": 300, "protocol": "h1",
                          "tls": False} for name in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000},
            "tenants": [{"name": name, "api_keys": list(held)} for name, held in keys.items()]}


async def request(entry, id, path, key, method="POST", body=b"x", deadline_ms=3000, **more):
    headers = {"Host": "lab.example", "Dotterelhoist-Request-Id": id,
               "Dotterelhoist-Deadline-Ms": str(deadline_ms), "Authorization": f"Bearer {key}", **more}
    return await exchange(entry, FRONT, method, path, headers, body, deadline_ms / 1000 + 1)


def run(case, folder, limit_s=118):
    """Runs a case, which returns whether the rule was broken, and exits as the issue says."""
    lab = Lab(folder)

    async def main():
        return await asyncio.wait_for(case(lab), limit_s)

    code = 2
    try:
        broken = asyncio.run(main())
        code = 1 if broken else 0
        lab.say(f"result: {'the rule is broken' if broken else 'the rule held'}")
    except (Exception, SystemExit) as error:  # Whatever it is, it doesn't show that the rule was broken.
        code = 2
        lab.say(f"could not run: {error!r}")
    finally:
        lab.close()
    sys.exit(code)
