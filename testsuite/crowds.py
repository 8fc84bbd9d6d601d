"""Crowds of clients that misbehave, and the bounds that a process keeps during and after them.

A crowd is played by one thread on non-blocking sockets. Nothing here measures times or how many requests are served.
"""

import os
import pathlib
import selectors
import socket
import subprocess
import time

from harness import CaseFailed, expect, wait_until

# The usual soft limit of a process's descriptors.
MAX_DESCRIPTORS = 1024
# A crowd has had its effect when no connection of it has made progress for this long.
QUIET_S = 1.0
PLAY_LIMIT_S = 40
# The first data of a crowd may be met with an answer or a reset; both end the connection's part in it.
SEND_SIZE = 256 * 1024


def free_address(host="127.0.0.1"):
    """Returns an address that is free now, for a program that doesn't print the address it is bound to."""
    with socket.create_server((host, 0)) as server:
        return f"{host}:{server.getsockname()[1]}"


def memory_settings(build, program, limit_mb):
    """Settings of a process that is to stay within `limit_mb`. Programs without such a setting run without it."""
    command = [str(pathlib.Path(build) / "src" / program), "--print-settings"]
    known = subprocess.run(command, capture_output=True, text=True, timeout=30, check=False).stdout
    return f"[memory]\nlimit_mb = {limit_mb}\n" if "limit_mb" in known else ""


def memory_kb(process):
    """Returns the resident memory of a process and the most it has ever been, in kB."""
    with open(f"/proc/{process.popen.pid}/status") as status:
        fields = dict(line.split(":", 1) for line in status)
    return tuple(int(fields[name].split()[0]) for name in ("VmRSS", "VmHWM"))


def descriptors(process):
    return len(os.listdir(f"/proc/{process.popen.pid}/fd"))


class Client:
    """One connection of a crowd: sends its pieces one by one, and then stays open."""

    def __init__(self, address, pieces, reads):
        host, port = address.rsplit(":", 1)
        self.socket = socket.create_connection((host, int(port)), timeout=10)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.socket.setblocking(False)
        self.pieces = iter(pieces)
        self.rest = memoryview(b"")
        self.reads = reads
        self.received = b""
        self.is_done = False

    def send_some(self):
        """Returns whether any byte was sent."""
        if not self.rest:
            self.rest = memoryview(next(self.pieces, b""))
            self.is_done = not self.rest
        if self.is_done:
            return False
        try:
            sent = self.socket.send(self.rest[:SEND_SIZE])
        except BlockingIOError:
            return False
        except OSError:
            self.is_done = True
            return False
        self.rest = self.rest[sent:]
        return sent > 0

    def read_some(self):
        try:
            self.received = (self.received + self.socket.recv(65536))[-65536:]
        except OSError:
            pass  # nothing to read, or closed

    def has_ended(self):
        """Whether the other end has closed or reset the connection."""
        try:
            return self.socket.recv(1, socket.MSG_PEEK) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True


class Crowd:
    """Connections to one address that all send the same pieces, or those that `pieces` returns for the number of a
    connection. It is a context manager; the connections stay open within it."""

    def __init__(self, address, count, pieces, reads=False):
        self.clients = []
        for number in range(count):
            try:
                self.clients.append(Client(address, pieces(number) if callable(pieces) else pieces, reads))
            except OSError:
                break  # no more connections are accepted

    def play(self):
        """Sends until every connection has sent its pieces or has been closed, or none has made progress for a while."""
        selector = selectors.DefaultSelector()
        for client in self.clients:
            selector.register(client.socket, selectors.EVENT_WRITE, client)
        started = last_progress = time.monotonic()
        while selector.get_map():
            now = time.monotonic()
            if now - last_progress > QUIET_S or now - started > PLAY_LIMIT_S:
                break
            for key, _ in selector.select(0.1):
                client = key.data
                if client.reads:
                    client.read_some()
                if client.send_some():
                    last_progress = time.monotonic()
                if client.is_done:
                    selector.unregister(client.socket)
        selector.close()
        time.sleep(QUIET_S)
        return self

    def close(self):
        for client in self.clients:
            client.socket.close()

    def __enter__(self):
        return self

    def __exit__(self, *reason):
        self.close()


def check_bounds(process, name, max_memory_mb, max_descriptors=MAX_DESCRIPTORS):
    """Returns what is wrong with a process after a crowd, as a list of texts."""
    if not process.running():
        return [f"{name}: {process.name} has ended"]
    now_kb, most_kb = memory_kb(process)
    open_descriptors = descriptors(process)
    print(f"  {name}: {process.name} had {most_kb // 1024} MB at most, {now_kb // 1024} MB now, "
          f"{open_descriptors} descriptors", flush=True)
    faults = []
    if most_kb > max_memory_mb * 1024:
        faults.append(f"{name}: {process.name} grew to {most_kb // 1024} MB, {max_memory_mb} MB are allowed")
    if open_descriptors > max_descriptors:
        faults.append(f"{name}: {process.name} has {open_descriptors} descriptors, {max_descriptors} are allowed")
    return faults


def check_served(request, what):
    """An ordinary caller may be refused at first; it asks again until it is answered."""
    try:
        wait_until(request, what, 60)
    except CaseFailed as error:
        return [str(error)]
    return []


def expect_none(faults):
    expect(not faults, "; ".join(faults))


# Requests -----------------------------------------------------------------------------------------------------------

def head(path, *fields, method="POST"):
    return "".join(f"{line}\r\n" for line in
                   (f"{method} {path} HTTP/1.1", "Host: calls.example", "Deadline-Ms: 20000", *fields, "")).encode()


def sized_body(path, size, missing=1):
    """A request with a stated length whose last bytes don't come."""
    return head(path, f"Content-Length: {size}") + b"x" * (size - missing)


def chunked_body(path, size, chunk_size):
    """A chunked request whose last chunk doesn't come."""
    chunk = b"%x\r\n%s\r\n" % (chunk_size, b"x" * chunk_size)
    return head(path, "Transfer-Encoding: chunked") + chunk * (size // chunk_size)


def in_pieces(data, size):
    return [data[start:start + size] for start in range(0, len(data), size)]


# Links between our own processes --------------------------------------------------------------------------------------

PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
DATA, HEADERS, SETTINGS, PING, CONTINUATION = 0, 1, 4, 6, 9
END_HEADERS, ACK = 4, 1


def frame(kind, flags, stream, payload=b""):
    return len(payload).to_bytes(3, "big") + bytes([kind, flags]) + stream.to_bytes(4, "big") + payload


def literal(name, value):
    return b"\x00" + bytes([len(name)]) + name + bytes([len(value)]) + value


def link_request(link_number=1):
    """The beginning of a link: preface, settings, the other end's settings acknowledged, the stream's head."""
    fields = b"\x83\x86" + literal(b":path", b"/rattandeck/link") + literal(b":authority", b"rattandeck")
    fields += literal(b"rattandeck-link-number", str(link_number).encode())
    return (PREFACE + frame(SETTINGS, 0, 0) + frame(SETTINGS, ACK, 0)
            + frame(HEADERS, END_HEADERS, 1, fields))


def link_data(data, frame_size=16384):
    return b"".join(frame(DATA, 0, 1, piece) for piece in in_pieces(data, frame_size))


def prefixed(message):
    return len(message).to_bytes(4, "big") + message


def packed(value):
    """MessagePack of the few types that a `Hello` consists of."""
    if isinstance(value, int):
        return b"\xcf" + value.to_bytes(8, "big")
    if isinstance(value, str):
        return b"\xd9" + bytes([len(value)]) + value.encode()
    if isinstance(value, dict):
        return bytes([0x80 | len(value)]) + b"".join(packed(name) + packed(item) for name, item in value.items())
    return bytes([0x90 | len(value)]) + b"".join(packed(item) for item in value)


def hello(node):
    """The first message of a link, from a node that no configuration knows."""
    return prefixed(packed(["hello", {"protocol": 1, "node": node, "role": 0, "incarnation": 1, "domain": "a",
                                      "service": "", "address": "", "configRevision": 0}]))


# Gateways -------------------------------------------------------------------------------------------------------------

# A gateway's machine has 88 MB; the cases give it less, so that their crowds are small.
GATEWAY_LIMIT_MB = 64
GATEWAY_SETTINGS = "[callers]\nmax_connections = 400\n"


def crowded_deployment(build):
    """Returns a `Deployment` class whose gateways are limited, and have administration addresses in `admin`."""
    # Imported late: the former programs' case doesn't need the platform's stand-ins.
    from platform_standins import Deployment

    class CrowdedDeployment(Deployment):
        admin = {}
        limits_mb = {}

        def more_settings(self, name):
            self.admin[name] = free_address()
            settings = f'[admin]\nlisten = "{self.admin[name]}"\n'
            if name.startswith("gateway"):
                return settings + GATEWAY_SETTINGS + memory_settings(build, "rattandeck-gateway", GATEWAY_LIMIT_MB)
            if name in self.limits_mb:
                return settings + memory_settings(build, "rattandeck-journal", self.limits_mb[name])
            return settings

        def gateway_address(self, name, target):
            return self.admin[name] if target == "admin" else self.processes[name].field(target)

        def is_answered(self, name, body=b"small"):
            answer = self.call(name, "/write/ordinary", "POST", body)
            return answer.status == 200 and answer.is_complete

    return CrowdedDeployment


def gateway_name(crowd):
    return "gateway-" + crowd.replace(",", "").replace(" ", "-")


def play_at_gateway(deployment, name, target, count, pieces, reads=False, after=()):
    """Plays a crowd against a new gateway, which is stopped afterwards. Returns what was wrong with it."""
    gateway = gateway_name(name)
    deployment.start_gateway(gateway)
    deployment.wait_serving(gateway)
    process = deployment.processes[gateway]
    with Crowd(deployment.gateway_address(gateway, target), count, pieces, reads) as crowd:
        crowd.play()
        faults = check_bounds(process, name, GATEWAY_LIMIT_MB)
        faults += check_served(lambda: deployment.is_answered(gateway), f"{name}: an ordinary request is answered")
        for check in after:
            faults += check(deployment, gateway)
    faults += check_served(lambda: deployment.is_answered(gateway, b"x" * (4 << 20)),
                           f"{name}: a body of 4 MB is served when the crowd has gone")
    process.close()
    del deployment.processes[gateway]
    return faults
