"""Instances whose answers never end: a gateway's memory stays bounded, calls go on elsewhere or end at their deadline, and the
calls beside them are served."""

import threading
import time

from harness import expect
from platform_standins import Deployment, STREAM

GATEWAY = "gateway-1"
DEADLINE_MS = 2000
# A call ends this long after its deadline at the latest.
END_SLACK_S = 1.0
BLOCK = b"x" * 65536
MAX_GROWTH_KB = 64 * 1024
READS_BESIDE = 20

SIGNED = b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: seal\r\n"


def send_without_end(request, head, block, pause_s=0.0):
    """Writes `head`, then `block` again and again until the connection is closed."""
    request.close_connection = True
    try:
        request.wfile.write(head)
        while True:
            request.wfile.write(block)
            request.wfile.flush()
            time.sleep(pause_s)
    except OSError:
        pass  # the gateway has closed the connection


def signed_head(request):
    return SIGNED % request.headers["Request-Id"].encode()


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def head(request):
    send_without_end(request, b"HTTP/1.1 200 OK\r\nName: ", BLOCK)


def slow_head(request):
    send_without_end(request, b"HTTP/1.1 200 OK\r\nName: ", b"x", 0.1)


def body(request):
    send_without_end(request, signed_head(request) + b"Transfer-Encoding: chunked\r\n\r\n", chunk(BLOCK))


def event(request):
    first = chunk(b"id: 1\ndata: d1\n\n")
    send_without_end(request, signed_head(request)
                     + b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + first
                     + chunk(b"data: "), chunk(BLOCK))


def resident_kb(process):
    with open(f"/proc/{process.popen.pid}/status") as status:
        return next(int(line.split()[1]) for line in status if line.startswith("VmRSS:"))


class Endless:
    """Makes the first instance that gets a call of a service answer it without end; all others answer as usual."""

    def __init__(self, deployment, service, answer):
        self.answer = answer
        self.lock = threading.Lock()
        self.is_used = False
        self.runners = [runner for runner in deployment.runners if runner.service == service]
        for runner in self.runners:
            runner.fault_handler = self.handle
            # Closed connections are what the case provokes.
            runner.server.handle_error = lambda *_: None

    def handle(self, request):
        with self.lock:
            if self.is_used or "beside" in request.path:
                return False
            self.is_used = True
        self.answer(request)
        return True


def timed(call):
    started = time.monotonic()
    answer = call()
    return answer, time.monotonic() - started


def play(deployment, service, answer, call):
    """Makes one call whose answer never ends. Returns its answer and time, and checks memory and the calls beside it."""
    endless = Endless(deployment, service, answer)
    before_kb = resident_kb(deployment.processes[GATEWAY])
    outcome = []
    caller = threading.Thread(target=lambda: outcome.append(timed(call)))
    caller.start()
    beside = []
    grown_kb = 0
    for _ in range(READS_BESIDE):
        beside.append(deployment.call(GATEWAY, "/read/beside", headers={"Deadline-Ms": "3000"}).status)
        grown_kb = max(grown_kb, resident_kb(deployment.processes[GATEWAY]) - before_kb)
    caller.join()
    name = answer.__name__
    print(f"  {name}: {outcome[0][0].status} after {outcome[0][1]:.2f} s, memory grew by {grown_kb} kB")
    expect(endless.is_used, f"{name}: no instance got the call")
    expect(set(beside) == {200}, f"{name}: calls beside it are answered {sorted(set(beside))}")
    expect(grown_kb <= MAX_GROWTH_KB, f"{name}: the gateway's memory grew by {grown_kb} kB")
    expect(deployment.processes[GATEWAY].running(), f"{name}: the gateway has ended")
    return outcome[0]


def run(build):
    with Deployment(build) as deployment:
        def read():
            return deployment.call(GATEWAY, "/read/x", headers={"Deadline-Ms": str(DEADLINE_MS)})

        def write():
            return deployment.call(GATEWAY, "/write/x", "POST", "slip", {"Deadline-Ms": str(DEADLINE_MS)})

        def stream():
            return deployment.turn(GATEWAY, "p", route_name="streams", deadline_ms=DEADLINE_MS)

        end_s = DEADLINE_MS / 1000 + END_SLACK_S
        answer, _ = play(deployment, "app", head, read)
        expect(answer.status == 200, f"a call whose first answer's head never ends is answered {answer.status}")
        answer, took_s = play(deployment, "app", head, write)
        expect(answer.status == 502 and took_s < end_s, f"a write whose head never ends: {answer.status} after {took_s:.1f} s")
        answer, took_s = play(deployment, "app", slow_head, write)
        expect(answer.status == 504 and took_s < end_s, f"a write whose head trickles: {answer.status} after {took_s:.1f} s")
        answer, took_s = play(deployment, "app", body, read)
        expect(not answer.is_complete and took_s < end_s, f"a body that never ends looks complete, or took {took_s:.1f} s")
        answer, _ = play(deployment, "llm", event, stream)
        expect(answer.status == 200 and answer.is_complete and answer.body == STREAM,
               f"a stream whose event never ends is not resumed: {answer.status} {answer.body[:80]}")
