"""Proxies before the link addresses of control VMs.

held_links.py HELD LISTEN=BEHIND...: while the file HELD names a VM, the bytes
of all its links stay here, in both directions. A VM says its name with the
first bytes of a link.
"""
import asyncio
import sys

LOOK_S = 0.005
PIECE = 65536

HELD_FILE = sys.argv[1]
held = set()


def read_held():
    try:
        with open(HELD_FILE, encoding="ascii") as names:
            return set(names.read().split())
    except FileNotFoundError:
        return set()


async def look():
    while True:
        held.clear()
        held.update(read_held())
        await asyncio.sleep(LOOK_S)


class Link:
    """One connection; `hello` is what its VM sent first."""

    def __init__(self, hello):
        self.hello = hello

    def is_held(self):
        return any(name.encode() in self.hello for name in held)

    async def pass_on(self, reader, writer):
        try:
            while True:
                piece = await reader.read(PIECE)
                while self.is_held():
                    await asyncio.sleep(LOOK_S)
                if not piece:
                    break
                writer.write(piece)
                await writer.drain()
        except OSError:
            pass
        writer.close()


async def carry(reader, writer, behind):
    hello = await reader.read(PIECE)
    link = Link(hello)
    while link.is_held():
        await asyncio.sleep(LOOK_S)
    try:
        host, port = behind.rsplit(":", 1)
        far_reader, far_writer = await asyncio.open_connection(host, int(port))
    except OSError:
        writer.close()
        return
    far_writer.write(hello)
    await asyncio.gather(
        link.pass_on(reader, far_writer), link.pass_on(far_reader, writer)
    )


async def listen(pair):
    address, behind = pair.split("=")
    host, port = address.rsplit(":", 1)
    await asyncio.start_server(
        lambda reader, writer: carry(reader, writer, behind), host, int(port)
    )


async def main():
    for pair in sys.argv[2:]:
        await listen(pair)
    print("listening", flush=True)
    await look()


asyncio.run(main())
