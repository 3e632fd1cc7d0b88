"""Servers that answer late or long.

heavy.py RAN CONTROL...: announces servers of "heavy" and "scribe", and notes
the ids of the requests that they run in the file RAN.
"""
import asyncio
import sys
import time

from rawsite import announce, read_head

RAN = sys.argv[1]
CONTROLS = [text.rsplit(":", 1) for text in sys.argv[2:]]
LATE_S = 3.0
BODY = 1024 * 1024
EVENT = 8192


async def answer(writer, name, path):
    signed = (
        f"Filberthall-Attempt-Id: {name}\r\n"
        "Filberthall-Server-Signature: s.1\r\n"
    )
    if path.startswith("/stream/"):
        writer.write(
            f"HTTP/1.1 200 OK\r\n{signed}Content-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n".encode()
        )
        for n in range(1, BODY // EVENT + 1):
            event = b"id: %d\ndata: %s\n\n" % (n, b"e" * EVENT)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        return
    if path.startswith("/late/"):
        await asyncio.sleep(LATE_S)
    body = b"a" * (BODY if path.startswith("/long/") else 1)
    writer.write(
        f"HTTP/1.1 200 OK\r\n{signed}Content-Length: {len(body)}\r\n\r\n".encode()
    )
    writer.write(body)


async def serve(reader, writer):
    try:
        while True:
            line, fields = await read_head(reader)
            name = fields["filberthall-attempt-id"]
            with open(RAN, "a", encoding="ascii") as ran:
                ran.write(name + "\n")
            await reader.readexactly(int(fields.get("content-length", 0)))
            await answer(writer, name, line.split()[1])
            await writer.drain()
    except (asyncio.IncompleteReadError, OSError):
        pass
    writer.close()


async def main():
    started = int(time.time() * 1000)
    tasks = []
    for service in ("heavy", "scribe"):
        for nth in range(2):
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            name = f"{service}-{nth}"
            tasks.append(
                asyncio.create_task(
                    announce(CONTROLS, name, service, port, started)
                )
            )
    await asyncio.gather(*tasks)


asyncio.run(main())
