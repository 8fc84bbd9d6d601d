"""Responses of the object API are lost repeatedly after the updates took effect."""

from harness import System, start_small_system, wait_until


def run(build):
    with System(build) as system:
        start_small_system(system)
        load = system.start_load("load")
        victim = system.entries["entry-c"]
        for _ in range(5):
            before = system.metric(victim, "rattandeck_entry_object_calls_total")
            system.set_faults(drop_answers=3)
            wait_until(lambda b=before: system.metric(victim, "rattandeck_entry_object_calls_total") > b + 2,
                       "calls to the object API")
        system.set_faults(drop_answers=0)
        system.finish_load(load, "load")
