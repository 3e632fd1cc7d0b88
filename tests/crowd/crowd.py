"""Callers, operators and strangers that make one process hold memory.

crowd.py entry|control|all NAME=IP:PORT... WAY...: CROWD callers of each way press
on the process whose id is PID in the environment, until an ordinary request
has been answered beside them. Prints what the process held, as JSON.
"""
import asyncio
import collections
import json
import os
import resource
import signal
import socket
import struct
import sys

from rawsite import read_head

# With BODY bytes each they are more than MEMORY_MB of entry.t and control.t.
CROWD = 96
BODY = 1024 * 1024
HEAD = 16384
PRESS_S = 30
AGAIN_S = 0.2
SAMPLE_S = 0.05
PROMISES = (408, 421, 429, 503)

PID = int(os.environ["PID"])
KEY = "Authorization: Bearer k1\r\nFilberthall-Deadline-Ms: 8000\r\n"
at = {}
statuses = collections.Counter()
promised = set()
settled = set()
numbers = iter(range(1 << 30))


def head(way, line, fields=""):
    """A request's head, and the id in it."""
    name = f"{way}-{next(numbers)}"
    text = (
        f"{line} HTTP/1.1\r\nHost: a.example\r\n"
        f"Filberthall-Attempt-Id: {name}\r\n{KEY}{fields}\r\n"
    )
    return name, text.encode()


async def dial(where, receive=None):
    sock = socket.socket()
    if receive:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive)
    sock.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(sock, at[where])
    return await asyncio.open_connection(sock=sock, limit=receive or 65536)


async def answer_of(reader, name):
    """Whoever gets a promise that nothing ran is remembered."""
    status = 100
    while status == 100:
        line, fields = await read_head(reader)
        status = int(line.split()[1])
        statuses[status] += 1
    if status in PROMISES:
        promised.add(name)
    return status, fields


async def short_of_its_end(who, way, line, fields, data):
    """All of a request but what would end it."""
    reader, writer = await dial(who)
    name, text = head(way, line, fields)
    try:
        writer.write(text)
        for begin in range(0, len(data), 65536):
            writer.write(data[begin : begin + 65536])
            await writer.drain()
        settled.add(asyncio.current_task())
        await answer_of(reader, name)
    finally:
        writer.close()


async def length(who, line="POST /read/1", fields=""):
    fields += f"Content-Length: {BODY}\r\n"
    await short_of_its_end(who, "length", line, fields, b"x" * (BODY - 1))


async def expect(who):
    fields = "Expect: 100-continue\r\n"
    await length(who, "POST /read/1", fields)


async def chunked(who):
    data = b"".join(
        b"%x\r\n%s\r\n" % (4096, b"x" * 4096) for _ in range(BODY // 4096)
    )
    await short_of_its_end(
        who, "chunked", "POST /read/1", "Transfer-Encoding: chunked\r\n", data
    )


async def documents(who):
    await length(who, "PUT /filberthall/config")


async def announcements(who):
    await length(who, f"PUT /filberthall/instances/s{next(numbers)}")


async def heads(who):
    reader, writer = await dial(who)
    try:
        text = b"GET /read/1 HTTP/1.1\r\nHost: a.example\r\nX: "
        writer.write(text + b"x" * (HEAD - len(text) - 1))
        await writer.drain()
        settled.add(asyncio.current_task())
        await answer_of(reader, "none")
    finally:
        writer.close()


async def whole(who, line="POST /late/1", data=b"x" * BODY):
    reader, writer = await dial(who)
    name, text = head("whole", line, f"Content-Length: {len(data)}\r\n")
    try:
        writer.write(text)
        for begin in range(0, len(data), 65536):
            writer.write(data[begin : begin + 65536])
            await writer.drain()
        settled.add(asyncio.current_task())
        _, fields = await answer_of(reader, name)
        await reader.read(int(fields.get("content-length", 0)))
    finally:
        writer.close()


async def unreadable(who):
    await whole(who, "PUT /filberthall/config")


def change():
    """A document of nearly BODY bytes, always the same version."""
    document = json.loads(os.environ["DOCUMENT"])
    routes = document["routes"]
    more = (BODY - 65536) // (len(json.dumps(routes[0])) + 24)
    for number in range(more):
        prefix = f"/more/{number}/"
        routes.append(dict(routes[0], name=f"m{number}", path_prefix=prefix))
    return json.dumps(document).encode()


async def changes(who):
    await whole(who, "PUT /filberthall/config", change())


async def pipelined(who):
    reader, writer = await dial(who)
    name, text = head("pipelined", "GET /late/1")
    _, behind = head("pipelined", "POST /read/1", f"Content-Length: {BODY}\r\n")
    try:
        writer.write(text + behind)
        for _ in range(BODY // 65536 - 1):
            writer.write(b"x" * 65536)
            await asyncio.wait_for(writer.drain(), 1)
    except asyncio.TimeoutError:
        pass
    try:
        settled.add(asyncio.current_task())
        await answer_of(reader, name)
        await reader.read()
    finally:
        writer.close()


async def unread(who, path, pause_s=None):
    """Ask, and read nothing of the answer, or a little at a time."""
    reader, writer = await dial(who, 4096)
    name, text = head("unread", f"GET {path}")
    try:
        writer.write(text)
        if pause_s is None:
            writer.transport.pause_reading()
            settled.add(asyncio.current_task())
            await asyncio.sleep(PRESS_S)
        await answer_of(reader, name)
        settled.add(asyncio.current_task())
        while await reader.read(1024):
            await asyncio.sleep(pause_s)
    finally:
        writer.close()


async def answers(who):
    await unread(who, "/long/1")


async def streams(who):
    await unread(who, "/stream/r/1")


async def trickle(who):
    await unread(who, "/long/1", 1)


async def links(who):
    """The head of a frame of 4 MiB from one who hasn't said who it is."""
    del who
    reader, writer = await dial("links")
    try:
        writer.write(struct.pack(">I", 4 * 1024 * 1024))
        for _ in range(BODY // 65536):
            writer.write(b"\3" * 65536)
            await writer.drain()
        settled.add(asyncio.current_task())
        await reader.read()
    finally:
        writer.close()


async def press(way, who):
    while True:
        try:
            await way(who)
        except (asyncio.IncompleteReadError, OSError, ValueError):
            statuses["closed"] += 1
        settled.add(asyncio.current_task())
        await asyncio.sleep(AGAIN_S)


def kilobytes(field):
    with open(f"/proc/{PID}/status", encoding="ascii") as status:
        for line in status:
            if line.startswith(field):
                return int(line.split()[1])
    return 0


def in_table(ip, port):
    """An address as /proc/net/tcp writes it, of whichever byte order."""
    number = struct.unpack("=I", socket.inet_aton(ip))[0]
    return f"{number:08X}", f"{port:04X}"


def queued_kb():
    """Bytes in the sockets of the process's address."""
    shared = in_table("127.0.0.1", 0)[0]
    ours = {in_table(ip, port) for ip, port in at.values()}
    ips = {ip for ip, _ in ours} - {shared}
    total = 0
    with open("/proc/net/tcp", encoding="ascii") as table:
        next(table)
        for line in table:
            words = line.split()
            ip, port = words[1].split(":")
            if ip in ips or (ip, port) in ours:
                total += sum(int(n, 16) for n in words[4].split(":"))
    return total // 1024


def lives():
    try:
        return kilobytes("VmHWM") > 0
    except OSError:
        return False


async def sample(most):
    while lives():
        peak = kilobytes("VmHWM")
        queued = queued_kb()
        most["process_kb"] = max(most["process_kb"], peak)
        most["queued_kb"] = max(most["queued_kb"], queued)
        most["held_kb"] = max(most["held_kb"], kilobytes("VmRSS") + queued,
                              peak)
        most["descriptors"] = max(
            most["descriptors"], len(os.listdir(f"/proc/{PID}/fd"))
        )
        await asyncio.sleep(SAMPLE_S)


ORDINARY = {
    "entry": "GET /read/1",
    "control": "GET /filberthall/config",
    "all": "GET /healthz",
}


async def ordinary(who):
    """One request at a time until one is answered."""
    line = ORDINARY[who]
    while True:
        writer = None
        try:
            where = "ordinary" if "ordinary" in at else who
            reader, writer = await asyncio.wait_for(dial(where), 4)
            _, text = head("ordinary", line, "Connection: close\r\n")
            writer.write(text)
            first, _ = await asyncio.wait_for(read_head(reader), 4)
            if first.split()[1] in ("200", "307"):
                return True
        except (asyncio.IncompleteReadError, asyncio.TimeoutError, OSError):
            pass
        finally:
            if writer:
                writer.close()
        await asyncio.sleep(AGAIN_S)


async def main():
    who = sys.argv[1]
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 4096), hard))
    ways = []
    for word in sys.argv[2:]:
        name, _, value = word.partition("=")
        if value:
            host, port = value.rsplit(":", 1)
            at[name] = (host, int(port))
        else:
            ways.append(globals()[name])
    with open(f"/proc/{PID}/clear_refs", "w", encoding="ascii") as reset:
        reset.write("5")
    most = {"process_kb": 0, "queued_kb": 0, "held_kb": 0, "descriptors": 0}
    sampling = asyncio.create_task(sample(most))
    callers = [
        asyncio.create_task(press(way, who)) for way in ways
        for _ in range(CROWD)
    ]
    answered = asyncio.create_task(ordinary(who))
    for _ in range(int(PRESS_S / SAMPLE_S)):
        await asyncio.sleep(SAMPLE_S)
        if not lives() or (len(settled) == len(callers) and answered.done()):
            break
    await asyncio.sleep(4 * SAMPLE_S)
    sampling.cancel()
    most["lives"] = lives()
    most["answered"] = answered.done()
    most["statuses"] = {str(k): v for k, v in statuses.items()}
    with open(os.environ["PROMISED"], "a", encoding="ascii") as out:
        out.writelines(name + "\n" for name in sorted(promised))
    print(json.dumps(most), flush=True)
    os._exit(0)


signal.signal(signal.SIGTERM, lambda *_: os._exit(1))
asyncio.run(main())
