"""An entry's links from its peers and the links to the sidecars of its failure domain are cut for longer than a lease under
load. What was under way is delivered late, once they are restored."""

import time

from harness import System, expect, start_small_system, wait_until

# Of two entries the one that comes first by name dials: the last one is dialled by all others.
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
        wait_until(lambda: min(orders()) > 10 and started() > 0, "every entry works, also through the relays")
        expect(all(relay.used() for relay in relays), "every relay is dialled")
        for relay in relays:
            relay.cut()
        before = orders()
        time.sleep(CUT_LEASES * system.lease_ms / 1000)
        expect(sum(orders()) > sum(before), "orders are sent while the links are cut")
        for relay in relays:
            relay.restore()
        system.finish_load(load, "load")
