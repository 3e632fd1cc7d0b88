"""A server of "desk" that has run what it answers with a promise of not.

promises.py CONTROL...: answers /once/STATUS and /read/STATUS with that status,
signed and whole.
"""
import asyncio
import sys
import time

from rawsite import announce, read_head

CONTROLS = [text.rsplit(":", 1) for text in sys.argv[1:]]


async def serve(reader, writer):
    try:
        while True:
            line, fields = await read_head(reader)
            await reader.readexactly(int(fields.get("content-length", 0)))
            writer.write(
                (
                    f"HTTP/1.1 {line.split()[1].rsplit('/', 1)[1]} No\r\n"
                    "Filberthall-Attempt-Id: "
                    f"{fields['filberthall-attempt-id']}\r\n"
                    "Filberthall-Server-Signature: s.1\r\n"
                    "Content-Length: 3\r\n\r\nran"
                ).encode()
            )
            await writer.drain()
    except (asyncio.IncompleteReadError, OSError):
        pass
    writer.close()


async def main():
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    await announce(CONTROLS, "desk", "desk", port, int(time.time() * 1000))


asyncio.run(main())
