"""An operator drains an endpoint by a policy: after a few seconds it gets nothing new, until it is taken back."""

import time

from harness import System, call, expect, open_program, start_small_system, wait_until

FEW_SECONDS = 5


def started(system, name):
    return system.metric(system.sidecars[name], "rattandeck_sidecar_started_total")


def some_calls(system):
    for address in system.callers():
        for _ in range(4):
            status, _, answer = call(address, open_program(address)[1], {"input": "x", "max_tokens": 3})
            expect(status == 200, f"{status} {answer}")


def run(build):
    with System(build) as system:
        start_small_system(system)
        code, output = system.ctl("drain", "llm-a0")
        expect(code == 0, output)
        time.sleep(FEW_SECONDS)
        before = started(system, "llm-a0")
        some_calls(system)
        expect(started(system, "llm-a0") == before, "a drained endpoint got work")
        code, output = system.ctl("undrain", "llm-a0")
        expect(code == 0, output)

        def gets_work():
            some_calls(system)
            return started(system, "llm-a0") > before
        wait_until(gets_work, "the endpoint gets work again")
