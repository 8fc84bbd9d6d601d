"""An instance that says in an answer that it leaves gets no more calls from any gateway, whatever the store tells of it; the process
that starts after it under its id does."""

import threading
import time

from harness import expect, wait_until
from platform_standins import Deployment, Runner

GATEWAYS = ("gateway-1", "gateway-2", "gateway-3")
# The page allows 2 s from the answer that says it, for the gateway that passed that answer on.
LEARNT_WITHIN_S = 0.5
APP_INSTANCES = 3


class LeavingRunner(Runner):
    """An instance that can say in all its answers that it leaves, and keeps the time of each request."""

    def __init__(self, *arguments, **fields):
        self.is_leaving = False
        self.leaving_since = None
        self.arrivals = []
        super().__init__(*arguments, **fields)
        self.fault_handler = self.note

    def leave(self):
        self.leaving_since = None
        self.is_leaving = True

    def note(self, request):
        with self.lock:
            self.arrivals.append(time.monotonic())
        if not self.is_leaving:
            return False
        # All answers say it: a success, or a refusal.
        is_refused = len(self.arrivals) % 8 == 0
        headers = {"Request-Id": request.headers["Request-Id"], "Server-Leaving": "1"}
        headers.update({"Not-Run": "1"} if is_refused else {"Response-Seal": "seal"})
        request.answer(503 if is_refused else 200, b"body", headers)
        with self.lock:
            self.leaving_since = self.leaving_since or time.monotonic()
        return True

    def late_arrivals(self):
        with self.lock:
            return [at for at in self.arrivals if at > self.leaving_since + LEARNT_WITHIN_S]


class LeavingDeployment(Deployment):
    def make_runners(self):
        app = [LeavingRunner(self.store, "app", f"app-{number}") for number in range(1, APP_INSTANCES + 1)]
        return [Runner(self.store, "llm", "llm-1"), *app]


def read(deployment, seconds, gateways=GATEWAYS):
    """Reads through the gateways in turn, some at a time. Returns how many were not answered 200."""
    failed = []
    until = time.monotonic() + seconds

    def caller(number):
        while time.monotonic() < until:
            status = deployment.call(gateways[number % len(gateways)], "/read/x", headers={"Deadline-Ms": "2000"}).status
            if status != 200:
                failed.append(status)
            time.sleep(0.01)

    threads = [threading.Thread(target=caller, args=(number,)) for number in range(2 * len(gateways))]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return failed


def run(build):
    with LeavingDeployment(build, gateways=len(GATEWAYS)) as deployment:
        leaving, other = (runner for runner in deployment.runners if runner.name in ("app-1", "app-2"))
        failed = read(deployment, 0.5)
        expect(not failed and leaving.arrivals, f"before: {failed}, {len(leaving.arrivals)} at app-1")

        # One gateway hears it, the store says nothing.
        leaving.leave()
        failed = read(deployment, 0.3, GATEWAYS[:1])
        failed += read(deployment, 1.5)
        expect(leaving.leaving_since, "nobody called the instance")
        expect(not leaving.late_arrivals(), f"{len(leaving.late_arrivals())} calls reached an instance that had said that it leaves")
        expect(not failed, f"calls were not served beside an instance that leaves: {failed}")

        # Its older entry comes again, at all gateways.
        leaving.register()
        failed = read(deployment, 1.0)
        expect(not leaving.late_arrivals(), f"after its entry: {len(leaving.late_arrivals())} calls reached it")
        expect(not failed, f"calls were not served: {failed}")

        # A gateway that starts now knows it, too.
        deployment.processes["gateway-2"].close()
        deployment.start_gateway("gateway-2")
        deployment.wait_serving("gateway-2")
        read(deployment, 0.5, ["gateway-2"])
        expect(not leaving.late_arrivals(), f"after a restart: {len(leaving.late_arrivals())} calls reached it")

        # The next process under its id takes calls again.
        leaving.is_leaving = False
        leaving.register(born=2)
        before = len(leaving.arrivals)
        wait_until(lambda: not read(deployment, 0.3) and len(leaving.arrivals) > before, "the next process gets calls")
        expect(other.arrivals, "the others were never called")
