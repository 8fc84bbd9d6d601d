"""Heads of very many short fields, chunk extensions and trailers, of many clients at once, don't take a gateway beyond its
memory."""

from crowds import crowded_deployment, expect_none, head, play_at_gateway

CROWD = 400
ROUTE = "/write/x"
LIMIT = 16384
SHORT_FIELDS = b"a:\r\n" * 3900
# Different names: a field of a known name only extends the known one.
NAMED_FIELDS = b"".join(b"%x:\r\n" % number for number in range(2200))
START = b"POST /write/x HTTP/1.1\r\nHost: calls.example\r\n"
CHUNKED = head(ROUTE, "Transfer-Encoding: chunked")

KINDS = {
    "many short fields without an end": ("callers", [START + SHORT_FIELDS]),
    "many short fields, body outstanding": ("callers", [START + b"Content-Length: 9\r\n" + NAMED_FIELDS + b"\r\n"]),
    "many short fields without an end, ready address": ("ready", [START + SHORT_FIELDS]),
    "many short fields without an end, metrics address": ("admin", [START + SHORT_FIELDS]),
    "one long field without an end": ("callers", [START + b"a: " + b"x" * (LIMIT - 200)]),
    "chunk extension without an end": ("callers", [CHUNKED + b"5;" + b"x" * (2 * LIMIT)]),
    "chunk extensions": ("callers", [CHUNKED + (b"1;a=b;" + b"c" * 1000 + b"\r\nx\r\n") * 1000]),
    "trailers without an end": ("callers", [CHUNKED + b"1\r\nx\r\n0\r\n" + SHORT_FIELDS]),
    "long query": ("callers", [b"POST /write/x?" + b"a&" * 7000 + b" HTTP/1.1\r\nContent-Length: 9\r\n\r\n"]),
}


def run(build):
    with crowded_deployment(build)(build, gateways=0) as deployment:
        faults = []
        for name, (target, pieces) in KINDS.items():
            faults += play_at_gateway(deployment, name, target, CROWD, pieces)
        expect_none(faults)
