"""Callers who read nothing for some seconds of answers that are ready.

slow_readers.py ENTRY PID CONTROL...: asks the entry VM for long streams, sends
its process SIGTERM once they have begun, and prints "whole N of M".
"""
import asyncio
import os
import signal
import socket
import sys
import time

from rawsite import announce, read_body, read_head, request_text

ENTRY = sys.argv[1].rsplit(":", 1)
PID = int(sys.argv[2])
CONTROLS = [text.rsplit(":", 1) for text in sys.argv[3:]]
CALLERS = 8
EVENTS = 192
EVENT_BYTES = 8192
STALL_S = 4.0


async def serve(reader, writer):
    try:
        _, fields = await read_head(reader)
        await reader.readexactly(int(fields.get("content-length", 0)))
        writer.write(
            (
                "HTTP/1.1 200 OK\r\n"
                f"Filberthall-Attempt-Id: {fields['filberthall-attempt-id']}"
                "\r\nFilberthall-Server-Signature: s.1\r\n"
                "Content-Type: text/event-stream\r\n"
                "Transfer-Encoding: chunked\r\n\r\n"
            ).encode()
        )
        for n in range(1, EVENTS + 1):
            event = b"id: %d\ndata: %s\n\n" % (n, b"e" * EVENT_BYTES)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    writer.close()


async def ask(nth, begun):
    sock = socket.socket()
    # As on a network that isn't loopback.
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1460)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)
    sock.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(sock, (ENTRY[0], int(ENTRY[1])))
    # The reader takes little before it stalls.
    reader, writer = await asyncio.open_connection(sock=sock, limit=4096)
    writer.write(request_text(f"/stream/r/{nth}", f"slow-{nth}", 8000))
    try:
        line, fields = await read_head(reader)
        begun.append(nth)
        writer.transport.pause_reading()
        await asyncio.sleep(STALL_S)
        writer.transport.resume_reading()
        body, whole = await read_body(reader, fields)
        return whole and body.count(b"id: ") == EVENTS
    except (asyncio.IncompleteReadError, OSError):
        return False


async def main():
    started = int(time.time() * 1000)
    tasks = []
    for nth in range(2):
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        tasks.append(
            asyncio.create_task(
                announce(CONTROLS, f"long-{nth}", "scribe", port, started)
            )
        )
    await asyncio.sleep(3)
    begun = []
    callers = [asyncio.create_task(ask(n, begun)) for n in range(CALLERS)]
    while len(begun) < CALLERS:
        await asyncio.sleep(0.02)
    os.kill(PID, signal.SIGTERM)
    whole = await asyncio.gather(*callers)
    print(f"whole {sum(whole)} of {CALLERS}", flush=True)
    os._exit(0)


asyncio.run(main())
