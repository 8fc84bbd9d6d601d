"""Stand-ins for the users' platform, and the gateways and journals that run there, for the end-to-end cases.

The store and the endpoint instances run as threads in the process of the case, which can therefore inspect them and
inject faults.
"""

import http.client
import json
import os
import pathlib
import shutil
import sys
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

from harness import Process, wait_until
from linkproxy import TARGETS, loopback_host

HOST = "calls.example"
EVENTS = 4
TOKENS_PER_EVENT = 10
# The response body that an endpoint instance streams.
STREAM = b"".join(b"id: %d\ndata: d%d\n\n" % (number, number) for number in range(1, EVENTS + 1))


class ListeningServer(ThreadingHTTPServer):
    """Accepts bursts of connections: beyond the queue, a connection attempt is repeated only after a second."""

    request_queue_size = 128

    def handle_error(self, request, client_address):
        # Callers and gateways that have gone are part of the cases.
        if not isinstance(sys.exc_info()[1], ConnectionError):
            super().handle_error(request, client_address)


class Server:
    """An HTTP/1.1 server on a free loopback port. Subclasses answer a request in `handle(request)`."""

    def __init__(self):
        owner = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            # Write buffering sends the head and the body of a response together.
            wbufsize = -1
            disable_nagle_algorithm = True

            def setup(self):
                super().setup()
                self.process = owner.process()

            def do_any(self):
                self.body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
                owner.handle(self)

            do_GET = do_POST = do_PUT = do_DELETE = do_any

            def log_message(self, *arguments):
                pass

            def answer(self, status, body=b"", headers=None):
                body = json.dumps(body).encode() if isinstance(body, (dict, list)) else body
                self.send_response(status)
                for name, value in (headers or {}).items():
                    self.send_header(name, value)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)
                self.wfile.flush()

        self.server = ListeningServer(("127.0.0.1", 0), Handler)
        self.server.daemon_threads = True
        self.address = f"127.0.0.1:{self.server.server_address[1]}"
        threading.Thread(target=self.server.serve_forever, args=(0.02,), daemon=True).start()

    def process(self):
        """Names the process that serves now; a request has that of its connection in `process`."""
        return None

    def close(self):
        self.server.shutdown()
        self.server.server_close()


class Store(Server):
    """The platform's metadata store: objects by kind and name, one revision counter, conditional updates, watches."""

    def __init__(self):
        self.changed = threading.Condition()
        self.revision = 1
        self.objects = {}
        self.history = []
        # If set, every request is refused with this status.
        self.refusal = None
        super().__init__()

    def put(self, kind, name, spec=None, status=None, is_removed=False):
        with self.changed:
            self.revision += 1
            known = self.objects.get((kind, name), {"metadata": {"name": name, "created_rev": self.revision}})
            item = {
                "metadata": dict(known["metadata"], rev=self.revision, finalizers=[], deleting=False),
                "spec": spec if spec is not None else known.get("spec"),
                "status": status if status is not None else known.get("status"),
            }
            self.objects[(kind, name)] = item
            if is_removed:
                del self.objects[(kind, name)]
            self.history.append((self.revision, kind, {"object": item, "tombstone": is_removed}))
            self.changed.notify_all()
            return item

    def remove(self, kind, name):
        self.put(kind, name, is_removed=True)

    def get(self, kind, name):
        with self.changed:
            return self.objects.get((kind, name))

    def handle(self, request):
        if self.refusal:
            return request.answer(self.refusal)
        path, _, query = request.path.partition("?")
        fields = dict(pair.split("=", 1) for pair in query.split("&") if pair)
        parts = path.split("/")[3:]
        if request.command == "GET" and "watch" in fields:
            return self.watch(request, parts[0], int(fields["watch"]), int(fields["wait_ms"]) / 1000)
        if request.command == "GET" and len(parts) == 1:
            with self.changed:
                items = [item for (kind, _), item in sorted(self.objects.items()) if kind == parts[0]]
                return request.answer(200, {"items": items, "has_more": False, "current_rev": self.revision})
        if request.command == "GET":
            item = self.get(*parts)
            return request.answer(200, item) if item else request.answer(404)
        return self.change(request, parts)

    def watch(self, request, kind, revision, wait_s):
        deadline = time.monotonic() + wait_s
        with self.changed:
            while True:
                events = [event for changed_at, event_kind, event in self.history
                          if changed_at > revision and event_kind == kind]
                remaining_s = deadline - time.monotonic()
                if events or remaining_s <= 0:
                    break
                self.changed.wait(remaining_s)
            answer = {"events": events, "current_rev": self.revision}
        request.answer(200, answer)

    def change(self, request, parts):
        body = json.loads(request.body)
        with self.changed:
            name = body["metadata"]["name"] if request.command == "POST" else parts[1]
            known = self.objects.get((parts[0], name))
            expected = body["metadata"].get("rev")
            is_stale = known and expected and expected != known["metadata"]["rev"]
            if (request.command == "POST" and known) or is_stale:
                return request.answer(409, known)
            if request.command == "PUT" and not known:
                return request.answer(404)
            is_status = parts[-1] == "status" and len(parts) == 3
            item = self.put(parts[0], name, *((None, body["status"]) if is_status else (body["spec"], None)))
        return request.answer(200, item)


class Runner(Server):
    """An endpoint instance. It registers itself in the store, streams events in response to model calls, and records
    the calls that it executed."""

    def __init__(self, store, service, name, zone="a", slots=8, version="v1"):
        self.store = store
        self.version = version
        # When the process started, in milliseconds since the Unix epoch.
        self.born = 1
        self.service = service
        self.name = name
        self.zone = zone
        self.slots = slots
        self.lock = threading.Lock()
        # (request id, body, headers) of every executed call.
        self.executed_calls = []
        # The software version that executed each call, by request id.
        self.versions = {}
        # Set by cases to inject faults: a function that takes the request and returns True if it has handled it.
        self.fault_handler = None
        # Time from a request to the first event of its stream.
        self.first_event_s = 0
        # While this is cleared, streams wait before their last event.
        self.can_finish = threading.Event()
        self.can_finish.set()
        super().__init__()
        self.register()

    def register(self, phase="ready", born=None):
        self.born = born or self.born
        self.store.put("servers", self.name, {
            "service": self.service, "address": self.address, "zone": self.zone,
            "version": self.version, "slots": self.slots, "phase": phase, "cold_left_ms": 0, "sequence": 1, "born": self.born,
        })

    def handle(self, request):
        if request.path == "/api/report":
            return request.answer(200, {"phase": "ready", "born": self.born})
        identity = {"Request-Id": request.headers.get("Request-Id", "")}
        if request.headers.get("Expect-Instance", self.name) != self.name:
            return request.answer(421, headers={"Instance-Id": self.name})
        if self.fault_handler and self.fault_handler(request):
            return None
        with self.lock:
            self.executed_calls.append((identity["Request-Id"], request.body, request.headers))
            self.versions[identity["Request-Id"]] = self.version
        identity["Response-Seal"] = "seal-" + identity["Request-Id"]
        identity["Server-Load"] = f"1,0,{self.slots}"
        if "Model" not in request.headers:
            return request.answer(200, b"body of " + request.path.encode(), identity)
        return self.stream(request, identity)

    def stream(self, request, headers):
        request.send_response(200)
        for name, value in dict(headers, **{"Content-Type": "text/event-stream"}).items():
            request.send_header(name, value)
        request.send_header("Transfer-Encoding", "chunked")
        request.end_headers()
        first = int(request.headers.get("Last-Event-Id") or 0) + 1
        time.sleep(self.first_event_s)
        for number in range(first, EVENTS + 1):
            if number == EVENTS:
                self.can_finish.wait(60)
            event = f"id: {number}\ndata: d{number}\n\n".encode()
            request.wfile.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            request.wfile.flush()
        request.wfile.write(b"0\r\n\r\n")
        request.wfile.flush()

    def bodies(self):
        with self.lock:
            return [body for _, body, _ in self.executed_calls]


def route(name, kind, service, **overrides):
    fields = {"name": name, "host": HOST, "path_prefix": f"/{name}/", "kind": kind, "service": service,
              "timeout_ms": 20000, "goal_ms": 5000, "priority": 0, "attempts": 2}
    return dict(fields, **overrides)


def organisation(name, keys, **overrides):
    """An entry of the configuration's list of organisations."""
    return dict({"name": name, "api_keys": keys}, **overrides)


def authorization(key):
    """The header with which a caller shows its key."""
    return {"Authorization": f"Token {key}"}


def configuration(version, routes, organisations=None):
    """Without `organisations`, callers need no keys."""
    engine = {"slots": 8, "kv_capacity_tokens": 100000, "tokens_per_event": TOKENS_PER_EVENT}
    fields = {
        "version": version,
        "routes": routes,
        "services": [{"name": "llm", "max_conns": 64, "engine": engine}, {"name": "app", "max_conns": 64}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000},
    }
    if organisations is not None:
        fields["tenants"] = organisations
    return fields


DEFAULT_ROUTES = [
    route("turns", "streaming", "llm", retain=True, retain_s=60.0, sticky=True),
    route("streams", "streaming", "llm", can_resume=True),
    route("read", "safe", "app"),
    route("write", "unsafe", "app", attempts=1),
]


class Answer:
    """A response as the caller received it; `is_complete` is false if the connection ended within the body."""

    def __init__(self, status, headers, body, is_complete):
        self.status = status
        self.headers = headers
        self.body = body
        self.is_complete = is_complete


class Deployment:
    """A store, instances of two services, journals with a folder each, and gateways. It is a context manager.

    With `links` (`LinkProxies`), all links to journals pass through proxies; the nodes keep their names there. `disks` is
    where the folder for logs, settings and disks is made, if not in the system's temporary folder."""

    probe_key = None  # with which `wait_serving` asks, where the configuration has organisations

    def __init__(self, build, gateways=1, journals=3, tolerated_losses=1, links=None, disks=None):
        self.tolerated_losses = tolerated_losses
        self.links = links
        # The address that others dial, of each journal behind a proxy.
        self.advertised = {}
        self.build = pathlib.Path(build)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="rattandeck-platform-", dir=disks))
        self.store = self.make_store()
        self.processes = {}
        self.ports = {}
        self.last_request = 0
        self.lock = threading.Lock()
        self.store.put("config", "main", configuration(1, DEFAULT_ROUTES))
        self.runners = self.make_runners()
        for number in range(1, journals + 1):
            self.start_journal(f"journal-{number}")
        for number in range(1, gateways + 1):
            self.start_gateway(f"gateway-{number}")

    def __enter__(self):
        try:
            self.wait_ready()
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *reason):
        for process in self.processes.values():
            process.close()
        for server in [*self.runners, self.store]:
            server.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    # Stand-ins

    def make_store(self):
        return Store()

    def make_runners(self):
        return [Runner(self.store, service, f"{service}-{number}") for number in (1, 2) for service in ("llm", "app")]

    # Processes

    def start(self, program, name, settings):
        path = self.folder / f"{name}.toml"
        path.write_text(settings)
        log = self.folder / f"{name}.log"
        command = [str(self.build / "src" / program), "--settings", str(path)]
        self.processes[name] = Process(name, command, log)
        return self.processes[name]

    def disk(self, name):
        return self.folder / f"disk-{name}"

    def start_journal(self, name):
        process = self.start("rattandeck-journal", name, f"""
node = "{name}"
domain = "{self.domain(name)}"
[peers]
{self.peer_addresses(name)}
seeds = {json.dumps(self.seeds())}
[journals]
tolerated_losses = {self.tolerated_losses}
[platform]
object_store = "{self.store.address}"
[disk]
folder = "{self.disk(name)}"
[log]
format = "json"
{self.more_settings(name)}""")
        self.ports[name] = process.field("peers").split(":")[1]

    def domain(self, _name):
        return "a"

    def more_settings(self, _name):
        return ""

    def peer_addresses(self, name):
        """Settings of a journal's address. A restarted journal listens on its previous one."""
        if not self.links:
            return f'listen = "{loopback_host(TARGETS, os.getpid())}:{self.ports.get(name, 0)}"'
        if name not in self.advertised:
            self.advertised[name] = self.links.add(name)
        address = self.advertised[name]
        return f'listen = "{self.links.target_host}:{address.split(":")[1]}"\nadvertise = "{address}"'

    def seeds(self):
        return [self.advertised.get(name) or process.field("peers")
                for name, process in self.processes.items() if name.startswith("journal")]

    def start_gateway(self, name, store=None):
        if self.links:
            self.links.name(name)
        self.start("rattandeck-gateway", name, f"""
node = "{name}"
domain = "{self.domain(name)}"
[peers]
seeds = {json.dumps(self.seeds())}
[journals]
tolerated_losses = {self.tolerated_losses}
[platform]
object_store = "{store or self.store.address}"
[log]
format = "json"
{self.more_settings(name)}""")

    def wait_ready(self):
        def all_members():
            journals = [name for name in self.processes if name.startswith("journal")]
            item = self.store.get("rattandeck-journals", "set")
            return item and len(item["spec"]["members"]) >= len(journals)
        wait_until(all_members, "every journal is a member of the stored set")
        for name in self.processes:
            if name.startswith("gateway"):
                self.wait_serving(name)

    def wait_serving(self, gateway):
        """Waits until the gateway serves a turn, which requires its configuration, instances and journals."""
        wait_until(lambda: self.turn(gateway, "probe-" + str(time.monotonic_ns()), key=self.probe_key).status == 200,
                   f"{gateway} serves a turn")

    # Callers

    def request_id(self):
        with self.lock:
            self.last_request += 1
            return f"r{self.last_request}"

    def call(self, gateway, path, method="GET", body=None, headers=None, limit_s=30):
        """Sends one request on a new connection. Returns an Answer, with status 0 if no response arrived."""
        address = self.processes[gateway].field("callers")
        connection = http.client.HTTPConnection(address, timeout=limit_s)
        fields = {"Host": HOST, "Request-Id": self.request_id(), "Deadline-Ms": "20000"}
        fields.update(headers or {})
        try:
            connection.request(method, path, body, fields)
            response = connection.getresponse()
            try:
                text, is_complete = response.read(), True
            except (http.client.IncompleteRead, ConnectionError):
                text, is_complete = b"", False
            return Answer(response.status, dict(response.getheaders()), text, is_complete)
        except (OSError, http.client.HTTPException):
            return Answer(0, {}, b"", False)
        finally:
            connection.close()

    def turn(self, gateway, program, previous=None, request=None, budget=1000,
             max_output_tokens=EVENTS * TOKENS_PER_EVENT, body="input ", route_name="turns", deadline_ms=20000,
             key=None):
        headers = {"Model": "m", "Program-Id": program, "Session-Id": "s", "Token-Budget": str(budget),
                   "Token-Counts": f"100,{max_output_tokens}", "Deadline-Ms": str(deadline_ms)}
        headers.update(authorization(key) if key else {})
        if previous:
            headers["Previous-Turn"] = previous
        if request:
            headers["Request-Id"] = request
        return self.call(gateway, f"/{route_name}/x", "POST", body, headers)

    def pause_streams(self):
        """Makes streams wait before their last event. Returns a function that lets them finish."""
        runners = [runner for runner in self.runners if runner.service == "llm"]
        for runner in runners:
            runner.can_finish.clear()
        return lambda: [runner.can_finish.set() for runner in runners]

    def bodies(self, service="llm"):
        return [body for runner in self.runners if runner.service == service for body in runner.bodies()]

    def log_of(self, name):
        return (self.folder / f"{name}.log").read_text()


