"""The calls of an organisation stay within its allowance over all gateways together, beyond it they are refused at once with 429,
and organisations within their allowances are served, also while a journal is away."""

import bisect
import threading
import time

from harness import expect
from platform_standins import DEFAULT_ROUTES, Deployment, Runner, configuration

GATEWAYS = ("gateway-1", "gateway-2", "gateway-3")
RATE_PER_S = 10.0
BURST = 10
WINDOW_S = 5.0
# What the users' page allows in any window: a tenth more, and 20 calls.
ALLOWED_PER_WINDOW = (RATE_PER_S * WINDOW_S + BURST) * 1.1 + 20
HOT_FACTOR = 6
USUAL_FACTOR = 0.6
PHASE_S = 10
# Buckets are empty at the start.
FILL_S = 4
# A refusal comes within this time.
MAX_REFUSAL_S = 0.5
MIN_USED = 0.9
MIN_SERVED = 0.98


class Arrivals:
    """Notes when the calls of each organisation arrive at the instances. The path names the organisation."""

    def __init__(self, runners):
        self.lock = threading.Lock()
        self.times = {}
        for runner in runners:
            runner.fault_handler = self.handle

    def handle(self, request):
        with self.lock:
            self.times.setdefault(request.path.rsplit("/", 1)[-1], []).append(time.monotonic())
        return False

    def largest_window(self, organisation):
        with self.lock:
            times = sorted(self.times.get(organisation, []))
        return max((bisect.bisect_right(times, at + WINDOW_S) - index for index, at in enumerate(times)), default=0)


class Load:
    """Calls of one organisation at fixed times, at the gateways in turn."""

    def __init__(self, deployment, organisation, rate):
        self.deployment = deployment
        self.organisation = organisation
        self.rate = rate
        self.lock = threading.Lock()
        self.answers = []

    def call(self, number):
        started = time.monotonic()
        answer = self.deployment.call(GATEWAYS[number % len(GATEWAYS)], f"/read/{self.organisation}", headers={
            "Deadline-Ms": "3000", "Authorization": f"Token key-{self.organisation}"})
        headers = {name.lower(): value for name, value in answer.headers.items()}
        with self.lock:
            self.answers.append((answer.status, headers.get("retry-after"), time.monotonic() - started))

    def run(self, seconds):
        started = time.monotonic()
        threads = []
        for number in range(int(seconds * self.rate)):
            time.sleep(max(0, started + number / self.rate - time.monotonic()))
            threads.append(threading.Thread(target=self.call, args=(number,)))
            threads[-1].start()
        for thread in threads:
            thread.join()

    def count(self, status):
        return sum(answer[0] == status for answer in self.answers)


def run_beside(*loads):
    threads = [threading.Thread(target=load.run, args=(PHASE_S,)) for load in loads]
    for thread in threads:
        thread.start()
    return threads


def tenant(name, **limits):
    return dict({"name": name, "api_keys": [f"key-{name}"]}, **limits)


def check(phase, hot, usual, arrivals):
    failures = []
    worst = max(arrivals.largest_window(load.organisation) for load in (hot, usual))
    used = hot.count(200) / (RATE_PER_S * PHASE_S)
    served = usual.count(200) / len(usual.answers)
    print(f"  {phase}: at most {worst} calls in {WINDOW_S:.0f} s, allowed {ALLOWED_PER_WINDOW:.0f}; {used:.2f} of the hot "
          f"organisation's allowance is used, {served:.3f} of the other one's calls are served")
    if worst > ALLOWED_PER_WINDOW:
        failures.append(f"{phase}: {worst} calls of an organisation in {WINDOW_S:.0f} s")
    if served < MIN_SERVED:
        failures.append(f"{phase}: only {served:.3f} of the calls within the allowance are served")
    refused = [answer for answer in hot.answers if answer[0] != 200]
    wrong = [answer for answer in refused if answer[0] != 429 or not answer[1] or answer[2] > MAX_REFUSAL_S]
    if wrong or not refused:
        failures.append(f"{phase}: {len(wrong)} of {len(refused)} refusals are no quick 429 with Retry-After: {wrong[:3]}")
    return failures, used


class QuotaDeployment(Deployment):
    def make_runners(self):
        return [Runner(self.store, "llm", "llm-1"),
                *(Runner(self.store, "app", f"app-{number}", slots=32) for number in (1, 2))]


def run(build):
    with QuotaDeployment(build, gateways=len(GATEWAYS)) as deployment:
        limits = {"rate_per_s": RATE_PER_S, "burst": BURST}
        config = configuration(2, DEFAULT_ROUTES)
        config["tenants"] = [tenant("hot", **limits), tenant("usual", **limits), tenant("free")]
        deployment.store.put("config", "main", config)
        arrivals = Arrivals([runner for runner in deployment.runners if runner.service == "app"])
        time.sleep(FILL_S)

        hot = Load(deployment, "hot", HOT_FACTOR * RATE_PER_S)
        usual = Load(deployment, "usual", USUAL_FACTOR * RATE_PER_S)
        free = Load(deployment, "free", 2 * RATE_PER_S)
        for thread in run_beside(hot, usual, free):
            thread.join()
        failures, used = check("all journals", hot, usual, arrivals)
        if used < MIN_USED:
            failures.append(f"only {used:.2f} of the allowance was used while more was asked for")
        if free.count(200) < MIN_SERVED * len(free.answers):
            failures.append(f"only {free.count(200)} of {len(free.answers)} calls without an allowance are served")

        # A journal holds a third of each allowance; the others issue theirs.
        hot = Load(deployment, "hot", HOT_FACTOR * RATE_PER_S)
        usual = Load(deployment, "usual", USUAL_FACTOR * RATE_PER_S)
        threads = run_beside(hot, usual)
        time.sleep(PHASE_S / 3)
        deployment.processes["journal-2"].kill()
        for thread in threads:
            thread.join()
        failures += check("one journal killed", hot, usual, arrivals)[0]
        expect(not failures, "; ".join(failures))
