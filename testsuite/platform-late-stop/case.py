"""Requests that come late in a planned stop of a gateway: what can't be answered before the gateway ends is refused at once, as not
run, and nothing that an instance got ends without an answer."""

import http.client
import threading
import time

from harness import expect, wait_until
from platform_standins import HOST, Deployment, Runner, configuration, route

GATEWAY = "gateway-1"
STOP_S = 8.0
ROUTES = [route("turns", "streaming", "llm", retain=True, retain_s=60.0, sticky=True),
          route("read", "safe", "app", timeout_ms=1500, goal_ms=300), route("write", "unsafe", "app", attempts=1)]
SLOW_S = 9.0


class SlowRunner(Runner):
    """Works on a write for longer than the stop takes, as long as its caller is there."""

    def handle(self, request):
        if request.path.startswith("/write/slow"):
            with self.lock:
                self.executed_calls.append((request.headers["Request-Id"], request.body, request.headers))
            time.sleep(SLOW_S)
            return request.answer(200, b"done", {"Request-Id": request.headers["Request-Id"], "Response-Seal": "seal"})
        return super().handle(request)


class SlowDeployment(Deployment):
    def make_runners(self):
        self.store.put("config", "main", configuration(2, ROUTES))
        return [SlowRunner(self.store, service, f"{service}-{number}") for number in (1, 2) for service in ("llm", "app")]

    def more_settings(self, name):
        return f"[stop]\nlimit_ms = {STOP_S * 1000:.0f}\n" if name.startswith("gateway") else ""


class LateCaller(threading.Thread):
    """Opens a connection and sends the head of a request, and the last byte of its body at a time after the stop has begun."""

    def __init__(self, deployment, path, request, deadline_ms=20000):
        super().__init__(daemon=True)
        self.request = request
        self.connection = http.client.HTTPConnection(deployment.processes[GATEWAY].field("callers"), timeout=30)
        self.connection.putrequest("POST", path, skip_host=True)
        for name, value in {"Host": HOST, "Request-Id": request, "Deadline-Ms": str(deadline_ms), "Content-Length": "4"}.items():
            self.connection.putheader(name, value)
        self.connection.endheaders(b"bod")
        self.sent_at = None
        self.took_s = None
        self.status = 0

    def finish(self):
        self.sent_at = time.monotonic()
        try:
            self.connection.send(b"y")
            self.start()
        except OSError:
            self.took_s = 0

    def run(self):
        try:
            answer = self.connection.getresponse()
            answer.read()
            self.status = answer.status
        except (OSError, http.client.HTTPException):
            self.status = 0
        self.took_s = time.monotonic() - self.sent_at


def run(build):
    with SlowDeployment(build) as deployment:
        early = LateCaller(deployment, "/write/slow", "early")
        late = [LateCaller(deployment, "/write/slow", f"late-{number}") for number in range(3)]
        short = LateCaller(deployment, "/write/x", "short", deadline_ms=1500)
        gateway = deployment.processes[GATEWAY]
        gateway.signal(15)
        wait_until(lambda: '"event":"stop"' in deployment.log_of(GATEWAY), "the gateway begins to stop")
        began = time.monotonic()
        early.finish()
        for number, caller in enumerate(late):
            time.sleep(max(0.0, began + 3.2 + 0.8 * number - time.monotonic()))
            caller.finish()
        # A request that can be answered in time is served to the end.
        short.finish()
        gateway.popen.wait(STOP_S + 5)
        for caller in (early, short, *late):
            caller.join(10)
            print(f"  {caller.request}: {caller.status} after {caller.took_s:.1f} s")
        ran = {name for runner in deployment.runners for name, _, _ in runner.executed_calls}
        for caller in late:
            expect(caller.status == 503 and caller.took_s < 0.5 and caller.request not in ran,
                   f"{caller.request}, which could not be answered before the end: {caller.status} after {caller.took_s:.1f} s, "
                   f"{'run' if caller.request in ran else 'not run'}")
        expect(short.status == 200, f"a request with time enough is answered {short.status}")
        # It came early enough to be taken; its outcome is not known when the gateway ends, and it is told so.
        expect("early" in ran and early.status == 502, f"a request that was taken early is answered {early.status}")
