"""A program and its sub-agents spend one budget in parallel, with and without a kill of their home under way."""

import json

from harness import System, call, expect, http, in_parallel, open_program, start_small_system, wait_until

BUDGET = 1500
SUB_AGENTS = 3
MAX_TOKENS = 40
CALLS_BEFORE_KILL = 6
MOST_TURNS = 200


def lookup(system, program):
    status, _, text = http("GET", system.callers()[0], f"/v1/programs/{program}")
    return json.loads(text) if status == 200 else None


def answer_of(system, index, program, turn):
    """Sends a turn until it is answered or refused for good. Returns (status, answer)."""
    def settled():
        addresses = system.callers()
        body = {"input": f"question {turn}", "max_tokens": MAX_TOKENS, "turn": turn}
        try:
            status, _, answer = call(addresses[index % len(addresses)], program, body)
        except OSError:
            return None
        return None if status in (409, 429, 503) else (status, answer)
    return wait_until(settled, f"turn {turn} of {program} is settled")


def spend(system, index, program, charges):
    """Calls until the budget refuses one. Adds what each turn was charged to `charges`."""
    for turn in range(1, MOST_TURNS):
        status, answer = answer_of(system, index, program, turn)
        if status == 402:
            expect(answer["ran"] == "no" and answer["type"].endswith(":budget-exceeded"), f"refusal: {answer}")
            return True
        expect(status == 200, f"turn {turn}: {status} {answer}")
        expect(0 <= answer["budget_left"] <= BUDGET, f"budget left: {answer}")
        charges.append(answer["charged"])
    return False


def spend_all(system, home, kill):
    root = open_program(home.field("callers"), BUDGET)[1]
    programs = [root] + [open_program(home.field("callers"), BUDGET, parent=root)[1] for _ in range(SUB_AGENTS)]
    charges = []

    def kill_home():
        wait_until(lambda: len(charges) >= CALLS_BEFORE_KILL, "calls are under way")
        home.kill()
        return True
    tasks = [lambda i=i, p=program: spend(system, i, p, charges) for i, program in enumerate(programs)]
    expect(all(in_parallel(tasks + ([kill_home] if kill else []))), "the budget ends every program")

    left = wait_until(lambda: lookup(system, root), "the program is found")["budget_left"]
    expect(left >= 0, f"budget left: {left}")
    expect(sum(charges) + left <= BUDGET, f"charged {sum(charges)} in {len(charges)} calls, left {left} of {BUDGET}")
    # An attempt that died with the home may be charged as well, without an answer that tells.
    expect(kill or sum(charges) + left == BUDGET, f"charged {sum(charges)}, left {left} of {BUDGET}")


def run(build):
    with System(build) as system:
        start_small_system(system)
        spend_all(system, system.entries["entry-a"], kill=False)
        spend_all(system, system.entries["entry-a"], kill=True)
