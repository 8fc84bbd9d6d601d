"""An entry and the sidecars of a model engine and a plain service are stopped under load: no connection breaks."""

from harness import System, expect, start_small_system, wait_until


def run(build):
    with System(build) as system:
        start_small_system(system, per_domain=2)
        load = system.start_load("load")
        leaving = [system.sidecars["llm-b0"], system.sidecars["app-b0"], system.entries["entry-b"]]
        wait_until(lambda: system.metric(leaving[0], "rattandeck_sidecar_started_total") > 5,
                   "the sidecar starts calls")
        for process in leaving:
            code = process.terminate()
            expect(code == 0,
               f"{process.name} exited with {code}")
        report = system.finish_load(load, "load")
        expect(report["broken_connections"] == 0,
               f"connections broken during a planned stop: {report['broken_connections']}")
