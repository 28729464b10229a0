"""Stand-ins for the platform around the project's own daemons: engines, an operator and requesters.

They speak what PROTOCOL.md says, over loopback addresses and the real clock. Only Python's own
library is used.
"""

import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import traceback

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), ".."))
DAEMON = os.path.join(ROOT, "target", "release", "dotterelhoistd")
# Ports of the daemons, the same on each of their addresses; [`Lab`] chooses free ones.
CONTROL, LINKS, FRONT, READY, RELAY = 20001, 20002, 20003, 20004, 20005
METRICS = 9464
ZONES = ["z-a", "z-b", "z-c"]
# The bounds of the example settings on the users' pages (`fleetbench wire`).
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_timeout_ms": 4000, "catch_up_s": 4,
    "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000,
    "rollback_slack_ms": 250, "max_stretch_ms": 5000, "fail_closed": "false", "revoke_ms": 5000,
    "retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_budget_slack": 132, "recovery_s": 12,
    "pass_ms": 120, "retry_after_s": 0, "stall_ms": 4000, "enforce_fencing": "true",
    "ceiling_window_s": 5, "ceiling_overage": 1.1,
}
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be set up; exit code 2."""


class Record:
    """record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = time.monotonic()
        self.lock = threading.Lock()

    def write(self, text):
        with self.lock:
            self.file.write("%8.3f %s\n" % (time.monotonic() - self.start, text))
            self.file.flush()


def read_head(stream):
    """Start line, headers (names in lower case) and body of a message; None at the end."""
    line = stream.readline(65536)
    if not line.strip():
        return None
    headers = {}
    while True:
        header = stream.readline(65536)
        if header in (b"\r\n", b"\n"):
            break
        if not header:
            return None
        name, _, value = header.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    return line.decode("latin-1").strip(), headers


def read_body(stream, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int(stream.readline().split(b";")[0].strip() or b"0", 16)
            part = stream.read(size)
            if len(part) < size:
                raise EOFError("cut in a chunk")
            body += part
            stream.readline()
            if size == 0:
                return body
    length = int(headers.get("content-length", 0))
    body = stream.read(length)
    if len(body) < length:
        raise EOFError("cut in the body")
    return body


def call(address, method, path, headers=None, body=b"", timeout=5.0):
    """One request on a new channel. Status, headers and body; status None if there is no complete
    answer."""
    try:
        with socket.create_connection(address, timeout=min(timeout, 1.0)) as channel:
            channel.settimeout(timeout)
            lines = ["%s %s HTTP/1.1" % (method, path)]
            fields = {"Host": "%s:%d" % address}
            fields.update(headers or {})
            if body or method == "POST":
                fields["Content-Length"] = len(body)
            lines += ["%s: %s" % field for field in fields.items()]
            channel.sendall(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
            stream = channel.makefile("rb")
            head = read_head(stream)
            if head is None:
                return None, {}, b""
            status = int(head[0].split()[1])
            return status, head[1], read_body(stream, head[1])
    except (OSError, EOFError, ValueError, IndexError):
        return None, {}, b""


def is_free(ip, port):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((ip, port))
            return True
        except OSError:
            return False


class Lab:
    """Three control daemons and some entry daemons, each a separate process with a settings file."""

    def __init__(self, folder, entries=3, controls=3):
        self.record = Record(os.path.join(folder, "record.txt"))
        if not os.path.exists(DAEMON):
            raise CannotRun("build the project first: " + "target/release/dotterelhoistd")
        self.temp = tempfile.mkdtemp(prefix="review-")
        net = "127.%d.%d" % (random.randint(20, 250), random.randint(1, 250))
        self.control_ips = ["%s.%d" % (net, 11 + n) for n in range(controls)]
        self.entry_ips = ["%s.%d" % (net, 31 + n) for n in range(entries)]
        self.engine_ips = ["%s.%d" % (net, 101 + n) for n in range(60)]
        self.processes = {}
        self.choose_ports()

    def choose_ports(self):
        """Chooses five ports that are free on all addresses, below the ephemeral ones."""
        global CONTROL, LINKS, FRONT, READY, RELAY
        ips = self.control_ips + self.entry_ips
        for _ in range(50):
            first = random.randint(20000, 32000)
            if all(is_free(ip, port) for ip in ips for port in range(first, first + 5)):
                CONTROL, LINKS, FRONT, READY, RELAY = range(first, first + 5)
                break
        else:
            raise CannotRun("no free ports")
        if not all(is_free(ip, METRICS) for ip in ips):
            raise CannotRun("the port for metrics is in use")

    def settings(self, ip, zone, bootstrap, control, extra=None):
        fields = {
            "ip": ip, "zone": zone, "region": "r", "internal_ports": "%d,%d" % (LINKS, RELAY),
            "seeds": ",".join("%s:%d" % (seed, CONTROL) for seed in self.control_ips[:3]),
            "bootstrap": "true" if bootstrap else "false",
            "in_tolerance": "true" if control else "false",
            "heartbeat_interval_ms": 1200, "fault_tolerance.machines": 1,
            "fault_tolerance.zones": 1, "fault_tolerance.regions": 0,
        }
        fields.update({"bounds." + name: value for name, value in BOUNDS.items()})
        if control:
            fields["listen.control"] = "%s:%d" % (ip, CONTROL)
            fields["data_dir"] = os.path.join(self.temp, "data-" + ip)
        else:
            fields["listen.front"] = "%s:%d" % (ip, FRONT)
            fields["listen.ready"] = "%s:%d" % (ip, READY)
        fields.update(extra or {})
        return "".join("%s=%s\n" % field for field in fields.items())

    def start(self, ip, bootstrap=False, extra=None):
        control = ip in self.control_ips
        index = (self.control_ips if control else self.entry_ips).index(ip)
        path = os.path.join(self.temp, ip + ".conf")
        with open(path, "w") as file:
            file.write(self.settings(ip, ZONES[index % 3], bootstrap, control, extra))
        log = open(os.path.join(self.temp, ip + ".log"), "a")
        environment = {
            "DOTTERELHOIST_NODE_FILE": path, "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/"), "LANG": os.environ.get("LANG", "C"),
        }
        process = subprocess.Popen([DAEMON, "platform"], cwd=ROOT, env=environment, stdout=log,
                                   stderr=log)
        self.processes[ip] = process
        self.record.write("start %s pid=%d bootstrap=%s" % (ip, process.pid, bootstrap))

    def start_all(self):
        for ip in self.control_ips + self.entry_ips:
            self.start(ip, bootstrap=True)

    def signal(self, ip, number):
        self.record.write("signal %s %s" % (ip, signal.Signals(number).name))
        self.processes[ip].send_signal(number)
        if number == signal.SIGKILL:
            self.processes[ip].wait()

    def log_of(self, ip):
        with open(os.path.join(self.temp, ip + ".log")) as file:
            return file.read()

    def put(self, ip, document, timeout=1.0, quiet=False):
        body = document if isinstance(document, bytes) else json.dumps(document).encode()
        status, _, _ = call((ip, CONTROL), "POST", "/Config.Put",
                            {"Content-Type": "application/json"}, body, timeout)
        if not quiet:
            version = "?" if isinstance(document, bytes) else document["version"]
            self.record.write("operator put version=%s at %s -> %s" % (version, ip, status))
        return status

    def get(self, ip, timeout=1.0):
        status, _, body = call((ip, CONTROL), "GET", "/Config.Get", timeout=timeout)
        version = None
        try:
            version = json.loads(body)["version"]
        except (ValueError, KeyError, TypeError):
            pass
        self.record.write("operator get at %s -> %s version=%s bytes=%d"
                          % (ip, status, version, len(body)))
        return status, version, body

    def put_until_accepted(self, document, seconds=20):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for ip in self.control_ips:
                if self.put(ip, document) == 200:
                    return ip
            time.sleep(0.2)
        raise CannotRun("the config was not accepted")

    def wait_ready(self, seconds=20):
        end = time.monotonic() + seconds
        for ip in self.entry_ips:
            while call((ip, READY), "GET", "/ready", timeout=1.0)[0] != 200:
                if time.monotonic() > end:
                    raise CannotRun("%s is not ready" % ip)
                time.sleep(0.1)
        self.record.write("all entry daemons are ready")

    def leader(self):
        """Control daemon that has last logged that it was elected."""
        best = None
        for ip in self.control_ips:
            for line in self.log_of(ip).splitlines():
                try:
                    event = json.loads(line)
                except ValueError:
                    continue
                if event.get("event") == "leader elected":
                    term = int(str(event.get("detail", "term=0")).split("term=")[1].split()[0])
                    if best is None or term > best[0]:
                        best = (term, ip)
        return best[1] if best else None

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                for number in (signal.SIGCONT, signal.SIGKILL):
                    try:
                        process.send_signal(number)
                    except OSError:
                        pass
        for process in self.processes.values():
            process.wait()
        if os.environ.get("KEEP"):
            print("kept", self.temp)
        else:
            shutil.rmtree(self.temp, ignore_errors=True)


class Engine:
    """A plain service instance: registers itself by check-ins and runs requests."""

    def __init__(self, lab, number, service, zone, slots=6, work_s=0.03, health="/health"):
        self.lab, self.record = lab, lab.record
        self.id = "i-%08x" % random.getrandbits(32)
        self.ip, self.port = lab.engine_ips[number], 8080
        self.service, self.zone, self.slots, self.work_s = service, zone, slots, work_s
        self.state, self.sequence = "ready", 0
        self.born = int(time.time() * 1000)
        self.runs, self.lock = [], threading.Lock()
        self.running = 0
        self.alive, self.beating = True, True
        self.channels = set()
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((self.ip, self.port))
        self.listener.listen(128)
        threading.Thread(target=self.accept, daemon=True).start()
        threading.Thread(target=self.beat, daemon=True).start()

    # Check-ins.

    def checkin_body(self):
        with self.lock:
            self.sequence += 1
            sequence = self.sequence
        body = {
            "service": self.service, "address": "%s:%d" % (self.ip, self.port), "zone": self.zone,
            "version": "v1", "slots": self.slots, "state": self.state, "cold_remaining_ms": 0,
            "stage": "both", "models": [], "sequence": sequence, "born": self.born,
        }
        return sequence, json.dumps(body).encode()

    def send_checkin(self, ip, sequence, body, timeout=1.0):
        status, _, _ = call((ip, CONTROL), "POST", "/Instances.Heartbeat/" + self.id,
                            {"Content-Type": "application/json"}, body, timeout)
        self.record.write("engine %s check-in sequence=%d arrives at %s -> %s"
                          % (self.id, sequence, ip, status))
        return status

    def checkin(self):
        for ip in random.sample(self.lab.control_ips, len(self.lab.control_ips)):
            sequence, body = self.checkin_body()
            status = self.send_checkin(ip, sequence, body)
            if status is not None and 200 <= status < 300:
                return

    def beat(self):
        while self.alive:
            if self.beating:
                self.checkin()
            time.sleep(1.2)

    def deregister(self, ip):
        status, _, _ = call((ip, CONTROL), "POST", "/Instances.Deregister/" + self.id, timeout=1.0)
        self.record.write("engine %s deregisters at %s -> %s" % (self.id, ip, status))
        return status

    # Requests.

    def accept(self):
        while self.alive:
            try:
                channel, _ = self.listener.accept()
            except OSError:
                return
            self.channels.add(channel)
            threading.Thread(target=self.serve, args=(channel,), daemon=True).start()

    def serve(self, channel):
        try:
            channel.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            stream = channel.makefile("rb")
            extra = b""
            while self.alive:
                head = read_head(stream)
                if head is None:
                    break
                body = read_body(stream, head[1])
                method, target, _ = head[0].split()
                if extra:
                    self.record.write("engine %s sends additional bytes" % self.id)
                    channel.sendall(extra)
                reply = self.respond(method, target, head[1], body)
                channel.sendall(reply)
                extra = self.after(reply)
        except (OSError, EOFError, ValueError):
            pass
        finally:
            self.channels.discard(channel)
            channel.close()

    def respond(self, method, target, headers, body):
        expected = headers.get("dotterelhoist-expect-instance")
        if expected not in (None, self.id):
            return answer(421, {"Dotterelhoist-Instance-Id": self.id, "Dotterelhoist-Not-Run": 1}, b"")
        if target.startswith("/health"):
            return answer(200 if self.state == "ready" else 503,
                          {"Dotterelhoist-Instance-Id": self.id}, b"")
        if target.startswith("/report"):
            report = {"stage": "both", "models": [], "busy": False, "sequence": 0, "waiting": 0,
                      "running": self.running, "kv_used": 0, "kv_total": 0, "handles": 0,
                      "born": self.born}
            return answer(200, {"Content-Type": "application/json"}, json.dumps(report).encode())
        request = headers.get("dotterelhoist-request-id", "")
        with self.lock:
            self.runs.append((time.monotonic(), request))
            self.running += 1
        self.record.write("engine %s runs request %s" % (self.id, request))
        time.sleep(self.work_s)
        with self.lock:
            self.running -= 1
        load = "%d,0,%d" % (self.running, self.slots)
        return answer(200, {
            "Dotterelhoist-Request-Id": request, "Dotterelhoist-Response-Seal": "seal." + request,
            "Dotterelhoist-Server-Load": load, "Content-Type": "text/plain",
        }, ("ran %s at %s\n" % (request, self.id)).encode())

    def after(self, reply):
        """Bytes that a faulty engine sends after a complete answer, late."""
        return b""

    def exit(self):
        """Ends like a process: the listener and all channels close."""
        self.alive = self.beating = False
        self.record.write("engine %s exits with %d running" % (self.id, self.running))
        self.listener.close()
        for channel in list(self.channels):
            try:
                channel.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class GroupEngine(Engine):
    """A model engine: it carries out orders, and the head of an open group runs requests."""

    STALL_S = BOUNDS["stall_ms"] / 1000.0
    FORM_S = 0.3

    def __init__(self, lab, number, service, zone, fleet, domain, load_s=1.0, warm_s=0.3):
        self.fleet, self.domain, self.load_s, self.warm_s = fleet, domain, load_s, warm_s
        self.group, self.epoch_seen, self.fence, self.orders = None, 0, 0, 0
        self.staged, self.last_model, self.broken_rules = [], None, []
        # Says for an order how many seconds later it is carried out, without an answer; None for
        # at once.
        self.late_s = lambda order: None
        fleet[:] = fleet + [self]
        super().__init__(lab, number, service, zone, slots=26, work_s=0.2)

    def details(self):
        details = {"domain": self.domain, "staged": self.staged}
        group = self.group
        if group is not None:
            details["group"] = {name: group[name] for name in ("name", "epoch", "rank", "state")}
        return details

    def checkin_body(self):
        sequence, body = super().checkin_body()
        body = json.loads(body)
        body.update(self.details())
        return sequence, json.dumps(body).encode()

    def respond(self, method, target, headers, body):
        if headers.get("dotterelhoist-expect-instance") in (None, self.id):
            if target.startswith("/order"):
                order = json.loads(body)
                late_s = self.late_s(order)
                if late_s is not None:
                    self.record.write("engine %s leaves order %s of group %s unanswered and carries "
                                      "it out %.1f s later"
                                      % (self.id, order["op"], order.get("group"), late_s))
                    threading.Timer(late_s, self.order, (order,)).start()
                    raise EOFError("no answer")
                status = self.order(order)
                return answer(status, {"Content-Type": "application/json"}, b"{}")
            if target.startswith("/report"):
                report = {"stage": "both", "models": [], "busy": False, "sequence": self.orders,
                          "waiting": 0, "running": self.running, "kv_used": 0, "kv_total": 1400000,
                          "handles": 0, "born": self.born}
                report.update(self.details())
                return answer(200, {"Content-Type": "application/json"},
                              json.dumps(report).encode())
            if not target.startswith("/health"):
                refusal = self.refusal()
                if refusal:
                    return answer(refusal, {"Dotterelhoist-Not-Run": 1, "Dotterelhoist-Request-Id":
                                            headers.get("dotterelhoist-request-id", "")}, b"")
        return super().respond(method, target, headers, body)

    def refusal(self):
        """Status with which a request is turned away, if it is."""
        group = self.group
        if group is None or group["rank"] != 0 or group["state"] in ("joining", "ready"):
            return 421
        return 503 if group["state"] in ("broken", "closing") else None

    def head_of(self, group):
        return next((other for other in self.fleet if other.id == group["members"][0]), None)

    def order(self, order):
        status = self.carry_out(order)
        kept = {name: value for name, value in order.items() if name != "fencing_token"}
        self.record.write("engine %s order %s -> %d" % (self.id, json.dumps(kept), status))
        if status == 202 or status == 200:
            threading.Thread(target=self.checkin, daemon=True).start()
        return status

    def carry_out(self, order):
        with self.lock:
            token = order.get("fencing_token", self.fence)
            if token < self.fence:
                return 412
            self.fence = token
            op, group = order["op"], self.group
            if op == "stage":
                self.staged = [order["model"]]
                self.orders += 1
                return 202
            mine = group is not None and (group["name"], group["epoch"]) == (
                order["group"], order["epoch"])
            if op == "join":
                return self.join(order, mine)
            if not mine:
                return 409
            if op == "leave":
                self.group = None
                self.orders += 1
                self.member_changed(group)
                return 200
            if op == "open":
                if group["rank"] != 0 or group["state"] not in ("ready", "open"):
                    return 409
                if group["state"] == "open":
                    return 200
                threading.Timer(self.FORM_S, self.change_state, (group, "ready", "open")).start()
            elif op == "close":
                if group["state"] == "open":
                    group["state"] = "closing"
                    threading.Timer(0.3, self.change_state, (group, "closing", "ready")).start()
                else:
                    return 200
            else:
                return 400
            self.orders += 1
            return 202

    def join(self, order, mine):
        if order["epoch"] < self.epoch_seen:
            return 412
        if mine:
            return 200 if self.group["members"] == order["members"] else 412
        before = self.group
        if before is not None:
            self.check_two(before, order)
            self.member_changed(before)
        self.epoch_seen = order["epoch"]
        group = {"name": order["group"], "epoch": order["epoch"], "state": "joining",
                 "members": order["members"], "rank": order["members"].index(self.id)}
        self.group = group
        model = order["model"]
        wait = self.load_s
        if model == self.last_model:
            wait = 0.2
        elif model in self.staged:
            wait = self.warm_s
        self.last_model, self.staged = model, [model]
        threading.Timer(wait, self.change_state, (group, "joining", "ready")).start()
        self.orders += 1
        return 202

    def check_two(self, before, order):
        """Rule TWO: a join of another group while the head of the engine's group is open or closing,
        or stands still and isn't yet broken."""
        head = self.head_of(before)
        theirs = head.group if head is not None and head.alive else None
        if theirs is None or (theirs["name"], theirs["epoch"]) != (before["name"], before["epoch"]):
            return
        if theirs["state"] in ("open", "closing"):
            text = ("engine %s takes a join of group %s epoch %d, while the head %s of its group %s "
                    "epoch %d is %s" % (self.id, order["group"], order["epoch"], head.id,
                                        before["name"], before["epoch"], theirs["state"]))
            self.broken_rules.append(text)
            self.record.write("TWO: " + text)

    def member_changed(self, group):
        """A member has left or joined again: the head stands still, and is then broken."""
        head = self.head_of(group)
        if head is not None and head is not self:
            theirs = head.group
            if theirs is not None and theirs["name"] == group["name"]:
                for state in ("open", "closing"):
                    threading.Timer(self.STALL_S, head.change_state,
                                    (theirs, state, "broken")).start()

    def change_state(self, group, before, after):
        if self.group is group and group["state"] == before and self.alive:
            group["state"] = after
            self.record.write("engine %s is %s in group %s epoch %d"
                              % (self.id, after, group["name"], group["epoch"]))
            self.checkin()


def answer(status, headers, body):
    lines = ["HTTP/1.1 %d %s" % (status, "OK" if status == 200 else "Answer")]
    lines += ["%s: %s" % field for field in headers.items()]
    lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


HOST, KEY, TENANT = "desk.example", "key-of-a-tenant-0001", "tenant-a"


def model_service(name, models):
    """A service of model engines; `models` are (name, size)."""
    return {
        "name": name, "health_path": "/health", "max_connections": 304, "protocol": "h1",
        "tls": False, "engine": {
            "slots": 26, "kv_capacity_tokens": 1400000, "kv_token_bytes": 35136,
            "link_mbps": 400000.0, "stride": 5,
            "models": [{"name": model, "size": size, "share": 1.0 / len(models), "pace": 1.0,
                        "load_s": 1.0, "warm_s": 0.3} for model, size in models],
            "step_ms": 6.07, "per_seq_ms": 0.241, "context_per_k": 0.00488, "read_per_s": 46000.0,
            "pairs_per_m": 0.7, "chunk": 2048, "report_lag_ms": 200.0, "loads_per_s": 4.0,
            "loads_at_once": 6, "delays": [], "usual": {"prompt": 1076, "answer": 116}, "keeps": 1,
            "far_x": 2.5, "form_ms": 300.0,
        },
    }


def document(version, routes, services, keys=(KEY,), more_services=()):
    """A complete config. `routes` are (name, prefix, kind, service, more)."""
    listed = []
    for name, prefix, kind, service, more in routes:
        route = {
            "name": name, "host": HOST, "path_prefix": prefix, "route_type": kind,
            "timeout_ms": 1500, "target_latency_ms": 150, "priority": 1, "service": service,
            "attempts": 2 if kind == "idempotent" else 1, "public": False, "sticky": False,
            "resumable": False,
        }
        route.update(more)
        listed.append(route)
    return {
        "version": version, "routes": listed,
        "services": [{"name": name, "health_path": "/health", "max_connections": 100,
                      "protocol": "h1", "tls": False} for name in services] + list(more_services),
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": TENANT, "api_keys": list(keys), "priority": 1}],
    }


class Requesters:
    """Requesters that each send one request after the other on new channels, and count answers."""

    def __init__(self, lab, path, method="POST", per_s=20.0, deadline_ms=1500, threads=4,
                 headers=None):
        self.headers = headers or {}
        self.lab, self.path, self.method, self.deadline_ms = lab, path, method, deadline_ms
        self.pause, self.answers, self.lock = threads / per_s, [], threading.Lock()
        self.going = True
        self.threads = [threading.Thread(target=self.run, daemon=True) for _ in range(threads)]
        for thread in self.threads:
            thread.start()

    def run(self):
        while self.going:
            began = time.monotonic()
            request = "%016x" % random.getrandbits(64)
            ip = random.choice(self.lab.entry_ips)
            status, headers, body = call((ip, FRONT), self.method, self.path, {
                "Host": HOST, "Authorization": "Bearer " + KEY, "Dotterelhoist-Request-Id": request,
                "Dotterelhoist-Deadline-Ms": self.deadline_ms, **self.headers,
            }, b"x" if self.method == "POST" else b"", self.deadline_ms / 1000.0 + 0.7)
            with self.lock:
                self.answers.append((began, request, ip, status))
            self.lab.record.write("request %s at %s -> %s" % (request, ip, status))
            time.sleep(max(0.0, self.pause - (time.monotonic() - began)))

    def stop(self):
        self.going = False
        for thread in self.threads:
            thread.join()


def main(folder, case):
    """Runs a case: 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    lab = None

    def stop(number, frame):
        raise CannotRun("the case took too long")

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    try:
        lab = Lab(folder)
        broken = case(lab)
        lab.record.write("RULE BROKEN" if broken else "RULE HELD")
        print("broken" if broken else "held")
        return 1 if broken else 0
    except CannotRun as reason:
        print("can't run:", reason)
        return 2
    except Exception:
        traceback.print_exc()
        return 2
    finally:
        if lab is not None:
            lab.close()
