"""Instances of two software versions serve side by side: a stream goes on only at the version that began it, also after the
gateway that began it has been killed, restarted, frozen or cut off, and while the store's entries are late; it is refused as not
run where that is impossible."""

import contextlib
import http.client
import signal
import socket
import threading
import time

from harness import expect, wait_until
from linkproxy import LinkProxies
from platform_standins import EVENTS, HOST, STREAM, Deployment, Runner

STREAMS = 24
# A refusal comes within this time.
MAX_REFUSAL_S = 1.0
# Of the streams that a version with two instances could go on with, this share does.
MIN_RESUMED = 0.9
# An idle connection is no longer kept after this time.
IDLE_S = 1.0
# Time in which a process reads a prompt.
FIRST_EVENT_S = 0.04
# A packet that was lost is sent again after this time.
RESEND_S = 1.0
# Requests that a process has accepted are handled within this time.
EXIT_S = 0.2
# How long a process takes to start, and then to register.
START_S = 2.0
REGISTRATION_S = 1.2


class Attempt:
    """One request of a caller for a stream, and the events that arrived."""

    def __init__(self, deployment, gateway, name, resumes=None, after=0):
        self.name = name
        self.gateway = gateway
        self.body = b""
        self.status = 0
        self.headers = {}
        self.is_complete = False
        fields = {"Host": HOST, "Request-Id": name, "Deadline-Ms": "20000", "Model": "m"}
        if resumes:
            fields["Resumes"] = resumes
        if after:
            fields["Last-Event-Id"] = str(after)
        address = deployment.processes[gateway].field("callers")
        self.connection = http.client.HTTPConnection(address, timeout=20)
        self.thread = threading.Thread(target=self.run, args=(fields,))
        self.thread.start()

    def run(self, fields):
        try:
            self.connection.request("POST", "/streams/x", b"prompt", fields)
            response = self.connection.getresponse()
            self.status, self.headers = response.status, dict(response.getheaders())
            while part := response.read1(65536):
                self.body += part
            self.is_complete = True
        except (OSError, http.client.HTTPException):
            pass
        finally:
            self.connection.close()

    def leave(self):
        """The caller's connection breaks."""
        self.connection.sock.shutdown(socket.SHUT_RDWR)
        self.thread.join()

    def events(self):
        return self.body.count(b"\n\n")


class ProxiedRunner(Runner):
    """An instance behind a proxy, whose process can end and start again under its id."""

    def __init__(self, links, *arguments, **fields):
        self.links = links
        self.proxied = None
        self.report_delay_s = 0
        super().__init__(*arguments, **fields)

    def register(self, phase="ready", born=None):
        self.born = born or self.born
        self.proxied = self.proxied or self.links.add(self.name, self.address, names_itself=False)
        self.store.put("servers", self.name, {
            "service": self.service, "address": self.proxied, "zone": self.zone, "version": self.version,
            "slots": self.slots, "phase": phase, "cold_left_ms": 0, "sequence": 1, "born": self.born})

    def process(self):
        return self.born

    def handle(self, request):
        if request.process != self.process():
            request.close_connection = True
            return None
        if request.path == "/api/report":
            return self.report(request)
        return super().handle(request)

    def exit(self):
        self.links.set_listening(self.name, False)
        self.links.reset(self.name)

    def report(self, request):
        """Tells which process it is. The packet with the question may be lost."""
        time.sleep(self.report_delay_s)
        request.answer(200, {"phase": "ready", "born": self.born})

    def restart(self, version):
        """Ends, and starts and registers as another version."""
        self.exit()
        time.sleep(EXIT_S)
        self.start(version)
        self.register()

    def start(self, version):
        """Starts as another version. The store doesn't know yet."""
        self.version = version
        self.born += 1
        self.links.set_listening(self.name, True)


class VersionDeployment(Deployment):
    def make_runners(self):
        llm = [ProxiedRunner(self.links, self.store, "llm", f"llm-{number}", version="v1" if number <= 2 else "v2")
               for number in range(1, 5)]
        return [*llm, Runner(self.store, "app", "app-1")]

    def of_version(self, version):
        return [runner for runner in self.runners if runner.service == "llm" and runner.version == version]

    def versions_of(self, name):
        """The versions of all instances that ran a request."""
        found = set()
        for runner in self.runners:
            with runner.lock:
                if name in runner.versions:
                    found.add(runner.versions[name])
        return found

    def knows(self, gateway, runner):
        """Whether the gateway knows the present version of an instance."""
        lines = [line for line in self.log_of(gateway).splitlines()
                 if '"event":"endpoint"' in line and f'"{runner.name}"' in line]
        return lines and f'"version":"{runner.version}"' in lines[-1]

    def begin(self, gateway, prefix, count=STREAMS):
        """Begins streams that wait before their last event. Returns the attempts, and a function that lets streams end."""
        finish = self.pause_streams()
        begun = [Attempt(self, gateway, f"{prefix}-{number}") for number in range(count)]
        wait_until(lambda: all(attempt.events() == EVENTS - 1 for attempt in begun), "all streams have begun")
        return begun, finish

    def begin_at_v1(self, gateway, prefix):
        """As `begin`, with a third of the streams; begins more until at least one runs at v1."""
        begun = []
        while not any(self.versions_of(attempt.name) == {"v1"} for attempt in begun):
            attempts, finish = self.begin(gateway, f"{prefix}-{len(begun)}", STREAMS // 3)
            begun += attempts
        return begun, finish

    def kill(self, gateway, begun):
        self.processes[gateway].close()
        for attempt in begun:
            attempt.thread.join()

    def resume(self, begun, gateways):
        """Resumes streams after their last event. Returns pairs of the first and the second attempt."""
        pairs = [(attempt, Attempt(self, gateways[number % len(gateways)], attempt.name + "-again", attempt.name, attempt.events()))
                 for number, attempt in enumerate(begun)]
        for _, again in pairs:
            again.thread.join()
        return pairs


def mixed(deployment, pairs):
    """Streams that hold events of two versions."""
    return [first.name for first, again in pairs
            if len(deployment.versions_of(first.name) | deployment.versions_of(again.name)) > 1]


def check_resumed(deployment, pairs, situation):
    torn = mixed(deployment, pairs)
    expect(not torn, f"{situation}: {len(torn)} of {len(pairs)} streams went on at another version: {torn[:5]}")
    whole = [first for first, again in pairs if first.body + again.body == STREAM and again.is_complete]
    refused = [again for _, again in pairs if again.status == 503]
    expect(len(whole) + len(refused) == len(pairs), f"{situation}: {len(whole)} whole, {len(refused)} refused of {len(pairs)}")
    expect(len(whole) >= MIN_RESUMED * len(pairs), f"{situation}: only {len(whole)} of {len(pairs)} streams went on")


def check_refused(deployment, attempts, situation):
    for attempt in attempts:
        attempt.thread.join(MAX_REFUSAL_S)
    statuses = [attempt.status for attempt in attempts]
    expect(set(statuses) == {503}, f"{situation}: answered {statuses}")
    ran = [attempt.name for attempt in attempts if deployment.versions_of(attempt.name)]
    expect(not ran, f"{situation}: refused as not run, but ran: {ran}")


def resumed_elsewhere(deployment):
    begun, finish = deployment.begin("gateway-1", "roll-out")
    began_at = {version for attempt in begun for version in deployment.versions_of(attempt.name)}
    expect(began_at == {"v1", "v2"}, f"streams began at {began_at} only")
    deployment.kill("gateway-1", begun)
    finish()
    check_resumed(deployment, deployment.resume(begun, ["gateway-2", "gateway-3"]), "gateway killed")
    deployment.start_gateway("gateway-1")
    deployment.wait_serving("gateway-1")


def resumed_after_a_restart(deployment):
    begun, finish = deployment.begin("gateway-1", "restart")
    deployment.kill("gateway-1", begun)
    finish()
    deployment.start_gateway("gateway-1")
    deployment.wait_serving("gateway-1")
    check_resumed(deployment, deployment.resume(begun, ["gateway-1"]), "gateway restarted")


def resumed_beside_a_frozen_gateway(deployment):
    begun, finish = deployment.begin("gateway-1", "frozen")
    deployment.processes["gateway-1"].signal(signal.SIGSTOP)
    finish()
    check_resumed(deployment, deployment.resume(begun, ["gateway-2", "gateway-3"]), "gateway frozen")
    deployment.processes["gateway-1"].signal(signal.SIGCONT)
    for attempt in begun:
        attempt.thread.join()


def cut(deployment, gateway, is_cut):
    for number in (1, 2, 3):
        for pair in ((gateway, f"journal-{number}"), (f"journal-{number}", gateway)):
            deployment.links.set_rule(*pair, is_blocked=is_cut)


def resumed_beside_a_cut(deployment):
    """A gateway that is cut off from all journals: what began there before the cut goes on elsewhere, what began within it only
    there, and what began elsewhere not there."""
    before, finish = deployment.begin("gateway-1", "before-cut")
    cut(deployment, "gateway-1", True)
    for attempt in before:
        attempt.leave()
    finish()
    check_resumed(deployment, deployment.resume(before, ["gateway-2", "gateway-3"]), "gateway cut off after the streams began")

    within, finish = deployment.begin("gateway-1", "within-cut")
    finish()
    for attempt in within:
        attempt.thread.join()
    elsewhere = [Attempt(deployment, "gateway-2", attempt.name + "-elsewhere", attempt.name, 2) for attempt in within[:6]]
    check_refused(deployment, elsewhere, "begun at a gateway that was cut off")
    own = [Attempt(deployment, "gateway-1", attempt.name + "-own", attempt.name, 2) for attempt in within]
    for attempt in own:
        attempt.thread.join()
    expect(not mixed(deployment, list(zip(within, own))), "streams went on at another version at a gateway that was cut off")

    others, finish = deployment.begin("gateway-2", "others")
    finish()
    for attempt in others:
        attempt.thread.join()
    there = [Attempt(deployment, "gateway-1", attempt.name + "-there", attempt.name, 2) for attempt in others[:6]]
    check_refused(deployment, there, "resumed at a gateway that is cut off")
    cut(deployment, "gateway-1", False)
    deployment.wait_serving("gateway-1")


def late_entry(deployment, are_idle=False, is_lossy=False):
    """Instances start again under their ids as another version and register late. All gateways have streams there when the
    processes end, or have had no connection for a while. With `is_lossy` the instances tell only late which process they are."""
    prefix = "lossy-late" if is_lossy else "idle-late" if are_idle else "late"
    begun = []
    for gateway in ("gateway-1", "gateway-2", "gateway-3"):
        attempts, finish = deployment.begin_at_v1(gateway, f"{prefix}-{gateway}")
        begun += attempts
    if are_idle:
        finish()
        for attempt in begun:
            attempt.thread.join()
        time.sleep(IDLE_S)
    old = [attempt for attempt in begun if deployment.versions_of(attempt.name) == {"v1"}]
    restarted = deployment.of_version("v1")
    for runner in restarted:
        runner.exit()
    finish()
    for attempt in begun:
        attempt.thread.join()
    time.sleep(START_S)
    for runner in restarted:
        runner.start("v2")
        runner.first_event_s = FIRST_EVENT_S
        runner.report_delay_s = RESEND_S if is_lossy else 0
    # Until they register, nothing of theirs is known: neither may streams of v1 go on there, nor what begins there count as v1.
    until = time.monotonic() + REGISTRATION_S
    # Gateway 3 gets no new ones: a resumed stream is the first call there that finds out which processes serve.
    fresh = [Attempt(deployment, f"gateway-{1 + number % 2}", f"{prefix}-new-{number}") for number in range(STREAMS)]
    for attempt in fresh:
        attempt.thread.join()
    resumed = [(attempt, Attempt(deployment, f"gateway-{1 + number % 3}", attempt.name + "-late", attempt.name, 2))
               for number, attempt in enumerate(old)]
    for _, again in resumed:
        again.thread.join()
    expect(not mixed(deployment, resumed), f"before a late entry streams went on at another version: {mixed(deployment, resumed)}")
    time.sleep(max(0, until - time.monotonic()))
    for runner in restarted:
        runner.first_event_s = runner.report_delay_s = 0
        runner.register()
    wait_until(lambda: all(deployment.knows(f"gateway-{number}", runner) for number in (1, 2, 3) for runner in restarted),
               "news of the restart")
    for runner in restarted[:1]:
        runner.exit()
        time.sleep(START_S)
        runner.start("v1")
        runner.register()
    wait_until(lambda: all(deployment.knows(f"gateway-{number}", restarted[0]) for number in (1, 2, 3)), "news of the rollback")
    again = [(attempt, Attempt(deployment, f"gateway-{1 + (number + 1) % 3}", attempt.name + "-after", attempt.name, 2))
             for number, attempt in enumerate(fresh)]
    for _, attempt in again:
        attempt.thread.join()
    expect(not mixed(deployment, again), f"streams begun before a late entry went on elsewhere: {mixed(deployment, again)}")
    for runner in restarted[1:]:
        runner.restart("v1")
    wait_until(lambda: all(deployment.knows(f"gateway-{number}", runner) for number in (1, 2, 3) for runner in restarted),
               "news of the rollback")


def late_entry_at_idle_gateways(deployment):
    late_entry(deployment, are_idle=True)


def late_entry_beside_lost_packets(deployment):
    late_entry(deployment, are_idle=True, is_lossy=True)


def resumed_after_a_lost_journal(deployment):
    begun, finish = deployment.begin("gateway-1", "lost-journal")
    deployment.kill("gateway-1", begun)
    deployment.processes["journal-2"].close()
    finish()
    check_resumed(deployment, deployment.resume(begun, ["gateway-2", "gateway-3"]), "gateway and journal killed")
    deployment.start_journal("journal-2")
    deployment.start_gateway("gateway-1")
    deployment.wait_serving("gateway-1")


def resumed_within_one_answer(deployment):
    """Each instance breaks each stream once, after two events, and serves on. The streams come at once, then one by one, so that an
    instance also loses the only connection that it has."""
    broken = {}
    lock = threading.Lock()

    def break_once(runner):
        def handle(request):
            name = request.headers["Request-Id"]
            if "Last-Event-Id" in request.headers:
                return False
            with lock:
                broken[name] = runner.version
            request.send_response(200)
            for field, value in (("Request-Id", name), ("Response-Seal", "seal"), ("Content-Type", "text/event-stream"),
                                 ("Transfer-Encoding", "chunked")):
                request.send_header(field, value)
            request.end_headers()
            events = b"id: 1\ndata: d1\n\nid: 2\ndata: d2\n\n"
            request.wfile.write(b"%x\r\n%s\r\n" % (len(events), events))
            request.wfile.flush()
            request.close_connection = True
            return True
        return handle

    for runner in deployment.runners:
        runner.fault_handler = break_once(runner) if runner.service == "llm" else None
    attempts = [Attempt(deployment, "gateway-2", f"within-{number}") for number in range(16)]
    for attempt in attempts:
        attempt.thread.join()
    # No more than the gateway's retry budget allows.
    alone = []
    for number in range(6):
        alone.append(Attempt(deployment, "gateway-2", f"within-alone-{number}"))
        alone[-1].thread.join()
    for runner in deployment.runners:
        runner.fault_handler = None
    torn = [attempt.name for attempt in attempts + alone if deployment.versions_of(attempt.name) - {broken[attempt.name]}]
    expect(not torn, f"streams went on at another version within one answer: {torn}")
    for group, situation in ((attempts, "at once"), (alone, "one by one")):
        whole = [attempt for attempt in group if attempt.body == STREAM and attempt.is_complete]
        expect(len(whole) >= MIN_RESUMED * len(group), f"only {len(whole)} of {len(group)} streams broken {situation} went on")


def unknown_streams(deployment):
    check_refused(deployment, [Attempt(deployment, "gateway-2", "unknown-1", "never-sent", 2),
                               Attempt(deployment, "gateway-3", "unknown-2", None, 2)], "unknown stream")


def restarted_under_its_id(deployment):
    """All instances of v1 start again as v2, under the same ids; then two of them return to v1."""
    begun, finish = deployment.begin("gateway-2", "rollback")
    old = [attempt for attempt in begun if deployment.versions_of(attempt.name) == {"v1"}]
    restarted = deployment.of_version("v1")
    for runner in restarted:
        runner.restart("v2")
    wait_until(lambda: all(deployment.knows("gateway-3", runner) for runner in restarted), "news of the restart")
    finish()
    for attempt in begun:
        attempt.thread.join()
    again = [Attempt(deployment, "gateway-3", attempt.name + "-gone", attempt.name, 2) for attempt in old]
    check_refused(deployment, again, "version gone")
    for runner in restarted:
        runner.restart("v1")
    wait_until(lambda: all(deployment.knows("gateway-3", runner) for runner in restarted), "news of the rollback")
    pairs = [(attempt, Attempt(deployment, "gateway-3", attempt.name + "-back", attempt.name, 2)) for attempt in old]
    for _, resumed in pairs:
        resumed.thread.join()
    torn = mixed(deployment, pairs)
    expect(not torn, f"after a rollback streams went on at another version: {torn}")
    whole = [resumed for _, resumed in pairs if resumed.is_complete and resumed.events() == EVENTS - 2]
    expect(len(whole) == len(pairs), f"after a rollback {len(whole)} of {len(pairs)} streams went on")


def run(build):
    with contextlib.closing(LinkProxies()) as links, VersionDeployment(build, gateways=3, links=links) as deployment:
        for phase in (resumed_elsewhere, resumed_after_a_restart, resumed_beside_a_frozen_gateway, resumed_beside_a_cut,
                      resumed_within_one_answer, unknown_streams, restarted_under_its_id, resumed_after_a_lost_journal,
                      late_entry, late_entry_at_idle_gateways, late_entry_beside_lost_packets):
            phase(deployment)
