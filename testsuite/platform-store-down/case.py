"""All processes lose power while the store is down: they serve with the configuration and instances known before."""

from harness import expect, wait_until
from platform_standins import Deployment, DEFAULT_ROUTES, configuration, route


def kill_all(deployment):
    for process in deployment.processes.values():
        process.kill()
        process.close()
    deployment.processes.clear()


def run(build):
    with Deployment(build) as deployment:
        deployment.store.put("config", "main", configuration(2, DEFAULT_ROUTES + [route("later", "safe", "app")]))
        wait_until(lambda: deployment.call("gateway-1", "/later/").status == 200, "the new route is served")
        left = next(runner for runner in deployment.runners if runner.name == "app-1")
        deployment.store.remove("servers", left.name)
        wait_until(lambda: f'"endpoint":"{left.name}"' in deployment.log_of("gateway-1")
                   and "endpoint gone" in deployment.log_of("journal-1") + deployment.log_of("journal-2")
                   + deployment.log_of("journal-3"), "the instance is known to have left")
        first = deployment.turn("gateway-1", "p", None, "turn-1", body="1 ")
        expect(first.status == 200, f"the first turn is answered {first.status}")
        journals = sorted(name for name in deployment.processes if name.startswith("journal"))
        kill_all(deployment)
        deployment.store.close()
        for name in journals:
            deployment.start_journal(name)
        deployment.start_gateway("gateway-1")
        deployment.wait_serving("gateway-1")
        before = len(left.executed_calls)
        for _ in range(10):
            expect(deployment.call("gateway-1", "/later/").status == 200, "the newest route is not served")
        expect(len(left.executed_calls) == before, "an instance that had left received calls")
        second = deployment.turn("gateway-1", "p", "turn-1", "turn-2", body="2 ")
        expect(second.status == 200, f"the second turn is answered {second.status}")
