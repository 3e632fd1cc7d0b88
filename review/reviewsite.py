"""A small site on loopback addresses for the scripts of the cases.

Starts the project's own program as the deploy file does, with boot settings
made from the deploy templates and the bounds of the small deployment
dvsc-relay, and plays callers, engines, the operator and the platform with
asyncio. A case exits with 1 if the rule was broken, 0 if it held, and 2 if it
couldn't run.
"""
import asyncio
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
TIME_LIMIT_S = 112
BEAT_S = 1.2


class CannotRun(Exception):
    """The case couldn't be set up: exit status 2."""


# The template language of DEPLOY.md, as far as the deploy templates use it.
def lookup(scope, path):
    if path == ".":
        return scope[-1]["."]
    first, *rest = path.split(".")
    for level in reversed(scope):
        if first in level:
            value = level[first]
            break
    else:
        return None
    for part in rest:
        if isinstance(value, list) and part.isdigit():
            value = value[int(part)] if int(part) < len(value) else None
        elif isinstance(value, dict):
            value = value.get(part)
        else:
            return None
    return value


def text_of(value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value)


def render(template, scope):
    out = ""
    while True:
        tag = re.search(r"\{\{([#^]?)([^}]+)\}\}", template)
        if not tag:
            return out + template
        out += template[:tag.start()]
        kind, path = tag.groups()
        template = template[tag.end():]
        if not kind:
            out += text_of(lookup(scope, path))
            continue
        end = "{{/%s}}" % path
        inner, template = template.split(end, 1)
        value = lookup(scope, path)
        if kind == "^":
            out += render(inner, scope) if not value else ""
        elif isinstance(value, list):
            for i, item in enumerate(value):
                out += render(inner, scope + [{".": item, "@": i}])
        elif isinstance(value, dict):
            for name, item in value.items():
                out += render(inner, scope + [{".": item, "@": name}])
        elif value is not None and value is not False:
            out += render(inner, scope)


BOUNDS = {
    "grace_s": 8, "revoke_ms": 5000, "retry_budget_ratio": 0.2,
    "budget_window_s": 10, "retry_headroom": 54, "report_window_s": 5,
    "usage_delay_s": 10, "lease_ms": 3000,
}


class Head:
    def __init__(self, raw):
        lines = raw.decode("latin-1").split("\r\n")
        self.first = lines[0]
        self.fields = []
        for line in lines[1:]:
            if line:
                name, _, value = line.partition(":")
                self.fields.append((name.strip().lower(), value.strip()))

    def get(self, name, default=None):
        for field, value in self.fields:
            if field == name.lower():
                return value
        return default


async def read_head(reader):
    return Head((await reader.readuntil(b"\r\n\r\n"))[:-4])


async def read_body(head, reader):
    if head.get("transfer-encoding"):
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            if not size:
                return body
            body += piece[:-2]
    return await reader.readexactly(int(head.get("content-length", "0")))


class Engine:
    """An engine: checks in, answers, and notes what it runs."""

    def __init__(self, site, name, service, address, zone="hobart-a",
                 late_s=0.0, handler=None, slots=8, version="v1"):
        self.site = site
        self.id = name
        self.service = service
        self.ip, self.port = address
        self.zone = zone
        self.late_s = late_s
        self.handler = handler or plain_answer
        self.slots = slots
        self.version = version
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.ran = []
        self.turned_away = 0
        self.running = 0
        self.writers = set()
        self.tasks = []
        self.checked_in = asyncio.Event()

    @property
    def address(self):
        return "%s:%d" % (self.ip, self.port)

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, self.ip, self.port, limit=1 << 22)
        self.site.record("engine %s of %s serves at %s, born %d" %
                         (self.id, self.service, self.address, self.born))
        self.tasks.append(asyncio.create_task(self.beat()))
        return self

    def crash(self):
        """As a process that is killed: nothing is said to anybody."""
        self.site.record("engine %s at %s crashes" % (self.id, self.address))
        for task in self.tasks:
            task.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def registration(self):
        self.sequence += 1
        return {
            "service": self.service, "address": self.address,
            "zone": self.zone, "version": self.version, "slots": self.slots,
            "state": "ready", "cold_remaining_ms": 0, "phase": "unified",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "sequence": self.sequence, "born": self.born,
        }

    async def beat(self):
        if self.late_s:
            await asyncio.sleep(self.late_s)
        n = 0
        while True:
            body = json.dumps(self.registration()).encode()
            for control in self.site.rotated(n):
                status = await self.site.call(
                    control, "PUT", "/filberthall/instances/" + self.id,
                    body)
                if status == 200:
                    if not self.checked_in.is_set():
                        self.site.record("engine %s at %s: check-in %d is "
                                         "acknowledged" % (
                                             self.id, self.address,
                                             self.sequence))
                    self.checked_in.set()
                    break
            n += 1
            await asyncio.sleep(BEAT_S)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                body = await read_body(head, reader)
                if not await self.answer(head, body, writer):
                    break
        except (asyncio.IncompleteReadError, ConnectionError, OSError,
                asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, head, body, writer):
        method, path, _ = head.first.split(" ")
        request = head.get("filberthall-attempt-id")
        if path == "/healthz":
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
                         b"Filberthall-Instance-Id: " + self.id.encode() +
                         b"\r\n\r\n")
            await writer.drain()
            return True
        target = head.get("filberthall-target-instance")
        if target and target != self.id:
            self.turned_away += 1
            self.site.record("engine %s of %s turns %s %s away: meant for %s"
                             % (self.id, self.service, request, path, target))
            writer.write(("HTTP/1.1 421 Misdirected Request\r\n"
                          "Filberthall-Attempt-Id: %s\r\n"
                          "Filberthall-Not-Executed: 1\r\n"
                          "Content-Length: 0\r\n\r\n" % request).encode())
            await writer.drain()
            return True
        self.ran.append((request, path))
        self.site.record("engine %s of %s at %s runs %s %s %s, "
                         "Filberthall-Target-Instance: %s" %
                         (self.id, self.service, self.address, request,
                          method, path, target or "none"))
        self.running += 1
        try:
            return await self.handler(self, head, body, writer)
        finally:
            self.running -= 1

    def head_lines(self, request, status="200 OK"):
        return ("HTTP/1.1 %s\r\nFilberthall-Attempt-Id: %s\r\n"
                "Filberthall-Server-Signature: sig-%s-%s\r\n"
                "Filberthall-Server-Load: %d,0,%d\r\n"
                "Keep-Alive: timeout=5\r\n" % (
                    status, request, self.id, request, self.running,
                    self.slots))


async def plain_answer(engine, head, body, writer):
    request = head.get("filberthall-attempt-id")
    text = ("%s %s\n" % (engine.id, request)).encode()
    writer.write((engine.head_lines(request) + "Content-Length: %d\r\n\r\n" %
                  len(text)).encode() + text)
    await writer.drain()
    return True


class Answer:
    def __init__(self):
        self.status = None  # None: no head came
        self.head = None
        self.body = b""
        self.whole = False
        self.error = None
        self.took_s = 0.0


class Site:
    def __init__(self, case, entries=2):
        self.folder = os.path.dirname(os.path.abspath(case))
        self.work = tempfile.mkdtemp(prefix="review-")
        self.started = time.monotonic()
        self.out = open(os.path.join(self.folder, "record.txt"), "w")
        pid = os.getpid()
        self.net = "127.%d.%d" % (1 + pid % 250, pid // 250 % 250)
        self.ports = {}
        self.entries = entries
        self.processes = {}
        self.engines = []
        self.request_number = 0
        self.platform_calls = []
        self.record("trouble: %s" % ("yes" if TROUBLE else "no"))

    def record(self, line):
        self.out.write("%8.3f %s\n" % (time.monotonic() - self.started, line))
        self.out.flush()

    # Addresses
    def free_port(self):
        while True:
            probe = socket.socket()
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
            probe.close()
            if port not in self.ports.values():
                return port

    def choose_ports(self):
        for name in ("operators", "links", "callers", "ready", "platform"):
            self.ports[name] = self.free_port()

    def control_address(self, n):
        return ("%s.%d" % (self.net, n), self.ports["operators"])

    def entry_address(self, n, port="callers"):
        return ("%s.%d" % (self.net, 100 + n), self.ports[port])

    def engine_address(self, n):
        """Of the n-th engine address; each has a port of its own."""
        return ("%s.%d" % (self.net, 200 + n),
                self.ports.setdefault("engine%d" % n, self.free_port()))

    def rotated(self, n):
        all_of_them = [self.control_address(i) for i in range(1, 6)]
        n %= 5
        return all_of_them[n:] + all_of_them[:n]

    # The project's processes
    def fields(self, role, n):
        ip = "%s.%d" % (self.net, n if role == "control" else 100 + n)
        zones = ["hobart-a", "hobart-b", "newnorfolk", "huonville"]
        folder = os.path.join(self.work, "%s-%d" % (role, n))
        os.makedirs(folder, exist_ok=True)
        return {
            "node_name": "%s-%d" % (role, n), "zone": zones[n % 4],
            "region": "tas-south",
            "zones": {zone: "tas-south" for zone in zones},
            "ip": ip, "port_range": [self.ports["links"],
                                     self.ports["links"]],
            "listen": {
                "frontend": "%s:%d" % (ip, self.ports["callers"]),
                "ready": "%s:%d" % (ip, self.ports["ready"]),
                "control_plane": "%s:%d" % (ip, self.ports["operators"]),
            },
            "seeds": ["%s.%d:%d" % (self.net, i, self.ports["operators"])
                      for i in (1, 2, 3)],
            "data_dir": os.path.join(folder, "data"),
            "bootstrap": True,
            "cloud_api": {"address": "%s.250:%d" % (
                self.net, self.ports["platform"])},
            "fault_tolerance": {"nodes": 2},
            "heartbeat_ms": 1200,
            "bounds": BOUNDS,
        }

    def start_process(self, role, n):
        name = "%s-%d" % (role, n)
        fields = self.fields(role, n)
        os.makedirs(fields["data_dir"], exist_ok=True)
        with open(os.path.join(ROOT, "deploy", role + ".yaml")) as template:
            text = render(template.read(), [fields])
        # The metrics' port is fixed in the template; another run's may be
        # the same address.
        text = re.sub(r"\n  metrics: .*", "", text)
        path = os.path.join(self.work, name, "boot.conf")
        with open(path, "w") as out:
            out.write(text)
        log = open(os.path.join(self.work, name, "log"), "a")
        program = os.path.join(ROOT, "target/bin/filberthalld")
        if not os.path.exists(program):
            raise CannotRun("the deploy file's build hasn't been run")
        self.processes[name] = subprocess.Popen(
            [program, "--settings", path], stdout=log, stderr=log, cwd=ROOT)
        log.close()
        self.record("%s is started, process %d" % (
            name, self.processes[name].pid))

    def signal(self, name, number):
        self.record("%s gets %s" % (name, signal.Signals(number).name))
        self.processes[name].send_signal(number)

    def log_of(self, name):
        with open(os.path.join(self.work, name, "log")) as text:
            return text.read()

    # The platform and the operator
    async def platform(self, reader, writer):
        try:
            head = await read_head(reader)
            body = await read_body(head, reader)
            self.platform_calls.append((head, body))
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
                         b"Connection: close\r\n\r\n")
            await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        writer.close()

    async def call(self, address, method, path, body=b"", timeout_s=1.0):
        """A call to a control VM; its status, or None."""
        try:
            return await asyncio.wait_for(
                self.call_once(address, method, path, body), timeout_s)
        except (asyncio.TimeoutError, OSError, ValueError, IndexError,
                asyncio.IncompleteReadError):
            return None

    async def call_once(self, address, method, path, body, hops=2):
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(("%s %s HTTP/1.1\r\nHost: %s:%d\r\n"
                          "Content-Type: application/json\r\n"
                          "Content-Length: %d\r\nConnection: close\r\n\r\n" %
                          (method, path, *address, len(body))).encode() +
                         body)
            head = await read_head(reader)
            status = int(head.first.split(" ")[1])
        finally:
            writer.close()
        place = head.get("location")
        if status == 307 and place and hops:
            ip, port = place.split("/")[2].split(":")
            return await self.call_once((ip, int(port)), method, path, body,
                                        hops - 1)
        return status

    async def put_config(self, config, timeout_s=20):
        body = json.dumps(config).encode()
        until = time.monotonic() + timeout_s
        n = 0
        while time.monotonic() < until:
            status = await self.call(self.rotated(n)[0], "PUT",
                                     "/filberthall/config", body)
            if status == 200:
                self.record("config %d is acknowledged" % config["version"])
                return
            n += 1
            await asyncio.sleep(0.1)
        raise CannotRun("no config was acknowledged")

    async def ready(self, n):
        return await self.call(self.entry_address(n, "ready"), "GET",
                               "/filberthall/readyz") == 200

    async def wait_for(self, what, condition, timeout_s=20):
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            if await condition():
                return
            await asyncio.sleep(0.05)
        raise CannotRun(what)

    async def open(self, config):
        self.choose_ports()
        self.platform_server = await asyncio.start_server(
            self.platform, "%s.250" % self.net, self.ports["platform"])
        for n in (5, 4, 3, 2, 1):
            self.start_process("control", n)
        for n in range(1, self.entries + 1):
            self.start_process("entry", n)
        await self.put_config(config)

    async def all_ready(self):
        for n in range(1, self.entries + 1):
            await self.wait_for("entry VM %d isn't ready" % n,
                                lambda n=n: self.ready(n))

    async def engine(self, *args, **named):
        engine = await Engine(self, *args, **named).start()
        self.engines.append(engine)
        return engine

    # Callers
    def request_head(self, method, path, limit_ms, more=(), length=0):
        self.request_number += 1
        request = "%08x%08x" % (os.getpid(), self.request_number)
        lines = ["%s %s HTTP/1.1" % (method, path), "Host: " + HOST,
                 "Filberthall-Attempt-Id: " + request,
                 "Filberthall-Deadline-Ms: %d" % limit_ms,
                 "Authorization: Bearer " + KEY]
        lines += more
        if length or method != "GET":
            lines.append("Content-Length: %d" % length)
        return request, ("\r\n".join(lines) + "\r\n\r\n").encode()

    async def ask(self, n, method, path, limit_ms=4000, body=b"", more=()):
        """One request on a connection of its own."""
        request, head = self.request_head(method, path, limit_ms, more,
                                          len(body))
        answer = Answer()
        begun = time.monotonic()
        self.record("caller sends %s %s %s to entry-%d" %
                    (request, method, path, n))
        try:
            await asyncio.wait_for(
                self.ask_once(n, head + body, answer), limit_ms / 1000)
        except asyncio.TimeoutError:
            answer.error = "time limit"
        except (OSError, asyncio.IncompleteReadError, ValueError) as error:
            answer.error = type(error).__name__
        answer.took_s = time.monotonic() - begun
        self.record("caller of %s gets %s, %d bytes, %s, after %.3f s" % (
            request, answer.status, len(answer.body),
            "whole" if answer.whole else "not whole (%s)" % answer.error,
            answer.took_s))
        answer.request = request
        return answer

    async def ask_once(self, n, text, answer):
        reader, writer = await asyncio.open_connection(
            *self.entry_address(n), limit=1 << 22)
        try:
            writer.write(text)
            answer.head = await read_head(reader)
            answer.status = int(answer.head.first.split(" ")[1])
            if answer.head.get("transfer-encoding"):
                while True:
                    size = int((await reader.readuntil(b"\r\n")), 16)
                    piece = await reader.readexactly(size + 2)
                    if not size:
                        break
                    answer.body += piece[:-2]
            else:
                answer.body = await reader.readexactly(
                    int(answer.head.get("content-length", "0")))
            answer.whole = True
        finally:
            writer.close()

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.work, keep, dirs_exist_ok=True)
        shutil.rmtree(self.work, ignore_errors=True)
        self.out.close()


def route(name, prefix, kind, service, timeout_ms=4000, **more):
    made = {"name": name, "host": HOST, "path_prefix": prefix, "type": kind,
            "timeout_ms": timeout_ms, "latency_goal_ms": 300, "priority": 1,
            "service": service, "max_attempts": 2, "public": False,
            "sticky": False, "resumable": False}
    made.update(more)
    return made


def config(version, routes, services):
    return {
        "version": version, "routes": routes,
        "services": [{"name": name, "health_path": "/healthz",
                      "max_conns": 100, "protocol": "h1", "tls": False}
                     for name in services],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
    }


def play(case, scene, entries=2):
    """Runs a scene: it returns a line that says how the rule was broken."""
    site = Site(case, entries)
    status = 2

    def stop(number, frame):
        raise CannotRun("ended by signal %d" % number)

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    try:
        broken = asyncio.run(asyncio.wait_for(scene(site), TIME_LIMIT_S))
        status = 1 if broken else 0
        site.record("result: %s" % (broken or "the rule held"))
        print(broken or "the rule held")
    except (CannotRun, asyncio.TimeoutError) as error:
        site.record("result: couldn't run: %s" % (error or "time limit"))
        print("couldn't run: %s" % (error or "time limit"))
    finally:
        site.close()
    sys.exit(status)
