"""Callers at three entries send the turns of the same programs concurrently; the home is killed between two turns."""

from harness import (System, call, expect, in_parallel, open_program, start_one_service_system, wait_until)

PROGRAMS = 4
TURNS = 10
TURN_OF_KILL = 5


def send_turn(address, program, turn, name=None):
    """Sends a turn as a record that must not be written twice. Returns (status, answer), or None if no answer came."""
    name = name or f"{program} turn {turn}"
    body = {"input": name, "service": "jobcard-app", "turn": turn, "idempotent": False}
    try:
        status, _, answer = call(address, program, body, {"Idempotency-Key": name})
    except OSError:
        return None
    return status, answer


def check_refused_in_order(result, what):
    status, problem = result
    expect(status == 409 and problem["type"].endswith(":out-of-order") and problem["ran"] == "no",
           f"{what}: {status} {problem}")


def repeat_until_answered(address, program, turn):
    """Repeats a turn until it is answered; any earlier refusal must state that the turn has not run."""
    def answered():
        result = send_turn(address, program, turn)
        if result is None:
            return None
        status, answer = result
        is_home_unreachable = answer.get("type", "").endswith(":not-serving")  # outcome unknown
        expect(status == 200 or is_home_unreachable or answer["ran"] == "no", f"turn {turn}: {status} {answer}")
        return answer if status == 200 else None
    return wait_until(answered, f"turn {turn} of {program} is answered")


def send_concurrently(addresses, program, turn):
    """Sends turn `turn` twice and, at the same time, turns `turn + 1` and `turn + 3`. Returns the answer of `turn`.

    `turn + 1` may arrive after `turn` has completed, and then it runs. `turn + 2` would be in order after that, so that
    the turn that must be refused in any case is `turn + 3`.
    """
    skipped = f"{program} skipped ahead at {turn}"
    first, second, early, skip = in_parallel([
        lambda: repeat_until_answered(addresses[0], program, turn),
        lambda: repeat_until_answered(addresses[1], program, turn),
        lambda: send_turn(addresses[-1], program, turn + 1),
        lambda: send_turn(addresses[0], program, turn + 3, skipped),
    ])
    expect((first["turn"], first["head"], first["output"]) == (turn, second["head"], second["output"]),
           f"two different outcomes of turn {turn}: {first} {second}")
    expect(skip is not None and early is not None, "a request got no answer")
    check_refused_in_order(skip, f"turn {turn + 3} during {turn}")
    if early[0] != 200:
        check_refused_in_order(early, f"turn {turn + 1} during {turn}")
    return first


def run(build):
    with System(build) as system:
        start_one_service_system(system)
        home = system.entries["entry-b"]
        programs = [open_program(home.field("callers"))[1] for _ in range(PROGRAMS)]
        last = {}
        for turn in range(1, TURNS + 1):
            addresses = system.caller_addresses()
            answers = in_parallel([lambda p=program: send_concurrently(addresses, p, turn) for program in programs])
            last = dict(zip(programs, answers))
            if turn == TURN_OF_KILL:
                home.kill()
                for program, answer in last.items():
                    again = repeat_until_answered(system.caller_addresses()[0], program, turn)
                    expect(again["head"] == answer["head"],
                           f"the stored answer was lost with its home: {again} {answer}")

        for program in programs:
            written = [entry["body"] for entry in system.ledger() if entry["body"].startswith(program + " ")]
            turns = [f"{program} turn {turn}" for turn in range(1, TURNS + 2)]
            # The turn after the last one may have been sent early and still have run in order.
            expect(written in (turns[:-1], turns), f"not every turn is written once and in order: {written}")
