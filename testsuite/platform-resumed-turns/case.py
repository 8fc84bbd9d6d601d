"""A turn whose stream its caller has taken up again is kept whole: the turn that continues it is sent with the events that the
earlier requests brought, too. Where they are not known, the stream does not go on, and the caller is told so."""

import http.client
import itertools
import json
import socket
import struct
import threading

from harness import expect, wait_until
from platform_standins import EVENTS, HOST, TOKENS_PER_EVENT, Deployment, Runner, configuration, route

GATEWAYS = ("gateway-1", "gateway-2", "gateway-3")
ROUTES = [route("turns", "streaming", "llm", retain=True, retain_s=60.0, sticky=True, can_resume=True, timeout_ms=10000),
          route("streams", "streaming", "llm", can_resume=True), route("read", "safe", "app")]
OUTPUT = b"".join(b"d%d\n" % number for number in range(1, EVENTS + 1))
LIMIT_S = 10
numbers = itertools.count(1)


class PausingRunner(Runner):
    """Streams that carry `Pause-After` wait after that event until the case ends, so that they can be broken off there. After
    the last one they wait with their end."""

    def stream(self, request, headers):
        pause_after = int(request.headers.get("Pause-After") or -1)
        first = int(request.headers.get("Last-Event-Id") or 0) + 1
        request.send_response(200)
        for name, value in dict(headers, **{"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}).items():
            request.send_header(name, value)
        request.end_headers()
        for number in range(first, EVENTS + 1):
            event = f"id: {number}\ndata: d{number}\n\n".encode()
            request.wfile.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            request.wfile.flush()
            if number == pause_after:
                self.is_over.wait(LIMIT_S)
                return
        request.wfile.write(b"0\r\n\r\n")
        request.wfile.flush()

    is_over = threading.Event()


class ResumedDeployment(Deployment):
    def make_runners(self):
        self.store.put("config", "main", configuration(2, ROUTES))
        return [PausingRunner(self.store, service, f"{service}-{number}") for number in (1, 2, 3) for service in ("llm", "app")]


def is_complete(deployment, journal):
    """Whether a journal has copied the others since the set of journals changed last."""
    events = [line["event"] for line in map(json.loads, deployment.log_of(journal).splitlines())
              if line["event"] in ("journal set", "journal complete")]
    return events[-1:] == ["journal complete"]


def turn_headers(request, **more):
    fields = {"Host": HOST, "Request-Id": request, "Deadline-Ms": str(LIMIT_S * 1000), "Model": "m", "Program-Id": "p-" + request,
              "Session-Id": "s", "Token-Budget": "1000", "Token-Counts": f"100,{EVENTS * TOKENS_PER_EVENT}"}
    fields.update({name.replace("_", "-"): str(value) for name, value in more.items()})
    return fields


class BrokenTurn:
    """A turn of which the caller reads some events, and then no more."""

    def __init__(self, deployment, gateway, until, after=0, **headers):
        self.request = f"turn-{next(numbers)}"
        self.connection = http.client.HTTPConnection(deployment.processes[gateway].field("callers"), timeout=LIMIT_S)
        resumption = {"Last_Event_Id": after} if after else {}
        fields = turn_headers(self.request, Pause_After=until, **resumption, **headers)
        self.connection.request("POST", "/turns/x", b"one ", fields)
        # The socket is the response's alone if the connection will not be reused.
        self.socket = self.connection.sock
        self.answer = self.connection.getresponse()
        expect(self.answer.status == 200, f"{self.request} is answered {self.answer.status}")
        text = b""
        while text.count(b"\n\n") < until - after:
            part = self.answer.read1(65536)
            expect(part, f"{self.request} ended after {text}")
            text += part

    def reset(self):
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.answer.close()
        self.connection.close()


def resume(deployment, gateway, first, after):
    """Takes the stream up after that event. Returns the request and its answer."""
    request = f"turn-{next(numbers)}"
    fields = turn_headers(request, Last_Event_Id=after, Resumes=first)
    return request, deployment.call(gateway, "/turns/x", "POST", b"one ", fields)


def expect_whole(deployment, gateway, previous, what):
    """Continues a turn, and checks what its instance gets."""
    request = f"turn-{next(numbers)}"
    answer = deployment.call(gateway, "/turns/x", "POST", b"two ", turn_headers(request, Previous_Turn=previous))
    bodies = [body for runner in deployment.runners for name, body, _ in runner.executed_calls if name == request]
    expect(answer.status == 200 and answer.is_complete, f"{what}: the turn that continues it is answered {answer.status}")
    expect(bodies == [b"one " + OUTPUT + b"two "], f"{what}: the instance gets {bodies}")


def expect_resumed(deployment, gateway, first, after, what):
    request, answer = resume(deployment, gateway, first, after)
    expect(answer.status == 200 and answer.is_complete, f"{what}: the resumed turn is answered {answer.status} {answer.body}")
    expect(answer.body.count(b"\n\n") == EVENTS - after, f"{what}: the resumed turn brings {answer.body}")
    return request


def run(build):
    with ResumedDeployment(build, gateways=len(GATEWAYS)) as deployment:
        wait_until(lambda: all(is_complete(deployment, f"journal-{number}") for number in (1, 2, 3)), "all journals are complete")
        for after in range(1, EVENTS + 1):
            what = f"reset after event {after}"
            first = BrokenTurn(deployment, "gateway-1", after)
            first.reset()
            request = expect_resumed(deployment, "gateway-2", first.request, after, what)
            expect_whole(deployment, "gateway-3", request, what)

        what = "taken up again where it began"
        first = BrokenTurn(deployment, "gateway-1", 2)
        first.reset()
        expect_whole(deployment, "gateway-1", expect_resumed(deployment, "gateway-1", first.request, 2, what), what)

        what = "taken up again twice"
        first = BrokenTurn(deployment, "gateway-1", 1)
        first.reset()
        second = BrokenTurn(deployment, "gateway-2", 3, after=1, Resumes=first.request)
        second.reset()
        expect_whole(deployment, "gateway-1", expect_resumed(deployment, "gateway-3", first.request, 3, what), what)

        what = "the gateway was killed"
        first = BrokenTurn(deployment, "gateway-1", 3)
        deployment.processes["gateway-1"].close()
        request = expect_resumed(deployment, "gateway-2", first.request, 3, what)
        expect_whole(deployment, "gateway-3", request, what)

        what = "a journal was killed"
        first = BrokenTurn(deployment, "gateway-2", 3)
        deployment.processes["journal-1"].close()
        first.reset()
        # Turns are refused as not run until the others have noticed.
        deployment.wait_serving("gateway-3")
        request = expect_resumed(deployment, "gateway-3", first.request, 3, what)
        expect_whole(deployment, "gateway-2", request, what)

        # An event that the caller can't have had, and a stream that nobody knows.
        for unknown, after in ((first.request, EVENTS + 1), ("never-begun", 1)):
            request, answer = resume(deployment, "gateway-3", unknown, after)
            ran = [name for runner in deployment.runners for name, _, _ in runner.executed_calls if name == request]
            expect(answer.status == 503 and not ran, f"without its first events: answered {answer.status}, run {len(ran)} times")
        PausingRunner.is_over.set()
