"""A loopback network with faults: TCP proxies in front of servers, which delay, hold back, reset or narrow the links
between named nodes.

A node is a process that dials or is dialled through the proxies. A rule belongs to one direction between two nodes, so
that a link can be cut one way; data that is held back is delivered when the rule ends, as by TCP. A narrow node has one
bounded rate in each direction, shared by all its links. The proxies run in a process of their own, which `LinkProxies`
controls with one JSON object a line; run as a program, this module is that process.
"""

import asyncio
import collections
import json
import os
import signal
import socket
import subprocess
import sys
import threading

# Bytes that one direction of a connection holds before it stops reading from its source.
WINDOW_BYTES = 64 * 1024
# A dialling node that has not named itself within this many bytes is taken for an unnamed one.
HELLO_BYTES = 2048
UNNAMED = "?"
ANY = "*"
# Where in the loopback range the proxies listen, the nodes behind them, and the nodes' administration.
PROXIES = 64
TARGETS = 128
ADMINISTRATION = 192


def loopback_host(part, process):
    """Returns an address of this machine at which only one run takes ports. Connections take theirs at 127.0.0.1. So a port that is
    closed for a while is still free when it is to be opened again, and until then nobody else answers there."""
    return f"127.{part + process // 65536}.{process // 256 % 256}.{process % 256}"


class LinkProxies:
    """The process that runs the proxies. Thread safety: synchronised."""

    def __init__(self):
        self.lock = threading.Lock()
        self.process = subprocess.Popen([sys.executable, os.path.abspath(__file__)], stdin=subprocess.PIPE,
                                        stdout=subprocess.PIPE, text=True)
        self.target_host = loopback_host(TARGETS, self.process.pid)

    def add(self, server, target=None, names_itself=True):
        """Opens a proxy in front of a node and returns the address to dial. Without a target the node listens on the
        proxy's port at `target_host`. `names_itself` tells whether diallers begin with their node's name (peer links)."""
        return self._request(do="add", server=server, target=target, names_itself=names_itself)

    def set_rule(self, source, sink, delay_s=0.0, is_blocked=False):
        """Sets what happens to data from one node to another; `ANY` stands for every node. Without arguments the
        rule ends."""
        self._request(do="rule", source=source, sink=sink, delay_s=delay_s, is_blocked=is_blocked)

    def set_rate(self, node, bytes_per_s=None):
        """Bounds what a node sends and, apart from that, what it receives; without a rate the bound ends."""
        self._request(do="rate", node=node, bytes_per_s=bytes_per_s)

    def name(self, node):
        """Makes a node that only dials known, so that its connections are told apart from the beginning."""
        self._request(do="name", node=node)

    def reset(self, one, other=ANY):
        """Resets the connections between two nodes. Data on its way is lost."""
        self._request(do="reset", one=one, other=other)

    def set_listening(self, node, is_listening):
        """Opens or closes the port of a node: while it is closed, connections are refused, as by a machine on which no process
        listens."""
        self._request(do="listen", server=node, is_listening=is_listening)

    def bytes_to(self, node):
        """Returns how many bytes the proxies have delivered to a node."""
        return self._request(do="bytes", node=node)

    def close(self):
        self.process.stdin.close()
        self.process.wait(10)
        self.process.stdout.close()

    def _request(self, **fields):
        with self.lock:
            self.process.stdin.write(json.dumps(fields) + "\n")
            self.process.stdin.flush()
            return json.loads(self.process.stdout.readline())


class Rate:
    """The bounded rate of one direction of a node's link. Bytes leave in the order of their arrival."""

    def __init__(self, bytes_per_s):
        self.bytes_per_s = bytes_per_s
        self.free_at = 0.0

    def release_time(self, now, count):
        self.free_at = max(self.free_at, now) + count / self.bytes_per_s
        return self.free_at


class Pipe:
    """One direction of a proxied connection: data waits here until its rule and the rates let it go."""

    def __init__(self, network, connection, source, sink):
        self.network = network
        self.connection = connection
        self.source = source
        self.sink = sink
        self.reads_from = None
        self.writes_to = None
        # (release time, data); data is None at the end of the connection.
        self.queue = collections.deque()
        self.queued_bytes = 0
        self.is_writable = True
        self.timer = None

    def feed(self, data):
        now = self.network.loop.time()
        at = now + self.network.delay(self.source, self.sink)
        for rate in (self.network.sending.get(self.source), self.network.receiving.get(self.sink)):
            if rate and data:
                at = max(at, rate.release_time(now, len(data)))
        self.queue.append((at, data))
        self.queued_bytes += len(data or b"")
        self.deliver()

    def deliver(self):
        """Passes on what may go now, and comes back for the rest."""
        if self.timer:
            self.timer.cancel()
            self.timer = None
        now = self.network.loop.time()
        while self.queue and self.is_writable and not self.network.is_blocked(self.source, self.sink):
            at, data = self.queue[0]
            if at > now + 0.0002:
                self.timer = self.network.loop.call_at(at, self.deliver)
                break
            self.queue.popleft()
            self._pass_on(data)
        self._limit_reading()

    def _pass_on(self, data):
        if data is None:
            self.writes_to.close()
            return
        self.queued_bytes -= len(data)
        self.network.delivered[self.sink] += len(data)
        if not self.writes_to.is_closing():
            self.writes_to.write(data)

    def _limit_reading(self):
        if not self.reads_from.is_closing():
            (self.reads_from.pause_reading if self.queued_bytes > WINDOW_BYTES else self.reads_from.resume_reading)()


class Side(asyncio.Protocol):
    """The dialling or the dialled side of a proxied connection."""

    def __init__(self, connection):
        self.connection = connection
        self.transport = None
        # The pipes that this side feeds, and that deliver to it.
        self.feeds = None
        self.fed_by = None

    def connection_made(self, transport):
        self.transport = transport
        endpoint = transport.get_extra_info("socket")
        endpoint.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        endpoint.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        if self is self.connection.dialled:
            self.connection.join()

    def data_received(self, data):
        if self.feeds:
            self.feeds.feed(data)
        else:
            self.connection.on_first_data(data)

    def connection_lost(self, _error):
        if self.feeds:
            self.feeds.feed(None)
        else:
            self.connection.abort()
        self.connection.forget_when_closed()

    def pause_writing(self):
        if self.fed_by:
            self.fed_by.is_writable = False

    def resume_writing(self):
        if self.fed_by:
            self.fed_by.is_writable = True
            self.fed_by.deliver()


class Connection:
    """A proxied connection, from the dialling node to the server."""

    def __init__(self, network, server, target, names_itself):
        self.network = network
        self.server = server
        self.target = target
        self.names_itself = names_itself
        self.client = UNNAMED
        self.dialler = Side(self)
        self.dialled = Side(self)
        self.first_data = b""
        self.is_connecting = False
        network.connections.add(self)

    def on_first_data(self, data):
        self.first_data += data
        if self.is_connecting:
            return
        name = self.network.node_named_in(self.first_data) if self.names_itself else UNNAMED
        if name or len(self.first_data) > HELLO_BYTES:
            self.client = name or UNNAMED
            self.is_connecting = True
            self.network.loop.create_task(self._connect())

    async def _connect(self):
        host, port = self.target.rsplit(":", 1)
        try:
            await self.network.loop.create_connection(lambda: self.dialled, host, int(port))
        except OSError:
            self.abort()

    def join(self):
        """Connects both sides by pipes, now that the server has accepted."""
        if self.dialler.transport.is_closing():
            self.abort()
            return
        there = Pipe(self.network, self, self.client, self.server)
        back = Pipe(self.network, self, self.server, self.client)
        there.reads_from = back.writes_to = self.dialler.transport
        there.writes_to = back.reads_from = self.dialled.transport
        self.dialler.feeds = self.dialled.fed_by = there
        self.dialled.feeds = self.dialler.fed_by = back
        there.feed(self.first_data)

    def pipes(self):
        return [side.feeds for side in (self.dialler, self.dialled) if side.feeds]

    def joins(self, one, other):
        ends = {self.client, self.server}
        return one in ends and (other == ANY or other in ends)

    def forget_when_closed(self):
        if all(side.transport is None or side.transport.is_closing() for side in (self.dialler, self.dialled)):
            self.network.connections.discard(self)

    def abort(self):
        for side in (self.dialler, self.dialled):
            if side.transport:
                # With a linger time of 0, closing sends a reset.
                endpoint = side.transport.get_extra_info("socket")
                if endpoint and endpoint.fileno() >= 0:
                    endpoint.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                side.transport.abort()


class Network:
    """All proxies, and the rules and rates in force."""

    def __init__(self, loop):
        self.loop = loop
        self.host = loopback_host(PROXIES, os.getpid())
        self.target_host = loopback_host(TARGETS, os.getpid())
        self.nodes = set()
        self.connections = set()
        self.rules = {}
        self.sending = {}
        self.receiving = {}
        self.delivered = collections.Counter()
        # Node to its port, the factory of its connections, and the open server or None.
        self.listeners = {}

    def node_named_in(self, data):
        return max((node for node in self.nodes if node.encode() in data), key=len, default=None)

    def name_nodes(self, *names):
        self.nodes.update(name for name in names if name not in (ANY, UNNAMED))

    def rules_of(self, source, sink):
        keys = ((source, sink), (source, ANY), (ANY, sink))
        return [self.rules[key] for key in keys if key in self.rules]

    def delay(self, source, sink):
        return sum(rule["delay_s"] for rule in self.rules_of(source, sink)) if self.rules else 0.0

    def is_blocked(self, source, sink):
        return bool(self.rules) and any(rule["is_blocked"] for rule in self.rules_of(source, sink))

    async def add(self, server, target, names_itself):
        if names_itself:
            self.name_nodes(server)
        listener = socket.create_server((self.host, 0), backlog=512)
        port = listener.getsockname()[1]
        def accept():
            return Connection(self, server, target or f"{self.target_host}:{port}", names_itself).dialler

        self.listeners[server] = [port, accept, await self.loop.create_server(accept, sock=listener)]
        return f"{self.host}:{port}"

    async def listen(self, server, is_listening):
        entry = self.listeners[server]
        if entry[2] and not is_listening:
            entry[2].close()
            entry[2] = None
        elif not entry[2] and is_listening:
            listener = socket.create_server((self.host, entry[0]), backlog=512)
            entry[2] = await self.loop.create_server(entry[1], sock=listener)

    def set_rule(self, source, sink, delay_s, is_blocked):
        self.name_nodes(source, sink)
        self.rules.pop((source, sink), None)
        if delay_s or is_blocked:
            self.rules[source, sink] = {"delay_s": delay_s, "is_blocked": is_blocked}
        for connection in list(self.connections):
            for pipe in connection.pipes():
                pipe.deliver()

    def set_rate(self, node, bytes_per_s):
        self.name_nodes(node)
        for rates in (self.sending, self.receiving):
            rates.pop(node, None)
            if bytes_per_s:
                rates[node] = Rate(bytes_per_s)

    def reset(self, one, other):
        for connection in [each for each in self.connections if each.joins(one, other)]:
            connection.abort()

    async def handle(self, do, **fields):
        if do == "add":
            return await self.add(**fields)
        if do == "listen":
            return await self.listen(**fields)
        if do == "bytes":
            return self.delivered[fields["node"]]
        {"name": lambda node: self.name_nodes(node), "rule": self.set_rule, "rate": self.set_rate, "reset": self.reset}[do](**fields)
        return None


async def main():
    loop = asyncio.get_running_loop()
    network = Network(loop)
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        print(json.dumps(await network.handle(**json.loads(line))), flush=True)


if __name__ == "__main__":
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    asyncio.run(main())
