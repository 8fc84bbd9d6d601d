"""A request that crashes every instance that runs it is held, at every gateway and after a restart of everything."""

import socket
import struct

from harness import expect, wait_until
from platform_standins import Deployment

POISON = b"poison"


def crash_on_poison(runner, crashes):
    def misbehave(request):
        if request.body != POISON:
            return False
        # A reset, as when the process dies.
        request.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        request.close_connection = True
        request.connection.close()
        crashes.append(runner.name)
        # It comes back as another run.
        runner.register(born=1 + len(crashes))
        return True
    runner.misbehave = misbehave


def run(build):
    with Deployment(build, gateways=2) as deployment:
        crashes = []
        for runner in deployment.runners:
            crash_on_poison(runner, crashes)
        send = lambda gateway: deployment.call(gateway, "/write/p", "POST", POISON)
        for count in range(1, 4):
            expect(send("gateway-1").status == 502, "a lost answer is not told as lost")
            wait_until(lambda: deployment.log_of("gateway-1").count('"instance crashed"') == count, "a crash is noted")
        held = send("gateway-1")
        expect(held.status == 503 and len(crashes) == 3, f"held: {held.status}, {len(crashes)} crashes")
        wait_until(lambda: send("gateway-2").status == 503, "the other gateway holds it too", 10)
        seen = len(crashes)
        expect(seen <= 4, f"{seen} crashes")
        for name, process in list(deployment.processes.items()):
            process.kill()
            process.close()
            del deployment.processes[name]
        for number in (1, 2, 3):
            deployment.start_journal(f"journal-{number}")
        deployment.start_gateway("gateway-1")
        deployment.wait_serving("gateway-1")
        expect(send("gateway-1").status == 503 and len(crashes) == seen, "a restart forgets what was held")
        expect(deployment.call("gateway-1", "/write/p", "POST", b"other").status == 200, "an honest request is held")
