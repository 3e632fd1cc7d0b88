"""Names of 64 bytes and more, among them ones that differ only at their end.

names.py document: the document that has them all. names.py list KIND: the names
of a kind, one a line. names.py reported RECORD: the names in usage reports and
orders of that file, one a line, whole windows only.
"""
import json
import re
import sys

SERVICES = ["a" * 64, "b" * 63 + "1", "b" * 63 + "2", "служба" * 25]
HOLDERS = ["c" * 64, "d" * 63 + "1", "d" * 63 + "2", "школа" * 25]
ZONES = ["e" * 63 + "1", "e" * 63 + "2", "зона" * 20]
NAMES = {"services": SERVICES, "holders": HOLDERS, "zones": ZONES}


def route(index):
    return {
        "name": f"r{index}",
        "host": "a.example",
        "path_prefix": f"/{index}/",
        "type": "non_idempotent",
        "timeout_ms": 4000,
        "latency_goal_ms": 300,
        "priority": 0,
        "service": SERVICES[index],
        "max_attempts": 1,
    }


def service(name):
    prices = {zone: 1.0 for zone in ZONES}
    return {
        "name": name,
        "scaling": {"min": 2, "max": 2, "boot_time_s": 1, "zone_prices": prices},
    }


def document():
    return {
        "version": 1,
        "routes": [route(index) for index in range(len(SERVICES))],
        "services": [service(name) for name in SERVICES],
        "tenants": [
            {"name": name, "api_keys": [f"k{index}"]}
            for index, name in enumerate(HOLDERS)
        ],
    }


def reported(path):
    names = set()
    with open(path, encoding="utf-8") as file:
        for text in re.findall(r"\{.*\}", file.read()):
            body = json.loads(text)
            names.update(body.get("counts", {}))
            names.update(
                f"{body['service']} {body['zone']}" for _ in "x" if "zone" in body
            )
    return sorted(names)


if sys.argv[1] == "document":
    print(json.dumps(document()))
elif sys.argv[1] == "list":
    print("\n".join(NAMES[sys.argv[2]]))
else:
    print("\n".join(reported(sys.argv[2])))
