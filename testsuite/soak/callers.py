"""Callers: programs with chains of turns, resumable streams, reads and writes, on connections that stay open."""

import http.client
import itertools
import random
import socket
import threading
import time

from platform_standins import HOST

from content import MAX_TURN_TOKENS, output_in, whole_events
from judge import GAVE_UP, RESUMED_KINDS, STREAM_KINDS, Request
from organisations import HOLDERS, key_headers, usual_key
from standins import RETENTION_S

DEADLINE_S = 4.0
# After its deadline a caller waits this much longer before it gives an open connection up.
PATIENCE_S = 3.0
AMPLE_BUDGET = 1_000_000
TIGHT_TURNS = 2
# The part of the turns that bring the same short input.
SHORT_INPUTS = 0.3
# How often a caller sends a turn that is refused, and the pause in between.
MAX_TRIES = 6
PAUSE_BETWEEN_TRIES_S = 0.25
# A caller that pauses returns in this time at the end of the retention, after a pause of at most that.
LAST_MOMENT_S = 1.0
MAX_PAUSE_S = 5.0
# How often a caller takes a broken stream up again.
MAX_RESUMPTIONS = 3
# The part of the programs whose turns may be taken up again.
RESUMED_PROGRAMS = 0.4


class Turn:
    """A retained turn that was answered whole, which others may continue."""

    def __init__(self, request, chain, program):
        """`request` is the one that was answered whole."""
        self.name = request.name
        self.at = request.ended_at
        self.chain = chain
        self.program = program
        # The organisation that it belongs to.
        self.holder = HOLDERS.get(request.key)

    def is_kept(self, within_s):
        return time.monotonic() + within_s - self.at < RETENTION_S


class Callers:
    """All callers, each a thread of its own. Turns that were answered whole are shared among them."""

    def __init__(self, deployment, judge, seed, count):
        self.deployment = deployment
        self.judge = judge
        self.numbers = itertools.count(1)
        self.turns = []
        self.stopping = threading.Event()
        self.callers = [Caller(self, random.Random(f"caller {seed} {number}")) for number in range(count)]
        self.callers += [SeldomCaller(self, random.Random(f"seldom {seed} {number}")) for number in range(2 * count)]

    def start(self):
        for caller in self.callers:
            caller.start()

    def stop(self):
        self.stopping.set()
        for caller in self.callers:
            if caller.is_alive():
                caller.join()

    def kept_turns(self, within_s):
        self.turns = [turn for turn in self.turns if turn.is_kept(0)]
        return [turn for turn in self.turns if turn.is_kept(within_s)]


class Caller(threading.Thread):
    """One caller, with a connection to each gateway that it has used."""

    def __init__(self, callers, chance):
        super().__init__(daemon=True)
        self.callers = callers
        self.judge = callers.judge
        self.chance = chance
        # Gateway to its address and the open connection.
        self.connections = {}

    def run(self):
        activities = [self.program] * 4 + [self.race, self.old_turn, self.pause_to_the_end, *[self.stream] * 4, self.read,
                                           self.read, self.write, self.write]
        while not self.callers.stopping.is_set():
            self.chance.choice(activities)()
            time.sleep(self.chance.uniform(0, 0.1))

    # Activities

    def program(self):
        program = f"p{next(self.callers.numbers)}"
        turn = None
        for _ in range(self.chance.randint(2, 5)):
            request, after = self.press(turn) if turn else self.turn(program, AMPLE_BUDGET)
            turn = after or turn
            if self.callers.stopping.is_set():
                return
            time.sleep(self.chance.uniform(0, 0.3) if request.status == 200 else 0.2)

    def race(self):
        """Turns of one program that race for a budget of fewer."""
        program = f"p{next(self.callers.numbers)}"
        racers = [Caller(self.callers, random.Random(self.chance.random())) for _ in range(4)]
        threads = [threading.Thread(target=racer.turn, args=(program, TIGHT_TURNS * MAX_TURN_TOKENS)) for racer in racers]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        for racer in racers:
            racer.close()

    def old_turn(self):
        turns = self.callers.kept_turns(DEADLINE_S + PATIENCE_S)
        if turns:
            turn = self.chance.choice(turns)
            self.turn(turn.program, AMPLE_BUDGET, turn)

    def press(self, turn):
        """Continues a turn, several times while that reaches no instance. Returns as `turn` does."""
        tries = []
        while len(tries) < MAX_TRIES:
            request, after = self.turn(turn.program, AMPLE_BUDGET, turn)
            tries.append(request)
            if request.status != 503 or not turn.is_kept(0) or self.callers.stopping.wait(PAUSE_BETWEEN_TRIES_S):
                break
        self.judge.on_pressed(turn.name, tries)
        return request, after

    def pause_to_the_end(self):
        """Continues a turn in the last second of its retention, and that turn through another gateway."""
        turns = self.callers.kept_turns(LAST_MOMENT_S)
        if not turns:
            return
        oldest = min(turns, key=lambda turn: turn.at)
        pause_s = oldest.at + RETENTION_S - LAST_MOMENT_S * self.chance.random() - time.monotonic()
        if pause_s > MAX_PAUSE_S or self.callers.stopping.wait(max(0, pause_s)):
            return
        _, after = self.turn(oldest.program, AMPLE_BUDGET, oldest)
        if after:
            self.press(after)

    def turn(self, program, budget, previous=None, gateway=None, key=None):
        """Sends a turn. Returns its request, and a `Turn` if it was answered whole; others continue those with usual keys."""
        # Drawn apart, so that a seed's other choices don't depend on it.
        kind = "kept" if random.Random(f"kind {program}").random() < RESUMED_PROGRAMS else "turns"
        fields = {"program": program, "budget": budget}
        if previous:
            fields.update(previous=previous.name, previous_at=previous.at)
        request = self.request(kind, gateway, key, **fields)
        chain = previous.chain if previous else b""
        # Short inputs are alike in many programs.
        body = b"yes " if self.chance.random() < SHORT_INPUTS else b"input of %s " % request.name.encode()
        headers = {"Model": "m", "Program-Id": program, "Session-Id": "s", "Token-Budget": str(budget),
                   "Token-Counts": f"100,{MAX_TURN_TOKENS}"}
        if previous:
            headers["Previous-Turn"] = previous.name
        self.send(request, "POST", body, headers, chain + body)
        request, text = self.take_up(request, body, headers, chain + body, **fields)
        if request.status != 200 or not request.is_complete:
            return request, None
        turn = Turn(request, chain + body + output_in(text), program)
        if budget == AMPLE_BUDGET and key is None:
            self.callers.turns.append(turn)
        return request, turn

    def stream(self, gateway=None, key=None):
        """Sends a request for a stream, and resumes it at any gateways when it breaks. Returns the last request."""
        kind = self.chance.choice(STREAM_KINDS)
        first = self.send(self.request(kind, gateway, key), "POST", b"stream", {"Model": "m"})
        return self.take_up(first, b"stream", {"Model": "m"})[0]

    def take_up(self, first, body, headers, prompt=None, **fields):
        """Takes a stream up again, at any gateways, while it breaks. Returns the last request, and the events of all of them."""
        request = first
        text, received = whole_events(first.body)
        deadline = first.sent_at + DEADLINE_S
        for _ in range(MAX_RESUMPTIONS if first.kind in RESUMED_KINDS else 0):
            is_broken = request.status in (0, 502, 503) or not request.is_complete
            if not is_broken or not received or time.monotonic() > deadline or self.callers.stopping.is_set():
                break
            request = self.request(first.kind, None, first.key, stream=first.name, after=received, **fields)
            resumption = {"Resumes": first.name, "Last-Event-Id": str(received)}
            self.send(request, "POST", body, {**headers, **resumption}, prompt)
            events, count = whole_events(request.body)
            text += events
            received += count
        return request, text

    def read(self, gateway=None, key=None, kind="read"):
        return self.send(self.request(kind, gateway, key), "GET", None, {})

    def write(self, gateway=None, key=None):
        return self.send(self.request("write", gateway, key), "POST", b"slip", {})

    # Requests

    def request(self, kind, gateway, key=None, **fields):
        gateway = gateway or self.chance.choice(self.callers.deployment.names("gateway"))
        name = f"r{next(self.callers.numbers)}."
        key = usual_key(fields.get("program", name), name) if key is None else key
        return Request(name, kind, gateway, key, **fields)

    def send(self, request, method, body, headers, prompt=None):
        headers = {**headers, **key_headers(request), "Host": HOST, "Request-Id": request.name,
                   "Deadline-Ms": str(int(DEADLINE_S * 1000))}
        request.sent_at = time.monotonic()
        self.judge.on_send(request, prompt)
        connection = None
        try:
            connection = self.connect(request.gateway)
            request.is_connected = True
            connection.request(method, f"/{request.kind}/{request.name}", body, headers)
            response = connection.getresponse()
            request.status = response.status
            if response.getheader("Server-Leaving") == "1":
                self.judge.on_leaving(request)
            self.read_body(request, response)
            if response.will_close or not request.is_complete:
                self.forget(request.gateway)
        except TimeoutError:
            request.failure = GAVE_UP
            self.forget(request.gateway)
        except (OSError, http.client.HTTPException) as error:
            request.failure = repr(error)
            self.forget(request.gateway)
        request.ended_at = time.monotonic()
        self.judge.on_end(request)
        return request

    @staticmethod
    def read_body(request, response):
        parts = []
        try:
            while part := response.read1(65536):
                parts.append(part)
            # Without chunks, a body that ends early shows only by its length.
            request.is_complete = not response.length
            response.close()
        finally:
            request.body = b"".join(parts)

    def connect(self, gateway):
        address = self.callers.deployment.processes[gateway].field("callers")
        known = self.connections.get(gateway)
        if known and known[0] == address:
            return known[1]
        self.forget(gateway)
        connection = http.client.HTTPConnection(address, timeout=DEADLINE_S + PATIENCE_S)
        connection.connect()
        connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # An open connection is used until the gateway closes it.
        connection.auto_open = 0
        self.connections[gateway] = (address, connection)
        return connection

    def forget(self, gateway):
        if gateway in self.connections:
            self.connections.pop(gateway)[1].close()

    def close(self):
        for gateway in list(self.connections):
            self.forget(gateway)


class SeldomCaller(Caller):
    """A caller that uses an open connection after a long pause, also when its gateway is to stop meanwhile. The pause is shorter
    than the time after which gateways close idle connections."""

    MAX_PAUSE_S = 9.0

    def run(self):
        while not self.callers.stopping.is_set():
            gateway = self.chance.choice(self.callers.deployment.names("gateway"))
            try:
                self.connect(gateway)
            except OSError:
                time.sleep(0.2)
                continue
            self.callers.stopping.wait(self.chance.uniform(0, self.MAX_PAUSE_S))
            if not self.callers.stopping.is_set():
                self.use(gateway)
            self.close()

    def use(self, gateway):
        if self.chance.random() < 0.5:
            self.turn(f"p{next(self.callers.numbers)}", AMPLE_BUDGET, gateway=gateway)
        else:
            self.chance.choice([self.stream, self.read, self.write])(gateway)
