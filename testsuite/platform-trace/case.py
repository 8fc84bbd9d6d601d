"""`rattandeckctl trace` finds the cause of a failed request from its id and the logs, for three kinds of failure."""

import socket
import subprocess
import threading

from harness import expect, wait_until
from platform_standins import Deployment


def trace(deployment, request):
    """Returns the output of `rattandeckctl trace` for a request."""
    logs = sorted(str(path) for path in deployment.folder.glob("*.log"))
    command = [str(deployment.build / "src" / "rattandeckctl"), "trace", request, *logs]
    done = subprocess.run(command, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, check=False, timeout=30)
    expect(done.returncode == 0, f"rattandeckctl trace {request} exited with {done.returncode}: {done.stdout.decode()}")
    return done.stdout.decode()


def expect_trace(deployment, request, *causes):
    """Waits until the trace of a request contains all its causes, since log lines are written in batches."""
    return wait_until(lambda: all(cause in trace(deployment, request) for cause in causes),
                      f"the trace of {request} names {causes}: {trace(deployment, request)}", 20)


def refused_under_load(deployment):
    resume_streams = deployment.pause_streams()
    before = len(deployment.bodies())
    # The first turns of programs may take at most 7 of the 8 slots of an instance.
    calls = [threading.Thread(target=deployment.turn, args=("gateway-1", f"full-{number}")) for number in range(14)]
    for call in calls:
        call.start()
    wait_until(lambda: len(deployment.bodies()) == before + len(calls),
               "first turns take all the slots that they may use")
    refused = deployment.turn("gateway-1", "late", request="late-1")
    expect(refused.status == 503 and "retry-after" in refused.headers,
           f"the call over capacity was answered {refused.status} {refused.headers}")
    resume_streams()
    for call in calls:
        call.join(30)
    expect_trace(deployment, "late-1", '"outcome":"refused"', '"reason":"no instance has room"', '"best_load":7',
                 '"sends":0')


def failed_by_lost_response(deployment):
    def cut(request):
        request.connection.shutdown(socket.SHUT_RDWR)
        return True

    runners = [runner for runner in deployment.runners if runner.service == "app"]
    for runner in runners:
        runner.fault_handler = cut
    answer = deployment.call("gateway-1", "/write/1", "POST", "slip", {"Request-Id": "slip-1"})
    for runner in runners:
        runner.fault_handler = None
    expect(answer.status == 502, f"a call that may have run was answered {answer.status}")
    expect_trace(deployment, "slip-1", " send ", '"reason":"answer lost"', '"sends":1')


def refused_without_journals(deployment):
    first = deployment.turn("gateway-1", "kept", request="kept-1")
    expect(first.status == 200, f"the first turn is answered {first.status}")
    for name in ("journal-1", "journal-2"):
        deployment.processes[name].kill()
    wait_until(lambda: '"journals lost"' in deployment.log_of("gateway-1"),
               "the gateway logs that it has lost the journals")
    refused = deployment.turn("gateway-1", "kept", previous="kept-1", request="kept-2")
    expect(refused.status == 503, f"a turn whose chain cannot be looked up is answered {refused.status}")
    expect_trace(deployment, "kept-2", '"reason":"journals unavailable"', "journals lost", '"linked":1',
           "journal link down", '"outcome":"too few journals answered"')


def run(build):
    with Deployment(build) as deployment:
        refused_under_load(deployment)
        failed_by_lost_response(deployment)
        refused_without_journals(deployment)
