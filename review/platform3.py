"""A small deployment for the cases of the third review: gateways and journals as separate processes, with the command
and the settings templates of the deploy file, on loopback addresses and the real clock.

The store is the project's own stand-in (testsuite/platform_standins.py). Runners are stand-ins of this file: they queue
beyond their slots, refuse with `Not-Run` when the queue is full, and otherwise answer as the users' pages say.
"""

import json
import os
import pathlib
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "testsuite"))

from platform_standins import HOST, Server, Store  # noqa: E402

# The sheet of vaf-jobtrack.
GATEWAY_MEMORY_MB = 110
JOURNAL_MEMORY_MB = 140
ZONES = ("makarpura", "por", "savli")
MODEL_RUNNERS = 14
MODEL_SLOTS = 16
APP_RUNNERS = 10
APP_SLOTS = 6
QUEUE = 48
BOUNDS = {"contact_ms": 3000, "apply_ms": 2000, "revoke_ms": 5000, "strict_revoke": False, "grace_s": 8}
EVENTS = 12
TOKENS_PER_EVENT = 22
RESTART_S = 0.3
ID_LENGTH = 16
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2


class NotRun(Exception):
    """The case could not run."""


# Templates ----------------------------------------------------------------------------------------------------------

def look_up(scopes, name):
    if name == ".":
        return scopes[-1]
    for scope in reversed(scopes):
        value = scope
        for key in name.split("."):
            value = value.get(key) if isinstance(value, dict) else None
            if value is None:
                break
        if value is not None:
            return value
    return None


def render(text, scopes, is_last=True):
    """Renders a settings template as DEPLOY.md describes it."""
    section = re.compile(r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}", re.S)

    def expand(match):
        value = look_up(scopes, match[1])
        if isinstance(value, list):
            return "".join(render(match[2], scopes + [item], number == len(value) - 1)
                           for number, item in enumerate(value))
        return render(match[2], scopes + [value]) if value else ""

    def fill(match):
        if match[1] == ",":
            return "" if is_last else ","
        value = look_up(scopes, match[1])
        return "" if value is None else str(value)

    return re.sub(r"\{\{([^}#/^]+)\}\}", fill, section.sub(expand, text))


# Runners ------------------------------------------------------------------------------------------------------------

class Runner(Server):
    """A model runner or a plain service: `slots` requests at once, and a queue. Records what it runs."""

    def __init__(self, site, service, name, zone, slots, work_s):
        self.site = site
        self.service, self.name, self.zone, self.slots, self.work_s = service, name, zone, slots, work_s
        self.places = threading.Semaphore(slots)
        self.lock = threading.Lock()
        self.present = 0
        self.ran = []
        super().__init__()
        self.register()

    def register(self, phase="ready"):
        self.site.store.put("servers", self.name, {
            "service": self.service, "address": self.address, "zone": self.zone, "version": "v1", "slots": self.slots,
            "phase": phase, "cold_left_ms": 0, "sequence": 1, "born": 1700000000000})

    def load(self):
        return f"{min(self.present, self.slots)},{max(0, self.present - self.slots)},{self.slots}"

    def handle(self, request):
        if request.path == "/api/report":
            return request.answer(200, {"phase": "ready", "born": 1700000000000})
        fields = {"Request-Id": request.headers.get("Request-Id", ""), "Server-Load": self.load()}
        if request.headers.get("Expect-Instance", self.name) != self.name:
            return request.answer(421, headers=dict(fields, **{"Not-Run": "1"}))
        with self.lock:
            if self.present >= self.slots + QUEUE:
                is_full = True
            else:
                is_full = False
                self.present += 1
        if is_full:
            return request.answer(503, headers=dict(fields, **{"Not-Run": "1"}))
        try:
            with self.places:
                return self.run(request, fields)
        finally:
            with self.lock:
                self.present -= 1

    def note_run(self, request, fields):
        with self.lock:
            self.ran.append((fields["Request-Id"], len(request.body)))
        self.site.trace(f"run {fields['Request-Id'][:ID_LENGTH]} at {self.name}, {len(request.body)} bytes")

    def run(self, request, fields):
        self.note_run(request, fields)
        time.sleep(self.work_s)
        fields["Response-Seal"] = "seal-" + fields["Request-Id"]
        if "Model" not in request.headers:
            return request.answer(200, b"slip " * 160, fields)
        request.send_response(200)
        for name, value in dict(fields, **{"Content-Type": "text/event-stream"}).items():
            request.send_header(name, value)
        request.send_header("Transfer-Encoding", "chunked")
        request.end_headers()
        events = b"".join(b"id: %d\ndata: d%d\n\n" % (number, number) for number in range(1, EVENTS + 1))
        request.wfile.write(b"%x\r\n%s\r\n0\r\n\r\n" % (len(events), events))
        request.wfile.flush()
        return None


# Machines -----------------------------------------------------------------------------------------------------------

class Machine:
    """A machine of the deployment with its process. Its address is a loopback address of its own."""

    def __init__(self, site, role, name, zone, ip, memory_mb):
        self.site, self.role, self.name, self.zone, self.ip, self.memory_mb = site, role, name, zone, ip, memory_mb
        self.folder = site.folder / name
        self.folder.mkdir()
        (self.folder / "data").mkdir()
        self.popen = None
        self.most_kb = 0
        self.kills = 0
        self.starts = 0
        # Down by the case's will, or gone for good: not started again by the platform.
        self.is_held = False
        self.ended_at = None
        self.lock = threading.Lock()

    def address(self, port):
        return f"{self.ip}:{self.site.ports[port]}"

    def fields(self):
        listen = ({"front": self.address("front"), "ready": self.address("ready")} if self.role == "gateway"
                  else {"control": self.address("control")})
        return {
            "node_name": self.name, "zone": self.zone, "ip": self.ip, "listen": listen, "seeds": self.site.seeds(),
            "limits": {"memory_mb": self.memory_mb}, "data_dir": str(self.folder / "data"),
            "fault_tolerance": {"machines": 1}, "bounds": BOUNDS, "platform": {"address": self.site.store.address}}

    def start(self):
        deploy = self.site.deploy["roles"][self.role]
        settings = self.folder / "boot.toml"
        settings.write_text(render((ROOT / deploy["template"]).read_text(), [self.fields()]))
        command = [str(settings) if word == "/etc/rattandeck/boot.json" else word for word in deploy["run"].split()]
        with open(self.folder / "log", "ab") as log:
            self.popen = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log, env={
                name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ})
        self.starts += 1
        self.ended_at = None

    def is_running(self):
        return self.popen is not None and self.popen.poll() is None

    def resident_kb(self):
        try:
            with open(f"/proc/{self.popen.pid}/status") as status:
                for line in status:
                    if line.startswith("VmRSS"):
                        return int(line.split()[1])
        except (OSError, ValueError):
            pass
        return 0

    def kill(self, number=signal.SIGKILL):
        if self.is_running():
            os.kill(self.popen.pid, number)

    def leave(self, limit_s=BOUNDS["grace_s"]):
        """The machine is removed for good, with SIGTERM, and SIGKILL after the time of grace."""
        with self.lock:
            self.is_held = True
        self.kill(signal.SIGTERM)
        try:
            self.popen.wait(limit_s)
        except subprocess.TimeoutExpired:
            self.kill()
            self.popen.wait()

    def lose_disk(self, down_s):
        """The machine loses power and its disk, and is back at its address with an empty folder."""
        with self.lock:
            self.is_held = True
        self.kill()
        self.popen.wait()
        shutil.rmtree(self.folder / "data")
        (self.folder / "data").mkdir()
        time.sleep(down_s)
        self.start()
        self.is_held = False

    def close(self):
        with self.lock:
            self.is_held = True
            if self.is_running():
                os.kill(self.popen.pid, signal.SIGCONT)
                os.kill(self.popen.pid, signal.SIGKILL)
                self.popen.wait()


class Site:
    """Store, runners, three journals and gateways of a deployment like vaf-jobtrack."""

    def __init__(self, record, gateways=2, model_s=0.3, app_s=0.1, limits_memory=True):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="rattandeck-review-"))
        self.deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.started_at = time.monotonic()
        self.lock = threading.Lock()
        self.last_request = 0
        self.events = []
        self.is_watching = limits_memory
        net = f"127.{100 + os.getpid() % 100}.{os.getpid() // 100 % 250}"
        self.ports = {}
        self.store = Store()
        self.runners = []
        self.store.put("config", "main", self.configuration())
        for number in range(MODEL_RUNNERS):
            self.runners.append(self.make_runner(
                number, "agent-llm", f"i-llm{number}", ZONES[number % 3], MODEL_SLOTS, model_s))
        for number in range(APP_RUNNERS):
            self.runners.append(self.make_runner(
                number, "jobcard-app", f"i-app{number}", ZONES[number % 3], APP_SLOTS, app_s))
        self.ports = {name: self.free_port(f"{net}.1") for name in ("front", "ready", "control")}
        self.net = net
        self.journals = [Machine(self, "journal", f"storage-{zone}-1", zone, f"{net}.{10 + number}", JOURNAL_MEMORY_MB)
                         for number, zone in enumerate(ZONES)]
        self.gateways = [Machine(self, "gateway", f"front-{ZONES[number % 3]}-{number + 1}", ZONES[number % 3],
                                 f"{net}.{20 + number}", GATEWAY_MEMORY_MB) for number in range(gateways)]

    def make_runner(self, _number, *arguments):
        return Runner(self, *arguments)

    @staticmethod
    def free_port(host):
        with socket.create_server((host, 0)) as server:
            return server.getsockname()[1]

    @staticmethod
    def configuration():
        def route(name, kind, service, **more):
            return dict({"name": name, "host": HOST, "path_prefix": f"/{name}/", "kind": kind, "service": service,
                         "timeout_ms": 3000, "goal_ms": 300, "priority": 1, "attempts": 2}, **more)
        engine = {"slots": MODEL_SLOTS, "kv_capacity_tokens": 484854, "tokens_per_event": TOKENS_PER_EVENT, "most": 12}
        return {
            "version": 7,
            "routes": [
                route("rack-consult", "streaming", "agent-llm", priority=0, retain=True, retain_s=60.0, sticky=True),
                route("batch-query", "streaming", "agent-llm", can_resume=True, sticky=True),
                route("card-lookup", "safe", "jobcard-app", timeout_ms=1200, goal_ms=200, priority=2),
                route("dispatch-slip", "unsafe", "jobcard-app", attempts=1, goal_ms=500, priority=2),
            ],
            "services": [{"name": "agent-llm", "max_conns": 170, "engine": engine},
                         {"name": "jobcard-app", "max_conns": 100}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000}}

    def add_journal(self, name, zone):
        """A new machine with an empty disk, at an address of its own."""
        machine = Machine(self, "journal", name, zone, f"{self.net}.{10 + len(self.journals)}", JOURNAL_MEMORY_MB)
        machine.start()
        self.journals.append(machine)
        return machine

    def seeds(self):
        return [journal.address("control") for journal in self.journals if not journal.is_held][:3]

    def machines(self):
        return self.journals + self.gateways

    def note(self, text):
        self.trace(text)
        self.record.flush()

    def trace(self, text):
        """A line of the record: what was sent, answered or run. Flushed with the next note."""
        line = f"{time.monotonic() - self.started_at:7.2f} s  {text}\n"
        with self.lock:
            if not self.record.closed:
                self.record.write(line)

    # The platform

    def __enter__(self):
        try:
            for machine in self.machines():
                machine.start()
            self.wait("every gateway is ready and serves a turn", lambda: all(
                self.is_ready(gateway) and self.turn(gateway, f"probe-{time.monotonic_ns()}")[0] == 200
                for gateway in self.gateways), 30)
        except BaseException:
            self.__exit__()
            raise
        threading.Thread(target=self.watch, daemon=True).start()
        return self

    def __exit__(self, *reason):
        self.is_watching = None
        for machine in self.machines():
            machine.close()
        for server in [*self.runners, self.store]:
            server.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    def watch(self):
        """What the platform does: a process that uses more than `memory_mb` is killed, and one that has ended is
        restarted after a short delay (DEPLOY.md)."""
        while self.is_watching is not None:
            for machine in self.machines():
                with machine.lock:
                    self.look_at(machine)
            time.sleep(0.01)

    def look_at(self, machine):
        """Precondition: the machine's lock is held, so that nothing else starts or ends its process meanwhile."""
        if machine.is_held or self.is_watching is None:
            return
        if not machine.is_running():
            if machine.ended_at is None:
                machine.ended_at = time.monotonic()
                self.note(f"{machine.name} has ended ({machine.popen.returncode}); it is started again")
            elif time.monotonic() - machine.ended_at >= RESTART_S:
                machine.start()
            return
        resident = machine.resident_kb()
        machine.most_kb = max(machine.most_kb, resident)
        if self.is_watching and resident > machine.memory_mb * 1024:
            self.note(f"{machine.name} uses {resident // 1024} MB, its machine has {machine.memory_mb} MB: "
                      "killed by the platform")
            machine.kills += 1
            machine.kill()
            machine.popen.wait()

    def wait(self, what, condition, limit_s):
        deadline = time.monotonic() + limit_s
        while time.monotonic() < deadline:
            if condition():
                return
            time.sleep(0.05)
        raise NotRun(f"not within {limit_s} s: {what}")

    # Callers

    def request_id(self):
        with self.lock:
            self.last_request += 1
            return f"{os.getpid():08x}{self.last_request:08x}"

    def exchange(self, address, data, limit_s=8):
        """Sends one request on a new connection, and records it. Returns (status, head, body, whether the answer is
        whole)."""
        name = id_of(data)
        self.trace(f"sent {name} {path_of(data)} to {address}")
        answer = self.send(address, data, limit_s)
        self.trace(f"answered {name} {answer[0]}{'' if answer[3] else ', not whole'}")
        return answer

    @staticmethod
    def send(address, data, limit_s):
        host, port = address.rsplit(":", 1)
        received = b""
        try:
            with socket.create_connection((host, int(port)), timeout=1) as connection:
                connection.settimeout(limit_s)
                connection.sendall(data)
                while True:
                    answer = parse_answer(received)
                    if answer and answer[3]:
                        return answer
                    piece = connection.recv(65536)
                    if not piece:
                        break
                    received += piece
        except OSError:
            pass
        return parse_answer(received) or (0, {}, b"", False)

    def request(self, method, path, body=b"", **headers):
        fields = {"Host": HOST, "Request-Id": self.request_id(), "Deadline-Ms": "3000"}
        fields.update({name.replace("_", "-"): value for name, value in headers.items()})
        if body or method == "POST":
            fields["Content-Length"] = str(len(body))
        lines = [f"{method} {path} HTTP/1.1"] + [f"{name}: {value}" for name, value in fields.items()]
        return "\r\n".join(lines + ["", ""]).encode() + body

    def turn_request(self, program, previous=None, body=b"input", route="rack-consult", path="/turn", **headers):
        fields = {"Model": "m", "Program_Id": program, "Session_Id": "s", "Finish_Ms": "30000", "Token_Budget": "100000",
                  "Token_Counts": f"{min(len(body), 100000)},264", "Prompt_Prefix": "5c1e07a2:800,e4402b7d:250"}
        if previous:
            fields["Previous_Turn"] = previous
        fields.update(headers)
        return self.request("POST", f"/{route}{path}", body, **fields)

    def turn(self, gateway, program, previous=None, **more):
        return self.exchange(gateway.address("front"), self.turn_request(program, previous, **more))

    def is_ready(self, gateway):
        return self.send(gateway.address("ready"), b"GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n", 1)[0] == 200


def id_of(request):
    """The id of a request, of which the record has the first characters."""
    return request.partition(b"Request-Id: ")[2][:ID_LENGTH].decode("latin-1").split("\r")[0]


def path_of(request):
    return request.split(b" ", 2)[1].decode("latin-1").split("?")[0]


def parse_answer(data):
    """Returns (status, headers, body, whether it is whole), or None if the head is not whole."""
    head, mark, rest = data.partition(b"\r\n\r\n")
    if not mark:
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines[1:])}
    status = int(lines[0].split()[1])
    if headers.get("transfer-encoding") == "chunked":
        body = b""
        while True:
            size, mark, rest = rest.partition(b"\r\n")
            if not mark:
                return status, headers, body, False
            length = int(size.split(b";")[0], 16)
            if length == 0:
                return status, headers, body, True
            if len(rest) < length + 2:
                return status, headers, body, False
            body, rest = body + rest[:length], rest[length + 2:]
    length = int(headers.get("content-length", 0))
    return status, headers, rest[:length], len(rest) >= length


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def main(path, play):
    """Runs `play(record)` with the record at `path`. It returns a list of what broke the rule; exits as the review asks."""
    with open(path, "w") as record:
        record.write(f"TROUBLE={'1' if has_trouble() else '0'}\n")
        try:
            broken = play(record)
        except Exception as error:  # anything else that goes wrong is no finding
            record.write(f"could not run: {type(error).__name__}: {error}\n")
            print(f"could not run: {type(error).__name__}: {error}")
            sys.exit(EXIT_NOT_RUN)
        for text in broken or ["the rule held"]:
            record.write(text + "\n")
            print(text)
    sys.exit(EXIT_BROKEN if broken else EXIT_HELD)
