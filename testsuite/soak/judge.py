"""Checks the promises to callers, from what callers and endpoint instances see, while the soak runs."""

import collections
import dataclasses
import threading
import time

from content import MAX_TURN_TOKENS, Plan
from standins import RETENTION_S

NOT_RUN = (402, 404, 429, 503)
KNOWN_STATUSES = (0, 200, 402, 404, 429, 502, 503, 504)
# A request on an open connection that is not answered for this long has been read by a process that runs.
READ_WITHIN_S = 0.2
# A retained turn is expected to be known until shortly before its retention ends.
RETENTION_CHECKED_S = RETENTION_S - 5


@dataclasses.dataclass
class Request:
    """One request of a caller, and what became of it."""
    name: str
    kind: str  # turns, streams, read or write
    gateway: str
    program: str = ""
    budget: int = 0
    previous: str = ""
    # The time of the whole answer to the previous turn.
    previous_at: float = 0.0
    sent_at: float = 0.0
    ended_at: float = 0.0
    # 0: no answer arrived.
    status: int = 0
    is_complete: bool = False
    is_connected: bool = False
    body: bytes = b""
    failure: str = ""


@dataclasses.dataclass
class Violation:
    at: float
    promise: str
    detail: str
    request: str = ""


class Judge:
    """Thread safety: synchronised."""

    def __init__(self, faults):
        self.faults = faults
        self.lock = threading.RLock()
        self.requests = {}
        # Request to the instances that ran it.
        self.runs = collections.defaultdict(list)
        self.prompts = {}
        self.tokens = collections.Counter()
        self.budgets = {}
        self.statuses = collections.Counter()
        # Requests without an answer while nothing but planned changes was near.
        self.unanswered = []
        self.violations = []

    def violate(self, promise, detail, request=""):
        with self.lock:
            self.violations.append(Violation(time.monotonic(), promise, detail, request))

    # Callers

    def on_send(self, request, prompt=None):
        with self.lock:
            self.requests[request.name] = request
            if prompt is not None:
                self.prompts[request.name] = prompt
            if request.budget:
                self.budgets[request.program] = request.budget

    def on_end(self, request):
        with self.lock:
            # Answers whole and refusals say what they are; all else is the outcome "cut".
            is_cut = request.status and not request.is_complete
            self.statuses["cut" if is_cut else request.status, self.faults.near(request.sent_at, request.ended_at)] += 1
            if request.status not in KNOWN_STATUSES:
                self.violate("the status is one of the protocol's", f"answered {request.status}", request.name)
            if request.status == 200:
                self._check_body(request)
            if request.status in NOT_RUN and self.runs[request.name]:
                self.violate("what is refused as not run has not run",
                             f"answered {request.status}, ran at {self.runs[request.name]}", request.name)
            if request.status == 404:
                self._check_unknown(request)
            if request.status == 402 and request.budget > 100 * MAX_TURN_TOKENS:
                self.violate("a turn within its budget is not refused for it", "answered 402", request.name)
            if request.is_connected and (is_cut or request.status == 0) \
                    and self.faults.near(request.sent_at, request.ended_at) != "faults":
                self.unanswered.append(request)

    def _check_body(self, request):
        plan = Plan(request.name)
        expected = plan.stream_body() if request.kind in ("turns", "streams") else plan.plain_body
        if request.is_complete and request.body != expected:
            self.violate("a success is the instance's whole answer to the request",
                         f"{len(request.body)} bytes, expected {len(expected)}; differ at "
                         f"{first_difference(request.body, expected)}", request.name)
        elif not expected.startswith(request.body):
            self.violate("events are in order, none missing or doubled",
                         f"a cut answer differs at {first_difference(request.body, expected)}", request.name)

    def _check_unknown(self, request):
        if not request.previous:
            self.violate("a configured route is known", "answered 404", request.name)
        elif request.ended_at - request.previous_at < RETENTION_CHECKED_S:
            self.violate("a retained turn is known within its retention",
                         f"continued {request.previous}, answered whole {request.ended_at - request.previous_at:.1f} s "
                         f"before, and got 404", request.name)

    # Instances

    def on_run(self, name, instance, headers, body):
        with self.lock:
            self.runs[name].append(instance)
            request = self.requests.get(name)
            if not request:
                return
            if len(self.runs[name]) > 1 and request.kind in ("turns", "write"):
                self.violate("a request that is not idempotent runs at most once", f"ran at {self.runs[name]}", name)
            if request.status in NOT_RUN:
                self.violate("what is refused as not run never runs",
                             f"answered {request.status}, ran at {instance} after that", name)
            expected = self.prompts.get(name)
            if expected is not None and body != expected:
                self.violate("a continued turn is sent with its whole chain",
                             f"{instance} received {len(body)} bytes, expected {len(expected)}; differ at "
                             f"{first_difference(body, expected)}", name)

    def on_tokens(self, headers, count):
        program = headers.get("Program-Id", "")
        with self.lock:
            before = self.tokens[program]
            self.tokens[program] += count
            limit = self.budgets.get(program, float("inf")) + MAX_TURN_TOKENS
            if before <= limit < self.tokens[program]:
                self.violate("tokens stay within the budget and one turn",
                             f"{program}: {self.tokens[program]}, budget {self.budgets[program]}",
                             headers.get("Request-Id", ""))

    # End

    def finish(self, deployment):
        """Checks what the logs are needed for: a request that was not answered beside planned changes alone."""
        logs = {name: deployment.log_of(name) for name in deployment.names("gateway")}
        for request in self.unanswered:
            waited_s = request.ended_at - request.sent_at
            is_logged = f'"request":"{request.name}"' in logs[request.gateway]
            if is_logged or waited_s > READ_WITHIN_S or request.status:
                self.violate("beside planned changes no request that was read ends without an answer",
                             f"{request.kind} at {request.gateway}, status {request.status}, {request.failure}, after "
                             f"{waited_s:.3f} s{', in its log' if is_logged else ''}; faults: "
                             f"{self.faults.near(request.sent_at, request.ended_at)}", request.name)


def first_difference(one, other):
    return next((at for at, pair in enumerate(zip(one, other)) if pair[0] != pair[1]), min(len(one), len(other)))
