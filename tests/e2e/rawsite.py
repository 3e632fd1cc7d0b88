"""Servers and callers of an entry VM that speak byte by byte, for tests."""
import asyncio
import itertools
import json


async def read_head(reader):
    """The first line and the fields, by their names in lower case."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    """The body, and whether it came whole."""
    if "content-length" in fields:
        length = int(fields["content-length"])
        body = await reader.read(length) if length else b""
        while len(body) < length:
            more = await reader.read(length - len(body))
            if not more:
                return body, False
            body += more
        return body, True
    body = b""
    if fields.get("transfer-encoding") != "chunked":
        return await reader.read(), True
    while True:
        size = int((await reader.readuntil(b"\r\n")).decode(), 16)
        piece = await reader.readexactly(size + 2)
        if not size:
            return body, True
        body += piece[:-2]


def request_text(path, name, deadline_ms):
    method, body = ("GET", "") if "/read/" in path else ("POST", "x")
    return (
        f"{method} {path} HTTP/1.1\r\nHost: a.example\r\n"
        "Authorization: Bearer k1\r\n"
        f"Filberthall-Attempt-Id: {name}\r\n"
        f"Filberthall-Deadline-Ms: {deadline_ms}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n{body}"
    ).encode()


async def announce(controls, name, service, port, started):
    """Announce a server to one control VM after the other, for ever."""
    for sequence in itertools.count(1):
        body = json.dumps(
            {
                "service": service,
                "address": f"127.0.0.1:{port}",
                "zone": "z1",
                "version": "v1",
                "slots": 32,
                "state": "ready",
                "sequence": sequence,
                "born": started,
            }
        )
        host, at = controls[sequence % len(controls)]
        try:
            reader, writer = await asyncio.open_connection(host, int(at))
            writer.write(
                (
                    f"PUT /filberthall/instances/{name} HTTP/1.1\r\n"
                    f"Host: c\r\nContent-Length: {len(body)}\r\n\r\n{body}"
                ).encode()
            )
            await read_head(reader)
            writer.close()
        except (OSError, asyncio.IncompleteReadError):
            pass
        await asyncio.sleep(0.4)
