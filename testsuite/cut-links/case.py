"""The links from the peers to one entry, and the links to the sidecars of its failure domain, are cut under load for
longer than a lease. Messages in flight are delivered late, when the links are restored."""

import time

from harness import System, expect, start_small_system, wait_until

# Of two entries, the one whose name sorts first opens the connection, so that all other entries connect to entry-c.
CUT = ("entry-c", "llm-c0", "app-c0")
CUT_LEASES = 4


def run(build):
    with System(build) as system:
        relays = [system.add_relay(name) for name in CUT]
        start_small_system(system)
        load = system.start_load("load", duration_s=12)
        entries = list(system.entries.values())

        def orders():
            return [system.metric(entry, "rattandeck_entry_orders_total") for entry in entries]

        def started():
            return system.metric(system.sidecars["llm-c0"], "rattandeck_sidecar_started_total")
        wait_until(lambda: min(orders()) > 10 and started() > 0,
                   "every entry sends orders and the sidecar behind a relay executes calls")
        expect(all(relay.has_connections() for relay in relays), "a relay has no connection")
        for relay in relays:
            relay.cut()
        before = orders()
        time.sleep(CUT_LEASES * system.lease_ms / 1000)
        expect(sum(orders()) > sum(before), "no order was sent while the links were cut")
        for relay in relays:
            relay.restore()
        system.finish_load(load, "load")
