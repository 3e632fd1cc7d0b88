"""A small site of the project's own processes on loopback addresses.

Control and entry daemons are started with the command of deploy/system.toml
and with settings filled in from its templates. Engines, requesters, the
operator and the platform are stand-ins of this file; they follow the users'
pages. Standard library only.
"""
import json
import os
import random
import re
import shutil
import signal
import socket
import socketserver
import subprocess
import sys
import tempfile
import threading
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
DAEMON = os.path.join(ROOT, "target", "bin", "filberthalld")
ID = "Filberthall-Attempt-Id"

# Bounds of sites/dvsc-relay.toml, as DEPLOY.md prints them.
BOUNDS = {
    "contact_ms": 3000, "ack_ms": 4000, "drain_ms": 2000, "grace_s": 8,
    "config_apply_ms": 2000, "revoke_ms": 5000, "retry_budget_ratio": 0.2,
    "budget_window_s": 10, "retry_headroom": 54, "lease_ms": 3000,
    "report_window_s": 5, "usage_delay_s": 10,
}


class CannotRun(Exception):
    """The case could not be set up: exit code 2."""


def look_up(fields, name, item):
    if name == ".":
        return item
    at = fields
    for part in name.split("."):
        if isinstance(at, list) and part.isdigit():
            at = at[int(part)] if int(part) < len(at) else None
        elif isinstance(at, dict):
            at = at.get(part)
        else:
            return None
    return at


def fill(text, fields, item=None, key=None):
    """The placeholders of DEPLOY.md that the project's templates use."""
    def section(match):
        value = look_up(fields, match.group(1), item)
        body = match.group(2)
        if value in (None, False, "", [], {}):
            return ""
        if isinstance(value, list):
            return "".join(fill(body, fields, one) for one in value)
        if isinstance(value, dict):
            return "".join(fill(body, fields, one, name)
                           for name, one in value.items())
        return fill(body, fields, value)

    before = None
    while before != text:
        before = text
        text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text,
                      count=1, flags=re.S)

    def single(match):
        name = match.group(1)
        value = key if name == "@" else look_up(fields, name, item)
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        return str(value)
    return re.sub(r"\{\{([\w.@]+)\}\}", single, text)


def until(seconds, test, pause=0.05):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        value = test()
        if value:
            return value
        time.sleep(pause)
    return None


class Record:
    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = time.monotonic()
        self.lock = threading.Lock()

    def write(self, text):
        with self.lock:
            self.file.write("%8.3f  %s\n"
                            % (time.monotonic() - self.start, text))
            self.file.flush()


# ---------------------------------------------------------------- messages

def read_head(file):
    """Start line and headers, or None at the end of the channel."""
    line = file.readline()
    if not line:
        return None, None
    headers = []
    while True:
        row = file.readline()
        if not row:
            return None, None
        if row in (b"\r\n", b"\n"):
            break
        name, _, value = row.decode("latin-1").partition(":")
        headers.append((name.strip(), value.strip()))
    return line.decode("latin-1").strip(), headers


def header(headers, name):
    for one, value in headers:
        if one.lower() == name.lower():
            return value
    return None


def read_chunks(file):
    """(body, whole) of a chunked message."""
    body = b""
    while True:
        line = file.readline()
        if not line.strip():
            return body, False
        size = int(line.split(b";")[0], 16)
        if not size:
            file.readline()
            return body, True
        piece = file.read(size)
        body += piece
        if len(piece) < size:
            return body, False
        file.readline()


class Answer:
    def __init__(self, status, headers, body, whole):
        self.status = status
        self.headers = headers
        self.body = body
        self.whole = whole

    def header(self, name):
        return header(self.headers, name)


def read_answer(sock, method="GET"):
    """The answer on a channel; status 0 if none came."""
    file = sock.makefile("rb")
    try:
        while True:
            line, headers = read_head(file)
            if not line:
                return Answer(0, [], b"", False)
            status = int(line.split()[1])
            if status >= 200:
                break
        if method == "HEAD" or status in (204, 304):
            return Answer(status, headers, b"", True)
        if header(headers, "Transfer-Encoding"):
            body, whole = read_chunks(file)
        elif header(headers, "Content-Length") is not None:
            size = int(header(headers, "Content-Length"))
            body = file.read(size)
            whole = len(body) == size
        else:
            body, whole = file.read(), True
        return Answer(status, headers, body, whole)
    except (OSError, ValueError):
        return Answer(0, [], b"", False)


def call(address, method, path, headers=(), body=b"", timeout=10.0):
    """One request on a channel of its own."""
    host, port = address.rsplit(":", 1)
    try:
        with socket.create_connection((host, int(port)), timeout) as sock:
            sock.settimeout(timeout)
            head = ["%s %s HTTP/1.1" % (method, path)]
            if not any(name.lower() == "host" for name, _ in headers):
                head.append("Host: %s" % address)
            head += ["%s: %s" % pair for pair in headers]
            if body or method not in ("GET", "HEAD"):
                head.append("Content-Length: %d" % len(body))
            sock.sendall("\r\n".join(head).encode() + b"\r\n\r\n" + body)
            return read_answer(sock, method)
    except OSError:
        return Answer(0, [], b"", False)


# ---------------------------------------------------------------- engines

class Engine:
    """A sound engine: checks in, runs requests one at a time on a channel.

    `answer(engine, request)` may be given; it writes the answer with
    request.file and returns False to close the channel.
    """

    def __init__(self, site, name, service, zone="hobart-a", answer=None,
                 version="v1", slots=6, port=0, born=None):
        self.site = site
        self.id = name
        self.service = service
        self.zone = zone
        self.version = version
        self.slots = slots
        self.answer = answer
        self.sequence = 0
        self.state = "ready"
        self.born = born or int(time.time() * 1000)
        self.ran = []
        self.lock = threading.Lock()
        self.running = True
        self.acked = threading.Event()
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((site.address(200), port))
        self.listener.listen(256)
        self.address = "%s:%d" % self.listener.getsockname()
        threading.Thread(target=self.accept, daemon=True).start()
        threading.Thread(target=self.beat, daemon=True).start()

    def check_in(self):
        self.sequence += 1
        body = json.dumps({
            "service": self.service, "address": self.address,
            "zone": self.zone, "version": self.version, "slots": self.slots,
            "state": self.state, "cold_remaining_ms": 0, "born": self.born,
            "sequence": self.sequence}).encode()
        for control in self.site.controls_shuffled():
            answer = call(control, "PUT", "/filberthall/instances/" + self.id,
                          [("Content-Type", "application/json")], body, 1.0)
            if 200 <= answer.status < 300:
                self.acked.set()
                return True
        return False

    def beat(self):
        while self.running:
            self.check_in()
            time.sleep(1.2)

    def accept(self):
        while self.running:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(sock,),
                             daemon=True).start()

    def serve(self, sock):
        with sock:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            file = sock.makefile("rwb")
            try:
                while self.running:
                    if not self.serve_one(sock, file):
                        return
            except (OSError, ValueError):
                pass

    def serve_one(self, sock, file):
        line, headers = read_head(file)
        if not line:
            return False
        method, path, _ = line.split(" ", 2)
        if header(headers, "Transfer-Encoding"):
            body, _ = read_chunks(file)
        else:
            body = file.read(int(header(headers, "Content-Length") or 0))
        request = Request(self, sock, file, method, path, headers, body)
        target = header(headers, "Filberthall-Target-Instance")
        if target and target != self.id:
            request.reply(421, [("Filberthall-Not-Executed", "1")], b"")
            return True
        if not request.id:
            request.reply(400, [("Filberthall-Not-Executed", "1")], b"")
            return True
        with self.lock:
            self.ran.append(request)
        self.site.record.write(
            "engine %s runs %s %s id=%s tenant=%s"
            % (self.id, method, path, request.id,
               header(headers, "Filberthall-Tenant")))
        if self.answer:
            return self.answer(self, request) is not False
        request.reply(200, [], b"%s by %s\n" % (request.id.encode(),
                                                 self.id.encode()))
        return True

    def stop(self):
        self.running = False
        self.listener.close()


class Request:
    def __init__(self, engine, sock, file, method, path, headers, body):
        self.engine = engine
        self.sock = sock
        self.file = file
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self.id = header(headers, ID)

    def signature(self):
        return "sig-%s-%s" % (self.engine.id, self.id)

    def head(self, status, headers):
        rows = ["HTTP/1.1 %d X" % status]
        if self.id:
            rows.append("%s: %s" % (ID, self.id))
        if not any(n == "Filberthall-Not-Executed" for n, _ in headers):
            rows.append("Filberthall-Server-Signature: " + self.signature())
        rows.append("Keep-Alive: timeout=10")
        rows += ["%s: %s" % pair for pair in headers]
        return "\r\n".join(rows).encode() + b"\r\n"

    def reply(self, status, headers, body):
        self.file.write(self.head(status, headers)
                        + b"Content-Length: %d\r\n\r\n" % len(body) + body)
        self.file.flush()

    def begin_stream(self):
        self.file.write(self.head(200, [("Content-Type",
                                         "text/event-stream")])
                        + b"Transfer-Encoding: chunked\r\n\r\n")
        self.file.flush()

    def piece(self, data):
        self.file.write(b"%x\r\n" % len(data) + data + b"\r\n")
        self.file.flush()

    def end_stream(self):
        self.file.write(b"0\r\n\r\n")
        self.file.flush()


# ------------------------------------------------------------------- site

class Site:
    def __init__(self, folder, controls=5, entries=2, platform=None):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="filberthall-review-")
        self.net = "127.%d.%d" % (random.randint(2, 250),
                                  random.randint(1, 250))
        self.procs = {}
        self.engines = []
        self.platform = platform
        self.links = self.free_port()
        self.port = self.free_port()
        self.control_names = list(range(1, controls + 1))
        self.entry_names = list(range(1, entries + 1))
        self.version = 0
        if not os.access(DAEMON, os.X_OK):
            raise CannotRun("target/bin/filberthalld is missing")

    def address(self, n):
        return "%s.%d" % (self.net, n)

    def free_port(self):
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            return sock.getsockname()[1]

    def control(self, n):
        return "%s:%d" % (self.address(n), self.port)

    def entry(self, n):
        return "%s:%d" % (self.address(100 + n), self.port)

    def ready(self, n):
        return "%s:%d" % (self.address(100 + n), self.port + 1)

    def controls_shuffled(self):
        names = [self.control(n) for n in self.control_names]
        random.shuffle(names)
        return names

    def seeds(self):
        return [self.control(n) for n in self.control_names[:3]]

    def fields(self, role, n, bootstrap):
        ip = self.address(n if role == "control" else 100 + n)
        zones = ["hobart-a", "hobart-b", "newnorfolk", "huonville"]
        fields = {
            "node_name": "%s-%d" % ("core" if role == "control" else "edge",
                                    n),
            "zone": zones[n % 4], "ip": ip, "region": "tas-south",
            "zones": {zone: "tas-south" for zone in zones},
            "port_range": [self.links, self.links + 15],
            "seeds": self.seeds(), "bootstrap": bootstrap,
            "heartbeat_ms": 1200, "bounds": BOUNDS,
            "fault_tolerance": {"nodes": 2, "zones": 0, "regions": 0},
            "listen": {"frontend": "%s:%d" % (ip, self.port),
                       "ready": "%s:%d" % (ip, self.port + 1),
                       "control_plane": "%s:%d" % (ip, self.port)},
            "data_dir": os.path.join(self.folder, "data-%d" % n),
            "cloud_api": ({"address": self.platform} if self.platform
                          else {}),
        }
        return fields

    def start(self, role, n, bootstrap=False):
        name = "%s-%d" % (role, n)
        settings = os.path.join(self.folder, name + ".yaml")
        with open(os.path.join(ROOT, "deploy", role + ".yaml")) as template:
            text = fill(template.read(), self.fields(role, n, bootstrap))
        with open(settings, "w") as file:
            file.write(text)
        if role == "control":
            os.makedirs(os.path.join(self.folder, "data-%d" % n),
                        exist_ok=True)
        with open(os.path.join(self.folder, name + ".log"), "ab") as log:
            self.procs[name] = subprocess.Popen(
                [DAEMON, "--settings", settings], cwd=ROOT, stdout=log,
                stderr=log, stdin=subprocess.DEVNULL)
        self.record.write("start %s pid=%d" % (name, self.procs[name].pid))

    def start_all(self):
        for n in self.control_names:
            self.start("control", n, True)
        for n in self.entry_names:
            self.start("entry", n, True)

    def signal(self, name, number):
        self.record.write("%s to %s" % (signal.Signals(number).name, name))
        self.procs[name].send_signal(number)

    def kill(self, name):
        self.signal(name, signal.SIGKILL)
        self.procs[name].wait()

    def ended(self):
        return [name for name, proc in self.procs.items()
                if proc.poll() is not None]

    def log(self, name):
        with open(os.path.join(self.folder, name + ".log"),
                  errors="replace") as file:
            return file.read()

    def put_config(self, config, seconds=20.0):
        """Like the operator: again until acknowledged. The last status."""
        body = json.dumps(config).encode()
        end = time.monotonic() + seconds
        status = 0
        while time.monotonic() < end:
            for address in self.controls_shuffled():
                for _ in range(3):
                    answer = call(address, "PUT", "/filberthall/config",
                                  [("Content-Type", "application/json")],
                                  body, 2.0)
                    status = answer.status
                    if status != 307:
                        break
                    address = re.match(r"http://([^/]+)/",
                                       answer.header("Location")).group(1)
                if status == 200:
                    self.record.write("config %d acknowledged"
                                      % config["version"])
                    return 200
                if status in (400, 409, 412, 413, 422):
                    self.record.write("config %d refused with %d"
                                      % (config["version"], status))
                    return status
            time.sleep(0.2)
        return status

    def get_config(self):
        for address in self.controls_shuffled():
            for _ in range(3):
                answer = call(address, "GET", "/filberthall/config", [], b"",
                              2.0)
                if answer.status != 307:
                    break
                address = re.match(r"http://([^/]+)/",
                                   answer.header("Location")).group(1)
            if answer.status == 200:
                return json.loads(answer.body)
        return None

    def engine(self, *args, **kwargs):
        engine = Engine(self, *args, **kwargs)
        self.engines.append(engine)
        return engine

    def wait_ready(self, seconds=20.0):
        def ready():
            return all(call(self.ready(n), "GET", "/filberthall/readyz", [],
                            b"", 1.0).status == 200
                       for n in self.entry_names)
        if not until(seconds, ready, 0.1):
            raise CannotRun("the entry daemons don't get ready")

    def ask(self, n, path, key=None, method="POST", body=b"work", headers=(),
            deadline_ms=4000, request_id=None, timeout=None):
        request_id = request_id or "%016x" % random.getrandbits(64)
        rows = [("Host", "a.example"), (ID, request_id),
                ("Filberthall-Deadline-Ms", str(deadline_ms))]
        if key:
            rows.append(("Authorization", "Bearer " + key))
        rows += list(headers)
        self.record.write("requester sends %s %s id=%s key=%s to entry-%d"
                          % (method, path, request_id, key, n))
        answer = call(self.entry(n), method, path, rows, body,
                      timeout or deadline_ms / 1000 + 2)
        self.record.write("requester gets %d id=%s signature=%s whole=%s "
                          "bytes=%d"
                          % (answer.status, request_id,
                             answer.header("Filberthall-Server-Signature"),
                             answer.whole, len(answer.body)))
        answer.id = request_id
        return answer

    def close(self):
        for engine in self.engines:
            engine.stop()
        for proc in self.procs.values():
            if proc.poll() is None:
                proc.kill()
        for proc in self.procs.values():
            proc.wait()
        if os.environ.get("KEEP"):
            print(self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name, kind, service, prefix, **more):
    row = {"name": name, "host": "a.example", "path_prefix": prefix,
           "type": kind, "timeout_ms": 4000, "latency_goal_ms": 300,
           "priority": 1, "service": service, "max_attempts": 2,
           "public": False, "sticky": False, "resumable": False}
    row.update(more)
    return row


def config(version, routes, services, tenants):
    return {"version": version, "routes": routes,
            "services": [{"name": name, "health_path": "/healthz",
                          "max_conns": 100, "protocol": "h1", "tls": False}
                         for name in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": name, "api_keys": keys, "priority": 1}
                        for name, keys in tenants]}


def main(case, folder, **options):
    """Runs case(site, trouble): True if the rule held. The exit code."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    site = None
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        site = Site(folder, **options)
        held = case(site, trouble)
        died = site.ended()
        if died:
            site.record.write("ended by themselves: %s" % " ".join(died))
        site.record.write("the rule %s" % ("held" if held else "was broken"))
        print("rule held" if held else "rule broken")
        return 0 if held else 1
    except Exception as error:
        traceback.print_exc()
        print("cannot run: %s" % error)
        return 2
    finally:
        if site:
            site.close()
