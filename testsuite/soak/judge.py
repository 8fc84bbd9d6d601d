"""Checks the promises to callers, from what callers and endpoint instances see, while the soak runs."""

import collections
import dataclasses
import re
import threading
import time

from content import MAX_TURN_TOKENS, VERSION, Plan, versions_in, whole_events, without_versions
from organisations import OrganisationChecks, is_usual
from standins import RETENTION_S

STREAM_KINDS = ("streams", "lone")
TURN_KINDS = ("turns", "kept")
# Kinds whose broken streams their callers take up again.
RESUMED_KINDS = (*STREAM_KINDS, "kept")
# The failure of a request that its caller has broken off.
GAVE_UP = "given up by its caller"
NOT_RUN = (401, 402, 404, 429, 503)
KNOWN_STATUSES = (0, 200, 401, 402, 404, 429, 502, 503, 504)
# A request on an open connection that is not answered for this long has been read by a process that runs.
READ_WITHIN_S = 0.2
# A kept turn whose next one was sent so often reaches an instance, if this share of first turns does.
MIN_TRIES = 5
SERVED_SHARE = 0.9
# More answers than this are not cut, and more kept connections not closed without one, at gateways in touch.
MAX_CUT = 3
# A request that is sent this long after a gateway passed on an answer of an instance that leaves doesn't reach it.
DRAIN_S = 2.0
# The share of resumed streams is checked from this number on.
MIN_RESUMED = 12


@dataclasses.dataclass
class Request:
    """One request of a caller, and what became of it."""
    name: str
    kind: str  # one of TURN_KINDS or STREAM_KINDS, read or write
    gateway: str
    key: str  # empty: the caller shows none
    program: str = ""
    budget: int = 0
    previous: str = ""
    # The time of the whole answer to the previous turn.
    previous_at: float = 0.0
    # For a stream that is resumed: the request that brought its first event, and the events received before.
    stream: str = ""
    after: int = 0
    # Sent to a gateway without faults near, while two instances of the stream's version serve.
    should_go_on: bool = False
    owner: str = ""  # the other organisation that the previous turn belongs to
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
        # Set by the deployment: the number of instances that serve with a version.
        self.serving = lambda version: 0
        # First request of a stream to the software versions of the events that its caller holds.
        self.versions = collections.defaultdict(set)
        # (whether it was resumed, whether it went on or began) to the number of requests for streams.
        self.streams = collections.Counter()
        # (gateway, instance's process) to the time at which the gateway passed on an answer that said that it leaves.
        self.leaving = {}
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
        # Requests that ended without a whole answer, though machines and instances were sound.
        self.cut = []
        self.violations = []
        self.organisations = OrganisationChecks(self.violate)

    def violate(self, promise, detail, request=""):
        with self.lock:
            self.violations.append(Violation(time.monotonic(), promise, detail, request))

    # Callers

    def on_send(self, request, prompt=None):
        with self.lock:
            self.requests[request.name] = request
            self.organisations.on_send(request, self.requests.get(request.previous))
            if prompt is not None:
                self.prompts[request.name] = prompt
            if request.budget:
                self.budgets[request.program] = request.budget
            if request.kind in RESUMED_KINDS and is_usual(request) and self.faults.in_touch(request.gateway, request.sent_at):
                request.should_go_on = self._can_go_on(request)

    def _can_go_on(self, request):
        """Whether two instances serve with the version of the stream that the request takes up; a new one needs none."""
        return not request.stream or all(
            self.serving(version.decode()) >= 2 for version in self.versions[request.stream])

    def on_leaving(self, request):
        """A gateway has passed on an answer of an instance that leaves."""
        with self.lock:
            if request.status == 200 and self.runs[request.name]:
                self.leaving.setdefault((request.gateway, self.runs[request.name][-1]), time.monotonic())

    def on_end(self, request):
        with self.lock:
            # Answers whole and refusals say what they are; all else is the outcome "cut".
            is_cut = request.status and not request.is_complete
            self.statuses["cut" if is_cut else request.status, self.faults.near(request.sent_at, request.ended_at)] += 1
            if request.status not in KNOWN_STATUSES:
                self.violate("the status is one of the protocol's", f"answered {request.status}", request.name)
            if request.status == 200:
                self._check_body(request)
            if request.kind in (*STREAM_KINDS, *TURN_KINDS):
                self._check_versions(request)
            if request.status in NOT_RUN and self.runs[request.name]:
                self.violate("what is refused as not run has not run",
                             f"answered {request.status}, ran at {self.runs[request.name]}", request.name)
            self.organisations.on_end(request)
            if request.status in (404, 410) and not request.owner:
                self._check_unknown(request)
            if request.status == 402 and request.budget > 100 * MAX_TURN_TOKENS:
                self.violate("a turn within its budget is not refused for it", "answered 402", request.name)
            if request.is_connected and (is_cut or request.status == 0):
                self._check_cut(request)
            if request.is_connected and (is_cut or request.status == 0) \
                    and self.faults.near(request.sent_at, request.ended_at) != "faults":
                self.unanswered.append(request)

    def _check_body(self, request):
        plan = Plan(request.stream or request.name)
        is_stream = request.kind in (*STREAM_KINDS, *TURN_KINDS)
        expected = plan.stream_body(request.after) if is_stream else plan.plain_body
        body = without_marks(request.body) if is_stream else request.body
        if request.is_complete and body != expected:
            self.violate("a success is the instance's whole answer to the request",
                         f"{len(body)} bytes, expected {len(expected)}; differ at {first_difference(body, expected)}",
                         request.name)
        elif not expected.startswith(body):
            self.violate("events are in order, none missing or doubled",
                         f"a cut answer differs at {first_difference(body, expected)}", request.name)

    def _check_versions(self, request):
        events, count = whole_events(request.body)
        if request.status == 200:
            versions = self.versions[request.stream or request.name]
            is_torn = len(versions) < 2
            versions |= versions_in(events)
            if is_torn and len(versions) > 1:
                self.violate("a stream holds events of one software version",
                             f"{versions}; resumes {request.stream or 'nothing'} after {request.after}", request.name)
        # They have to serve until the request has ended.
        if request.should_go_on and self._can_go_on(request):
            self.streams[bool(request.stream), count > 0 or request.is_complete and request.status == 200] += 1

    def _check_cut(self, request):
        """A connection that was closed without a whole answer, though its request had gone to a sound instance."""
        runs = self.runs[request.name]
        is_sound = runs and all(self.faults.is_sound(instance, request.sent_at) for instance in runs)
        is_in_touch = all(self.faults.in_touch(request.gateway, at) for at in (request.sent_at, request.ended_at))
        if is_sound and is_in_touch and request.failure != GAVE_UP:
            self.cut.append(request)
            if len(self.cut) > MAX_CUT:
                self.violate("what a sound instance runs is answered whole",
                             f"{len(self.cut)} answers cut; {request.kind} at {request.gateway} after "
                             f"{request.ended_at - request.sent_at:.3f} s, ran at {runs}", request.name)

    def _check_unknown(self, request):
        if not request.previous:
            self.violate("a configured route is known", "answered 404", request.name)
        elif request.ended_at - request.previous_at < RETENTION_S:
            self.violate("a retained turn is known within its retention",
                         f"continued {request.previous}, answered whole {request.ended_at - request.previous_at:.1f} s "
                         f"before, and got 404", request.name)

    def on_pressed(self, previous, tries):
        """A caller has sent the next turn of a kept one several times, and gives up if none has run."""
        with self.lock:
            if len(tries) < MIN_TRIES or any(self.runs[request.name] for request in tries) \
                    or not all(self.faults.in_touch(request.gateway, request.ended_at) for request in tries):
                return
            first_turns = [request for request in self.requests.values()
                           if request.kind in TURN_KINDS and is_usual(request) and not request.previous and request.ended_at
                           and tries[0].sent_at <= request.sent_at and request.ended_at <= tries[-1].ended_at]
            reached = sum(bool(self.runs[request.name]) for request in first_turns)
            if first_turns and reached >= SERVED_SHARE * len(first_turns):
                self.violate("a kept turn can be continued",
                             f"{previous}: {len(tries)} tries, {[request.status for request in tries]}; {reached} of "
                             f"{len(first_turns)} first turns ran", tries[-1].name)

    # Instances

    def on_arrival(self, name, instance, headers):
        """A request has reached an instance that is meant."""
        with self.lock:
            request = self.requests.get(name)
            self.organisations.on_arrival(name, instance, headers)
            told_at = self.leaving.get((request.gateway, instance)) if request else None
            if told_at and request.sent_at > told_at + DRAIN_S and not self.faults.stopped(request.gateway, told_at):
                self.violate("an instance that has said that it leaves gets no more requests",
                             f"{instance}, sent {request.sent_at - told_at:.1f} s after {request.gateway} passed that on", name)

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
            self.organisations.on_run(request, instance, headers)
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

    def resumed_shares(self):
        """Returns the number of resumed streams that should go on, the share of them that did, and that of new streams."""
        resumed = self.streams[True, True] + self.streams[True, False]
        begun = self.streams[False, True] + self.streams[False, False]
        return resumed, self.streams[True, True] / max(1, resumed), self.streams[False, True] / max(1, begun)

    def finish(self, deployment):
        """Checks the share of resumed streams that went on, and what the logs are needed for: a request that was not answered
        beside planned changes alone."""
        resumed, went_on, began = self.resumed_shares()
        if resumed >= MIN_RESUMED and went_on < began / 2:
            self.violate("resumed streams go on half as often as new ones begin, at least",
                         f"{went_on:.2f} of {resumed}, new ones {began:.2f}")
        self.organisations.finish(self.faults.store_unread(set(deployment.names("journal"))))
        logs = {name: deployment.log_of(name) for name in deployment.names("gateway")}
        for request in self.unanswered:
            waited_s = request.ended_at - request.sent_at
            is_logged = f'"request":"{request.name}"' in logs[request.gateway]
            if is_logged or waited_s > READ_WITHIN_S or request.status:
                self.violate("beside planned changes no request that was read ends without an answer",
                             f"{request.kind} at {request.gateway}, status {request.status}, {request.failure}, after "
                             f"{waited_s:.3f} s{', in its log' if is_logged else ''}; faults: "
                             f"{self.faults.near(request.sent_at, request.ended_at)}", request.name)


def without_marks(body):
    """Removes the versions from events, also a part of one at the end."""
    whole, _ = whole_events(body)
    return without_versions(whole) + re.sub(rb"@v?\d*\n?$", b"", VERSION.sub(b"", body[len(whole):]))


def first_difference(one, other):
    return next((at for at, pair in enumerate(zip(one, other)) if pair[0] != pair[1]), min(len(one), len(other)))
