"""An engine runs a request, fails and answers 503 without Not-Executed."""
import os
import random
import sys
import threading

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))

import site2  # noqa: E402

ROUTES = [site2.route("lodge", "non_idempotent", "desk", "/lodge/",
                      max_attempts=1)]
PROMISES = (408, 421, 429, 503)
REQUESTS = 150
FAILS = 0.4


def case(site, trouble):
    lodged = []
    lock = threading.Lock()

    def grey(engine, request):
        """The work is done; then some requests fail, as a database is away."""
        with lock:
            lodged.append(request.path)
        if trouble and random.random() < FAILS:
            site.record.write("engine %s answers 503, without Not-Executed, "
                              "id=%s" % (engine.id, request.id))
            request.reply(503, [], b"failed after the record was written\n")
        else:
            request.reply(200, [], b"lodged\n")

    def sound(engine, request):
        with lock:
            lodged.append(request.path)
        request.reply(200, [], b"lodged\n")

    site.start_all()
    if site.put_config(site2.config(1, ROUTES, ["desk"],
                                    [("yards", ["k1"])])) != 200:
        raise site2.CannotRun("the config isn't acknowledged")
    for n in (1, 2):
        site.engine("d%d" % n, "desk", answer=grey)
    for n in (3, 4):
        site.engine("d%d" % n, "desk", zone="hobart-b", answer=sound)
    site.wait_ready()
    for n in site.entry_names:
        if not site2.until(10, lambda: site.ask(n, "/lodge/warm",
                                                "k1").status in (200, 503)):
            raise site2.CannotRun("requests aren't served")
    broken = 0
    for number in range(REQUESTS):
        n = number % 2 + 1
        path = "/lodge/calf-%d" % number
        answer = site.ask(n, path, "k1")
        ran = any(request.id == answer.id
                  for engine in site.engines for request in engine.ran)
        if answer.status in PROMISES and ran:
            broken += 1
            site.record.write("BROKEN: %s ran and was answered %d"
                              % (path, answer.status))
        # After a promise a requester sends again, under a new id.
        if answer.status in PROMISES:
            site.ask(3 - n, path, "k1")
    twice = sum(lodged.count("/lodge/calf-%d" % number) > 1
                for number in range(REQUESTS))
    print("%d of %d requests ran and were answered with a promise; "
          "%d calves are in the register twice" % (broken, REQUESTS, twice))
    site.record.write("%d calves are in the register twice" % twice)
    return not broken


sys.exit(site2.main(case, HERE))
