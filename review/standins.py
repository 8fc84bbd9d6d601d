"""Helpers of the review's scripts: a recorded deployment of gateways and journals, and stand-ins for consumers and
runners. Processes are started with the commands of `deploy/system.toml` (programs in `target/src/`)."""

import json
import os
import pathlib
import signal
import socket
import sys
import threading
import time
import zlib

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "testsuite"))
sys.dont_write_bytecode = True

from harness import CaseFailed, wait_until  # noqa: E402,F401
from platform_standins import HOST, Deployment, ListeningServer, Runner, Store, configuration, route  # noqa: E402,F401

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2

# Values that the site file sites/mizani-diaries.toml states for its deployment.
DRAIN_S = 2.0
RECOVER_S = 12.0
CONTACT_S = 3.0
RETAIN_S = 60.0
TIME_LIMIT_MS = 3000


def require(condition, what):
    """Ends the case as one that could not run, unless the condition holds."""
    if not condition:
        raise CaseFailed(what)


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run to `record.txt` in the folder of the case. Thread safety: synchronised."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.started = time.monotonic()

    def note(self, what):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.started:8.3f} {what}\n")
            self.file.flush()


ROUTES = [
    route("turns", "streaming", "llm", retain=True, retain_s=RETAIN_S, sticky=True, timeout_ms=TIME_LIMIT_MS,
          goal_ms=200, attempts=1, priority=1),
    route("streams", "streaming", "llm", can_resume=True, sticky=True, timeout_ms=TIME_LIMIT_MS, goal_ms=200,
          attempts=1),
    route("read", "safe", "app", timeout_ms=1200, goal_ms=150, attempts=2, priority=2),
    route("write", "unsafe", "app", attempts=1, timeout_ms=TIME_LIMIT_MS, goal_ms=500, priority=2),
]


class RecordedRunner(Runner):
    """A runner that notes what it runs, and says in its answers that it leaves once it is draining."""

    def __init__(self, record, *arguments, **options):
        self.record = record
        self.is_leaving = False
        # Time from a request to its first event, by Request-Id.
        self.slow_requests = {}
        super().__init__(*arguments, **options)

    def handle(self, request):
        request_id = request.headers.get("Request-Id", "")
        if request.path != "/api/report":
            self.record.note(f"runner {self.name}: received {request_id} {request.command} {request.path}")
        if self.is_leaving:
            send_response = request.send_response

            def with_leaving(*arguments):
                send_response(*arguments)
                request.send_header("Server-Leaving", "1")

            request.send_response = with_leaving
        super().handle(request)

    def stream(self, request, headers):
        time.sleep(self.slow_requests.get(request.headers.get("Request-Id", ""), 0))
        super().stream(request, headers)

    def has_run(self, request_id):
        with self.lock:
            return any(known == request_id for known, _, _ in self.executed_calls)

    def leave(self):
        """Reports that it drains, serves on for `drain_ms` and a little longer, and ends."""
        self.record.note(f"runner {self.name}: draining")
        self.is_leaving = True
        self.register("draining")
        time.sleep(DRAIN_S + 0.5)
        self.store.remove("servers", self.name)
        self.close()
        self.record.note(f"runner {self.name}: gone")


class CrashingRunner(RecordedRunner):
    """A runner that can crash, and start again at the same address, under the same id and with a new `born`."""

    def __init__(self, *arguments, **options):
        self.sockets = set()
        self.is_down = False
        super().__init__(*arguments, **options)

    def handle(self, request):
        self.sockets.add(request.connection)
        super().handle(request)

    def crash(self):
        """Ends as a process that is killed: its port and its channels are closed."""
        self.record.note(f"trouble: runner {self.name} crashes")
        self.is_down = True
        self.server.shutdown()
        self.server.server_close()
        for each in list(self.sockets):
            try:
                each.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass  # the channel has ended already
        self.sockets.clear()

    def listen_again(self):
        host, port = self.address.split(":")
        self.server = ListeningServer((host, int(port)), self.server.RequestHandlerClass)
        self.server.daemon_threads = True
        threading.Thread(target=self.server.serve_forever, args=(0.02,), daemon=True).start()
        self.is_down = False

    def start_again(self):
        self.listen_again()
        self.register(born=self.born + 1000)
        self.record.note(f"runner {self.name}: started again")


class SmallStore(Store):
    """The store, with the routes of a small deployment as its first configuration."""

    # Stands for a list in a list, and so on: Python's encoder doesn't write so many.
    NESTED = "lists within lists"
    DEPTH = 200_000

    def handle(self, request):
        answer = request.answer

        def answer_nested(status, body=b"", headers=None):
            text = json.dumps(body).encode() if isinstance(body, (dict, list)) else body
            nested = b"[" * self.DEPTH + b"]" * self.DEPTH
            answer(status, text.replace(json.dumps(self.NESTED).encode(), nested), headers)

        request.answer = answer_nested
        super().handle(request)

    def put(self, kind, name, spec=None, status=None, is_removed=False):
        if kind == "config" and spec and spec["version"] == 1:
            spec = configuration(1, ROUTES)
        return super().put(kind, name, spec, status, is_removed)


class RecordedDeployment(Deployment):
    """A deployment of three failure domains whose calls and answers are recorded."""

    def __init__(self, record, gateways=3, journals=3, runners=2, **options):
        self.record = record
        self.runner_count = runners
        self.zones = {}
        super().__init__(ROOT / "target", gateways=gateways, journals=journals, **options)

    def make_store(self):
        return SmallStore()

    def make_runners(self):
        return [RecordedRunner(self.record, self.store, service, f"{service}-{number}", zone="abc"[number % 3])
                for number in range(self.runner_count) for service in ("llm", "app")]

    def domain(self, name):
        return "abc"[(int(name.split("-")[1]) - 1) % 3]

    def call(self, gateway, path, method="GET", body=None, headers=None, limit_s=30):
        """Adds the parts of a turn's prompt: one that many programs share, and the program's own."""
        fields = dict(headers or {})
        if "Program-Id" in fields:
            own = zlib.crc32(fields["Program-Id"].encode())
            fields.setdefault("Prompt-Prefix", f"5c1e07a2:12600,{own:x}:1680")
            fields.setdefault("Finish-Ms", "60000")
        return super().call(gateway, path, method, body, fields, limit_s)

    def ask(self, gateway, what, send):
        """Sends one request by `send` and records it with its answer."""
        self.record.note(f"client: sends {what} to {gateway}")
        answer = send()
        state = "whole" if answer.is_complete else "incomplete"
        text = answer.body.decode(errors="replace").strip() if answer.status >= 400 else f"{len(answer.body)} bytes"
        self.record.note(f"client: {what} answered {answer.status} ({state}, {text})")
        return answer

    def ask_turn(self, gateway, program, request, previous=None, body="input ", **options):
        what = f"turn {request} of {program}" + (f" after {previous}" if previous else "")
        return self.ask(gateway, what, lambda: self.turn(
            gateway, program, previous, request, body=body, deadline_ms=TIME_LIMIT_MS, **options))

    def ask_read(self, gateway, request):
        headers = {"Request-Id": request, "Deadline-Ms": "1200"}
        return self.ask(gateway, f"read {request}", lambda: self.call(gateway, "/read/" + request, headers=headers))

    def reached(self, request):
        return any(runner.has_run(request) for runner in self.runners)

    def gateways(self):
        return sorted(name for name in self.processes if name.startswith("gateway"))

    def remove(self, name):
        """Removes a machine for good."""
        self.processes.pop(name).close()

    def kill_all(self):
        self.record.note("trouble: all processes are killed")
        for process in self.processes.values():
            process.kill()

    def restart_all(self):
        """Starts every process again, journals with their disks."""
        names = sorted(self.processes, key=lambda name: name.startswith("gateway"))
        for name in names:
            self.processes[name].close()
        for name in names:
            if name.startswith("journal"):
                self.start_journal(name)
            else:
                self.start_gateway(name)
        self.record.note("all processes run again")


def run_case(folder, case):
    """Runs `case(record)`, which returns a list of broken rules, and exits as the script must."""
    # So that the processes of a run that is stopped are ended, too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    record = Record(folder)
    record.note("trouble: " + ("yes" if has_trouble() else "no"))
    try:
        broken = case(record)
    except (CaseFailed, OSError) as error:
        record.note(f"could not run: {error}")
        print(f"could not run: {error}")
        sys.exit(COULD_NOT_RUN)
    for rule in broken:
        record.note(f"BROKEN {rule}")
        print(f"BROKEN {rule}")
    if not broken:
        record.note("held")
        print("held")
    sys.exit(BROKEN if broken else HELD)
