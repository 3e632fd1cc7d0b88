"""Answers without end, in each place of an answer, and their callers.

endless_ways.py server NAME RECORD CONTROL...: a server of "scribe" that answers
/bad/WAY/NTH so, and /bad/slow-WAY/NTH a few bytes a second.
endless_ways.py platform ADDRESS RECORD: a platform that answers one call after
the other so. RECORD gets the way, the bytes written and the milliseconds until
the call was closed.
endless_ways.py ask ENTRY WAY N: N callers at once, and one of "desk" after
another meanwhile; prints what they got. Of the way "slow" they ask for all of
them, slowly.
endless_ways.py ways: their names.
"""
import asyncio
import itertools
import sys
import time

from rawsite import announce, read_body, read_head

SIGNED = (
    b"HTTP/1.1 200 OK\r\nFilberthall-Attempt-Id: %s\r\n"
    b"Filberthall-Server-Signature: s.1\r\nContent-Type: text/event-stream\r\n"
)
CHUNKED = SIGNED + b"Transfer-Encoding: chunked\r\n\r\n"
WAYS = {
    "junk": (b"", b"junk"),
    "reason": (b"HTTP/1.1 200 ", b"OK"),
    "empty-lines": (b"", b"\r\n"),
    "headers": (SIGNED, b"X-Y: z\r\n"),
    "one-header": (SIGNED + b"X-Y: ", b"z"),
    "interim": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "another": (
        b"",
        b"HTTP/1.1 200 OK\r\nFilberthall-Attempt-Id: other\r\n"
        b"Content-Length: 1\r\n\r\nx",
    ),
    "chunks": (CHUNKED, b"4\r\njunk\r\n"),
    "chunk-length": (CHUNKED, b"0"),
    "chunk-extension": (CHUNKED + b"4;x=", b"y"),
    "trailers": (CHUNKED + b"0\r\n", b"X-Y: z\r\n"),
    "to-the-close": (SIGNED + b"\r\n", b"junk"),
    "length": (SIGNED + b"Content-Length: 1000000000000\r\n\r\n", b"junk"),
    "rejected": (
        b"HTTP/1.1 503 No\r\nFilberthall-Attempt-Id: %s\r\n"
        b"Filberthall-Not-Executed: 1\r\n\r\n",
        b"junk",
    ),
    "event-line": (SIGNED + b"\r\ndata: ", b"junk"),
    "comments": (SIGNED + b"\r\n", b": junk\n\n"),
}
PIECE_BYTES = 16384
MOST_S = 30


async def write_on(reader, writer, way, name, slow):
    """The bytes written and the seconds until the other end has closed."""
    head, again = WAYS[way]
    began = time.monotonic()
    written = 0
    piece = again if slow else again * (PIECE_BYTES // len(again))
    try:
        writer.write(head.replace(b"%s", name.encode()))
        while time.monotonic() - began < MOST_S and not reader.at_eof():
            writer.write(piece)
            written += len(piece)
            await writer.drain()
            await asyncio.sleep(0.5 if slow else 0)
    except OSError:
        pass
    return written, time.monotonic() - began


def taker(path, way_of):
    """What takes a call and answers it as `way_of(line)` says."""

    async def take(reader, writer):
        try:
            line, fields = await read_head(reader)
            await reader.readexactly(int(fields.get("content-length", 0)))
        except (asyncio.IncompleteReadError, OSError):
            return
        way = way_of(line)
        name = fields.get("filberthall-attempt-id", "none")
        slow = way.startswith("slow-")
        written, took = await write_on(
            reader, writer, way.removeprefix("slow-"), name, slow
        )
        with open(path, "a", encoding="ascii") as file:
            print(way, written, int(took * 1000), file=file)
        writer.close()

    return take


async def run_server(name, path, *controls):
    take = taker(path, lambda line: line.split("/")[2])
    server = await asyncio.start_server(take, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    controls = [text.rsplit(":", 1) for text in controls]
    await announce(controls, name, "scribe", port, int(time.time() * 1000))


async def run_platform(address, path):
    ways = itertools.cycle([*WAYS, *("slow-" + way for way in WAYS)])
    host, port = address.rsplit(":", 1)
    server = await asyncio.start_server(
        taker(path, lambda line: next(ways)), host, int(port)
    )
    await server.serve_forever()


async def ask(entry, path, name, limit_ms):
    """The status, or what else came."""
    host, port = entry.rsplit(":", 1)
    text = (
        f"POST {path} HTTP/1.1\r\nHost: a.example\r\n"
        "Authorization: Bearer k1\r\nConnection: close\r\n"
        f"Filberthall-Attempt-Id: {name}\r\n"
        f"Filberthall-Deadline-Ms: {limit_ms}\r\nContent-Length: 1\r\n\r\nx"
    )
    writer = None
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(text.encode())
        line, fields = await asyncio.wait_for(read_head(reader), limit_ms / 1000 + 1)
        _, whole = await asyncio.wait_for(read_body(reader, fields), 2)
        return line.split()[1] if whole else "cut"
    except asyncio.TimeoutError:
        return "nothing"
    except (asyncio.IncompleteReadError, OSError, ValueError):
        return "cut"
    finally:
        if writer:
            writer.close()


async def ask_all(entry, way, n):
    paths = [f"slow-{one}" for one in WAYS] if way == "slow" else [way]
    asks = [
        asyncio.ensure_future(
            ask(entry, f"/bad/{paths[i % len(paths)]}/{i}", f"{way}-{i}", 3000)
        )
        for i in range(n)
    ]
    plain = []
    while not all(one.done() for one in asks):
        plain.append(await ask(entry, "/once/1", f"{way}-p{len(plain)}", 3000))
        await asyncio.sleep(0.05)
    came = [one.result() for one in asks]
    for name, got in (("bad", came), ("plain", plain)):
        print(name, *(f"{what}:{got.count(what)}" for what in sorted(set(got))))


VERB = sys.argv[1]
if VERB == "server":
    asyncio.run(run_server(*sys.argv[2:]))
elif VERB == "platform":
    asyncio.run(run_platform(*sys.argv[2:]))
elif VERB == "ask":
    asyncio.run(ask_all(sys.argv[2], sys.argv[3], int(sys.argv[4])))
else:
    print("\n".join(WAYS))
