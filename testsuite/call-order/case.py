"""Callers at three entries race over the turns of the same programs; the home is killed between two turns."""

from harness import (System, call, expect, in_parallel, open_program, start_one_service_system, wait_until)

PROGRAMS = 4
TURNS = 10
TURN_OF_KILL = 5


def take_turn(address, program, turn, name=None):
    """Sends one turn as a record that must not be written twice. Returns (status, answer), or None without an answer."""
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


def finish_turn(address, program, turn):
    """Repeats a turn until it has an answer; a refusal before it must promise that the turn hasn't run."""
    def answered():
        result = take_turn(address, program, turn)
        if result is None:
            return None
        status, answer = result
        away = answer.get("type", "").endswith(":not-serving")  # an entry that has lost the home can't tell
        expect(status == 200 or away or answer["ran"] == "no", f"turn {turn}: {status} {answer}")
        return answer if status == 200 else None
    return wait_until(answered, f"turn {turn} of {program} has an answer")


def race(addresses, program, turn):
    """Sends a turn doubled, with the next one too early and another skipped ahead. Returns the turn's answer.

    The early one may find the turn before it done and run, so that the one after it would be in order, too.
    """
    skipped = f"{program} skipped ahead at {turn}"
    first, second, early, skip = in_parallel([
        lambda: finish_turn(addresses[0], program, turn),
        lambda: finish_turn(addresses[1], program, turn),
        lambda: take_turn(addresses[-1], program, turn + 1),
        lambda: take_turn(addresses[0], program, turn + 3, skipped),
    ])
    expect((first["turn"], first["head"], first["output"]) == (turn, second["head"], second["output"]),
           f"one outcome of turn {turn}: {first} {second}")
    expect(skip is not None and early is not None, "every request has an answer")
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
            addresses = system.callers()
            answers = in_parallel([lambda p=program: race(addresses, p, turn) for program in programs])
            last = dict(zip(programs, answers))
            if turn == TURN_OF_KILL:
                home.kill()
                for program, answer in last.items():
                    again = finish_turn(system.callers()[0], program, turn)
                    expect(again["head"] == answer["head"], f"the stored answer outlives its home: {again} {answer}")

        for program in programs:
            written = [entry["body"] for entry in system.ledger() if entry["body"].startswith(program + " ")]
            turns = [f"{program} turn {turn}" for turn in range(1, TURNS + 2)]
            # The turn after the last one may have come early and still found its place.
            expect(written in (turns[:-1], turns), f"every turn once and in order: {written}")
