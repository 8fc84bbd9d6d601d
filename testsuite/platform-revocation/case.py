"""A key that the configuration loses is not served for longer than the stated bound: at a gateway that was frozen, at one that
is cut off from the store and from the journals, and at one that is restarted while the store is silent. Gateways that reach the
others refuse no call, also while a third of the machines is cut off from the store."""

import collections
import signal
import threading
import time

from harness import Relay, expect, http, wait_until
from linkproxy import ANY, LinkProxies
from platform_standins import Deployment, DEFAULT_ROUTES, configuration, route

REVOKE_S = 5.0
GATEWAYS = ("gateway-1", "gateway-2", "gateway-3")
# The third of the machines that is cut off from the store.
CUT_FROM_STORE = ("gateway-3", "journal-3")
KEYS = ["kept", "lost-while-frozen", "lost-while-cut-off", "lost-while-silent"]
ROUTES = DEFAULT_ROUTES + [route("open", "safe", "app", public=True)]
CALL_INTERVAL_S = 0.05


class Fleet(Deployment):
    """A deployment with the bound, in which some machines reach the store through a relay of their own."""

    def __init__(self, build, links):
        self.relays = {}
        super().__init__(build, gateways=len(GATEWAYS), links=links)

    def start(self, program, name, settings):
        if name in CUT_FROM_STORE and name not in self.relays:
            self.relays[name] = Relay()
            self.relays[name].target = self.store.address
        if name in self.relays:
            settings = settings.replace(f'object_store = "{self.store.address}"',
                                        f'object_store = "{self.relays[name].address}"')
        return super().start(program, name, settings)

    def more_settings(self, name):
        return f"[keys]\nmax_config_age_ms = {REVOKE_S * 1000:.0f}\n" if name.startswith("gateway") else ""

    def __exit__(self, *reason):
        super().__exit__(*reason)
        for relay in self.relays.values():
            relay.close()

    def configure(self, version, keys):
        """Stores a configuration; returns when the store has confirmed it."""
        tenants = [{"name": "org-" + key, "api_keys": [key], "priority": 1, "rate_per_s": 0, "burst": 0} for key in keys]
        self.store.put("config", "main", dict(configuration(version, ROUTES), tenants=tenants))
        return time.monotonic()

    def ask(self, gateway, key, request=None):
        headers = {"Authorization": f"Token {key}"}
        if request:
            headers["Request-Id"] = request
        return self.call(gateway, "/read/x", headers=headers)

    def has_run(self, request):
        return any(request == executed for runner in self.runners for executed, _, _ in runner.executed_calls)

    def ready_status(self, gateway):
        return http("GET", self.processes[gateway].field("ready"), "/")[0]

    def wait_served(self, gateway, key="kept"):
        wait_until(lambda: self.ask(gateway, key).status == 200, f"{gateway} serves a key that is valid")


def statuses_for(fleet, gateways, key, duration_s):
    """Makes one call after the other, at each gateway in turn. Returns how many calls got each status."""
    counts = collections.Counter()
    end = time.monotonic() + duration_s
    while time.monotonic() < end:
        for gateway in gateways:
            counts[fleet.ask(gateway, key).status] += 1
        time.sleep(CALL_INTERVAL_S)
    return counts


def expect_bound_kept(fleet, gateway, key, removed_at, what):
    """Calls until well after the bound: no call runs that was sent later than the bound allows."""
    number = 0
    last_run_s = 0.0
    while time.monotonic() - removed_at < REVOKE_S + 3:
        number += 1
        request = f"{key}-{number}"
        sent_s = time.monotonic() - removed_at
        answer = fleet.ask(gateway, key, request)
        if fleet.has_run(request):
            last_run_s = sent_s
        expect(sent_s <= REVOKE_S or answer.status in (401, 503),
               f"{what}: a call sent {sent_s:.2f} s after the removal is answered {answer.status}")
        expect(sent_s <= REVOKE_S or not fleet.has_run(request),
               f"{what}: a call sent {sent_s:.2f} s after the removal has run")
        time.sleep(CALL_INTERVAL_S)
    print(f"  {what}: the last call that ran was sent {last_run_s:.2f} s after the removal")
    return last_run_s


def nothing_is_refused_while_connected(fleet):
    counts = statuses_for(fleet, GATEWAYS, "kept", REVOKE_S + 3)
    expect(set(counts) == {200}, f"connected gateways answered {dict(counts)}")


def key_removed_while_a_gateway_is_frozen(fleet):
    gateway = "gateway-2"
    fleet.processes[gateway].signal(signal.SIGSTOP)
    removed_at = fleet.configure(3, [key for key in KEYS if key != "lost-while-frozen"])
    time.sleep(REVOKE_S + 0.3)
    answers = {}
    threads = [threading.Thread(target=lambda number=number: answers.update(
        {number: fleet.ask(gateway, "lost-while-frozen", f"frozen-{number}")})) for number in range(8)]
    for thread in threads:
        thread.start()
    # The calls are in the gateway's queues when it goes on.
    time.sleep(0.3)
    fleet.processes[gateway].signal(signal.SIGCONT)
    for thread in threads:
        thread.join()
    statuses = collections.Counter(answer.status for answer in answers.values())
    expect(set(statuses) <= {401, 503}, f"calls to the frozen gateway are answered {dict(statuses)}")
    expect(not any(fleet.has_run(f"frozen-{number}") for number in answers), "a call to the frozen gateway has run")
    fleet.wait_served(gateway)
    wait_until(lambda: fleet.ask(gateway, "lost-while-frozen").status == 401, "the removed key is unknown", 3)
    print(f"  frozen: {dict(statuses)}, {time.monotonic() - removed_at:.1f} s after the removal")


def key_removed_while_a_gateway_is_cut_off(fleet, links):
    gateway = "gateway-3"
    fleet.relays[gateway].cut()
    for source, sink in ((gateway, ANY), (ANY, gateway)):
        links.set_rule(source, sink, is_blocked=True)
    removed_at = fleet.configure(4, ["kept", "lost-while-silent"])
    last_run_s = expect_bound_kept(fleet, gateway, "lost-while-cut-off", removed_at, "cut off")
    expect(last_run_s > 0, "no call ran after the cut, so the bound wasn't tried")
    expect("configuration too old for keys" in fleet.log_of(gateway), "the log doesn't tell why calls are refused")
    expect(fleet.ready_status(gateway) == 503, "a gateway that refuses calls with keys reports ready")
    refusal = fleet.ask(gateway, "kept")
    headers = {name.lower(): value.lower() for name, value in refusal.headers.items()}
    expect(refusal.status == 503 and 0 < float(headers.get("retry-after", 0)) < 1, f"{refusal.status}, {headers}")
    expect(headers.get("connection") == "close", f"the answer doesn't close its connection: {headers}")
    expect(fleet.call(gateway, "/open/x").status == 200, "a call on a public route is not served")
    fleet.relays[gateway].restore()
    for source, sink in ((gateway, ANY), (ANY, gateway)):
        links.set_rule(source, sink)
    fleet.wait_served(gateway)
    expect(fleet.ask(gateway, "lost-while-cut-off").status == 401, "the removed key is not unknown")
    wait_until(lambda: fleet.ready_status(gateway) == 200, "the gateway is ready again")


def store_lost_by_a_third(fleet):
    for name in CUT_FROM_STORE:
        fleet.relays[name].cut()
    counts = statuses_for(fleet, GATEWAYS, "kept", 2 * REVOKE_S)
    refused = sum(counts.values()) - counts[200]
    print(f"  a third cut off from the store: {refused} of {sum(counts.values())} calls refused")
    expect(not refused, f"while a third of the machines was cut off from the store: {dict(counts)}")
    for name in CUT_FROM_STORE:
        fleet.relays[name].restore()


def key_removed_while_the_store_is_silent(fleet):
    """The journals have the old configuration on their disks and give it to a gateway that starts."""
    gateway = "gateway-1"
    fleet.store.refusal = 503
    # Watches under way are still answered; the journals must not get the new configuration by one of them.
    time.sleep(1.2)
    fleet.processes[gateway].kill()
    fleet.processes[gateway].close()
    removed_at = fleet.configure(5, ["kept"])
    fleet.start_gateway(gateway)
    wait_until(lambda: fleet.ask(gateway, "lost-while-silent").status != 0, "the gateway has started")
    last_run_s = expect_bound_kept(fleet, gateway, "lost-while-silent", removed_at, "restarted, store silent")
    expect(last_run_s > 0, "no call ran after the restart, so the bound wasn't tried")
    expect(fleet.ask("gateway-2", "kept").status == 503, "a gateway serves keys although the store is silent")
    fleet.store.refusal = None
    for name in GATEWAYS:
        fleet.wait_served(name)
        expect(fleet.ask(name, "lost-while-silent").status == 401, f"{name}: the removed key is not unknown")


def run(build):
    links = LinkProxies()
    try:
        with Fleet(build, links) as fleet:
            fleet.configure(2, KEYS)
            for gateway in GATEWAYS:
                wait_until(lambda name=gateway: '"version":2' in fleet.log_of(name), "the configuration has arrived")
                # Its first question about the configuration may be on its way.
                fleet.wait_served(gateway)
            nothing_is_refused_while_connected(fleet)
            key_removed_while_a_gateway_is_frozen(fleet)
            key_removed_while_a_gateway_is_cut_off(fleet, links)
            store_lost_by_a_third(fleet)
            key_removed_while_the_store_is_silent(fleet)
    finally:
        links.close()
