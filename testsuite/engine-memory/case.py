"""Engines hold nothing for ended programs, also when the home or a sidecar died before it could release them."""

import json

from harness import System, call, expect, http, open_program, start_small_system, wait_until

SETTINGS = "[records]\nprefix_lease_ms = 2000\n"
PROGRAMS = 6


def cache_used(system):
    """Tokens that each engine holds."""
    return {name: json.loads(http("GET", engine.listening(), "/v1/load")[2])["cache_used"]
            for name, engine in system.endpoints.items() if name.startswith("llm")}


def start_programs(system, address):
    programs = [open_program(address)[1] for _ in range(PROGRAMS)]
    for program in programs:
        status, _, answer = call(address, program, {"input": "tank history " * 20, "max_tokens": 20})
        expect(status == 200, f"{status} {answer}")
    wait_until(lambda: sum(cache_used(system).values()) > 0, "engines hold prefixes")
    return programs


def end(system, programs):
    def ended(program):
        try:
            return http("DELETE", system.callers()[0], f"/v1/programs/{program}")[0] in (200, 410)
        except OSError:
            return False
    for program in programs:
        wait_until(lambda p=program: ended(p), f"{program} is ended")


def wait_for_nothing_held(system, what):
    try:
        wait_until(lambda: not any(cache_used(system).values()), what)
    finally:
        held = cache_used(system)
        if any(held.values()):
            print(f"  held {what}: {held}")


def run(build):
    with System(build) as system:
        start_small_system(system, engine_settings=SETTINGS)
        end(system, start_programs(system, system.callers()[0]))
        wait_for_nothing_held(system, "after the programs' ends")

        programs = start_programs(system, system.callers()[0])
        holder = max(cache_used(system).items(), key=lambda item: item[1])[0]
        system.sidecars[holder].kill()
        end(system, programs)
        expect(cache_used(system)[holder] > 0, "the engine's sidecar died before the release")
        system.start_sidecar(holder, holder[4], "agent-llm", True, SETTINGS)
        wait_for_nothing_held(system, "after a sidecar's death")

        home = system.entries["entry-a"]
        programs = start_programs(system, home.field("callers"))
        home.kill()
        end(system, programs)
        wait_for_nothing_held(system, "after the home's death")
