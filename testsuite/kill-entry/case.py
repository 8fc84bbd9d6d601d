"""An entry is killed under load: its programs go on at others, and nothing is lost or doubled."""

from harness import System, expect, start_small_system, wait_until


def run(build):
    with System(build) as system:
        start_small_system(system)
        load = system.start_load("load")
        victim = system.entries["entry-a"]
        wait_until(lambda: system.metric(victim, "rattandeck_entry_orders_total") > 20, "the victim works")
        victim.kill()
        system.finish_load(load, "load")
        takeovers = sum(system.metric(entry, "rattandeck_entry_takeovers_total")
                        for entry in system.entries.values() if entry.running())
        expect(takeovers > 0, "somebody took the shards over")
