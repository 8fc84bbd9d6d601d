"""Clients that read long answers slowly or not at all, that send slowly, or that stop half-way, don't take a gateway beyond
its memory and descriptors. A caller that reads a long answer slowly still gets the whole of it."""

import time

from crowds import Crowd, GATEWAY_LIMIT_MB, check_bounds, check_served, crowded_deployment, expect_none, \
    gateway_name, head, play_at_gateway

READERS = 40
BLOCK = b"x" * 65536
BLOCKS = 112
SLOW_BLOCKS = 48
# Together with the callers that the settings allow, more than the usual limit of descriptors.
IDLE_CROWD = 700
HALF_HEAD = b"POST /write/x HTTP/1.1\r\nHost: ca"


def send_blocks(request, fields, wrap, blocks):
    request.close_connection = True
    request.send_response(200)
    identity = request.headers["Request-Id"]
    for name, value in {"Request-Id": identity, "Response-Seal": "seal-" + identity, **fields}.items():
        request.send_header(name, value)
    request.send_header("Transfer-Encoding", "chunked")
    request.end_headers()
    try:
        for _ in range(blocks):
            data = wrap(BLOCK)
            request.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))
        request.wfile.write(b"0\r\n\r\n")
        request.wfile.flush()
    except OSError:
        pass  # the gateway has closed the connection


def long_answer(request):
    """Instances answer some paths with long bodies, and with long streams."""
    if "long" not in request.path:
        return False
    if "Model" in request.headers:
        send_blocks(request, {"Content-Type": "text/event-stream"}, lambda block: b"data: " + block + b"\n\n", BLOCKS)
    else:
        send_blocks(request, {}, lambda block: block, SLOW_BLOCKS if "slowly" in request.path else BLOCKS)
    return True


def read_slowly(deployment, gateway):
    """A caller that reads 3 MB in 3 s gets all of it."""
    name = f"slow-{time.monotonic_ns()}"
    with Crowd(deployment.processes[gateway].field("callers"), 1,
               [head("/read/long-slowly", f"Request-Id: {name}", "Connection: close", method="GET")]) as crowd:
        connection = crowd.play().clients[0].socket
        connection.settimeout(20)
        received = 0
        try:
            while data := connection.recv(65536):
                received += len(data)
                time.sleep(0.05)
        except OSError as error:
            return [f"a caller that reads slowly was cut after {received} bytes: {error}"]
    if received < SLOW_BLOCKS * len(BLOCK):
        return [f"a caller that reads slowly got {received} bytes only"]
    return []


def reading(path, *fields):
    return [head(path, "Request-Id: reader", *fields, method="GET")]


STREAM_FIELDS = ("Model: m", "Program-Id: p", "Session-Id: s", "Token-Budget: 100000000", "Token-Counts: 100,10",
                 "Content-Length: 0")


def play_idle(deployment, name, pieces):
    """Fills all three addresses of a gateway with connections that don't go on."""
    gateway = gateway_name(name)
    deployment.start_gateway(gateway)
    deployment.wait_serving(gateway)
    process = deployment.processes[gateway]
    crowds = [Crowd(deployment.gateway_address(gateway, target), IDLE_CROWD, pieces).play()
              for target in ("callers", "ready", "admin")]
    faults = check_bounds(process, name, GATEWAY_LIMIT_MB)
    faults += check_served(lambda: deployment.is_answered(gateway), f"{name}: an ordinary request is answered")
    for crowd in crowds:
        crowd.close()
    process.close()
    del deployment.processes[gateway]
    return faults


def run(build):
    with crowded_deployment(build)(build, gateways=0) as deployment:
        for runner in deployment.runners:
            runner.fault_handler = long_answer
        faults = play_at_gateway(deployment, "unread answers", "callers", READERS, reading("/read/long"),
                                 after=[read_slowly])
        faults += play_at_gateway(deployment, "unread streams", "callers", READERS,
                                  reading("/streams/long", *STREAM_FIELDS))
        faults += play_idle(deployment, "silent", [])
        faults += play_idle(deployment, "half a head", [HALF_HEAD])
        faults += play_idle(deployment, "a byte a second", [head("/nowhere", "Content-Length: 100")])
        expect_none(faults)
