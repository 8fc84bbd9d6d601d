"""A request that crashes engines is quarantined at the crash limit and refused by every entry, also after a restart."""

from harness import System, call, can_open, expect, open_program, start_small_system, wait_until

POISON = {"input": "crash-me", "max_tokens": 10, "idempotent": True}


def engines(system):
    return [endpoint for name, endpoint in system.endpoints.items() if name.startswith("llm")]


def poisoned_call(address):
    return call(address, open_program(address)[1], POISON)


def run(build):
    with System(build) as system:
        start_small_system(system, per_domain=2)
        answers = [poisoned_call(system.caller_addresses()[0])]
        wait_until(lambda: poisoned_call(system.caller_addresses()[0])[2]["type"].endswith(":quarantined"),
                   "the request is quarantined")
        crashed = sum(not engine.running() for engine in engines(system))
        expect(1 <= crashed <= 2, f"{crashed} engines crashed with a limit of 2; first answer: {answers}")

        for address in system.caller_addresses():
            wait_until(lambda a=address: poisoned_call(a)[2]["type"].endswith(":quarantined"),
                   "the request is quarantined at every entry")
            status, headers, problem = poisoned_call(address)
            expect(status == 422 and problem["ran"] == "no", f"not a final refusal: {status} {problem}")
            expect("retry-after" not in {name.lower() for name in headers}, "a final refusal has a Retry-After")

        system.entries["entry-a"].kill()
        restarted = system.start_entry("entry-a", "a")
        wait_until(lambda: system.is_ready(restarted), "the restarted entry is ready")
        # As after the first start: it may be ready some milliseconds before it serves a shard.
        wait_until(lambda: can_open(system), "every entry opens a program")
        wait_until(lambda: poisoned_call(restarted.field("callers"))[2]["type"].endswith(":quarantined"),
                   "the request is quarantined at the restarted entry")
        expect(sum(not engine.running() for engine in engines(system)) == crashed,
               "a further engine crashed after the quarantine")
