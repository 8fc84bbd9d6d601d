"""A request that crashes the instances that run it is blocked by every gateway, also after all processes restart."""

import socket
import struct

from harness import expect, wait_until
from platform_standins import Deployment

POISON = b"poison"


def crash_on_poison(runner, crashes):
    def fault_handler(request):
        if request.body != POISON:
            return False
        # Resets the connection, as a crash of the process does.
        request.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        request.close_connection = True
        request.connection.close()
        crashes.append(runner.name)
        # The instance registers again as restarted.
        runner.register(born=1 + len(crashes))
        return True
    runner.fault_handler = fault_handler


def run(build):
    with Deployment(build, gateways=2) as deployment:
        crashes = []
        for runner in deployment.runners:
            crash_on_poison(runner, crashes)
        send = lambda gateway: deployment.call(gateway, "/write/p", "POST", POISON)
        for count in range(1, 4):
            expect(send("gateway-1").status == 502, "a call whose instance crashed is not answered 502")
            wait_until(lambda: deployment.log_of("gateway-1").count('"instance crashed"') == count,
                       f"crash {count} is logged")
        blocked = send("gateway-1")
        expect(blocked.status == 503 and len(crashes) == 3,
               f"not blocked after three crashes: status {blocked.status}, {len(crashes)} crashes")
        wait_until(lambda: send("gateway-2").status == 503, "the other gateway blocks the request", 10)
        crash_count = len(crashes)
        expect(crash_count <= 4, f"the request crashed {crash_count} instances")
        for name, process in list(deployment.processes.items()):
            process.kill()
            process.close()
            del deployment.processes[name]
        for number in (1, 2, 3):
            deployment.start_journal(f"journal-{number}")
        deployment.start_gateway("gateway-1")
        deployment.wait_serving("gateway-1")
        expect(send("gateway-1").status == 503 and len(crashes) == crash_count,
               "the request is not blocked after a restart")
        expect(deployment.call("gateway-1", "/write/p", "POST", b"other").status == 200,
               "another request on the same route is blocked")
