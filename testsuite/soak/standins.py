"""The deployment under test: real gateways and journals behind link proxies, and stand-ins of the store and of endpoint
instances that faults can be injected into."""

import contextlib
import os
import socket
import threading
import time

from harness import expect, http
from linkproxy import ADMINISTRATION, loopback_host
from platform_standins import Deployment, Server, Store, configuration, route

from content import TOKENS_PER_EVENT, Plan, failure_of
from faults import DOMAINS
from organisations import PUBLIC, REVOKE_S, STEADY

RETENTION_S = 12.0
ROUTES = [
    route("turns", "streaming", "llm", retain=True, retain_s=RETENTION_S, sticky=True, goal_ms=1500),
    # Turns whose callers take a broken stream up again.
    route("kept", "streaming", "llm", retain=True, retain_s=RETENTION_S, sticky=True, can_resume=True, goal_ms=1500, attempts=1),
    route("streams", "streaming", "llm", can_resume=True, goal_ms=1500),
    # A broken stream goes on only when its caller resumes it.
    route("lone", "streaming", "llm", can_resume=True, goal_ms=1500, attempts=1),
    route("read", "safe", "app", goal_ms=400),
    route("write", "unsafe", "app", attempts=1, goal_ms=400),
    route(PUBLIC, "safe", "app", goal_ms=400, public=True),
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


class StoreDoor(Server):
    """The address at which one process reaches the store, so that it alone can be refused."""

    def __init__(self, store):
        self.store = store
        self.is_refusing = False
        super().__init__()

    def handle(self, request):
        return request.answer(503) if self.is_refusing else self.store.handle(request)


class Instance(Server):
    """An endpoint instance behind a proxy. It tells the judge of each call that it runs."""

    SLOTS = 16

    def __init__(self, store, judge, links, service, name, zone):
        self.store = store
        self.judge = judge
        self.links = links
        self.service = service
        # Names the machine; the process has an id of its own.
        self.name = self.id = name
        self.zone = zone
        self.version = "v1"
        self.born = 1
        # While this is set, calls are turned away as not run.
        self.is_refusing = False
        # While this is set, streams break off after one event.
        self.is_breaking = False
        # All answers say that the instance leaves.
        self.is_leaving = False
        self.has_exited = False
        self.running = 0
        self.lock = threading.Lock()
        self.changing = threading.Lock()
        super().__init__()
        self.server.socket.listen(512)
        self.server.handle_error = lambda *_: None
        self.proxied = links.add(name, self.address, names_itself=False)
        self.register()

    def register(self, phase="ready"):
        self.store.put("servers", self.id, {
            "service": self.service, "address": self.proxied, "zone": self.zone, "version": self.version,
            "slots": self.SLOTS, "phase": phase, "cold_left_ms": 0, "sequence": 1, "born": self.born})

    # Life of the process

    @contextlib.contextmanager
    def change(self):
        """Whether no other change of the process is under way; then none begins within the block."""
        is_free = self.changing.acquire(blocking=False)
        try:
            yield is_free
        finally:
            if is_free:
                self.changing.release()

    def process(self):
        return f"{self.id}#{self.born}"

    def is_serving(self):
        return not (self.is_refusing or self.is_leaving or self.has_exited)

    def leave(self, is_in_store):
        """Says that it leaves, in its answers and, mostly, in the store."""
        self.is_leaving = True
        if is_in_store:
            self.register("draining")

    def stop_accepting(self):
        """The process accepts no connection any more and answers nothing; its connections stay open."""
        self.links.set_listening(self.name, False)
        self.has_exited = True

    def exit(self):
        self.stop_accepting()
        self.links.reset(self.name)

    def start(self, version, keeps_id, registers_after_s=0):
        self.version = version
        self.born += 1
        if not keeps_id:
            self.id = f"{self.name}.{self.born}"
        self.is_leaving = self.has_exited = False
        self.links.set_listening(self.name, True)
        time.sleep(registers_after_s)
        self.register()

    # Calls

    def handle(self, request):
        identity = {"Request-Id": request.headers.get("Request-Id", ""), "Server-Load": f"1,0,{self.SLOTS}"}
        if self.has_exited or request.process != self.process():
            request.close_connection = True
            return None
        if request.path == "/api/report":
            return request.answer(503) if self.is_refusing else request.answer(200, {"phase": "ready", "born": self.born})
        if request.headers.get("Expect-Instance", self.id) != self.id:
            return request.answer(421, headers={"Instance-Id": self.id})
        name = identity["Request-Id"]
        self.judge.on_arrival(name, self.process(), request.headers)
        if self.is_leaving:
            identity["Server-Leaving"] = "1"
        if self.is_refusing:
            return request.answer(503, headers=dict(identity, **{"Not-Run": "1"}))
        with self.lock:
            self.running += 1
        try:
            return self.run(request, name, identity)
        finally:
            with self.lock:
                self.running -= 1

    def run(self, request, name, identity):
        self.judge.on_run(name, self.process(), request.headers, request.body)
        identity["Response-Seal"] = "seal-" + name
        failure = failure_of(name, self.id)
        if failure:
            return request.answer(failure, b"failed\n", identity)
        plan = Plan(request.headers.get("Resumes") or name)
        if "Model" in request.headers:
            return self.stream(request, plan, identity)
        time.sleep(plan.pause_s)
        if not plan.is_unframed:
            return request.answer(200, plan.plain_body, identity)
        self.begin_unframed(request, identity)
        request.wfile.write(plan.plain_body)
        return request.wfile.flush()

    @staticmethod
    def begin_unframed(request, headers):
        request.send_response(200)
        for name, value in headers.items():
            request.send_header(name, value)
        request.end_headers()
        request.close_connection = True

    def stream(self, request, plan, headers):
        headers = dict(headers, **{"Content-Type": "text/event-stream"})
        if plan.is_unframed:
            self.begin_unframed(request, headers)
        else:
            request.send_response(200)
            for name, value in dict(headers, **{"Transfer-Encoding": "chunked"}).items():
                request.send_header(name, value)
            request.end_headers()
        first = int(request.headers.get("Last-Event-Id") or 0)
        process = self.process()
        for number, event in enumerate(plan.events(self.version)[first:]):
            if self.has_exited or process != self.process() or (self.is_breaking and number == 1):
                self.break_off(request, event if plan.is_unframed else b"")
                return
            self.judge.on_tokens(request.headers, TOKENS_PER_EVENT)
            request.wfile.write(event if plan.is_unframed else b"%x\r\n%s\r\n" % (len(event), event))
            request.wfile.flush()
            time.sleep(plan.pause_s)
        if not plan.is_unframed:
            request.wfile.write(b"0\r\n\r\n")
        request.wfile.flush()

    @staticmethod
    def break_off(request, event):
        """Ends a stream early. Without chunks that shows only within an event."""
        request.close_connection = True
        request.wfile.write(event[:len(event) // 2])
        request.wfile.flush()


class SoakDeployment(Deployment):
    """Gateways, journals and instances in three failure domains."""

    probe_key = STEADY["north"][0]

    def __init__(self, build, judge, links, options):
        self.judge = judge
        # Three instances in each failure domain, as small deployments have them.
        self.instance_counts = {"llm": 9 + options.gateways // 4, "app": 8 + options.gateways // 4}
        self.config_version = 1
        self.config_lock = threading.Lock()
        self.organisations = judge.organisations.organisations
        self.doors = {}
        self.admin_addresses = {}
        super().__init__(build, options.gateways, options.journals, options.tolerated, links, options.disks)
        judge.serving = lambda version: sum(
            runner.service == "llm" and runner.version == version and runner.is_serving() for runner in self.runners)

    def domain(self, name):
        return DOMAINS[int(name.rsplit("-", 1)[1]) % len(DOMAINS)]

    def more_settings(self, name):
        if name not in self.admin_addresses:
            host = loopback_host(ADMINISTRATION, os.getpid())
            with socket.create_server((host, 0)) as free:
                self.admin_addresses[name] = f"{host}:{free.getsockname()[1]}"
        keys = f"[keys]\nmax_config_age_ms = {REVOKE_S * 1000:.0f}\n" if name.startswith("gateway") else ""
        return f'{keys}[admin]\nlisten = "{self.admin_addresses[name]}"\n'

    def start(self, program, name, settings):
        if name not in self.doors:
            self.doors[name] = StoreDoor(self.store)
        return super().start(program, name, settings.replace(f'"{self.store.address}"', f'"{self.doors[name].address}"'))

    def __exit__(self, *reason):
        super().__exit__(*reason)
        for door in self.doors.values():
            door.close()

    def make_store(self):
        return FaultyStore()

    def make_runners(self):
        # No process ever has a configuration without organisations.
        self.change_configuration()
        return [Instance(self.store, self.judge, self.links, service, f"{service}-{number}", DOMAINS[number % 3])
                for service, count in self.instance_counts.items() for number in range(1, count + 1)]

    def change_configuration(self, *more_routes, change=lambda _: None):
        """Puts a higher version of the configuration in force, with changed organisations. The routes that callers use stay."""
        with self.config_lock:
            change(self.organisations)
            self.config_version += 1
            began = time.monotonic()
            self.store.put("config", "main", configuration(self.config_version, ROUTES + list(more_routes),
                                                           self.organisations.entries()))
            self.organisations.on_put(began)

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
