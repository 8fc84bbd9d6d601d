"""Engines hold no memory for ended programs, even if the home or a sidecar crashed before it could release it."""

import json

from harness import System, call, expect, http, open_program, start_small_system, wait_until

SETTINGS = "[records]\nprefix_lease_ms = 2000\n"
PROGRAMS = 6


def cache_used(system):
    """Returns the number of cached tokens of each engine."""
    return {name: json.loads(http("GET", engine.listen_address(), "/v1/load")[2])["cache_used"]
            for name, engine in system.endpoints.items() if name.startswith("llm")}


def start_programs(system, address):
    programs = [open_program(address)[1] for _ in range(PROGRAMS)]
    for program in programs:
        status, _, answer = call(address, program, {"input": "tank history " * 20, "max_tokens": 20})
        expect(status == 200, f"{status} {answer}")
    wait_until(lambda: sum(cache_used(system).values()) > 0, "an engine holds cached prefixes")
    return programs


def end_programs(system, programs):
    def ended(program):
        try:
            return http("DELETE", system.caller_addresses()[0], f"/v1/programs/{program}")[0] in (200, 410)
        except OSError:
            return False
    for program in programs:
        wait_until(lambda p=program: ended(p), f"{program} is ended")


def wait_until_released(system, what):
    try:
        wait_until(lambda: not any(cache_used(system).values()), what)
    finally:
        held = cache_used(system)
        if any(held.values()):
            print(f"  not met: {what}; cached tokens: {held}")


def run(build):
    with System(build) as system:
        start_small_system(system, engine_settings=SETTINGS)
        end_programs(system, start_programs(system, system.caller_addresses()[0]))
        wait_until_released(system, "engine memory is released after the programs ended")

        programs = start_programs(system, system.caller_addresses()[0])
        holder = max(cache_used(system).items(), key=lambda item: item[1])[0]
        system.sidecars[holder].kill()
        end_programs(system, programs)
        expect(cache_used(system)[holder] > 0, "the engine released its memory although its sidecar was killed first")
        system.start_sidecar(holder, holder[4], "agent-llm", True, SETTINGS)
        wait_until_released(system, "engine memory is released after a sidecar crashed")

        home = system.entries["entry-a"]
        programs = start_programs(system, home.field("callers"))
        home.kill()
        end_programs(system, programs)
        wait_until_released(system, "engine memory is released after the home crashed")
