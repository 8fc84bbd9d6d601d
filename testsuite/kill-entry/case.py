"""An entry is killed under load: its programs continue on other entries, and no call is lost or executed twice."""

from harness import System, expect, start_small_system, wait_until


def run(build):
    with System(build) as system:
        start_small_system(system)
        load = system.start_load("load")
        victim = system.entries["entry-a"]
        wait_until(lambda: system.metric(victim, "rattandeck_entry_orders_total") > 20, "the entry sends orders")
        victim.kill()
        system.finish_load(load, "load")
        takeovers = sum(system.metric(entry, "rattandeck_entry_takeovers_total")
                        for entry in system.entries.values() if entry.running())
        expect(takeovers > 0, "no entry took over the shards of the killed one")
