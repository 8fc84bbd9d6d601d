"""Runs stand-ins, sidecars and entries as processes on the loopback interface, for the demo and the end-to-end cases.

Every wait polls a condition up to a time limit, so that results do not depend on the speed of the machine. Signals
are sent only to processes that this module started, by their process ids.
"""

import json
import os
import pathlib
import select
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.error
import urllib.request
from concurrent.futures import ThreadPoolExecutor

START_LIMIT_S = 60
STOP_LIMIT_S = 60


class CaseFailed(Exception):
    """An expectation of an end-to-end case is not met."""


def wait_until(condition, what, limit_s=START_LIMIT_S):
    """Polls `condition` until it returns a true value and returns that value; fails the case after `limit_s`."""
    deadline = time.monotonic() + limit_s
    while time.monotonic() < deadline:
        result = condition()
        if result:
            return result
        time.sleep(0.02)
    raise CaseFailed(f"condition not met within {limit_s} s: {what}")


def http(method, address, path, body=None, headers=None, limit_s=30):
    """Sends one HTTP request. Returns (status, headers, body text); raises OSError if no response arrives."""
    data = body.encode() if isinstance(body, str) else (None if body is None else json.dumps(body).encode())
    request = urllib.request.Request(f"http://{address}{path}", data=data, method=method, headers=headers or {})
    try:
        with urllib.request.urlopen(request, timeout=limit_s) as response:
            return response.status, dict(response.headers), response.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, dict(error.headers), error.read().decode()
    except urllib.error.URLError as error:
        raise OSError(str(error)) from error


class Process:
    """A process of the system or a stand-in, and the ready line in which it prints its addresses."""

    def __init__(self, name, command, log_path):
        self.name = name
        self.command = command
        self.log = open(log_path, "ab")
        self.popen = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=self.log)
        self.ready = self._read_ready_line()

    def _read_ready_line(self):
        deadline = time.monotonic() + START_LIMIT_S
        line = b""
        # Unlike select(), poll() takes descriptors of any number.
        output = select.poll()
        output.register(self.popen.stdout, select.POLLIN)
        while not line.endswith(b"\n"):
            remaining = deadline - time.monotonic()
            if remaining <= 0 or not output.poll(remaining * 1000):
                raise CaseFailed(f"{self.name} printed no ready line within {START_LIMIT_S} s; see {self.log.name}")
            chunk = os.read(self.popen.stdout.fileno(), 1)
            if not chunk:
                raise CaseFailed(f"{self.name} exited before it printed its ready line; see {self.log.name}")
            line += chunk
        return line.decode().strip()

    def field(self, name):
        """Returns the value of `name=...` in the ready line."""
        for word in self.ready.split():
            if word.startswith(name + "="):
                return word[len(name) + 1:]
        raise CaseFailed(f"no field {name} in the ready line of {self.name}: {self.ready}")

    def listen_address(self):
        """Returns the address of a stand-in, from its ready line "listening HOST:PORT"."""
        return self.ready.split()[1]

    def running(self):
        return self.popen.poll() is None

    def signal(self, number):
        if self.running():
            os.kill(self.popen.pid, number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.popen.wait(STOP_LIMIT_S)

    def terminate(self, limit_s=STOP_LIMIT_S):
        """Requests a planned stop with SIGTERM and returns the exit code."""
        self.signal(signal.SIGTERM)
        try:
            return self.popen.wait(limit_s)
        except subprocess.TimeoutExpired as error:
            raise CaseFailed(f"{self.name} did not exit within {limit_s} s after SIGTERM") from error

    def close(self):
        if self.running():
            self.signal(signal.SIGCONT)
            self.kill()
        self.popen.stdout.close()
        self.log.close()


class Relay:
    """A TCP relay in front of the peer address of one process. While cut, it holds back data and opens no connection
    to the process; once restored, it forwards the held data and opens the pending connections."""

    def __init__(self):
        self.listener = socket.create_server(("127.0.0.1", 0))
        port = self.listener.getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        # The process listens on the same port of another loopback address, where no other program takes ports.
        self.target = f"127.0.0.2:{port}"
        self.forwarding = threading.Event()
        self.forwarding.set()
        self.sockets = [self.listener]
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self):
        self.forwarding.clear()

    def restore(self):
        self.forwarding.set()

    def has_connections(self):
        return len(self.sockets) > 1

    def close(self):
        for each in list(self.sockets):
            try:
                each.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass  # already disconnected
            each.close()
        self.forwarding.set()

    def _accept(self):
        while True:
            try:
                client = self.listener.accept()[0]
                threading.Thread(target=self._connect, args=(client,), daemon=True).start()
            except OSError:
                return  # the listener is closed

    def _connect(self, client):
        self.sockets.append(client)
        self.forwarding.wait()
        try:
            host, port = self.target.rsplit(":", 1)
            server = socket.create_connection((host, int(port)))
        except OSError:
            client.close()
            return
        self.sockets.append(server)
        threading.Thread(target=self._forward, args=(client, server), daemon=True).start()
        threading.Thread(target=self._forward, args=(server, client), daemon=True).start()

    def _forward(self, source, sink):
        try:
            while True:
                data = source.recv(65536)
                self.forwarding.wait()
                if not data:
                    break
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            for each in (source, sink):
                each.close()


class System:
    """A small rattandeck system: stand-ins of the platform's services, entries, and endpoints with their sidecars."""

    def __init__(self, build, shards=16, lease_ms=1500):
        self.programs = pathlib.Path(build) / "src"
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="rattandeck-"))
        self.shards = shards
        self.lease_ms = lease_ms
        self.processes = []
        self.relays = {}
        self.entries = {}
        self.sidecars = {}
        self.endpoints = {}
        self.instances = {}
        self.objects = None
        self.instance_list = None

    def __enter__(self):
        self.objects = self.start_stand_in("objects", "objects")
        self.instance_list = self.start_stand_in("instances", "instances", "--lag-ms", "200")
        return self

    def __exit__(self, kind, error, trace):
        for process in reversed(self.processes):
            process.close()
        for relay in self.relays.values():
            relay.close()
        if kind is None:
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(f"the logs are in {self.folder}", file=sys.stderr)

    def start(self, name, program, arguments):
        process = Process(name, [str(self.programs / program), *arguments], self.folder / f"{name}.log")
        self.processes.append(process)
        return process

    def start_stand_in(self, name, mode, *options):
        return self.start(name, "rattandeck-standin", [mode, "--listen", "127.0.0.1:0", *options])

    def write_settings(self, name, text):
        path = self.folder / f"{name}.toml"
        path.write_text(text)
        return str(path)

    def add_relay(self, name):
        """Places a relay in front of the peer address of the process that is started under this name later."""
        self.relays[name] = Relay()
        return self.relays[name]

    def peers_settings(self, name):
        if name not in self.relays:
            return ""
        relay = self.relays[name]
        return f'[peers]\nlisten = "{relay.target}"\nadvertise = "{relay.address}"\n'

    def start_entry(self, name, domain, settings=""):
        """Starts an entry; `settings` (TOML) extends its settings."""
        path = self.write_settings(name, f"""
node = "{name}"
domain = "{domain}"
[platform]
object_api = "{self.objects.listen_address()}"
instance_list = "{self.instance_list.listen_address()}"
instance_list_interval_ms = 200
[shards]
count = {self.shards}
[lease]
duration_ms = {self.lease_ms}
{self.peers_settings(name)}{settings}""")
        entry = self.start(name, "rattandeck-entry", ["--settings", path])
        self.entries[name] = entry
        self.register_instance(name, entry.field("peers"), domain, "")
        return entry

    def start_endpoint(self, name, domain, service, model, *options, settings=""):
        """Starts the stand-in of an endpoint and its sidecar; `settings` (TOML) extends the sidecar's settings."""
        mode = ["engine"] if model else ["service", "--ledger", str(self.folder / f"{name}.ledger")]
        endpoint = self.start_stand_in(f"{name}-endpoint", *mode, *options)
        self.endpoints[name] = endpoint
        self.start_sidecar(name, domain, service, model, settings)
        return endpoint

    def start_sidecar(self, name, domain, service, model, settings=""):
        path = self.write_settings(name, f"""
node = "{name}"
domain = "{domain}"
service = "{service}"
[endpoint]
kind = "{'engine' if model else 'service'}"
address = "{self.endpoints[name].listen_address()}"
{self.peers_settings(name)}{settings}""")
        sidecar = self.start(name, "rattandeck-sidecar", ["--settings", path])
        self.sidecars[name] = sidecar
        self.register_instance(name, sidecar.field("peers"), domain, service)
        return sidecar

    def register_instance(self, name, address, domain, service, leaving=False):
        """Adds an instance to the platform's instance list, or replaces its record."""
        self.instances[name] = {
            "node": name, "address": address, "domain": domain, "service": service, "leaving": leaving}
        self.publish_instances()

    def deregister_instance(self, name):
        del self.instances[name]
        self.publish_instances()

    def publish_instances(self):
        http("PUT", self.instance_list.listen_address(), "/instances", list(self.instances.values()))

    def wait_ready(self):
        """Waits until every entry reports that it is ready."""
        for name, entry in self.entries.items():
            wait_until(lambda e=entry: self.is_ready(e), f"{name} is ready")

    @staticmethod
    def is_ready(entry):
        try:
            return http("GET", entry.field("admin"), "/readyz")[0] == 200
        except OSError:
            return False

    def metric(self, process, name):
        text = http("GET", process.field("admin"), "/metrics")[2]
        for line in text.splitlines():
            if line.startswith(name + " "):
                return float(line.split()[1])
        raise CaseFailed(f"no metric {name} in the metrics of {process.name}")

    def caller_addresses(self):
        return [entry.field("callers") for entry in self.entries.values() if entry.running()]

    def set_faults(self, **faults):
        """Sets the injected faults of the object API: down, drop_answers, delay_ms."""
        http("POST", self.objects.listen_address(), "/faults", faults)

    def start_load(self, name, programs=40, duration_s=8, workload="vadodara", limit_s=90):
        """Starts the load driver against all entries; `finish_load` waits for it and checks its exit code."""
        command = ["--workload", workload, "--programs", str(programs), "--seed", "1", "--duration-s", str(duration_s),
                   "--limit-s", str(limit_s), "--model-service", "agent-llm", "--plain-service", "jobcard-app",
                   "--quiet", "--report", str(self.folder / f"{name}.json")]
        for address in self.caller_addresses():
            command += ["--entry", address]
        for node, endpoint in self.endpoints.items():
            if node.startswith("app"):
                command += ["--ledger", endpoint.listen_address()]
        with open(self.folder / f"{name}.out", "wb") as output:
            return subprocess.Popen([str(self.programs / "rattandeck-load"), *command], stdout=output, stderr=output)

    def finish_load(self, load, name, limit_s=240):
        """Waits for the load driver and returns its report. The case fails if a call was lost, executed twice, answered
        with the result of another call, or left unfinished."""
        try:
            code = load.wait(limit_s)
        except subprocess.TimeoutExpired as error:
            load.kill()
            raise CaseFailed("the load driver did not exit within the time limit") from error
        output = (self.folder / f"{name}.out").read_text()
        expect(code == 0, f"the load driver exited with {code}:\n{output}")
        return json.loads((self.folder / f"{name}.json").read_text())

    def ctl(self, *arguments):
        """Runs rattandeckctl; returns (exit code, output)."""
        done = subprocess.run([str(self.programs / "rattandeckctl"), "--objects", self.objects.listen_address(),
                               *arguments],
                              capture_output=True, text=True, timeout=60, check=False)
        return done.returncode, done.stdout + done.stderr

    def ledger(self):
        """Returns the calls that the running plain services have executed: a list of {"key", "body"}."""
        calls = []
        for name, endpoint in self.endpoints.items():
            if (self.folder / f"{name}.ledger").exists() and endpoint.running():
                calls += json.loads(http("GET", endpoint.listen_address(), "/ledger")[2])
        return calls


DOMAINS = ["a", "b", "c"]


def start_small_system(system, engine_options=("--speed", "4"), per_domain=1, engine_settings=""):
    """Starts an entry, model engines and plain services in each of three failure domains."""
    for domain in DOMAINS:
        for index in range(per_domain):
            suffix = f"{domain}{index}"
            system.start_endpoint(f"llm-{suffix}", domain, "agent-llm", True, *engine_options, settings=engine_settings)
            system.start_endpoint(f"app-{suffix}", domain, "jobcard-app", False)
    for domain in DOMAINS:
        system.start_entry(f"entry-{domain}", domain)
    system.wait_ready()
    wait_until(lambda: can_open(system), "every entry opens a program")


def can_open(system):
    return all(open_program(address, check=False)[0] == 201 for address in system.caller_addresses())


def start_one_service_system(system, *service_options, settings=""):
    """Starts entries and model engines in three failure domains, and a single instance of the plain service, so that
    its ledger shows the order of all calls."""
    for domain in DOMAINS:
        system.start_endpoint(f"llm-{domain}0", domain, "agent-llm", True, "--speed", "4")
    system.start_endpoint("app-a0", "a", "jobcard-app", False, *service_options, settings=settings)
    for domain in DOMAINS:
        system.start_entry(f"entry-{domain}", domain)
    system.wait_ready()
    wait_until(lambda: can_open(system), "every entry opens a program")


def in_parallel(tasks):
    """Runs functions concurrently and returns their results in order; an exception in one of them is raised again."""
    with ThreadPoolExecutor(max_workers=len(tasks)) as pool:
        return [future.result() for future in [pool.submit(task) for task in tasks]]


def open_program(address, budget=1000000, check=True, parent=None):
    """Opens a program. Returns (status, program id)."""
    body = {"organisation": "o", "service": "agent-llm", "aim_ms": 60000, "budget_tokens": budget}
    if parent:
        body["parent"] = parent
    status, _, text = http("POST", address, "/v1/programs", body)
    if check:
        expect(status == 201, f"opening a program returned {status} {text}")
    return status, json.loads(text).get("program")


def call(address, program, body, headers=None, limit_s=60):
    """Sends a call of a program. Returns (status, headers, answer)."""
    status, fields, text = http("POST", address, f"/v1/programs/{program}/calls", body, headers, limit_s)
    return status, fields, json.loads(text)


def expect(condition, what):
    if not condition:
        raise CaseFailed(what)
