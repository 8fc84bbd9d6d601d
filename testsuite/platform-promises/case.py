"""An instance runs a call and answers with a status that promises that it has not run, without stating that itself: the caller is
not told so, and what may not be repeated runs once."""

import threading

from harness import expect
from platform_standins import HOST, Deployment, Runner, configuration, route

GATEWAY = "gateway-1"
ROUTES = [route("turns", "streaming", "llm", retain=True, retain_s=60.0, sticky=True),
          route("streams", "streaming", "llm", attempts=1), route("resumed", "streaming", "llm", can_resume=True),
          route("read", "safe", "app"), route("write", "unsafe", "app", attempts=1)]
PROMISES = (408, 429, 503)
TURN_HEADERS = {"Model": "m", "Program-Id": "p", "Session-Id": "s", "Token-Budget": "100000", "Token-Counts": "100,40"}


class Failing:
    """Makes the first instance that gets the request run it and answer with that status; `is_everywhere`: all of them."""

    def __init__(self, deployment, request, status, is_everywhere=False, states_not_run=False):
        self.request = request
        self.status = status
        self.is_everywhere = is_everywhere
        self.states_not_run = states_not_run
        self.runs = 0
        self.lock = threading.Lock()
        for runner in deployment.runners:
            runner.fault_handler = self.handle

    def handle(self, request):
        if request.headers["Request-Id"] != self.request:
            return False
        with self.lock:
            self.runs += 1
            if self.runs > 1 and not self.is_everywhere:
                return False
        more = {"Not-Run": "1"} if self.states_not_run else {"Response-Seal": "seal", "Retry-After": "0.1"}
        request.answer(self.status, b"failed\n", {"Request-Id": self.request, **more})
        return True


class PromisesDeployment(Deployment):
    def make_runners(self):
        self.store.put("config", "main", configuration(2, ROUTES))
        return super().make_runners()

    def send(self, kind, request, **headers):
        fields = {"Host": HOST, "Request-Id": request, **(TURN_HEADERS if kind == "turns" else {}),
                  **({"Model": "m"} if kind in ("streams", "resumed") else {}), **headers}
        return self.call(GATEWAY, f"/{kind}/x", "GET" if kind == "read" else "POST", None if kind == "read" else "input ", fields)


def expect_no_promise(answer, runs, what):
    expect(answer.status == 502 and runs == 1, f"{what}: answered {answer.status}, run {runs} times")
    fields = {name.lower() for name in answer.headers}
    expect(not fields & {"response-seal", "retry-after"}, f"{what}: an answer of the gateway's own has {sorted(fields)}")


def run(build):
    with PromisesDeployment(build) as deployment:
        for status in PROMISES:
            for kind in ("write", "streams", "turns"):
                request = f"{kind}-{status}"
                failing = Failing(deployment, request, status)
                expect_no_promise(deployment.send(kind, request), failing.runs, f"{kind} that ran and was answered {status}")
            # What may be repeated goes on elsewhere, and is no promise either when all instances fail.
            for kind in ("read", "resumed"):
                request = f"{kind}-{status}"
                failing = Failing(deployment, request, status)
                answer = deployment.send(kind, request)
                expect(answer.status == 200 and failing.runs == 2, f"{kind} after a {status}: {answer.status}, run {failing.runs} times")
                failing = Failing(deployment, request + "-all", status, is_everywhere=True)
                answer = deployment.send(kind, request + "-all")
                expect(answer.status == 502, f"{kind} that all instances answered {status}: {answer.status}")

        # Statuses by which the gateway itself refuses turns.
        previous = deployment.send("turns", "first")
        expect(previous.status == 200, f"the first turn is answered {previous.status}")
        for status, headers in ((402, {}), (404, {"Previous-Turn": "first"}), (410, {"Previous-Turn": "first"})):
            request = f"turn-{status}"
            failing = Failing(deployment, request, status)
            answer = deployment.send("turns", request, **headers)
            expect_no_promise(answer, failing.runs, f"a turn that ran and was answered {status}")

        # Elsewhere they are the instance's own, as are its other failures.
        for kind, status in (("write", 402), ("write", 404), ("read", 410), ("write", 500), ("write", 400), ("turns", 404)):
            request = f"own-{kind}-{status}"
            Failing(deployment, request, status)
            answer = deployment.send(kind, request)
            seal = answer.headers.get("response-seal") or answer.headers.get("Response-Seal")
            expect(answer.status == status and seal == "seal", f"{kind}'s own {status} is passed on as {answer.status}, seal {seal}")

        # What states that it has not run may be placed elsewhere, whatever its status.
        failing = Failing(deployment, "stated", PROMISES[0], states_not_run=True)
        answer = deployment.send("write", "stated")
        expect(answer.status == 200 and failing.runs == 2, f"a {PROMISES[0]} that states it has not run: {answer.status}")
