"""The object API is unavailable for several lease durations: entries keep serving on promises of their peers."""

import time

from harness import System, expect, start_small_system, wait_until

OUTAGE_LEASES = 6


def run(build):
    with System(build) as system:
        start_small_system(system)
        load = system.start_load("load", duration_s=10)
        entries = list(system.entries.values())
        wait_until(lambda: system.metric(entries[0], "rattandeck_entry_orders_total") > 10, "an entry sends orders")
        system.set_faults(down=True)
        wait_until(lambda: all(system.metric(entry, "rattandeck_entry_on_promises") == 1 for entry in entries),
                   "every entry relies on promises")
        orders = [system.metric(entry, "rattandeck_entry_orders_total") for entry in entries]
        time.sleep(OUTAGE_LEASES * system.lease_ms / 1000)
        later = [system.metric(entry, "rattandeck_entry_orders_total") for entry in entries]
        expect(sum(later) > sum(orders), "no order was sent during the outage")
        system.set_faults(down=False)
        system.finish_load(load, "load")
        wait_until(lambda: all(system.metric(entry, "rattandeck_entry_on_promises") == 0 for entry in entries),
                   "every entry relies on its lease again")
