"""From a failed request's id to its cause, by the collected logs alone: three kinds of failure."""

import socket
import subprocess
import threading

from harness import expect, wait_until
from platform_standins import Deployment


def trace(deployment, request):
    """What `rattandeckctl trace` prints for a request."""
    logs = sorted(str(path) for path in deployment.folder.glob("*.log"))
    command = [str(deployment.build / "src" / "rattandeckctl"), "trace", request, *logs]
    done = subprocess.run(command, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, check=False, timeout=30)
    expect(done.returncode == 0, f"the trace of {request} ends with {done.returncode}: {done.stdout.decode()}")
    return done.stdout.decode()


def traced(deployment, request, *causes):
    """Waits until the trace of a request names all its causes: log lines are written in batches."""
    return wait_until(lambda: all(cause in trace(deployment, request) for cause in causes),
                      f"the trace of {request} names {causes}: {trace(deployment, request)}", 20)


def refused_under_load(deployment):
    let_end = deployment.hold_streams()
    before = len(deployment.bodies())
    # First turns fill an instance of 8 slots up to 7.
    calls = [threading.Thread(target=deployment.turn, args=("gateway-1", f"full-{number}")) for number in range(14)]
    for call in calls:
        call.start()
    wait_until(lambda: len(deployment.bodies()) == before + len(calls), "all places of first turns are taken")
    refused = deployment.turn("gateway-1", "late", request="late-1")
    expect(refused.status == 503 and "retry-after" in refused.headers, f"answered {refused.status} {refused.headers}")
    let_end()
    for call in calls:
        call.join(30)
    traced(deployment, "late-1", '"outcome":"refused"', '"reason":"no instance has room"', '"best_load":7', '"sends":0')


def broken_by_a_lost_answer(deployment):
    def cut(request):
        request.connection.shutdown(socket.SHUT_RDWR)
        return True

    runners = [runner for runner in deployment.runners if runner.service == "app"]
    for runner in runners:
        runner.misbehave = cut
    answer = deployment.call("gateway-1", "/write/1", "POST", "slip", {"Request-Id": "slip-1"})
    for runner in runners:
        runner.misbehave = None
    expect(answer.status == 502, f"a call that may have run is answered {answer.status}")
    traced(deployment, "slip-1", " send ", '"reason":"answer lost"', '"sends":1')


def continued_without_journals(deployment):
    first = deployment.turn("gateway-1", "kept", request="kept-1")
    expect(first.status == 200, f"the first turn is answered {first.status}")
    for name in ("journal-1", "journal-2"):
        deployment.processes[name].kill()
    wait_until(lambda: '"journals lost"' in deployment.log_of("gateway-1"), "the journals are missed")
    refused = deployment.turn("gateway-1", "kept", previous="kept-1", request="kept-2")
    expect(refused.status == 503, f"a turn that nobody can look up is answered {refused.status}")
    traced(deployment, "kept-2", '"reason":"journals unavailable"', "journals lost", '"linked":1',
           "journal link down", '"outcome":"too few journals answered"')


def run(build):
    with Deployment(build) as deployment:
        refused_under_load(deployment)
        broken_by_a_lost_answer(deployment)
        continued_without_journals(deployment)
