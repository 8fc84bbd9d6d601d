"""Strangers at a journal's addresses don't take it beyond its memory and descriptors, and it keeps serving."""

from crowds import CONTINUATION, Crowd, HEADERS, MAX_DESCRIPTORS, PING, PREFACE, SETTINGS, check_bounds, check_served, chunked_body, \
    crowded_deployment, expect_none, frame, head, hello, link_data, link_request, literal, sized_body
from harness import http

# A journal's machine has 120 MB; the case gives it less, so that its crowds are small.
JOURNAL_LIMIT_MB = 72
FULL = 4 << 20
LONGEST = 16 << 20
# The beginning of the longest message that is accepted, without its last byte.
LONG_MESSAGE = LONGEST.to_bytes(4, "big") + b"x" * (LONGEST - 1)
HEADER_FLOOD = frame(HEADERS, 0, 1, literal(b"a", b"b")) + frame(CONTINUATION, 0, 1, literal(b"a", b"b") * 2000) * 200

KINDS = {
    "long message before the hello": ("peers", 12, [link_request(), link_data(LONG_MESSAGE)]),
    "long message after the hello": ("peers", 12, lambda number: [
        link_request(), link_data(hello(f"stranger-{number}") + LONG_MESSAGE)]),
    "length alone": ("peers", 300, [link_request(), link_data(LONG_MESSAGE[:4])]),
    "short frames": ("peers", 40, [link_request(), link_data(LONG_MESSAGE[:1 << 20], 16)]),
    "head without an end": ("peers", 300, [PREFACE + frame(SETTINGS, 0, 0) + HEADER_FLOOD]),
    "pings without reading": ("peers", 300, [link_request() + frame(PING, 0, 0, b"12345678") * 4000]),
    "settings without reading": ("peers", 300, [link_request() + frame(SETTINGS, 0, 0) * 4000]),
    "many streams": ("peers", 300, [link_request()] + [
        frame(HEADERS, 4, 3 + 2 * number, b"\x83\x86\x84\x41\x01a") for number in range(2000)]),
    "silent": ("peers", MAX_DESCRIPTORS + 200, []),
    "half a preface": ("peers", MAX_DESCRIPTORS + 200, [PREFACE[:12]]),
    "no HTTP/2": ("peers", 300, [b"\xff" * 65536]),
    "bodies at the metrics address": ("admin", 40, [sized_body("/metrics", FULL)]),
    "chunks at the metrics address": ("admin", 40, [chunked_body("/metrics", FULL, 1024)]),
    "fields at the metrics address": ("admin", 400, [head("/metrics")[:-2] + b"a:\r\n" * 3900]),
    "silent at the metrics address": ("admin", MAX_DESCRIPTORS + 200, []),
}


def is_healthy(address):
    try:
        return http("GET", address, "/healthz", limit_s=5)[0] == 200
    except OSError:
        return False


def run(build):
    attacked = "journal-4"
    deployment_type = crowded_deployment(build)
    deployment_type.limits_mb = {attacked: JOURNAL_LIMIT_MB}
    with deployment_type(build, gateways=1) as deployment:
        faults = []
        for name, (target, count, pieces) in KINDS.items():
            deployment.start_journal(attacked)
            deployment.wait_ready()
            process = deployment.processes[attacked]
            address = deployment.admin[attacked] if target == "admin" else process.field(target)
            with Crowd(address, count, pieces, reads=False) as crowd:
                crowd.play()
                faults += check_bounds(process, name, JOURNAL_LIMIT_MB)
                faults += check_served(lambda: is_healthy(deployment.admin[attacked]), f"{name}: the journal answers")
                faults += check_served(lambda: deployment.turn("gateway-1", f"p-{name}").status == 200,
                                       f"{name}: a turn is served")
            process.close()
            del deployment.processes[attacked]
        expect_none(faults)
