"""An entry VM gets SIGTERM while callers that don't read for some seconds are
still owed the rest of answers that their engines have finished."""
import asyncio
import os
import signal
import socket
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from reviewsite import TROUBLE, Answer, config, play, read_head, route  # noqa

SCRIBE = "paddock-scribe"
LIMIT_MS = 8000  # time limit and timeout_ms, as of herd-history
ANSWER_BYTES = 512 * 1024
STALL_S = 5.0  # from the first bytes on, nothing is read
EVENTS = 64
CALLERS = 8


async def long_answer(engine, head, body, writer):
    request = head.get("filberthall-attempt-id")
    writer.write((engine.head_lines(request) +
                  "Content-Type: text/event-stream\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n").encode())
    for i in range(1, EVENTS + 1):
        event = b"id: %d\ndata: %s\n\n" % (
            i, b"e" * (ANSWER_BYTES // EVENTS))
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
        await asyncio.sleep(0.005)
    writer.write(b"0\r\n\r\n")
    await writer.drain()
    engine.site.record("engine %s has written the whole answer to %s" %
                       (engine.id, request))
    return True


class StallingReader:
    """Reads the first bytes, then nothing for STALL_S, then the rest."""

    def __init__(self, sock):
        self.sock = sock
        self.loop = asyncio.get_running_loop()
        self.got = b""
        self.begun = False

    async def more(self):
        piece = await self.loop.sock_recv(self.sock, 4096)
        if not piece:
            raise asyncio.IncompleteReadError(self.got, None)
        self.got += piece
        if not self.begun:
            self.begun = True
            await asyncio.sleep(STALL_S)

    async def readuntil(self, end):
        while end not in self.got:
            await self.more()
        at = self.got.index(end) + len(end)
        text, self.got = self.got[:at], self.got[at:]
        return text

    async def readexactly(self, n):
        while len(self.got) < n:
            await self.more()
        text, self.got = self.got[:n], self.got[n:]
        return text


async def receive(site, n, text, answer):
    sock = socket.socket()
    sock.setblocking(False)
    # As on a network that isn't loopback: packets of 1,460 bytes.
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1460)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)
    loop = asyncio.get_running_loop()
    try:
        await loop.sock_connect(sock, site.entry_address(n))
        await loop.sock_sendall(sock, text)
        reader = StallingReader(sock)
        answer.head = await read_head(reader)
        answer.status = int(answer.head.first.split(" ")[1])
        while True:
            size = int(await reader.readuntil(b"\r\n"), 16)
            piece = await reader.readexactly(size + 2)
            if not size:
                break
            answer.body += piece[:-2]
        answer.whole = True
    finally:
        sock.close()


async def slow_ask(site, n, path):
    request, head = site.request_head("GET", path, LIMIT_MS)
    answer = Answer()
    begun = time.monotonic()
    site.record("caller sends %s GET %s to entry-%d" % (request, path, n))
    try:
        await asyncio.wait_for(receive(site, n, head, answer),
                               LIMIT_MS / 1000)
    except asyncio.TimeoutError:
        answer.error = "time limit"
    except (OSError, asyncio.IncompleteReadError, ValueError) as error:
        answer.error = type(error).__name__
    answer.took_s = time.monotonic() - begun
    answer.request = request
    site.record("caller of %s gets %s, %d bytes, %s, after %.3f s" % (
        request, answer.status, len(answer.body),
        "whole" if answer.whole else "not whole (%s)" % answer.error,
        answer.took_s))
    return answer


async def scene(site):
    await site.open(config(7, [
        route("r-herd", "/herd/", "streaming", SCRIBE, timeout_ms=LIMIT_MS,
              latency_goal_ms=1500, target_itl_ms=1000, resumable=False,
              max_attempts=1),
    ], [SCRIBE]))
    for n in (1, 2):
        await site.engine("scribe-%d" % n, SCRIBE, site.engine_address(n),
                          handler=long_answer)
    for engine in site.engines:
        await asyncio.wait_for(engine.checked_in.wait(), 20)
    await site.all_ready()
    await asyncio.sleep(4)  # contact_ms is 3 s: all is calm before
    asked = [asyncio.create_task(slow_ask(site, 1, "/herd/%d" % i))
             for i in range(CALLERS)]
    await asyncio.sleep(0.5)
    if TROUBLE:
        site.signal("entry-1", signal.SIGTERM)
        stopped = time.monotonic()
        while site.processes["entry-1"].poll() is None:
            await asyncio.sleep(0.01)
            if time.monotonic() - stopped > 8:
                site.signal("entry-1", signal.SIGKILL)
        site.record("entry-1 has ended, %.3f s after SIGTERM, status %d" % (
            time.monotonic() - stopped, site.processes["entry-1"].returncode))
    answers = await asyncio.gather(*asked)
    lost = [a for a in answers if not a.whole and a.error != "time limit"]
    late = [a for a in answers if a.error == "time limit"]
    if late:
        site.record("%d callers reached their time limit" % len(late))
    if lost:
        return ("LOST: %d of %d answers were cut off around a planned stop, "
                "the first: %s after %.1f s, %d bytes" % (
                    len(lost), len(answers), lost[0].request,
                    lost[0].took_s, len(lost[0].body)))
    return None


play(__file__, scene)
