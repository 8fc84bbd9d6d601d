"""Clients that send large bodies, most of which stop just short of their end, don't take a gateway beyond its memory."""

from crowds import chunked_body, crowded_deployment, expect_none, head, in_pieces, play_at_gateway, sized_body

CROWD = 40
FULL = 4 << 20
ROUTE = "/write/x"

KINDS = {
    "one piece": [sized_body(ROUTE, FULL)],
    "small pieces": in_pieces(sized_body(ROUTE, FULL), 4096),
    "chunks of 1 kB": [chunked_body(ROUTE, FULL, 1024)],
    # Half a body: a byte takes six on the wire.
    "chunks of one byte": [chunked_body(ROUTE, FULL // 2, 1)],
    "half a body": [sized_body(ROUTE, FULL, FULL // 2)],
    "far over the limit, length stated": [head(ROUTE, "Content-Length: 1000000000")] + [b"x" * (1 << 20)] * 8,
    "far over the limit, in chunks": [chunked_body(ROUTE, 2 * FULL, 65536)],
}
PLACES = {
    "no route": ("callers", [sized_body("/nowhere", FULL)]),
    "ready address": ("ready", [sized_body("/readyz", FULL)]),
    "metrics address": ("admin", [sized_body("/metrics", FULL)]),
    "metrics address, in chunks": ("admin", [chunked_body("/metrics", FULL, 1024)]),
}


def run(build):
    with crowded_deployment(build)(build, gateways=0) as deployment:
        faults = []
        for name, pieces in KINDS.items():
            faults += play_at_gateway(deployment, name, "callers", CROWD, pieces)
        for name, (target, pieces) in PLACES.items():
            faults += play_at_gateway(deployment, name, target, CROWD, pieces)
        expect_none(faults)
