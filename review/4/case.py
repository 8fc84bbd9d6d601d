"""All runners of one zone crash once while they run turns that bring the same input. Later turns with that input."""

import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import (  # noqa: E402
    CONTACT_S, CaseFailed, CrashingRunner, RecordedDeployment, has_trouble, require, run_case)

RUNNERS_PER_ZONE = 3
DOWN_S = 3.0
TRIES = 6
INPUT = "yes\n"


class ZoneDeployment(RecordedDeployment):
    """Three model runners in each of three zones."""

    def make_runners(self):
        runners = [CrashingRunner(self.record, self.store, "llm", f"llm-{zone}-{number}", zone=zone, slots=16)
                   for zone in "abc" for number in range(RUNNERS_PER_ZONE)]
        return runners + [CrashingRunner(self.record, self.store, "app", f"app-{zone}", zone=zone) for zone in "abc"]

    def runner_of(self, request):
        return next((runner for runner in self.runners if runner.has_run(request)), None)


def programs_by_runner(deployment, runners):
    """Runs first turns, several at once, until each of the runners has run one. Returns the programs, by runner."""
    programs = {}

    def ask(name):
        answer = deployment.ask_turn("gateway-2", name, name + "-first", body="question\n")
        runner = deployment.runner_of(name + "-first")
        if answer.status == 200 and runner in runners:
            programs.setdefault(runner.name, (name, name + "-first"))

    for batch in range(20):
        threads = [threading.Thread(target=ask, args=(f"p{batch}-{number}",)) for number in range(18)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        if len(programs) == len(runners):
            return programs
    raise CaseFailed("no program for each runner of the zone")


def second_turns(deployment, programs, crashing):
    """Each program sends its second turn through gateway-2. Those that fail are sent again from their start, through
    gateway-1, as a consumer does."""
    def ask(program, previous):
        answer = deployment.ask_turn("gateway-2", program, previous + "-second", previous, body=INPUT)
        if answer.status != 200 or not answer.is_complete:
            time.sleep(0.3)
            deployment.ask_turn("gateway-1", program, previous + "-second-again", previous, body=INPUT)

    threads = [threading.Thread(target=ask, args=entry) for entry in programs.values()]
    for thread in threads:
        thread.start()
    if has_trouble():
        time.sleep(0.05)
        for runner in crashing:
            runner.crash()
    for thread in threads:
        thread.join()


def case(record):
    with ZoneDeployment(record) as deployment:
        for runner in deployment.runners:
            # Prompts of 12,600 tokens and more are read before the first event.
            runner.first_event_s = 0.1
        crashing = [runner for runner in deployment.runners if runner.name.startswith("llm-b")]
        programs = programs_by_runner(deployment, crashing)
        later = deployment.ask_turn("gateway-3", "later", "later-1", body="question\n")
        second_turns(deployment, programs, crashing)
        time.sleep(DOWN_S)
        for runner in crashing:
            if runner.is_down:
                runner.start_again()
        time.sleep(CONTACT_S + 1)
        tries = [f"later-2-{number}" for number in range(TRIES)]
        statuses = []
        first_turns = 0
        for number, request in enumerate(tries):
            gateway = deployment.gateways()[number % 3]
            statuses.append(deployment.ask_turn(gateway, "later", request, "later-1", body=INPUT).status)
            first_turns += deployment.ask_turn(gateway, f"new-{number}", f"new-{number}", body="question\n").status == 200
            time.sleep(0.3)
        other = deployment.ask_turn("gateway-1", "later", "later-2-other", "later-1", body="no\n")
        record.note(f"the same turn with another input is answered {other.status}")
        reached = sum(deployment.reached(request) for request in tries)
        require(later.status == 200 and first_turns == TRIES and other.status == 200, "other turns were not served")
        if reached == 0:
            return [f"LOST: the turn after later-1 reached no runner in {TRIES} tries (statuses {statuses}) later than "
                    f"{CONTACT_S:.0f} s after the crashed runners were back; first turns are served"]
        return []


run_case(FOLDER, case)
