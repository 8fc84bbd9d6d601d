"""An operator drains an endpoint with a policy: within seconds it gets no new work, until the drain is undone."""

import time

from harness import System, call, expect, open_program, start_small_system, wait_until

PROPAGATION_LIMIT_S = 5


def started_calls(system, name):
    return system.metric(system.sidecars[name], "rattandeck_sidecar_started_total")


def send_calls(system):
    for address in system.caller_addresses():
        for _ in range(4):
            status, _, answer = call(address, open_program(address)[1], {"input": "x", "max_tokens": 3})
            expect(status == 200, f"{status} {answer}")


def run(build):
    with System(build) as system:
        start_small_system(system)
        code, output = system.ctl("drain", "llm-a0")
        expect(code == 0, output)
        time.sleep(PROPAGATION_LIMIT_S)
        before = started_calls(system, "llm-a0")
        send_calls(system)
        expect(started_calls(system, "llm-a0") == before, "a drained endpoint got new work")
        code, output = system.ctl("undrain", "llm-a0")
        expect(code == 0, output)

        def gets_work():
            send_calls(system)
            return started_calls(system, "llm-a0") > before
        wait_until(gets_work, "the endpoint gets work after the drain is undone")
