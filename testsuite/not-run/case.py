"""Calls that were refused as not run appear in no ledger, and retryable refusals state when to retry."""

import json
import threading

from harness import System, can_open, expect, http, in_parallel, start_one_service_system, wait_until

SETTINGS = "[admission]\nconcurrency = 1\nmax_concurrency = 1\nqueue_limit = 1\n"
CALLS = 24
DEADLINE_MS = 60000
# Well below the deadline of a call, so that a refusal delayed until shortly before the deadline fails the case.
REFUSAL_LIMIT_S = DEADLINE_MS / 2000
RETRYABLE = {"overloaded", "no-capacity", "not-serving", "shutting-down"}


class Calls:
    """Sends records that must not be written twice, each with its own key, and keeps their outcomes."""

    def __init__(self):
        self.lock = threading.Lock()
        self.sent = 0
        self.done = []
        self.refused = []
        self.timed_out = []

    def send(self, address, deadline_ms=DEADLINE_MS):
        """Returns "done", the name of the problem type, or None if no answer came."""
        with self.lock:
            self.sent += 1
            key = f"record-{self.sent}"
        body = {"organisation": "o", "service": "jobcard-app", "input": key}
        headers = {"Idempotency-Key": key, "X-Deadline-Ms": str(deadline_ms)}
        try:
            status, fields, text = http("POST", address, "/v1/calls", body, headers, REFUSAL_LIMIT_S)
        except TimeoutError:
            self.timed_out.append(key)
            return None
        except OSError:
            return None  # the entry has exited
        answer = json.loads(text)
        if status == 200:
            self.done.append(key)
            return "done"
        name = answer["type"].rsplit(":", 1)[1]
        if answer["ran"] == "no":
            self.refused.append((key, name))
        if name in RETRYABLE:
            known = {field.lower() for field in fields}
            expect("retry-after" in known and answer["retry_after_ms"] > 0,
                   f"a retryable refusal without Retry-After: {answer}")
            # An entry that loses the connection to the home after forwarding a call cannot know whether the call ran.
            expect(answer["ran"] == "no" or name == "not-serving",
                   f"a retryable refusal does not state that the call has not run: {answer}")
        return name

    def burst(self, addresses, deadline_ms=DEADLINE_MS):
        return in_parallel([lambda a=addresses[i % len(addresses)]: self.send(a, deadline_ms) for i in range(CALLS)])


def check_ledger(system, calls):
    """Compares outcomes with the ledger. The service executes one call at a time, so that all queued calls have been
    executed when a further call is done."""
    wait_until(lambda: calls.send(system.caller_addresses()[0]) == "done", "the plain service executes a call")
    keys = [entry["body"] for entry in system.ledger()]
    expect(not calls.timed_out, f"neither done nor refused within {REFUSAL_LIMIT_S} s: {calls.timed_out}")
    wrong = [refusal for refusal in calls.refused if refusal[0] in keys]
    expect(not wrong, f"refused as not run, but in the ledger: {wrong}")
    missing = [key for key in calls.done if keys.count(key) != 1]
    expect(not missing, f"answered, but not exactly once in the ledger: {missing}")


def burst_during(system, calls, event):
    """Calls `event` during a burst of calls. Returns the outcomes of the burst."""
    addresses = system.caller_addresses()
    before = len(system.ledger())

    def trigger_event():
        wait_until(lambda: len(system.ledger()) > before, "the service executes a call of the burst")
        event()
    return in_parallel([lambda: calls.burst(addresses), trigger_event])[0]


def run(build):
    with System(build) as system:
        start_one_service_system(system, "--latency-ms", "200", settings=SETTINGS)
        calls = Calls()
        wait_until(lambda: all(calls.send(address) == "done" for address in system.caller_addresses()),
                   "the plain service executes a call")

        outcomes = calls.burst(system.caller_addresses())
        expect(RETRYABLE & set(outcomes), f"no call was refused under overload: {outcomes}")
        check_ledger(system, calls)

        outcomes = calls.burst(system.caller_addresses(), deadline_ms=5)
        expect(set(outcomes) - {"done"}, f"no call was refused for its short deadline: {outcomes}")
        check_ledger(system, calls)

        outcomes = burst_during(system, calls, lambda: system.sidecars["app-a0"].terminate())
        expect(RETRYABLE & set(outcomes), f"no call was refused during the sidecar's stop: {outcomes}")
        system.start_sidecar("app-a0", "a", "jobcard-app", False, SETTINGS)
        check_ledger(system, calls)

        outcomes = burst_during(system, calls, lambda: system.entries["entry-c"].terminate())
        expect("done" in outcomes, f"no call was done during the stop of an entry: {outcomes}")
        wait_until(lambda: can_open(system), "the remaining entries open programs")
        check_ledger(system, calls)
