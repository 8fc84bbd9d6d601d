"""The store turns one gateway away: it learns of new routes and of instances that leave from the others."""

from harness import Relay, expect, wait_until
from platform_standins import Deployment, USUAL_ROUTES, configuration, route


def run(build):
    with Deployment(build) as deployment:
        relay = Relay()
        relay.target = deployment.store.address
        deployment.start_gateway("gateway-2", relay.address)
        deployment.wait_serving("gateway-2")
        relay.cut()
        deployment.store.put("config", "main", configuration(2, USUAL_ROUTES + [route("later", "safe", "app")]))
        wait_until(lambda: deployment.call("gateway-2", "/later/").status == 200, "the route comes from others")
        leaving = next(runner for runner in deployment.runners if runner.name == "app-1")
        leaving.register("draining")
        wait_until(lambda: '"draining":1' in deployment.log_of("gateway-2"), "the leaving instance is known")
        before = len(leaving.ran)
        for _ in range(10):
            expect(deployment.call("gateway-2", "/read/").status == 200, "a call is not served")
        expect(len(leaving.ran) == before, "a leaving instance gets calls")
        # One that starts without the store gets everything from the journals.
        deployment.start_gateway("gateway-3", relay.address)
        deployment.wait_serving("gateway-3")
        relay.close()
