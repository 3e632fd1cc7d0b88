"""All tenants are taken away by a config; their keys go on working."""
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))

import site2  # noqa: E402

ROUTES = [site2.route("lodge", "non_idempotent", "desk", "/lodge/",
                      max_attempts=1)]


def case(site, trouble):
    site.start_all()
    held = [("yards", ["key-yards"]), ("mill", ["key-mill"])]
    # Without the disruption one tenant stays, under a new key.
    left = [] if trouble else [("yards", ["key-new"])]
    first = site2.config(1, ROUTES, ["desk"], held)
    second = site2.config(2, ROUTES, ["desk"], left)
    if site.put_config(first) != 200:
        raise site2.CannotRun("config 1 isn't acknowledged")
    engine = site.engine("d1", "desk")
    site.engine("d2", "desk")
    site.wait_ready()
    for n in site.entry_names:
        if not site2.until(10, lambda: site.ask(n, "/lodge/before",
                                                "key-yards").status == 200):
            raise site2.CannotRun("a request with a good key isn't served")
    if site.ask(1, "/lodge/before", "key-nobody").status != 401:
        raise site2.CannotRun("keys aren't checked before the disruption")
    if site.put_config(second) != 200:
        raise site2.CannotRun("config 2 isn't acknowledged")
    time.sleep(site2.BOUNDS["revoke_ms"] / 1000 + 1)
    read = site.get_config()
    site.record.write("config read back: version %s tenants %s"
                      % (read and read["version"], read and read["tenants"]))
    sent = {}
    for n in site.entry_names:
        for key in ("key-yards", "key-mill", "key-nobody", None):
            answer = site.ask(n, "/lodge/after", key)
            sent[answer.id] = (n, key, answer.status)
    ran = {request.id for one in site.engines for request in one.ran}
    broken = [sent[name] for name in sent if name in ran]
    for n, key, status in broken:
        site.record.write("BROKEN: a request with %s at entry-%d ran (%d)"
                          % (key or "no key", n, status))
    print("%d of %d requests with keys that no longer exist ran"
          % (len(broken), len(sent)))
    return not broken and engine.running


sys.exit(site2.main(case, HERE))
