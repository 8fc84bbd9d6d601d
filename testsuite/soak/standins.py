"""The deployment under test: real gateways and journals behind link proxies, and stand-ins of the store and of endpoint
instances that faults can be injected into."""

import socket
import threading
import time

from harness import expect, http
from platform_standins import Deployment, Server, Store, configuration, route

from content import TOKENS_PER_EVENT, Plan

DOMAINS = "abc"
RETENTION_S = 60.0
ROUTES = [
    route("turns", "streaming", "llm", retain=True, retain_s=RETENTION_S, sticky=True, goal_ms=1500),
    route("streams", "streaming", "llm", can_resume=True, goal_ms=1500),
    route("read", "safe", "app", goal_ms=400),
    route("write", "unsafe", "app", attempts=1, goal_ms=400),
]


class FaultyStore(Store):
    """A store that can be silent, or take updates without answering them."""

    def __init__(self):
        self.can_answer = threading.Event()
        self.can_answer.set()
        self.loses_answers = False
        super().__init__()
        self.server.socket.listen(512)
        self.server.handle_error = lambda *_: None

    def handle(self, request):
        if not self.can_answer.wait(20):
            return
        try:
            super().handle(request)
        except OSError:
            pass  # the process that asked is gone

    def change(self, request, parts):
        if not self.loses_answers:
            return super().change(request, parts)
        answer, request.answer = request.answer, lambda *_: None
        try:
            super().change(request, parts)
        finally:
            request.answer = answer
            request.close_connection = True
            request.connection.shutdown(socket.SHUT_RDWR)


class Instance(Server):
    """An endpoint instance behind a proxy. It tells the judge of each call that it runs."""

    SLOTS = 16

    def __init__(self, store, judge, links, service, name, zone):
        self.store = store
        self.judge = judge
        self.service = service
        self.name = name
        self.zone = zone
        self.born = 1
        # While this is set, calls are turned away as not run.
        self.is_refusing = False
        super().__init__()
        self.server.socket.listen(512)
        self.server.handle_error = lambda *_: None
        self.proxied = links.add(name, self.address, names_itself=False)
        self.register()

    def register(self, phase="ready"):
        self.store.put("servers", self.name, {
            "service": self.service, "address": self.proxied, "zone": self.zone, "version": "v1", "slots": self.SLOTS,
            "phase": phase, "cold_left_ms": 0, "sequence": 1, "born": self.born})

    def handle(self, request):
        identity = {"Request-Id": request.headers.get("Request-Id", ""), "Server-Load": f"1,0,{self.SLOTS}"}
        if request.headers.get("Expect-Instance", self.name) != self.name:
            return request.answer(421, headers={"Instance-Id": self.name})
        if self.is_refusing:
            return request.answer(503, headers=dict(identity, **{"Not-Run": "1"}))
        name = identity["Request-Id"]
        self.judge.on_run(name, self.name, request.headers, request.body)
        identity["Response-Seal"] = "seal-" + name
        plan = Plan(name)
        if "Model" in request.headers:
            return self.stream(request, plan, identity)
        time.sleep(plan.pause_s)
        return request.answer(200, plan.plain_body, identity)

    def stream(self, request, plan, headers):
        request.send_response(200)
        for name, value in dict(headers, **{"Content-Type": "text/event-stream"}).items():
            request.send_header(name, value)
        request.send_header("Transfer-Encoding", "chunked")
        request.end_headers()
        first = int(request.headers.get("Last-Event-Id") or 0)
        for event in plan.events()[first:]:
            self.judge.on_tokens(request.headers, TOKENS_PER_EVENT)
            request.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
            request.wfile.flush()
            time.sleep(plan.pause_s)
        request.wfile.write(b"0\r\n\r\n")
        request.wfile.flush()


class SoakDeployment(Deployment):
    """Gateways, journals and instances in three failure domains."""

    def __init__(self, build, judge, links, options):
        self.judge = judge
        self.instance_counts = {"llm": 2 + options.gateways // 2, "app": 2 + options.gateways // 4}
        self.config_version = 1
        self.admin_addresses = {}
        super().__init__(build, options.gateways, options.journals, options.tolerated, links, options.disks)
        self.change_configuration()

    def domain(self, name):
        return DOMAINS[int(name.rsplit("-", 1)[1]) % len(DOMAINS)]

    def more_settings(self, name):
        if name not in self.admin_addresses:
            with socket.create_server(("127.0.0.3", 0)) as free:
                self.admin_addresses[name] = f"127.0.0.3:{free.getsockname()[1]}"
        return f'[admin]\nlisten = "{self.admin_addresses[name]}"\n'

    def make_store(self):
        return FaultyStore()

    def make_runners(self):
        return [Instance(self.store, self.judge, self.links, service, f"{service}-{number}", DOMAINS[number % 3])
                for service, count in self.instance_counts.items() for number in range(1, count + 1)]

    def change_configuration(self, *more_routes):
        """Puts a higher version of the configuration in force. The routes that callers use stay."""
        self.config_version += 1
        self.store.put("config", "main", configuration(self.config_version, ROUTES + list(more_routes)))

    def names(self, kind):
        return [name for name in self.processes if name.startswith(kind)]

    def running(self, kind):
        return [name for name in self.names(kind) if self.processes[name].running()]

    def is_complete(self):
        """Whether every journal is a voting member of one set that all of them know."""
        try:
            values = [self.metrics(name) for name in self.names("journal")]
        except (OSError, ValueError):
            return False
        return all(value.get("rattandeck_journal_complete") == 1 for value in values)

    def metrics_page(self, name):
        return http("GET", self.admin_addresses[name], "/metrics", limit_s=2)[2]

    def metrics(self, name):
        text = self.metrics_page(name)
        lines = (line.split() for line in text.splitlines() if line and not line.startswith("#") and "{" not in line)
        return {words[0]: float(words[1]) for words in lines}

    def mean_sync_ms(self):
        """Returns the mean time of a sync at the slowest of the journals' disks, since their last start."""
        means = []
        for name in self.running("journal"):
            values = self.metrics(name)
            means.append(1000 * values.get("rattandeck_disk_sync_seconds_sum", 0)
                         / max(1, values.get("rattandeck_disk_sync_seconds_count", 0)))
        return max(means, default=0)

    def restart(self, name):
        self.processes[name].close()
        (self.start_journal if name.startswith("journal") else self.start_gateway)(name)
        expect(self.processes[name].running(), f"{name} does not start")
