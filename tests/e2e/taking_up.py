"""Callers who leave streams and take them up at an entry VM out of step.

40 streams begin at some entry VMs; their callers leave after a few events and
come back to another one, while some VMs have no links to control VMs. New
callers come to that one meanwhile. Prints what became of them.
"""
import argparse
import asyncio
import time

from rawsite import read_head

STREAMS = 40
NEW = 20
EVENTS = 24
TRIES = 8
PAUSE_S = 0.3
GAP_S = 0.02
WAIT_S = 6

PLAY = time.time_ns()


def read_args():
    parser = argparse.ArgumentParser()
    parser.add_argument("--held", help="file that names the VMs cut off")
    parser.add_argument("--cut", help="their names", default="")
    parser.add_argument("--seconds", type=float, help="how long they are")
    parser.add_argument("--begin", help="IP:PORT,... where streams begin")
    parser.add_argument("--to", help="IP:PORT where callers come back")
    parser.add_argument(
        "--begin-after", type=float, help="seconds from the cut on"
    )
    parser.add_argument("--back-after", type=float, default=0.1)
    return parser.parse_args()


ARGS = read_args()
FROM = ARGS.begin.split(",")
TO = ARGS.to


class Stream:
    def __init__(self, number, kind):
        self.kind = kind
        self.number = number
        self.first = None
        self.ids = []
        self.servers = set()
        self.statuses = []
        self.whole_s = None

    def take(self, line):
        text = line.decode().strip()
        if text.startswith("id: "):
            self.ids.append(int(text[4:]))
        elif text.startswith("data: "):
            self.servers.add(text.rsplit(" of ", 1)[-1])

    def is_whole(self):
        return self.ids == list(range(1, EVENTS + 1))

    def text_of(self, name):
        lines = [
            f"POST /stream/r/{self.kind}{self.number} HTTP/1.1",
            "Host: a.example",
            "Authorization: Bearer k1",
            f"Filberthall-Attempt-Id: {name}",
            f"Filberthall-Deadline-Ms: {WAIT_S * 1000}",
            "Content-Length: 1",
        ]
        if self.ids:
            lines += [f"Last-Event-Id: {self.ids[-1]}", f"Resumes: {self.first}"]
        return ("\r\n".join(lines) + "\r\n\r\nx").encode()

    async def ask(self, address, most):
        """One request, until it ends or `most` events have come."""
        name = f"{PLAY}-{self.kind}{self.number}-{len(self.statuses)}"
        host, port = address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(self.text_of(name))
            line, _ = await read_head(reader)
            self.statuses.append(int(line.split()[1]))
            if self.statuses[-1] != 200:
                return
            self.first = self.first or name
            while len(self.ids) < most:
                line = await reader.readline()
                if not line:
                    return
                self.take(line)
        except (asyncio.IncompleteReadError, OSError):
            self.statuses.append(0)
        finally:
            writer.close()

    async def come_back(self, address):
        for number in range(TRIES):
            if number:
                await asyncio.sleep(PAUSE_S)
            await asyncio.wait_for(self.ask(address, EVENTS), WAIT_S)
            if self.is_whole():
                self.whole_s = time.monotonic()
                return


def hold(names):
    with open(ARGS.held, "w", encoding="ascii") as held:
        held.write("\n".join(names))


async def begin():
    streams = [Stream(i, "old") for i in range(STREAMS)]
    asked = []
    for i, stream in enumerate(streams):
        address = FROM[i % len(FROM)]
        asked.append(asyncio.create_task(stream.ask(address, 2 + i % 9)))
        await asyncio.sleep(GAP_S)
    await asyncio.gather(*asked)
    return streams


async def begin_new():
    streams = [Stream(i, "new") for i in range(NEW)]
    asked = []
    for stream in streams:
        asked.append(asyncio.create_task(stream.ask(TO, EVENTS)))
        await asyncio.sleep(0.05)
    await asyncio.gather(*asked)
    return streams


async def main():
    streams = [] if ARGS.begin_after else await begin()
    hold(ARGS.cut.split(","))
    until = time.monotonic() + ARGS.seconds
    if ARGS.begin_after:
        await asyncio.sleep(ARGS.begin_after)
        streams = await begin()
    await asyncio.sleep(ARGS.back_after)
    back = asyncio.gather(*(stream.come_back(TO) for stream in streams))
    new = asyncio.create_task(begin_new())
    await asyncio.sleep(max(0, until - time.monotonic()))
    ended = time.monotonic()
    hold([])
    await back
    new = await new
    await asyncio.sleep(0.5)
    refused = [s for s in streams if any(c != 200 for c in s.statuses[1:])]
    in_time = [s for s in streams if s.whole_s and s.whole_s < ended]
    print(f"whole {sum(s.is_whole() for s in streams)}")
    print(f"in-time {len(in_time)}")
    print(f"refused {len(refused)}")
    print(f"refusals {sum(c != 200 for s in streams for c in s.statuses)}")
    print(f"joined {sum(len(s.servers) > 1 for s in streams + new)}")
    print(f"new {sum(s.is_whole() for s in new)}")


asyncio.run(main())
