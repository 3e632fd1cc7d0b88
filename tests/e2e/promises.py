"""Servers that have run what they answer with a promise of not.

promises.py NAME CONTROL...: servers desk-NAME and scribe-NAME that answer /once/STATUS, /read/STATUS and /stream/r/STATUS
with that status, signed and whole. STATUS-head has no body where one is due;
STATUS-resumed is the answer to a resumption, after an event and a break.
"""
import asyncio
import sys
import time

from rawsite import announce, read_head

NAME = sys.argv[1]
CONTROLS = [text.rsplit(":", 1) for text in sys.argv[2:]]
EVENT = b"11\r\nid: 1\ndata: one\n\n\r\n"


def head_of(status, name, more):
    return (
        f"HTTP/1.1 {status} No\r\nFilberthall-Attempt-Id: {name}\r\n"
        f"Filberthall-Server-Signature: s.1\r\n{more}\r\n"
    ).encode()


async def answer(reader, writer):
    """False once the connection is to be closed."""
    line, fields = await read_head(reader)
    await reader.readexactly(int(fields.get("content-length", 0)))
    name = fields["filberthall-attempt-id"]
    status, _, way = line.split()[1].rsplit("/", 1)[1].partition("-")
    if way == "resumed" and "last-event-id" not in fields:
        stream = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
        writer.write(head_of(200, name, stream) + EVENT)
        await writer.drain()
        return False
    writer.write(head_of(status, name, "Content-Length: 3\r\n"))
    if way == "head":
        await reader.read()
        return False
    writer.write(b"ran")
    await writer.drain()
    return True


async def serve(reader, writer):
    try:
        while await answer(reader, writer):
            pass
    except (asyncio.IncompleteReadError, OSError):
        pass
    writer.close()


async def main():
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    other = await asyncio.start_server(serve, "127.0.0.1", 0)
    born = int(time.time() * 1000)
    ports = [each.sockets[0].getsockname()[1] for each in (server, other)]
    await asyncio.gather(
        announce(CONTROLS, f"desk-{NAME}", "desk", ports[0], born),
        announce(CONTROLS, f"scribe-{NAME}", "scribe", ports[1], born),
    )


asyncio.run(main())
