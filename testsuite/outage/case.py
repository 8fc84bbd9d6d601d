"""The object API is away for many leases: work goes on by promises, also after an entry has been restarted into it."""

import time

from harness import System, expect, start_small_system, wait_until

OUTAGE_LEASES = 6


def run(build):
    with System(build) as system:
        start_small_system(system)
        load = system.start_load("load", duration_s=10)
        entries = list(system.entries.values())
        wait_until(lambda: system.metric(entries[0], "rattandeck_entry_orders_total") > 10, "the system works")
        system.fault(down=True)
        wait_until(lambda: all(system.metric(entry, "rattandeck_entry_on_promises") == 1 for entry in entries),
                   "every entry goes on by promises")
        orders = [system.metric(entry, "rattandeck_entry_orders_total") for entry in entries]
        time.sleep(OUTAGE_LEASES * system.lease_ms / 1000)
        later = [system.metric(entry, "rattandeck_entry_orders_total") for entry in entries]
        expect(sum(later) > sum(orders), "orders are sent during the outage")
        system.fault(down=False)
        system.finish_load(load, "load")
        wait_until(lambda: all(system.metric(entry, "rattandeck_entry_on_promises") == 0 for entry in entries),
                   "leases again")
