"""All processes are killed at once and one disk is emptied: chains continue and spent budgets are kept."""

import shutil

from harness import expect, wait_until
from platform_standins import Deployment, EVENTS, TOKENS_PER_EVENT

USED = EVENTS * TOKENS_PER_EVENT


def kill_all(deployment, emptied):
    for process in deployment.processes.values():
        process.kill()
        process.close()
    shutil.rmtree(deployment.disk(emptied))
    journals = sorted(name for name in deployment.processes if name.startswith("journal"))
    deployment.processes.clear()
    for name in journals:
        deployment.start_journal(name)
    deployment.start_gateway("gateway-1")


def run(build):
    with Deployment(build) as deployment:
        previous = None
        for number, emptied in enumerate(("journal-2", "journal-1", "journal-3"), start=1):
            name = f"turn-{number}"
            answer = deployment.turn("gateway-1", "p", previous, name, budget=3 * USED, body=f"{number} ")
            expect(answer.status == 200 and answer.is_complete, f"{name} is answered {answer.status}")
            previous = name
            kill_all(deployment, emptied)
            deployment.wait_serving("gateway-1")
            # The emptied journal copies the data back before the next disk is emptied.
            wait_until(lambda: f'"journal complete"' in deployment.log_of(emptied), f"{emptied} is complete again")
        expect(deployment.turn("gateway-1", "p", previous, budget=3 * USED).status == 402, "the spent budget was lost")
        last = deployment.turn("gateway-1", "p", previous, "last", budget=4 * USED, body="end")
        expect(last.status == 200, f"the last turn is answered {last.status}")
        sent = next(body for body in deployment.bodies() if body.endswith(b"end"))
        expect(sent.startswith(b"1 d1\n") and b"2 d1\n" in sent and b"3 d1\n" in sent,
               f"turns are missing in the chain: {sent}")
        answers = {deployment.turn("gateway-1", "q", "never").status for _ in range(3)}
        expect(answers <= {404, 503}, f"an unknown turn is answered {answers}")
