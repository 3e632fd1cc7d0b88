"""One valid config ends each control daemon that comes to lead."""
import collections
import http.server
import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))

import site2  # noqa: E402

# 39 letters and signs, 76 bytes of UTF-8.
LONG = "регистрация-перемещений-сельхозживотных"
WATCH_S = 80
ENDS = 3


class Platform(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def do_POST(self):
        body = self.rfile.read(int(self.headers["Content-Length"]))
        self.server.record.write("platform gets %s from %s: %s" % (
            self.path, self.headers["Filberthall-Duty-Holder"],
            body.decode()))
        self.send_response(200)
        self.send_header("Content-Length", "0")
        self.end_headers()

    def log_message(self, *args):
        pass


def with_scaling(config, name):
    for service in config["services"]:
        if service["name"] == name:
            service["scaling"] = {
                "min": 1, "max": 2, "boot_time_s": 4.0, "spot_price": 0.15,
                "zone_prices": {"hobart-a": 1.0}}
    return config


def case(site, trouble):
    PLATFORM.record = site.record
    name = LONG if trouble else "movement-register"
    routes = [site2.route("lodge", "non_idempotent", "desk", "/lodge/",
                          max_attempts=1)]
    more = routes + [site2.route("summary", "idempotent", name,
                                 "/summary/")]
    site.start_all()
    keys = [("yards", ["k1"])]
    if site.put_config(site2.config(1, routes, ["desk"], keys)) != 200:
        raise site2.CannotRun("config 1 isn't acknowledged")
    site.engine("d1", "desk")
    site.wait_ready()
    time.sleep(6)
    if site.ended():
        raise site2.CannotRun("a process ended before the disruption")
    second = with_scaling(site2.config(2, more, ["desk", name], keys), name)
    if site.put_config(second) != 200:
        raise site2.CannotRun("config 2 isn't acknowledged")
    ends = collections.Counter()
    end = time.monotonic() + WATCH_S
    while time.monotonic() < end:
        for process in site.ended():
            code = site.procs[process].returncode
            ends[process] += 1
            site.record.write("BROKEN: %s ended by itself with %d, %d times"
                              % (process, code, ends[process]))
            # As the platform does: again after a short delay.
            time.sleep(0.2)
            role, n = process.split("-")
            site.start(role, int(n))
        often = [one for one in ends if ends[one] >= ENDS]
        if len(often) > len(site.control_names) / 2:
            break
        time.sleep(0.05)
    print("processes that ended by themselves: %s" % dict(ends))
    return len([one for one in ends if ends[one] >= ENDS]) < 2


PLATFORM = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Platform)
threading.Thread(target=PLATFORM.serve_forever, daemon=True).start()
sys.exit(site2.main(case, HERE,
                    platform="127.0.0.1:%d" % PLATFORM.server_address[1]))
