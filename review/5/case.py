"""A program pauses for nearly `retain_s` and goes on; its turn after that comes through another zone."""

import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import RETAIN_S, RecordedDeployment, has_trouble, require, run_case  # noqa: E402

# The second turn is sent this long before `retain_s` after the first has passed, and takes longer than that.
MARGIN_S = 1.0
SECOND_TURN_S = 2.5
TRIES = 6


def case(record):
    # gateway-3 and gateway-6 are those of zone c.
    with RecordedDeployment(record, gateways=6) as deployment:
        first = deployment.ask_turn("gateway-1", "p", "t1", body="one ")
        answered = time.monotonic()
        pause = RETAIN_S - MARGIN_S if has_trouble() else 2
        record.note(f"client: the program pauses for {pause} s")
        time.sleep(pause)
        for runner in deployment.runners:
            runner.slow_requests["t2"] = SECOND_TURN_S
        sent_after = time.monotonic() - answered
        second = deployment.ask_turn("gateway-2", "p", "t2", previous="t1", body="two ")
        second_answered = time.monotonic()
        tries = [f"t3-{number}" for number in range(TRIES)]
        statuses = []
        first_turns = 0
        for number, request in enumerate(tries):
            gateway = ("gateway-3", "gateway-6")[number % 2]
            statuses.append(deployment.ask_turn(gateway, "p", request, previous="t2", body="three ").status)
            first_turns += deployment.ask_turn(gateway, f"other-{number}", f"other-{number}").status == 200
            time.sleep(0.3)
        require(first.status == 200 and first.is_complete and sent_after < RETAIN_S, "the pause took too long")
        require(second.status == 200 and second.is_complete, "the second turn was not answered whole")
        age = time.monotonic() - second_answered
        reached = sum(deployment.reached(request) for request in tries)
        record.note(f"turn t2 was sent {sent_after:.1f} s after t1 was answered; first turns served: {first_turns} "
                    f"of {TRIES}; tries of t3: {statuses}, {reached} reached a runner")
        require(first_turns == TRIES, "first turns were not served")
        if reached == 0:
            return [f"LOST: turn t2 was answered whole {age:.0f} s ago, its next turn reached no runner in {TRIES} "
                    f"tries (statuses {statuses}), without any disturbance; first turns are served"]
        return []


run_case(FOLDER, case)
