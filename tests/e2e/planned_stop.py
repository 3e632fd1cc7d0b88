"""Callers of an entry VM that gets SIGTERM while they ask on kept connections.

planned_stop.py ENTRY PID CONTROL...: the path says how long the server takes,
/read/MS, /once/MS and /stream/MS. Prints what came of the requests, by their
kinds.
"""
import asyncio
import os
import signal
import sys
import time

from rawsite import announce, read_body, read_head

ENTRY = sys.argv[1].rsplit(":", 1)
PID = int(sys.argv[2])
CONTROLS = [text.rsplit(":", 1) for text in sys.argv[3:]]
GRACE_S = 8
RUN = set()
CAME = {}


async def answer(reader, writer):
    line, fields = await read_head(reader)
    await reader.readexactly(int(fields.get("content-length", 0)))
    path = line.split()[1]
    name = fields["filberthall-attempt-id"]
    RUN.add(name)
    kind = "text/event-stream" if "/stream/" in path else "text/plain"
    head = (
        f"HTTP/1.1 200 OK\r\nFilberthall-Attempt-Id: {name}\r\n"
        f"Filberthall-Server-Signature: s.1\r\nContent-Type: {kind}\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
    )
    first = b"id: 1\ndata: a\n\n" if "/stream/" in path else b""
    if first:
        writer.write(head.encode() + b"%x\r\n%s\r\n" % (len(first), first))
    await asyncio.sleep(int(path.rsplit("/", 1)[1]) / 1000)
    last = b"id: 2\ndata: b\n\n" if first else b"done"
    writer.write(b"" if first else head.encode())
    writer.write(b"%x\r\n%s\r\n0\r\n\r\n" % (len(last), last))
    await writer.drain()


async def serve(reader, writer):
    try:
        while True:
            await answer(reader, writer)
    except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
        pass
    writer.close()


def text_of(path, name, limit_ms):
    return (
        f"POST {path} HTTP/1.1\r\nHost: a.example\r\n"
        "Authorization: Bearer k1\r\n"
        f"Filberthall-Attempt-Id: {name}\r\n"
        f"Filberthall-Deadline-Ms: {limit_ms}\r\nContent-Length: 1\r\n\r\nx"
    ).encode()


async def ask(path, limit_ms, name, kept):
    """What came: a status, "cut" or "unread"."""
    reader, writer = kept
    began = time.monotonic()
    sent = False
    try:
        writer.write(text_of(path, name, limit_ms))
        await writer.drain()
        line, fields = await read_head(reader)
        sent = True
        body, whole = await read_body(reader, fields)
        status = line.split()[1] if whole else "cut"
    except (asyncio.IncompleteReadError, OSError):
        status = "cut" if sent or name in RUN else "unread"
    took = time.monotonic() - began
    if status == "503" and took > 0.5:
        status = "503-late"
    if status == "503" and name in RUN:
        status = "503-ran"
    kind = f"{path} {'after' if name.startswith('after') else 'before'}"
    CAME.setdefault(kind, []).append(status)


async def at(moment, path, limit_ms, name):
    """On a connection that is open before the stop."""
    kept = await asyncio.open_connection(ENTRY[0], int(ENTRY[1]))
    await asyncio.sleep(moment - time.monotonic())
    await ask(path, limit_ms, name, kept)
    kept[1].close()


def planned(stop):
    """Requests in the seconds before and after the stop."""
    for path in ("/read/6000", "/once/6000", "/stream/6000"):
        for nth in range(6):
            yield stop + 0.2 + nth * 0.5, path, 10000, f"after-{path}-{nth}"
            yield stop - 0.2 - nth * 0.2, path, 10000, f"before-{path}-{nth}"
    for nth in range(12):
        yield stop + 0.1 + nth * 0.2, "/once/200", 1500, f"after-short-{nth}"
    for nth in range(3):
        yield stop - 0.5, "/once/9500", 10000, f"before-long-{nth}"


async def main():
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    beats = asyncio.ensure_future(
        announce(CONTROLS, "desk", "desk", port, int(time.time() * 1000))
    )
    await asyncio.sleep(3)
    stop = time.monotonic() + 2
    asks = [asyncio.ensure_future(at(*one)) for one in planned(stop)]
    await asyncio.sleep(stop - time.monotonic())
    os.kill(PID, signal.SIGTERM)
    await asyncio.wait(asks, timeout=GRACE_S + 4)
    beats.cancel()
    for kind in sorted(CAME):
        came = CAME[kind]
        print(kind, *(f"{what}:{came.count(what)}" for what in sorted(set(came))))


asyncio.run(main())
