"""Servers whose streams hold more than events, and a caller that compares.

comments.py server CONTROL...: /stream/r/WAY is answered with PARTS of that way,
one a piece; each resumption gets the next of its parts.
comments.py wanted WAY: the whole body.
"""
import asyncio
import sys
import time

from rawsite import announce, read_head

FIRST = [b": at first\n\n", b"\n", b"id: 1\ndata: a\n\n", b": between\n\n"]
LAST = [
    b": a comment\r\n\r\n",
    b"id: 2\ndata: b\n\n",
    b"event: note\n\n",
    b"retry: 500\n\n",
    b"id: 3\n\n",
    b": at last\n\n",
]
PARTS = {
    "whole": [FIRST + LAST],
    "resumed": [FIRST, LAST],
    "without-events": [[b": only\n\n", b"retry: 500\n\n"]],
}


def chunk(text):
    return b"%x\r\n%s\r\n" % (len(text), text)


async def serve(reader, writer):
    line, fields = await read_head(reader)
    await reader.readexactly(int(fields.get("content-length", 0)))
    parts = PARTS[line.split()[1].rsplit("/", 1)[1]]
    nth = 1 if "last-event-id" in fields else 0
    writer.write(
        (
            "HTTP/1.1 200 OK\r\nFilberthall-Attempt-Id: "
            f"{fields['filberthall-attempt-id']}\r\n"
            "Filberthall-Server-Signature: s.1\r\n"
            "Content-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
        ).encode()
    )
    for text in parts[nth]:
        writer.write(chunk(text))
        await writer.drain()
        await asyncio.sleep(0.02)
    if nth == len(parts) - 1:
        writer.write(chunk(b""))
    await writer.drain()
    writer.close()


async def main():
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    other = await asyncio.start_server(serve, "127.0.0.1", 0)
    born = int(time.time() * 1000)
    controls = [text.rsplit(":", 1) for text in sys.argv[2:]]
    await asyncio.gather(
        *(
            announce(controls, f"s{n}", "scribe", port, born)
            for n, port in enumerate(
                each.sockets[0].getsockname()[1] for each in (server, other)
            )
        )
    )


if sys.argv[1] == "server":
    asyncio.run(main())
else:
    for part in PARTS[sys.argv[2]]:
        sys.stdout.buffer.write(b"".join(part))
