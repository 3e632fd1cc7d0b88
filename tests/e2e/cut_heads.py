"""Servers that break off within the heads of their answers.

cut_heads.py ENTRY CONTROL...: starts servers that announce themselves to the
control VMs, asks the entry VM and prints a line a kind of request:

KIND planned=N cut=N joined=N whole=N lost=N

cut: heads that servers broke off; joined: answers that passed for whole though
no server gave them; whole and lost: whole answers of servers that the caller
got and didn't get.
"""
import asyncio
import itertools
import os
import sys
import time

from rawsite import announce, read_body, read_head, request_text

ENTRY = sys.argv[1].rsplit(":", 1)
CONTROLS = [text.rsplit(":", 1) for text in sys.argv[2:]]
SERVERS = 128
SOUND = 1
ENDS = ("close", "reset", "half")
FRAMINGS = ("length", "chunked", "empty", "open")
PLACES = (0, 9, 17, 0.5, -4, -1)
EVENTS = 4


def events(first):
    return "".join(f"id: {n}\ndata: {n}\n\n" for n in range(first, EVENTS + 1))


def head_of(request, framing, body):
    lines = [
        "HTTP/1.1 200 OK",
        f"Filberthall-Attempt-Id: {request['id']}",
        "Filberthall-Server-Signature: s.1",
    ]
    if request["stream"]:
        lines.append("Content-Type: text/event-stream")
    if framing == "length":
        lines.append(f"Content-Length: {len(body)}")
    elif framing == "empty":
        lines.append("Content-Length: 0")
    elif framing == "chunked":
        lines.append("Transfer-Encoding: chunked")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def place_of(place, head):
    if isinstance(place, float):
        return int(place * len(head))
    return place if place >= 0 else len(head) + place


def end(writer, how):
    if how == "reset":
        writer.transport.abort()
    elif how == "half" and writer.can_write_eof():
        writer.write_eof()
        asyncio.get_running_loop().call_later(2, writer.close)
    else:
        writer.close()


class Site:
    """What is planned for a request, by its id, and what became of it."""

    def __init__(self):
        self.plans = {}
        self.cut = {}
        self.whole = {}

    async def serve(self, reader, writer):
        try:
            while await self.answer(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def answer(self, reader, writer):
        line, fields = await read_head(reader)
        await reader.readexactly(int(fields.get("content-length", 0)))
        request = {
            "id": fields["filberthall-attempt-id"],
            "stream": "/stream/" in line,
        }
        plan = self.plans.get(request["id"])
        after = int(fields.get("last-event-id", 0))
        if plan and plan["resumed"] and not after:
            return await self.break_off(request, writer)
        if plan:
            return await self.cut_head(request, plan, writer)
        body = (events(after + 1) if request["stream"] else "whole").encode()
        writer.write(head_of(request, "length", body) + body)
        await writer.drain()
        self.whole[request["id"]] = body
        return True

    async def break_off(self, request, writer):
        """A stream of two events and no end, to be resumed."""
        piece = events(1).split("\n\n")
        body = ("\n\n".join(piece[:2]) + "\n\n").encode()
        writer.write(head_of(request, "chunked", body))
        writer.write(b"%x\r\n" % len(body) + body + b"\r\n")
        await writer.drain()
        await asyncio.sleep(0.02)
        writer.close()
        return False

    async def cut_head(self, request, plan, writer):
        head = head_of(request, plan["framing"], b"whole")
        writer.write(head[: place_of(plan["place"], head)])
        await writer.drain()
        self.cut[request["id"]] = True
        end(writer, plan["end"])
        return False


async def ask(path, name):
    try:
        reader, writer = await asyncio.open_connection(ENTRY[0], int(ENTRY[1]))
        writer.write(request_text(path, name, 3000))
        line, fields = await asyncio.wait_for(read_head(reader), 6)
        status = int(line.split()[1])
        got, whole = await asyncio.wait_for(read_body(reader, fields), 6)
        writer.close()
        return status, got, whole
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
        return 0, b"", False


async def play(site, kind, path, resumed):
    planned = joined = whole = lost = cut = 0
    plans = itertools.product(FRAMINGS, ENDS, PLACES)
    for nth, (framing, how, place) in enumerate(plans):
        name = f"{kind}-{nth}"
        site.plans[name] = {
            "framing": framing,
            "end": how,
            "place": place,
            "resumed": resumed,
        }
        planned += 1
        status, _, complete = await ask(f"{path}{name}", name)
        joined += 200 <= status < 300 and complete
        cut += name in site.cut
        for again in range(SOUND):
            name = f"{kind}-sound-{nth}-{again}"
            status, got, complete = await ask(f"{path}{name}", name)
            given = site.whole.get(name)
            if given is not None:
                fine = status == 200 and complete and got == given
                whole += fine
                lost += not fine
    print(
        f"{kind} planned={planned} cut={cut} joined={joined} "
        f"whole={whole} lost={lost}",
        flush=True,
    )


async def main():
    site = Site()
    started = int(time.time() * 1000)
    tasks = []
    for nth in range(SERVERS):
        server = await asyncio.start_server(site.serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        service = "scribe" if nth % 2 else "desk"
        name = f"raw-{nth}"
        tasks.append(
            asyncio.create_task(
                announce(CONTROLS, name, service, port, started)
            )
        )
    for service, path in (("desk", "/read/"), ("scribe", "/stream/r/")):
        for nth in range(1000):
            if (await ask(f"{path}warm", f"warm-{service}-{nth}"))[0] == 200:
                break
            await asyncio.sleep(0.02)
    await play(site, "read", "/read/", False)
    await play(site, "once", "/once/", False)
    await play(site, "stream", "/stream/r/", False)
    await play(site, "resumed", "/stream/r/", True)
    for task in tasks:
        task.cancel()
    # Streams that were cut are left as they are.
    os._exit(0)


asyncio.run(main())
