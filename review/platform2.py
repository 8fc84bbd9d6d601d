"""A small deployment for the scripts of the second review: the programs of the deploy file as separate processes on
loopback addresses, with settings that are rendered from the templates in deploy/, and the project's own stand-ins for
the platform's store and the runners."""

import http.client
import os
import pathlib
import random
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

import platform_standins as standins  # noqa: E402

BOUNDS = {"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4.9, "drain_ms": 2000,
          "grace_s": 8, "apply_ms": 2000, "recover_s": 12}


# Settings -------------------------------------------------------------------------------------------------------------

def lookup(fields, name):
    value = fields
    for part in name.split("."):
        if not isinstance(value, dict) or part not in value:
            return None
        value = value[part]
    return value


def render(template, fields):
    """Renders what the templates in deploy/ use of the platform's template language."""
    def section(match):
        value = lookup(fields, match[1])
        if isinstance(value, list):
            parts = [match[2].replace("{{.}}", str(each)).replace("{{,}}", "," if each != value[-1] else "")
                     for each in value]
            return "".join(parts)
        return match[2] if value not in (None, False, "") else ""
    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: str(lookup(fields, match[1])), text)


class Node:
    """A machine: its address, its ports, its settings and the process of its role."""

    def __init__(self, deployment, name, role, zone, ip):
        self.deployment = deployment
        self.name = name
        self.role = role
        self.zone = zone
        self.ip = ip
        self.ports = {}
        self.process = None
        self.folder = deployment.folder / name
        (self.folder / "data").mkdir(parents=True)
        for use in ("front", "ready", "control", "admin"):
            with socket.socket() as probe:
                probe.bind((ip, 0))
                self.ports[use] = probe.getsockname()[1]

    def address(self, use):
        return f"{self.ip}:{self.ports[use]}"

    def start(self):
        deployment = self.deployment
        role = deployment.roles[self.role]
        fields = {"node_name": self.name, "zone": self.zone, "ip": self.ip,
                  "listen": {use: self.address(use) for use in ("front", "ready", "control")},
                  "seeds": deployment.seeds, "fault_tolerance": {"machines": 1}, "bounds": BOUNDS,
                  "platform": {"address": deployment.store.address}, "limits": {"memory_mb": deployment.memory_mb.get(self.role, 140)},
                  "data_dir": str(self.folder / "data")}
        text = render((ROOT / role["template"]).read_text(), fields)
        # The port for operators is fixed in the template; another program may use it on this machine.
        text = text.replace(f"{self.ip}:9102", self.address("admin"))
        settings = self.folder / "boot.json"
        settings.write_text(text)
        command = [str(settings) if word == "/etc/rattandeck/boot.json" else word for word in role["run"].split()]
        with open(self.folder / "log", "ab") as log:
            self.process = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL)

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        if self.is_running():
            os.kill(self.process.pid, number)

    def kill(self):
        self.signal(signal.SIGKILL)
        if self.process:
            self.process.wait(10)

    def close(self):
        self.signal(signal.SIGCONT)
        self.kill()

    def is_ready(self):
        """What the platform asks a `front` machine each second."""
        connection = http.client.HTTPConnection(self.address("ready"), timeout=1)
        try:
            connection.request("GET", "/api/readyz")
            return connection.getresponse().status == 200
        except OSError:
            return False
        finally:
            connection.close()


class CannotRun(Exception):
    """The case could not be played."""


class Deployment:
    """Three journals and two gateways in three zones, a store, and runners. A context manager."""

    def __init__(self, config, make_runners, journals=3, gateways=2, memory_mb=None):
        self.memory_mb = memory_mb or {}
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            self.roles = tomllib.load(file)["roles"]
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="rattandeck-review-"))
        self.store = standins.Store()
        self.store.put("config", "main", config)
        self.runners = make_runners(self.store)
        prefix = f"127.{random.randint(20, 60)}.{random.randint(1, 250)}"
        self.seeds = []
        self.journals = [Node(self, f"storage-{zone}-1", "journal", zone, f"{prefix}.{number}")
                         for number, zone in enumerate("abcdef"[:journals], 1)]
        self.gateways = [Node(self, f"front-{zone}-1", "gateway", zone, f"{prefix}.{number}")
                         for number, zone in enumerate("abcdef"[:gateways], 101)]
        self.seeds = [node.address("control") for node in self.journals][:3]

    def __enter__(self):
        try:
            for node in self.journals + self.gateways:
                node.start()
            self.wait(lambda: all(node.is_ready() for node in self.gateways), 20, "the gateways are ready")
            self.wait(lambda: len((self.store.get("rattandeck-journals", "set") or {"spec": {"members": []}})
                                  ["spec"]["members"]) == len(self.journals), 20, "all journals are members")
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *reason):
        for node in self.journals + self.gateways:
            node.close()
        for server in [*self.runners, self.store]:
            server.close()
        if os.environ.get("KEEP"):
            print(f"logs: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def wait(self, condition, limit_s, what):
        deadline = time.monotonic() + limit_s
        while not condition():
            if time.monotonic() > deadline:
                raise CannotRun(f"not within {limit_s} s: {what}")
            time.sleep(0.05)

    def check_running(self):
        for node in self.journals + self.gateways:
            if not node.is_running():
                raise CannotRun(f"{node.name} has ended")


# Clients --------------------------------------------------------------------------------------------------------------

def send(gateway, method, path, headers, body=b"", limit_s=6):
    """Sends one request on a channel of its own. Returns (status, headers, body, whether it was complete); the status
    is 0 if no answer came."""
    connection = http.client.HTTPConnection(gateway.address("front"), timeout=limit_s)
    try:
        connection.request(method, path, body, headers)
        answer = connection.getresponse()
        try:
            return answer.status, dict(answer.getheaders()), answer.read(), True
        except (http.client.IncompleteRead, OSError) as error:
            return answer.status, dict(answer.getheaders()), getattr(error, "partial", b""), False
    except (OSError, http.client.HTTPException):
        return 0, {}, b"", False
    finally:
        connection.close()


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, script):
        self.file = open(pathlib.Path(script).resolve().parent / "record.txt", "w")
        self.began = time.monotonic()
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.began

    def note(self, text):
        with self.lock:
            self.file.write(f"{self.now():8.3f} s  {text}\n")
            self.file.flush()


def main(script, play, has_trouble):
    """Plays a case: `play(record, has_trouble)` returns a sentence that tells how the rule was broken, or nothing."""
    record = Record(script)
    try:
        broken = play(record, has_trouble)
    except Exception as error:  # An error of the script must not pass for a broken rule.
        record.note(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        return 2
    record.note(f"broken: {broken}" if broken else "held")
    print(f"broken: {broken}" if broken else "held")
    return 1 if broken else 0
