"""Callers that hold connections to one address until they are ended.

hold.py HOST:PORT COUNT [TARGET]: with TARGET each asks for it once and reads
the first bytes of the answer. Prints "held N" once all have been tried. What
is closed is opened again, at a bounded rate.
"""
import resource
import select
import socket
import sys
import time

TRY_S = 1.0
AGAIN_S = 0.1
AGAIN_MOST = 20


def ask(target):
    return (
        f"GET {target} HTTP/1.1\r\nHost: a.example\r\n"
        "Authorization: Bearer k1\r\nFilberthall-Attempt-Id: h1\r\n"
        "Filberthall-Deadline-Ms: 8000\r\n\r\n"
    ).encode()


def dial(address):
    caller = socket.socket()
    caller.setblocking(False)
    caller.connect_ex(address)
    return caller


def ask_all(callers, target):
    """Ask on those that stand within the time; how many do."""
    until = time.monotonic() + TRY_S
    waiting = poll_of(callers, select.POLLOUT)
    left = len(callers)
    while left and time.monotonic() < until:
        for number, _ in waiting.poll(100):
            waiting.unregister(number)
            left -= 1
            if target:
                try:
                    callers[number].send(ask(target))
                except OSError:
                    continue
    return len(callers) - left


def poll_of(callers, events):
    poll = select.poll()
    for number in callers:
        poll.register(number, events)
    return poll


def hold(callers, address, target):
    while True:
        time.sleep(AGAIN_S)
        events = select.POLLRDHUP
        gone = [n for n, _ in poll_of(callers, events).poll(0)]
        fresh = {}
        for number in gone[:AGAIN_MOST]:
            callers.pop(number).close()
        for _ in gone[:AGAIN_MOST]:
            caller = dial(address)
            fresh[caller.fileno()] = caller
        callers.update(fresh)
        if target and fresh:
            ask_all(fresh, target)


def main():
    host, port = sys.argv[1].rsplit(":", 1)
    address = (host, int(port))
    count = int(sys.argv[2])
    target = sys.argv[3] if len(sys.argv) > 3 else None
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 4096), hard))
    callers = {}
    for _ in range(count):
        caller = dial(address)
        callers[caller.fileno()] = caller
    print("held", ask_all(callers, target), flush=True)
    hold(callers, address, target)


main()
