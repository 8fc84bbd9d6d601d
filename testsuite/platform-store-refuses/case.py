"""One gateway cannot reach the store: it receives new routes and the state of draining instances from its peers."""

from harness import Relay, expect, wait_until
from platform_standins import Deployment, DEFAULT_ROUTES, configuration, route


def run(build):
    with Deployment(build) as deployment:
        relay = Relay()
        relay.target = deployment.store.address
        deployment.start_gateway("gateway-2", relay.address)
        deployment.wait_serving("gateway-2")
        relay.cut()
        deployment.store.put("config", "main", configuration(2, DEFAULT_ROUTES + [route("later", "safe", "app")]))
        wait_until(lambda: deployment.call("gateway-2", "/later/").status == 200,
                   "the gateway receives the new route from its peers")
        draining_runner = next(runner for runner in deployment.runners if runner.name == "app-1")
        draining_runner.register("draining")
        wait_until(lambda: '"draining":1' in deployment.log_of("gateway-2"),
                   "the gateway knows that the instance is draining")
        before = len(draining_runner.executed_calls)
        for _ in range(10):
            expect(deployment.call("gateway-2", "/read/").status == 200,
                   "a call to the remaining instance is not served")
        expect(len(draining_runner.executed_calls) == before, "a draining instance received calls")
        # A gateway that starts without the store receives its configuration from the journals.
        deployment.start_gateway("gateway-3", relay.address)
        deployment.wait_serving("gateway-3")
        relay.close()
