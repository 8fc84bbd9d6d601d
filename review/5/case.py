"""A program that loops spends its token budget, is stopped, and returns within `retain_s`."""

import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import RETAIN_S, RecordedDeployment, has_trouble, require, run_case  # noqa: E402
from platform_standins import EVENTS, TOKENS_PER_EVENT  # noqa: E402

TURN_TOKENS = EVENTS * TOKENS_PER_EVENT
BUDGET = 5 * TURN_TOKENS
# The program goes on with calls of tools for this time after its last turn, before it is stopped.
TOOLS_S = 5
# It returns this long before `retain_s` after the stop has passed.
MARGIN_S = 2


def loop(deployment, prefix, count):
    """Sends turns of the program, each the start of a chain. Returns the tokens that were handed to the consumer."""
    tokens = 0
    for number in range(count):
        answer = deployment.ask_turn(deployment.gateways()[number % 3], "looping", f"{prefix}-{number}", budget=BUDGET,
                                     route_name="streams")
        tokens += answer.body.count(b"data:") * TOKENS_PER_EVENT if answer.status == 200 else 0
    return tokens


def case(record):
    with RecordedDeployment(record) as deployment:
        before = loop(deployment, "before", 8)
        for number in range(TOOLS_S):
            deployment.ask_read("gateway-1", f"tool-{number}")
            time.sleep(1)
        record.note("client: the program is stopped")
        pause = RETAIN_S - MARGIN_S if has_trouble() else 5
        time.sleep(pause)
        record.note(f"client: the program returns {pause:.0f} s after it was stopped")
        after = loop(deployment, "after", 8)
        record.note(f"tokens handed to the consumer: {before} + {after}; budget {BUDGET}, most of one turn {TURN_TOKENS}")
        require(before == BUDGET, "the program did not spend its budget before the pause")
        if before + after > BUDGET + TURN_TOKENS:
            return [f"BUDGET: {before + after} tokens were handed out of a budget of {BUDGET}, the most of one turn is "
                    f"{TURN_TOKENS}"]
        return []


run_case(FOLDER, case)
