"""A request that crashes engines is held after the crash limit and refused at once by every entry, also restarted."""

from harness import System, call, expect, open_program, start_small_system, wait_until

POISON = {"input": "crash-me", "max_tokens": 10, "idempotent": True}


def engines(system):
    return [endpoint for name, endpoint in system.endpoints.items() if name.startswith("llm")]


def poisoned_call(address):
    return call(address, open_program(address)[1], POISON)


def run(build):
    with System(build) as system:
        start_small_system(system, per_domain=2)
        answers = [poisoned_call(system.callers()[0])]
        wait_until(lambda: poisoned_call(system.callers()[0])[2]["type"].endswith(":quarantined"), "it is held")
        crashed = sum(not engine.running() for engine in engines(system))
        expect(1 <= crashed <= 2, f"engines crashed: {crashed}, limit 2; first answer {answers}")

        for address in system.callers():
            wait_until(lambda a=address: poisoned_call(a)[2]["type"].endswith(":quarantined"), "held at every entry")
            status, headers, problem = poisoned_call(address)
            expect(status == 422 and problem["ran"] == "no", f"final: {problem}")
            expect("retry-after" not in {name.lower() for name in headers}, "no use in coming back")

        system.entries["entry-a"].kill()
        restarted = system.start_entry("entry-a", "a")
        wait_until(lambda: system.is_ready(restarted), "the entry is back")
        wait_until(lambda: poisoned_call(restarted.field("callers"))[2]["type"].endswith(":quarantined"), "still held")
        expect(sum(not engine.running() for engine in engines(system)) == crashed, "no further engine crashed")
