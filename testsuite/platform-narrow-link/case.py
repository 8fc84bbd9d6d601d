"""Gateways whose links to nine journals share one narrow rate serve turns whose transcripts must be fetched, as long as one
copy of each transcript fits into the rate: no answer is cut, no call is answered 502, and turns are sent in time."""

import threading
import time

from harness import expect, wait_until
from linkproxy import LinkProxies
from platform_standins import Deployment, configuration, route

# Half of a link of 30 Mbit/s, and half of the load that is recorded for such a gateway.
LINK_BYTES_PER_S = 30_000_000 / 8 / 2
GATEWAYS = ("gateway-1", "gateway-2")
JOURNALS = 9
TRANSCRIPT_BYTES = 20_000
CONTINUED_TURNS = 10
# With both gateways: 40 fetches a second, of which each gateway receives half: 0.4 MB/s of 1.9 MB/s, 3.6 MB/s from all journals.
PROGRAMS_PER_S = 4
LOAD_S = 8
OBJECTIVE_MS = 600
READ_OBJECTIVE_MS = 200
# An instance that takes longer than the objective, but answers well before the caller's deadline.
READ_DURATION_S = 0.3
# More than the retry budget bears (20 saved up, and a tenth of the sends).
READS_PER_S = 20
DEADLINE_MS = 2500
# First turns that end at the same moment at the end of the load: their stores take over a second of each gateway's link.
BURST_PROGRAMS = 12
BURST_BYTES = 40_000
BURST_DEADLINE_MS = 5000

ROUTES = [
    route("turns", "streaming", "llm", retain=True, retain_s=60.0, sticky=True, goal_ms=OBJECTIVE_MS),
    route("read", "safe", "app", goal_ms=READ_OBJECTIVE_MS),
]


class Load:
    """Programs and reads that begin at fixed times, whatever becomes of earlier ones."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.lock = threading.Lock()
        # Request id to the time at which the caller sent it, or at which the first instance received it.
        self.sent_at = {}
        self.received_at = {}
        # (kind, request, Answer)
        self.answers = []
        self.ended_programs = 0

    def on_instance(self, runner):
        def note(request):
            with self.lock:
                self.received_at.setdefault(request.headers["Request-Id"], time.monotonic())
            if runner.service == "app":
                time.sleep(READ_DURATION_S)
            return False
        runner.fault_handler = note

    def note(self, kind, request, answer):
        with self.lock:
            self.answers.append((kind, request, answer))
        return answer

    def program(self, number):
        previous = None
        for turn in range(1 + CONTINUED_TURNS):
            request = f"p{number}.{turn}"
            body = "x" * TRANSCRIPT_BYTES if turn == 0 else "more "
            self.sent_at[request] = time.monotonic()
            answer = self.note("turn", request, self.deployment.turn(
                GATEWAYS[(number + turn) % len(GATEWAYS)], f"p{number}", previous, request, 100_000, body=body,
                deadline_ms=DEADLINE_MS))
            if answer.status != 200 or not answer.is_complete:
                return
            previous = request
            time.sleep(0.05)
        with self.lock:
            self.ended_programs += 1

    def read(self, number):
        self.note("read", f"r{number}", self.deployment.call(
            GATEWAYS[number % len(GATEWAYS)], "/read/x",
            headers={"Request-Id": f"r{number}", "Deadline-Ms": str(DEADLINE_MS)}))

    def run(self):
        threads = [(number / PROGRAMS_PER_S, self.program, number) for number in range(PROGRAMS_PER_S * LOAD_S)]
        threads += [(number / READS_PER_S, self.read, number) for number in range(READS_PER_S * LOAD_S)]
        started = time.monotonic()
        running = []
        for begin_s, target, number in sorted(threads, key=lambda entry: entry[0]):
            time.sleep(max(0, started + begin_s - time.monotonic()))
            running.append(threading.Thread(target=target, args=(number,)))
            running[-1].start()
        for thread in running:
            thread.join()

    def burst(self):
        resume_streams = self.deployment.pause_streams()
        threads = [threading.Thread(target=self.first_turn, args=(number,)) for number in range(BURST_PROGRAMS)]
        for thread in threads:
            thread.start()
        try:
            wait_until(lambda: all(f"b{number}" in self.received_at for number in range(BURST_PROGRAMS)),
                       "all turns of the burst are running", 3)
        finally:
            resume_streams()
            for thread in threads:
                thread.join()

    def first_turn(self, number):
        self.note("turn", f"b{number}", self.deployment.turn(
            GATEWAYS[number % len(GATEWAYS)], f"b{number}", None, f"b{number}", 100_000, body="x" * BURST_BYTES,
            deadline_ms=BURST_DEADLINE_MS))

    def late_turns(self):
        """Returns the turns that reached no instance within their objective."""
        return [request for request, sent_at in self.sent_at.items()
                if 1000 * (self.received_at.get(request, float("inf")) - sent_at) > OBJECTIVE_MS]


def check(load):
    """Fails with every part that isn't met, so that one run tells all of them."""
    turns = [answer for kind, _, answer in load.answers if kind == "turn"]
    statuses = sorted({answer.status for _, _, answer in load.answers})
    late = load.late_turns()
    failures = [
        (sum(a.status == 200 and not a.is_complete for _, _, a in load.answers), "answers were cut after they had begun"),
        (sum(a.status == 502 for _, _, a in load.answers), "calls were answered 502"),
        (sum(a.status == 0 for _, _, a in load.answers), "calls ended without an answer"),
        (len(late), f"turns reached no instance within {OBJECTIVE_MS} ms"),
        (PROGRAMS_PER_S * LOAD_S - load.ended_programs, f"of {PROGRAMS_PER_S * LOAD_S} programs did not go on to their end"),
    ]
    text = ", ".join(f"{count} {what}" for count, what in failures if count)
    expect(not text, f"{text}; {len(turns)} turns, {len(load.answers) - len(turns)} reads, statuses {statuses}")


def run(build):
    links = LinkProxies()
    try:
        with Deployment(build, len(GATEWAYS), JOURNALS, tolerated_losses=2, links=links) as deployment:
            deployment.store.put("config", "main", configuration(2, ROUTES))
            for gateway in GATEWAYS:
                wait_until(lambda: '"version":2' in deployment.log_of(gateway), f"{gateway} has the configuration")
            load = Load(deployment)
            for runner in deployment.runners:
                load.on_instance(runner)
            for gateway in GATEWAYS:
                links.set_rate(gateway, LINK_BYTES_PER_S)
            before = {gateway: links.bytes_to(gateway) for gateway in GATEWAYS}
            started = time.monotonic()
            load.run()
            elapsed_s = time.monotonic() - started
            shares = [f"{(links.bytes_to(gateway) - before[gateway]) / elapsed_s / LINK_BYTES_PER_S:.2f}"
                      for gateway in GATEWAYS]
            print(f"  received, as a share of the links' rate: {' '.join(shares)}")
            delays = sorted(load.received_at[request] - at for request, at in load.sent_at.items() if request in load.received_at)
            print(f"  time to an instance: median {delays[len(delays) // 2] * 1000:.0f} ms, most {delays[-1] * 1000:.0f} ms")
            load.burst()
            check(load)
    finally:
        links.close()
