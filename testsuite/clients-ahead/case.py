"""Clients that send many requests ahead on a connection without reading the answers don't take a gateway beyond its
memory."""

from crowds import crowded_deployment, expect_none, head, play_at_gateway

CROWD = 300
AHEAD = 300


def requests(path):
    return [head(path, f"Request-Id: ahead-{number}", method="GET") for number in range(AHEAD)]


KINDS = {
    "served": ("callers", [b"".join(requests("/read/x"))]),
    "no route": ("callers", [b"".join(requests("/nowhere"))]),
    "no route, large bodies": ("callers", [
        (head("/nowhere", "Content-Length: 1000000") + b"x" * 1000000) * 2]),
    "ready address": ("ready", [b"".join(requests("/readyz"))]),
    "metrics address": ("admin", [b"".join(requests("/metrics"))]),
    "one piece a request": ("callers", requests("/nowhere")),
}


def run(build):
    with crowded_deployment(build)(build, gateways=0) as deployment:
        faults = []
        for name, (target, pieces) in KINDS.items():
            faults += play_at_gateway(deployment, name, target, CROWD, pieces)
        expect_none(faults)
