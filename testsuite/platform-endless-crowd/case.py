"""Many answers at once that never end, from all instances: a gateway stays within the memory of a small machine, and serves the calls
beside them afterwards."""

import threading

from harness import expect, wait_until
from platform_standins import Deployment, configuration, route

GATEWAY = "gateway-1"
MACHINE_MB = 88
CALLERS = 100
DEADLINE_MS = 2500
BLOCK = b"x" * 65536
ROUTES = [route("turns", "streaming", "llm", retain=True, retain_s=60.0, sticky=True, attempts=1),
          route("streams", "streaming", "llm", can_resume=True), route("read", "safe", "app"),
          route("write", "unsafe", "app", attempts=1)]
SIGNED = b"HTTP/1.1 %d Text\r\nRequest-Id: %s\r\nResponse-Seal: seal\r\n"
EVENTS = b"Content-Type: text/event-stream\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


# What an answer without end begins with, after its status and seal, and what follows again and again.
ANSWERS = {
    "head": (200, b"Name: ", BLOCK),
    "body": (200, CHUNKED, chunk(BLOCK)),
    "body without a length": (200, b"\r\n", BLOCK),
    "failure": (500, CHUNKED, chunk(BLOCK)),
    "promise": (503, CHUNKED, chunk(BLOCK)),
    "event": (200, EVENTS + CHUNKED + chunk(b"id: 1\ndata: "), chunk(BLOCK)),
    "events": (200, EVENTS + CHUNKED, chunk(b"id: 1\ndata: " + BLOCK + b"\n\n")),
}
KINDS = {"head": ("write", "turns"), "body": ("write", "read"), "body without a length": ("write", "turns"),
         "failure": ("write", "turns", "streams"), "promise": ("write", "turns"), "event": ("turns", "streams"),
         "events": ("turns", "streams")}


class CrowdDeployment(Deployment):
    def make_runners(self):
        self.store.put("config", "main", configuration(2, ROUTES))
        return super().make_runners()

    def more_settings(self, name):
        return f"[memory]\nlimit_mb = {MACHINE_MB}\n" if name.startswith("gateway") else ""

    def memory_mb(self, field):
        with open(f"/proc/{self.processes[GATEWAY].popen.pid}/status") as status:
            return next(int(line.split()[1]) for line in status if line.startswith(field + ":")) / 1024


def answer_without_end(deployment, name):
    """All instances answer all requests but those beside so. Returns the number of answers begun."""
    status, begin, block = ANSWERS[name]
    begun = []

    def handle(request):
        if "beside" in request.path:
            return False
        begun.append(request.path)
        request.close_connection = True
        try:
            request.wfile.write(SIGNED % (status, request.headers["Request-Id"].encode()) + begin)
            while True:
                request.wfile.write(block)
                request.wfile.flush()
        except OSError:
            pass  # the gateway has closed the connection
        return True

    for runner in deployment.runners:
        runner.fault_handler = handle
        runner.server.handle_error = lambda *_: None
    return begun


def press(deployment, kind, name):
    answers = []

    def call(number):
        if kind in ("turns", "streams"):
            answers.append(deployment.turn(GATEWAY, f"{name}-{number}", route_name=kind, deadline_ms=DEADLINE_MS))
        else:
            method, body = ("GET", None) if kind == "read" else ("POST", "slip")
            answers.append(deployment.call(GATEWAY, f"/{kind}/x", method, body, {"Deadline-Ms": str(DEADLINE_MS)}))

    callers = [threading.Thread(target=call, args=(number,)) for number in range(CALLERS)]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join(30)
    return answers


def run(build):
    with CrowdDeployment(build) as deployment:
        for name, kinds in KINDS.items():
            for kind in kinds:
                begun = answer_without_end(deployment, name)
                answers = press(deployment, kind, f"{name} {kind}".replace(" ", "-"))
                peak_mb = deployment.memory_mb("VmHWM")
                statuses = {status: sum(answer.status == status for answer in answers) for status in {a.status for a in answers}}
                print(f"  {name}, {kind}: {len(begun)} answers begun, {statuses}, peak {peak_mb:.0f} MB")
                expect(deployment.processes[GATEWAY].running(), f"{name}, {kind}: the gateway has ended")
                expect(len(answers) == CALLERS, f"{name}, {kind}: {CALLERS - len(answers)} callers got no answer")
                whole = [answer for answer in answers if answer.status == 200 and answer.is_complete]
                expect(not whole, f"{name}, {kind}: {len(whole)} answers without end look whole")
                expect(peak_mb <= MACHINE_MB, f"{name}, {kind}: the gateway took {peak_mb:.0f} MB")
                wait_until(lambda: deployment.call(GATEWAY, "/read/beside").status == 200, "calls are served afterwards")
