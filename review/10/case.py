"""Requests that must not be repeated, at a runner that fails some of them with 503 after it has run them."""

import itertools
import os
import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from platform2 import CannotRun, Deployment, main, send, standins  # noqa: E402

ROUTES = [standins.route("contrib", "unsafe", "app", attempts=1, timeout_ms=2000, goal_ms=300, priority=2)]
RUNNERS = 8
GREY_S = 5
# Statuses that promise that the request has not run and never will.
PROMISES = (408, 421, 429, 503)
numbers = itertools.count(1)


class Runner(standins.Runner):
    """Fails two of five requests while it is grey: it has run them, and says nothing else."""

    is_grey = False
    count = 0

    def handle(self, request):
        is_call = request.path != "/api/report" and request.headers.get("Expect-Instance", self.name) == self.name
        if not (is_call and self.is_grey):
            return super().handle(request)
        with self.lock:
            self.count += 1
            fails = self.count % 5 < 2
        if not fails:
            return super().handle(request)
        name = request.headers.get("Request-Id", "")
        with self.lock:
            self.executed_calls.append((name, request.body, request.headers))
        return request.answer(503, b"the ledger is not available\n",
                              {"Request-Id": name, "Response-Seal": f"seal-{name}", "Server-Load": f"1,0,{self.slots}"})


def runners(store):
    return [Runner(store, "app", f"app-{number}", "abc"[number % 3], slots=6) for number in range(RUNNERS)]


def play(record, has_trouble):
    with Deployment(standins.configuration(1, ROUTES), runners) as deployment:
        time.sleep(1)
        attempts = []
        is_over = threading.Event()

        def consume(gateway, other):
            """Records one contribution after the other. It is sent again, once, after a promise."""
            while not is_over.is_set():
                action = f"contribution {next(numbers)}"
                for target in (gateway, other):
                    request = f"r{next(numbers)}"
                    fields = {"Host": standins.HOST, "Request-Id": request, "Deadline-Ms": "2000"}
                    status, answer, _, _ = send(target, "POST", "/contrib/x", fields, action.encode())
                    attempts.append((request, action, status, answer.get("Response-Seal") or answer.get("response-seal")))
                    if status not in PROMISES:
                        break
                time.sleep(0.05)

        consumers = [threading.Thread(target=consume, args=(deployment.gateways[number % 2],
                                                            deployment.gateways[1 - number % 2])) for number in range(4)]
        if has_trouble:
            deployment.runners[0].is_grey = True
            record.note(f"{deployment.runners[0].name}, one of {RUNNERS}, fails 0.4 of its requests after it has run them")
        for consumer in consumers:
            consumer.start()
        time.sleep(GREY_S)
        deployment.runners[0].is_grey = False
        time.sleep(1)
        is_over.set()
        for consumer in consumers:
            consumer.join()
        deployment.check_running()
        ran = [(name, body.decode()) for runner in deployment.runners for name, body, _ in runner.executed_calls]
        names = {name for name, _ in ran}
        record.note(f"{len(attempts)} attempts; answers: "
                    f"{ {status: sum(a[2] == status for a in attempts) for status in sorted({a[2] for a in attempts})} }")
        broken = [attempt for attempt in attempts if attempt[2] in PROMISES and attempt[0] in names]
        for request, action, status, seal in broken:
            times = sum(body == action for _, body in ran)
            record.note(f"{request} ({action}) was answered {status}, seal {seal}, and has run; run {times} times in all")
        if len(attempts) < 50:
            raise CannotRun("too few requests")
        if broken:
            twice = sum(sum(body == action for _, body in ran) > 1 for action in {a[1] for a in broken})
            return (f"REFUSED: {len(broken)} requests that had run were answered with a promise that they had not; "
                    f"{twice} contributions were recorded twice")
        return None


if __name__ == "__main__":
    # TROUBLE=0 does the same without the disruption.
    sys.exit(main(__file__, play, os.environ.get("TROUBLE", "1") != "0"))
