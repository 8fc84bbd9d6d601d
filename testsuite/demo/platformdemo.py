"""Demo: runs the workloads of both users through gateways and journals while a gateway and a journal are killed."""

import random
import threading
import time

from harness import in_parallel
from platform_standins import Deployment

PROGRAMS = 40
SEED = 1
# Delays before a turn without a complete answer is sent again, as the users' clients do.
RETRY_DELAYS_S = (0.2, 0.3, 0.4, 0.6, 0.8)

WORKLOADS = [
    # name, (minimum, maximum) turns of a program, route of its turns
    ("vadodara", (3, 11), "turns"),
    ("mizani", (2, 9), "turns"),
]


class Programs:
    """Runs programs of several turns, some of them followed by a record, and collects the outcomes."""

    def __init__(self, deployment, turns, route):
        self.deployment = deployment
        self.turns = turns
        self.route = route
        self.lock = threading.Lock()
        self.completed = 0
        self.records = []
        self.latencies = []

    def gateway(self, rng):
        running = [name for name, process in self.deployment.processes.items()
                   if name.startswith("gateway") and process.running()]
        return rng.choice(running)

    def try_turn(self, rng, program, previous, number):
        for attempt, delay in enumerate(RETRY_DELAYS_S):
            request = f"{program}-{number}-{attempt}"
            answer = self.deployment.turn(self.gateway(rng), program, previous, request, budget=100000,
                                          body=f"turn {number} ", route_name=self.route)
            if answer.status == 200 and answer.is_complete:
                return request
            time.sleep(delay)
        return None

    def write_record(self, rng, record):
        """Sends a record, and again only after a 503, which states that the call has not run."""
        for delay in RETRY_DELAYS_S:
            answer = self.deployment.call(self.gateway(rng), "/write/slip", "POST", record)
            if answer.status == 200:
                with self.lock:
                    self.records.append(record)
                return
            if answer.status != 503:
                return
            time.sleep(delay)

    def run(self, number):
        rng = random.Random(SEED + number)
        started = time.monotonic()
        program = f"program-{number}"
        previous = None
        for turn in range(rng.randint(*self.turns)):
            previous = self.try_turn(rng, program, previous, turn)
            if previous is None:
                return
            if rng.random() < 0.4:
                self.write_record(rng, f"{program}-record-{turn}")
        with self.lock:
            self.completed += 1
            self.latencies.append(time.monotonic() - started)


def run_workload(build, name, turns, route):
    with Deployment(build, gateways=3) as deployment:
        programs = Programs(deployment, turns, route)

        def kill_processes():
            time.sleep(0.5)
            deployment.processes["journal-2"].kill()
            time.sleep(0.5)
            deployment.processes["gateway-3"].kill()

        in_parallel([kill_processes] + [lambda n=n: programs.run(n) for n in range(PROGRAMS)])
        ran = [body.decode() for body in deployment.bodies("app")]
    doubled = len(ran) - len(set(ran))
    lost = len(set(programs.records) - set(ran))
    median = sorted(programs.latencies)[len(programs.latencies) // 2] if programs.latencies else 0
    print(f"{name:10} {programs.completed:4} of {PROGRAMS} programs, median {median:5.2f} s, "
          f"{len(programs.records):3} records acknowledged, {lost} lost, {doubled} doubled", flush=True)
    return 0 if programs.completed == PROGRAMS and not lost and not doubled else 1


def run(build):
    print("== users' platform: 3 gateways, 3 journals; one of each is killed", flush=True)
    return max(run_workload(build, *workload) for workload in WORKLOADS)
