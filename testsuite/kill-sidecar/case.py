"""A model engine and its sidecar are killed under load and restarted: no call is lost or executed twice."""

from harness import System, start_small_system, wait_until


def run(build):
    with System(build) as system:
        start_small_system(system, per_domain=2)
        load = system.start_load("load")
        engine = system.sidecars["llm-a0"]
        wait_until(lambda: system.metric(engine, "rattandeck_sidecar_started_total") > 5, "the engine executes calls")
        engine.kill()
        system.endpoints["llm-a0"].kill()
        system.endpoints["llm-a0"] = system.start_stand_in("llm-a0-endpoint-2", "engine", "--speed", "4")
        system.start_sidecar("llm-a0", "a", "agent-llm", True)
        system.finish_load(load, "load")
