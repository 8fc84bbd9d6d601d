"""Calls refused as not run are in no ledger afterwards, and refusals that are worth repeating say when."""

import json
import threading

from harness import System, can_open, expect, http, in_parallel, start_one_service_system, wait_until

SETTINGS = "[admission]\nconcurrency = 1\nmax_concurrency = 1\nqueue_limit = 1\n"
CALLS = 24
DEADLINE_MS = 60000
# A refusal that is held back until near the call's deadline comes too late for this.
REFUSAL_LIMIT_S = DEADLINE_MS / 2000
WORTH_REPEATING = {"overloaded", "no-capacity", "not-serving", "shutting-down"}


class Calls:
    """Sends records that must not be written twice, each under a key of its own, and keeps what became of them."""

    def __init__(self):
        self.lock = threading.Lock()
        self.sent = 0
        self.done = []
        self.refused = []
        self.held_back = []

    def send(self, address, deadline_ms=DEADLINE_MS):
        """Returns the problem's name, "done", or None without an answer."""
        with self.lock:
            self.sent += 1
            key = f"record-{self.sent}"
        body = {"organisation": "o", "service": "jobcard-app", "input": key}
        headers = {"Idempotency-Key": key, "X-Deadline-Ms": str(deadline_ms)}
        try:
            status, fields, text = http("POST", address, "/v1/calls", body, headers, REFUSAL_LIMIT_S)
        except TimeoutError:
            self.held_back.append(key)
            return None
        except OSError:
            return None  # the entry has gone
        answer = json.loads(text)
        if status == 200:
            self.done.append(key)
            return "done"
        name = answer["type"].rsplit(":", 1)[1]
        if answer["ran"] == "no":
            self.refused.append((key, name))
        if name in WORTH_REPEATING:
            known = {field.lower() for field in fields}
            expect("retry-after" in known and answer["retry_after_ms"] > 0, f"no Retry-After: {answer}")
            # An entry that has lost the home of a call that it passed on can't tell.
            expect(answer["ran"] == "no" or name == "not-serving", f"a refusal that is worth repeating: {answer}")
        return name

    def burst(self, addresses, deadline_ms=DEADLINE_MS):
        return in_parallel([lambda a=addresses[i % len(addresses)]: self.send(a, deadline_ms) for i in range(CALLS)])


def check_ledger(system, calls):
    """The service runs one call at a time: a further one that is done comes after all that were still queued."""
    wait_until(lambda: calls.send(system.callers()[0]) == "done", "the service serves")
    keys = [entry["body"] for entry in system.ledger()]
    expect(not calls.held_back, f"neither done nor refused within {REFUSAL_LIMIT_S} s: {calls.held_back}")
    wrong = [refusal for refusal in calls.refused if refusal[0] in keys]
    expect(not wrong, f"refused as not run, but in the ledger: {wrong}")
    missing = [key for key in calls.done if keys.count(key) != 1]
    expect(not missing, f"answered, but not once in the ledger: {missing}")


def burst_during(system, calls, event):
    """Lets `event` happen while a burst is under way; returns the burst's outcomes."""
    addresses = system.callers()
    before = len(system.ledger())

    def happen():
        wait_until(lambda: len(system.ledger()) > before, "the burst is under way")
        event()
    return in_parallel([lambda: calls.burst(addresses), happen])[0]


def run(build):
    with System(build) as system:
        start_one_service_system(system, "--latency-ms", "200", settings=SETTINGS)
        calls = Calls()
        wait_until(lambda: all(calls.send(address) == "done" for address in system.callers()), "the service serves")

        outcomes = calls.burst(system.callers())
        expect(WORTH_REPEATING & set(outcomes), f"overload is refused: {outcomes}")
        check_ledger(system, calls)

        outcomes = calls.burst(system.callers(), deadline_ms=5)
        expect(set(outcomes) - {"done"}, f"a short deadline refuses: {outcomes}")
        check_ledger(system, calls)

        outcomes = burst_during(system, calls, lambda: system.sidecars["app-a0"].terminate())
        expect(WORTH_REPEATING & set(outcomes), f"a leaving sidecar refuses: {outcomes}")
        system.start_sidecar("app-a0", "a", "jobcard-app", False, SETTINGS)
        check_ledger(system, calls)

        outcomes = burst_during(system, calls, lambda: system.entries["entry-c"].terminate())
        expect("done" in outcomes, f"the others go on: {outcomes}")
        wait_until(lambda: can_open(system), "the others serve")
        check_ledger(system, calls)
