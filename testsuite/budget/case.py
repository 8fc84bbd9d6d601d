"""A program and its sub-agents spend a shared budget in parallel, with and without a crash of their home entry."""

import json

from harness import System, call, expect, http, in_parallel, open_program, start_small_system, wait_until

BUDGET = 1500
SUB_AGENTS = 3
MAX_TOKENS = 40
CALLS_BEFORE_KILL = 6
MAX_TURNS = 200


def lookup(system, program):
    status, _, text = http("GET", system.caller_addresses()[0], f"/v1/programs/{program}")
    return json.loads(text) if status == 200 else None


def send_until_final(system, index, program, turn):
    """Sends a turn until it is answered or finally refused. Returns (status, answer)."""
    def final_answer():
        addresses = system.caller_addresses()
        body = {"input": f"question {turn}", "max_tokens": MAX_TOKENS, "turn": turn}
        try:
            status, _, answer = call(addresses[index % len(addresses)], program, body)
        except OSError:
            return None
        return None if status in (409, 429, 503) else (status, answer)
    return wait_until(final_answer, f"turn {turn} of {program} is answered or finally refused")


def spend(system, index, program, charges):
    """Sends turns until one exceeds the budget. Appends the charge of each turn to `charges`."""
    for turn in range(1, MAX_TURNS):
        status, answer = send_until_final(system, index, program, turn)
        if status == 402:
            expect(answer["ran"] == "no" and answer["type"].endswith(":budget-exceeded"),
                   f"unexpected refusal: {answer}")
            return True
        expect(status == 200, f"turn {turn}: {status} {answer}")
        expect(0 <= answer["budget_left"] <= BUDGET, f"the remaining budget is out of range: {answer}")
        charges.append(answer["charged"])
    return False


def spend_all(system, home, kill):
    root = open_program(home.field("callers"), BUDGET)[1]
    programs = [root] + [open_program(home.field("callers"), BUDGET, parent=root)[1] for _ in range(SUB_AGENTS)]
    charges = []

    def kill_home():
        wait_until(lambda: len(charges) >= CALLS_BEFORE_KILL, f"{CALLS_BEFORE_KILL} calls are charged")
        home.kill()
        return True
    tasks = [lambda i=i, p=program: spend(system, i, p, charges) for i, program in enumerate(programs)]
    expect(all(in_parallel(tasks + ([kill_home] if kill else []))),
           "a program was not refused for its budget within the maximum number of turns")

    left = wait_until(lambda: lookup(system, root), "the program is found")["budget_left"]
    expect(left >= 0, f"the remaining budget is negative: {left}")
    expect(sum(charges) + left <= BUDGET, f"charged {sum(charges)} in {len(charges)} calls, left {left} of {BUDGET}")
    # The budget may also be charged for an attempt whose answer was lost when the home crashed.
    expect(kill or sum(charges) + left == BUDGET, f"charged {sum(charges)}, left {left} of {BUDGET}")


def run(build):
    with System(build) as system:
        start_small_system(system)
        spend_all(system, system.entries["entry-a"], kill=False)
        spend_all(system, system.entries["entry-a"], kill=True)
