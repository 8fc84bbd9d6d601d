"""A program whose turns bring inputs of nearly `max_body_bytes`."""

import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import RecordedDeployment, has_trouble, require, run_case  # noqa: E402

# `max_body_bytes` of the manifest is 4,194,304.
INPUT_BYTES = 4_190_000 if has_trouble() else 100_000
TURNS = 5
TRIES = 6


def case(record):
    with RecordedDeployment(record) as deployment:
        previous = None
        for number in range(TURNS):
            request = f"t{number}"
            answer = deployment.ask_turn(deployment.gateways()[number % 3], "p", request, previous,
                                         body="x" * INPUT_BYTES)
            require(answer.status == 200 and answer.is_complete, "a turn before was not answered whole")
            previous = request
        tries = [f"next-{number}" for number in range(TRIES)]
        statuses = []
        others = []
        for number, request in enumerate(tries):
            gateway = deployment.gateways()[number % 3]
            statuses.append(deployment.ask_turn(gateway, "p", request, previous, body="next ").status)
            time.sleep(1)
            others.append(deployment.ask_turn(gateway, f"other-{number}", f"other-{number}").status)
        reached = sum(deployment.reached(request) for request in tries)
        require(others.count(200) == TRIES, "first turns were not served")
        if reached == 0:
            return [f"LOST: the next turn after {previous}, which was answered whole, reached no runner in {TRIES} "
                    f"tries (statuses {statuses}), without any disturbance; first turns are answered {others}"]
        return []


run_case(FOLDER, case)
