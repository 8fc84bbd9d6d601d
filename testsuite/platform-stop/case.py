"""A planned stop of a gateway ends no answer, and takes no new calls after its end."""

import threading

from harness import expect, wait_until
from platform_standins import Deployment


def run(build):
    with Deployment(build) as deployment:
        let_end = deployment.hold_streams()
        answers = []
        calls = [threading.Thread(target=lambda n=n: answers.append(deployment.turn("gateway-1", f"p{n}")))
                 for n in range(4)]
        before = len(deployment.bodies())
        for call in calls:
            call.start()
        wait_until(lambda: len(deployment.bodies()) == before + len(calls), "all turns run")
        gateway = deployment.processes["gateway-1"]
        gateway.signal(15)
        wait_until(lambda: '"event":"stop"' in deployment.log_of("gateway-1"), "the stop begins")
        late = deployment.call("gateway-1", "/read/")
        expect(late.status == 200, f"a call that came before the balancer knew is answered {late.status}")
        expect(late.headers.get("connection") == "close", "a stopping gateway keeps a connection")
        let_end()
        for call in calls:
            call.join(30)
        expect(all(answer.status == 200 and answer.is_whole for answer in answers), "a stop cut an answer")
        expect(len(answers) == len(calls), "an answer is missing")
        expect(gateway.terminate() == 0, "a planned stop ends with a failure")
