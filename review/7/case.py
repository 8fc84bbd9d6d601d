"""A program's token budget over a restart of all journals, after journals have removed their oldest segment."""

import itertools
import os
import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from platform2 import CannotRun, Deployment, Record, main, send, standins  # noqa: E402,F401

TURN_TOKENS = standins.EVENTS * standins.TOKENS_PER_EVENT
BUDGET = 10 * TURN_TOKENS
ROUTES = [standins.route("plan", "streaming", "llm", sticky=True, can_resume=False, timeout_ms=3000, goal_ms=200,
                         attempts=1, gap_target_ms=200)]
numbers = itertools.count(1)


def runners(store):
    return [standins.Runner(store, "llm", f"llm-{number}", zone, slots=16) for number, zone in enumerate("abc", 1)]


def turn(gateway, program, budget):
    request = f"r{next(numbers)}"
    headers = {"Host": standins.HOST, "Request-Id": request, "Deadline-Ms": "3000", "Model": "m",
               "Program-Id": program, "Session-Id": "s", "Finish-Ms": "100000", "Token-Budget": str(budget),
               "Token-Counts": f"100,{TURN_TOKENS}"}
    status, _, body, _ = send(gateway, "POST", "/plan/x", headers, b"input")
    # Counted is what the client has received: an event ends with a blank line.
    return request, status, body.count(b"\n\n") * standins.TOKENS_PER_EVENT if status == 200 else 0


def play(record, has_trouble):
    with Deployment(standins.configuration(1, ROUTES), runners) as deployment:
        began = time.monotonic()

        def wait_until(second):
            time.sleep(max(0.0, began + second - time.monotonic()))

        handed = 0

        def next_turn():
            nonlocal handed
            gateway = deployment.gateways[next(numbers) % 2]
            request, status, tokens = turn(gateway, "looping", BUDGET)
            handed += tokens
            record.note(f"looping: turn {request} by {gateway.name}: {status}, {tokens} tokens, {handed} in all")
            return status

        # Eight turns of the budget's ten; the first ones may be refused just after the start.
        while handed < 8 * TURN_TOKENS:
            if time.monotonic() > began + 10:
                raise CannotRun("the program did not get its first turns")
            if next_turn() != 200:
                time.sleep(0.3)

        # Other programs, of one turn each.
        others = []
        is_over = threading.Event()

        def work(gateway):
            while not is_over.is_set():
                others.append(turn(gateway, f"other-{next(numbers)}", BUDGET)[1])
                time.sleep(0.06)

        workers = [threading.Thread(target=work, args=(deployment.gateways[number % 2],)) for number in range(4)]
        for worker in workers:
            worker.start()
        try:
            wait_until(45)
            next_turn()
            wait_until(80)
        finally:
            is_over.set()
            for worker in workers:
                worker.join()
        record.note(f"others: {len(others)} turns, {others.count(200)} of them answered 200")
        deployment.check_running()
        if has_trouble:
            record.note("all journals are killed")
            for node in deployment.journals:
                node.kill()
            time.sleep(1)
            for node in deployment.journals:
                node.start()
            record.note("all journals are started again")
        deployment.wait(lambda: all(node.is_ready() for node in deployment.gateways), 12, "the gateways are ready")
        # The program that was stopped returns, and loops until it is told that its budget is spent.
        refused = 0
        while refused < 3 and time.monotonic() < began + 105:
            status = next_turn()
            refused += status == 402
            if status not in (200, 402):
                time.sleep(0.3)
        record.note(f"looping: budget {BUDGET}, at most {TURN_TOKENS} a turn, {handed} tokens handed out")
        ran = sum(len(runner.bodies()) for runner in deployment.runners)
        record.note(f"the runners ran {ran} turns")
        if handed <= TURN_TOKENS * 8:
            raise CannotRun("the program got no turn after its return")
        if handed > BUDGET + TURN_TOKENS:
            return f"BUDGET: {handed} tokens of {BUDGET} + {TURN_TOKENS}"
        return None


if __name__ == "__main__":
    # TROUBLE=0 does the same without the disruption.
    sys.exit(main(__file__, play, os.environ.get("TROUBLE", "1") != "0"))
