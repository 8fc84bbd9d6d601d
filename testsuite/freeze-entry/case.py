"""An entry is suspended under load for longer than its lease and then resumed: it must not start calls on the expired
lease."""

import signal
import time

from harness import System, expect, start_small_system, wait_until


def run(build):
    with System(build) as system:
        start_small_system(system)
        load = system.start_load("load")
        victim = system.entries["entry-b"]
        wait_until(lambda: system.metric(victim, "rattandeck_entry_orders_total") > 20, "the entry sends orders")
        others = [entry for entry in system.entries.values() if entry is not victim]
        victim.signal(signal.SIGSTOP)
        wait_until(lambda: sum(system.metric(e, "rattandeck_entry_takeovers_total") for e in others) > 0,
                   "another entry takes over")
        time.sleep(0.5)
        victim.signal(signal.SIGCONT)
        system.finish_load(load, "load")
        wait_until(lambda: system.is_ready(victim), "the resumed entry is ready")
        expect(victim.running(), "the resumed entry exited")
