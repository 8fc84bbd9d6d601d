"""A planned stop of a gateway interrupts no response: calls in progress finish before it exits. Calls that still arrive
during the stop are answered, and their connections are closed."""

import threading

from harness import expect, wait_until
from platform_standins import Deployment


def run(build):
    with Deployment(build) as deployment:
        resume_streams = deployment.pause_streams()
        answers = []
        calls = [threading.Thread(target=lambda n=n: answers.append(deployment.turn("gateway-1", f"p{n}")))
                 for n in range(4)]
        before = len(deployment.bodies())
        for call in calls:
            call.start()
        wait_until(lambda: len(deployment.bodies()) == before + len(calls), "all turns are running")
        gateway = deployment.processes["gateway-1"]
        gateway.signal(15)
        wait_until(lambda: '"event":"stop"' in deployment.log_of("gateway-1"), "the gateway begins to stop")
        late = deployment.call("gateway-1", "/read/")
        expect(late.status == 200, f"a call before the load balancer noticed the stop is answered {late.status}")
        expect(late.headers.get("connection") == "close", "a stopping gateway keeps a connection open")
        resume_streams()
        for call in calls:
            call.join(30)
        expect(all(answer.status == 200 and answer.is_complete for answer in answers),
               "the stop interrupted a response")
        expect(len(answers) == len(calls), "a turn got no response")
        expect(gateway.terminate() == 0, "the gateway exited with an error code after a planned stop")
