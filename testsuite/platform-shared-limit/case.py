"""The requests that all gateways together send to an instance stay within the limit that it states, and callers are served or
refused at once for it."""

import bisect
import threading
import time

from harness import expect
from platform_standins import Deployment, Runner

GATEWAYS = ("gateway-1", "gateway-2", "gateway-3")
APP_INSTANCES = 4
SLOTS = 8
LIMIT_PER_S = 6.0
# What the users' page allows in any span: one and a half times the limit, and five requests.
SPAN_S = 4.0
ALLOWED_PER_SPAN = 1.5 * LIMIT_PER_S * SPAN_S + 5
# From then on after an instance first stated its limit.
GRACE_S = 4.0
WORK_S = 0.1
READS_PER_S = 60
PHASE_S = 11
# Share of the callers that are served while one instance has no limit.
MIN_SERVED = 0.98
# Share of the limits that is used while more is asked for.
MIN_USED = 0.7
# A refusal comes within this time.
MAX_REFUSAL_S = 0.5


class LimitedInstance:
    """Makes a stand-in instance state a limit, and notes when requests arrive at it."""

    def __init__(self, runner):
        self.runner = runner
        self.lock = threading.Lock()
        self.limit = None
        self.stated_at = None
        self.arrivals = []
        self.running = 0
        runner.fault_handler = self.handle

    def state(self, limit):
        with self.lock:
            self.limit = limit
            self.stated_at = None
            self.arrivals = []

    def handle(self, request):
        with self.lock:
            self.arrivals.append(time.monotonic())
            self.running += 1
            limit = self.limit
        time.sleep(WORK_S)
        with self.lock:
            self.running -= 1
            load = f"{min(self.running, SLOTS)},{max(0, self.running - SLOTS)},{SLOTS}"
        headers = {"Request-Id": request.headers["Request-Id"], "Response-Seal": "seal", "Server-Load": load}
        if limit is not None:
            headers["Server-Limit"] = limit
            with self.lock:
                self.stated_at = self.stated_at or time.monotonic()
        request.answer(200, b"body", headers)
        return True

    def largest_span(self):
        """Returns the largest number of requests in a span, from `GRACE_S` after the limit was stated."""
        with self.lock:
            if self.stated_at is None:
                return 0
            times = [at for at in self.arrivals if at >= self.stated_at + GRACE_S]
        return max((bisect.bisect_left(times, at + SPAN_S) - index for index, at in enumerate(times)), default=0)

    def count_between(self, begin, end):
        with self.lock:
            return sum(begin <= at < end for at in self.arrivals)


class Load:
    """Reads that begin at fixed times, at the gateways in turn."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.lock = threading.Lock()
        # (status, Retry-After or None, seconds) of each answer.
        self.answers = []

    def read(self, number):
        started = time.monotonic()
        answer = self.deployment.call(GATEWAYS[number % len(GATEWAYS)], "/read/x", headers={"Deadline-Ms": "2000"})
        retry_after = {name.lower(): value for name, value in answer.headers.items()}.get("retry-after")
        with self.lock:
            self.answers.append((answer.status, retry_after, time.monotonic() - started))

    def run(self, seconds):
        self.answers = []
        started = time.monotonic()
        threads = []
        for number in range(int(seconds * READS_PER_S)):
            time.sleep(max(0, started + number / READS_PER_S - time.monotonic()))
            threads.append(threading.Thread(target=self.read, args=(number,)))
            threads[-1].start()
        for thread in threads:
            thread.join()
        return started

    def served(self):
        return sum(status == 200 for status, _, _ in self.answers) / len(self.answers)


class LimitDeployment(Deployment):
    def make_runners(self):
        app = [Runner(self.store, "app", f"app-{number}", slots=SLOTS) for number in range(1, APP_INSTANCES + 1)]
        return [Runner(self.store, "llm", "llm-1"), *app]


def check_bound(phase, instances):
    worst = max(instance.largest_span() for instance in instances)
    print(f"  {phase}: at most {worst} requests in {SPAN_S:.0f} s at an instance, allowed {ALLOWED_PER_SPAN:.0f}")
    return [] if worst <= ALLOWED_PER_SPAN else [
        f"{phase}: an instance that states {LIMIT_PER_S:g} requests a second got {worst} in {SPAN_S:.0f} s"]


def some_limited(load, instances):
    # Of equally loaded instances, gateways prefer the first ones.
    for instance in instances[:-1]:
        instance.state(f"{LIMIT_PER_S:g}")
    load.run(PHASE_S)
    failures = check_bound("one instance without a limit", instances[:-1])
    if load.served() < MIN_SERVED:
        failures.append(f"only {load.served():.3f} of the calls were served while one instance had no limit")
    return failures


def all_limited(load, instances):
    for instance in instances:
        instance.state(f"{LIMIT_PER_S:g}")
    started = load.run(PHASE_S)
    failures = check_bound("all limited", instances)
    begin, end = started + GRACE_S, started + PHASE_S
    used = sum(instance.count_between(begin, end) for instance in instances) / (
        len(instances) * LIMIT_PER_S * (end - begin))
    print(f"  all limited: {used:.2f} of the limits is used, {load.served():.2f} of the calls are served")
    if used < MIN_USED:
        failures.append(f"only {used:.2f} of the limits was used while more was asked for")
    refused = [(status, retry_after, seconds) for status, retry_after, seconds in load.answers if status != 200]
    wrong = [answer for answer in refused if answer[0] != 503 or not answer[1] or answer[2] > MAX_REFUSAL_S]
    if wrong:
        failures.append(f"{len(wrong)} of {len(refused)} refusals are no quick 503 with Retry-After: {wrong[:3]}")
    return failures


def limits_end(load, instances):
    for instance in instances:
        instance.state(None)
    load.run(2)
    load.run(2)
    print(f"  limits over: {load.served():.2f} of the calls are served")
    return [] if load.served() >= MIN_SERVED else [
        f"only {load.served():.3f} of the calls are served 2 s after the limits were over"]


def unusable_limits(load, instances):
    values = ["-3", "nan", "inf", "1e400", "", "7, 7", "7 a second"]
    for index, value in enumerate(values):
        instances[index % len(instances)].state(value)
        if index % len(instances) == len(instances) - 1 or index == len(values) - 1:
            load.run(1)
            if load.served() < MIN_SERVED:
                return [f"only {load.served():.3f} of the calls are served beside values that are no limit"]
    return []


def run(build):
    with LimitDeployment(build, gateways=len(GATEWAYS)) as deployment:
        instances = [LimitedInstance(runner) for runner in deployment.runners if runner.service == "app"]
        load = Load(deployment)
        failures = []
        for phase in (some_limited, all_limited, limits_end, unusable_limits):
            failures += phase(load, instances)
        stopped = [name for name in GATEWAYS if not deployment.processes[name].running()]
        failures += [f"{name} has ended" for name in stopped]
        expect(not failures, "; ".join(failures))
