"""Clients that send large bodies or heads to entries and sidecars, and strangers at the ports between them, don't take these
programs beyond the memory of their machines."""

from crowds import Crowd, MAX_DESCRIPTORS, check_bounds, check_served, chunked_body, expect_none, head, hello, link_data, \
    link_request, memory_settings, sized_body
from harness import System, call, http, open_program, wait_until

# Their machines are those of gateways and journals.
LIMIT_MB = 72
FULL = 4 << 20
LONGEST = 16 << 20
LONG_MESSAGE = LONGEST.to_bytes(4, "big") + b"x" * (LONGEST - 1)
FIELDS = b"a:\r\n" * 3900

CALLER_KINDS = {
    "bodies": (40, [sized_body("/v1/programs", FULL)]),
    "bodies in chunks": (40, [chunked_body("/v1/programs", FULL, 1024)]),
    "bodies at no route": (40, [sized_body("/nowhere", FULL)]),
    "fields": (400, [head("/v1/programs")[:-2] + FIELDS]),
}
ADMIN_KINDS = {
    "bodies at the metrics address": (40, [sized_body("/metrics", FULL)]),
    "silent at the metrics address": (MAX_DESCRIPTORS + 200, []),
}
PEER_KINDS = {
    "long message before the hello": (12, [link_request(), link_data(LONG_MESSAGE)]),
    "long message after the hello": (12, lambda number: [
        link_request(), link_data(hello(f"stranger-{number}") + LONG_MESSAGE)]),
    "silent at the peers' address": (MAX_DESCRIPTORS + 200, []),
}


def is_called(system):
    address = system.caller_addresses()[0]
    try:
        return call(address, open_program(address)[1], {"input": "still here?", "max_tokens": 3})[0] == 200
    except Exception:  # noqa: BLE001 refused, or not answered as expected
        return False


def is_healthy(process):
    try:
        return http("GET", process.field("admin"), "/healthz", limit_s=5)[0] == 200
    except OSError:
        return False


def play(build, make_process, address, kinds):
    """Plays each kind of crowd against an address of the process that `make_process(system)` returns."""
    faults = []
    for name, (count, pieces) in kinds.items():
        with System(build) as system:
            process = make_process(system)
            system.wait_ready()
            wait_until(lambda s=system: is_called(s), "a call is answered")
            with Crowd(process.field(address), count, pieces) as crowd:
                crowd.play()
                faults += check_bounds(process, f"{process.name}, {name}", LIMIT_MB)
                faults += check_served(lambda p=process: is_healthy(p), f"{name}: {process.name} answers")
                faults += check_served(lambda s=system: is_called(s), f"{name}: a call is answered")
    return faults


def run(build):
    def with_entry(system):
        system.start_endpoint("llm-a0", "a", "agent-llm", True, "--speed", "4")
        return system.start_entry("entry-a", "a", settings=memory_settings(build, "rattandeck-entry", LIMIT_MB))

    def with_sidecar(system):
        system.start_endpoint("llm-a0", "a", "agent-llm", True, "--speed", "4",
                              settings=memory_settings(build, "rattandeck-sidecar", LIMIT_MB))
        system.start_entry("entry-a", "a")
        return system.sidecars["llm-a0"]

    faults = play(build, with_entry, "callers", CALLER_KINDS)
    faults += play(build, with_entry, "admin", ADMIN_KINDS)
    faults += play(build, with_entry, "peers", PEER_KINDS)
    faults += play(build, with_sidecar, "admin", ADMIN_KINDS)
    faults += play(build, with_sidecar, "peers", PEER_KINDS)
    expect_none(faults)
